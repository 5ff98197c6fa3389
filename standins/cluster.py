"""Many processes of the fleet's parts in one, on a virtual clock, without I/O; everything comes from a seed.

    def make(name, rng):                      # the parts of one process, anew at each of its starts
        return [MyPart(rng), ...]

    world = Cluster(seed, ["a", "b", "c"], make, checks=[never_more_than_the_whole])
    world.play(schedule(seed, world.names, 60.0))  # crashes, pauses, partitions ..., all over at 0.7 of it
    world.run(60.0)                           # seconds; `until(predicate, within)` stops as soon as it holds
    world.do("a", lambda proc: proc.part("mine").ask(proc.clock()), "mine")  # a call from outside

A check is called with the world after every step and raises AssertionError; what is raised, there or in a
part, comes out as `Broken` with seed and time, and the same seed plays the same again. `world.running` are
the processes that exist, `proc.parts` and `proc.part(name)` their parts, `proc.clock()` their time by now.

Faults by hand: `crash`, `start`, `pause`, `leave`, `disk`, `misjudge`, `trip` (a crash or a pause between two
effects of a call), and `world.net`, a `faults.Weather`, for loss, delays, cuts and partitions. What is in
`world.before` is called with (proc, part, effect) before each effect and may do any of them.

As in a process: an effect is carried out after the one before it, a Store that fails drops the rest of its
call, `Inform(Agreed)` of the part named "authority" goes to the parts of that process whose `kinds` have it.
All facts are in `proc.facts` as (world time, part's name, fact). Clocks differ by up to DRIFT in rate, and by
any amount in their time, anew at each start; the clock of a paused process goes on.

Who is there is told by an oracle that is late and may be wrong: who cannot be reached both ways is suspected
and later dead, at each observer by itself; who can be reached again is alive, with a higher incarnation if it
was started again.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from aspenrill.errors import Trouble
from aspenrill.fleet.interface import (
    DRIFT,
    MOST_BODY,
    MOST_VALUE,
    Agreed,
    Effect,
    Entry,
    Inform,
    Member,
    Note,
    Part,
    Place,
    Post,
    Put,
    State,
    Store,
)

from .faults import CALM, Link, Weather
from .proc import Broken, Proc

LOOK = 0.5  # seconds between two looks of a process at who is there
SPREAD = 0.5  # seconds within which an entry goes to all that can be reached
MOST_WAITING = 4000  # calls that a paused process finds when it goes on; what comes beyond is lost


class Cluster:
    """The world. `now` is its own time in seconds, which no part gets to see."""

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        make: Callable[[str, random.Random], Sequence[Part]],
        places: Mapping[str, Place] | None = None,
        checks: Sequence[Callable[[Cluster], None]] = (),
        link: Link = CALM,
        garbage: float = 0.0,
    ) -> None:
        self.seed, self.now, self.make, self.checks = seed, 0.0, make, list(checks)
        self.net = Weather(seed, link)
        self.garbage = garbage  # share of messages of which a mangled copy comes too
        self.before: Callable[[Proc, Part, Effect], None] | None = None
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
        """All processes, up or not."""
        return list(self.procs)

    @property
    def running(self) -> list[Proc]:
        """Those that are up, the paused among them."""
        return [proc for proc in self.procs.values() if proc.up]

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Play all that happens in that time."""
        self.until(lambda: False, seconds)

    def until(self, done: Callable[[], bool], within: float) -> bool:
        """Play until it holds; False if it does not within that many seconds."""
        end = self.now + within
        while not done():
            if not self._heap or self._heap[0][0] > end:
                self.now = end
                return done()
            self.step()
        return True

    def step(self) -> None:
        """Play what comes next, then check."""
        at, _, name, life, call, args = heapq.heappop(self._heap)
        self.now = max(self.now, at)
        proc = self.procs.get(name)
        if proc is not None and (not proc.up or proc.life != life):
            return
        if proc is not None and proc.paused:
            if len(proc.waiting) < MOST_WAITING:
                proc.waiting.append((call, args))
            return
        self.steps += 1
        try:
            call(*args)
            for check in self.checks:
                check(self)
        except Exception as error:
            raise Broken(f"seed {self.seed}, {self.now:.3f} s: {type(error).__name__}: {error}") from error

    def _at(self, delay: float, name: str, call: Callable, *args: Any) -> None:
        life = self.procs[name].life if name else 0
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, name, life, call, args))

    def play(self, script: Iterable[tuple]) -> None:
        """Faults as (seconds from now, method of the world or of `net`, its arguments ...)."""
        for delay, what, *args in script:
            owner, _, method = what.rpartition(".")
            self._at(delay, "", getattr(self.net if owner else self, method), *args)

    # ---- a process's life -----------------------------------------------------------------------------

    def start(self, name: str, disk: str = "kept", place: Place | None = None) -> None:
        """A new one, or one that is down: with its disk kept, lost, or with damaged records. A part that
        refuses what it finds by raising Trouble keeps the process down: `refused`."""
        if name not in self.procs:
            self.procs[name] = self.new(name, Place())
        proc = self.procs[name]
        if proc.up:
            return
        proc.life += 1
        proc.incarnation += 1
        proc.reset()
        proc.rate = 1 + DRIFT * self._rng.choice((-0.49, 0.49, self._rng.uniform(-0.49, 0.49)))
        proc.zero = self._rng.uniform(0.0, 1e6)
        if disk == "lost":
            proc.kept.clear()
        elif disk == "damaged":
            for records in proc.kept.values():
                for key in records:
                    records[key] = records[key][: len(records[key]) // 2]
        proc.up, proc.paused, proc.refused, proc.place = True, False, None, place or proc.place
        self._arrive(proc)
        proc.parts = tuple(self.make(name, random.Random(f"{self.seed}/{name}/{proc.life}")))
        for part in proc.parts:
            if not proc.up:
                return
            try:
                effects = part.on_start(proc.clock(), proc, dict(proc.kept.get(part.name, {})))
            except Trouble as error:
                proc.refused = error
                self.crash(name)
                return
            self._carry(proc, part, effects)
            self._at(self._rng.random() * part.period / proc.rate, name, self._tick, proc, part)
        self._at(self._rng.random() * 0.1, name, self._look, proc)

    def crash(self, name: str) -> None:
        """SIGKILL: what is on its disk stays."""
        proc = self.procs[name]
        proc.up = proc.paused = False
        proc.reset()

    def pause(self, name: str, seconds: float) -> None:
        """SIGSTOP, and SIGCONT later: all that came meanwhile is there at once, in any order."""
        proc = self.procs[name]
        if proc.up and not proc.paused:
            proc.paused = True
            self._at(seconds, "", self._go_on, proc, proc.life)

    def leave(self, name: str) -> None:
        """SIGTERM: it hands back and ends; who can be reached hears that it has left."""
        proc = self.procs[name]
        if not proc.up or proc.paused:
            return
        life = proc.life
        for part in proc.parts:
            self._carry(proc, part, part.on_leave(proc.clock()))
        if not proc.up or proc.life != life or proc.paused:
            return  # tripped on its way out
        self._goodbye(proc)
        self.crash(name)

    def disk(self, name: str, state: str) -> None:
        """From now on `ok` or `full`."""
        self.procs[name].disk = state

    def misjudge(self, name: str, about: str, state: State, seconds: float) -> None:
        """The process takes another for suspect, dead or alive, whatever is true."""
        proc = self.procs[name]
        proc.wrong[about] = state, self.now + seconds

    def trip(self, name: str, effects: int, what: str, seconds: float = 0.0) -> None:
        """`crash` or `pause` after so many more effects of its parts, between two of one call too."""
        self.procs[name].trip = effects, what, seconds

    def calm(self) -> None:
        """All faults are over; who is down is started, a damaged disk having been moved away."""
        self.net.clear()
        for name, proc in self.procs.items():
            proc.disk, proc.trip = "ok", None
            proc.wrong.clear()
            self.start(name, "lost" if proc.refused else "kept")

    def do(self, name: str, call: Callable[[Proc], list[Effect]], part: str = "") -> None:
        """Call a process from outside, as its driver would; nothing where it is down or paused."""
        proc = self.procs[name]
        if proc.up and not proc.paused:
            self._carry(proc, proc.part(part) if part else proc.parts[0], call(proc))

    def _go_on(self, proc: Proc, life: int) -> None:
        if not proc.up or proc.life != life:
            return
        proc.paused = False
        rest, proc.rest = proc.rest, []
        for part, effects in rest:
            self._carry(proc, part, effects)
        waiting, proc.waiting = proc.waiting, []
        self._rng.shuffle(waiting)
        for call, args in waiting:
            self._at(0.0, proc.name, call, *args)

    def _tick(self, proc: Proc, part: Part) -> None:
        self._at(part.period * self._rng.uniform(0.8, 1.0) / proc.rate, proc.name, self._tick, proc, part)
        self._carry(proc, part, part.on_tick(proc.clock()))

    # ---- effects --------------------------------------------------------------------------------------

    def _carry(self, proc: Proc, part: Part, effects: Sequence[Effect]) -> None:
        life = proc.life
        for number, effect in enumerate(effects):
            if self.before is not None and proc.up and not proc.paused:
                self.before(proc, part, effect)
            if proc.trip is not None:
                self._trip(proc)
            if not proc.up or proc.life != life:
                return
            if proc.paused:
                proc.rest.append((part, effects[number:]))
                return
            if isinstance(effect, Store) and proc.disk != "ok":
                self._carry(proc, part, part.on_disk(proc.clock(), effect.key))
                return
            self._effect(proc, part, effect)

    def _trip(self, proc: Proc) -> None:
        left, what, seconds = proc.trip
        proc.trip = (left - 1, what, seconds) if left else None
        if not left:
            self.crash(proc.name) if what == "crash" else self.pause(proc.name, seconds)

    def _effect(self, proc: Proc, part: Part, effect: Effect) -> None:
        if isinstance(effect, Put):
            assert len(effect.value) <= MOST_VALUE, f"{part.name}: {len(effect.value)} bytes: {effect.topic}"
            self._put(proc, effect)
        elif isinstance(effect, Post):
            assert len(effect.body) <= MOST_BODY, f"{part.name}: {len(effect.body)} bytes to {effect.to}"
            self._post(proc, part.name, effect)
        elif isinstance(effect, Store):
            records = proc.kept.setdefault(part.name, {})
            if effect.value is None:
                records.pop(effect.key, None)
            else:
                records[effect.key] = effect.value
        elif isinstance(effect, Inform):
            proc.facts.append((self.now, part.name, effect.fact))
            if part.name == "authority" and isinstance(effect.fact, Agreed):
                for other in proc.parts:
                    if effect.fact.kind in getattr(other, "kinds", ()):
                        self._carry(proc, other, other.on_agreed(proc.clock(), effect.fact))
        elif isinstance(effect, Note):
            proc.notes.append(effect.text)
        else:
            raise TypeError(f"{part.name}: no effect: {effect!r}")

    # ---- what parts hear ------------------------------------------------------------------------------

    def _hand(self, proc: Proc, part: str, sender: str, incarnation: int, body: bytes) -> None:
        for mine in proc.parts:
            if mine.name == part:
                self._carry(proc, mine, mine.on_message(proc.clock(), sender, incarnation, body))

    def _tell_entry(self, proc: Proc, entry: Entry) -> None:
        for part in proc.parts:
            if entry.topic in part.topics:
                self._carry(proc, part, part.on_entry(proc.clock(), entry))

    def _tell_member(self, proc: Proc, member: Member) -> None:
        for part in proc.parts:
            self._carry(proc, part, part.on_member(proc.clock(), member))

    # ---- what the oracle does for the processes: a world of real peers does it otherwise -----------------

    def new(self, name: str, place: Place) -> Proc:
        """A process that has not run yet."""
        return Proc(self, name, place)

    def _arrive(self, proc: Proc) -> None:
        proc.know(proc.member())

    def _goodbye(self, proc: Proc) -> None:
        gone = proc.member(State.LEFT)
        for other in self._others(proc):
            for delay in self.net.fate(self.now, proc.name, other.name, 100):
                self._at(delay, other.name, self._learn, other, gone)

    def _put(self, proc: Proc, put: Put) -> None:
        entry = proc.tell(put)
        for other in self._others(proc):
            for delay in self.net.fate(self.now, proc.name, other.name, 100 + len(put.value)):
                self._at(delay + self._rng.random() * SPREAD, other.name, self._entry, other, entry)

    def _post(self, proc: Proc, part: str, post: Post) -> None:
        other = self.procs.get(post.to)
        if other is None or not other.up:
            return
        sender = proc.member()
        delays = [0.0] if other is proc else self.net.fate(self.now, proc.name, post.to, 100 + len(post.body))
        for delay in delays:
            self._at(delay, post.to, self._message, other, part, sender, post.body)
        if delays and self.garbage and self._rng.random() < self.garbage:
            cut = post.body[: self._rng.randrange(len(post.body))] if post.body else b"\xc1"
            self._at(delays[0], post.to, self._message, other, part, sender, cut)

    def _message(self, proc: Proc, part: str, sender: Member, body: bytes) -> None:
        known = proc.known.get(sender.name)
        if known is None or known.incarnation < sender.incarnation:
            self._learn(proc, sender)
        elif known.incarnation > sender.incarnation:
            return
        self._hand(proc, part, sender.name, sender.incarnation, body)

    def _entry(self, proc: Proc, entry: Entry) -> None:
        if proc.accept(entry):
            self._tell_entry(proc, entry)

    def _others(self, proc: Proc) -> list[Proc]:
        return [other for other in self.procs.values() if other.up and other is not proc]

    def _reached(self, proc: Proc, other: Proc) -> bool:
        return other.up and not other.paused and self.net.reached(proc.name, other.name)

    def _learn(self, proc: Proc, member: Member) -> None:
        old = proc.known.get(member.name)
        if old == member or member.name == proc.name or (old and old.incarnation > member.incarnation):
            return
        proc.know(member)
        self._tell_member(proc, member)

    def _look(self, proc: Proc) -> None:
        self._at(LOOK * self._rng.uniform(0.8, 1.2), proc.name, self._look, proc)
        reached = []
        for other in list(self.procs.values()):
            if not proc.up or proc.paused:
                return
            if other is not proc:
                if self._reached(proc, other):
                    reached.append(other)
                    proc.contact[other.name] = self.now
                member = proc.judge(other, self._rng)
                if member is not None:
                    self._learn(proc, member)
        if reached:
            self._pull(proc, self._rng.choice(reached))

    def _pull(self, proc: Proc, other: Proc) -> None:
        for member in list(other.known.values()):
            if member.name not in proc.known and member.there:
                self._learn(proc, member)
        for about in list(other.told.values()):
            for entry in list(about.values()):
                if proc.up and not proc.paused:
                    self._entry(proc, entry)
