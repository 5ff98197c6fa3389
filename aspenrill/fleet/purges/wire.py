"""Messages between purge components, as validated MessagePack.

`level` is the level of the tree at which the receiver is addressed: 0 a member, 1 the relay of a building, 2
the relay of a site, 3 the coordinator or a purge's origin. A serial numbers agreed purges, without gaps.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..kept import scopes

MEMBER = 0  # lowest level of the tree: one process
BUILDING = 1  # level of the tree: relay of a building
SITE = 2  # level of the tree: relay of a site
ROOT = 3  # highest level of the tree
MAX_LIST_BYTES = 760  # bytes of an encoded list of purges or scopes; keeps a body under 900 bytes
MAX_STATUS_ITEMS = 24  # purges in one answer of the coordinator
MAX_NAMES = 6  # reported names of members that are not clear
MAX_NAME_LENGTH = 64  # characters of such a name

NonNegative = Annotated[int, Meta(ge=0, le=1 << 53)]
Positive = Annotated[int, Meta(ge=1, le=1 << 53)]
Level = Annotated[int, Meta(ge=0, le=3)]
Count = Annotated[int, Meta(ge=0, le=1 << 20)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]
Names = Annotated[list[Name], Meta(max_length=MAX_NAMES)]
Scope = Annotated[str, Meta(pattern=scopes.PATTERN)]
Position = tuple[NonNegative, NonNegative]  # incarnation and number: the order of one origin's purges
Item = tuple[NonNegative, Positive, Scope]  # incarnation, number, scope
Seconds = Annotated[float, Meta(ge=0, le=120)]


class LeaseRequest(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """To the next level: how far the sender and all below it are clear; with `seq`, requests a lease."""

    level: Level
    seq: NonNegative
    seen: NonNegative
    cleared: NonNegative
    members: Count
    not_clear: Count
    names: Names
    returned: bool = False  # it and all below it have no lease any more


class Grant(msgspec.Struct, array_like=True, tag="g", frozen=True):
    """To the level below: the latest serial and the scopes up to it.

    With `seq`, also a lease for `seconds` from when the request was sent.
    """

    level: Level
    seq: NonNegative
    seconds: Seconds
    serial: NonNegative
    recent: Annotated[list[Scope], Meta(max_length=1024)]


class Spread(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """An origin's incomplete purges, oldest first, on the way down the tree."""

    level: Level
    origin: Name
    purges: Annotated[list[Item], Meta(min_length=1, max_length=1024)]


class SpreadAck(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Acknowledgement of purges on the way up: all up to `position` are applied below.

    The last one is applied by `done` of `total` members.
    """

    level: Level
    origin: Name
    position: Position
    total: Count
    done: Count
    missing: Names


class Propose(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """An origin's purges, for which the coordinator is to obtain agreement."""

    purges: Annotated[list[Item], Meta(min_length=1, max_length=1024)]


class Status(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """Status of purges for their origin: incarnation, number, agreed serial, whether complete."""

    items: Annotated[list[tuple[NonNegative, Positive, Positive, bool]], Meta(max_length=1024)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """Body of a log record of kind `purge`, keyed by scope."""

    serial: Positive


class Saved(msgspec.Struct, array_like=True, frozen=True):
    """Stored form of a purge on its origin's disk."""

    incarnation: NonNegative
    number: Positive
    scope: Scope
    reason: str
    tag: str


Message = LeaseRequest | Grant | Spread | SpreadAck | Propose | Status
encode = msgspec.msgpack.Encoder().encode
_messages = msgspec.msgpack.Decoder(Message)
_records = msgspec.msgpack.Decoder(Record)
_saved = msgspec.msgpack.Decoder(Saved)


def decode(body: bytes) -> Message | None:
    """Decodes a message; None if malformed."""
    return _decode(_messages, body)


def record(body: bytes) -> Record | None:
    """Decodes an agreed record; None if malformed."""
    return _decode(_records, body)


def saved(body: bytes) -> Saved | None:
    """Decodes a stored purge; None if malformed."""
    return _decode(_saved, body)


def _decode(decoder, body: bytes):
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def size(item: Item | str) -> int:
    """Upper bound of the encoded bytes of a list item."""
    return 3 + len(item.encode()) if isinstance(item, str) else 19 + size(item[2])
