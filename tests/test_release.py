"""Releases with complete front ends, each with its own configuration, while discovery moves."""

from __future__ import annotations

import json
import time
from collections import Counter
from types import SimpleNamespace

import pytest

from aspenrill.net.conn import Connection
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.net.listener import Listener
from aspenrill.node import Node, platform
from aspenrill.wire import bulletin as wire
from standins.clients import ThriftClient
from standins.discovery import BulletinServer
from standins.scenario import run_scenario
from standins.world import EngineBehaviour, HttpEngine

FRONTS = 14  # front ends
STATES = ("in_service", "terminating", "terminated")  # by state number
INFO = {
    "classes": [
        {"name": "lookup", "effect": "repeatable", "on_time_ns": 10**9, "give_up_ns": 5 * 10**9},
        {
            "name": "booking",
            "effect": "by_key",
            "on_time_ns": 10**9,
            "give_up_ns": 5 * 10**9,
            "window_ns": 15 * 10**9,
        },
    ],
    "kinds": ["k"],
    "areas": ["z"],
    "tenants": [{"name": "main"}],
    "family_info": {"cores_by_kind": [8]},
    "group_size": FRONTS,
    "limits": {"most_tries": 4, "may_probe": True, "cancel": True},
    "prices": {"probe": 0.08},
    "guarantees": {
        "start_capacity": 0.31,
        "cold_ns": 12 * 10**9,
        "fall_multiple": 2.5,
        "fall_ns": 15 * 10**8,
    },
}


class VanishingEngine(HttpEngine):
    """Can go silent like a lost machine: connections stay open and nothing is sent."""

    silent = False

    def respond(self, conn: Connection, status: int, fields: dict | None = None, body: bytes = b"") -> None:
        if self.silent:
            self.hub.sleep(20)
            raise Closed
        super().respond(conn, status, fields, body)


class Release:
    """Independent front ends, engines, two bulletins with the same events, and clients."""

    def __init__(self, tmp_path, engines: int) -> None:
        self.lines: list[str] = []
        self.hub, self.path = Hub(self.lines.append), tmp_path
        self.events: list[tuple[int, int, bytes]] = []
        self.feeds = [BulletinServer(self.hub, self.events), BulletinServer(self.hub, self.events)]
        self.feed, self.engines, self.published, self.drains = self.feeds[0], {}, [], {}
        self.sent = self.busy = 0
        self.ends, self.unexpected = Counter(), []
        names = [self.start() for _ in range(engines)]
        self.publish([(name, 0) for name in names], True)
        self.nodes = [self.front(me) for me in range(FRONTS)]

    def start(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> str:
        """Starts an engine under a new name."""
        name = f"s-{len(self.engines) + 1:08x}"
        engine = VanishingEngine(self.hub, name)
        if address[1]:
            engine.listener.close()
            engine.listener = Listener(self.hub, address, engine.serve, 500, name)
        engine.behaviour = lambda statement: EngineBehaviour(after=0.04)
        self.engines[name] = engine
        return name

    def publish(
        self, changes: list[tuple[str, int]], whole: bool = False, born_at: dict | None = None
    ) -> None:
        """Publishes one event on the bulletins."""
        records, now = b"", int(time.time() * 1000)
        for name, state in changes:
            port = self.engines[name].listener.address[1]
            born = (born_at or {}).get(name, 0 if whole else now)
            records += wire.ENGINE_RECORD.pack(
                int(name[2:], 16), b"\x7f\0\0\1", port, state, 0, 0, 0, 1000, born
            )
            self.published.append((name, port, state, born))
            if state == 1:
                self.drains.setdefault(name, time.monotonic())
        self.events.append((len(self.events) + 1, wire.COMPLETE_LIST if whole else wire.CHANGES, records))

    def publish_all(self) -> None:
        """Publishes the complete current list again."""
        latest = {name: (name, state) for name, _, state, _ in self.published}
        born = {name: at for name, _, _, at in self.published}
        self.publish([entry for entry in latest.values() if entry[1] < 2], True, born)

    def write(self, me: int) -> str:
        """Writes the current configuration of one front end; returns the path."""
        latest = {
            name: {
                "host": name,
                "dial": f"127.0.0.1:{port}",
                "site": "z",
                "class": "k",
                "block": 0,
                "health": STATES[state],
                "share": 4,
                "born_ms": born,
            }
            for name, port, state, born in self.published
        }
        known = {
            "no": len(self.events),
            "items": [
                {
                    "no": len(self.events),
                    "roster": {
                        "seq": 1,
                        "whole": True,
                        "hosts": [h for h in latest.values() if h["health"] != STATES[2]],
                    },
                }
            ],
        }
        path = self.path / f"n{me}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{me}",
                    "listen": "127.0.0.1:0",
                    "seed": f"{me:x}",
                    "limits": {"sockets": 256},
                    "bulletin": f"127.0.0.1:{self.feed.listener.address[1]}",
                    "known": known,
                    "settings": INFO | {"me": me},
                }
            )
        )
        return str(path)

    def front(self, me: int) -> Node:
        none = self.path / "none.toml"
        return platform(self.hub, {"NODE_CONFIG": self.write(me)}, none, none)

    def restart(self, me: int) -> None:
        """Replaces a front end: the old one drains, the new one starts from its configuration only."""
        old, self.nodes[me] = self.nodes[me], self.front(me)
        self.hub.spawn(old.leave)

    def move(self) -> None:
        """Moves discovery to the other bulletin; the old one stays up and publishes nothing more."""
        self.feed.sending, self.feed = False, self.feeds[1]
        for me in range(FRONTS):
            self.write(me)
        for node in self.nodes:
            node.reload()  # as at SIGHUP

    def replace(self, old: str, drain: float, silent: bool = False) -> None:
        """Drains an engine, ends it silently or orderly, and starts another one at its address."""
        self.publish([(old, 1)])
        self.hub.sleep(drain)
        engine = self.engines[old]
        address, engine.silent = engine.listener.address, silent
        if silent:
            engine.listener.close()
        else:
            engine.shut_down()
        self.publish([(old, 2), (self.start(address), 0)])

    def run_client(self, number: int, act) -> None:
        """Runs one client with one request and counts the result."""
        self.sent, self.busy = self.sent + 1, self.busy + 1
        node = self.nodes[number * 5 % FRONTS]
        try:
            client = ThriftClient(
                SimpleNamespace(hub=self.hub, address=node.fronts[0][1].address),
                ("lookup", "booking")[number % 2],
                5.0,
            )
            reply = act(client, number)
            self.ends[reply] += 1
            if reply not in ("served", "refused", "gone"):
                self.unexpected.append((number, reply))
            client.close()
        except (Closed, TimedOut) as why:
            self.ends["lost"] += 1
            self.unexpected.append((number, repr(why)))
        finally:
            self.busy -= 1

    def play(self, seconds: float, steps: list, act) -> None:
        """Sends thirty requests a second and runs each step at its time."""
        stop, self.hub.stop = self.hub.stop, lambda: None  # a front end that exits must not stop this loop

        def scenario() -> None:
            began, number = time.monotonic(), 0
            for at, what, *args in steps:
                self.hub.spawn(lambda at=at, what=what, args=args: (self.hub.sleep(at), what(*args)))
            while time.monotonic() < began + seconds:
                self.hub.spawn(self.run_client, number, act)
                number += 1
                self.hub.sleep(0.033)
            while self.busy and time.monotonic() < began + seconds + 10:
                self.hub.sleep(0.05)
            self.hub.stop = stop

        run_scenario(self.hub, scenario)
        errors = [line for line in self.lines if line.startswith("error")]
        assert not errors and not self.busy, (errors, self.busy)


def send_request(client: ThriftClient, number: int) -> str:
    return client.request(f"select {number}", 8.0, req=f"{number:016x}", opkey=f"{number:032x}").kind


def test_replacing_half_of_the_engines_while_front_ends_restart_and_discovery_moves(tmp_path):
    # drains after the move are published on the new bulletin only: a front end that stayed with the old one,
    # or did not reload its configuration, would keep sending to drained engines
    made = Release(tmp_path, 6)
    first = list(made.engines)
    steps = [
        (0.5, made.replace, first[0], 1.2),
        (1.2, made.move),
        (1.6, made.replace, first[1], 1.2),
        (2.2, made.replace, first[2], 1.2),
    ]
    steps += [(0.6 + 0.25 * tenth, made.restart, tenth) for tenth in range(10)]
    made.play(4.5, steps, send_request)
    assert set(made.ends) <= {"served", "refused"} and made.ends["served"] > 0.9 * made.sent, (
        made.ends,
        made.unexpected,
    )
    late = [
        (name, at - drained)
        for name, drained in made.drains.items()
        for at, _ in made.engines[name].began
        if at > drained + 0.9
    ]
    assert not late and len(made.drains) == 3, late
    begun = Counter({name: len(engine.began) for name, engine in made.engines.items()})
    assert all(begun[name] > 3 for name in made.engines if name not in first), begun


def test_replacing_six_of_ten_engines_at_their_addresses_with_a_late_and_broken_list(tmp_path):
    # connections belong to the engine's id: those to a silently lost engine must not be used for its
    # successor, and a repeated complete list must not restore a drained engine
    made = Release(tmp_path, 10)
    first = list(made.engines)
    steps = [(0.5 + 0.3 * i, made.replace, name, 0.4, i % 2 == 1) for i, name in enumerate(first[:6])]

    def act(client: ThriftClient, number: int) -> str:
        if number % 9 == 4:  # closes early
            client.send(f"select {number}", req=f"{number:016x}", opkey=f"{number:032x}")
            client.conn.close()
            return "gone"
        if number % 9 == 7:  # malformed: affects its own connection only
            client.conn.write(b"\0\0\0\x08\x80\x01\xff\xff\0\0\0\0" * 3, time.monotonic() + 5)
            with pytest.raises((Closed, TimedOut)):
                client.read(5.0)
            return "gone"
        return send_request(client, number)

    # the feed repeats complete lists, breaks off inside a list, and is late
    steps += [
        (0.7, made.publish_all),
        (1.0, setattr, made.feed, "close_after", 40),
        (1.3, made.publish_all),
        (1.5, setattr, made.feed, "close_after", None),
        (1.6, setattr, made.feed, "poll_interval", 0.3),
        (1.9, made.publish_all),
    ]
    for engine in made.engines.values():
        engine.behaviour = lambda statement: EngineBehaviour(
            after=0.04, cut_first_answer=statement.endswith("3")
        )
    made.play(4.0, steps, act)
    assert set(made.ends) <= {"served", "refused", "gone"}, (made.ends, made.unexpected)
    assert made.ends["served"] > 0.8 * (made.sent - made.ends["gone"]), made.ends
    began = Counter(statement for engine in made.engines.values() for _, statement in engine.began)
    assert max(began.values()) <= 4, began.most_common(3)
    assert sum("bulletin" in line for line in made.lines) >= FRONTS  # each connection broke and was reopened
    late = [
        (name, at - drained)
        for name, drained in made.drains.items()
        for at, _ in made.engines[name].began
        if at > drained + 2.0
    ]
    assert not late, late
    new = [engine for name, engine in made.engines.items() if name not in first]
    assert len(new) == 6 and all(engine.began for engine in new), [len(e.began) for e in new]
