"""Overload handled by the fleet as one, against each process by itself: ratios, on a virtual clock,
without I/O.

`python -m benchmarks.fleet_overload [--json FILE] [--sizes 3,30,200] [--seconds 40] [--seed 1]`

The model. All warm engines are one pool of `FOR_EACH` threads per process. Up to that knee each thread
does a core-second of work a second; beyond it the pool as a whole loses: work done falls with the square
root of the threads above. Requests of three classes come at random (Poisson); a process keeps those that
find no room in a line, the most worth for its work first, until their patience is over. Served is the
worth of what ends in time. Without peers a process has its equal share of the pool, with peers what the
part gives it. Clients of a process that is killed come to the others. What it leaves out: single engines,
their health, handshakes, memory, and time that the front ends themselves take.
"""

from __future__ import annotations

import argparse
import json
import random
from collections.abc import Callable

from aspenrill.fleet.interface import Entry, Member, Place, Post, Put, State
from aspenrill.fleet.overload.bridge import Bridge
from aspenrill.fleet.overload.part import OverloadPart
from aspenrill.fleet.overload.probes import Probes
from aspenrill.fleet.overload.rules import Rules

STEP, TICKS = 0.05, 5  # seconds; steps between two ticks of a part
FOR_EACH = 6  # threads of the pool for each process
LOAD, HOT = 0.95, 5.0  # of the pool that is asked; times the mean of the others
CLASSES = ((0.2, 1.0, 2.0), (1.0, 2.5, 4.0), (4.0, 2.0, 10.0))  # work, worth, patience
MIX = (0.5, 0.35, 0.15)  # share of each class in the work asked
DEAD, SPREAD = 2.0, 0.5  # seconds until a death is known, and until an entry is


class Node:
    """A process: its clients, its line, what it has out, and its part where there are peers."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.name, self.index = world, f"p{index}", index
        self.incarnation, self.place, self.offset = 1, Place(), world.random.uniform(0, 1e4)
        self.up, self.paused = True, False
        self.line: list[tuple[float, float, float, float]] = []  # -density, deadline, work, worth
        self.out: list[list[float]] = []  # work left, deadline, worth
        self.told: dict[str, Entry] = {}
        self.seen: dict[str, Member] = {}
        self.bridge: Bridge | None = None

    def begin(self, rules: Rules) -> None:
        part = OverloadPart(rules)
        self.bridge = Bridge(part)
        self.act(part.on_start(self.now, self, {}))
        self.bridge.started()
        self.bridge.engines([("pool", float(self.world.pool))], [])

    @property
    def now(self) -> float:
        return self.world.time + self.offset

    def members(self) -> dict[str, Member]:
        return self.seen

    def entries(self, topic: str) -> list[Entry]:
        return []

    def act(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, Post):
                self.world.post(self, effect.to, effect.body)
            elif isinstance(effect, Put):
                self.world.put(self, effect)

    def room(self) -> float:
        return self.bridge.slots(self.now) if self.bridge else self.world.pool / len(self.world.nodes)

    def clients(self, rate: float) -> None:
        """What comes in one step, of `rate` core-seconds a second."""
        rng, now = self.world.random, self.world.time
        for cls, ((work, worth, patience), share) in enumerate(zip(CLASSES, MIX, strict=True)):
            mean, count = rate * share / work * STEP, 0
            gap = rng.expovariate(1.0)
            while gap < mean:
                count, gap = count + 1, gap + rng.expovariate(1.0)
            for _ in range(count):
                self.world.asked += worth
                self.line.append((-worth / work, now + patience, work, worth))
                if self.bridge:
                    self.bridge.asked(self.now, cls, 0, work, worth)

    def serve(self) -> None:
        """Start the most worthy that find room; give up on those that wait too long."""
        now = self.world.time
        self.line = sorted(one for one in self.line if one[1] - one[2] > now)
        room = max(1.0, self.room()) if self.up else 0.0
        while self.line and len(self.out) + 1 <= room:
            _, deadline, work, worth = self.line.pop(0)
            self.out.append([work, deadline, worth])

    def work(self, speed: float) -> None:
        for one in self.out:
            one[0] -= speed * STEP
        ended = [one for one in self.out if one[0] <= 0]
        self.out = [one for one in self.out if one[0] > 0]
        self.world.served += sum(worth for _, deadline, worth in ended if self.world.time <= deadline)


class World:
    """All processes, with peers or without, before one pool."""

    def __init__(self, count: int, seed: int, peers: bool, hot: tuple[int, ...]) -> None:
        self.random, self.time, self.loss = random.Random(seed), 0.0, 0.0
        self.pool, self.asked, self.served = FOR_EACH * count, 0.0, 0.0
        self.nodes = [Node(self, i) for i in range(count)]
        self.names = {node.name: node for node in self.nodes}
        self.side = dict.fromkeys(self.names, 0)
        self.lost_at: dict[str, float] = {}
        self.mail: list[tuple[float, str, Callable]] = []
        self.hot = set(hot)
        self.version = 0
        self.look()
        if peers:
            rules = Rules(count, tuple(f"p{i}" for i in range(0, count, max(1, count // 5)))[:5])
            for node in self.nodes:
                node.begin(rules)

    def post(self, node: Node, to: str, body: bytes) -> None:
        if self.random.random() >= self.loss and self.side[node.name] == self.side[to]:
            other = self.names[to]
            self.mail.append(
                (
                    self.time + 0.02,
                    to,
                    lambda: other.act(
                        other.bridge.part.on_message(other.now, node.name, node.incarnation, body)
                    ),
                )
            )

    def put(self, node: Node, put: Put) -> None:
        self.version += 1
        entry = Entry(node.name, node.incarnation, put.topic, self.version, put.value)
        for other in self.nodes:
            if other is not node and other.up and self.side[node.name] == self.side[other.name]:
                self.mail.append(
                    (
                        self.time + SPREAD * (1 + (self.random.random() < self.loss)),
                        other.name,
                        lambda o=other: o.act(o.bridge.part.on_entry(o.now, entry)),
                    )
                )

    def look(self) -> None:
        """Who is there, as each side sees it."""
        for side in set(self.side.values()):
            seen = {}
            for node in self.nodes:
                away = not node.up or node.paused or self.side[node.name] != side
                lost = self.lost_at.setdefault(f"{side}/{node.name}", self.time)
                if not away:
                    self.lost_at[f"{side}/{node.name}"] = self.time
                state = State.DEAD if away and self.time > lost + DEAD else State.ALIVE
                seen[node.name] = Member(node.name, 1, "h", 1, Place(), state)
            for node in self.nodes:
                if self.side[node.name] == side and not node.paused:
                    node.seen = seen

    def run(self, seconds: float) -> None:
        for step in range(round(seconds / STEP)):
            self.time += STEP
            due = [one for one in self.mail if one[0] <= self.time]
            self.mail = [one for one in self.mail if one[0] > self.time]
            for at, to, call in due:
                node = self.names[to]
                if node.up and not node.paused:
                    call()
                elif node.paused:
                    self.mail.append((at, to, call))
            if step % TICKS == 0:
                self.look()
            total = LOAD * self.pool / (len(self.nodes) + (HOT - 1) * len(self.hot))
            spread = sum(
                total * (HOT if n.index in self.hot else 1) for n in self.nodes if not n.up or n.paused
            )
            there = [n for n in self.nodes if n.up and not n.paused]
            for node in there:
                node.clients(total * (HOT if node.index in self.hot else 1) + spread / len(there))
                if node.bridge and (step + node.index) % TICKS == 0:
                    node.act(node.bridge.part.on_tick(node.now))
                node.serve()
            out = sum(len(n.out) for n in self.nodes)
            speed = 1.0 if out <= self.pool else self.pool / out * (self.pool / out) ** 0.5
            for node in self.nodes:
                node.work(speed)


def third_killed(world: World, seconds: float) -> None:
    for node in world.nodes[1::3]:
        node.up, node.out, node.line = False, [], []
    world.run(seconds)


def partition(world: World, seconds: float) -> None:
    world.side.update({node.name: 1 for node in world.nodes[2::3]})
    world.run(seconds / 2)
    world.side = dict.fromkeys(world.names, 0)
    world.run(seconds / 2)


def loss(world: World, seconds: float) -> None:
    world.loss = 0.2
    world.run(seconds)


def pause(world: World, seconds: float) -> None:
    world.nodes[1].paused = True
    world.run(seconds / 2)
    world.nodes[1].paused = False
    world.run(seconds / 2)


def nothing(world: World, seconds: float) -> None:
    world.run(seconds)


FAULTS = {
    "none": nothing,
    "third killed": third_killed,
    "partition": partition,
    "loss 20%": loss,
    "pause": pause,
}


def worth(count: int, seed: int, fault: str, hot: tuple[int, ...], seconds: float) -> dict:
    """Share of the worth asked that is served, with peers and without, after 15 s to get going."""
    found = {}
    for peers in (False, True):
        world = World(count, seed, peers, hot)
        world.run(15.0)
        world.asked = world.served = 0.0
        FAULTS[fault](world, seconds)
        found[peers] = world.served / world.asked
    return {
        "processes": count,
        "fault": fault,
        "hot": len(hot),
        "without": found[False],
        "with": found[True],
        "ratio": found[True] / found[False],
    }


def converge(count: int, seed: int) -> float | None:
    """Seconds from a step of demand at one process until its part is within a tenth of where it ends."""
    world = World(count, seed, True, ())
    world.run(15.0)
    world.hot = {0}
    seen = []
    for _ in range(60):
        world.run(0.5)
        seen.append(world.nodes[0].bridge.threads(world.nodes[0].now))
    aim = sum(seen[-10:]) / 10
    if aim < 1.2 * FOR_EACH:
        return None
    return next(0.5 * (i + 1) for i, x in enumerate(seen) if x > 0.9 * aim)


def probes(count: int, seconds: float = 120.0) -> int:
    """Probes at one engine that stays out, found out by all at once; news take half a second."""
    names = [f"p{i}" for i in range(count)]
    peers = [Probes(name) for name in names]
    for one in peers:
        one.engines(["e"])
        one.live(names)
        one.eject(0.0, "e")
    asked, mail = 0, []
    for step in range(int(seconds / 0.25)):
        now = step * 0.25
        for _, origin, value in [m for m in mail if m[0] <= now]:
            for one in peers:
                if one.name != origin:
                    one.hear(now, origin, 1, value)
        mail = [m for m in mail if m[0] > now]
        for one in peers:
            for engine in one.due(now):
                asked += 1
                one.answered(now, engine, False)
                mail.append((now + SPREAD, one.name, one.entry()))
    return asked


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json")
    parser.add_argument("--sizes", default="3,30,200")
    parser.add_argument("--fault-size", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rows, alone = [], probes(1)
    print(f"{'processes':>9} {'hot':>4} {'fault':<13} {'without':>8} {'with':>8} {'ratio':>6}", flush=True)
    sizes = [int(n) for n in args.sizes.split(",")]
    plan = [(n, "none", hot) for n in sizes for hot in ((0,), tuple(range(0, n, 10)))]
    plan += [(args.fault_size, fault, (0,)) for fault in FAULTS if fault != "none" and args.fault_size]
    for count, fault, hot in dict.fromkeys(plan):
        rows.append(row := worth(count, args.seed, fault, hot, args.seconds))
        print(
            f"{count:>9} {row['hot']:>4} {fault:<13} {row['without']:>8.3f} {row['with']:>8.3f} "
            f"{row['ratio']:>6.3f}",
            flush=True,
        )
    asked = {count: probes(count) for count in (3, 30, 200, 1100)}
    print("probes at an engine out for 120 s: alone", alone, *(f"{n}: {k}" for n, k in asked.items()))
    times = {n: converge(n, args.seed) for n in sizes if n <= 30}
    print("seconds until a part follows a step of demand:", *(f"{n}: {t}" for n, t in times.items()))
    if args.json:
        with open(args.json, "w") as file:
            json.dump({"worth": rows, "probes": {"alone": alone, **asked}, "converge": times}, file, indent=1)


if __name__ == "__main__":
    main()
