"""Messages between the authority's parts, and what voters keep on disk: MessagePack, checked when decoded.

`life` is an incarnation: of who asked, sent back to it, so that an answer to a former life is no answer.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..interface import MOST_BODY, Agreed, Post
from .rules import LONGEST_SPAN, MOST_KEY, MOST_KIND, MOST_RECORD, WINDOW

HIGHEST = 2**53 - 1
AGREED = HIGHEST  # as the ballot of a record that is known to be agreed: it wins over any other

Number = Annotated[int, Meta(ge=0, le=HIGHEST)]
Epoch = Annotated[int, Meta(ge=0, lt=HIGHEST)]
Span = Annotated[float, Meta(ge=0, le=LONGEST_SPAN)]


class Record(Struct, frozen=True, array_like=True):
    """As `interface.Agreed`; its `epoch` is the one in which it was first proposed and stays with it."""

    number: Annotated[int, Meta(ge=1, le=HIGHEST)]
    epoch: Epoch
    kind: Annotated[str, Meta(max_length=MOST_KIND)]
    key: Annotated[str, Meta(max_length=MOST_KEY)]
    body: Annotated[bytes, Meta(max_length=MOST_RECORD)]

    def told(self) -> Agreed:
        return Agreed(self.number, self.epoch, self.kind, self.key, self.body)

    @property
    def size(self) -> int:
        """Bytes that it takes in a message, at most."""
        return 40 + len(self.kind.encode()) + len(self.key.encode()) + len(self.body)


class Accepted(Struct, frozen=True, array_like=True):
    """A record that a voter has accepted; `ballot` is the epoch in which it was sent to the voter."""

    ballot: Number
    record: Record


class Promise(Struct, frozen=True, array_like=True):
    """A voter's: it has granted `epoch` to a process and accepts nothing of a lower one. `span` is the
    longest lease in seconds that it ever granted. Epoch 0: none yet."""

    epoch: Epoch = 0
    name: str = ""
    life: Number = 0
    span: Span = 0.0


class Commit(Struct, frozen=True, array_like=True):
    """A voter's: all up to `number` is agreed; what it holds under the `void` numbers is not, or has
    ended."""

    number: Number = 0
    floor: Number = 0
    void: list[Number] = []


class Board(Struct, frozen=True, array_like=True):
    """The coordinator's entry for all: its epoch and the last number agreed."""

    epoch: Epoch
    number: Number


class Ask(Struct, frozen=True, array_like=True, tag="ask"):
    """For a lease in an epoch, or for more of it. `sound`: only whether it would be granted."""

    epoch: Epoch
    life: Number
    round: Number
    span: Span
    sound: bool
    number: Number


class Vote(Struct, frozen=True, array_like=True, tag="vote"):
    """The answer; `promised` is the voter's highest epoch."""

    epoch: Epoch
    life: Number
    round: Number
    sound: bool
    granted: bool
    promised: Epoch


class Release(Struct, frozen=True, array_like=True, tag="release"):
    """Who sends this does not use its lease of the epoch any more."""

    epoch: Epoch
    life: Number


class Read(Struct, frozen=True, array_like=True, tag="read"):
    """For what a voter has accepted beyond a number."""

    epoch: Epoch
    life: Number
    after: Number


class Tail(Struct, frozen=True, array_like=True, tag="tail"):
    """The answer, under the voter's promise to the asker: agreed up to `number`, accepted up to `end`."""

    epoch: Epoch
    life: Number
    number: Number
    end: Number
    entries: Annotated[list[Accepted], Meta(max_length=WINDOW)]


class Accept(Struct, frozen=True, array_like=True, tag="accept"):
    """The coordinator's records, in order of their numbers; all up to `number` are agreed."""

    epoch: Epoch
    life: Number
    number: Number
    records: Annotated[list[Record], Meta(max_length=WINDOW)]


class Acked(Struct, frozen=True, array_like=True, tag="acked"):
    """On the voter's disk up to `upto`, agreed or of this epoch."""

    epoch: Epoch
    life: Number
    upto: Number


class Admit(Struct, frozen=True, array_like=True, tag="admit"):
    """A voter without a record of former lives. `ripe`: what it may have granted in one is over."""

    life: Number
    ripe: bool


class Nothing(Struct, frozen=True, array_like=True, tag="nothing"):
    """The answer of a voter that never granted anything either."""

    life: Number


class Admitted(Struct, frozen=True, array_like=True, tag="admitted"):
    """The coordinator's answer: who has its log up to `end` may vote. `mine` is the coordinator's life."""

    life: Number
    epoch: Epoch
    mine: Number
    number: Number
    end: Number


class Fetch(Struct, frozen=True, array_like=True, tag="fetch"):
    """For agreed records beyond `after`; `floor` is that of a whole table of which it has the start, else
    0."""

    after: Number
    floor: Number


class Chunk(Struct, frozen=True, array_like=True, tag="chunk"):
    """All agreed records of (after, to] that are not superseded. `number` is the sender's last, `floor` the
    number up to which it has forgotten what ended, `epoch` the highest it has seen."""

    after: Number
    to: Number
    number: Number
    floor: Number
    epoch: Epoch
    records: Annotated[list[Record], Meta(max_length=64)]


Message = Ask | Vote | Release | Read | Tail | Accept | Acked | Admit | Nothing | Admitted | Fetch | Chunk
ROOM = MOST_BODY - 60  # bytes for the records of one message

encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)


def decode(body: bytes) -> Message | None:
    """A checked message; None for what is none."""
    if len(body) > MOST_BODY:
        return None
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        return None


def decode_as(kind: type, body: bytes):
    """One checked struct. Raises msgspec.DecodeError (ValidationError is one)."""
    return msgspec.msgpack.decode(body, type=kind)


def post(to: str, message: Message) -> Post:
    return Post(to, encode(message))


def fitting(records: list, size=lambda record: record.size) -> int:
    """How many from the start of the list fit into one message; at least one, if there is one."""
    room, count = ROOM, 0
    for record in records:
        room -= size(record)
        if count and room < 0:
            break
        count += 1
    return count
