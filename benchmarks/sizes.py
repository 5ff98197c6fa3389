"""What sizes cost: python -m benchmarks.sizes [GATEWAYSxENGINES ...]

For each size a process of its own puts a platform node together from a configuration with that many engines,
then takes changes of its list and requests, each answered at once by a stand-in for the engine side. Prints a
Markdown table: CPU of the start (imports left out), of a change of one engine, of a whole list told again, of
a request; and the peak of the process's memory, also after lists have come and gone 200 times.
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
CLASSES = (
    ("lookup", "repeatable", 1, 5, 1),
    ("report", "repeatable", 2, 20, 8),
    ("load", "by_key", 3, 25, 12),
)


def config(gateways: int, engines: int) -> dict[str, Any]:
    """As the platform would tell it: two kinds of engines, three zones, dear probes."""
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
                "on_time_ns": aim * 10**9,
                "give_up_ns": wait * 10**9,
                "value": worth,
                "window_ns": 15 * 10**9,
            }
            for name, effect, aim, wait, worth in CLASSES
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
    """Peak of the resident memory so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def child(path: str) -> dict[str, float]:
    """Put the node together and measure."""
    from aspenrill import api, start  # noqa: F401 (a process loads all of it before it reads anything)
    from aspenrill.core.books import Asked, Call, Ended
    from aspenrill.members import News
    from aspenrill.net.hub import Hub
    from aspenrill.node import platform
    from aspenrill.wire.bulletin import json_news

    cpu, found = time.process_time, {"base": peak_mb()}
    hub = Hub(log=lambda line: None)
    hub.lag = lambda: 0.0  # its loop does not turn here
    began, node = cpu(), platform(hub, {"NODE_CONFIG": path})
    found["start"], finals = cpu() - began, Counter()
    owner, began_list = node.owner, json.loads(Path(path).read_text())["known"]["items"][0]
    whole, number = json_news(began_list, list("abc"), ["eight", "sixteen"]).members, 1
    del began_list

    class AtOnce:
        """Stands in for the engine side: each attempt ends well as soon as it may."""

        def __init__(self) -> None:
            self.out: list[Any] = []
            self.start = self.out.append

        def cancel(self, attempt: Any) -> None:
            """Nothing to give up."""

        rank = probe = retire = cancel

    owner.engines = engines = AtOnce()

    def tell(members: tuple, complete: bool) -> None:
        nonlocal number
        number += 1
        owner.take(News(number, complete, members))

    def ask(at: int) -> None:
        cls = at % 20 // 15 + (at % 20 == 19)
        now = time.monotonic()
        call = Call(
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
        owner.take(Asked(call))
        while engines.out:
            owner.take(Ended(engines.out.pop(), api.Outcome.OK, None, 0.2, 1.0))

    def timed(work: Any, times: int) -> float:
        spent = []
        for at in range(times):
            began = cpu()
            work(at)
            spent.append(cpu() - began)
        return statistics.median(spent)

    def change(at: int) -> None:
        member = whole[at // 2 % len(whole)]
        tell((replace(member, state=(api.EngineState.DRAINING, api.EngineState.LIVE)[at % 2]),), False)

    found["request"] = timed(ask, 2000)
    found["change"] = timed(change, 40)
    found["whole"] = timed(lambda at: tell(whole, True), 20)
    found["request after"] = timed(ask, 2000)
    if finals["Served"] < 3900:
        raise SystemExit(f"not the ordinary path: {finals}")
    found["peak"] = peak_mb()
    for _ in range(200):
        tell(whole[::2], True)
        tell(whole, True)
    found["peak after 200"] = peak_mb()
    return found


def measure(size: str) -> dict[str, float]:
    """One size, in a process of its own."""
    gateways, engines = map(int, size.split("x"))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config(gateways, engines)))
        told = subprocess.run(
            [sys.executable, "-m", "benchmarks.sizes", "--child", str(path)],
            check=True,
            stdout=subprocess.PIPE,
            env=os.environ,
        )
    return json.loads(told.stdout)


def main() -> int:
    """A table, a row a size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("sizes", nargs="*", default=SIZES)
    parser.add_argument("--child")
    options = parser.parse_args()
    if options.child:
        print(json.dumps(child(options.child)))
        return 0
    print(
        "| front ends x engines | start | one change | whole list | request | memory, base | peak"
        " | after 200 lists |\n" + "| --- " * 8 + "|"
    )
    for size in options.sizes:
        f = measure(size)
        print(
            f"| {size} | {f['start'] * 1e3:.1f} ms | {f['change'] * 1e3:.2f} ms | {f['whole'] * 1e3:.1f} ms"
            f" | {f['request after'] * 1e6:.0f} us | {f['base']:.1f} MB | {f['peak']:.1f} MB"
            f" | {f['peak after 200']:.1f} MB |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
