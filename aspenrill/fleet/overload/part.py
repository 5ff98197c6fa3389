"""The overload component: ledger, load reports, steering, retry budget, probes and cold engines, as
effects."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..interface import MAX_PEERS, Effect, Entry, LogLine, Member, Notify, Post, Put, State
from . import capacity, demand, wire
from .capacity import Capacity, CapacityReport
from .cold_slots import ColdSlots
from .demand import DemandMeter, DemandReport, DemandReports
from .facts import Facts, ProbeResult, step_function
from .ledger import Ledger, Out
from .probes import ProbeSchedule
from .retries import RetryBudget
from .rules import Rules
from .shares import SheddingThreshold, allocate, band
from .steering import Steering

if TYPE_CHECKING:
    from ..interface import View

THREADS = 0  # index into KINDS: threads at warm engines
RETRIES = 1  # index into KINDS: retries
CAPACITY_TOPIC = "overload.whole"
DEMAND_TOPIC = "overload.demand"
PROBES_TOPIC = "overload.probes"
COLD_TOPIC = "overload.cold"
ALLOCATION_INTERVAL = 0.5  # seconds; longer in a large fleet
LARGE_FLEET = 400.0  # processes up to which that interval applies


class OverloadComponent:
    """See interface.Component. `retry_window`: window of the retry budget in seconds; `retry_base` and
    `retry_ratio`: retries in a window, as a constant and for each first attempt of the fleet. `sole`: see
    Ledger."""

    name = "overload"
    topics = (CAPACITY_TOPIC, DEMAND_TOPIC, PROBES_TOPIC, COLD_TOPIC)
    period = 0.25

    def __init__(
        self,
        rules: Rules,
        retry_window: float = 10.0,
        retry_base: float = 0.0,
        retry_ratio: float = 0.1,
        sole: bool = True,
    ) -> None:
        rules.check()
        self.rules, self.sole = rules, sole
        self.retry_window, self.retry_base, self.retry_ratio = retry_window, retry_base, retry_ratio
        self.meter, self.demand_reports, self.capacity = DemandMeter(), DemandReports(), Capacity()
        self.threshold = SheddingThreshold()
        self.ledger: Ledger | None = None

    # ---- interface.Component -------------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Start with the floor share, if this is the only process of its name."""
        self.view = view
        self.ledger = Ledger(self.rules, view.name, view.incarnation, now, self.sole)
        self.steering = Steering(self.ledger)
        self.probes, self.cold_slots = ProbeSchedule(view.name), ColdSlots(view.name, self.rules.count)
        self.budget = RetryBudget(now, self.retry_window)
        self.facts = Facts(now)
        self.names = {view.name}
        self._last_report: DemandReport | None = None
        self._reported_at = self._allocated_at = -1e9
        self._was_joined = self._was_ended = False
        self._published_capacity = self._published_cold = None
        effects: list[Effect] = []
        for topic in self.topics:
            for entry in view.entries(topic):
                effects += self.on_entry(now, entry)
        return effects + self.on_tick(now)

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """Record the name; stop if a later process has the own name."""
        if member.name == self.view.name:
            if member.incarnation > self.view.incarnation:
                self.ledger.fence()
            return self._lease_changes(now)
        if len(self.names) < MAX_PEERS:
            self.names.add(member.name)
        if not member.is_live:
            for known in (self.demand_reports.reports, self.capacity.reports, self.cold_slots.reports):
                known.pop(member.name, None)
        self.probes.set_live(self._live())
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """Process an entry of another process."""
        if entry.origin == self.view.name:
            return []
        match entry.topic:
            case "overload.whole":
                self.capacity.on_entry(entry.origin, entry.value)
            case "overload.demand":
                self.demand_reports.on_entry(now, entry.origin, entry.value)
            case "overload.cold":
                self.cold_slots.on_entry(entry.origin, entry.value)
            case "overload.probes":
                results = self.probes.on_entry(now, entry.origin, entry.incarnation, entry.value)
                return [Notify(ProbeResult(engine, recovered, entry.origin)) for engine, recovered in results]
        return []

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """Process a heartbeat, an acknowledgement or a loan message; a malformed one is ignored."""
        message = wire.unpack(body)
        if message is None:
            return []
        self._refill_retries(now)
        return self._messages(
            self.ledger.on_message(now, sender, incarnation, message)
        ) + self._lease_changes(now)

    def on_tick(self, now: float) -> list[Effect]:
        """Send heartbeats, allocate, borrow, publish, and inform the owner."""
        self._refill_retries(now)
        live = self._live()
        self.probes.set_live(live)
        self.ledger.absent = self._names_to_query(live)
        if now >= self._allocated_at + max(
            ALLOCATION_INTERVAL, ALLOCATION_INTERVAL * self.rules.count / LARGE_FLEET
        ):
            self._allocate(now, live)
        effects = self._messages(self.ledger.tick(now))
        effects += self._messages(self.steering.borrow(now, self._reports, self.meter.waiting))
        effects += self._lease_changes(now) + self._publish(now)
        self.facts = self._facts(now, live)
        return effects + [Notify(self.facts)]

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """Nothing is stored on disk."""
        return []

    def on_leave(self, now: float) -> list[Effect]:
        """Return loans and notify the voters; nothing may be started from here on."""
        posts = self._messages(self.ledger.leave(now))
        self.facts = self._facts(now, self._live())
        return [*posts, *(Put(topic, b"") for topic in self.topics), Notify(self.facts)]

    # ---- called by the bridge -------------------------------------------------------------------------

    def threads(self, now: float) -> float:
        """The threads that may be in use at warm engines at this moment."""
        return self.ledger.share(now, THREADS) * self.capacity.threads(self._live())

    def may_retry(self, now: float) -> bool:
        """Take a retry from the budget; False if none is left."""
        return self.budget.take(now, self.ledger.share(now, RETRIES))

    def set_engines(self, version: int, threads: float, names: list[str], cold: list[str]) -> None:
        """Set the engine list: its hash, the total threads of the warm engines, all names, the cold ones."""
        self.capacity.own = CapacityReport(max(0, version) & (2**63 - 1), max(0.0, min(1e9, threads)))
        self.probes.set_engines(names)
        self.cold_slots.set_cold(cold)

    # ---- internal ---------------------------------------------------------------------------------------

    def _live(self) -> list[str]:
        return [n for n, m in self.view.members().items() if m.is_live and n != self.view.name]

    def _names_to_query(self, live: list[str]) -> list[str]:
        """The names to query the voters about: none if there are more processes than are configured."""
        if len(self.names) > self.rules.count:
            present = {*live, self.view.name}
            departed = {n for n, m in self.view.members().items() if m.state is State.LEFT}
            if len(present) + len(self.names - present - departed) > self.rules.count:
                return []
        return sorted(self.names - set(live) - {self.view.name})

    def _allocate(self, now: float, live: list[str]) -> None:
        self._allocated_at = now
        self._reports = self.demand_reports.recent(now, live)
        own = self.meter.report(now, self.steering.offers(now))
        reports = {**self._reports, self.view.name: own}
        silent = len(self.ledger.lease_holder.silent_until(now))
        live_share = min(1.0, len(reports) * (self.ledger.equal_share() + silent * self.rules.silent_share))
        allocation = allocate(
            live_share * self.capacity.threads(live), {name: t.demand() for name, t in reports.items()}
        )
        bands = [band(d) for t in reports.values() for d, work in t.demand() if work > 0 and d > 0]
        self.threshold.update(now, allocation, min(bands, default=0))
        first_attempts = sum(t.first_attempts for t in reports.values()) / 1e3
        retry_share = (
            own.first_attempts / 1e3 / first_attempts if first_attempts > 1e-3 else 1.0 / len(reports)
        )
        self.steering.set_targets(
            now, (allocation.targets[self.view.name] * live_share, retry_share * live_share)
        )
        self.budget.budget = self.retry_base + self.retry_ratio * first_attempts * self.retry_window
        self._own_report = own

    def _refill_retries(self, now: float) -> None:
        """Refill the retry budget by the share until now; must run before the share may rise."""
        self.budget.refill(now, self.ledger.share(now, RETRIES))

    def _publish(self, now: float) -> list[Effect]:
        """Publish the entries that have changed; none once another process has this name."""
        if self.ledger.ended:
            return []
        effects: list[Effect] = []
        if self.capacity.own != self._published_capacity and self.capacity.own.version:
            self._published_capacity = self.capacity.own
            effects.append(Put(CAPACITY_TOPIC, capacity.pack(self.capacity.own)))
        waited = now - self._reported_at
        changed = demand.has_changed(self._last_report, self._own_report)
        if (
            waited >= demand.MAX_REPORT_INTERVAL
            or changed
            and waited >= min(demand.MIN_REPORT_INTERVAL, demand.MAX_REPORT_INTERVAL)
        ):
            self._last_report, self._reported_at = self._own_report, now
            effects.append(Put(DEMAND_TOPIC, demand.pack(self._own_report)))
        if self.probes.changed:
            self.probes.changed = False
            effects.append(Put(PROBES_TOPIC, self.probes.entry()))
        if self.cold_slots.own != self._published_cold:
            self._published_cold = self.cold_slots.own
            effects.append(Put(COLD_TOPIC, self.cold_slots.entry()))
        return effects

    def _lease_changes(self, now: float) -> list[Effect]:
        """Log lines for changes of the lease."""
        notes: list[Effect] = []
        if self.ledger.ended and not self._was_ended:
            notes.append(LogLine("overload: fenced by a later process or leaving, starts no more requests"))
        joined = self.ledger.joined(now)
        if joined != self._was_joined and not self.ledger.ended:
            lost = f"overload: no majority of voters, capacity share falls to {self.rules.alone:g} of 1/N"
            notes.append(LogLine("overload: acknowledged by a majority of voters" if joined else lost))
        self._was_joined, self._was_ended = joined, self.ledger.ended
        return notes

    def _facts(self, now: float, live: list[str]) -> Facts:
        reports = [*self._reports.values(), self._own_report]
        in_use = sum(t.threads for t in reports)
        slowdown = sum(t.slowdown * t.threads for t in reports) / in_use / 1e3 if in_use else 1.0
        tenants: dict[int, tuple[float, float]] = {}
        for one in reports:
            for tenant, requested, refused in one.tenants:
                before = tenants.get(tenant, (0.0, 0.0))
                tenants[tenant] = before[0] + requested / 1e3, before[1] + refused / 1e3
        dead = sum(m.state is State.DEAD for m in self.view.members().values())
        share = self.ledger.share(now, THREADS)
        return Facts(
            now,
            self.ledger.joined(now),
            not live,
            step_function(self.ledger.pieces(now, THREADS), self.capacity.threads(live)),
            slowdown,
            max(t.entry_gap_level for t in reports),
            self.threshold.worth,
            min(1.0, self.threshold.admitted),
            frozenset(self.probes.due(now)) if not self.ledger.ended else frozenset(),
            self.cold_slots.allocate(live, share, dead * self.rules.alone),
            tenants,
        )

    @staticmethod
    def _messages(out: Out) -> list[Effect]:
        return [Post(to, wire.pack(message)) for to, message in out]
