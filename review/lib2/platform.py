"""The platform: the bulletin, and a front end's configuration."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

from .engine import Engine
from .record import Record

HEAD = struct.Struct(">IQB")
SECOND = 1_000_000_000


class Bulletin:
    """The bulletin. All that it has is under `known`, so it writes an empty frame each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

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
            last = struct.unpack(">Q", greeting)[0]
            self.record(f"bulletin: a front end asks for what follows event {last}")
            while True:
                sock.sendall(HEAD.pack(9, last, 0))
                time.sleep(1.0)


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
