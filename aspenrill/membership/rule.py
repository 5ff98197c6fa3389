"""Merges the lists of all sources into one list of engines, by rules (a) to (f) of the package docstring.

No I/O. Times are seconds of a monotonic clock and come in as arguments.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

from ..api import EngineState
from ..members import Member
from ..net.address import format_address
from .engine import Engine, explain, pick_id
from .once import OnceFilter
from .rules import MergeRules
from .source import DRAINING, GONE, LIVE, STATE_RANK, Address, MergeSpec, Source, entries_by_address
from .tiers import Tiers


class Membership:
    """The merged list of engines.

    Sources report through `replace_list`, `apply_changes` and `record_failure`; `take_updates` returns the
    updates for the owner. `log_lines` and `rechecks`, the second lookups to run as source name and time, are
    emptied by the caller. `due` returns when to call `tick` next.
    """

    def __init__(
        self,
        rules: MergeRules,
        specs: Sequence[MergeSpec],
        now: float,
        allows: Callable[[str], bool] = lambda host: True,
    ) -> None:
        self.rules, self.allows = rules, allows
        self.sources: dict[str, Source] = {}
        self.engines: dict[Address, Engine] = {}
        self.retired: OrderedDict[Address, Engine] = OrderedDict()  # named by no source, oldest first
        self.address_by_id: dict[str, Address] = {}
        self.tiers = Tiers(rules.tiers)
        self.log_lines: list[str] = []
        self.rechecks: list[tuple[str, float]] = []
        self._updates: dict[str, Member] = {}
        self._timers: list[tuple[float, int, str, Address | str]] = []
        self._timer_count = 0
        self._logged_once = OnceFilter()
        self._unhealthy: set[Address] = set()
        self.configure(now, specs)

    # ---- input ------------------------------------------------------------------------------------------

    def configure(
        self,
        now: float,
        specs: Sequence[MergeSpec],
        rules: MergeRules | None = None,
        allows: Callable[[str], bool] | None = None,
    ) -> None:
        """Sets the sources in order of precedence. Entries of a removed source stay until every configured
        source has delivered its first list, at most for `handover_timeout`. Engines keep their state."""
        if rules is not None:
            self.rules, self.tiers.rules = rules, rules.tiers
        if allows is not None:
            self.allows = allows
            self._logged_once.clear()
        before, self.sources = self.sources, {}
        for rank, spec in enumerate(specs):
            source = before.pop(spec.name, None) or Source(spec, rank)
            source.spec, source.rank, source.removing = spec, rank, False
            self.sources[spec.name] = source
        for source in before.values():
            if source.entries:
                source.rank, source.removing = len(specs) + source.rank, True
                self.sources[source.spec.name] = source
                self._add_timer(now + self.rules.handover_timeout, "handover", source.spec.name)
        for source in self.sources.values():
            for address in [a for a in source.entries if not self.allows(a[0])]:
                self._log_not_allowed(source, source.entries[address])
                self._set_entry(now, source, address, None)
        self._finish_handover(now)
        for engine in list(self.engines.values()):
            self._update_engine(now, engine)

    def replace_list(
        self, now: float, name: str, members: Iterable[Member], learned_at: float | None = None
    ) -> None:
        """Applies a source's complete list. `learned_at` is when the data behind it was obtained: the data of
        a second lookup must be newer than that of the first.
        """
        source = self.sources.get(name)
        if source is None:
            return
        learned_at = now if learned_at is None else learned_at
        new = entries_by_address(
            member for member in members if member.state is not GONE and self._accepts(source, member)
        )
        missing = [address for address in source.entries if address not in new]
        withdrawn = self._confirm_missing(now, source, missing, learned_at)
        self._mark_answered(now, source)
        moved = [a for a, m in new.items() if a in source.entries and source.entries[a].engine != m.engine]
        for address in [*withdrawn, *(moved if source.spec.has_engine_ids else ())]:
            self._set_entry(now, source, address, None)
        for address, member in new.items():
            if source.entries.get(address) != member:
                self._set_entry(now, source, address, member)
        self._after_update(now, source)

    def apply_changes(self, now: float, name: str, members: Iterable[Member]) -> None:
        """Applies changes to a source's list, by its own ids; an entry with state GONE is removed."""
        source = self.sources.get(name)
        if source is None:
            return
        self._mark_answered(now, source)
        for member in members:
            old = source.address_by_id.get(member.engine)
            if old is not None and (old != member.address or member.state is GONE):
                self._set_entry(now, source, old, None)
            if member.state is GONE or not self._accepts(source, member):
                continue
            other = source.entries.get(member.address)
            if (
                other is not None
                and other.engine != member.engine
                and (STATE_RANK[other.state] < STATE_RANK[member.state])
            ):
                continue  # an engine drains at an address that a live one has taken over
            self._set_entry(now, source, member.address, member)
        self._after_update(now, source)

    def record_failure(self, now: float, name: str, why: str) -> None:
        """Records that a lookup of the source failed. Its last list stays."""
        source = self.sources.get(name)
        if source is not None:
            if source.failure is None:
                self.log_lines.append(
                    f"source {name} fails, its last list of {len(source.entries)} stays: {why}"
                )
            source.failure = why

    def set_unhealthy(self, now: float, ids: Iterable[str]) -> None:
        """Sets which engines the front end finds unhealthy now. They count as not usable in their tiers."""
        unhealthy = {self.address_by_id[one] for one in ids if one in self.address_by_id}
        for address in unhealthy ^ self._unhealthy:
            engine = self.engines.get(address)
            if engine is not None and engine.healthy == (address in unhealthy):
                engine.healthy = address not in unhealthy
                self._update_engine(now, engine)
        self._unhealthy = unhealthy

    def tick(self, now: float) -> None:
        """Runs everything that is due: ends holds and handovers, forgets old engines and steps the tiers."""
        while self._timers and self._timers[0][0] <= now:
            _, _, timer_kind, subject = heapq.heappop(self._timers)
            if timer_kind == "hold":
                self._end_hold(now, subject)
            elif timer_kind == "handover" and subject in self.sources and self.sources[subject].removing:
                self._remove_source(now, self.sources[subject])
        while self.retired:
            engine = next(iter(self.retired.values()))
            if now < engine.down_at + self.rules.remember_for and now >= engine.flap_damper.held_until:
                break
            if now < engine.flap_damper.held_until:
                self.retired.move_to_end(engine.address)
                break
            self._forget(engine)
        self._step_tiers(now)

    def due(self, now: float) -> float | None:
        """Returns when `tick` should run next; None if nothing is scheduled."""
        candidates = [
            due
            for due in (self.tiers.due(now), self._timers[0][0] if self._timers else None)
            if due is not None
        ]
        return min(candidates, default=None)

    def take_updates(self) -> tuple[Member, ...]:
        """Returns and clears the updates for the owner."""
        updates, self._updates = tuple(self._updates.values()), {}
        return updates

    # ---- one source's list ------------------------------------------------------------------------------

    def _mark_answered(self, now: float, source: Source) -> None:
        if source.failure is not None:
            self.log_lines.append(f"source {source.spec.name} answers again")
        source.updated_at, source.failure = now, None

    def _after_update(self, now: float, source: Source) -> None:
        source.awaiting_list = False
        self._finish_handover(now)
        self._step_tiers(now)

    def _accepts(self, source: Source, member: Member) -> bool:
        if not self.allows(member.address[0]):
            self._log_not_allowed(source, member)
            return False
        if member.address in self.engines or len(self.engines) < self.rules.max_engines:
            return True
        self._log_once(
            source,
            "",
            f"source {source.spec.name}: more than {self.rules.max_engines} engines, the others are ignored",
        )
        return False

    def _log_not_allowed(self, source: Source, member: Member) -> None:
        host = member.address[0]
        self._log_once(
            source,
            host,
            f"source {source.spec.name}: {member.engine} at {format_address(member.address)} is "
            f"skipped: the address is not allowed",
        )

    def _log_once(self, source: Source, subject: str, text: str) -> None:
        if self._logged_once.add_if_new((source.spec.name, subject)):
            self.log_lines.append(text)

    def _confirm_missing(
        self, now: float, source: Source, missing: list[Address], learned_at: float
    ) -> list[Address]:
        """Returns the missing addresses that are withdrawn; schedules a second lookup where one is needed."""
        withdrawn, note, again = source.confirm_missing(missing, learned_at, self.rules.confirm_after)
        if note is not None:
            self.log_lines.append(note)
        if again:
            self.rechecks.append((source.spec.name, now + self.rules.confirm_after))
        return withdrawn

    def _finish_handover(self, now: float) -> None:
        """Removes unconfigured sources once every configured one has delivered its first list."""
        if any(source.awaiting_list for source in self.sources.values() if not source.removing):
            return
        for source in [s for s in self.sources.values() if s.removing]:
            self._remove_source(now, source)

    def _remove_source(self, now: float, source: Source) -> None:
        for address in list(source.entries):
            self._set_entry(now, source, address, None)
        del self.sources[source.spec.name]

    # ---- one engine -------------------------------------------------------------------------------------

    def _set_entry(self, now: float, source: Source, address: Address, member: Member | None) -> None:
        """Sets or removes a source's entry for an address and updates the engine there."""
        source.set_entry(address, member)
        engine, name = self.engines.get(address), source.spec.name
        if member is None:
            if engine is not None and engine.entries.pop(name, None) is not None:
                self._update_engine(now, engine)
            return
        before = engine or self.retired.get(address)
        if (
            before is not None
            and source.spec.has_engine_ids
            and (before.id_by_source.get(name, member.engine) != member.engine)
        ):
            self._replace(now, before, source)
            engine = before = None
        if engine is None:
            engine = self.retired.pop(address, None) or self.engines.get(address)
            if engine is None:
                engine = Engine(
                    pick_id(member, address, self.address_by_id, self.engines), address, self.rules.damping
                )
                for other in self.sources.values():  # entries of other sources for the same address
                    if address in other.entries and other is not source:
                        engine.entries[other.spec.name] = entry = other.entries[address]
                        if other.spec.has_engine_ids:
                            engine.id_by_source[other.spec.name] = entry.engine
            elif self.address_by_id.get(engine.id) != address:  # another engine has taken its id meanwhile
                engine.id, engine.published = pick_id(member, address, self.address_by_id, self.engines), None
            self.engines[address], self.address_by_id[engine.id] = engine, address
        engine.entries[name] = member
        if source.spec.has_engine_ids:
            engine.id_by_source[name] = member.engine
        self._update_engine(now, engine, source)

    def _replace(self, now: float, engine: Engine, source: Source) -> None:
        """Withdraws an engine whose address another engine has taken, whichever sources named it."""
        self.log_lines.append(
            f"engine {engine.id} at {format_address(engine.address)}: "
            f"replaced by another engine of {source.spec.name}"
        )
        self.engines.pop(engine.address, None)
        self.retired.pop(engine.address, None)
        self.tiers.remove(engine.address)
        if self.address_by_id.get(engine.id) == engine.address:
            del self.address_by_id[engine.id]
        self._publish(engine, GONE)

    def _forget(self, engine: Engine) -> None:
        del self.retired[engine.address]
        if self.address_by_id.get(engine.id) == engine.address:
            del self.address_by_id[engine.id]

    def _update_engine(self, now: float, engine: Engine, source: Source | None = None) -> None:
        """Recomputes whether an engine is up (b), cold (f), held out and admitted; publishes the result."""
        if engine.entries:
            merged = engine.merged_entry(self.sources)
            engine.started = max(engine.started, merged.started)
        up = bool(engine.entries) and all(m.state is LIVE for m in engine.entries.values())
        if up and not engine.up:
            if not engine.was_up:
                if source is None or not source.awaiting_list:
                    engine.started = max(engine.started, now)
            else:
                if now >= engine.down_at + self.rules.restart_after:
                    engine.started = now
                if engine.flap_damper.record_return(now):
                    engine.started = now
                    self._start_hold(engine, now)
            engine.was_up = True
        elif engine.up and not up:
            engine.down_at = now
        engine.up = up
        if not engine.entries:
            engine.healthy = True
            self.tiers.remove(engine.address)
            self.engines.pop(engine.address, None)
            self.retired[engine.address] = engine
            self.retired.move_to_end(engine.address)
            if len(self.retired) > self.rules.max_engines:
                self._forget(next(iter(self.retired.values())))
            self._publish(engine, GONE)
            return
        held = engine.flap_damper.is_held(now)
        first = source is not None and source.awaiting_list
        engine.admitted = self.tiers.update(
            now,
            engine.address,
            merged.priority,
            up and not held and engine.healthy,
            merged.weight or 0.0,
            first,
        )
        self._publish(engine, LIVE if up and not held and engine.admitted else DRAINING, merged)

    def _start_hold(self, engine: Engine, now: float) -> None:
        self.log_lines.append(
            f"engine {engine.id} is flapping: held out for {engine.flap_damper.held_until - now:.0f} s"
        )
        self._add_timer(engine.flap_damper.held_until, "hold", engine.address)

    def _end_hold(self, now: float, address: Address) -> None:
        engine = self.engines.get(address) or self.retired.get(address)
        if engine is None or engine.flap_damper.held_until > now or not engine.flap_damper.held_until:
            return
        if engine.flap_damper.end_hold(now):
            self._start_hold(engine, now)
        elif address in self.engines:
            if engine.up:
                engine.started = now  # admitted again, cold
            self._update_engine(now, engine)

    def _step_tiers(self, now: float) -> None:
        for address, admitted in self.tiers.step(now):
            engine = self.engines[address]
            engine.admitted = admitted
            if admitted:
                engine.started = now
            self._update_engine(now, engine)
        self.log_lines += self.tiers.log_lines
        self.tiers.log_lines.clear()

    def _publish(self, engine: Engine, state: EngineState, merged: Member | None = None) -> None:
        """Queues an update for the owner if the engine changed since the last; none if it was never live."""
        if engine.published is None and state is not LIVE:
            return
        if merged is None:
            merged = engine.published
        now = Member(
            engine.id,
            engine.address,
            state,
            merged.zone,
            merged.kind,
            merged.cell,
            engine.started,
            merged.priority,
            merged.weight,
        )
        if now != engine.published:
            self._updates.pop(engine.id, None)
            self._updates[engine.id] = now
            engine.published = None if state is GONE else now

    def _add_timer(self, due: float, timer_kind: str, subject: Address | str) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (due, self._timer_count, timer_kind, subject))

    def explain(self, now: float) -> list[tuple[Member, bool, str, list[str]]]:
        """Returns for each listed engine: merged entry, whether it takes work, why, and the sources naming
        it.
        """
        return explain(now, self.engines.values(), self.sources)
