"""The one rule by which sources make a list of engines. docs/design/srv.md has the same words.

(a) One address and port is one engine at a time, whoever names it; an engine has an id of its own, to
    which its pools belong. A source that names ids (bulletin, file list, DNS-SD) and gives an address
    another id than before has another engine there; SRV names places only and changes no id.
(b) An engine takes new work only while at least one source names it live and no source that names it says
    that it drains or is gone.
(c) A source withdraws only what it has named itself. A withdrawal is a drain, from the moment it is learned.
(d) A source that fails, is silent or has run out keeps its last good list and can withdraw nothing.
(e) The source highest in the configured order gives kind, zone, cell and start time; the highest that has
    an SRV record gives priority and weight.
(f) What comes up anew, or comes back after a withdrawal long enough to have restarted, is cold: its start
    time is now. What a source's first list names was at work before, and is not.

A list that shrinks by more than a share at once counts only where a second look finds the same missing
(`source`). What flaps is held out (`flaps`), what is of a lower tier waits until it is needed (`tiers`).

No I/O. Times are seconds of one clock that never goes back, and come in as arguments.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

from ..api import EngineState
from ..members import Member
from ..net.address import format_address
from .engine import Engine, explain, free_id
from .once import Once
from .rules import Rules
from .source import DRAINING, GONE, LIVE, STANDING, Address, Source, Spec, places
from .tiers import Tiers


class Membership:
    """Sources go in by `whole`, `change` and `failed`; `take` gives what the owner is to be told.

    `notes` collects lines for the log, `looks` the sources that must look again and when; the caller takes
    from both. `due` tells when `tick` has something to do.
    """

    def __init__(
        self,
        rules: Rules,
        specs: Sequence[Spec],
        now: float,
        allows: Callable[[str], bool] = lambda host: True,
    ) -> None:
        self.rules, self.allows = rules, allows
        self.sources: dict[str, Source] = {}
        self.engines: dict[Address, Engine] = {}
        self.away: OrderedDict[Address, Engine] = OrderedDict()  # named by nobody, longest first
        self.ids: dict[str, Address] = {}
        self.tiers = Tiers(rules.tiers)
        self.notes: list[str] = []
        self.looks: list[tuple[str, float]] = []
        self._news: dict[str, Member] = {}
        self._timers: list[tuple[float, int, str, Address | str]] = []
        self._count = 0
        self._skipped = Once()
        self._broken: set[Address] = set()
        self.configure(now, specs)

    # ---- what comes in --------------------------------------------------------------------------------

    def configure(
        self,
        now: float,
        specs: Sequence[Spec],
        rules: Rules | None = None,
        allows: Callable[[str], bool] | None = None,
    ) -> None:
        """The sources in their order. One that is no longer among them is believed until each new one has
        spoken, but not for ever; engines and what is known of them stay."""
        if rules is not None:
            self.rules, self.tiers.rules = rules, rules.tiers
        if allows is not None:
            self.allows = allows
            self._skipped.clear()
        before, self.sources = self.sources, {}
        for rank, spec in enumerate(specs):
            source = before.pop(spec.name, None) or Source(spec, rank)
            source.spec, source.rank, source.leaving = spec, rank, False
            self.sources[spec.name] = source
        for source in before.values():
            if source.said:
                source.rank, source.leaving = len(specs) + source.rank, True
                self.sources[source.spec.name] = source
                self._timer(now + self.rules.handover, "handover", source.spec.name)
        for source in self.sources.values():
            for address in [a for a in source.said if not self.allows(a[0])]:
                self._skip(source, source.said[address])
                self._say(now, source, address, None)
        self._hand_over(now)
        for engine in list(self.engines.values()):
            self._judge(now, engine)

    def whole(self, now: float, name: str, members: Iterable[Member], asked: float | None = None) -> None:
        """A source's complete list. `asked`: when what it rests on was learned; a second look must have been
        learned later than the first."""
        source = self.sources.get(name)
        if source is None:
            return
        asked = now if asked is None else asked
        new = places(member for member in members if member.state is not GONE and self._may(source, member))
        missing = [address for address in source.said if address not in new]
        withdrawn = self._withdrawn(now, source, missing, asked)
        self._heard(now, source)
        moved = [a for a, m in new.items() if a in source.said and source.said[a].engine != m.engine]
        for address in [*withdrawn, *(moved if source.spec.names_ids else ())]:
            self._say(now, source, address, None)
        for address, member in new.items():
            if source.said.get(address) != member:
                self._say(now, source, address, member)
        self._spoken(now, source)

    def change(self, now: float, name: str, members: Iterable[Member]) -> None:
        """What has changed in a source's list, by its own ids; one that is gone is named no more."""
        source = self.sources.get(name)
        if source is None:
            return
        self._heard(now, source)
        for member in members:
            old = source.where.get(member.engine)
            if old is not None and (old != member.address or member.state is GONE):
                self._say(now, source, old, None)
            if member.state is GONE or not self._may(source, member):
                continue
            other = source.said.get(member.address)
            if (
                other is not None
                and other.engine != member.engine
                and (STANDING[other.state] < STANDING[member.state])
            ):
                continue  # it drains where another is at work already: that one has its place
            self._say(now, source, member.address, member)
        self._spoken(now, source)

    def failed(self, now: float, name: str, why: str) -> None:
        """A source has nothing new to say: its last list stays."""
        source = self.sources.get(name)
        if source is not None:
            if source.failing is None:
                self.notes.append(f"source {name} fails, its last list of {len(source.said)} stays: {why}")
            source.failing = why

    def unfit(self, now: float, ids: Iterable[str]) -> None:
        """The engines that the front end finds broken just now: they count as not usable in their tiers."""
        broken = {self.ids[one] for one in ids if one in self.ids}
        for address in broken ^ self._broken:
            engine = self.engines.get(address)
            if engine is not None and engine.fit == (address in broken):
                engine.fit = address not in broken
                self._judge(now, engine)
        self._broken = broken

    def tick(self, now: float) -> None:
        """What time brings: holds that end, tiers that step, engines to forget."""
        while self._timers and self._timers[0][0] <= now:
            _, _, what, about = heapq.heappop(self._timers)
            if what == "hold":
                self._hold_over(now, about)
            elif what == "handover" and about in self.sources and self.sources[about].leaving:
                self._dismiss(now, self.sources[about])
        while self.away:
            engine = next(iter(self.away.values()))
            if now < engine.down_at + self.rules.remember and now >= engine.flaps.held_until:
                break
            if now < engine.flaps.held_until:
                self.away.move_to_end(engine.address)
                break
            self._forget(engine)
        self._step(now)

    def due(self, now: float) -> float | None:
        """When `tick` is wanted next."""
        at = [
            due
            for due in (self.tiers.due(now), self._timers[0][0] if self._timers else None)
            if due is not None
        ]
        return min(at, default=None)

    def take(self) -> tuple[Member, ...]:
        """What has changed for the owner since it was last asked."""
        news, self._news = tuple(self._news.values()), {}
        return news

    # ---- one source's list ----------------------------------------------------------------------------

    def _heard(self, now: float, source: Source) -> None:
        if source.failing is not None:
            self.notes.append(f"source {source.spec.name} answers again")
        source.heard_at, source.failing = now, None

    def _spoken(self, now: float, source: Source) -> None:
        source.first = False
        self._hand_over(now)
        self._step(now)

    def _may(self, source: Source, member: Member) -> bool:
        if not self.allows(member.address[0]):
            self._skip(source, member)
            return False
        if member.address in self.engines or len(self.engines) < self.rules.most_engines:
            return True
        self._once(
            source,
            "",
            f"source {source.spec.name}: more than {self.rules.most_engines} engines, the rest is left out",
        )
        return False

    def _skip(self, source: Source, member: Member) -> None:
        host = member.address[0]
        self._once(
            source,
            host,
            f"source {source.spec.name}: {member.engine} at {format_address(member.address)} is "
            f"skipped: the address is not allowed",
        )

    def _once(self, source: Source, about: str, text: str) -> None:
        if self._skipped.first((source.spec.name, about)):
            self.notes.append(text)

    def _withdrawn(self, now: float, source: Source, missing: list[Address], asked: float) -> list[Address]:
        """Which of those missing from a list are withdrawn by it."""
        withdrawn, note, again = source.withdraws(missing, asked, self.rules.confirm)
        if note is not None:
            self.notes.append(note)
        if again:
            self.looks.append((source.spec.name, now + self.rules.confirm))
        return withdrawn

    def _hand_over(self, now: float) -> None:
        """Sources that are configured no more go once all that are have spoken."""
        if any(source.first for source in self.sources.values() if not source.leaving):
            return
        for source in [s for s in self.sources.values() if s.leaving]:
            self._dismiss(now, source)

    def _dismiss(self, now: float, source: Source) -> None:
        for address in list(source.said):
            self._say(now, source, address, None)
        del self.sources[source.spec.name]

    # ---- one engine -----------------------------------------------------------------------------------

    def _say(self, now: float, source: Source, address: Address, member: Member | None) -> None:
        """A source's word on one address, and what follows from it."""
        source.note(address, member)
        engine, name = self.engines.get(address), source.spec.name
        if member is None:
            if engine is not None and engine.says.pop(name, None) is not None:
                self._judge(now, engine)
            return
        before = engine or self.away.get(address)
        if (
            before is not None
            and source.spec.names_ids
            and (before.aliases.get(name, member.engine) != member.engine)
        ):
            self._replace(now, before, source)
            engine = before = None
        if engine is None:
            engine = self.away.pop(address, None) or self.engines.get(address)
            if engine is None:
                engine = Engine(free_id(member, address, self.ids, self.engines), address, self.rules.damping)
                for other in self.sources.values():  # where it has taken another's place: who names that too
                    if address in other.said and other is not source:
                        engine.says[other.spec.name] = said = other.said[address]
                        if other.spec.names_ids:
                            engine.aliases[other.spec.name] = said.engine
            elif self.ids.get(engine.id) != address:  # its id has gone to another meanwhile
                engine.id, engine.told = free_id(member, address, self.ids, self.engines), None
            self.engines[address], self.ids[engine.id] = engine, address
        engine.says[name] = member
        if source.spec.names_ids:
            engine.aliases[name] = member.engine
        self._judge(now, engine, source)

    def _replace(self, now: float, engine: Engine, source: Source) -> None:
        """Another engine is at its address: this one is gone, whoever named it."""
        self.notes.append(
            f"engine {engine.id} at {format_address(engine.address)}: another has its place, "
            f"as {source.spec.name} says"
        )
        self.engines.pop(engine.address, None)
        self.away.pop(engine.address, None)
        self.tiers.remove(engine.address)
        if self.ids.get(engine.id) == engine.address:
            del self.ids[engine.id]
        self._tell(engine, GONE)

    def _forget(self, engine: Engine) -> None:
        del self.away[engine.address]
        if self.ids.get(engine.id) == engine.address:
            del self.ids[engine.id]

    def _judge(self, now: float, engine: Engine, source: Source | None = None) -> None:
        """Whether an engine is up by (b), cold by (f), held, and in by its tier; what the owner hears."""
        if engine.says:
            top = engine.top(self.sources)
            engine.started = max(engine.started, top.started)
        up = bool(engine.says) and all(m.state is LIVE for m in engine.says.values())
        if up and not engine.up:
            if not engine.known:
                if source is None or not source.first:
                    engine.started = max(engine.started, now)
            else:
                if now >= engine.down_at + self.rules.restart:
                    engine.started = now
                if engine.flaps.back(now):
                    engine.started = now
                    self._held(engine, now)
            engine.known = True
        elif engine.up and not up:
            engine.down_at = now
        engine.up = up
        if not engine.says:
            engine.fit = True
            self.tiers.remove(engine.address)
            self.engines.pop(engine.address, None)
            self.away[engine.address] = engine
            self.away.move_to_end(engine.address)
            if len(self.away) > self.rules.most_engines:
                self._forget(next(iter(self.away.values())))
            self._tell(engine, GONE)
            return
        held = engine.flaps.held(now)
        first = source is not None and source.first
        engine.inside = self.tiers.put(
            now, engine.address, top.priority, up and not held and engine.fit, top.weight or 0.0, first
        )
        self._tell(engine, LIVE if up and not held and engine.inside else DRAINING, top)

    def _held(self, engine: Engine, now: float) -> None:
        self.notes.append(
            f"engine {engine.id} comes and goes: held out for {engine.flaps.held_until - now:.0f} s"
        )
        self._timer(engine.flaps.held_until, "hold", engine.address)

    def _hold_over(self, now: float, address: Address) -> None:
        engine = self.engines.get(address) or self.away.get(address)
        if engine is None or engine.flaps.held_until > now or not engine.flaps.held_until:
            return
        if engine.flaps.over(now):
            self._held(engine, now)
        elif address in self.engines:
            if engine.up:
                engine.started = now  # let in again, cold
            self._judge(now, engine)

    def _step(self, now: float) -> None:
        for address, inside in self.tiers.step(now):
            engine = self.engines[address]
            engine.inside = inside
            if inside:
                engine.started = now
            self._judge(now, engine)
        self.notes += self.tiers.notes
        self.tiers.notes.clear()

    def _tell(self, engine: Engine, state: EngineState, top: Member | None = None) -> None:
        """The owner hears what differs from what it was told last; of one that was never in, nothing."""
        if engine.told is None and state is not LIVE:
            return
        if top is None:
            top = engine.told
        now = Member(
            engine.id,
            engine.address,
            state,
            top.zone,
            top.kind,
            top.cell,
            engine.started,
            top.priority,
            top.weight,
        )
        if now != engine.told:
            self._news.pop(engine.id, None)
            self._news[engine.id] = now
            engine.told = None if state is GONE else now

    def _timer(self, due: float, what: str, about: Address | str) -> None:
        self._count += 1
        heapq.heappush(self._timers, (due, self._count, what, about))

    def explain(self, now: float) -> list[tuple[Member, bool, str, list[str]]]:
        """Each engine that is named: as it stands, whether it is in, why, and by whom it is named."""
        return explain(now, self.engines.values(), self.sources)
