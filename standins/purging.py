"""A fleet that keeps answers and purges them, on the virtual clock of `cluster`, with the truth beside it.

Engines hold a counter for each table group, raised by each load; an answer is the counter that its query
read. Once a purge is reported complete, or a process has nothing open for a load that has ended, no process
may serve an answer that is older than what the counter was when the purge began: `Truth.check` looks at all
that could be served. The authority is one that keeps its promises by looking at the whole world.
"""

from __future__ import annotations

import random
from bisect import bisect, insort
from collections.abc import Mapping, Sequence

from aspenrill.core.books import Call, Result
from aspenrill.fleet.interface import Agreed, Effect, Inform, Place, Post, View
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
from .proc import Proc
from .quiet import Quiet

LEASE = 4.0  # seconds
LOOKUP, LOAD = 0, 1
TERM = 1.5  # seconds for which a coordinator coordinates without a majority
NEAR = Link(delay_ms=1, jitter_ms=5)  # between any two processes, unless told otherwise
LOOSE = 25  # steps between two looks at all stores where nothing has happened


class Court:
    """The authority of the whole world: voters are the first few processes."""

    def __init__(self, voters: Sequence[str], waits: float = longest(LEASE)) -> None:
        self.voters, self.waits = voters, waits
        self.world: Cluster | None = None
        self.holder: tuple[str, int] | None = None
        self.epoch, self.until, self.settles = 0, 0.0, 0.0
        self.log: list[Agreed] = []
        self.waiting: list[tuple[float, str, str, bytes]] = []

    def majority(self, name: str) -> bool:
        """Whether a process reaches more than half of the voters."""
        net, procs = self.world.net, self.world.procs
        reached = sum(
            v == name or procs[v].up and not procs[v].paused and net.open(name, v) and net.open(v, name)
            for v in self.voters
        )
        return 2 * reached > len(self.voters)


class FakeAuthority(Quiet):
    """The part of one process; it drops what it has proposed with its office."""

    name, topics, period = "authority", (), 0.05

    def __init__(self, court: Court, rng: random.Random) -> None:
        self.court, self.rng, self.given = court, rng, 0
        self.last = 0  # record that the other parts were told of

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        self.me = view.name, view.incarnation
        return []

    def coordinating(self, now: float) -> int | None:
        court = self.court
        return court.epoch if court.holder == self.me and court.world.now < court.until else None

    def settled(self, now: float) -> bool:
        court = self.court
        return (
            self.coordinating(now) is not None
            and court.world.now >= court.settles
            and self.last == len(court.log)
        )

    def epoch(self) -> int:
        return self.court.epoch

    def propose(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        court = self.court
        if self.coordinating(now) is not None:
            court.waiting.append((court.world.now + self.rng.uniform(0.005, 0.05), kind, key, body))
        return []

    def on_tick(self, now: float) -> list[Effect]:
        court, world, name = self.court, self.court.world, self.me[0]
        near = court.majority(name)
        if court.holder == self.me and world.now < court.until:
            if near:
                court.until = world.now + TERM
                due = [w for w in court.waiting if w[0] <= world.now]
                court.waiting = [w for w in court.waiting if w[0] > world.now]
                for _, kind, key, body in due:
                    court.log.append(Agreed(len(court.log) + 1, court.epoch, kind, key, body))
        elif world.now >= court.until and near and name in court.voters and self.rng.random() < 0.2:
            court.waiting = []
            court.holder, court.epoch, court.until = self.me, court.epoch + 1, world.now + TERM
            court.settles = world.now + court.waits * 1.01
        if not near or court.holder != self.me and self.rng.random() < 0.7:
            return []
        latest = {record.key: record.number for record in court.log}
        told = [record for record in court.log[self.last :] if latest[record.key] == record.number]
        if court.holder != self.me:
            told = told[: self.rng.randint(1, 3)]
        self.last = told[-1].number if told else len(court.log)
        return [Inform(record) for record in told]

    def on_leave(self, now: float) -> list[Effect]:
        if self.court.holder == self.me:
            self.court.until = self.court.world.now
        return []


class Truth:
    """What engines hold, and what the promise is by now. Times are the world's."""

    def __init__(self, groups: int) -> None:
        self.groups = range(groups)
        self.writes: dict[int, list[float]] = {group: [] for group in self.groups}
        self.floors: dict[tuple[str, int, int], tuple[str, dict[int, int]]] = {}  # counters as a purge began
        self.needed = {group: 0 for group in self.groups}
        self.complete: dict[tuple[str, int, int], float] = {}
        self.began: dict[tuple[str, int, int], float] = {}
        self.ended: list[tuple[str, int, int, int]] = []  # loads: process, life, group, counter
        self.fresh = False
        self.loose = LOOSE
        self.served = self.looks = 0

    def at(self, group: int, when: float) -> int:
        """The counter of a group."""
        return bisect(self.writes[group], when)

    def before(self, proc: Proc, part, effect: Effect) -> None:
        """Watches purges begin and end."""
        now, what = proc.world.now, effect
        if isinstance(what, Saves) and what.value and what.key.startswith("purge/"):
            saved = wire.saved(what.value)
            if saved is not None:
                ident = (proc.name, saved.incarnation, saved.number)
                self.floors.setdefault(ident, (saved.scope, {g: self.at(g, now) for g in self.groups}))
                self.began.setdefault(ident, now)
        elif isinstance(what, Post) and part.name == "purges":
            told = wire.decode(what.body)
            if isinstance(told, wire.Told):
                for incarnation, number, _, complete in told.items:
                    if complete:
                        self.completed(now, (what.to, incarnation, number))
        elif isinstance(what, Inform) and isinstance(what.fact, Complete):
            self.completed(now, (what.fact.origin, what.fact.incarnation, what.fact.number))

    def completed(self, now: float, ident: tuple[str, int, int]) -> None:
        """A purge was reported complete."""
        if ident in self.complete or ident not in self.floors:
            return  # told before, or begun where the disk was full
        self.complete[ident] = now
        scope, floors = self.floors[ident]
        for group, floor in floors.items():
            if scope in (ALL, of_group(group)) and floor > self.needed[group]:
                self.needed[group] = floor
                self.fresh = True

    def serve(self, name: str, group: int, value: int) -> None:
        """A kept answer goes to a client."""
        self.served += 1
        assert value >= self.needed[group], (
            f"{name} serves {value} of group {group}: a purge after {self.needed[group]} is complete"
        )

    def check(self, world: Cluster) -> None:
        """No process could serve, at this moment, what is older than promised."""
        for load in list(self.ended):
            name, life, group, value = load
            proc = world.procs[name]
            if not proc.up or proc.life != life:
                self.ended.remove(load)
            elif not any(item[2] in (ALL, of_group(group)) for item in proc.part("purges").origin.items):
                self.ended.remove(load)
                if value > self.needed[group]:
                    self.needed[group], self.fresh = value, True
        if not self.fresh and world.steps % self.loose:
            return
        self.fresh = False
        self.looks += 1
        for proc in world.running:
            store, now = proc.part("purges").store, proc.clock()
            if proc.paused or not store.serves(now):
                continue
            for answer in store.answers.values():
                if now < answer.until and store.current(answer.stamp):
                    group, value = answer.result.rows >> 32, answer.result.rows & 0xFFFFFFFF
                    assert value >= self.needed[group], (
                        f"{proc.name} may serve {value} of group {group}: a purge after "
                        f"{self.needed[group]} is complete"
                    )


class Requests(Quiet):
    """Clients and engines of one process: queries and loads come, are sent, and end a while later."""

    name, topics, period = "requests", (), 0.1

    def __init__(
        self,
        truth: Truth,
        purges: Purges,
        rng: random.Random,
        rate: float,
        loads: float,
        front: type[Kept] = Kept,
    ) -> None:
        self.truth, self.purges, self.rng, self.rate, self.loads = truth, purges, rng, rate, loads
        policy = Policy({LOOKUP: Rule("lookup", 30.0)}, frozenset({LOAD}), joins=4, wait=1.0)
        self.news: list = []
        self.kept = front(purges.store, policy, self.news.append)
        self.out: list[tuple[float, float, int, Call]] = []  # ends at, reads or writes at, group, request
        self.count = 0

    def on_start(self, now: float, view: Proc, stored: Mapping[str, bytes]) -> list[Effect]:
        self.proc, self.world = view, view.world
        return []

    def on_tick(self, now: float) -> list[Effect]:
        self.end(now)
        for _ in range(sum(self.rng.random() < self.rate / 4 for _ in range(4))):
            self.ask(now, self.rng.choice(self.truth.groups), LOOKUP)
        if self.rng.random() < self.loads:
            self.ask(now, self.rng.choice(self.truth.groups), LOAD)
        news, self.news[:] = list(self.news), []
        if news:
            self.world.do(
                self.proc.name,
                lambda proc: [effect for item in news for effect in self.purges.load(proc.clock(), item)],
                "purges",
            )
        return []

    def ask(self, now: float, group: int, cls: int) -> None:
        """A request comes."""
        self.count += 1
        text = f"{'select * from' if cls == LOOKUP else 'truncate'} sales_{group}.t"
        call = Call(f"{self.count}", cls, 0, text.encode(), None, group, 0.0, 5.0, lambda call, final: None)
        found = self.kept.lookup(call, now)
        if isinstance(found, Result):
            self.truth.serve(self.proc.name, group, found.rows & 0xFFFFFFFF)
        elif not isinstance(found, Joined):
            self.send(now, group, call)

    def send(self, now: float, group: int, call: Call) -> None:
        """It goes to an engine, which reads or writes some time before its answer is here."""
        self.kept.sent(call, now)
        world = self.world.now
        ends = world + self.rng.choice((0.05, 0.3, 2.0, 6.0)) * self.rng.random()
        acts = self.rng.uniform(world, ends)
        if call.cls == LOAD:
            insort(self.truth.writes[group], acts)
        self.out.append((ends, acts, group, call))

    def end(self, now: float) -> None:
        """Answers come."""
        world = self.world.now
        due, self.out = [o for o in self.out if o[0] <= world], [o for o in self.out if o[0] > world]
        for _, acts, group, call in due:
            value = self.truth.at(group, acts)
            result = Result("text", (b"x",), rows=group << 32 | value) if self.rng.random() < 0.9 else None
            freed = self.kept.ended(call, result, now)
            for waiter in freed.served:
                self.truth.serve(self.proc.name, group, value)
                waiter.open = False
            for waiter in freed.go_on:
                self.send(now, group, waiter)
            if call.cls == LOAD:
                self.truth.ended.append((self.proc.name, self.proc.life, group, self.truth.at(group, world)))


def places(names: Sequence[str], sites: int, buildings: int) -> dict[str, Place]:
    """Names dealt out over sites and buildings."""
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
    link: Link = NEAR,
    garbage: float = 0.0,
    part: type[Purges] = Purges,
    store: type[Store] = Store,
    front: type[Kept] = Kept,
    waits: float = longest(LEASE),
) -> tuple[Cluster, Truth]:
    """A fleet of so many processes that keep answers, under the checker. The classes may be planted
    defects."""
    names = [f"m{at:04}" for at in range(size)]
    court, truth = Court(names[: 5 if size >= 5 else 3], waits), Truth(groups)

    def make(name: str, rng: random.Random) -> list:
        authority = FakeAuthority(court, rng)
        purges = part(rng, store(), authority, LEASE)
        return [authority, purges, Requests(truth, purges, rng, rate, loads, front)]

    world = Cluster(seed, names, make, places(names, sites, buildings), [truth.check], link, garbage)
    court.world, world.before = world, truth.before
    return world, truth


def purge(world: Cluster, name: str, scope: str) -> None:
    """An operator's purge begins at a process."""
    world.do(name, lambda proc: proc.part("purges").purge(proc.clock(), scope, "operator"), "purges")
