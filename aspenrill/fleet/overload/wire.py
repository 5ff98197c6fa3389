"""Messages of this part, checked: what does not decode, or is out of range, is None and changes nothing."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MOST_ASKED = 80  # silent names in one beat: 8 bytes each, so that a body stays under MOST_BODY

Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Amount = Annotated[float, Meta(ge=0.0, le=1.0)]  # share of the whole of one capacity
Amounts = Annotated[tuple[Amount, ...], Meta(max_length=8)]  # by kind
Worth = Annotated[float, Meta(ge=0.0, le=1e12)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e6)]


class Beat(Struct, tag=1, array_like=True, frozen=True):
    """A process to a voter: I am there. `asks`: names, as marks of 8 bytes, of whom I ask whether they are
    silent."""

    number: Count
    config: Count
    asks: Annotated[bytes, Meta(max_length=8 * MOST_ASKED)] = b""


class Ack(Struct, tag=2, array_like=True, frozen=True):
    """A voter's answer to beat `number` of that incarnation; `silent` has a bit for each name asked after."""

    incarnation: Count
    number: Count
    granted: bool
    fenced: bool = False
    silent: Annotated[bytes, Meta(max_length=MOST_ASKED // 8)] = b""


class Bye(Struct, tag=3, array_like=True, frozen=True):
    """A process that ends: it uses nothing any more; its loans to others are over in so many seconds."""

    left: Seconds


class Ask(Struct, tag=4, array_like=True, frozen=True):
    """A borrower to a lender: the shares that I want from you in all; I hold at most that now, by your grant
    `have`, and heed no other grant than the one to this request. Nothing wanted: the loan comes back."""

    number: Count
    have: Count
    amounts: Amounts
    worth: Worth = 0.0


class Grant(Struct, tag=5, array_like=True, frozen=True):
    """A lender's answer to request `number` of that incarnation: what it lends in all, from now on."""

    incarnation: Count
    number: Count
    amounts: Amounts


Message = Beat | Ack | Bye | Ask | Grant
_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def pack(message: Message) -> bytes:
    return _encoder.encode(message)


def unpack(body: bytes) -> Message | None:
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        return None
