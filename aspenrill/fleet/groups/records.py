"""What goes over the wire, into the log and onto disk: MessagePack of checked types.

`read` gives None for whatever is not of the checked form, so that nothing malformed changes anything.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

SEAL = -1  # in the place of a group: what an origin has told of an hour is all there is
MOST = 2**53  # the largest count
Count = Annotated[int, Meta(ge=0, le=MOST)]
Hour = Annotated[int, Meta(ge=0, le=10_000_000)]  # of UTC, since 1970
GroupId = Annotated[int, Meta(ge=0, le=2**31)]
Name = Annotated[str, Meta(max_length=64)]
Parts = Annotated[int, Meta(ge=1, le=1024)]


class Cell(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One counter of (origin, incarnation, group, hour): rows, bytes and work (core-milliseconds) written.

    With SEAL as group it is a seal: the number of the hour's cells, and the sums of their bytes and work.
    With an empty origin it is of a total that another keeper has summed; the incarnation is the number of
    its parts.
    """

    origin: Name
    incarnation: Count
    group: Annotated[int, Meta(ge=SEAL, le=2**31)]
    hour: Hour
    rows: Count
    bytes: Count
    work: Count


class Tell(Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True):
    """Some cells; `number` comes back in `Heard`."""

    number: Count
    cells: Annotated[tuple[Cell, ...], Meta(max_length=64)]


class Heard(Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True):
    """All cells of a `Tell` are merged."""

    number: Count


class Ask(Struct, frozen=True, array_like=True, tag=3, forbid_unknown_fields=True):
    """A keeper that was away wants the totals of hours from `since` on."""

    since: Hour


Message = Tell | Heard | Ask


class Step(IntEnum):
    """Of a split, in their order. DROPPED may follow any before SWITCHED."""

    PROPOSED = 1
    AGREED = 2
    WARMING = 3
    SWITCHED = 4
    DONE = 5
    DROPPED = 6

    @property
    def over(self) -> bool:
        """Nothing follows."""
        return self >= Step.DONE


class Split(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A record of kind "split": all of it at each step. `was` and `parts`: how many before it and after.
    `at`: the first hour of its window, `before`: the hour in which the 90% line reaches the limit,
    `engines`: homes old and new, as they were when it was planned."""

    id: Name
    group: GroupId
    was: Parts
    parts: Parts
    step: Step
    at: Hour
    before: Hour
    engines: Annotated[tuple[Name, ...], Meta(max_length=16)] = ()
    reason: Annotated[str, Meta(max_length=120)] = ""


class Shape(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A record of kind "map", its key the group: from this version of the map on, it has so many parts."""

    version: Annotated[int, Meta(ge=1, le=MOST)]
    group: GroupId
    parts: Parts
    split: Name


class Size(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A record of kind "size", its key the group: what it held at the end of an hour, so that hours long ago
    need not be kept."""

    group: GroupId
    hour: Hour
    bytes: Annotated[float, Meta(ge=0, le=1e18)]


class Held(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Told on the board by each process: the version of the map that it routes by."""

    version: Count


class CallOff(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Told on the board: splits that an operator has called off at this process."""

    ids: Annotated[tuple[Name, ...], Meta(max_length=8)]


class Kept(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An hour on a keeper's disk: origins summed up already, and the cells."""

    form: Literal[1]
    hour: Hour
    revision: Count
    folded: Annotated[tuple[tuple[Name, Count], ...], Meta(max_length=4096)]
    expected: Annotated[tuple[tuple[Name, Count], ...], Meta(max_length=4096)]
    cells: tuple[Cell, ...]


class Life(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A process's own counters on its own disk, for the life after it to tell and to seal."""

    form: Literal[1]
    incarnation: Count
    hour: Hour
    cells: tuple[Cell, ...]


T = TypeVar("T")
pack = msgspec.msgpack.Encoder().encode


def read(body: bytes, kind: type[T]) -> T | None:
    """The checked form; None where it is not."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError):  # a ValidationError is a DecodeError
        return None
