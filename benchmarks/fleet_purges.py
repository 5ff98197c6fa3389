"""Purges by size and fault, on a virtual clock: python -m benchmarks.fleet_purges [--runs N] [--json FILE]

A fleet in sites of about 70 and buildings of about 25 processes that serve kept answers, on links of 1 to 20
ms, with a lease of 4 s. When all hold leases, a fault is caused, and an operator's purge begins at a process
that it spares. Seconds until the purge is reported complete (median, 99th percentile over all purges), until
all that live have acknowledged it, bytes sent by its origin for it, and answers that could be served after
completion though they were older: every store is looked at.
"""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path
from statistics import median

from aspenrill.fleet.interface import Post
from aspenrill.fleet.purges import wire
from standins import cluster
from standins.cluster import Broken
from standins.faults import EACH, Link
from standins.purging import LEASE, build, purge

SIZES = (3, 30, 200, 1100)
FAULTS = ("none", "loss 10%", "links 300 ms", "relay killed", "member paused", "site cut")
RUNS = {3: 20, 30: 10, 200: 3, 1100: 1}
PURGES = 5  # in one run
LOST, SLOW = Link(loss=0.1, delay_ms=1, jitter_ms=19), Link(delay_ms=300, jitter_ms=20)
SPREAD = (wire.Spread, wire.Want)


class Run:
    """One fleet under one fault."""

    def __init__(self, seed: int, size: int, fault: str) -> None:
        sites = max(1, min(size, -(-size // 70)))
        self.fault = fault
        self.world, self.truth = build(
            seed,
            size,
            sites=max(sites, 3 if size >= 30 else 1),
            buildings=3 if size >= 30 else 1,
            rate=min(1.0, 60 / size),
            loads=0.0,
            link=Link(delay_ms=1, jitter_ms=19),
        )
        self.truth.loose = 1 << 30  # only after a completion
        self.bytes = 0
        self.origin = ""
        watch = self.world.before

        def before(proc, part, effect) -> None:
            if proc.name == self.origin and part.name == "purges" and isinstance(effect, Post):
                if isinstance(wire.decode(effect.body), SPREAD):
                    self.bytes += len(effect.body)
            watch(proc, part, effect)

        self.world.before = before

    def settle(self, within: float = 40.0) -> bool:
        """Until there is a coordinator and all hold leases."""
        world = self.world

        def ready() -> bool:
            live = [proc for proc in world.running if not proc.paused]
            return any(p.part("authority").settled(0.0) for p in live) and all(
                p.part("purges").store.serves(p.clock()) for p in live
            )

        end = world.now + within
        while world.now < end and not ready():
            world.run(0.5)
        return ready()

    def cause(self, at: int) -> None:
        """The fault, and who is the origin."""
        world, names = self.world, self.world.names
        root = next(p.name for p in world.running if p.part("authority").settled(0.0))
        tree = world.procs[root].part("purges").tree
        sites = [site for site in tree.sites()]
        spared = {root} | set(names[:5])
        far = next((s for s in reversed(sites) if tree.relay(s) not in spared), sites[-1])
        relay = tree.relay(far)
        victims = [n for n in names if n not in spared]
        match self.fault:
            case "loss 10%":
                world.net.link(EACH, EACH, LOST)
            case "links 300 ms":
                world.net.link(EACH, EACH, SLOW)
            case "relay killed" if relay not in spared:
                world.crash(relay)
            case "member paused" if victims:
                world.pause(victims[at % len(victims)], 15.0)
            case "site cut" if victims:
                world.net.part([n for n in victims if world.procs[n].place.site == far])
        if len(names) == 3 and self.fault in ("relay killed", "member paused", "site cut"):
            third = next(n for n in names if n != root)
            {
                "relay killed": lambda: world.crash(third),
                "member paused": lambda: world.pause(third, 15.0),
                "site cut": lambda: world.net.part([third]),
            }[self.fault]()
        self.origin = root if len(names) == 3 else names[at % 3]

    def purges(self) -> list[dict[str, float]]:
        """Some purges, one after the other, each under the fault caused anew."""
        rows = []
        for at in range(PURGES if len(self.world.names) < 1000 else 2):
            if not self.settle():
                break
            self.cause(at)
            self.bytes, began = 0, self.world.now
            purge(self.world, self.origin, f"g{at % 4}")
            origin = self.world.procs[self.origin].part("purges").origin
            one = origin.out[origin.last]
            done = self.world.until(lambda: one.complete is not None, 30.0)  # noqa: B023
            rows.append(
                {
                    "complete": self.world.now - began if done else float("inf"),
                    "bytes": self.bytes,
                    "acknowledged": (one.everywhere - one.began) if one.everywhere else float("inf"),
                }
            )
            self.world.calm()
            self.world.run(12.0 if self.fault in ("member paused", "site cut") else 1.0)
        return rows


def measure(size: int, fault: str, runs: int) -> dict:
    """One line of the table."""
    rows, old, began = [], 0, time.perf_counter()
    for seed in range(runs):
        run = Run(seed, size, fault)
        try:
            rows += run.purges()
        except Broken as broken:
            if "a purge after" not in str(broken):
                raise
            old += 1
    times = sorted(row["complete"] for row in rows)
    heard = sorted(row["acknowledged"] for row in rows)
    return {
        "size": size,
        "fault": fault,
        "purges": len(rows),
        "median_s": round(median(times), 3),
        "p99_s": round(times[min(len(times) - 1, int(0.99 * len(times)))], 3),
        # "-" where leases ended first: the rest is told by the log, and spreading stops
        "acknowledged_median_s": round(median(heard), 3) if median(heard) < 60 else None,
        "old_answers": old,
        "origin_bytes": round(median(row["bytes"] for row in rows)),
        "took_s": round(time.perf_counter() - began, 1),
    }


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fleet_purges", description=__doc__)
    parser.add_argument("--runs", type=float, default=1.0, help="times the usual number of runs")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--json", type=Path)
    asked = parser.parse_args()
    print(
        f"lease {LEASE:g} s\n"
        "| processes | fault | purges | median s | 99% s | acknowledged s | origin bytes | old answers |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    found = []
    for size in asked.sizes:
        cluster.LOOK = 0.5 if size < 1000 else 2.0  # each looks at all others: the oracle's cost
        for fault in FAULTS:
            row = measure(size, fault, max(1, round(asked.runs * RUNS.get(size, 3))))
            found.append(row)
            heard = row["acknowledged_median_s"]
            shown = "-" if heard is None else f"{heard:.2f}"
            print(
                f"| {size} | {fault} | {row['purges']} | {row['median_s']:.2f} | {row['p99_s']:.2f} | "
                f"{shown} | {row['origin_bytes']} | {row['old_answers']} |",
                flush=True,
            )
    if asked.json:
        asked.json.write_text(json.dumps({"lease_s": LEASE, "rows": found}, indent=1) + "\n")


if __name__ == "__main__":
    main()
