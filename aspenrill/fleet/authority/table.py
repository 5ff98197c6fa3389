"""Table of agreed records: the latest of each (kind, key), ordered by log number.

Invariant of every table, whatever the source of its records: for each pair it holds the latest record up to
`last`, unless a later one beyond `last` is agreed. Chunks of another table preserve the invariant, so a
process may fetch from any other. A deleted pair (empty body) stays as a tombstone so that processes that are
behind learn of the deletion. Beyond MAX_TOMBSTONES the oldest is dropped and `floor` rises to its number; a
process that is behind `floor` fetches the complete table.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from .rules import MAX_KEYS, MAX_TOMBSTONES
from .wire import Chunk, Record, count_fitting


@dataclass(slots=True)
class Change:
    """Result of an update: new records in order, and log numbers that the table no longer holds.

    `complete` tells that the table was replaced as a whole.
    """

    new_records: list[Record] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)
    complete: bool = False


class Table:
    """The agreed records; only `apply` and `replace` modify it."""

    def __init__(self) -> None:
        self.last = 0
        self.floor = 0
        self.latest: dict[tuple[str, str], Record] = {}
        self._by_number: dict[int, Record] = {}
        self._numbers: list[int] = []  # ascending; may include numbers that are no longer in `_by_number`
        self._tombstones: deque[int] = deque()
        self._tombstone_count = 0

    @property
    def full(self) -> bool:
        """No further (kind, key) pair can be added."""
        return len(self.latest) - self._tombstone_count >= MAX_KEYS

    def apply(self, records: Iterable[Record], to: int) -> Change:
        """Adds the records of (last, to], given in ascending order."""
        change = Change()
        for record in records:
            if self.last < record.number <= to:
                self._insert(record, change)
                change.new_records.append(record)
                self.last = record.number
        self.last = max(self.last, to)
        self._drop_tombstones(change)
        return change

    def replace(self, records: list[Record], to: int, floor: int) -> Change | None:
        """Replaces the content with the complete table of a process that is ahead.

        A pair that is absent there was deleted between `last` and `floor`, at a number that is no longer
        known. Its tombstone gets an unused number of that range. Returns None if there are too few unused
        numbers: the records are no complete table.
        """
        pairs = {(record.kind, record.key) for record in records}
        missing = [record for pair, record in self.latest.items() if pair not in pairs and record.body]
        used = {record.number for record in records}
        free = (number for number in range(self.last + 1, floor + 1) if number not in used)
        tombstones = [
            Record(number, old.epoch, old.kind, old.key, b"")
            for old, number in zip(sorted(missing, key=lambda r: r.number), free, strict=False)
        ]
        if to <= self.last or len(tombstones) < len(missing):
            return None
        change = Change(complete=True)
        change.new_records = sorted(
            [record for record in records if record.number > self.last] + tombstones,
            key=lambda record: record.number,
        )
        change.removed = [number for number in self._by_number if number not in used] + [
            tombstone.number for tombstone in tombstones
        ]
        self.__init__()
        for record in records:
            self._insert(record, change)
        self.last, self.floor = to, floor
        self._drop_tombstones(change)
        return change

    def chunk(self, after: int, epoch: int) -> Chunk:
        """Records beyond `after`, as many as fit into one message."""
        start = bisect_right(self._numbers, after)
        records, number = [], start
        while number < len(self._numbers) and len(records) < 40:
            if (record := self._by_number.get(self._numbers[number])) is not None:
                records.append(record)
            number += 1
        more = number < len(self._numbers)
        count = count_fitting(records)
        to = records[count - 1].number if more or count < len(records) else self.last
        return Chunk(after, to, self.last, self.floor, epoch, records[:count])

    def _insert(self, record: Record, change: Change) -> None:
        pair = (record.kind, record.key)
        if (old := self.latest.get(pair)) is not None:
            del self._by_number[old.number]
            change.removed.append(old.number)
            self._tombstone_count -= not old.body
        self.latest[pair] = self._by_number[record.number] = record
        self._numbers.append(record.number)
        if not record.body:
            self._tombstones.append(record.number)
            self._tombstone_count += 1

    def _drop_tombstones(self, change: Change) -> None:
        while self._tombstones and (
            self._tombstone_count > MAX_TOMBSTONES or self._tombstones[0] not in self._by_number
        ):
            record = self._by_number.pop(self._tombstones.popleft(), None)
            if record is not None:
                del self.latest[record.kind, record.key]
                change.removed.append(record.number)
                self._tombstone_count -= 1
                self.floor = record.number
        if len(self._numbers) > 2 * len(self._by_number) + 64:
            self._numbers = sorted(self._by_number)
