"""The platform: the bulletin, a proxy that delays it, and a front end's configuration."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections import deque

from .engine import Engine
from .record import Record

READY, DRAINING, GONE = 0, 1, 2
HEAD = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
SECOND = 1_000_000_000


class Bulletin:
    """The bulletin: events after the number that a front end names, and an empty frame each second."""

    def __init__(self, record: Record) -> None:
        self.record, self.events = record, [b""]  # event 1 is the list under `known`
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, engine: Engine, state: int) -> float:
        """Add an event on one engine. Returns when it was in the bulletin."""
        number = int(engine.name[2:], 16)
        data = RECORD.pack(number, socket.inet_aton("127.0.0.1"), engine.port, state, 0, 0, 0, 1000, 0)
        self.events.append(data)
        self.record(
            f"bulletin: event {len(self.events)}: {engine.name} is {('ready', 'draining', 'gone')[state]}"
        )
        return time.monotonic()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            greeting = b""
            while len(greeting) < 8:
                part = sock.recv(8 - len(greeting))
                if not part:
                    return
                greeting += part
            last, sent = struct.unpack(">Q", greeting)[0], 0.0
            self.record(f"bulletin: a front end asks for what follows event {last}")
            while True:
                out = b""
                while last < len(self.events):
                    last += 1
                    data = self.events[last - 1]
                    out += HEAD.pack(len(data) + 9, last, 2) + data
                if not out and time.monotonic() >= sent + 1.0:
                    out = HEAD.pack(9, last, 0)
                if out:
                    sock.sendall(out)
                    sent = time.monotonic()
                time.sleep(0.02)


class DelayProxy:
    """A proxy whose bytes to the front end arrive later by `delay` seconds; none is lost."""

    def __init__(self, target: int) -> None:
        self.target, self.delay = target, 0.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            front, _ = self.listener.accept()
            with contextlib.suppress(OSError):
                back = socket.create_connection(("127.0.0.1", self.target))
                late: deque[tuple[float, bytes]] = deque()
                for work in (self._pass_on, self._receive, self._deliver):
                    threading.Thread(target=work, args=(front, back, late), daemon=True).start()

    def _pass_on(self, front: socket.socket, back: socket.socket, late: deque) -> None:
        with contextlib.suppress(OSError):
            while data := front.recv(4096):
                back.sendall(data)
        for sock in (front, back):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _receive(self, front: socket.socket, back: socket.socket, late: deque) -> None:
        with contextlib.suppress(OSError):
            while data := back.recv(4096):
                late.append((time.monotonic(), data))
        late.append((0.0, b""))

    def _deliver(self, front: socket.socket, back: socket.socket, late: deque) -> None:
        with contextlib.suppress(OSError):
            while True:
                if late and time.monotonic() >= late[0][0] + self.delay:
                    data = late.popleft()[1]
                    if not data:
                        return
                    front.sendall(data)
                time.sleep(0.005)


def configuration(port: int, bulletin: int, engines: list[Engine], front_ends: int = 1, me: int = 0) -> dict:
    """A front end's configuration, for a small deployment of the first operators."""
    classes = [
        ("par-lookup", "repeatable", 1.0, 5.0, 5.0, 1.0),
        ("usage-report", "repeatable", 1.5, 20.0, 5.0, 8.0),
        ("scan-load", "by_key", 3.0, 25.0, 15.0, 12.0),
    ]
    hosts = [
        {
            "host": engine.name,
            "dial": f"127.0.0.1:{engine.port}",
            "site": "north",
            "class": "eight-core",
            "block": 0,
            "health": "in_service",
            "share": 1,
            "born_ms": 0,
        }
        for engine in engines
    ]
    return {
        "name": f"n{me}",
        "listen": f"127.0.0.1:{port}",
        "seed": "5eed0000" + f"{me:08x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "bulletin": f"127.0.0.1:{bulletin}",
        "known": {"no": 1, "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}]},
        "settings": {
            "areas": ["north"],
            "kinds": ["eight-core"],
            "classes": [
                {
                    "name": name,
                    "effect": effect,
                    "dedup_scope": "all",
                    "on_time_ns": int(aim * SECOND),
                    "give_up_ns": int(limit * SECOND),
                    "window_ns": int(window * SECOND),
                    "value": worth,
                    "late_share": 0.3,
                    "aim_stretch": 1.5,
                    "stream": False,
                }
                for name, effect, aim, limit, window, worth in classes
            ],
            "discovery": "push",
            "family_info": {
                "cores_by_kind": [8],
                "kind_memory_mb": [16384.0],
                "dop": [1, 2, 2],
                "is_load": [False, False, True],
                "waits_for_loads": [False, False, False],
                "grant_cap": 0.4,
                "grants_count": False,
                "lanes_count": True,
                "note_period_ns": SECOND // 2,
                "on_shortage": "page",
                "says_cost": True,
            },
            "group_size": front_ends,
            "me": me,
            "guarantees": {
                "cold_ns": 12 * SECOND,
                "drain_grace_ns": SECOND // 2,
                "fall_multiple": 2.5,
                "fall_ns": 3 * SECOND // 2,
                "grace_to_answer_ns": 20_000_000,
                "start_capacity": 0.31,
            },
            "limits": {
                "cancel": True,
                "conn_idle_ns": 30 * SECOND,
                "connect_timeout_ns": SECOND // 4,
                "max_retry_after_ns": 2 * SECOND,
                "may_duplicate": False,
                "may_probe": True,
                "most_tries": 5,
                "peers": False,
            },
            "prices": {"probe": 0.0092},
            "stats": {"fields": ["load_share", "depth"], "how": "pull"},
            "tenants": [{"name": "core", "quota_per_s": 500.0, "share": 1.0}],
        },
    }
