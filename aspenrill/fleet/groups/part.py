"""The component for table groups: counts and replicates; the coordinator also forecasts and plans splits.

The owner calls `count` for what was written and `tell` with its state, and routes by the facts that come back
(`splits.MapNews`, `WarmNews`). `SplitNews` is for the driver, which writes `owner_file`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..interface import Agreed, Authority, Effect, Entry, LogLine, Member, Put, State, Store, View
from .counts import Counts
from .forecast import Forecast, ForecastRules, forecast
from .hours import CountRules
from .records import (
    CancelledSplits,
    CounterAck,
    CounterUpdate,
    MapVersion,
    Message,
    Size,
    Split,
    Step,
    TotalsRequest,
    pack,
    read,
)
from .route import Router
from .schedule import Outlook, Plan, Scheduler, ScheduleRules
from .splits import Facts, SplitRules, Splits
from .telling import CounterSync, TellRules

MAP_TOPIC = "groups.map"  # topic: version of the map that a process routes by
CANCEL_TOPIC = "groups.off"  # topic: splits cancelled by operators
BYTES_FIELD = 1  # index of bytes in a counter value
WORK_FIELD = 2  # index of work in a counter value


@dataclass(frozen=True, slots=True)
class GroupRules:
    """Settings of table groups.

    Counters are sent to a collector every `tell` seconds, and stored by collectors every `store` seconds.
    `collectors` are the voters, `homes` the number of home engines of a part, `sizes` the bytes that groups
    held before counting began.
    """

    collectors: tuple[str, ...]
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
    """A `Follower`. `hour_of` gives the hour of UTC at a call; safety does not depend on it."""

    name = "groups"
    topics = (MAP_TOPIC, CANCEL_TOPIC)
    kinds = ("split", "map", "size")
    period = 1.0

    def __init__(self, rules: GroupRules, authority: Authority, hour_of: Callable[[float], int]) -> None:
        self.rules, self.authority, self.hour_of = rules, authority, hour_of
        self.splits = Splits(rules.splits, authority, Router(homes=rules.homes))
        self.scheduler = Scheduler(rules.schedule)
        self.sizes: dict[int, Size] = {}
        # by group: hour and `revisions` at its last forecast
        self.forecasted: dict[int, tuple[int, int]] = {}
        self.dead_since: dict[str, int] = {}  # by name: the hour in which it was first seen dead
        self.sent_at = self.stored_at = 0.0
        self.announced_version: int | None = None
        self.cancelled: tuple[str, ...] = ()
        self.revisions = 0  # how often hours were closed

    # ---- calls by the owner ---------------------------------------------------------------------------

    def count(self, group: int, rows: int, size: int, work: int) -> None:
        """Counts what a load has written: rows, bytes, core-milliseconds of work. Cheap; sends nothing."""
        self.counts.add(group, rows, size, work)

    def tell(self, now: float, facts: Facts) -> list[Effect]:
        """Takes the owner's state; needed every `SplitRules.fresh` seconds, or no step is taken."""
        self.splits.update_owner(now, facts)
        return []

    def call_off(self, now: float, split_id: str) -> list[Effect]:
        """Cancels a split on behalf of an operator, unless it is in the map already."""
        split = self.splits.splits.get(split_id)
        if split is None or split.step >= Step.SWITCHED or split_id in self.cancelled:
            return []
        self.cancelled = (*self.cancelled, split_id)[-8:]
        return [Put(CANCEL_TOPIC, pack(CancelledSplits(self.cancelled)))]

    # ---- calls by the driver --------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Restores stored hours, and seals the counters of the previous incarnation."""
        self.view = view
        self.counts = Counts(self.rules.counts, view.name, view.incarnation, self.hour_of(now))
        self.sync = CounterSync(self.rules.telling, self.rules.collectors, self.counts)
        self.sent_at = self.stored_at = now
        damaged = [
            key
            for key, body in sorted(stored.items())
            if key.startswith("hour/") and self.counts.restore(body) is None
        ]
        self.counts.restore_own(stored.get("life", b""))
        self.counts.unsaved_hours.update(self.counts.hours)
        effects: list[Effect] = [Store(key, None) for key in damaged]
        if damaged:
            effects.append(
                LogLine(f"groups: dropped {len(damaged)} stored hours that are damaged or too old")
            )
        return effects

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """Nothing; members are read at the next tick."""
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """Nothing; entries are read when needed."""
        return []

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """Counters, an acknowledgement, or a request for totals."""
        message = read(body, Message)
        if isinstance(message, CounterUpdate):
            return self.sync.on_update(sender, message)
        if isinstance(message, CounterAck):
            return self.sync.on_ack(now, sender, message)
        if isinstance(message, TotalsRequest):
            self.sync.on_totals_request(sender, message)
        return []

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """Applies an agreed step, version of the map, or size."""
        if record.kind != "size":
            return self.splits.on_agreed(now, record) + self._announce_version()
        size = read(record.body, Size)
        self.splits.settle_proposal(record)
        if (
            size is not None
            and str(size.group) == record.key
            and (size.group in self.sizes or len(self.sizes) < self.rules.counts.max_groups)
        ):
            self.sizes[size.group] = size
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Replicates counters and closes hours; the coordinator also checks one group and takes steps."""
        counts, hour = self.counts, self.hour_of(now)
        effects: list[Effect] = []
        due = not 0 <= now - self.sent_at < self.rules.tell
        if due or hour != counts.hour:
            self.sent_at = now
            keys = counts.advance_to(hour) + counts.flush()
            if keys:
                effects.append(Store("life", counts.own_record()))
                self.sync.enqueue(keys)
        if self.sync.is_collector:
            effects += self._update_hours(now)
        effects += self.sync.tick(now, self.view.members())
        if self.announced_version is None:
            effects += self._announce_version()
        if self.cancelled and all(
            i not in self.splits.splits or self.splits.splits[i].step.over for i in self.cancelled
        ):
            self.cancelled = ()
            effects.append(Put(CANCEL_TOPIC, b""))
        effects += self.splits.tick(
            now, counts.hour, self._cancelled_ids(), self.scheduler.wanted, self._all_route_by
        )
        if self.splits.may_act(now):
            effects += self._plan_next_group(now)
        return effects

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """Counting continues; the failed write is tried again."""
        if key.startswith("hour/") and key[5:].isdigit():
            self.counts.unsaved_hours.add(int(key[5:]))
        return []

    def on_leave(self, now: float) -> list[Effect]:
        """Seals the current hour before the process ends."""
        keys = self.counts.advance_to(self.hour_of(now)) + self.counts.seal()
        self.sync.enqueue(keys)
        return [Store("life", self.counts.own_record()), *self.sync.tick(now, self.view.members())]

    # ---- collecting -----------------------------------------------------------------------------------

    def _update_hours(self, now: float) -> list[Effect]:
        """Registers expected origins, closes hours and stores changed ones."""
        counts = self.counts
        counts.expect(self._alive())
        closed_hours = counts.close(self.sync.unsent_hours())
        if closed_hours:
            self.revisions += 1
            self.sync.enqueue_totals(closed_hours)
        if 0 <= now - self.stored_at < self.rules.store:
            return []
        self.stored_at = now
        changed, counts.unsaved_hours = sorted(counts.unsaved_hours), set()
        return [Store(f"hour/{hour}", counts.record(hour)) for hour in changed]

    def _alive(self) -> list[tuple[str, int]]:
        """Running members, and those found dead within a day: if only cut off, they may still count."""
        alive, hour = [], self.counts.hour
        members = self.view.members()
        for member in members.values():
            if member.state == State.DEAD:
                self.dead_since.setdefault(member.name, hour)
            else:
                self.dead_since.pop(member.name, None)
            if member.is_live or hour - self.dead_since.get(member.name, -1) <= self.rules.counts.close_after:
                alive.append((member.name, member.incarnation))
        self.dead_since = {name: since for name, since in self.dead_since.items() if name in members}
        return alive

    # ---- the map --------------------------------------------------------------------------------------

    def _announce_version(self) -> list[Effect]:
        """Announces the version of the map that this process routes by."""
        if self.announced_version == self.splits.map.version:
            return []
        self.announced_version = self.splits.map.version
        return [Put(MAP_TOPIC, pack(MapVersion(self.announced_version)))]

    def _all_route_by(self, version: int) -> bool:
        """Whether all running members have announced that they route by this version."""
        for member in self.view.members().values():
            if member.is_live and member.name != self.view.name:
                entry = self.view.entry(member.name, MAP_TOPIC)
                announced = (
                    read(entry.value, MapVersion)
                    if entry and entry.incarnation == member.incarnation
                    else None
                )
                if announced is None or announced.version < version:
                    return False
        return self.splits.map.version >= version

    def _cancelled_ids(self) -> Iterable[str]:
        entries = [read(entry.value, CancelledSplits) for entry in self.view.entries(CANCEL_TOPIC)]
        return {*self.cancelled, *(split_id for entry in entries if entry for split_id in entry.ids)}

    # ---- planning -------------------------------------------------------------------------------------

    def _plan_next_group(self, now: float) -> list[Effect]:
        """Forecasts one group whose hours have changed since its last forecast; a plan if one is due."""
        state = self.counts.hour, self.revisions
        group = next((g for g in sorted(self.counts.groups) if self.forecasted.get(g) != state), None)
        if group is None:
            return []
        self.forecasted[group] = state
        self.scheduler.look(self.outlook(group), self.splits.splits)
        if (
            not self.splits.is_calm(now)
            or not self.splits.may_plan(group, now)
            or not self.splits.has_capacity()
        ):
            return self._propose_size(now, group)
        plan = self.scheduler.plan(group, self.splits.map.parts(group), self.counts.hour)
        return self._propose_size(now, group) + (
            self.splits.propose(now, self._split_record(plan)) if plan else []
        )

    def outlook(self, group: int) -> Outlook:
        """Size and forecasts of a group."""
        first, series = self.counts.series(group, BYTES_FIELD)
        rng = random.Random(f"{group}/{self.counts.hour}")
        growth = forecast(first, series, rng, self.rules.forecast)
        work: Forecast | None = None
        if self.rules.schedule.work != float("inf"):
            work = forecast(*self.counts.series(group, WORK_FIELD), rng, self.rules.forecast)
        size_bytes = self._bytes_held(group, first, series, self.counts.hour)
        return Outlook(group, self.counts.hour - 1, size_bytes, growth, work)

    def _bytes_held(self, group: int, first: int, series: list[float | None], end: int) -> float:
        """Size before hour `end`: the last agreed size and bytes since; missing hours count as the mean."""
        size = self.sizes.get(group)
        start = max(0, size.hour + 1 - first) if size else 0
        since = series[start : max(start, end - first)]
        known = [value for value in since if value is not None]
        before = size.bytes if size else self.rules.sizes.get(group, 0.0)
        return before + (sum(known) * len(since) / len(known) if known else 0.0)

    def _propose_size(self, now: float, group: int) -> list[Effect]:
        """Proposes, once a week, the size of three days ago, to which late counts are no longer added."""
        first, series = self.counts.series(group, BYTES_FIELD)
        size, hour = self.sizes.get(group), self.counts.hour - self.rules.counts.accept_for - 1
        if hour - (size.hour if size else first) < 168:
            return []
        size_bytes = min(1e18, self._bytes_held(group, first, series, hour + 1))
        return self.splits.propose_record(now, "size", str(group), pack(Size(group, hour, size_bytes)))

    def _split_record(self, plan: Plan) -> Split:
        """The record of a plan. Its id is the same at any process that plans it in this hour."""
        router = self.splits.router
        homes = dict.fromkeys(
            e for part in range(plan.parts) for e in router.part_order(plan.group, part)[: self.rules.homes]
        )
        names = list(homes)[:16]
        while sum(len(name.encode()) + 2 for name in names) > 320:  # a record of the log holds 600 bytes
            names.pop()
        split_id = f"g{plan.group}-{plan.parts}-v{self.splits.map.version}-h{self.counts.hour}"
        return Split(
            split_id, plan.group, plan.was, plan.parts, Step.PROPOSED, plan.at, plan.before, tuple(names)
        )
