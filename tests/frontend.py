"""A front end as a process of its own, started through a stand-in; its engines, bulletin and clients."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Sequence
from pathlib import Path
from types import SimpleNamespace

from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Hub
from aspenrill.wire import bulletin as wire
from standins.clients import ThriftClient
from standins.discovery import LIVE, Feed, host
from standins.frontprocess import FrontProcess
from standins.world import HttpEngine

WITHIN = 60.0  # seconds of a machine that is busy; all holds much sooner


class FrontEnd:
    """`launcher`: the words between `python` and the program's name."""

    def __init__(self, folder: Path, launcher: Sequence[str], engine: type[HttpEngine] = HttpEngine) -> None:
        self.lines: list[str] = []
        self.hub = Hub(self.lines.append)
        self.feed = Feed(self.hub, [])
        self.engines = [engine(self.hub, f"s-{number:08x}") for number in (1, 2)]
        self.front = FrontProcess(folder, "n", launcher)
        self.address = self.front.address
        self.log_to: int | None = None  # a descriptor for its log in place of the file

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The running process."""
        return self.front.process

    def start(self, settings: dict, born_ms: Sequence[int | None] = (0, 0)) -> None:
        """With a list of the engines that are born by then."""
        hosts = [
            host(engine.name, engine.listener.address[1], born)
            for engine, born in zip(self.engines, born_ms, strict=True)
            if born is not None
        ]
        self.feed.events.append((1, wire.NOTHING, b""))
        self.front.configure(settings, hosts, self.feed.listener.address)
        self.front.start(self.log_to)

    def client(self, cls: str) -> ThriftClient:
        """A connection to it, as soon as it is up."""
        at, end = SimpleNamespace(hub=self.hub, address=self.address), time.monotonic() + WITHIN
        while True:
            assert time.monotonic() < end and self.process.poll() is None, self.log()
            try:
                return ThriftClient(at, cls, 20.0)
            except Refused:
                self.hub.sleep(0.05)

    def log(self) -> str:
        return self.front.log()

    def tell(self, engine: HttpEngine, born_ms: int) -> None:
        """One more engine, by the bulletin."""
        self.feed.tell(engine.name, engine.listener.address[1], LIVE, born_ms)

    def begins(self, statement: str) -> list[float]:
        """When it began anywhere."""
        return sorted(at for engine in self.engines for at, text in engine.began if text == statement)

    def stop(self) -> None:
        """The process and all places."""
        self.front.close()
        for listener in (self.feed.listener, *(engine.listener for engine in self.engines)):
            listener.close()
