"""Goodput under overload with coordination of the fleet, relative to independent processes.

`python -m benchmarks.fleet_overload [--json FILE] [--sizes 3,30,200] [--seconds 40] [--seed 1]`

The model runs on a virtual clock without I/O. All warm engines form one pool of `THREADS_PER_PROCESS`
threads per process. With up to that many requests in flight each does one core-second of work per second;
with f times as many the throughput of the whole pool falls by the square root of f. Requests of three
classes arrive as Poisson processes. A process queues those beyond its slots, highest worth per work first,
until their time budget is over. Served worth is that of requests that end in time. Without peers a process
has an equal share of the pool, with peers the share that the overload component gives it. Clients of a killed
process move to the others. Not modelled: single engines, their health, handshakes, memory, and CPU time of
the front ends.
"""

from __future__ import annotations

import argparse
import json
import random
from collections.abc import Callable

from aspenrill.fleet.interface import Entry, Member, Place, Post, Put, State
from aspenrill.fleet.overload.bridge import Bridge
from aspenrill.fleet.overload.part import OverloadComponent
from aspenrill.fleet.overload.probes import ProbeSchedule
from aspenrill.fleet.overload.rules import Rules

STEP_S = 0.05  # seconds of a simulation step
STEPS_PER_TICK = 5  # steps between two ticks of the component
THREADS_PER_PROCESS = 6  # threads of the pool for each process
OFFERED_LOAD = 0.95  # work offered, as a share of the pool
HOT_FACTOR = 5.0  # load of a hot process, in multiples of another's
CLASSES = ((0.2, 1.0, 2.0), (1.0, 2.5, 4.0), (4.0, 2.0, 10.0))  # core-seconds, worth, time budget in seconds
WORK_SHARES = (0.5, 0.35, 0.15)  # share of each class in the work offered
DEATH_DETECTION_S = 2.0  # seconds until a failed process is declared dead
ENTRY_DELAY_S = 0.5  # seconds until an entry of the shared state reaches the others


class SimulatedProcess:
    """A process: its clients, its queue, its requests in flight and, with peers, its overload component."""

    def __init__(self, fleet: SimulatedFleet, index: int) -> None:
        self.fleet, self.name, self.index = fleet, f"p{index}", index
        self.incarnation, self.place, self.offset = 1, Place(), fleet.rng.uniform(0, 1e4)
        self.up, self.paused = True, False
        self.queue: list[tuple[float, float, float, float]] = []  # -worth/work, deadline, work, worth
        self.in_flight: list[list[float]] = []  # remaining work, deadline, worth
        self.entries_received: dict[str, Entry] = {}
        self.visible_members: dict[str, Member] = {}
        self.bridge: Bridge | None = None

    def start_component(self, rules: Rules) -> None:
        """Start the overload component."""
        part = OverloadComponent(rules)
        self.bridge = Bridge(part)
        self.apply_effects(part.on_start(self.now, self, {}))
        self.bridge.started()
        self.bridge.set_engines([("pool", float(self.fleet.pool))], [])

    @property
    def now(self) -> float:
        """The clock of the process, which has an offset of its own."""
        return self.fleet.time + self.offset

    def members(self) -> dict[str, Member]:
        """Members as this process sees them."""
        return self.visible_members

    def entries(self, topic: str) -> list[Entry]:
        """Entries of the shared state at start: none."""
        return []

    def apply_effects(self, effects) -> None:
        """Carry out effects of the component: send messages and publish entries."""
        for effect in effects:
            if isinstance(effect, Post):
                self.fleet.send_message(self, effect.to, effect.body)
            elif isinstance(effect, Put):
                self.fleet.publish_entry(self, effect)

    def slot_limit(self) -> float:
        """Requests that may be in flight at present."""
        return self.bridge.slots(self.now) if self.bridge else self.fleet.pool / len(self.fleet.processes)

    def receive_requests(self, rate: float) -> None:
        """Queue the requests that arrive in one step; `rate` is work offered, in core-seconds a second."""
        rng, now = self.fleet.rng, self.fleet.time
        for cls, ((work, worth, time_budget), share) in enumerate(zip(CLASSES, WORK_SHARES, strict=True)):
            mean, count = rate * share / work * STEP_S, 0
            gap = rng.expovariate(1.0)
            while gap < mean:
                count, gap = count + 1, gap + rng.expovariate(1.0)
            for _ in range(count):
                self.fleet.offered_worth += worth
                self.queue.append((-worth / work, now + time_budget, work, worth))
                if self.bridge:
                    self.bridge.on_request(self.now, cls, 0, work, worth)

    def start_requests(self) -> None:
        """Drop requests that can't end in time, and start those with the most worth per work."""
        now = self.fleet.time
        self.queue = sorted(item for item in self.queue if item[1] - item[2] > now)
        slots = max(1.0, self.slot_limit()) if self.up else 0.0
        while self.queue and len(self.in_flight) + 1 <= slots:
            _, deadline, work, worth = self.queue.pop(0)
            self.in_flight.append([work, deadline, worth])

    def advance_work(self, speed: float) -> None:
        """Advance the requests in flight by one step; `speed` is core-seconds a second of each request."""
        for item in self.in_flight:
            item[0] -= speed * STEP_S
        ended = [item for item in self.in_flight if item[0] <= 0]
        self.in_flight = [item for item in self.in_flight if item[0] > 0]
        self.fleet.served_worth += sum(worth for _, deadline, worth in ended if self.fleet.time <= deadline)


class SimulatedFleet:
    """All processes, with or without peers, and the pool of engine threads that they share."""

    def __init__(self, count: int, seed: int, peers: bool, hot: tuple[int, ...]) -> None:
        self.rng, self.time, self.loss = random.Random(seed), 0.0, 0.0
        self.pool, self.offered_worth, self.served_worth = THREADS_PER_PROCESS * count, 0.0, 0.0
        self.processes = [SimulatedProcess(self, i) for i in range(count)]
        self.names = {proc.name: proc for proc in self.processes}
        self.side = dict.fromkeys(self.names, 0)
        self.last_seen_at: dict[str, float] = {}
        self.pending_deliveries: list[tuple[float, str, Callable]] = []
        self.hot = set(hot)
        self.version = 0
        self.update_membership()
        if peers:
            rules = Rules(count, tuple(f"p{i}" for i in range(0, count, max(1, count // 5)))[:5])
            for proc in self.processes:
                proc.start_component(rules)

    def send_message(self, proc: SimulatedProcess, to: str, body: bytes) -> None:
        """Deliver a message after 20 ms, unless it is lost or crosses a partition."""
        if self.rng.random() >= self.loss and self.side[proc.name] == self.side[to]:
            other = self.names[to]
            self.pending_deliveries.append(
                (
                    self.time + 0.02,
                    to,
                    lambda: other.apply_effects(
                        other.bridge.part.on_message(other.now, proc.name, proc.incarnation, body)
                    ),
                )
            )

    def publish_entry(self, proc: SimulatedProcess, put: Put) -> None:
        """Publish an entry to all processes on the same side of a partition."""
        self.version += 1
        entry = Entry(proc.name, proc.incarnation, put.topic, self.version, put.value)
        for other in self.processes:
            if other is not proc and other.up and self.side[proc.name] == self.side[other.name]:
                self.pending_deliveries.append(
                    (
                        self.time + ENTRY_DELAY_S * (1 + (self.rng.random() < self.loss)),
                        other.name,
                        lambda o=other: o.apply_effects(o.bridge.part.on_entry(o.now, entry)),
                    )
                )

    def update_membership(self) -> None:
        """Give each process the member list of its side of a partition."""
        for side in set(self.side.values()):
            visible_members = {}
            for proc in self.processes:
                unreachable = not proc.up or proc.paused or self.side[proc.name] != side
                lost = self.last_seen_at.setdefault(f"{side}/{proc.name}", self.time)
                if not unreachable:
                    self.last_seen_at[f"{side}/{proc.name}"] = self.time
                state = State.DEAD if unreachable and self.time > lost + DEATH_DETECTION_S else State.ALIVE
                visible_members[proc.name] = Member(proc.name, 1, "h", 1, Place(), state)
            for proc in self.processes:
                if self.side[proc.name] == side and not proc.paused:
                    proc.visible_members = visible_members

    def run(self, seconds: float) -> None:
        """Simulate so many seconds."""
        for step in range(round(seconds / STEP_S)):
            self.time += STEP_S
            due = [item for item in self.pending_deliveries if item[0] <= self.time]
            self.pending_deliveries = [item for item in self.pending_deliveries if item[0] > self.time]
            for due_at, to, deliver in due:
                proc = self.names[to]
                if proc.up and not proc.paused:
                    deliver()
                elif proc.paused:
                    self.pending_deliveries.append((due_at, to, deliver))
            if step % STEPS_PER_TICK == 0:
                self.update_membership()
            total = OFFERED_LOAD * self.pool / (len(self.processes) + (HOT_FACTOR - 1) * len(self.hot))
            redistributed = sum(
                total * (HOT_FACTOR if n.index in self.hot else 1)
                for n in self.processes
                if not n.up or n.paused
            )
            running = [n for n in self.processes if n.up and not n.paused]
            for proc in running:
                proc.receive_requests(
                    total * (HOT_FACTOR if proc.index in self.hot else 1) + redistributed / len(running)
                )
                if proc.bridge and (step + proc.index) % STEPS_PER_TICK == 0:
                    proc.apply_effects(proc.bridge.part.on_tick(proc.now))
                proc.start_requests()
            in_flight = sum(len(n.in_flight) for n in self.processes)
            speed = 1.0 if in_flight <= self.pool else self.pool / in_flight * (self.pool / in_flight) ** 0.5
            for proc in self.processes:
                proc.advance_work(speed)


def kill_a_third(fleet: SimulatedFleet, seconds: float) -> None:
    """Run with every third process killed."""
    for proc in fleet.processes[1::3]:
        proc.up, proc.in_flight, proc.queue = False, [], []
    fleet.run(seconds)


def split_network(fleet: SimulatedFleet, seconds: float) -> None:
    """Run with a third of the processes partitioned off for the first half."""
    fleet.side.update({proc.name: 1 for proc in fleet.processes[2::3]})
    fleet.run(seconds / 2)
    fleet.side = dict.fromkeys(fleet.names, 0)
    fleet.run(seconds / 2)


def lose_messages(fleet: SimulatedFleet, seconds: float) -> None:
    """Run with 20% of the messages lost."""
    fleet.loss = 0.2
    fleet.run(seconds)


def pause_one_process(fleet: SimulatedFleet, seconds: float) -> None:
    """Run with one process paused for the first half."""
    fleet.processes[1].paused = True
    fleet.run(seconds / 2)
    fleet.processes[1].paused = False
    fleet.run(seconds / 2)


def no_fault(fleet: SimulatedFleet, seconds: float) -> None:
    """Run without a fault."""
    fleet.run(seconds)


FAULTS = {
    "none": no_fault,
    "third killed": kill_a_third,
    "partition": split_network,
    "loss 20%": lose_messages,
    "pause": pause_one_process,
}


def served_shares(count: int, seed: int, fault: str, hot: tuple[int, ...], seconds: float) -> dict:
    """Share of the offered worth that is served, without and with peers, after a warm-up of 15 s."""
    served_share = {}
    for peers in (False, True):
        fleet = SimulatedFleet(count, seed, peers, hot)
        fleet.run(15.0)
        fleet.offered_worth = fleet.served_worth = 0.0
        FAULTS[fault](fleet, seconds)
        served_share[peers] = fleet.served_worth / fleet.offered_worth
    return {
        "processes": count,
        "fault": fault,
        "hot": len(hot),
        "without": served_share[False],
        "with": served_share[True],
        "ratio": served_share[True] / served_share[False],
    }


def convergence_time(count: int, seed: int) -> float | None:
    """Seconds from a step of demand at one process until its capacity share is within 10% of its final value.

    None if the share did not rise by at least 20%.
    """
    fleet = SimulatedFleet(count, seed, True, ())
    fleet.run(15.0)
    fleet.hot = {0}
    shares = []
    for _ in range(60):
        fleet.run(0.5)
        shares.append(fleet.processes[0].bridge.threads(fleet.processes[0].now))
    target = sum(shares[-10:]) / 10
    if target < 1.2 * THREADS_PER_PROCESS:
        return None
    return next(0.5 * (i + 1) for i, x in enumerate(shares) if x > 0.9 * target)


def count_probes(count: int, seconds: float = 120.0) -> int:
    """Count probes of one engine that stays out, ejected by all at once; results spread in half a second."""
    names = [f"p{i}" for i in range(count)]
    peers = [ProbeSchedule(name) for name in names]
    for peer in peers:
        peer.set_engines(["e"])
        peer.set_live(names)
        peer.on_ejected(0.0, "e")
    probes, deliveries = 0, []
    for step in range(int(seconds / 0.25)):
        now = step * 0.25
        for _, origin, value in [m for m in deliveries if m[0] <= now]:
            for peer in peers:
                if peer.name != origin:
                    peer.on_entry(now, origin, 1, value)
        deliveries = [m for m in deliveries if m[0] > now]
        for peer in peers:
            for engine in peer.due(now):
                probes += 1
                peer.on_answer(now, engine, False)
                deliveries.append((now + ENTRY_DELAY_S, peer.name, peer.entry()))
    return probes


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json")
    parser.add_argument("--sizes", default="3,30,200")
    parser.add_argument("--fault-size", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rows, single_probes = [], count_probes(1)
    print(f"{'processes':>9} {'hot':>4} {'fault':<13} {'without':>8} {'with':>8} {'ratio':>6}", flush=True)
    sizes = [int(n) for n in args.sizes.split(",")]
    plan = [(n, "none", hot) for n in sizes for hot in ((0,), tuple(range(0, n, 10)))]
    plan += [(args.fault_size, fault, (0,)) for fault in FAULTS if fault != "none" and args.fault_size]
    for count, fault, hot in dict.fromkeys(plan):
        rows.append(row := served_shares(count, args.seed, fault, hot, args.seconds))
        print(
            f"{count:>9} {row['hot']:>4} {fault:<13} {row['without']:>8.3f} {row['with']:>8.3f} "
            f"{row['ratio']:>6.3f}",
            flush=True,
        )
    probes = {count: count_probes(count) for count in (3, 30, 200, 1100)}
    print(
        "probes at an engine out for 120 s: alone", single_probes, *(f"{n}: {k}" for n, k in probes.items())
    )
    times = {n: convergence_time(n, args.seed) for n in sizes if n <= 30}
    print("seconds until a part follows a step of demand:", *(f"{n}: {t}" for n, t in times.items()))
    if args.json:
        with open(args.json, "w") as file:
            json.dump(
                {"worth": rows, "probes": {"alone": single_probes, **probes}, "converge": times},
                file,
                indent=1,
            )


if __name__ == "__main__":
    main()
