"""Table groups in many processes on a virtual clock: a stand-in authority that keeps its promises, owners,
checkers."""

from __future__ import annotations

import random
from collections.abc import Callable

from aspenrill.fleet.groups.hours import CountRules
from aspenrill.fleet.groups.part import GroupRules, Groups
from aspenrill.fleet.groups.records import Shape, Split, Step, read
from aspenrill.fleet.groups.route import order, part_of
from aspenrill.fleet.groups.schedule import ScheduleRules
from aspenrill.fleet.groups.splits import Facts, MapNews, SplitRules, WarmNews
from aspenrill.fleet.groups.telling import TellRules
from aspenrill.fleet.interface import Agreed, Inform
from standins.cluster import Cluster
from standins.faults import CALM
from standins.quiet import Quiet

ENGINES = tuple(f"e{n}" for n in range(12))
HOUR = 10.0  # seconds of the world
FIRST = 480_000
LEASE = 3.0


class Ledger:
    """The log on the disks of the voters, and what must hold of it; checked with each record."""

    def __init__(self, rng: random.Random, most: int) -> None:
        self.rng, self.most = rng, most
        self.epoch, self.holder, self.until = 0, None, 0.0
        self.log: list[Agreed] = []
        self.waiting: list[tuple[float, str, str, bytes]] = []
        self.splits: dict[str, Split] = {}
        self.states: set[tuple] = set()  # all that was ever agreed
        self.shapes: dict[int, Shape] = {}
        self.version = 0
        self.maps: dict[int, dict[int, Shape]] = {0: {}}
        self.kill: tuple[str, int] | None = None  # the holder, at the n-th "propose" or "append"
        self.done = {"propose": 0, "append": 0}

    def strike(self, what: str, world: Cluster) -> None:
        """Kill the coordinator at this very moment, if that is what is to be tried."""
        self.done[what] += 1
        if self.kill == (what, self.done[what]):
            world.crash(self.holder[0])
            world.play([(6.0, "start", self.holder[0])])

    def append(self, kind: str, key: str, body: bytes) -> None:
        self.log.append(Agreed(len(self.log) + 1, self.epoch, kind, key, body))
        if kind == "map":
            shape = read(body, Shape)
            if self.shapes.get(shape.group) != shape:
                assert shape.version == self.version + 1, "a version of the map used twice"
                split, old = self.splits[shape.split], self.shapes.get(shape.group)
                assert split.step == Step.WARMING, f"{split.id} into the map while {split.step.name}"
                assert split.was == (old.parts if old else 1) and shape.parts == split.parts, "split twice"
                self.version, self.shapes = shape.version, {**self.shapes, shape.group: shape}
                self.maps[shape.version] = self.shapes
            self.states.add(("map", shape))
        elif kind == "split" and body:
            split, old = read(body, Split), self.splits.get(key)
            step = old.step if old else 0
            switched = any(s.split == key for s in self.shapes.values())
            legal = (
                step == split.step
                or split.step == step + 1
                or (split.step == Step.DROPPED and step <= Step.WARMING)
            )
            assert legal, f"{key} from {step} to {split.step}"
            assert switched or split.step not in (Step.SWITCHED, Step.DONE), f"{key} is not in the map"
            assert not (switched and split.step == Step.DROPPED), f"{key} is dropped after it was switched"
            self.splits[key] = split
            self.states.add(("split", split))
            moving = [s for s in self.splits.values() if s.step in (Step.WARMING, Step.SWITCHED)]
            homes = [e for s in moving for e in s.engines]
            assert len(moving) <= self.most and len(homes) == len(set(homes)), "too many splits at a time"


class FakeAuthority(Quiet):
    """Keeps the promises of `Authority`: what is agreed stays, what a lost lease left open may go either
    way."""

    name = "authority"

    def __init__(self, world: list[Cluster], ledger: Ledger, name: str, voters: list[str]) -> None:
        self.worlds, self.ledger, self.me, self.voters = world, ledger, name, voters
        self.given, self.taken = 0, 0.0

    def _at(self) -> float:
        return self.worlds[0].now

    def coordinating(self, now):
        ledger, life = self.ledger, self.worlds[0].procs[self.me].life
        return ledger.epoch if ledger.holder == (self.me, life) and self._at() < ledger.until else None

    def settled(self, now):
        return (
            self.coordinating(now) is not None
            and self._at() > self.taken + 1
            and (self.given == len(self.ledger.log))
        )

    def epoch(self):
        return self.ledger.epoch

    def propose(self, now, kind, key, body):
        assert self.coordinating(now) is not None, "a proposal without a majority"
        if self.ledger.rng.random() < 0.95:  # else lost on its way
            at = self._at() + self.ledger.rng.random()
            self.ledger.waiting += [(at, kind, key, body)] * self.ledger.rng.choice((1, 1, 2))
        self.ledger.strike("propose", self.worlds[0])
        return []

    def on_tick(self, now):
        ledger, world, me = self.ledger, self.worlds[0], self.worlds[0].procs[self.me]
        near = [v for v in self.voters if v == self.me or world._reached(me, world.procs[v])]
        if self.me in self.voters and len(near) * 2 > len(self.voters):
            if ledger.holder != (self.me, me.life) and self._at() > ledger.until + 0.5:
                ledger.holder, self.taken = (self.me, me.life), self._at()
                for _, kind, key, body in ledger.waiting[: ledger.rng.randrange(len(ledger.waiting) + 1)]:
                    ledger.append(kind, key, body)
                ledger.waiting.clear()
                ledger.epoch += 1
            if ledger.holder == (self.me, me.life):
                ledger.until = self._at() + LEASE
                while ledger.waiting and ledger.waiting[0][0] <= self._at():
                    ledger.append(*ledger.waiting.pop(0)[1:])
                    ledger.strike("append", world)
                if not me.up:
                    return []
        if len(near) * 2 <= len(self.voters):
            return []
        new, self.given = ledger.log[self.given :], len(ledger.log)
        last = {(r.kind, r.key): r.number for r in new}
        late = ledger.rng.random() < 0.5  # is told only the latest of each key
        return [Inform(r) for r in new if not late or last[r.kind, r.key] == r.number]


class Owner(Quiet):
    """Tells what it sees, counts what is written, and sends requests under the map that it has."""

    name = "owner"

    def __init__(self, scene: Scene, groups: Groups, rng: random.Random) -> None:
        self.scene, self.groups, self.rng = scene, groups, rng
        self.out: list[tuple[float, int]] = []
        self.number = 0

    def on_tick(self, now):
        scene, groups, at = self.scene, self.groups, self.scene.world.now
        groups.tell(now, Facts(scene.storm, scene.outage, ENGINES))
        for group in scene.groups:
            size = self.rng.randrange(1, 100)
            groups.count(group, 1, size, 10)
            hour = groups.counts.hour, group
            scene.written[hour] = scene.written.get(hour, 0) + size
            self._send(at, group, self.rng.randbytes(4))
        for ends, ident in [o for o in self.out if o[0] <= at]:
            self.out.remove((ends, ident))
            scene.ended[ident] = scene.ended.get(ident, 0) + 1
        return []

    def _send(self, at: float, group: int, key: bytes) -> None:
        """One attempt: its home is one of its own version of the map, or an old one while that spreads."""
        map_ = self.groups.splits.map
        home = self.groups.splits.allowed(group, key)[0]
        shape = self.scene.ledger.maps[map_.version].get(group)
        part = part_of(group, key, shape.parts if shape else 1)
        current = {s.group: s.version for s in map_.shapes.values()}
        if current.get(group, 0) == (shape.version if shape else 0):  # else a later one of it is on its way
            assert home == order(group, part, ENGINES)[0], "a request not under the map that it was sent with"
        ident = len(self.scene.sent)
        self.scene.sent.append(self.groups)
        self.out.append((at + self.rng.random() * 8, ident))


class Scene:
    """A world with groups, and its checks. `kind` and `splits_kind` take the place of the real classes."""

    def __init__(
        self, seed: int, count: int, kind: type[Groups] = Groups, authority: Callable | None = None, **more
    ) -> None:
        names = [f"p{n:02}" for n in range(count)]
        self.voters = names[: min(count, 5)]
        self.authority = authority  # from voters and a generator, in place of the fake
        self.groups = {17: 1.5, 18: 1.5, 19: 3.0}
        self.storm = self.outage = False
        self.kind, self.written, self.sent, self.ended = kind, {}, [], {}
        self.ledger = Ledger(random.Random(f"{seed}/ledger"), 2)
        self.rules = GroupRules(
            tuple(self.voters),
            ScheduleRules(1e9, notice=1, window=3),
            tell=2.0,
            store=4.0,
            sizes={g: s * 1e9 for g, s in self.groups.items()},
            telling=TellRules(1.0, 8),
            counts=CountRules(),
            splits=SplitRules(
                notice=1.0, warm=2.0, spread=4.0, window=3, rest=20.0, forget=3600.0, again=2.0, fresh=3.0
            ),
            **more,
        )
        self.worlds: list[Cluster] = []
        self.seen: dict[str, int] = {}
        self.warmed: set[tuple[str, int, str]] = set()
        self.world = Cluster(seed, names, self.make, checks=[self.check], link=CALM, garbage=0.01)
        self.worlds.append(self.world)

    def hour(self, _: float) -> int:
        return FIRST + int(self.world.now / HOUR) if self.worlds else FIRST

    def make(self, name: str, rng: random.Random) -> list:
        if self.authority:
            authority = self.authority(self.voters, rng)
        else:
            authority = FakeAuthority(self.worlds, self.ledger, name, self.voters)
        groups = self.kind(self.rules, authority, self.hour)
        return [authority, groups, Owner(self, groups, rng)]

    def all(self) -> list[Groups]:
        return [proc.part("groups") for proc in self.world.running]

    def check(self, world: Cluster) -> None:
        """What changed in any process since the last step. A real authority's log is taken from its facts."""
        for proc in world.running if self.authority else ():
            for _, _, fact in proc.facts[self.seen.get(proc.name, 0) :]:
                if isinstance(fact, Agreed) and fact.number == len(self.ledger.log) + 1:
                    self.ledger.epoch = fact.epoch
                    self.ledger.append(fact.kind, fact.key, fact.body)
        for proc in world.running:
            if len(proc.facts) != self.seen.get(proc.name, 0) or world.steps % 50 == 0:
                self.look(proc, proc.facts[self.seen.get(proc.name, 0) :])
                self.seen[proc.name] = len(proc.facts)

    def look(self, proc, facts) -> None:
        splits = proc.part("groups").splits
        for split in splits.splits.values():
            assert ("split", split) in self.ledger.states, f"{proc.name}: {split.id} is not agreed"
        for shape in splits.map.shapes.values():
            assert ("map", shape) in self.ledger.states, f"{proc.name}: map of {shape.group} is not agreed"
        for _, _, fact in facts:
            if isinstance(fact, MapNews):
                assert fact.map.version in self.ledger.maps, "no such version of the map"
            if isinstance(fact, WarmNews):
                warm = proc.name, proc.life, fact.split.id
                assert warm not in self.warmed, f"{proc.name}: {fact.split.id} warmed twice"
                self.warmed.add(warm)
        counts = proc.part("groups").counts
        for hour in list(counts.hours)[-4:]:
            for group in self.groups:
                told = counts.hours[hour].totals().get(group, (0, 0, 0))[1]
                assert told <= self.written.get((hour, group), 0), f"{proc.name}: bytes counted twice"

    def finish(self, within: float = 600.0) -> None:
        """Play until all that is due is done everywhere, and check it."""
        self.storm = self.outage = False
        self.world.until(
            lambda: (
                all(s.step.over for s in self.ledger.splits.values())
                and len({g.splits.map.version for g in self.all()}) == 1
                and sum(s.parts for s in self.ledger.shapes.values()) == 8
            ),
            within,
        )
        self.whole()

    def whole(self) -> None:
        """After all is calm: what was due is done, once, and all route by the same version."""
        maps = {tuple(sorted(g.splits.map.shapes.items())) for g in self.all()}
        parts = {g: s.parts for g, s in self.ledger.shapes.items()}
        assert len(maps) == 1 and parts == {17: 2, 18: 2, 19: 4}, parts
        assert all(s.step.over for s in self.ledger.splits.values())
        assert max(self.ended.values()) == 1, "an attempt ended twice"
        open_ = {ident for proc in self.world.running for _, ident in proc.part("owner").out}
        alive = self.all()
        assert all(i in self.ended or i in open_ for i, g in enumerate(self.sent) if g in alive), "lost"
