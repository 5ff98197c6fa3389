"""A front end in a process of its own, started through a stand-in, with its engines, bulletin and clients."""

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
from standins.discovery import LIVE, BulletinServer, engine_entry
from standins.frontprocess import FrontProcess
from standins.world import HttpEngine

MAX_WAIT_S = 60.0  # on a busy machine; everything finishes much sooner otherwise


class FrontEnd:
    """A front-end process. `launcher`: the arguments between `python` and the program's name."""

    def __init__(self, folder: Path, launcher: Sequence[str], engine: type[HttpEngine] = HttpEngine) -> None:
        self.lines: list[str] = []
        self.hub = Hub(self.lines.append)
        self.feed = BulletinServer(self.hub, [])
        self.engines = [engine(self.hub, f"s-{number:08x}") for number in (1, 2)]
        self.front = FrontProcess(folder, "n", launcher)
        self.address = self.front.address
        self.log_to: int | None = None  # a descriptor that replaces the log file

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The running process."""
        return self.front.process

    def start(self, settings: dict, born_ms: Sequence[int | None] = (0, 0)) -> None:
        """Starts the process with a list of the engines, without those whose birth time is None."""
        hosts = [
            engine_entry(engine.name, engine.listener.address[1], born)
            for engine, born in zip(self.engines, born_ms, strict=True)
            if born is not None
        ]
        self.feed.events.append((1, wire.UNCHANGED, b""))
        self.front.configure(settings, hosts, self.feed.listener.address)
        self.front.start(self.log_to)

    def client(self, cls: str) -> ThriftClient:
        """Connects a client, waiting until the front end accepts."""
        at, end = SimpleNamespace(hub=self.hub, address=self.address), time.monotonic() + MAX_WAIT_S
        while True:
            assert time.monotonic() < end and self.process.poll() is None, self.log()
            try:
                return ThriftClient(at, cls, 20.0)
            except Refused:
                self.hub.sleep(0.05)

    def log(self) -> str:
        return self.front.log()

    def announce(self, engine: HttpEngine, born_ms: int) -> None:
        """Adds an engine through the bulletin."""
        self.feed.publish(engine.name, engine.listener.address[1], LIVE, born_ms)

    def start_times(self, statement: str) -> list[float]:
        """Returns the times at which the statement was started, on any engine."""
        return sorted(at for engine in self.engines for at, text in engine.began if text == statement)

    def stop(self) -> None:
        """Ends the process and closes all listeners."""
        self.front.close()
        for listener in (self.feed.listener, *(engine.listener for engine in self.engines)):
            listener.close()
