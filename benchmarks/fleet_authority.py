"""How long the fleet is without a coordinator, and how long a record takes to be agreed and known to all.

    python -m benchmarks.fleet_authority [--sizes 30,200,1100] [--voters 3,5,7] [--loss 0,10,20] [--runs 5]
                                         [--json FILE]

On a virtual clock, free of I/O; the parts are the program's own. Messages take 1 to 21 ms; loss is of each
message by itself; board entries take up to half a second. Times are seconds as median and longest over runs.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections import Counter

from aspenrill.fleet.authority import AuthorityPart, Rules
from aspenrill.fleet.interface import Agreed, Inform, Post, Put
from standins.cluster import LOOK, Cluster
from standins.faults import Link

WAIT = 60.0  # seconds, for anything
RECORDS = 10
TICKS = 10.0  # seconds over which messages at rest are counted


class World(Cluster):
    """Counts messages by sender, and who was told which record when. Everybody is there for everybody, and
    each asks one other for board entries every LOOK seconds: noticing deaths and spreading news are another
    part's."""

    def __init__(self, seed: int, size: int, voters: int, loss: float) -> None:
        names = [f"p{number:04}" for number in range(size)]
        rules = Rules(tuple(names[:voters]))
        self.sent: Counter[str] = Counter()
        self.told: dict[int, list[float]] = {}
        link = Link(loss=loss, delay_ms=1, jitter_ms=20)
        super().__init__(seed, names, lambda name, rng: [AuthorityPart(rules, rng)], link=link)
        self.voters = rules.voters
        self.members = {proc.name: proc.member() for proc in self.procs.values()}

    def _look(self, proc) -> None:
        self._at(LOOK * self._rng.uniform(0.8, 1.2), proc.name, self._look, proc)
        if len(proc.known) < len(self.members):
            proc.known |= {name: member for name, member in self.members.items() if name != proc.name}
            proc.parts[0].follow.regroup()
        other = self.procs[self._rng.choice(self.names)]
        if other.up and self.net.fate(self.now, other.name, proc.name, 100):
            for entry in list(other.told.get("authority", {}).values()):
                self._entry(proc, entry)

    def _effect(self, proc, part, effect) -> None:
        if isinstance(effect, Post):
            self.sent[proc.name] += 1
        elif isinstance(effect, Inform) and isinstance(effect.fact, Agreed):
            self.told.setdefault(effect.fact.number, []).append(self.now)
            return
        elif isinstance(effect, Put):
            self.sent[proc.name] += 1
        super()._effect(proc, part, effect)

    def coordinator(self) -> str | None:
        for name in self.voters:
            proc = self.procs[name]
            if proc.up and proc.parts[0].coordinating(proc.clock()) is not None:
                return name
        return None

    def propose(self, key: str) -> None:
        self.do(self.coordinator(), lambda proc: proc.parts[0].propose(proc.clock(), "test", key, bytes(200)))


def one(seed: int, size: int, voters: int, loss: float) -> dict[str, list[float]]:
    """Times of one run, in seconds, and messages a second of one process."""
    world, found = World(seed, size, voters, loss), {}
    assert world.until(lambda: world.coordinator() is not None, WAIT)
    world.run(2.0)
    found["agreed"], found["known"] = records(world)
    world.run(5.0)
    found["coordinator_msgs"], found["follower_msgs"] = at_rest(world)
    dead = world.coordinator()
    world.crash(dead)
    found["death"] = [gap(world)]
    world.start(dead)
    world.run(10.0)
    assert world.until(lambda: world.coordinator() is not None, WAIT)
    cut = world.coordinator()
    for other in world.names:
        if other != cut:
            world.net.cut(cut, other)
            world.net.cut(other, cut)
    start = world.now
    assert world.until(lambda: world.coordinator() not in (None, cut), WAIT)
    found["cut"] = [world.now - start]
    world.net.heal()
    world.run(10.0)
    assert world.until(lambda: world.coordinator() is not None, WAIT)
    world.leave(world.coordinator())
    found["leave"] = [gap(world)]
    return found


def gap(world: World) -> float:
    """Seconds until somebody coordinates."""
    start = world.now
    assert world.until(lambda: world.coordinator() is not None, WAIT)
    return world.now - start


def records(world: World) -> tuple[list[float], list[float]]:
    """From a proposal until the first is told of the record, and until all are."""
    agreed, known = [], []
    for number in range(RECORDS):
        assert world.until(lambda: world.coordinator() is not None, WAIT)
        start, last = world.now, max(world.told, default=0)
        world.propose(f"key{number}")
        if not world.until(lambda last=last: len(world.told.get(last + 1, ())) == len(world.procs), WAIT):
            continue  # lost together with a lease
        times = world.told[last + 1]
        agreed.append(min(times) - start)
        known.append(max(times) - start)
    return agreed, known


def at_rest(world: World) -> tuple[list[float], list[float]]:
    world.sent.clear()
    world.run(TICKS)
    name = world.coordinator()
    followers = [world.sent[other] / TICKS for other in world.names if other not in world.voters]
    return [world.sent[name] / TICKS], followers or [0.0]


COLUMNS = ("death", "cut", "leave", "agreed", "known", "coordinator_msgs", "follower_msgs")


def measure(sizes: list[int], voters: list[int], losses: list[int], runs: int) -> list[dict]:
    rows = []
    print("followers voters loss  " + "  ".join(f"{name:>17}" for name in COLUMNS), flush=True)
    for size in sizes:
        for count in voters:
            for loss in losses:
                found: dict[str, list[float]] = {name: [] for name in COLUMNS}
                for seed in range(runs if size < 1000 else max(1, runs // 5)):
                    for name, values in one(seed, size + count, count, loss / 100).items():
                        found[name] += values
                row = {"followers": size, "voters": count, "loss": loss}
                row |= {name: [statistics.median(values), max(values)] for name, values in found.items()}
                rows.append(row)
                cells = (f"{row[name][0]:8.2f} {row[name][1]:8.2f}" for name in COLUMNS)
                print(f"{size:9} {count:6} {loss:3}%  " + "  ".join(cells), flush=True)
    return rows


def main() -> None:
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
