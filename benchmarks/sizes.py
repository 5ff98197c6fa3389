"""Costs by fleet size: python -m benchmarks.sizes [GATEWAYSxENGINES ...]

For each size a separate process builds a platform node from a configuration with that many engines, then
applies list updates and requests; a stand-in for the engines ends each attempt at once. Prints a Markdown
table: CPU time of the start (without imports), of a change of one engine, of a complete list, and of a
request; and the peak memory of the process, also after the list has shrunk and grown 200 times.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

SIZES = ("3x10", "40x60", "230x300", "1100x1100")
CLASSES = (  # name, effect, latency target (s), time budget (s), worth
    ("lookup", "repeatable", 1, 5, 1),
    ("report", "repeatable", 2, 20, 8),
    ("load", "by_key", 3, 25, 12),
)


def node_config(gateways: int, engines: int) -> dict[str, Any]:
    """A configuration as the platform sends it: two kinds of engines, three zones, expensive probes."""
    hosts = [
        {
            "host": f"s-{i:08x}",
            "dial": f"127.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:8080",
            "site": "abc"[i % 3],
            "class": ("eight", "sixteen")[i % 2],
            "block": i // 6,
            "health": "in_service",
            "share": 1,
            "born_ms": 0,
        }
        for i in range(1, engines + 1)
    ]
    settings = {
        "classes": [
            {
                "name": name,
                "effect": effect,
                "on_time_ns": latency_target * 10**9,
                "give_up_ns": time_budget * 10**9,
                "value": worth,
                "window_ns": 15 * 10**9,
            }
            for name, effect, latency_target, time_budget, worth in CLASSES
        ],
        "kinds": ["eight", "sixteen"],
        "areas": list("abc"),
        "tenants": [],
        "group_size": gateways,
        "me": gateways // 2,
        "family_info": {
            "dop": [1, 2, 2],
            "is_load": [False, False, True],
            "says_cost": True,
            "lanes_count": True,
            "cores_by_kind": [8, 16],
        },
        "limits": {"most_tries": 5, "cancel": True, "may_probe": True},
        "prices": {"probe": 0.08},
        "stats": {"fields": ["util", "queue"]},
        "guarantees": {
            "start_capacity": 0.31,
            "cold_ns": 12 * 10**9,
            "fall_multiple": 2.5,
            "fall_ns": 15 * 10**8,
        },
    }
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "1f",
        "limits": {"sockets": 512, "memory_mb": 64},
        "bulletin": "127.0.0.1:9",
        "known": {"no": 1, "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}]},
        "settings": settings,
    }


def peak_mb() -> float:
    """Peak of the resident memory so far, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure_in_process(path: str) -> dict[str, float]:
    """Build the node and measure; runs in a process of its own."""
    from aspenrill import api, start  # noqa: F401 (as the program: all imports come first)
    from aspenrill.core.books import AttemptFinished, ClientRequest, RequestReceived
    from aspenrill.members import EngineListUpdate
    from aspenrill.net.hub import Hub
    from aspenrill.node import platform
    from aspenrill.wire.bulletin import decode_json_update

    cpu, results = time.process_time, {"base": peak_mb()}
    hub = Hub(log=lambda line: None)
    hub.lag = lambda: 0.0  # the event loop does not run here
    began, node = cpu(), platform(hub, {"NODE_CONFIG": path})
    results["start"], finals = cpu() - began, Counter()
    owner, first_list = node.owner, json.loads(Path(path).read_text())["known"]["items"][0]
    complete_list, update_number = (
        decode_json_update(first_list, list("abc"), ["eight", "sixteen"]).members,
        1,
    )
    del first_list

    class ImmediateEngines:
        """Stands in for the engines: each attempt succeeds as soon as it is taken from `out`."""

        def __init__(self) -> None:
            self.out: list[Any] = []
            self.start = self.out.append

        def cancel(self, attempt: Any) -> None:
            """Do nothing: attempts end at once."""

        set_priority = probe = retire = cancel

    owner.engines = engines = ImmediateEngines()

    def send_list_update(members: tuple, complete: bool) -> None:
        nonlocal update_number
        update_number += 1
        owner.take(EngineListUpdate(update_number, complete, members))

    def send_request(at: int) -> None:
        cls = at % 20 // 15 + (at % 20 == 19)
        now = time.monotonic()
        call = ClientRequest(
            f"{at:016x}",
            cls,
            0,
            b"",
            None,
            at % 40,
            now,
            CLASSES[cls][3],
            lambda _, final: finals.update((type(final).__name__,)),
        )
        owner.take(RequestReceived(call))
        while engines.out:
            owner.take(AttemptFinished(engines.out.pop(), api.Outcome.OK, None, 0.2, 1.0))

    def median_cpu(action: Any, times: int) -> float:
        cpu_times = []
        for at in range(times):
            began = cpu()
            action(at)
            cpu_times.append(cpu() - began)
        return statistics.median(cpu_times)

    def change_one_engine(at: int) -> None:
        member = complete_list[at // 2 % len(complete_list)]
        send_list_update(
            (replace(member, state=(api.EngineState.DRAINING, api.EngineState.LIVE)[at % 2]),), False
        )

    results["request"] = median_cpu(send_request, 2000)
    results["change"] = median_cpu(change_one_engine, 40)
    results["whole"] = median_cpu(lambda at: send_list_update(complete_list, True), 20)
    results["request after"] = median_cpu(send_request, 2000)
    if finals["Served"] < 3900:
        raise SystemExit(f"requests did not take the normal path: {finals}")
    results["peak"] = peak_mb()
    for _ in range(200):
        send_list_update(complete_list[::2], True)
        send_list_update(complete_list, True)
    results["peak after 200"] = peak_mb()
    return results


def measure(size: str) -> dict[str, float]:
    """Measure one size in a separate process."""
    gateways, engines = map(int, size.split("x"))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(node_config(gateways, engines)))
        finished = subprocess.run(
            [sys.executable, "-m", "benchmarks.sizes", "--child", str(path)],
            check=True,
            stdout=subprocess.PIPE,
            env=os.environ,
        )
    return json.loads(finished.stdout)


def main() -> int:
    """Print the table, with a row for each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("sizes", nargs="*", default=SIZES)
    parser.add_argument("--child")
    options = parser.parse_args()
    if options.child:
        print(json.dumps(measure_in_process(options.child)))
        return 0
    print(
        "| front ends x engines | start | one change | whole list | request | memory, base | peak"
        " | after 200 lists |\n" + "| --- " * 8 + "|"
    )
    for size in options.sizes:
        result = measure(size)
        print(
            f"| {size} | {result['start'] * 1e3:.1f} ms | {result['change'] * 1e3:.2f} ms"
            f" | {result['whole'] * 1e3:.1f} ms | {result['request after'] * 1e6:.0f} us"
            f" | {result['base']:.1f} MB | {result['peak']:.1f} MB | {result['peak after 200']:.1f} MB |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
