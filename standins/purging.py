"""Simulation of a fleet that caches answers and purges them, with a checker that knows the true data.

Engines hold a counter for each table group that each load increments; an answer is the counter value that its
query read. Once a purge is reported complete, or a process has no purge pending for a load that has ended, no
process may serve an answer older than the counter at the begin of the purge: `CacheChecker.check` inspects
all cached answers that could be served. The fake authority gives its guarantees by inspecting the whole
simulation.
"""

from __future__ import annotations

import random
from bisect import bisect, insort
from collections.abc import Mapping, Sequence

from aspenrill.core.books import ClientRequest, Result
from aspenrill.fleet.interface import Agreed, Effect, Notify, Place, Post, View
from aspenrill.fleet.interface import Store as Saves
from aspenrill.fleet.kept.front import Joined, Kept
from aspenrill.fleet.kept.policy import Policy, Rule
from aspenrill.fleet.kept.scopes import ALL, of_group
from aspenrill.fleet.kept.store import Store
from aspenrill.fleet.purges import wire
from aspenrill.fleet.purges.leases import longest
from aspenrill.fleet.purges.origin import Complete
from aspenrill.fleet.purges.part import Purges

from .cluster import Cluster
from .faults import Link
from .nullcomponent import NullComponent
from .proc import Proc

LEASE = 4.0  # seconds
LOOKUP = 0  # class of requests that read
LOAD = 1  # class of requests that write
LEASE_TERM = 1.5  # seconds for which a coordinator goes on without a majority
DEFAULT_LINK = Link(delay_ms=1, jitter_ms=5)  # default between any two processes
CHECK_STEPS = 25  # steps between two checks of all stores without a change


class AuthorityState:
    """The state of the fake authority, shared by all processes; the voters are the first few processes."""

    def __init__(self, voters: Sequence[str], waits: float = longest(LEASE)) -> None:
        self.voters, self.waits = voters, waits
        self.world: Cluster | None = None
        self.holder: tuple[str, int] | None = None
        self.epoch, self.until, self.settled_at = 0, 0.0, 0.0
        self.log: list[Agreed] = []
        self.pending_records: list[tuple[float, str, str, bytes]] = []

    def majority(self, name: str) -> bool:
        """Whether a process can reach more than half of the voters."""
        net, procs = self.world.net, self.world.procs
        reached = sum(
            v == name or procs[v].up and not procs[v].paused and net.open(name, v) and net.open(v, name)
            for v in self.voters
        )
        return 2 * reached > len(self.voters)


class FakeAuthority(NullComponent):
    """The authority component of one process; pending proposals are dropped when the coordinator changes."""

    name, topics, period = "authority", (), 0.05

    def __init__(self, state: AuthorityState, rng: random.Random) -> None:
        self.state, self.rng, self.given = state, rng, 0
        self.last_number = 0  # number of the last record passed to the other components

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """See Part."""
        self.me = view.name, view.incarnation
        return []

    def coordinating(self, now: float) -> int | None:
        """See Authority."""
        state = self.state
        return state.epoch if state.holder == self.me and state.world.now < state.until else None

    def settled(self, now: float) -> bool:
        """See Authority."""
        state = self.state
        return (
            self.coordinating(now) is not None
            and state.world.now >= state.settled_at
            and self.last_number == len(state.log)
        )

    def epoch(self) -> int:
        """See Authority."""
        return self.state.epoch

    def propose(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """See Authority."""
        state = self.state
        if self.coordinating(now) is not None:
            state.pending_records.append((state.world.now + self.rng.uniform(0.005, 0.05), kind, key, body))
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Take over or renew the lease, agree on due proposals and inform of new records."""
        state, world, name = self.state, self.state.world, self.me[0]
        has_majority = state.majority(name)
        if state.holder == self.me and world.now < state.until:
            if has_majority:
                state.until = world.now + LEASE_TERM
                due = [w for w in state.pending_records if w[0] <= world.now]
                state.pending_records = [w for w in state.pending_records if w[0] > world.now]
                for _, kind, key, body in due:
                    state.log.append(Agreed(len(state.log) + 1, state.epoch, kind, key, body))
        elif world.now >= state.until and has_majority and name in state.voters and self.rng.random() < 0.2:
            state.pending_records = []
            state.holder, state.epoch, state.until = (
                self.me,
                state.epoch + 1,
                world.now + LEASE_TERM,
            )
            state.settled_at = world.now + state.waits * 1.01
        if not has_majority or state.holder != self.me and self.rng.random() < 0.7:
            return []
        latest = {record.key: record.number for record in state.log}
        reported = [record for record in state.log[self.last_number :] if latest[record.key] == record.number]
        if state.holder != self.me:
            reported = reported[: self.rng.randint(1, 3)]
        self.last_number = reported[-1].number if reported else len(state.log)
        return [Notify(record) for record in reported]

    def on_leave(self, now: float) -> list[Effect]:
        """Give up the lease."""
        if self.state.holder == self.me:
            self.state.until = self.state.world.now
        return []


class CacheChecker:
    """The data of the engines and the oldest answers that may be served. Times are the simulation's."""

    def __init__(self, groups: int) -> None:
        self.groups = range(groups)
        self.write_times: dict[int, list[float]] = {group: [] for group in self.groups}
        # scope and counters at the begin of a purge
        self.floors: dict[tuple[str, int, int], tuple[str, dict[int, int]]] = {}
        self.required = {group: 0 for group in self.groups}
        self.complete: dict[tuple[str, int, int], float] = {}
        self.began_at: dict[tuple[str, int, int], float] = {}
        self.ended_loads: list[tuple[str, int, int, int]] = []  # loads: process, life, group, counter
        self.changed = False
        self.check_steps = CHECK_STEPS
        self.served = self.check_count = 0

    def at(self, group: int, when: float) -> int:
        """Return the counter of a group at that time."""
        return bisect(self.write_times[group], when)

    def before_effect(self, proc: Proc, part, effect: Effect) -> None:
        """Observe the begin and the completion of purges."""
        now, what = proc.world.now, effect
        if isinstance(what, Saves) and what.value and what.key.startswith("purge/"):
            saved = wire.saved(what.value)
            if saved is not None:
                purge_id = (proc.name, saved.incarnation, saved.number)
                self.floors.setdefault(purge_id, (saved.scope, {g: self.at(g, now) for g in self.groups}))
                self.began_at.setdefault(purge_id, now)
        elif isinstance(what, Post) and part.name == "purges":
            reported = wire.decode(what.body)
            if isinstance(reported, wire.Told):
                for incarnation, number, _, complete in reported.items:
                    if complete:
                        self.on_complete(now, (what.to, incarnation, number))
        elif isinstance(what, Notify) and isinstance(what.fact, Complete):
            self.on_complete(now, (what.fact.origin, what.fact.incarnation, what.fact.number))

    def on_complete(self, now: float, purge_id: tuple[str, int, int]) -> None:
        """Record that a purge was reported complete."""
        if purge_id in self.complete or purge_id not in self.floors:
            return  # already recorded, or begun while the disk was full
        self.complete[purge_id] = now
        scope, floors = self.floors[purge_id]
        for group, floor in floors.items():
            if scope in (ALL, of_group(group)) and floor > self.required[group]:
                self.required[group] = floor
                self.changed = True

    def serve(self, name: str, group: int, value: int) -> None:
        """Check a cached answer that is sent to a client."""
        self.served += 1
        assert value >= self.required[group], (
            f"{name} serves {value} of group {group}: a purge after {self.required[group]} is complete"
        )

    def check(self, world: Cluster) -> None:
        """Check that no process could serve an answer now that is too old."""
        for load in list(self.ended_loads):
            name, start_count, group, value = load
            proc = world.procs[name]
            if not proc.up or proc.start_count != start_count:
                self.ended_loads.remove(load)
            elif not any(item[2] in (ALL, of_group(group)) for item in proc.part("purges").origin.items):
                self.ended_loads.remove(load)
                if value > self.required[group]:
                    self.required[group], self.changed = value, True
        if not self.changed and world.steps % self.check_steps:
            return
        self.changed = False
        self.check_count += 1
        for proc in world.running:
            store, now = proc.part("purges").store, proc.clock()
            if proc.paused or not store.serves(now):
                continue
            for answer in store.answers.values():
                if now < answer.until and store.current(answer.stamp):
                    group, value = answer.result.rows >> 32, answer.result.rows & 0xFFFFFFFF
                    assert value >= self.required[group], (
                        f"{proc.name} may serve {value} of group {group}: a purge after "
                        f"{self.required[group]} is complete"
                    )


class Requests(NullComponent):
    """Clients and engines of one process: lookups and loads arrive, are sent, and end after a while."""

    name, topics, period = "requests", (), 0.1

    def __init__(
        self,
        truth: CacheChecker,
        purges: Purges,
        rng: random.Random,
        rate: float,
        loads: float,
        front: type[Kept] = Kept,
    ) -> None:
        self.truth, self.purges, self.rng, self.rate, self.loads = truth, purges, rng, rate, loads
        policy = Policy({LOOKUP: Rule("lookup", 30.0)}, frozenset({LOAD}), joins=4, wait=1.0)
        self.load_events: list = []
        self.answer_cache = front(purges.store, policy, self.load_events.append)
        # end time, time of the read or write, group, request
        self.in_flight: list[tuple[float, float, int, ClientRequest]] = []
        self.count = 0

    def on_start(self, now: float, view: Proc, stored: Mapping[str, bytes]) -> list[Effect]:
        """See Part."""
        self.proc, self.world = view, view.world
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Process answers, add random requests, and report the progress of loads to the purges."""
        self.end(now)
        for _ in range(sum(self.rng.random() < self.rate / 4 for _ in range(4))):
            self.ask(now, self.rng.choice(self.truth.groups), LOOKUP)
        if self.rng.random() < self.loads:
            self.ask(now, self.rng.choice(self.truth.groups), LOAD)
        load_events, self.load_events[:] = list(self.load_events), []
        if load_events:
            self.world.call_component(
                self.proc.name,
                lambda proc: [
                    effect for item in load_events for effect in self.purges.load(proc.clock(), item)
                ],
                "purges",
            )
        return []

    def ask(self, now: float, group: int, cls: int) -> None:
        """Add a request from a client."""
        self.count += 1
        text = f"{'select * from' if cls == LOOKUP else 'truncate'} sales_{group}.t"
        call = ClientRequest(
            f"{self.count}", cls, 0, text.encode(), None, group, 0.0, 5.0, lambda call, final: None
        )
        found = self.answer_cache.lookup(call, now)
        if isinstance(found, Result):
            self.truth.serve(self.proc.name, group, found.rows & 0xFFFFFFFF)
        elif not isinstance(found, Joined):
            self.send(now, group, call)

    def send(self, now: float, group: int, call: ClientRequest) -> None:
        """Send it to an engine, which reads or writes at some time before its answer arrives."""
        self.answer_cache.sent(call, now)
        world_now = self.world.now
        ends_at = world_now + self.rng.choice((0.05, 0.3, 2.0, 6.0)) * self.rng.random()
        executes_at = self.rng.uniform(world_now, ends_at)
        if call.cls == LOAD:
            insort(self.truth.write_times[group], executes_at)
        self.in_flight.append((ends_at, executes_at, group, call))

    def end(self, now: float) -> None:
        """Process the answers that have arrived."""
        world_now = self.world.now
        due, self.in_flight = (
            [o for o in self.in_flight if o[0] <= world_now],
            [o for o in self.in_flight if o[0] > world_now],
        )
        for _, executes_at, group, call in due:
            value = self.truth.at(group, executes_at)
            result = Result("text", (b"x",), rows=group << 32 | value) if self.rng.random() < 0.9 else None
            freed = self.answer_cache.ended(call, result, now)
            for waiter in freed.served:
                self.truth.serve(self.proc.name, group, value)
                waiter.open = False
            for waiter in freed.go_on:
                self.send(now, group, waiter)
            if call.cls == LOAD:
                self.truth.ended_loads.append(
                    (self.proc.name, self.proc.start_count, group, self.truth.at(group, world_now))
                )


def places(names: Sequence[str], sites: int, buildings: int) -> dict[str, Place]:
    """Distribute processes over sites and buildings."""
    return {name: Place(f"s{at % sites}", f"b{at // sites % buildings}") for at, name in enumerate(names)}


def build(
    seed: int,
    size: int,
    *,
    sites: int = 3,
    buildings: int = 2,
    groups: int = 4,
    rate: float = 1.0,
    loads: float = 0.02,
    link: Link = DEFAULT_LINK,
    garbage: float = 0.0,
    part: type[Purges] = Purges,
    store: type[Store] = Store,
    front: type[Kept] = Kept,
    waits: float = longest(LEASE),
) -> tuple[Cluster, CacheChecker]:
    """Build a fleet of caching processes with its checker. The classes may be subclasses with planted
    defects."""
    names = [f"m{at:04}" for at in range(size)]
    state, truth = AuthorityState(names[: 5 if size >= 5 else 3], waits), CacheChecker(groups)

    def make(name: str, rng: random.Random) -> list:
        authority = FakeAuthority(state, rng)
        purges = part(rng, store(), authority, LEASE)
        return [authority, purges, Requests(truth, purges, rng, rate, loads, front)]

    world = Cluster(seed, names, make, places(names, sites, buildings), [truth.check], link, garbage)
    state.world, world.before_effect = world, truth.before_effect
    return world, truth


def purge(world: Cluster, name: str, scope: str) -> None:
    """Begin a purge by an operator at a process."""
    world.call_component(
        name, lambda proc: proc.part("purges").purge(proc.clock(), scope, "operator"), "purges"
    )
