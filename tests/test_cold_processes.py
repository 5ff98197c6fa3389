"""Real front ends before a cold engine while a third of them is killed and restarted: their load together
stays below the limit of the settings. tests/test_cold_fleet.py does the same in simulated time, at many
sizes.

Each process sends at most one request a window: its cold slots are WORK x FRONTS / (0.6 x FALL_MULTIPLE x
START_SHARE) = 2.15 s apart, a window is 1.5 s, and a late slot is used within a tenth of that. So the 20
processes and the 7 restarted ones send at most 27 requests, even if a stall of the machine bunches them; the
smallest limit is 34. A stall of this process delays its clients as well, each of which has one request out.
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
from standins.discovery import LIVE, BulletinServer, engine_entry
from standins.scenario import run_scenario
from standins.world import EngineBehaviour, HttpEngine

FRONTS = 20  # front ends
RESTARTED = range(0, 20, 3)  # front ends that are killed and restarted
REQUEST_PAUSE = 0.2  # seconds between two requests of a client
WORK = 0.05  # core-seconds of a request
START_SHARE = 0.31  # share of its capacity that a cold engine starts with
COLD_FOR = 12.0  # seconds until an engine is warm
FALL_MULTIPLE = 2.5  # of its capacity at which an engine falls over
FALL_WINDOW = 1.5  # seconds over which this is counted
SETTINGS = INFO | {
    "classes": INFO["classes"][:1],
    "family_info": {"cores_by_kind": [1]},
    "group_size": FRONTS,
    "guarantees": {
        "start_capacity": START_SHARE,
        "cold_ns": int(COLD_FOR * 1e9),
        "fall_multiple": FALL_MULTIPLE,
        "fall_ns": int(FALL_WINDOW * 1e9),
    },
}
TIMEOUT = 60.0  # seconds on a busy machine; usually much less is needed


class ColdEngineSetup:
    """Front ends as processes, a bulletin, a warm and a cold engine, and a client at each front end."""

    def __init__(self, folder: Path) -> None:
        self.lines: list[str] = []
        self.hub, self.folder, self.hosts = Hub(self.lines.append), folder, []
        self.feed = BulletinServer(self.hub, [])
        self.warm, self.cold = (HttpEngine(self.hub, f"s-{number:08x}") for number in (1, 2))
        self.warm.behaviour = self.cold.behaviour = lambda statement: EngineBehaviour(after=WORK)
        self.ports = [socket.socket() for _ in range(FRONTS)]  # do not listen; they reserve the ports
        for sock in self.ports:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
        self.processes: dict[int, subprocess.Popen] = {}
        self.served, self.unexpected, self.finished = [0] * FRONTS, [], False

    def announce(self, engine: HttpEngine, born_ms: int) -> None:
        """Announce an engine by the bulletin and in the configuration of processes started later."""
        port = engine.listener.address[1]
        self.hosts.append(engine_entry(engine.name, port, born_ms))
        self.feed.publish(engine.name, port, LIVE, born_ms)

    def start(self, me: int) -> None:
        """Write the configuration of a front end and start its process."""
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
        """Kill the process of a front end, if it runs."""
        if (process := self.processes.pop(me, None)) is not None:
            process.kill()
            process.wait()

    def request(self, me: int) -> None:
        """Send one request after another to this front end, across restarts of its process."""
        at = SimpleNamespace(hub=self.hub, address=self.ports[me].getsockname())
        self.hub.sleep(REQUEST_PAUSE * me / FRONTS)
        while not self.finished:
            try:
                client = ThriftClient(at, "lookup", 5.0)
                while not self.finished:
                    reply = client.request("select 1", TIMEOUT, req=f"{time.monotonic_ns():016x}").kind
                    self.served[me] += reply == "served"
                    self.unexpected += [reply] * (reply not in ("served", "refused"))
                    self.hub.sleep(REQUEST_PAUSE)
                client.close()
            except (Refused, Closed, TimedOut):
                self.hub.sleep(REQUEST_PAUSE)  # killed, or not started yet

    def until(self, true: Callable[[], bool]) -> None:
        """Wait until the condition holds; no process may end meanwhile."""
        end = time.monotonic() + TIMEOUT
        while not true():
            ended = [me for me, process in self.processes.items() if process.poll() is not None]
            assert time.monotonic() < end and not ended, (ended, self.served, self.lines[-5:])
            self.hub.sleep(0.02)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ColdEngineSetup]:
    """The setup; its processes and sockets are closed after the test."""
    made = ColdEngineSetup(tmp_path)
    yield made
    for me in range(FRONTS):
        made.kill(me)
    for place in (made.feed.listener, made.warm.listener, made.cold.listener, *made.ports):
        place.close()


def test_all_processes_together_send_a_cold_engine_no_more_than_its_limit(cluster):
    def scenario() -> None:
        cluster.announce(cluster.warm, 0)
        for me in range(FRONTS):
            cluster.start(me)
            cluster.hub.spawn(cluster.request, me)
        cluster.until(lambda: all(cluster.served))  # all have learned the cost of a request
        cluster.announce(cluster.cold, int(time.time() * 1000))
        born_at = time.monotonic()
        cluster.until(lambda: time.monotonic() > born_at + FALL_WINDOW / 2)
        for me in RESTARTED:
            cluster.kill(me)
            cluster.served[me] = 0
            cluster.start(me)
        cluster.until(
            lambda: (
                all(cluster.served)
                and time.monotonic()
                > born_at + (3 * FALL_WINDOW if len(cluster.cold.began) > FRONTS / 2 else COLD_FOR)
            )
        )
        ages.extend(age for at, _ in cluster.cold.began if (age := at - born_at) < COLD_FOR)
        cluster.finished = True

    ages, counts = [], []
    run_scenario(cluster.hub, scenario)
    for end in ages:
        allowed = FALL_MULTIPLE * (START_SHARE + (1 - START_SHARE) * end / COLD_FOR) * FALL_WINDOW / WORK
        counts.append(
            (sum(end - FALL_WINDOW < age <= end for age in ages), allowed + 2 * math.sqrt(allowed) + 2)
        )
    assert all(came <= most for came, most in counts), counts
    assert len(ages) > FRONTS / 2, ages
    logs = [line for path in cluster.folder.glob("log*") for line in path.read_text().splitlines()]
    assert not cluster.unexpected and not [line for line in cluster.lines + logs if line.startswith("error")]
