"""Simulation of table groups in many processes: a fake authority with the guarantees of the real one, owners
that send requests, and checks of the agreed log."""

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
from aspenrill.fleet.interface import Agreed, Notify
from standins.cluster import Cluster
from standins.faults import DEFAULT_LINK
from standins.nullcomponent import NullComponent

ENGINES = tuple(f"e{n}" for n in range(12))
HOUR_SECONDS = 10.0  # seconds of simulated time that stand for an hour
FIRST_HOUR = 480_000
LEASE = 3.0


class AgreedLog:
    """The agreed log of the voters with its invariants, which are checked with each record."""

    def __init__(self, rng: random.Random, most: int) -> None:
        self.rng, self.max_splits = rng, most
        self.epoch, self.holder, self.until = 0, None, 0.0
        self.log: list[Agreed] = []
        self.pending_records: list[tuple[float, str, str, bytes]] = []
        self.splits: dict[str, Split] = {}
        self.states: set[tuple] = set()  # every record that was ever agreed
        self.shapes: dict[int, Shape] = {}
        self.version = 0
        self.maps: dict[int, dict[int, Shape]] = {0: {}}
        self.crash_at: tuple[str, int] | None = None  # kill the coordinator at the n-th "propose" or "append"
        self.step_counts = {"propose": 0, "append": 0}

    def count_step(self, what: str, world: Cluster) -> None:
        """Count a proposal or record, and kill the coordinator if the test asks for it at this one."""
        self.step_counts[what] += 1
        if self.crash_at == (what, self.step_counts[what]):
            world.crash(self.holder[0])
            world.play([(6.0, "start", self.holder[0])])

    def append(self, kind: str, key: str, body: bytes) -> None:
        """Append an agreed record and check the invariants of the log."""
        self.log.append(Agreed(len(self.log) + 1, self.epoch, kind, key, body))
        if kind == "map":
            shape = read(body, Shape)
            if self.shapes.get(shape.group) != shape:
                assert shape.version == self.version + 1, "the same map version was used twice"
                split, old = self.splits[shape.split], self.shapes.get(shape.group)
                assert split.step == Step.WARMING, f"{split.id} entered the map in step {split.step.name}"
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
            engines = [e for s in moving for e in s.engines]
            assert len(moving) <= self.max_splits and len(engines) == len(set(engines)), (
                "too many splits at a time"
            )


class FakeAuthority(NullComponent):
    """Gives the guarantees of `Authority`: agreed records stay; proposals that are pending when a lease is
    lost may or may not be agreed."""

    name = "authority"

    def __init__(self, world: list[Cluster], agreed_log: AgreedLog, name: str, voters: list[str]) -> None:
        self.world_holder, self.agreed_log, self.me, self.voters = world, agreed_log, name, voters
        self.reported, self.taken_over_at = 0, 0.0

    def _at(self) -> float:
        return self.world_holder[0].now

    def coordinating(self, now):
        """See Authority."""
        agreed_log, start_count = self.agreed_log, self.world_holder[0].procs[self.me].start_count
        return (
            agreed_log.epoch
            if agreed_log.holder == (self.me, start_count) and self._at() < agreed_log.until
            else None
        )

    def settled(self, now):
        """See Authority."""
        return (
            self.coordinating(now) is not None
            and self._at() > self.taken_over_at + 1
            and (self.reported == len(self.agreed_log.log))
        )

    def epoch(self):
        """See Authority."""
        return self.agreed_log.epoch

    def propose(self, now, kind, key, body):
        """See Authority."""
        assert self.coordinating(now) is not None, "a proposal without a majority"
        if self.agreed_log.rng.random() < 0.95:  # else the proposal is lost
            at = self._at() + self.agreed_log.rng.random()
            self.agreed_log.pending_records += [(at, kind, key, body)] * self.agreed_log.rng.choice((1, 1, 2))
        self.agreed_log.count_step("propose", self.world_holder[0])
        return []

    def on_tick(self, now):
        """Take over or renew the lease, agree on due proposals and inform of new records."""
        agreed_log, world, me = self.agreed_log, self.world_holder[0], self.world_holder[0].procs[self.me]
        reachable = [v for v in self.voters if v == self.me or world._can_exchange(me, world.procs[v])]
        if self.me in self.voters and len(reachable) * 2 > len(self.voters):
            if agreed_log.holder != (self.me, me.start_count) and self._at() > agreed_log.until + 0.5:
                agreed_log.holder, self.taken_over_at = (self.me, me.start_count), self._at()
                for _, kind, key, body in agreed_log.pending_records[
                    : agreed_log.rng.randrange(len(agreed_log.pending_records) + 1)
                ]:
                    agreed_log.append(kind, key, body)
                agreed_log.pending_records.clear()
                agreed_log.epoch += 1
            if agreed_log.holder == (self.me, me.start_count):
                agreed_log.until = self._at() + LEASE
                while agreed_log.pending_records and agreed_log.pending_records[0][0] <= self._at():
                    agreed_log.append(*agreed_log.pending_records.pop(0)[1:])
                    agreed_log.count_step("append", world)
                if not me.up:
                    return []
        if len(reachable) * 2 <= len(self.voters):
            return []
        new, self.reported = agreed_log.log[self.reported :], len(agreed_log.log)
        last = {(r.kind, r.key): r.number for r in new}
        latest_only = agreed_log.rng.random() < 0.5  # informs only of the latest record of each key
        return [Notify(r) for r in new if not latest_only or last[r.kind, r.key] == r.number]


class Owner(NullComponent):
    """Reports facts, counts written bytes, and sends requests by the process's current map."""

    name = "owner"

    def __init__(self, simulation: GroupsSimulation, groups: Groups, rng: random.Random) -> None:
        self.simulation, self.groups, self.rng = simulation, groups, rng
        self.in_flight: list[tuple[float, int]] = []
        self.number = 0

    def on_tick(self, now):
        """Report facts, count writes, send requests and end those that are due."""
        simulation, groups, at = self.simulation, self.groups, self.simulation.world.now
        groups.tell(now, Facts(simulation.storm, simulation.outage, ENGINES))
        for group in simulation.groups:
            size = self.rng.randrange(1, 100)
            groups.count(group, 1, size, 10)
            hour = groups.counts.hour, group
            simulation.written[hour] = simulation.written.get(hour, 0) + size
            self._send_attempt(at, group, self.rng.randbytes(4))
        for ends, attempt_id in [o for o in self.in_flight if o[0] <= at]:
            self.in_flight.remove((ends, attempt_id))
            simulation.end_counts[attempt_id] = simulation.end_counts.get(attempt_id, 0) + 1
        return []

    def _send_attempt(self, at: float, group: int, key: bytes) -> None:
        """Send one attempt and check that its engine follows the map version that the process has."""
        map_ = self.groups.splits.map
        home = self.groups.splits.allowed(group, key)[0]
        shape = self.simulation.agreed_log.maps[map_.version].get(group)
        part = part_of(group, key, shape.parts if shape else 1)
        current = {s.group: s.version for s in map_.shapes.values()}
        if current.get(group, 0) == (shape.version if shape else 0):  # else a newer map is not complete yet
            assert home == order(group, part, ENGINES)[0], (
                "a request was not routed by the map version it was sent with"
            )
        attempt_id = len(self.simulation.attempts)
        self.simulation.attempts.append(self.groups)
        self.in_flight.append((at + self.rng.random() * 8, attempt_id))


class GroupsSimulation:
    """A simulation with table groups and its checks. `kind` may be a subclass of Groups."""

    def __init__(
        self, seed: int, count: int, kind: type[Groups] = Groups, authority: Callable | None = None, **more
    ) -> None:
        names = [f"p{n:02}" for n in range(count)]
        self.voters = names[: min(count, 5)]
        self.authority = authority  # factory from voters and a generator, in place of the fake authority
        self.groups = {17: 1.5, 18: 1.5, 19: 3.0}
        self.storm = self.outage = False
        self.kind, self.written, self.attempts, self.end_counts = kind, {}, [], {}
        self.agreed_log = AgreedLog(random.Random(f"{seed}/ledger"), 2)
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
        self.world_holder: list[Cluster] = []
        self.seen: dict[str, int] = {}
        self.warmed_splits: set[tuple[str, int, str]] = set()
        self.world = Cluster(seed, names, self.make, checks=[self.check], link=DEFAULT_LINK, garbage=0.01)
        self.world_holder.append(self.world)

    def hour(self, _: float) -> int:
        """Return the number of the current hour."""
        return FIRST_HOUR + int(self.world.now / HOUR_SECONDS) if self.world_holder else FIRST_HOUR

    def make(self, name: str, rng: random.Random) -> list:
        """Build the components of a process."""
        if self.authority:
            authority = self.authority(self.voters, rng)
        else:
            authority = FakeAuthority(self.world_holder, self.agreed_log, name, self.voters)
        groups = self.kind(self.rules, authority, self.hour)
        return [authority, groups, Owner(self, groups, rng)]

    def all(self) -> list[Groups]:
        """Return the groups component of each running process."""
        return [proc.part("groups") for proc in self.world.running]

    def check(self, world: Cluster) -> None:
        """Check what changed in any process since the last step. A real authority's log is read from its
        facts."""
        for proc in world.running if self.authority else ():
            for _, _, fact in proc.facts[self.seen.get(proc.name, 0) :]:
                if isinstance(fact, Agreed) and fact.number == len(self.agreed_log.log) + 1:
                    self.agreed_log.epoch = fact.epoch
                    self.agreed_log.append(fact.kind, fact.key, fact.body)
        for proc in world.running:
            if len(proc.facts) != self.seen.get(proc.name, 0) or world.steps % 50 == 0:
                self.check_process(proc, proc.facts[self.seen.get(proc.name, 0) :])
                self.seen[proc.name] = len(proc.facts)

    def check_process(self, proc, facts) -> None:
        """Check the splits, the map and the byte counts of one process."""
        splits = proc.part("groups").splits
        for split in splits.splits.values():
            assert ("split", split) in self.agreed_log.states, f"{proc.name}: {split.id} is not agreed"
        for shape in splits.map.shapes.values():
            assert ("map", shape) in self.agreed_log.states, (
                f"{proc.name}: map of {shape.group} is not agreed"
            )
        for _, _, fact in facts:
            if isinstance(fact, MapNews):
                assert fact.map.version in self.agreed_log.maps, "unknown map version"
            if isinstance(fact, WarmNews):
                warm = proc.name, proc.start_count, fact.split.id
                assert warm not in self.warmed_splits, f"{proc.name}: {fact.split.id} warmed twice"
                self.warmed_splits.add(warm)
        counts = proc.part("groups").counts
        for hour in list(counts.hours)[-4:]:
            for group in self.groups:
                counted_bytes = counts.hours[hour].totals().get(group, (0, 0, 0))[1]
                assert counted_bytes <= self.written.get((hour, group), 0), (
                    f"{proc.name}: bytes counted twice"
                )

    def finish(self, within: float = 600.0) -> None:
        """Run until all due splits are done everywhere, then check the end state."""
        self.storm = self.outage = False
        self.world.until(
            lambda: (
                all(s.step.over for s in self.agreed_log.splits.values())
                and len({g.splits.map.version for g in self.all()}) == 1
                and sum(s.parts for s in self.agreed_log.shapes.values()) == 8
            ),
            within,
        )
        self.check_end_state()

    def check_end_state(self) -> None:
        """Check the end state: each due split was done once, and all processes have the same map."""
        maps = {tuple(sorted(g.splits.map.shapes.items())) for g in self.all()}
        parts = {g: s.parts for g, s in self.agreed_log.shapes.items()}
        assert len(maps) == 1 and parts == {17: 2, 18: 2, 19: 4}, parts
        assert all(s.step.over for s in self.agreed_log.splits.values())
        assert max(self.end_counts.values()) == 1, "an attempt ended twice"
        still_open = {
            attempt_id for proc in self.world.running for _, attempt_id in proc.part("owner").in_flight
        }
        alive = self.all()
        assert all(
            i in self.end_counts or i in still_open for i, g in enumerate(self.attempts) if g in alive
        ), "lost"
