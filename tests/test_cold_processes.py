"""A cold engine before real front ends, of which a third is killed and started anew: what all together bring
stays under what the settings let it bear. The same in virtual time, at many sizes: tests/test_cold_fleet.py.

Of a working fleet one process brings one request a window at most: its turns are WORK x FRONTS / (0.6 x
MULTIPLE x START) = 2.15 s apart, a window is 1.5 s, and a late turn begins within a tenth of that. So 20 and
the 7 that are started anew bring 27 at most, however a stall of the machine bunches them; the least bound is
34. A stall of this process holds the clients too, each of which has one request out.
"""

from __future__ import annotations

import json
import math
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest
from test_release import INFO

from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Closed, Hub, TimedOut
from standins.clients import ThriftClient
from standins.discovery import LIVE, Feed, host
from standins.scene import play
from standins.world import Act, HttpEngine

FRONTS, ANEW, PAUSE = 20, range(0, 20, 3), 0.2  # front ends; those killed; seconds between two requests
WORK, START, COLD, MULTIPLE, WINDOW = 0.05, 0.31, 12.0, 2.5, 1.5  # of a request in core-seconds; of the cold
SETTINGS = INFO | {
    "classes": INFO["classes"][:1],
    "family_info": {"cores_by_kind": [1]},
    "group_size": FRONTS,
    "guarantees": {
        "start_capacity": START,
        "cold_ns": int(COLD * 1e9),
        "fall_multiple": MULTIPLE,
        "fall_ns": int(WINDOW * 1e9),
    },
}
WITHIN = 60.0  # seconds of a machine that is busy; all holds much sooner


class Cluster:
    """Front ends as processes, a bulletin, a warm engine and a cold one, and a client at each front end."""

    def __init__(self, folder: Path) -> None:
        self.lines: list[str] = []
        self.hub, self.folder, self.hosts = Hub(self.lines.append), folder, []
        self.feed = Feed(self.hub, [])
        self.warm, self.cold = (HttpEngine(self.hub, f"s-{number:08x}") for number in (1, 2))
        self.warm.act = self.cold.act = lambda statement: Act(after=WORK)
        self.ports = [socket.socket() for _ in range(FRONTS)]  # not listening: they hold their ports
        for sock in self.ports:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
        self.processes: dict[int, subprocess.Popen] = {}
        self.served, self.others, self.over = [0] * FRONTS, [], False

    def tell(self, engine: HttpEngine, born_ms: int) -> None:
        """One more engine, to the bulletin and to whoever is started from now on."""
        port = engine.listener.address[1]
        self.hosts.append(host(engine.name, port, born_ms))
        self.feed.tell(engine.name, port, LIVE, born_ms)

    def start(self, me: int) -> None:
        path, no = self.folder / f"n{me}.json", len(self.hosts)
        known = {"no": no, "items": [{"no": no, "roster": {"seq": 1, "whole": True, "hosts": self.hosts}}]}
        path.write_text(
            json.dumps(
                {
                    "name": f"n{me}",
                    "listen": "{}:{}".format(*self.ports[me].getsockname()),
                    "seed": f"{me + 1:x}",
                    "limits": {"sockets": 64},
                    "bulletin": "{}:{}".format(*self.feed.listener.address),
                    "known": known,
                    "settings": SETTINGS | {"me": me},
                }
            )
        )
        with open(self.folder / f"log{me}", "ab") as log:
            self.processes[me] = subprocess.Popen(
                [sys.executable, "-m", "aspenrill"], stderr=log, env=os.environ | {"NODE_CONFIG": str(path)}
            )

    def kill(self, me: int) -> None:
        if (process := self.processes.pop(me, None)) is not None:
            process.kill()
            process.wait()

    def ask(self, me: int) -> None:
        """One request after another to this front end, whichever process it is now."""
        at = SimpleNamespace(hub=self.hub, address=self.ports[me].getsockname())
        self.hub.sleep(PAUSE * me / FRONTS)
        while not self.over:
            try:
                client = ThriftClient(at, "lookup", 5.0)
                while not self.over:
                    reply = client.ask("select 1", WITHIN, req=f"{time.monotonic_ns():016x}").kind
                    self.served[me] += reply == "served"
                    self.others += [reply] * (reply not in ("served", "refused"))
                    self.hub.sleep(PAUSE)
                client.close()
            except (Refused, Closed, TimedOut):
                self.hub.sleep(PAUSE)  # killed, or not up yet

    def until(self, true: Callable[[], bool]) -> None:
        end = time.monotonic() + WITHIN
        while not true():
            ended = [me for me, process in self.processes.items() if process.poll() is not None]
            assert time.monotonic() < end and not ended, (ended, self.served, self.lines[-5:])
            self.hub.sleep(0.02)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    made = Cluster(tmp_path)
    yield made
    for me in range(FRONTS):
        made.kill(me)
    for place in (made.feed.listener, made.warm.listener, made.cold.listener, *made.ports):
        place.close()


def test_all_processes_together_bring_a_cold_engine_no_more_than_it_bears(cluster):
    def scene() -> None:
        cluster.tell(cluster.warm, 0)
        for me in range(FRONTS):
            cluster.start(me)
            cluster.hub.spawn(cluster.ask, me)
        cluster.until(lambda: all(cluster.served))  # all have learned what a request costs
        cluster.tell(cluster.cold, int(time.time() * 1000))
        born = time.monotonic()
        cluster.until(lambda: time.monotonic() > born + WINDOW / 2)
        for me in ANEW:
            cluster.kill(me)
            cluster.served[me] = 0
            cluster.start(me)
        cluster.until(
            lambda: (
                all(cluster.served)
                and time.monotonic() > born + (3 * WINDOW if len(cluster.cold.began) > FRONTS / 2 else COLD)
            )
        )
        ages.extend(age for at, _ in cluster.cold.began if (age := at - born) < COLD)
        cluster.over = True

    ages, crowds = [], []
    play(cluster.hub, scene)
    for end in ages:
        allowed = MULTIPLE * (START + (1 - START) * end / COLD) * WINDOW / WORK
        crowds.append((sum(end - WINDOW < age <= end for age in ages), allowed + 2 * math.sqrt(allowed) + 2))
    assert all(came <= most for came, most in crowds), crowds
    assert len(ages) > FRONTS / 2, ages
    logs = [line for path in cluster.folder.glob("log*") for line in path.read_text().splitlines()]
    assert not cluster.others and not [line for line in cluster.lines + logs if line.startswith("error")]
