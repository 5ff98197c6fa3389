"""Deterministic simulation of the fleet's components in many processes, on a virtual clock and without I/O.

    def make(name, rng):                      # builds the components of a process at each of its starts
        return [MyPart(rng), ...]

    world = Cluster(seed, ["a", "b", "c"], make, checks=[total_capacity_is_never_exceeded])
    world.play(schedule(seed, world.names, 60.0))  # crashes, pauses, partitions; all end at 0.7 of the time
    world.run(60.0)                           # seconds; `until(predicate, within)` stops as soon as it holds
    world.call_component("a", lambda proc: proc.part("mine").ask(proc.clock()), "mine")  # a call from outside

A check is called with the world after every step and raises AssertionError. What it or a component raises is
raised again as `SimulationError` with seed and time; the same seed repeats the run. `world.net`, a
`faults.NetworkFaults`, has loss, delays, cuts and partitions; `world.before_effect` is called with (proc,
part, effect) before each effect and may inject any fault. Effects are carried out in order, as in a real
process; a Store that fails drops the remaining ones of its call, and `Notify(Agreed)` of the component
"authority" goes to the components of that process whose `kinds` include it. All facts are in `proc.facts` as
(time, component, fact). Each start draws a clock with any offset and a rate that is off by up to DRIFT.

Membership comes from an oracle that is late and may be wrong: each observer suspects a process that it cannot
reach both ways, later takes it for dead, and for alive once it can reach it again.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from aspenrill.errors import Trouble
from aspenrill.fleet.interface import (
    MAX_BODY,
    MAX_CLOCK_DRIFT,
    MAX_VALUE,
    Agreed,
    Component,
    Effect,
    Entry,
    LogLine,
    Member,
    Notify,
    Place,
    Post,
    Put,
    State,
    Store,
)

from .faults import DEFAULT_LINK, Link, NetworkFaults
from .proc import Proc, SimulationError

CHECK_INTERVAL = 0.5  # seconds between two membership checks of a process
ENTRY_SPREAD = 0.5  # seconds within which an entry reaches all reachable processes
MAX_QUEUED_CALLS = 4000  # calls queued for a paused process; later ones are lost


class Cluster:
    """The simulated processes. `now` is the simulation's time in seconds, which no component sees."""

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        make: Callable[[str, random.Random], Sequence[Component]],
        places: Mapping[str, Place] | None = None,
        checks: Sequence[Callable[[Cluster], None]] = (),
        link: Link = DEFAULT_LINK,
        garbage: float = 0.0,
    ) -> None:
        self.seed, self.now, self.make, self.checks = seed, 0.0, make, list(checks)
        self.net = NetworkFaults(seed, link)
        self.garbage = garbage  # share of messages that are followed by a truncated copy
        self.before_effect: Callable[[Proc, Component, Effect], None] | None = None
        self.steps = 0
        self._rng = random.Random(f"{seed}/world")
        self._heap: list[tuple[float, int, str, int, Callable, tuple]] = []
        self._count = 0
        self.procs: dict[str, Proc] = {}
        for name in names:
            self.procs[name] = self.new(name, (places or {}).get(name, Place()))
        for name in self.procs:
            self._at(self._rng.random(), "", self.start, name)

    @property
    def names(self) -> list[str]:
        """Names of all processes, running or not."""
        return list(self.procs)

    @property
    def running(self) -> list[Proc]:
        """The running processes, including paused ones."""
        return [proc for proc in self.procs.values() if proc.up]

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Simulate that many seconds."""
        self.until(lambda: False, seconds)

    def until(self, done: Callable[[], bool], within: float) -> bool:
        """Simulate until `done` returns true; False if it does not within that many seconds."""
        end = self.now + within
        while not done():
            if not self._heap or self._heap[0][0] > end:
                self.now = end
                return done()
            self.step()
        return True

    def step(self) -> None:
        """Run the next event, then all checks."""
        at, _, name, start_count, call, args = heapq.heappop(self._heap)
        self.now = max(self.now, at)
        proc = self.procs.get(name)
        if proc is not None and (not proc.up or proc.start_count != start_count):
            return
        if proc is not None and proc.paused:
            if len(proc.queued_calls) < MAX_QUEUED_CALLS:
                proc.queued_calls.append((call, args))
            return
        self.steps += 1
        try:
            call(*args)
            for check in self.checks:
                check(self)
        except Exception as error:
            raise SimulationError(
                f"seed {self.seed}, {self.now:.3f} s: {type(error).__name__}: {error}"
            ) from error

    def _at(self, delay: float, name: str, call: Callable, *args: Any) -> None:
        start_count = self.procs[name].start_count if name else 0
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, name, start_count, call, args))

    def play(self, script: Iterable[tuple]) -> None:
        """Schedule faults: (seconds from now, method of the world or of `net`, its arguments ...)."""
        for delay, what, *args in script:
            owner, _, method = what.rpartition(".")
            self._at(delay, "", getattr(self.net if owner else self, method), *args)

    # ---- start and end of processes -------------------------------------------------------------------

    def start(self, name: str, disk: str = "kept", place: Place | None = None) -> None:
        """Start a new process or one that is down, with its disk kept, lost or damaged. If a component raises
        Trouble for its stored records, the process stays down with the error in `refused`."""
        if name not in self.procs:
            self.procs[name] = self.new(name, Place())
        proc = self.procs[name]
        if proc.up:
            return
        proc.start_count += 1
        proc.incarnation += 1
        proc.reset()
        proc.clock_rate = 1 + MAX_CLOCK_DRIFT * self._rng.choice(
            (-0.49, 0.49, self._rng.uniform(-0.49, 0.49))
        )
        proc.clock_zero = self._rng.uniform(0.0, 1e6)
        if disk == "lost":
            proc.stored_records.clear()
        elif disk == "damaged":
            for records in proc.stored_records.values():
                for key in records:
                    records[key] = records[key][: len(records[key]) // 2]
        proc.up, proc.paused, proc.refused, proc.place = True, False, None, place or proc.place
        self._join(proc)
        proc.parts = tuple(self.make(name, random.Random(f"{self.seed}/{name}/{proc.start_count}")))
        for part in proc.parts:
            if not proc.up:
                return
            try:
                effects = part.on_start(proc.clock(), proc, dict(proc.stored_records.get(part.name, {})))
            except Trouble as error:
                proc.refused = error
                self.crash(name)
                return
            self._apply_effects(proc, part, effects)
            self._at(self._rng.random() * part.period / proc.clock_rate, name, self._tick, proc, part)
        self._at(self._rng.random() * 0.1, name, self._check_membership, proc)

    def crash(self, name: str) -> None:
        """Kill a process as by SIGKILL; its disk is kept."""
        proc = self.procs[name]
        proc.up = proc.paused = False
        proc.reset()

    def pause(self, name: str, seconds: float) -> None:
        """Stop a process for a while; the queued calls are then delivered at once, in random order."""
        proc = self.procs[name]
        if proc.up and not proc.paused:
            proc.paused = True
            self._at(seconds, "", self._resume, proc, proc.start_count)

    def leave(self, name: str) -> None:
        """Shut a process down as by SIGTERM; the processes that it can reach are notified."""
        proc = self.procs[name]
        if not proc.up or proc.paused:
            return
        start_count = proc.start_count
        for part in proc.parts:
            self._apply_effects(proc, part, part.on_leave(proc.clock()))
        if not proc.up or proc.start_count != start_count or proc.paused:
            return  # a fault was injected during its shutdown
        self._announce_leave(proc)
        self.crash(name)

    def disk(self, name: str, state: str) -> None:
        """Set the state of a process's disk: `ok` or `full`."""
        self.procs[name].disk = state

    def force_state(self, name: str, about: str, state: State, seconds: float) -> None:
        """Make a process take another for suspect, dead or alive, whatever is true."""
        proc = self.procs[name]
        proc.forced_states[about] = state, self.now + seconds

    def fail_after(self, name: str, effects: int, what: str, seconds: float = 0.0) -> None:
        """Inject `crash` or `pause` after so many more effects of its components, also within a call."""
        self.procs[name].planned_fault = effects, what, seconds

    def end_faults(self) -> None:
        """End all faults and start the processes that are down, with an empty disk if theirs was damaged."""
        self.net.clear()
        for name, proc in self.procs.items():
            proc.disk, proc.planned_fault = "ok", None
            proc.forced_states.clear()
            self.start(name, "lost" if proc.refused else "kept")

    def call_component(self, name: str, call: Callable[[Proc], list[Effect]], part: str = "") -> None:
        """Call a process from outside, as its driver would; no effect while it is down or paused."""
        proc = self.procs[name]
        if proc.up and not proc.paused:
            self._apply_effects(proc, proc.part(part) if part else proc.parts[0], call(proc))

    def _resume(self, proc: Proc, start_count: int) -> None:
        if not proc.up or proc.start_count != start_count:
            return
        proc.paused = False
        deferred, proc.deferred_effects = proc.deferred_effects, []
        for part, effects in deferred:
            self._apply_effects(proc, part, effects)
        queued, proc.queued_calls = proc.queued_calls, []
        self._rng.shuffle(queued)
        for call, args in queued:
            self._at(0.0, proc.name, call, *args)

    def _tick(self, proc: Proc, part: Component) -> None:
        self._at(
            part.period * self._rng.uniform(0.8, 1.0) / proc.clock_rate, proc.name, self._tick, proc, part
        )
        self._apply_effects(proc, part, part.on_tick(proc.clock()))

    # ---- effects and calls to components ----------------------------------------------------------------

    def _apply_effects(self, proc: Proc, part: Component, effects: Sequence[Effect]) -> None:
        start_count = proc.start_count
        for number, effect in enumerate(effects):
            if self.before_effect is not None and proc.up and not proc.paused:
                self.before_effect(proc, part, effect)
            if proc.planned_fault is not None:
                self._count_down_fault(proc)
            if not proc.up or proc.start_count != start_count:
                return
            if proc.paused:
                proc.deferred_effects.append((part, effects[number:]))
                return
            if isinstance(effect, Store) and proc.disk != "ok":
                self._apply_effects(proc, part, part.on_disk(proc.clock(), effect.key))
                return
            self._effect(proc, part, effect)

    def _count_down_fault(self, proc: Proc) -> None:
        left, what, seconds = proc.planned_fault
        proc.planned_fault = (left - 1, what, seconds) if left else None
        if not left:
            self.crash(proc.name) if what == "crash" else self.pause(proc.name, seconds)

    def _effect(self, proc: Proc, part: Component, effect: Effect) -> None:
        if isinstance(effect, Put):
            assert len(effect.value) <= MAX_VALUE, f"{part.name}: {len(effect.value)} bytes: {effect.topic}"
            self._put(proc, effect)
        elif isinstance(effect, Post):
            assert len(effect.body) <= MAX_BODY, f"{part.name}: {len(effect.body)} bytes to {effect.to}"
            self._post(proc, part.name, effect)
        elif isinstance(effect, Store):
            records = proc.stored_records.setdefault(part.name, {})
            if effect.value is None:
                records.pop(effect.key, None)
            else:
                records[effect.key] = effect.value
        elif isinstance(effect, Notify):
            proc.facts.append((self.now, part.name, effect.fact))
            if part.name == "authority" and isinstance(effect.fact, Agreed):
                for other in proc.parts:
                    if effect.fact.kind in getattr(other, "kinds", ()):
                        self._apply_effects(proc, other, other.on_agreed(proc.clock(), effect.fact))
        elif isinstance(effect, LogLine):
            proc.notes.append(effect.text)
        else:
            raise TypeError(f"{part.name}: no effect: {effect!r}")

    def _deliver_message(self, proc: Proc, part: str, sender: str, incarnation: int, body: bytes) -> None:
        for mine in proc.parts:
            if mine.name == part:
                self._apply_effects(proc, mine, mine.on_message(proc.clock(), sender, incarnation, body))

    def _notify_entry(self, proc: Proc, entry: Entry) -> None:
        for part in proc.parts:
            if entry.topic in part.topics:
                self._apply_effects(proc, part, part.on_entry(proc.clock(), entry))

    def _notify_member(self, proc: Proc, member: Member) -> None:
        for part in proc.parts:
            self._apply_effects(proc, part, part.on_member(proc.clock(), member))

    # ---- membership by the oracle; PeeredCluster replaces it by the program's own peers -----------------

    def new(self, name: str, place: Place) -> Proc:
        """Create a process that has not been started yet."""
        return Proc(self, name, place)

    def _join(self, proc: Proc) -> None:
        proc.set_member(proc.member())

    def _announce_leave(self, proc: Proc) -> None:
        gone = proc.member(State.LEFT)
        for other in self._other_running(proc):
            for delay in self.net.datagram_delays(self.now, proc.name, other.name, 100):
                self._at(delay, other.name, self._update_member, other, gone)

    def _put(self, proc: Proc, put: Put) -> None:
        entry = proc.publish(put)
        for other in self._other_running(proc):
            for delay in self.net.datagram_delays(self.now, proc.name, other.name, 100 + len(put.value)):
                self._at(delay + self._rng.random() * ENTRY_SPREAD, other.name, self._entry, other, entry)

    def _post(self, proc: Proc, part: str, post: Post) -> None:
        other = self.procs.get(post.to)
        if other is None or not other.up:
            return
        sender = proc.member()
        delays = (
            [0.0]
            if other is proc
            else self.net.datagram_delays(self.now, proc.name, post.to, 100 + len(post.body))
        )
        for delay in delays:
            self._at(delay, post.to, self._receive_message, other, part, sender, post.body)
        if delays and self.garbage and self._rng.random() < self.garbage:
            cut = post.body[: self._rng.randrange(len(post.body))] if post.body else b"\xc1"
            self._at(delays[0], post.to, self._receive_message, other, part, sender, cut)

    def _receive_message(self, proc: Proc, part: str, sender: Member, body: bytes) -> None:
        known = proc.known.get(sender.name)
        if known is None or known.incarnation < sender.incarnation:
            self._update_member(proc, sender)
        elif known.incarnation > sender.incarnation:
            return
        self._deliver_message(proc, part, sender.name, sender.incarnation, body)

    def _entry(self, proc: Proc, entry: Entry) -> None:
        if proc.accept_entry(entry):
            self._notify_entry(proc, entry)

    def _other_running(self, proc: Proc) -> list[Proc]:
        return [other for other in self.procs.values() if other.up and other is not proc]

    def _can_exchange(self, proc: Proc, other: Proc) -> bool:
        return other.up and not other.paused and self.net.round_trip_works(proc.name, other.name)

    def _update_member(self, proc: Proc, member: Member) -> None:
        old = proc.known.get(member.name)
        if old == member or member.name == proc.name or (old and old.incarnation > member.incarnation):
            return
        proc.set_member(member)
        self._notify_member(proc, member)

    def _check_membership(self, proc: Proc) -> None:
        self._at(CHECK_INTERVAL * self._rng.uniform(0.8, 1.2), proc.name, self._check_membership, proc)
        reached = []
        for other in list(self.procs.values()):
            if not proc.up or proc.paused:
                return
            if other is not proc:
                if self._can_exchange(proc, other):
                    reached.append(other)
                    proc.last_contact[other.name] = self.now
                member = proc.observe(other, self._rng)
                if member is not None:
                    self._update_member(proc, member)
        if reached:
            self._sync_from(proc, self._rng.choice(reached))

    def _sync_from(self, proc: Proc, other: Proc) -> None:
        for member in list(other.known.values()):
            if member.name not in proc.known and member.is_live:
                self._update_member(proc, member)
        for about in list(other.published.values()):
            for entry in list(about.values()):
                if proc.up and not proc.paused:
                    self._entry(proc, entry)
