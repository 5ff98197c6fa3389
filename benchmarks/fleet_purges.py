"""Purges by size and fault, on a virtual clock: python -m benchmarks.fleet_purges [--runs N] [--json FILE]

Simulates a fleet that serves cached answers, in sites of about 70 and buildings of about 25 processes, on
links of 1 to 20 ms, with a lease of 4 s. When all processes hold leases, a fault is injected, and an operator
starts a purge at a process that the fault doesn't affect. Measured are: seconds until the purge is reported
complete (median and 99th percentile over all purges), seconds until all live processes have acknowledged it,
bytes that its origin sent for it, and older answers that could still be served after completion (the oracle
checks every store).
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
from standins.cluster import SimulationError
from standins.faults import ANY, Link
from standins.purging import LEASE, build, purge

SIZES = (3, 30, 200, 1100)
FAULTS = ("none", "loss 10%", "links 300 ms", "relay killed", "member paused", "site cut")
RUNS = {3: 20, 30: 10, 200: 3, 1100: 1}  # runs by size
PURGES_PER_RUN = 5
LOSSY_LINK = Link(loss=0.1, delay_ms=1, jitter_ms=19)
SLOW_LINK = Link(delay_ms=300, jitter_ms=20)
SPREAD_MESSAGES = (wire.Spread, wire.Want)  # the messages whose bytes are counted


class PurgeRun:
    """One fleet under one kind of fault."""

    def __init__(self, seed: int, size: int, fault: str) -> None:
        sites = max(1, min(size, -(-size // 70)))
        self.fault = fault
        self.world, self.oracle = build(
            seed,
            size,
            sites=max(sites, 3 if size >= 30 else 1),
            buildings=3 if size >= 30 else 1,
            rate=min(1.0, 60 / size),
            loads=0.0,
            link=Link(delay_ms=1, jitter_ms=19),
        )
        self.oracle.check_steps = 1 << 30  # the oracle checks only after a completion
        self.bytes_sent = 0
        self.origin = ""
        check_before = self.world.before_effect

        def before(proc, part, effect) -> None:
            if proc.name == self.origin and part.name == "purges" and isinstance(effect, Post):
                if isinstance(wire.decode(effect.body), SPREAD_MESSAGES):
                    self.bytes_sent += len(effect.body)
            check_before(proc, part, effect)

        self.world.before_effect = before

    def wait_until_ready(self, within: float = 40.0) -> bool:
        """Run until there is a coordinator and all hold leases; False if that takes too long."""
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

    def inject_fault(self, index: int) -> None:
        """Inject the fault and choose the origin of the next purge."""
        world, names = self.world, self.world.names
        root = next(p.name for p in world.running if p.part("authority").settled(0.0))
        tree = world.procs[root].part("purges").tree
        sites = [site for site in tree.sites()]
        spared = {root} | set(names[:5])
        distant_site = next((s for s in reversed(sites) if tree.relay(s) not in spared), sites[-1])
        relay = tree.relay(distant_site)
        victims = [n for n in names if n not in spared]
        match self.fault:
            case "loss 10%":
                world.net.link(ANY, ANY, LOSSY_LINK)
            case "links 300 ms":
                world.net.link(ANY, ANY, SLOW_LINK)
            case "relay killed" if relay not in spared:
                world.crash(relay)
            case "member paused" if victims:
                world.pause(victims[index % len(victims)], 15.0)
            case "site cut" if victims:
                world.net.partition([n for n in victims if world.procs[n].place.site == distant_site])
        if len(names) == 3 and self.fault in ("relay killed", "member paused", "site cut"):
            third = next(n for n in names if n != root)
            {
                "relay killed": lambda: world.crash(third),
                "member paused": lambda: world.pause(third, 15.0),
                "site cut": lambda: world.net.partition([third]),
            }[self.fault]()
        self.origin = root if len(names) == 3 else names[index % 3]

    def run_purges(self) -> list[dict[str, float]]:
        """Run several purges in turn, each with the fault injected anew."""
        rows = []
        for index in range(PURGES_PER_RUN if len(self.world.names) < 1000 else 2):
            if not self.wait_until_ready():
                break
            self.inject_fault(index)
            self.bytes_sent, started = 0, self.world.now
            purge(self.world, self.origin, f"g{index % 4}")
            origin = self.world.procs[self.origin].part("purges").origin
            purge_state = origin.out[origin.last]
            done = self.world.until(lambda: purge_state.complete is not None, 30.0)  # noqa: B023
            rows.append(
                {
                    "complete": self.world.now - started if done else float("inf"),
                    "bytes": self.bytes_sent,
                    "acknowledged": (purge_state.everywhere - purge_state.began)
                    if purge_state.everywhere
                    else float("inf"),
                }
            )
            self.world.end_faults()
            self.world.run(12.0 if self.fault in ("member paused", "site cut") else 1.0)
        return rows


def measure(size: int, fault: str, runs: int) -> dict:
    """Measure one row of the table."""
    rows, stale_answers, started = [], 0, time.perf_counter()
    for seed in range(runs):
        run = PurgeRun(seed, size, fault)
        try:
            rows += run.run_purges()
        except SimulationError as broken:
            if "a purge after" not in str(broken):
                raise
            stale_answers += 1
    times = sorted(row["complete"] for row in rows)
    acknowledged = sorted(row["acknowledged"] for row in rows)
    return {
        "size": size,
        "fault": fault,
        "purges": len(rows),
        "median_s": round(median(times), 3),
        "p99_s": round(times[min(len(times) - 1, int(0.99 * len(times)))], 3),
        # None where leases ended first: dissemination stops, and the others get the purge from the log
        "acknowledged_median_s": round(median(acknowledged), 3) if median(acknowledged) < 60 else None,
        "old_answers": stale_answers,
        "origin_bytes": round(median(row["bytes"] for row in rows)),
        "took_s": round(time.perf_counter() - started, 1),
    }


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fleet_purges", description=__doc__)
    parser.add_argument("--runs", type=float, default=1.0, help="times the usual number of runs")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    print(
        f"lease {LEASE:g} s\n"
        "| processes | fault | purges | median s | 99% s | acknowledged s | origin bytes | old answers |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    rows = []
    for size in options.sizes:
        cluster.CHECK_INTERVAL = 0.5 if size < 1000 else 2.0  # the check of each process visits all others
        for fault in FAULTS:
            row = measure(size, fault, max(1, round(options.runs * RUNS.get(size, 3))))
            rows.append(row)
            acknowledged = row["acknowledged_median_s"]
            acknowledged_text = "-" if acknowledged is None else f"{acknowledged:.2f}"
            print(
                f"| {size} | {fault} | {row['purges']} | {row['median_s']:.2f} | {row['p99_s']:.2f} | "
                f"{acknowledged_text} | {row['origin_bytes']} | {row['old_answers']} |",
                flush=True,
            )
    if options.json:
        options.json.write_text(json.dumps({"lease_s": LEASE, "rows": rows}, indent=1) + "\n")


if __name__ == "__main__":
    main()
