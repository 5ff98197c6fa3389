"""Real processes of the program on loopback, behind a relay: started, killed, paused and restarted by tests.

    with Fleet(folder, seed=1) as fleet:
        for name in "abc":
            fleet.add(name)                       # a bare process of the fleet; `seeds` are the first three
        fleet.start()
        fleet.until(lambda: fleet.all_have("abc", "ALIVE"), "all know each other")
        fleet["a"].kill()                         # SIGKILL; also pause, go_on, hangup, end (SIGTERM), start
        fleet.relay("cut", "b", "c")              # see `links`

`fleet.sidecar(label, [engine addresses])` adds a whole one, an application's sidecar, whose clients come to
`process.front`; where the engines run in the test's own hub, `Fleet(..., sleep=hub.sleep)` lets them.

Each has a loopback address, a folder with its configuration, state and log, and a front door at the relay,
which is all that the others know of it. Waits are for conditions; what does not come to pass raises with the
end of each log. All that was started is ended, by its process id, however the block ends.
"""

from __future__ import annotations

import random
import re
import secrets
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import tomli_w

from aspenrill.net.address import show
from aspenrill.tool.template import TEMPLATE

from .links import Address, Relay

BARE, WHOLE = ("-m", "aspenrill.fleet.peer"), ("-m", "aspenrill")
TIME = re.compile(r"^\d{4}-\S+Z ", re.M)  # at the head of a log line
SAID = re.compile(r"^member (\S+) (\d+) (\w+)$", re.M)
BEGAN = re.compile(r"^fleet: .* incarnation (\d+)$", re.M)
PATIENCE = 45.0  # seconds until a condition counts as one that never comes


class Process:
    """One process's place: what runs there may end and be started again."""

    def __init__(self, fleet: Fleet, label: str, number: int, command: tuple[str, ...]) -> None:
        self.fleet, self.label, self.command = fleet, label, command
        self.folder = fleet.folder / label
        self.folder.mkdir()
        self.file, self.log = self.folder / "config.toml", self.folder / "log"
        self.log.touch()
        self.host = f"{fleet.net}.1.{number}"
        self.port = free_port(self.host)
        self.door: Address = fleet.relay.door(label, (self.host, self.port), f"{fleet.net}.2.{number}")
        self.front: Address = self.host, free_port(self.host)  # of a whole one
        self.config: dict[str, Any] = {}
        self.running: subprocess.Popen | None = None
        self.lives: list[int] = []  # where the log of each begins

    # ---- what a test does to it -----------------------------------------------------------------------

    def start(self) -> None:
        """With its configuration as it is now."""
        assert self.running is None, f"{self.label} runs"
        self.write()
        self.lives.append(self.log.stat().st_size)
        with self.log.open("ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, *self.command, str(self.file)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def write(self) -> None:
        """Its configuration to its file."""
        self.file.write_text(tomli_w.dumps(self.config))

    def signal(self, number: int) -> None:
        """To whatever runs."""
        self.running.send_signal(number)

    def kill(self) -> None:
        """SIGKILL."""
        if self.running is not None:
            self.signal(signal.SIGKILL)
            self.running.wait()
            self.running = None

    def pause(self) -> None:
        """SIGSTOP, until it does stand still."""
        self.signal(signal.SIGSTOP)
        while Path(f"/proc/{self.running.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
            time.sleep(0.001)

    def go_on(self) -> None:
        """SIGCONT."""
        self.signal(signal.SIGCONT)

    def hangup(self) -> None:
        """SIGHUP: it reads its key and configuration again."""
        self.write()
        self.signal(signal.SIGHUP)

    def end(self) -> int:
        """SIGTERM; what it ended with."""
        self.signal(signal.SIGTERM)
        return self.ended()

    def ended(self) -> int:
        """Wait until it ends by itself."""
        self.fleet.until(lambda: self.running.poll() is not None, f"{self.label} ends")
        code, self.running = self.running.returncode, None
        return code

    # ---- what a test sees of it -----------------------------------------------------------------------

    @property
    def pid(self) -> int:
        """Of what runs."""
        return self.running.pid

    def text(self, life: int = -1) -> str:
        """What one of its lives has logged, without the times; the last by default."""
        data = self.log.read_bytes()
        ends = [*self.lives[1:], len(data)]
        if not self.lives:
            return ""
        return TIME.sub("", data[self.lives[life] : ends[life]].decode(errors="replace"))

    def said(self, life: int = -1) -> list[tuple[str, int, str]]:
        """All that it has said of others, in order: name, incarnation and state."""
        return [(name, int(incarnation), state) for name, incarnation, state in SAID.findall(self.text(life))]

    def states(self) -> dict[str, str]:
        """What it takes each other for by now, by name."""
        return {name: state for name, _, state in self.said()}

    @property
    def incarnation(self) -> int:
        """With which its life began; 0 before it has said so."""
        found = BEGAN.search(self.text())
        return int(found[1]) if found else 0


class Fleet:
    """The processes by label, and the relay between them."""

    def __init__(self, folder: Path, seed: int, sleep: Callable[[float], None] = time.sleep) -> None:
        self.folder, self.sleep = folder, sleep
        self.net = f"127.{random.SystemRandom().randrange(64, 250)}"
        self.relay = Relay(seed)
        self.key = self.write_key("key", secrets.token_hex(32))
        self.processes: dict[str, Process] = {}

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *why: object) -> None:
        for process in self:
            process.kill()
        self.relay.close()

    def __iter__(self) -> Iterator[Process]:
        return iter(self.processes.values())

    def __getitem__(self, label: str) -> Process:
        return self.processes[label]

    def write_key(self, name: str, *keys: str) -> Path:
        """A key file that only its user can read, whole at once."""
        path, new = self.folder / name, self.folder / f"{name}.new"
        new.touch(0o600)
        new.write_text("".join(f"{key}\n" for key in keys))
        new.rename(path)
        return path

    def add(
        self,
        label: str,
        name: str = "",
        place: str = "",
        command: tuple[str, ...] = BARE,
        config: dict[str, Any] | None = None,
        **fleet: Any,
    ) -> Process:
        """A process to be started later. `name` differs from the label where two have one; `config` goes
        beside [fleet], `fleet` into it."""
        process = Process(self, label, len(self.processes) + 1, command)
        self.processes[label] = process
        seeds = [show(p.door) for p in list(self)[:3]]
        process.config = {
            **(config or {}),
            "fleet": {
                "enabled": True,
                "name": name or label,
                "place": place,
                "seeds": seeds,
                "key_file": str(self.key),
                "state": str(process.folder / "state"),
                "listen": show((process.host, process.port)),
                "advertise": show(process.door),
                **fleet,
            },
        }
        return process

    def sidecar(self, label: str, engines: Iterable[Address], **fleet: Any) -> Process:
        """A whole process: the sidecar of the application that the tool's template describes."""
        process = self.add(label, command=WHOLE, config=tomllib.loads(TEMPLATE), **fleet)
        process.config["listen"] = show(process.front)
        process.config["source"][0]["engine"] = [
            {"name": f"engine-{n}", "address": show(address), "kind": "eight-core", "state": "live"}
            for n, address in enumerate(engines, 1)
        ]
        return process

    def start(self, *labels: str) -> None:
        """These, or all."""
        for process in [self[label] for label in labels] or self:
            process.start()

    def all_have(self, labels: Iterable[str], state: str, at: Iterable[str] = ()) -> bool:
        """All of these, or those at `at`, take all of these but themselves for that."""
        labels = list(labels)
        for one in at or labels:
            states = self[one].states()
            if any(states.get(other) != state for other in labels if other != one):
                return False
        return True

    def until(self, holds: Callable[[], bool], what: str, within: float = PATIENCE) -> float:
        """Wait until it holds, looking often; seconds that it took."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() > began + within:
                logs = "\n".join(f"--- {p.label}\n{p.text()[-1500:]}" for p in self)
                raise AssertionError(f"not within {within} s: {what}\n{logs}")
            self.sleep(0.02)
        return time.monotonic() - began


def free_port(host: str) -> int:
    """A port for datagrams and streams that nobody uses at this host."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one, socket.socket() as other:
            one.bind((host, 0))
            try:
                other.bind(one.getsockname())
            except OSError:
                continue
            return one.getsockname()[1]
