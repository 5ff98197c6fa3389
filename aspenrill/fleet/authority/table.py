"""Agreed records, the latest of each (kind, key), in the order of their numbers.

What holds of every table, wherever its records came from: for each pair it has the latest record up to
`last`, unless a later one beyond `last` is agreed. Chunks of another table keep that true, so a process may
fetch from any other. An ended pair (empty body) is remembered so that late comers hear of it; beyond
MOST_ENDED of them the oldest is forgotten and `floor` moves up to it: who knows less than that takes the
whole table.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from .rules import MOST_ENDED, MOST_KEYS
from .wire import Chunk, Record, fitting


@dataclass(slots=True)
class Change:
    """What an application did: records that are new, in order, and numbers that the table holds no more."""

    news: list[Record] = field(default_factory=list)
    gone: list[int] = field(default_factory=list)
    whole: bool = False


class Table:
    """Starts empty; `apply` and `replace` alone change it."""

    def __init__(self) -> None:
        self.last = 0
        self.floor = 0
        self.latest: dict[tuple[str, str], Record] = {}
        self._held: dict[int, Record] = {}
        self._numbers: list[int] = []  # ascending; those not in `_held` are left over
        self._ended: deque[int] = deque()
        self._ended_count = 0

    @property
    def full(self) -> bool:
        return len(self.latest) - self._ended_count >= MOST_KEYS

    def apply(self, records: Iterable[Record], to: int) -> Change:
        """What is new of (last, to]; the records in ascending order."""
        change = Change()
        for record in records:
            if self.last < record.number <= to:
                self._hold(record, change)
                change.news.append(record)
                self.last = record.number
        self.last = max(self.last, to)
        self._forget(change)
        return change

    def replace(self, records: list[Record], to: int, floor: int) -> Change | None:
        """The whole of another table that is further on. A pair that it does not have has ended, between
        `last` and `floor`, at a number that nobody knows any more: it gets one of those that are not in use
        there. None where those do not suffice: it is no whole table."""
        keys = {(record.kind, record.key) for record in records}
        lost = [record for pair, record in self.latest.items() if pair not in keys and record.body]
        used = {record.number for record in records}
        free = (number for number in range(self.last + 1, floor + 1) if number not in used)
        ends = [
            Record(number, old.epoch, old.kind, old.key, b"")
            for old, number in zip(sorted(lost, key=lambda r: r.number), free, strict=False)
        ]
        if to <= self.last or len(ends) < len(lost):
            return None
        change = Change(whole=True)
        change.news = sorted(
            [record for record in records if record.number > self.last] + ends,
            key=lambda record: record.number,
        )
        change.gone = [number for number in self._held if number not in used] + [end.number for end in ends]
        self.__init__()
        for record in records:
            self._hold(record, change)
        self.last, self.floor = to, floor
        self._forget(change)
        return change

    def chunk(self, after: int, epoch: int) -> Chunk:
        """As much beyond `after` as one message holds."""
        start = bisect_right(self._numbers, after)
        records, number = [], start
        while number < len(self._numbers) and len(records) < 40:
            if (record := self._held.get(self._numbers[number])) is not None:
                records.append(record)
            number += 1
        more = number < len(self._numbers)
        count = fitting(records)
        to = records[count - 1].number if more or count < len(records) else self.last
        return Chunk(after, to, self.last, self.floor, epoch, records[:count])

    def _hold(self, record: Record, change: Change) -> None:
        pair = (record.kind, record.key)
        if (old := self.latest.get(pair)) is not None:
            del self._held[old.number]
            change.gone.append(old.number)
            self._ended_count -= not old.body
        self.latest[pair] = self._held[record.number] = record
        self._numbers.append(record.number)
        if not record.body:
            self._ended.append(record.number)
            self._ended_count += 1

    def _forget(self, change: Change) -> None:
        while self._ended and (self._ended_count > MOST_ENDED or self._ended[0] not in self._held):
            record = self._held.pop(self._ended.popleft(), None)
            if record is not None:
                del self.latest[record.kind, record.key]
                change.gone.append(record.number)
                self._ended_count -= 1
                self.floor = record.number
        if len(self._numbers) > 2 * len(self._held) + 64:
            self._numbers = sorted(self._held)
