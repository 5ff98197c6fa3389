"""Times of the authority: until there is a new coordinator, until a record is agreed, and known to all.

    python -m benchmarks.fleet_authority [--sizes 30,200,1100] [--voters 3,5,7] [--loss 0,10,20] [--runs 5]
                                         [--json FILE]

Runs the program's own component on a virtual clock without I/O. Messages take 1 to 21 ms and are lost
independently; entries of the shared state take up to half a second. Prints the median and the maximum over
runs, in seconds.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections import Counter

from aspenrill.fleet.authority import AuthorityPart, Rules
from aspenrill.fleet.interface import Agreed, Notify, Post, Put
from standins.cluster import CHECK_INTERVAL, Cluster
from standins.faults import Link

TIMEOUT_S = 60.0  # seconds that any condition may take to come about
RECORDS = 10  # proposed in a run
IDLE_COUNT_S = 10.0  # seconds over which messages of an idle fleet are counted


class AuthorityCluster(Cluster):
    """Counts messages by sender, and records when each process was notified of each record.

    Every process has all others as members, and fetches shared state entries from one of them every
    CHECK_INTERVAL seconds: failure detection and gossip belong to another component and are not simulated.
    """

    def __init__(self, seed: int, size: int, voters: int, loss: float) -> None:
        names = [f"p{number:04}" for number in range(size)]
        rules = Rules(tuple(names[:voters]))
        self.messages_sent: Counter[str] = Counter()
        self.notified_at: dict[int, list[float]] = {}
        link = Link(loss=loss, delay_ms=1, jitter_ms=20)
        super().__init__(seed, names, lambda name, rng: [AuthorityPart(rules, rng)], link=link)
        self.voters = rules.voters
        self.members = {proc.name: proc.member() for proc in self.procs.values()}

    def _check_membership(self, proc) -> None:
        self._at(CHECK_INTERVAL * self._rng.uniform(0.8, 1.2), proc.name, self._check_membership, proc)
        if len(proc.known) < len(self.members):
            proc.known |= {name: member for name, member in self.members.items() if name != proc.name}
            proc.parts[0].follow.regroup()
        other = self.procs[self._rng.choice(self.names)]
        if other.up and self.net.datagram_delays(self.now, other.name, proc.name, 100):
            for entry in list(other.published.get("authority", {}).values()):
                self._entry(proc, entry)

    def _effect(self, proc, part, effect) -> None:
        if isinstance(effect, Post):
            self.messages_sent[proc.name] += 1
        elif isinstance(effect, Notify) and isinstance(effect.fact, Agreed):
            self.notified_at.setdefault(effect.fact.number, []).append(self.now)
            return
        elif isinstance(effect, Put):
            self.messages_sent[proc.name] += 1
        super()._effect(proc, part, effect)

    def coordinator(self) -> str | None:
        """The name of the process that coordinates, if there is one."""
        for name in self.voters:
            proc = self.procs[name]
            if proc.up and proc.parts[0].coordinating(proc.clock()) is not None:
                return name
        return None

    def propose(self, key: str) -> None:
        """Propose a record of 200 bytes at the coordinator."""
        self.call_component(
            self.coordinator(), lambda proc: proc.parts[0].propose(proc.clock(), "test", key, bytes(200))
        )


def run_once(seed: int, size: int, voters: int, loss: float) -> dict[str, list[float]]:
    """Measure one run: times in seconds, and messages per second of a process."""
    world, results = AuthorityCluster(seed, size, voters, loss), {}
    assert world.until(lambda: world.coordinator() is not None, TIMEOUT_S)
    world.run(2.0)
    results["agreed"], results["known"] = measure_records(world)
    world.run(5.0)
    results["coordinator_msgs"], results["follower_msgs"] = message_rates(world)
    killed = world.coordinator()
    world.crash(killed)
    results["death"] = [time_to_coordinator(world)]
    world.start(killed)
    world.run(10.0)
    assert world.until(lambda: world.coordinator() is not None, TIMEOUT_S)
    isolated = world.coordinator()
    for other in world.names:
        if other != isolated:
            world.net.cut(isolated, other)
            world.net.cut(other, isolated)
    start = world.now
    assert world.until(lambda: world.coordinator() not in (None, isolated), TIMEOUT_S)
    results["cut"] = [world.now - start]
    world.net.heal()
    world.run(10.0)
    assert world.until(lambda: world.coordinator() is not None, TIMEOUT_S)
    world.leave(world.coordinator())
    results["leave"] = [time_to_coordinator(world)]
    return results


def time_to_coordinator(world: AuthorityCluster) -> float:
    """Seconds until there is a coordinator."""
    start = world.now
    assert world.until(lambda: world.coordinator() is not None, TIMEOUT_S)
    return world.now - start


def measure_records(world: AuthorityCluster) -> tuple[list[float], list[float]]:
    """Seconds from a proposal until the first process is notified of the record, and until all are."""
    agreed, known = [], []
    for number in range(RECORDS):
        assert world.until(lambda: world.coordinator() is not None, TIMEOUT_S)
        start, last = world.now, max(world.notified_at, default=0)
        world.propose(f"key{number}")
        if not world.until(
            lambda last=last: len(world.notified_at.get(last + 1, ())) == len(world.procs), TIMEOUT_S
        ):
            continue  # lost together with a lease
        times = world.notified_at[last + 1]
        agreed.append(min(times) - start)
        known.append(max(times) - start)
    return agreed, known


def message_rates(world: AuthorityCluster) -> tuple[list[float], list[float]]:
    """Messages per second that an idle fleet sends: of the coordinator, and of each follower."""
    world.messages_sent.clear()
    world.run(IDLE_COUNT_S)
    name = world.coordinator()
    followers = [
        world.messages_sent[other] / IDLE_COUNT_S for other in world.names if other not in world.voters
    ]
    return [world.messages_sent[name] / IDLE_COUNT_S], followers or [0.0]


COLUMNS = ("death", "cut", "leave", "agreed", "known", "coordinator_msgs", "follower_msgs")


def measure(sizes: list[int], voters: list[int], losses: list[int], runs: int) -> list[dict]:
    """Measure all combinations and print a line for each."""
    rows = []
    print("followers voters loss  " + "  ".join(f"{name:>17}" for name in COLUMNS), flush=True)
    for size in sizes:
        for count in voters:
            for loss in losses:
                results: dict[str, list[float]] = {name: [] for name in COLUMNS}
                for seed in range(runs if size < 1000 else max(1, runs // 5)):
                    for name, values in run_once(seed, size + count, count, loss / 100).items():
                        results[name] += values
                row = {"followers": size, "voters": count, "loss": loss}
                row |= {name: [statistics.median(values), max(values)] for name, values in results.items()}
                rows.append(row)
                cells = (f"{row[name][0]:8.2f} {row[name][1]:8.2f}" for name in COLUMNS)
                print(f"{size:9} {count:6} {loss:3}%  " + "  ".join(cells), flush=True)
    return rows


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name, default in (("sizes", "30,200,1100"), ("voters", "3,5,7"), ("loss", "0,10,20")):
        parser.add_argument(f"--{name}", default=default, type=lambda text: [int(x) for x in text.split(",")])
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = measure(options.sizes, options.voters, options.loss, options.runs)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
