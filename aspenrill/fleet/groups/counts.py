"""Grow-only counters by (origin, incarnation, group, hour), merged by the larger value.

Merging is commutative, associative and idempotent, so repetition, reordering and restarts are harmless (a
G-Counter: Shapiro, Preguica, Baquero, Zawirski, "Conflict-free replicated data types", 2011). An origin
seals each hour once it is over, which distinguishes zero from missing: an unsealed hour is missing.

An hour is closed when all origins alive in it have sealed it, or after a day. Closed hours are folded: sealed
counters are final, so they become one total and only their origins are remembered, by which repeats are
recognised. A later value of an origin that is not folded reopens the hour as a revision. Hours are UTC,
counted from 1970.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .hours import (
    ZERO,
    CountRules,
    HourCounters,
    Key,
    Origin,
    OriginCounters,
    Value,
    add_values,
    merge_values,
)
from .records import SEAL, Cell, HourRecord, OwnCounters, pack, read


class Counts:
    """The counters of this process (`add` is cheap) and those received from others, by hour."""

    def __init__(self, rules: CountRules, name: str, incarnation: int, hour: int) -> None:
        self.rules, self.own_origin, self.hour = rules, (name, incarnation), hour
        self.hours: dict[int, HourCounters] = {}
        self.own: dict[int, list[int]] = {}  # counters of the current hour by group
        self.updated_groups: set[int] = set()
        self.usual_bytes: dict[str, float] = {}  # bytes per hour by name, decaying mean
        self.groups: set[int] = set()
        self.cells = 0
        self.rejected = 0
        self.unsaved_hours: set[int] = set()  # hours whose state on disk is outdated

    # ---- counters of this process ---------------------------------------------------------------------

    def add(self, group: int, rows: int, size: int, work: int) -> None:
        """Adds what a load has written: rows, bytes, core-milliseconds of work."""
        value = self.own.get(group)
        if value is None:
            if len(self.own) >= self.rules.max_groups:
                self.rejected += 1
                return
            value = self.own[group] = [0, 0, 0]
        value[0] += max(0, rows)
        value[1] += max(0, size)
        value[2] += max(0, work)
        self.updated_groups.add(group)

    def flush(self) -> list[Key]:
        """Merges the own counters; the keys of those that have grown."""
        keys = [
            self._merge_value(self.own_origin, group, self.hour, tuple(self.own[group]))
            for group in self.updated_groups
        ]
        self.updated_groups.clear()
        return [key for key in keys if key]

    def advance_to(self, hour: int) -> list[Key]:
        """Advances to the current hour and seals the hours before it.

        After a small step back of the wall clock the hour reached stays current. After a larger one the
        counters of the hour that the clock shows are continued.
        """
        keys: list[Key] = []
        if hour < self.hour - 1:
            keys += self.flush()
            self.hour = hour
            counters = self.hours[hour].origins.get(self.own_origin) if hour in self.hours else None
            self.own = {group: list(value) for group, value in counters.groups.items()} if counters else {}
        while self.hour < hour:
            keys += self.seal()
            self.own.clear()
            alive = self.hours[self.hour].expected
            self.hour = max(self.hour + 1, hour - self.rules.accept_for)
            if self.hour < hour:  # paused for whole hours: origins alive before are still expected
                self.expect(alive)
        return keys

    def seal(self) -> list[Key]:
        """Seals the current hour: it is over, or this process leaves."""
        keys = self.flush()
        keys += self.seal_for(self.own_origin, self.hour)
        return keys

    def seal_for(self, origin: Origin, hour: int) -> list[Key]:
        """Seals an hour of this process, or of its previous incarnation."""
        bucket = self.hours.get(hour)
        counters = (bucket.origins.get(origin) if bucket else None) or OriginCounters()
        key = self._merge_value(origin, SEAL, hour, counters.seal_value())
        return [key] if key else []

    # ---- counters of other processes ------------------------------------------------------------------

    def merge(self, cell: Cell) -> Key | None:
        """Merges a received cell; its key if it changed anything."""
        if (cell.origin, cell.incarnation) == self.own_origin:
            return None  # only this process updates its own counters
        return self._merge_value(
            (cell.origin, cell.incarnation), cell.group, cell.hour, (cell.rows, cell.bytes, cell.work)
        )

    def _merge_value(self, origin: Origin, group: int, hour: int, value: Value) -> Key | None:
        """Merges a value; None if it changes nothing, is too old or exceeds a bound."""
        max_age = self.rules.accept_for if origin[0] else self.rules.retention
        bucket = self.hours.get(hour) or HourCounters()
        if not self.hour - max_age <= hour <= self.hour + 1 or not self._fits(origin, group, bucket):
            self.rejected += 1
            return None
        if (
            origin in bucket.folded
            or bucket.adopted_count
            and (origin[0] or origin[1] <= bucket.adopted_count)
        ):
            return None
        if (
            not origin[0]
            and not bucket.adopted_count
            and (bucket.folded or any(o[0] for o in bucket.origins))
        ):
            return None  # own sums are not mixed with a total of another collector
        counters = bucket.origins.get(origin) or OriginCounters()
        old = counters.seal if group == SEAL else counters.groups.get(group)
        new = value if old is None else merge_values(old, value)
        if new == old:
            return None
        self.hours[hour] = bucket
        bucket.origins[origin] = counters
        if group == SEAL:
            counters.seal = new
        else:
            counters.groups[group] = new
            self.cells += old is None
            self.groups.add(group)
        self._on_update(hour, bucket, origin, counters)
        return *origin, group, hour

    def _fits(self, origin: Origin, group: int, bucket: HourCounters) -> bool:
        group_fits = group == SEAL or group in self.groups or len(self.groups) < self.rules.max_groups
        known_origin = origin in bucket.origins or len(bucket.origins) < self.rules.max_origins
        return group_fits and known_origin and (self.cells < self.rules.max_cells or group == SEAL)

    def _on_update(self, hour: int, bucket: HourCounters, origin: Origin, counters: OriginCounters) -> None:
        """Updates an hour after one of its counters has changed."""
        if not origin[0]:
            if not counters.is_complete():
                return
            self.cells -= sum(len(t.groups) for t in bucket.origins.values())
            if not any(o[0] for o in bucket.origins):
                bucket.total, bucket.adopted_count, bucket.expected = dict(counters.groups), origin[1], set()
            bucket.origins = {o: t for o, t in bucket.origins.items() if o[0]}
            self.cells += sum(len(t.groups) for t in bucket.origins.values())
        bucket.cached_totals = None
        bucket.revision += bucket.closed
        bucket.closed = False
        self.unsaved_hours.add(hour)

    # ---- closing --------------------------------------------------------------------------------------

    def expect(self, origins: Iterable[Origin]) -> None:
        """Origins alive in the current hour, each of which has to seal it within a day."""
        bucket = self.hours.setdefault(self.hour, HourCounters())
        new_origins = set(origins) - bucket.expected
        if new_origins and len(bucket.expected) < self.rules.max_origins:
            bucket.expected |= new_origins
            self.unsaved_hours.add(self.hour)

    def close(self, unsent: frozenset[int] = frozenset()) -> list[int]:
        """Closes and folds hours that are due and drops expired ones; the hours that were closed.

        `unsent` are hours with counters that another collector has not acknowledged.
        """
        closed_hours = []
        for hour in sorted(self.hours):
            bucket = self.hours[hour]
            age = self.hour - hour
            if age > self.rules.retention:
                self.cells -= sum(len(t.groups) for t in bucket.origins.values())
                del self.hours[hour]
                self.unsaved_hours.add(hour)
                continue
            # a collector that was not running in that hour does not know its origins
            was_running = bucket.adopted_count or bucket.expected
            if (
                age > 0
                and not bucket.closed
                and (age > self.rules.close_after or was_running and not bucket.missing_origins())
            ):
                bucket.closed = True
                closed_hours.append(hour)
                self.unsaved_hours.add(hour)
                self._update_usual_bytes(bucket)
                bucket.missing_share = (
                    self._missing_share({name for name, _ in bucket.missing_origins()})
                    if was_running
                    else 1.0
                )
            if (
                bucket.closed
                and bucket.origins
                and age >= self.rules.fold_after
                and (hour not in unsent or age > self.rules.close_after)
            ):
                self._fold(bucket, age > self.rules.accept_for)
        return closed_hours

    def _fold(self, bucket: HourCounters, final: bool) -> None:
        """Adds complete origins to the total; all origins if `final`, when later values are refused."""
        missing = bucket.missing_origins()
        for origin in [o for o, t in bucket.origins.items() if o[0] and (final or t.is_complete())]:
            counters = bucket.origins.pop(origin)
            self.cells -= len(counters.groups)
            for group, value in counters.groups.items():
                bucket.total[group] = add_values(bucket.total.get(group, ZERO), value)
            if counters.is_complete():
                bucket.folded.add(origin)
        if final:
            bucket.expected, bucket.adopted_count = (
                missing,
                bucket.adopted_count or max(1, len(bucket.folded)),
            )
            bucket.folded = set()
            self.cells -= sum(len(t.groups) for t in bucket.origins.values())
            bucket.origins.clear()

    def _update_usual_bytes(self, bucket: HourCounters) -> None:
        """Updates the usual bytes per hour of each name, a mean that decays over some days."""
        for (name, _), counters in bucket.origins.items():
            if (
                name
                and counters.is_complete()
                and (name in self.usual_bytes or len(self.usual_bytes) < self.rules.max_origins)
            ):
                size = float(sum(v[1] for v in counters.groups.values()))
                self.usual_bytes[name] = 0.98 * self.usual_bytes.get(name, size) + 0.02 * size

    def _missing_share(self, names: set[str]) -> float:
        """The share of bytes that these names usually write; each counts for at least a tenth of the mean."""
        mean = sum(self.usual_bytes.values()) / len(self.usual_bytes) if self.usual_bytes else 1.0
        missing = sum(max(self.usual_bytes.get(name, mean), mean / 10) for name in names)
        present = sum(value for name, value in self.usual_bytes.items() if name not in names)
        return missing / (missing + present) if missing > 0 else float(bool(names))

    def is_known(self, hour: int) -> bool:
        """Whether the hour is closed and no significant share of it is missing."""
        bucket = self.hours.get(hour)
        return bucket is not None and bucket.closed and bucket.missing_share <= self.rules.max_missing_share

    def series(self, group: int, field_: int) -> tuple[int, list[float | None]]:
        """The first hour, and the values of all hours from it to the last completed one; None if missing.

        `field_` is 0 for rows, 1 for bytes, 2 for work. Values are scaled up by the missing share.
        """
        if not self.hours:
            return self.hour, []
        first = min(self.hours)
        return first, [
            self.hours[h].totals().get(group, ZERO)[field_] / (1 - self.hours[h].missing_share)
            if self.is_known(h)
            else None
            for h in range(first, self.hour)
        ]

    # ---- exchange with other processes and the disk ---------------------------------------------------

    def cell(self, key: Key) -> Cell | None:
        """The current cell of a key; None if it was folded meanwhile."""
        *origin, group, hour = key
        bucket = self.hours.get(hour)
        if bucket is None:
            return None
        if not origin[0]:
            return self._total(bucket, group, hour) if origin[1] == bucket.origin_count() else None
        counters = bucket.origins.get((origin[0], origin[1]))
        value = counters and (counters.seal if group == SEAL else counters.groups.get(group))
        return Cell(*key, *value) if value else None

    def _total(self, bucket: HourCounters, group: int, hour: int) -> Cell | None:
        totals = bucket.totals()
        if group != SEAL:
            return Cell("", bucket.origin_count(), group, hour, *totals[group]) if group in totals else None
        return Cell("", bucket.origin_count(), SEAL, hour, *OriginCounters(totals).seal_value())

    def keys(self) -> Iterator[Key]:
        """The keys of all cells that are not folded."""
        for hour, bucket in self.hours.items():
            for origin, counters in bucket.origins.items():
                yield from ((*origin, group, hour) for group in counters.groups)
                if counters.seal is not None:
                    yield *origin, SEAL, hour

    def total_keys(self, hours: Iterable[int]) -> Iterator[Key]:
        """The keys of the totals of these hours, if known."""
        for hour in hours:
            bucket = self.hours[hour]
            if self.is_known(hour) and bucket.origin_count():
                yield from (("", bucket.origin_count(), group, hour) for group in (*bucket.totals(), SEAL))

    def record(self, hour: int) -> bytes | None:
        """The stored form of an hour; None if it was dropped. Totals are cells with an empty origin."""
        bucket = self.hours.get(hour)
        if bucket is None:
            return None
        cells = [Cell("", bucket.adopted_count, g, hour, *v) for g, v in bucket.total.items()]
        cells += [
            Cell(*o, g, hour, *v) for o, t in bucket.origins.items() if o[0] for g, v in t.groups.items()
        ]
        cells += [Cell(*o, SEAL, hour, *t.seal) for o, t in bucket.origins.items() if o[0] and t.seal]
        return pack(
            HourRecord(
                1,
                hour,
                bucket.revision,
                tuple(sorted(bucket.folded)),
                tuple(sorted(bucket.expected)),
                tuple(cells),
            )
        )

    def restore(self, body: bytes) -> int | None:
        """Restores an hour from disk; None if it is damaged or too old."""
        record = read(body, HourRecord)
        if record is None or not self.hour - self.rules.retention <= record.hour <= self.hour:
            return None
        bucket = self.hours[record.hour] = HourCounters(
            folded=set(record.folded), expected=set(record.expected), revision=record.revision
        )
        for cell in record.cells:
            if cell.origin or cell.group == SEAL:
                self._merge_value(
                    (cell.origin, cell.incarnation), cell.group, cell.hour, (cell.rows, cell.bytes, cell.work)
                )
            else:
                bucket.total[cell.group] = (cell.rows, cell.bytes, cell.work)
                bucket.adopted_count = cell.incarnation
                self.groups.add(cell.group)
        return record.hour

    def own_record(self) -> bytes:
        """The stored form of own counters that may not have reached a collector, for the next incarnation."""
        cells = tuple(
            Cell(*self.own_origin, g, h, *v)
            for h in range(self.hour - self.rules.close_after, self.hour + 1)
            if h in self.hours and self.own_origin in self.hours[h].origins
            for g, v in self.hours[h].origins[self.own_origin].groups.items()
        )
        return pack(OwnCounters(1, self.own_origin[1], self.hour, cells))

    def restore_own(self, body: bytes) -> list[Key]:
        """Restores and seals the counters of the previous incarnation, up to the current hour."""
        record = read(body, OwnCounters)
        if record is None or record.incarnation >= self.own_origin[1]:
            return []
        previous = self.own_origin[0], record.incarnation
        keys = [
            self._merge_value(previous, c.group, c.hour, (c.rows, c.bytes, c.work))
            for c in record.cells
            if (c.origin, c.incarnation) == previous
        ]
        first = min((c.hour for c in record.cells), default=record.hour)
        for hour in range(max(first, self.hour - self.rules.close_after), self.hour + 1):
            keys += self.seal_for(previous, hour)
        return [key for key in keys if key]
