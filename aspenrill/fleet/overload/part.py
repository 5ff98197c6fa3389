"""The fleet's part for overload: ledger, news of demand, steering, retries, probes and turns, as effects."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..interface import MOST_PEERS, Effect, Entry, Inform, Member, Note, Post, Put, State
from . import capacity, demand, wire
from .capacity import Capacity, Whole
from .demand import Books, Meter, Told
from .facts import Facts, ProbeNews, steps
from .ledger import Ledger, Out
from .probes import Probes
from .retries import Budget
from .rules import KINDS, Rules
from .shares import Line, band, deal
from .steering import Steering
from .turns import Turns

if TYPE_CHECKING:
    from ..interface import View

THREADS, TRIES = range(len(KINDS))
WHOLE, DEMAND, PROBES, COLD = "overload.whole", "overload.demand", "overload.probes", "overload.cold"
DEAL = 0.5  # seconds between two deals, longer in a large fleet
LARGE = 400.0  # processes for which half a second is time enough


class OverloadPart:
    """See interface.Part. `retry_span`: seconds of the window of the retry budget; `free` and `ratio`:
    tries beyond the first in it, fixed and for each first try of the fleet. `sole`: see Ledger."""

    name = "overload"
    topics = (WHOLE, DEMAND, PROBES, COLD)
    period = 0.25

    def __init__(
        self, rules: Rules, retry_span: float = 10.0, free: float = 0.0, ratio: float = 0.1, sole: bool = True
    ) -> None:
        rules.check()
        self.rules, self.sole = rules, sole
        self.retry_span, self.free, self.ratio = retry_span, free, ratio
        self.meter, self.books, self.capacity = Meter(), Books(), Capacity()
        self.line = Line()
        self.ledger: Ledger | None = None

    # ---- interface.Part -------------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Begins with its floor, if it is the only process of its name."""
        self.view = view
        self.ledger = Ledger(self.rules, view.name, view.incarnation, now, self.sole)
        self.steering = Steering(self.ledger)
        self.probes, self.turns = Probes(view.name), Turns(view.name, self.rules.count)
        self.budget = Budget(now, self.retry_span)
        self.facts = Facts(now)
        self.names = {view.name}
        self._told: Told | None = None
        self._told_at = self._dealt_at = -1e9
        self._joined = self._over = False
        self._whole_told = self._cold_told = None
        effects: list[Effect] = []
        for topic in self.topics:
            for entry in view.entries(topic):
                effects += self.on_entry(now, entry)
        return effects + self.on_tick(now)

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """Learns names; steps back where its own has a later process."""
        if member.name == self.view.name:
            if member.incarnation > self.view.incarnation:
                self.ledger.fence()
            return self._standing(now)
        if len(self.names) < MOST_PEERS:
            self.names.add(member.name)
        if not member.there:
            for known in (self.books.told, self.capacity.told, self.turns.told):
                known.pop(member.name, None)
        self.probes.live(self._live())
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """News of another process."""
        if entry.origin == self.view.name:
            return []
        match entry.topic:
            case "overload.whole":
                self.capacity.hear(entry.origin, entry.value)
            case "overload.demand":
                self.books.hear(now, entry.origin, entry.value)
            case "overload.cold":
                self.turns.hear(entry.origin, entry.value)
            case "overload.probes":
                news = self.probes.hear(now, entry.origin, entry.incarnation, entry.value)
                return [Inform(ProbeNews(engine, back, entry.origin)) for engine, back in news]
        return []

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """A beat, an acknowledgement, a loan; what is malformed changes nothing."""
        message = wire.unpack(body)
        if message is None:
            return []
        self._flow(now)
        return self._posts(self.ledger.message(now, sender, incarnation, message)) + self._standing(now)

    def on_tick(self, now: float) -> list[Effect]:
        """Beats, deals, borrows, tells, and informs the owner."""
        self._flow(now)
        live = self._live()
        self.probes.live(live)
        self.ledger.absent = self._absent(live)
        if now >= self._dealt_at + max(DEAL, DEAL * self.rules.count / LARGE):
            self._deal(now, live)
        effects = self._posts(self.ledger.tick(now))
        effects += self._posts(self.steering.borrow(now, self._heard, self.meter.waiting))
        effects += self._standing(now) + self._tell(now)
        self.facts = self._facts(now, live)
        return effects + [Inform(self.facts)]

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """It keeps nothing on disk."""
        return []

    def on_leave(self, now: float) -> list[Effect]:
        """Hands back what it holds and tells the voters; may start nothing from here on."""
        posts = self._posts(self.ledger.leave(now))
        self.facts = self._facts(now, self._live())
        return [*posts, *(Put(topic, b"") for topic in self.topics), Inform(self.facts)]

    # ---- what the bridge asks -------------------------------------------------------------------------

    def threads(self, now: float) -> float:
        """Threads that may be out at warm engines at this moment."""
        return self.ledger.share(now, THREADS) * self.capacity.threads(self._live())

    def may_retry(self, now: float) -> bool:
        """Whether one more try beyond the first may be made; it is spent if so."""
        return self.budget.take(now, self.ledger.share(now, TRIES))

    def engines(self, version: int, threads: float, names: list[str], cold: list[str]) -> None:
        """The list of engines: a hash of it, threads of the warm ones together, names, which of them are
        cold."""
        self.capacity.own = Whole(max(0, version) & (2**63 - 1), max(0.0, min(1e9, threads)))
        self.probes.engines(names)
        self.turns.cold(cold)

    # ---- inside ---------------------------------------------------------------------------------------

    def _live(self) -> list[str]:
        return [n for n, m in self.view.members().items() if m.there and n != self.view.name]

    def _absent(self, live: list[str]) -> list[str]:
        """Names to ask the voters after: none where more are about than slots are configured."""
        if len(self.names) > self.rules.count:
            there = {*live, self.view.name}
            left = {n for n, m in self.view.members().items() if m.state is State.LEFT}
            if len(there) + len(self.names - there - left) > self.rules.count:
                return []
        return sorted(self.names - set(live) - {self.view.name})

    def _deal(self, now: float, live: list[str]) -> None:
        self._dealt_at = now
        self._heard = self.books.of(now, live)
        own = self.meter.told(now, self.steering.offers(now))
        told = {**self._heard, self.view.name: own}
        silent = len(self.ledger.standing.silent(now))
        there = min(1.0, len(told) * (self.ledger.own() + silent * self.rules.piece))
        dealt = deal(there * self.capacity.threads(live), {name: t.demand() for name, t in told.items()})
        bands = [band(d) for t in told.values() for d, work in t.demand() if work > 0 and d > 0]
        self.line.follow(now, dealt, min(bands, default=0))
        firsts = sum(t.firsts for t in told.values()) / 1e3
        tries = own.firsts / 1e3 / firsts if firsts > 1e-3 else 1.0 / len(told)
        self.steering.aim(now, (dealt.targets[self.view.name] * there, tries * there))
        self.budget.budget = self.free + self.ratio * firsts * self.retry_span
        self._own = own

    def _flow(self, now: float) -> None:
        """Before a share may rise: what has flowed into the retry budget by the share until now."""
        self.budget.flow(now, self.ledger.share(now, TRIES))

    def _tell(self, now: float) -> list[Effect]:
        """Entries that have changed. Nothing once another process has this name."""
        if self.ledger.over:
            return []
        effects: list[Effect] = []
        if self.capacity.own != self._whole_told and self.capacity.own.version:
            self._whole_told = self.capacity.own
            effects.append(Put(WHOLE, capacity.pack(self.capacity.own)))
        due = now - self._told_at
        jump = demand.moved(self._told, self._own)
        if due >= demand.TELL_AT_LEAST or jump and due >= min(demand.TELL, demand.TELL_AT_LEAST):
            self._told, self._told_at = self._own, now
            effects.append(Put(DEMAND, demand.pack(self._own)))
        if self.probes.changed:
            self.probes.changed = False
            effects.append(Put(PROBES, self.probes.entry()))
        if self.turns.own != self._cold_told:
            self._cold_told = self.turns.own
            effects.append(Put(COLD, self.turns.entry()))
        return effects

    def _standing(self, now: float) -> list[Effect]:
        """Log lines where the standing has changed."""
        notes: list[Effect] = []
        if self.ledger.over and not self._over:
            notes.append(Note("overload: fenced by a later process, or leaving; starts no more"))
        joined = self.ledger.joined(now)
        if joined != self._joined and not self.ledger.over:
            fallen = f"overload: no majority of voters, part falls to {self.rules.alone:g} of 1/N"
            notes.append(Note("overload: acknowledged by a majority of voters" if joined else fallen))
        self._joined, self._over = joined, self.ledger.over
        return notes

    def _facts(self, now: float, live: list[str]) -> Facts:
        told = [*self._heard.values(), self._own]
        out = sum(t.threads for t in told)
        slowdown = sum(t.slowdown * t.threads for t in told) / out / 1e3 if out else 1.0
        tenants: dict[int, tuple[float, float]] = {}
        for one in told:
            for tenant, asked, refused in one.tenants:
                before = tenants.get(tenant, (0.0, 0.0))
                tenants[tenant] = before[0] + asked / 1e3, before[1] + refused / 1e3
        gone = sum(m.state is State.DEAD for m in self.view.members().values())
        share = self.ledger.share(now, THREADS)
        return Facts(
            now,
            self.ledger.joined(now),
            not live,
            steps(self.ledger.pieces(now, THREADS), self.capacity.threads(live)),
            slowdown,
            max(t.rung for t in told),
            self.line.worth,
            min(1.0, self.line.admitted),
            frozenset(self.probes.due(now)) if not self.ledger.over else frozenset(),
            self.turns.deal(live, share, gone * self.rules.alone),
            tenants,
        )

    @staticmethod
    def _posts(out: Out) -> list[Effect]:
        return [Post(to, wire.pack(message)) for to, message in out]
