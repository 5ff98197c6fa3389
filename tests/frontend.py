"""A front end as a process of its own, started through a stand-in; its engines, bulletin and clients."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from types import SimpleNamespace

from test_release import Feed

from aspenrill.net.conn import Refused
from aspenrill.net.hub import Hub
from aspenrill.wire import bulletin as wire
from standins.clients import ThriftClient
from standins.world import HttpEngine

WITHIN = 60.0  # seconds of a machine that is busy; all holds much sooner


class FrontEnd:
    """`launcher`: the words between `python` and the program's name."""

    def __init__(self, folder: Path, launcher: Sequence[str], engine: type[HttpEngine] = HttpEngine) -> None:
        self.lines: list[str] = []
        self.hub, self.folder, self.launcher = Hub(self.lines.append), folder, launcher
        self.feed = Feed(self.hub, [])
        self.engines = [engine(self.hub, f"s-{number:08x}") for number in (1, 2)]
        self.place = socket.socket()  # not listening: it holds its port
        self.place.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.place.bind(("127.0.0.1", 0))
        self.process: subprocess.Popen | None = None
        self.log_to: int | None = None  # a descriptor for its log in place of the file

    def start(self, settings: dict, born_ms: Sequence[int | None] = (0, 0)) -> None:
        """With a list of the engines that are born by then."""
        hosts = [
            {
                "host": engine.name,
                "dial": f"127.0.0.1:{engine.listener.address[1]}",
                "site": "z",
                "class": "k",
                "block": 0,
                "health": "in_service",
                "share": 4,
                "born_ms": born,
            }
            for engine, born in zip(self.engines, born_ms, strict=True)
            if born is not None
        ]
        self.feed.events.append((1, wire.NOTHING, b""))
        path = self.folder / "node.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "{}:{}".format(*self.place.getsockname()),
                    "seed": "1",
                    "limits": {"sockets": 64},
                    "bulletin": "{}:{}".format(*self.feed.listener.address),
                    "known": {
                        "no": 1,
                        "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}],
                    },
                    "settings": settings,
                }
            )
        )
        with open(self.folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.launcher, "aspenrill"],
                stderr=log if self.log_to is None else self.log_to,
                env=os.environ | {"NODE_CONFIG": str(path)},
            )

    def client(self, cls: str) -> ThriftClient:
        """A connection to it, as soon as it is up."""
        at, end = SimpleNamespace(hub=self.hub, address=self.place.getsockname()), time.monotonic() + WITHIN
        while True:
            assert time.monotonic() < end and self.process.poll() is None, self.log()
            try:
                return ThriftClient(at, cls, 20.0)
            except Refused:
                self.hub.sleep(0.05)

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def tell(self, engine: HttpEngine, born_ms: int) -> None:
        """One more engine, by the bulletin."""
        self.feed.events.append(
            (
                len(self.feed.events) + 1,
                wire.CHANGES,
                wire.RECORD.pack(
                    int(engine.name[2:], 16),
                    b"\x7f\0\0\1",
                    engine.listener.address[1],
                    0,
                    0,
                    0,
                    0,
                    1000,
                    born_ms,
                ),
            )
        )

    def begins(self, statement: str) -> list[float]:
        """When it began anywhere."""
        return sorted(at for engine in self.engines for at, text in engine.began if text == statement)

    def stop(self) -> None:
        """The process and all places."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for place in (self.feed.listener, *(engine.listener for engine in self.engines), self.place):
            place.close()
