"""Grow-only counters by (origin, incarnation, group, hour), merged by the larger value.

A merge is commutative, associative and idempotent, so repeats, disorder and restarts do no harm (a
G-Counter: Shapiro, Preguica, Baquero, Zawirski, "Conflict-free replicated data types", 2011). An origin
seals each hour once it is over: so zero is told, and what is not sealed is missing, never zero.

An hour is closed when all origins alive in it have sealed it, or after a day. What closes is folded: sealed
parts are final, so their cells become one total and only their origins are remembered; a repeat is known by
its origin. A later value of an origin not folded re-opens the hour as a revision. Hours are of UTC, since
1970.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .hours import NONE, CountRules, HourBook, Key, Origin, Told, Value, larger, plus
from .records import SEAL, Cell, Kept, Life, pack, read


class Counts:
    """Own counting (`add`: a dictionary and three sums), and all that was told, by hour."""

    def __init__(self, rules: CountRules, name: str, incarnation: int, hour: int) -> None:
        self.rules, self.me, self.hour = rules, (name, incarnation), hour
        self.hours: dict[int, HourBook] = {}
        self.own: dict[int, list[int]] = {}  # of the hour now
        self.touched: set[int] = set()
        self.usual: dict[str, float] = {}  # bytes an hour by name, decayed
        self.groups: set[int] = set()
        self.cells = 0
        self.turned_away = 0
        self.changed: set[int] = set()  # hours not on disk as they are

    # ---- own counting ---------------------------------------------------------------------------------

    def add(self, group: int, rows: int, size: int, work: int) -> None:
        """A load has ended, or has written so much on: rows, bytes, core-milliseconds."""
        value = self.own.get(group)
        if value is None:
            if len(self.own) >= self.rules.most_groups:
                self.turned_away += 1
                return
            value = self.own[group] = [0, 0, 0]
        value[0] += max(0, rows)
        value[1] += max(0, size)
        value[2] += max(0, work)
        self.touched.add(group)

    def flush(self) -> list[Key]:
        """Own counters as they are now, among all the others; those that have grown."""
        keys = [self._put(self.me, group, self.hour, tuple(self.own[group])) for group in self.touched]
        self.touched.clear()
        return [key for key in keys if key]

    def turn(self, hour: int) -> list[Key]:
        """To the hour now: those before it are sealed. A clock set back by little goes on with the hour
        reached, one set back by more goes on where it was in the hour that it shows."""
        keys: list[Key] = []
        if hour < self.hour - 1:
            keys += self.flush()
            self.hour = hour
            told = self.hours[hour].told.get(self.me) if hour in self.hours else None
            self.own = {group: list(value) for group, value in told.groups.items()} if told else {}
        while self.hour < hour:
            keys += self.seal()
            self.own.clear()
            alive = self.hours[self.hour].expected
            self.hour = max(self.hour + 1, hour - self.rules.late)
            if self.hour < hour:  # paused all through it: who was alive before is expected to tell
                self.expect(alive)
        return keys

    def seal(self) -> list[Key]:
        """The hour now is told whole: it is over, or this process leaves."""
        keys = self.flush()
        keys += self.seal_for(self.me, self.hour)
        return keys

    def seal_for(self, origin: Origin, hour: int) -> list[Key]:
        """Seal an hour of this process, or of its former life."""
        book = self.hours.get(hour)
        told = (book.told.get(origin) if book else None) or Told()
        key = self._put(origin, SEAL, hour, told.sums())
        return [key] if key else []

    # ---- what others tell -----------------------------------------------------------------------------

    def merge(self, cell: Cell) -> Key | None:
        """The key, where it was news."""
        if (cell.origin, cell.incarnation) == self.me:
            return None  # only this process counts for itself
        return self._put(
            (cell.origin, cell.incarnation), cell.group, cell.hour, (cell.rows, cell.bytes, cell.work)
        )

    def _put(self, origin: Origin, group: int, hour: int, value: Value) -> Key | None:
        """The larger value; None where that changes nothing, is too old, or is more than is kept."""
        reach = self.rules.late if origin[0] else self.rules.kept
        book = self.hours.get(hour) or HourBook()
        if not self.hour - reach <= hour <= self.hour + 1 or not self._room(origin, group, book):
            self.turned_away += 1
            return None
        if origin in book.folded or book.adopted and (origin[0] or origin[1] <= book.adopted):
            return None
        if not origin[0] and not book.adopted and (book.folded or any(o[0] for o in book.told)):
            return None  # what this keeper has summed itself is not mixed with another's sum
        told = book.told.get(origin) or Told()
        old = told.seal if group == SEAL else told.groups.get(group)
        new = value if old is None else larger(old, value)
        if new == old:
            return None
        self.hours[hour] = book
        book.told[origin] = told
        if group == SEAL:
            told.seal = new
        else:
            told.groups[group] = new
            self.cells += old is None
            self.groups.add(group)
        self._revise(hour, book, origin, told)
        return *origin, group, hour

    def _room(self, origin: Origin, group: int, book: HourBook) -> bool:
        fits = group == SEAL or group in self.groups or len(self.groups) < self.rules.most_groups
        known = origin in book.told or len(book.told) < self.rules.most_origins
        return fits and known and (self.cells < self.rules.most_cells or group == SEAL)

    def _revise(self, hour: int, book: HourBook, origin: Origin, told: Told) -> None:
        """Something of the hour is new."""
        if not origin[0]:
            if not told.whole():
                return
            self.cells -= sum(len(t.groups) for t in book.told.values())
            if not any(o[0] for o in book.told):
                book.total, book.adopted, book.expected = dict(told.groups), origin[1], set()
            book.told = {o: t for o, t in book.told.items() if o[0]}
            self.cells += sum(len(t.groups) for t in book.told.values())
        book.sums = None
        book.revision += book.closed
        book.closed = False
        self.changed.add(hour)

    # ---- closing --------------------------------------------------------------------------------------

    def expect(self, origins: Iterable[Origin]) -> None:
        """Those alive in the hour now; each has to seal it. A day is the most that one is waited for."""
        book = self.hours.setdefault(self.hour, HourBook())
        fresh = set(origins) - book.expected
        if fresh and len(book.expected) < self.rules.most_origins:
            book.expected |= fresh
            self.changed.add(self.hour)

    def close(self, held: frozenset[int] = frozenset()) -> list[int]:
        """Close and fold what is due, forget what is too old; the hours that are closed anew. `held`: hours
        of which another keeper still lacks something."""
        anew = []
        for hour in sorted(self.hours):
            book = self.hours[hour]
            age = self.hour - hour
            if age > self.rules.kept:
                self.cells -= sum(len(t.groups) for t in book.told.values())
                del self.hours[hour]
                self.changed.add(hour)
                continue
            looked = book.adopted or book.expected  # else this keeper was not there, and knows not who was
            if age > 0 and not book.closed and (age > self.rules.closing or looked and not book.missing()):
                book.closed = True
                anew.append(hour)
                self.changed.add(hour)
                self._learn(book)
                book.lack = self._lack({name for name, _ in book.missing()}) if looked else 1.0
            if (
                book.closed
                and book.told
                and age >= self.rules.detail
                and (hour not in held or age > self.rules.closing)
            ):
                self._fold(book, age > self.rules.late)
        return anew

    def _fold(self, book: HourBook, final: bool) -> None:
        """Detail into the total: of what is sealed, or of all where nothing more is taken."""
        lacking = book.missing()
        for origin in [o for o, t in book.told.items() if o[0] and (final or t.whole())]:
            told = book.told.pop(origin)
            self.cells -= len(told.groups)
            for group, value in told.groups.items():
                book.total[group] = plus(book.total.get(group, NONE), value)
            if told.whole():
                book.folded.add(origin)
        if final:
            book.expected, book.adopted = lacking, book.adopted or max(1, len(book.folded))
            book.folded = set()
            self.cells -= sum(len(t.groups) for t in book.told.values())
            book.told.clear()

    def _learn(self, book: HourBook) -> None:
        """Each name's usual bytes an hour: a decayed mean over some days."""
        for (name, _), told in book.told.items():
            if name and told.whole() and (name in self.usual or len(self.usual) < self.rules.most_origins):
                size = float(sum(v[1] for v in told.groups.values()))
                self.usual[name] = 0.98 * self.usual.get(name, size) + 0.02 * size

    def _lack(self, names: set[str]) -> float:
        """The share of an hour that these usually write; who writes little counts as a tenth of the mean."""
        mean = sum(self.usual.values()) / len(self.usual) if self.usual else 1.0
        lacking = sum(max(self.usual.get(name, mean), mean / 10) for name in names)
        there = sum(value for name, value in self.usual.items() if name not in names)
        return lacking / (lacking + there) if lacking > 0 else float(bool(names))

    def heard(self, hour: int) -> bool:
        """Whether the hour is known: closed, and what is missing of it does not matter."""
        book = self.hours.get(hour)
        return book is not None and book.closed and book.lack <= self.rules.tolerated

    def series(self, group: int, field_: int) -> tuple[int, list[float | None]]:
        """The first hour known, and what was written in each from then on to the last one that is over (0:
        rows, 1: bytes, 2: work). None is missing."""
        if not self.hours:
            return self.hour, []
        first = min(self.hours)
        return first, [
            self.hours[h].totals().get(group, NONE)[field_] / (1 - self.hours[h].lack)
            if self.heard(h)
            else None
            for h in range(first, self.hour)
        ]

    # ---- out of and into other processes and lives ----------------------------------------------------

    def cell(self, key: Key) -> Cell | None:
        """As it is now; None where it is folded meanwhile."""
        *origin, group, hour = key
        book = self.hours.get(hour)
        if book is None:
            return None
        if not origin[0]:
            return self._total(book, group, hour) if origin[1] == book.parts() else None
        told = book.told.get((origin[0], origin[1]))
        value = told and (told.seal if group == SEAL else told.groups.get(group))
        return Cell(*key, *value) if value else None

    def _total(self, book: HourBook, group: int, hour: int) -> Cell | None:
        totals = book.totals()
        if group != SEAL:
            return Cell("", book.parts(), group, hour, *totals[group]) if group in totals else None
        return Cell("", book.parts(), SEAL, hour, *Told(totals).sums())

    def keys(self) -> Iterator[Key]:
        """Of all that is in detail."""
        for hour, book in self.hours.items():
            for origin, told in book.told.items():
                yield from ((*origin, group, hour) for group in told.groups)
                if told.seal is not None:
                    yield *origin, SEAL, hour

    def total_keys(self, hours: Iterable[int]) -> Iterator[Key]:
        """Of the totals of those of these hours that are known."""
        for hour in hours:
            book = self.hours[hour]
            if self.heard(hour) and book.parts():
                yield from (("", book.parts(), group, hour) for group in (*book.totals(), SEAL))

    def record(self, hour: int) -> bytes | None:
        """An hour for the disk; None where it is kept no more. Totals stand as cells of an empty origin."""
        book = self.hours.get(hour)
        if book is None:
            return None
        cells = [Cell("", book.adopted, g, hour, *v) for g, v in book.total.items()]
        cells += [Cell(*o, g, hour, *v) for o, t in book.told.items() if o[0] for g, v in t.groups.items()]
        cells += [Cell(*o, SEAL, hour, *t.seal) for o, t in book.told.items() if o[0] and t.seal]
        return pack(
            Kept(
                1, hour, book.revision, tuple(sorted(book.folded)), tuple(sorted(book.expected)), tuple(cells)
            )
        )

    def restore(self, body: bytes) -> int | None:
        """An hour from the disk; None where it is damaged or too old."""
        kept = read(body, Kept)
        if kept is None or not self.hour - self.rules.kept <= kept.hour <= self.hour:
            return None
        book = self.hours[kept.hour] = HourBook(
            folded=set(kept.folded), expected=set(kept.expected), revision=kept.revision
        )
        for cell in kept.cells:
            if cell.origin or cell.group == SEAL:
                self._put(
                    (cell.origin, cell.incarnation), cell.group, cell.hour, (cell.rows, cell.bytes, cell.work)
                )
            else:
                book.total[cell.group] = (cell.rows, cell.bytes, cell.work)
                book.adopted = cell.incarnation
                self.groups.add(cell.group)
        return kept.hour

    def life(self) -> bytes:
        """Own counters that no keeper may have yet, for the next life."""
        cells = tuple(
            Cell(*self.me, g, h, *v)
            for h in range(self.hour - self.rules.closing, self.hour + 1)
            if h in self.hours and self.me in self.hours[h].told
            for g, v in self.hours[h].told[self.me].groups.items()
        )
        return pack(Life(1, self.me[1], self.hour, cells))

    def relive(self, body: bytes) -> list[Key]:
        """Tell and seal what the former life has left, and the hours since then, in which nothing ran."""
        life = read(body, Life)
        if life is None or life.incarnation >= self.me[1]:
            return []
        former = self.me[0], life.incarnation
        keys = [
            self._put(former, c.group, c.hour, (c.rows, c.bytes, c.work))
            for c in life.cells
            if (c.origin, c.incarnation) == former
        ]
        first = min((c.hour for c in life.cells), default=life.hour)
        for hour in range(max(first, self.hour - self.rules.closing), self.hour + 1):
            keys += self.seal_for(former, hour)
        return [key for key in keys if key]
