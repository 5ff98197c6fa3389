"""The part of a process: it counts and tells; where it coordinates it looks ahead, plans, and takes the
steps.

The owner calls `count` for what was written, `tell` with what it sees of engines and trouble, and routes by
the facts that come back (`splits.MapNews`, `WarmNews`); `SplitNews` is for the driver, which writes
`owner_file`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..interface import Agreed, Authority, Effect, Entry, Member, Note, Put, State, Store, View
from .counts import Counts
from .forecast import Forecast, ForecastRules, forecast
from .hours import CountRules
from .records import Ask, CallOff, Heard, Held, Message, Size, Split, Step, Tell, pack, read
from .route import Router
from .schedule import Outlook, Plan, Scheduler, ScheduleRules
from .splits import Facts, SplitRules, Splits
from .telling import Telling, TellRules

MAP, OFF = "groups.map", "groups.off"
BYTES, WORK = 1, 2


@dataclass(frozen=True, slots=True)
class GroupRules:
    """Seconds: `tell` own counters to a keeper, `store` what a keeper holds. `keepers`: the voters.
    `homes`: of a part. `sizes`: bytes that groups held before anything was counted."""

    keepers: tuple[str, ...]
    schedule: ScheduleRules
    homes: int = 1
    tell: float = 60.0
    store: float = 300.0
    sizes: Mapping[int, float] = field(default_factory=dict)
    counts: CountRules = CountRules()
    telling: TellRules = TellRules()
    splits: SplitRules = SplitRules()
    forecast: ForecastRules = ForecastRules()


class Groups:
    """A `Follower`. `hour_of` makes the hour of UTC from the time of a call; nothing that must hold rests
    on it."""

    name = "groups"
    topics = (MAP, OFF)
    kinds = ("split", "map", "size")
    period = 1.0

    def __init__(self, rules: GroupRules, authority: Authority, hour_of: Callable[[float], int]) -> None:
        self.rules, self.authority, self.hour_of = rules, authority, hour_of
        self.splits = Splits(rules.splits, authority, Router(homes=rules.homes))
        self.scheduler = Scheduler(rules.schedule)
        self.sizes: dict[int, Size] = {}
        self.looked: dict[int, tuple[int, int]] = {}  # by group: the hour, and `revisions` then
        self.dead: dict[str, int] = {}  # since which hour
        self.told_at = self.stored_at = 0.0
        self.held: int | None = None
        self.off: tuple[str, ...] = ()
        self.revisions = 0  # hours closed, and closed anew

    # ---- the owner's calls ----------------------------------------------------------------------------

    def count(self, group: int, rows: int, size: int, work: int) -> None:
        """What a load has written: rows, bytes, core-milliseconds. A few sums; nothing goes out."""
        self.counts.add(group, rows, size, work)

    def tell(self, now: float, facts: Facts) -> list[Effect]:
        """What the owner sees now; at least every `SplitRules.fresh` seconds, or no step is taken."""
        self.splits.tell(now, facts)
        return []

    def call_off(self, now: float, ident: str) -> list[Effect]:
        """An operator does not want this split. It is dropped, unless the map has it already."""
        split = self.splits.splits.get(ident)
        if split is None or split.step >= Step.SWITCHED or ident in self.off:
            return []
        self.off = (*self.off, ident)[-8:]
        return [Put(OFF, pack(CallOff(self.off)))]

    # ---- a part's calls -------------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Hours that this keeper knew; what the former life had counted is told and sealed."""
        self.view = view
        self.counts = Counts(self.rules.counts, view.name, view.incarnation, self.hour_of(now))
        self.telling = Telling(self.rules.telling, self.rules.keepers, self.counts)
        self.told_at = self.stored_at = now
        bad = [
            key
            for key, body in sorted(stored.items())
            if key.startswith("hour/") and self.counts.restore(body) is None
        ]
        self.counts.relive(stored.get("life", b""))
        self.counts.changed.update(self.counts.hours)
        effects: list[Effect] = [Store(key, None) for key in bad]
        if bad:
            effects.append(Note(f"{len(bad)} hours of the groups' counts are damaged or too old"))
        return effects

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """Looked at with the next tick."""
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """Read from the board when needed."""
        return []

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """Counters, their acknowledgement, or a keeper that was away."""
        message = read(body, Message)
        if isinstance(message, Tell):
            return self.telling.on_tell(sender, message)
        if isinstance(message, Heard):
            return self.telling.on_heard(now, sender, message)
        if isinstance(message, Ask):
            self.telling.on_ask(sender, message)
        return []

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """A step, a version of the map, or a size: from now on it counts."""
        if record.kind != "size":
            return self.splits.on_agreed(now, record) + self._hold()
        size = read(record.body, Size)
        self.splits.agreed(record)
        if (
            size is not None
            and str(size.group) == record.key
            and (size.group in self.sizes or len(self.sizes) < self.rules.counts.most_groups)
        ):
            self.sizes[size.group] = size
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Count, tell, close; and where this process coordinates, look at one group and take steps."""
        counts, hour = self.counts, self.hour_of(now)
        effects: list[Effect] = []
        due = not 0 <= now - self.told_at < self.rules.tell
        if due or hour != counts.hour:
            self.told_at = now
            keys = counts.turn(hour) + counts.flush()
            if keys:
                effects.append(Store("life", counts.life()))
                self.telling.changed(keys)
        if self.telling.keeps:
            effects += self._keep(now)
        effects += self.telling.tick(now, self.view.members())
        if self.held is None:
            effects += self._hold()
        if self.off and all(i not in self.splits.splits or self.splits.splits[i].step.over for i in self.off):
            self.off = ()
            effects.append(Put(OFF, b""))
        effects += self.splits.tick(now, counts.hour, self._called_off(), self.scheduler.wanted, self._spread)
        if self.splits.acts(now):
            effects += self._look(now)
        return effects

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """Counting goes on; what is not on disk now is tried again."""
        if key.startswith("hour/") and key[5:].isdigit():
            self.counts.changed.add(int(key[5:]))
        return []

    def on_leave(self, now: float) -> list[Effect]:
        """The hour is sealed: nothing more comes from this life."""
        keys = self.counts.turn(self.hour_of(now)) + self.counts.seal()
        self.telling.changed(keys)
        return [Store("life", self.counts.life()), *self.telling.tick(now, self.view.members())]

    # ---- keeping --------------------------------------------------------------------------------------

    def _keep(self, now: float) -> list[Effect]:
        """Who is expected to tell of this hour; closing; and onto the disk."""
        counts = self.counts
        counts.expect(self._alive())
        anew = counts.close(self.telling.held())
        if anew:
            self.revisions += 1
            self.telling.revised(anew)
        if 0 <= now - self.stored_at < self.rules.store:
            return []
        self.stored_at = now
        changed, counts.changed = sorted(counts.changed), set()
        return [Store(f"hour/{hour}", counts.record(hour)) for hour in changed]

    def _alive(self) -> list[tuple[str, int]]:
        """Those there, and those found dead within a day: cut off, they may still be counting."""
        alive, hour = [], self.counts.hour
        members = self.view.members()
        for member in members.values():
            if member.state == State.DEAD:
                self.dead.setdefault(member.name, hour)
            else:
                self.dead.pop(member.name, None)
            if member.there or hour - self.dead.get(member.name, -1) <= self.rules.counts.closing:
                alive.append((member.name, member.incarnation))
        self.dead = {name: since for name, since in self.dead.items() if name in members}
        return alive

    # ---- the map --------------------------------------------------------------------------------------

    def _hold(self) -> list[Effect]:
        """Tell all by which version this process routes."""
        if self.held == self.splits.map.version:
            return []
        self.held = self.splits.map.version
        return [Put(MAP, pack(Held(self.held)))]

    def _spread(self, version: int) -> bool:
        """All that are there have told that they route by this version."""
        for member in self.view.members().values():
            if member.there and member.name != self.view.name:
                entry = self.view.entry(member.name, MAP)
                held = read(entry.value, Held) if entry and entry.incarnation == member.incarnation else None
                if held is None or held.version < version:
                    return False
        return self.splits.map.version >= version

    def _called_off(self) -> Iterable[str]:
        told = [read(entry.value, CallOff) for entry in self.view.entries(OFF)]
        return {*self.off, *(ident for off in told if off for ident in off.ids)}

    # ---- looking ahead --------------------------------------------------------------------------------

    def _look(self, now: float) -> list[Effect]:
        """One group whose hours have changed since it was looked at: a forecast, and a plan where one is
        due."""
        at = self.counts.hour, self.revisions
        group = next((g for g in sorted(self.counts.groups) if self.looked.get(g) != at), None)
        if group is None:
            return []
        self.looked[group] = at
        self.scheduler.look(self.outlook(group), self.splits.splits)
        if not self.splits.quiet(now) or not self.splits.free(group, now) or not self.splits.room():
            return self._size(now, group)
        plan = self.scheduler.plan(group, self.splits.map.parts(group), self.counts.hour)
        return self._size(now, group) + (self.splits.propose(now, self._split(plan)) if plan else [])

    def outlook(self, group: int) -> Outlook:
        """What is known of a group, and how it goes on."""
        first, series = self.counts.series(group, BYTES)
        rng = random.Random(f"{group}/{self.counts.hour}")
        growth = forecast(first, series, rng, self.rules.forecast)
        work: Forecast | None = None
        if self.rules.schedule.work != float("inf"):
            work = forecast(*self.counts.series(group, WORK), rng, self.rules.forecast)
        held = self._bytes(group, first, series, self.counts.hour)
        return Outlook(group, self.counts.hour - 1, held, growth, work)

    def _bytes(self, group: int, first: int, series: list[float | None], end: int) -> float:
        """Held before hour `end`: the last size agreed, and all since; missing hours as the mean of the
        others."""
        size = self.sizes.get(group)
        start = max(0, size.hour + 1 - first) if size else 0
        since = series[start : max(start, end - first)]
        known = [value for value in since if value is not None]
        before = size.bytes if size else self.rules.sizes.get(group, 0.0)
        return before + (sum(known) * len(since) / len(known) if known else 0.0)

    def _size(self, now: float, group: int) -> list[Effect]:
        """Once a week, the size as of three days ago, when no late counts come any more."""
        first, series = self.counts.series(group, BYTES)
        size, hour = self.sizes.get(group), self.counts.hour - self.rules.counts.late - 1
        if hour - (size.hour if size else first) < 168:
            return []
        held = min(1e18, self._bytes(group, first, series, hour + 1))
        return self.splits.propose_record(now, "size", str(group), pack(Size(group, hour, held)))

    def _split(self, plan: Plan) -> Split:
        """The record of a plan. Its name is the same at whoever plans it in this hour."""
        router = self.splits.router
        homes = dict.fromkeys(
            e for part in range(plan.parts) for e in router.part_order(plan.group, part)[: self.rules.homes]
        )
        names = list(homes)[:16]
        while sum(len(name.encode()) + 2 for name in names) > 320:  # a record of the log holds 600 bytes
            names.pop()
        ident = f"g{plan.group}-{plan.parts}-v{self.splits.map.version}-h{self.counts.hour}"
        return Split(
            ident, plan.group, plan.was, plan.parts, Step.PROPOSED, plan.at, plan.before, tuple(names)
        )
