"""Messages, log records and stored records of table groups, as validated MessagePack.

`read` returns None for malformed input, so that it has no effect.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

SEAL = -1  # in place of a group: the cell seals an hour of its origin
MAX_COUNT = 2**53  # upper bound of a counter
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Hour = Annotated[int, Meta(ge=0, le=10_000_000)]  # UTC, counted from 1970
GroupId = Annotated[int, Meta(ge=0, le=2**31)]
Name = Annotated[str, Meta(max_length=64)]
Parts = Annotated[int, Meta(ge=1, le=1024)]


class Cell(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One counter of (origin, incarnation, group, hour): rows, bytes and work (core-milliseconds) written.

    With SEAL as group it is a seal: the number of the hour's cells, and the sums of their bytes and work.
    With an empty origin it belongs to a total of another collector; the incarnation is then the number of
    origins in it.
    """

    origin: Name
    incarnation: Count
    group: Annotated[int, Meta(ge=SEAL, le=2**31)]
    hour: Hour
    rows: Count
    bytes: Count
    work: Count


class CounterUpdate(Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True):
    """Cells for a collector, which acknowledges them by `number` in `CounterAck`."""

    number: Count
    cells: Annotated[tuple[Cell, ...], Meta(max_length=64)]


class CounterAck(Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True):
    """All cells of a `CounterUpdate` are merged."""

    number: Count


class TotalsRequest(Struct, frozen=True, array_like=True, tag=3, forbid_unknown_fields=True):
    """A collector that was down requests the totals of hours from `since` on."""

    since: Hour


Message = CounterUpdate | CounterAck | TotalsRequest


class Step(IntEnum):
    """Steps of a split, in order. DROPPED may follow any step before SWITCHED."""

    PROPOSED = 1
    AGREED = 2
    WARMING = 3
    SWITCHED = 4
    DONE = 5
    DROPPED = 6

    @property
    def is_final(self) -> bool:
        """Whether no step follows."""
        return self >= Step.DONE


class Split(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Log record of kind "split", repeated in full at each step.

    The group goes from `parts_before` to `parts` parts. `window_start` is the first hour of the split's
    window, `limit_hour` the hour in which the 90% forecast reaches the limit, `engines` the old and new home
    engines at planning time.
    """

    id: Name
    group: GroupId
    parts_before: Parts
    parts: Parts
    step: Step
    window_start: Hour
    limit_hour: Hour
    engines: Annotated[tuple[Name, ...], Meta(max_length=16)] = ()
    reason: Annotated[str, Meta(max_length=120)] = ""


class Layout(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Log record of kind "map", keyed by group: its number of parts from this version of the map on."""

    version: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    group: GroupId
    parts: Parts
    split: Name


class Size(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Log record of kind "size", keyed by group: its size at the end of an hour.

    It replaces the counters of earlier hours.
    """

    group: GroupId
    hour: Hour
    bytes: Annotated[float, Meta(ge=0, le=1e18)]


class MapVersion(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Gossip entry of each process: the version of the map that it routes by."""

    version: Count


class CancelledSplits(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Gossip entry: ids of splits that an operator has cancelled at this process."""

    ids: Annotated[tuple[Name, ...], Meta(max_length=8)]


class HourRecord(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An hour on a collector's disk: its folded origins and its cells."""

    form: Literal[1]
    hour: Hour
    revision: Count
    folded: Annotated[tuple[tuple[Name, Count], ...], Meta(max_length=4096)]
    expected: Annotated[tuple[tuple[Name, Count], ...], Meta(max_length=4096)]
    cells: tuple[Cell, ...]


class OwnCounters(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A process's own counters on its disk, for its next incarnation to send and seal."""

    form: Literal[1]
    incarnation: Count
    hour: Hour
    cells: tuple[Cell, ...]


T = TypeVar("T")
pack = msgspec.msgpack.Encoder().encode


def read(body: bytes, kind: type[T]) -> T | None:
    """Decodes and validates; None if malformed."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError):  # a ValidationError is a DecodeError
        return None
