"""Messages of the overload component, validated while decoding: a malformed one is ignored."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_QUERIED = 80  # names queried in one heartbeat: 8 bytes each, so that a body stays under the limit

Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Amount = Annotated[float, Meta(ge=0.0, le=1.0)]  # share of the total of one capacity
Amounts = Annotated[tuple[Amount, ...], Meta(max_length=8)]  # by kind
Worth = Annotated[float, Meta(ge=0.0, le=1e12)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e6)]


class Heartbeat(Struct, tag=1, array_like=True, frozen=True):
    """A process to a voter: a request to renew its lease. `queried`: 8-byte hashes of the names for which it
    requests a certificate of silence."""

    number: Count
    config_hash: Count
    queried: Annotated[bytes, Meta(max_length=8 * MAX_QUERIED)] = b""


class Ack(Struct, tag=2, array_like=True, frozen=True):
    """A voter's answer to heartbeat `number` of that incarnation; `silent` has a bit for each queried
    name."""

    incarnation: Count
    number: Count
    granted: bool
    fenced: bool = False
    silent: Annotated[bytes, Meta(max_length=MAX_QUERIED // 8)] = b""


class Goodbye(Struct, tag=3, array_like=True, frozen=True):
    """A process that leaves: it uses nothing any more; its loans to others end in `left` seconds."""

    left: Seconds


class LoanRequest(Struct, tag=4, array_like=True, frozen=True):
    """A borrower to a lender: the total shares wanted. The borrower now uses at most that, by grant
    `current_grant`, and will accept no grant but the answer to this request. Amounts of 0 return the loan."""

    number: Count
    current_grant: Count
    amounts: Amounts
    worth: Worth = 0.0


class LoanGrant(Struct, tag=5, array_like=True, frozen=True):
    """A lender's answer to request `number` of that incarnation: the total shares lent from now on."""

    incarnation: Count
    number: Count
    amounts: Amounts


Message = Heartbeat | Ack | Goodbye | LoanRequest | LoanGrant
_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def pack(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def unpack(body: bytes) -> Message | None:
    """Decode a message; None if it is malformed."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        return None
