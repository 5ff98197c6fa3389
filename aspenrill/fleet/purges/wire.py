"""The messages between the purges' parts of two processes: MessagePack of checked forms (msgspec).

`level` says which of its posts in the tree the receiver is meant in: 0 a member, 1 the relay of a building,
2 of a site, 3 the coordinator or a purge's origin. A serial is the number of a purge that is agreed, without
gaps.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..kept import scopes

MEMBER, BUILDING, SITE, ROOT = range(4)  # levels
MOST_BYTES = 760  # of a list of purges or scopes, encoded; with all else a body stays under 900
MOST_TOLD = 24  # purges in one answer of the coordinator
MOST_NAMES = 6  # of those that are missing
MOST_NAME = 64

Whole = Annotated[int, Meta(ge=0, le=1 << 53)]
Positive = Annotated[int, Meta(ge=1, le=1 << 53)]
Level = Annotated[int, Meta(ge=0, le=3)]
Count = Annotated[int, Meta(ge=0, le=1 << 20)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]
Names = Annotated[list[Name], Meta(max_length=MOST_NAMES)]
Scope = Annotated[str, Meta(pattern=scopes.PATTERN)]
Position = tuple[Whole, Whole]  # incarnation of the origin and number: purges of one origin in their order
Item = tuple[Whole, Positive, Scope]  # incarnation, number, what
Seconds = Annotated[float, Meta(ge=0, le=120)]


class Ask(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """From one level to the next: how far it and all below it are clear; with `seq`, it asks for a lease."""

    level: Level
    seq: Whole
    seen: Whole
    cleared: Whole
    holders: Count
    late: Count
    names: Names
    back: bool = False  # it holds no lease any more, nor does anybody below it


class Grant(msgspec.Struct, array_like=True, tag="g", frozen=True):
    """The other way: the latest serial and the scopes of those up to it; with `seq`, a lease for `seconds`
    from when that was asked."""

    level: Level
    seq: Whole
    seconds: Seconds
    serial: Whole
    recent: Annotated[list[Scope], Meta(max_length=1024)]


class Spread(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """An origin's purges that are out, oldest first, on their way down."""

    level: Level
    origin: Name
    purges: Annotated[list[Item], Meta(min_length=1, max_length=1024)]


class Heard(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Their acknowledgement, on its way up: all up to `position` are done below; of the last, `done` of
    `total`."""

    level: Level
    origin: Name
    position: Position
    total: Count
    done: Count
    missing: Names


class Want(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """An origin's purges, for the coordinator to have agreed."""

    purges: Annotated[list[Item], Meta(min_length=1, max_length=1024)]


class Told(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """Back to the origin: incarnation and number, the serial that it was agreed under, whether it is
    complete."""

    items: Annotated[list[tuple[Whole, Positive, Positive, bool]], Meta(max_length=1024)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """The body of an agreed record of kind `purge`; its key is the scope."""

    serial: Positive


class Saved(msgspec.Struct, array_like=True, frozen=True):
    """A purge on its origin's disk."""

    incarnation: Whole
    number: Positive
    scope: Scope
    why: str
    tag: str


Message = Ask | Grant | Spread | Heard | Want | Told
encode = msgspec.msgpack.Encoder().encode
_messages = msgspec.msgpack.Decoder(Message)
_records = msgspec.msgpack.Decoder(Record)
_saved = msgspec.msgpack.Decoder(Saved)


def decode(body: bytes) -> Message | None:
    """A message; None where the body is none."""
    return _decode(_messages, body)


def record(body: bytes) -> Record | None:
    """An agreed record; None where the body is none."""
    return _decode(_records, body)


def saved(body: bytes) -> Saved | None:
    """A purge from disk; None where the body is none."""
    return _decode(_saved, body)


def _decode(decoder, body: bytes):
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def size(item: Item | str) -> int:
    """Bytes of a list's item, at most."""
    return 3 + len(item.encode()) if isinstance(item, str) else 19 + size(item[2])
