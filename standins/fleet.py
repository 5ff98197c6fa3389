"""Real processes of the program on loopback behind a relay, which tests start, kill, pause and restart.

    with Fleet(folder, seed=1) as fleet:
        for name in "abc":
            fleet.add(name)                       # a member without front end; the first three are seeds
        fleet.start()
        fleet.until(lambda: fleet.all_see("abc", "ALIVE"), "all know each other")
        fleet["a"].kill()                         # SIGKILL; also pause, resume, reload, terminate, start
        fleet.relay("cut", "b", "c")              # see `links`

`fleet.sidecar(label, [engine addresses])` adds a complete process, an application's sidecar, with clients at
`process.front`. If its engines run in the test's own hub, `Fleet(..., sleep=hub.sleep)` lets them run on.

Each process has a loopback address, a folder with its configuration, state and log, and an address at the
relay, which is the only one that the others know. Waits are for conditions; a wait that times out raises with
the end of each log. All processes are ended, by their ids, however the block ends.
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

from aspenrill.net.address import format_address
from aspenrill.tool.template import TEMPLATE

from .links import Address, Relay

MEMBER_COMMAND = ("-m", "aspenrill.fleet.peer")
PROGRAM_COMMAND = ("-m", "aspenrill")
LOG_TIMESTAMP = re.compile(r"^\d{4}-\S+Z ", re.M)  # at the start of a log line
MEMBER_LINE = re.compile(r"^member (\S+) (\d+) (\w+)$", re.M)
START_LINE = re.compile(r"^fleet: .* incarnation (\d+)$", re.M)
DEFAULT_TIMEOUT = 45.0  # seconds to wait for a condition


class Process:
    """One process of the fleet, which may end and be started again."""

    def __init__(self, fleet: Fleet, label: str, number: int, command: tuple[str, ...]) -> None:
        self.fleet, self.label, self.command = fleet, label, command
        self.folder = fleet.folder / label
        self.folder.mkdir()
        self.file, self.log = self.folder / "config.toml", self.folder / "log"
        self.log.touch()
        self.host = f"{fleet.address_prefix}.1.{number}"
        self.port = free_port(self.host)
        self.relay_address: Address = fleet.relay.open_address(
            label, (self.host, self.port), f"{fleet.address_prefix}.2.{number}"
        )
        self.front: Address = self.host, free_port(self.host)  # of a complete process
        self.config: dict[str, Any] = {}
        self.popen: subprocess.Popen | None = None
        self.log_offsets: list[int] = []  # log offset of each start

    # ---- control --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start it with its current configuration."""
        assert self.popen is None, f"{self.label} runs"
        self.write()
        self.log_offsets.append(self.log.stat().st_size)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *self.command, str(self.file)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def write(self) -> None:
        """Write its configuration to its file."""
        self.file.write_text(tomli_w.dumps(self.config))

    def signal(self, number: int) -> None:
        """Send a signal to the running process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for its end."""
        if self.popen is not None:
            self.signal(signal.SIGKILL)
            self.popen.wait()
            self.popen = None

    def pause(self) -> None:
        """Send SIGSTOP and wait until it is stopped."""
        self.signal(signal.SIGSTOP)
        while Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
            time.sleep(0.001)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.signal(signal.SIGCONT)

    def reload(self) -> None:
        """Write the configuration and send SIGHUP: it reads its key and configuration again."""
        self.write()
        self.signal(signal.SIGHUP)

    def terminate(self) -> int:
        """Send SIGTERM and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.wait_exit()

    def wait_exit(self) -> int:
        """Wait until it exits by itself; return its exit status."""
        self.fleet.until(lambda: self.popen.poll() is not None, f"{self.label} ends")
        code, self.popen = self.popen.returncode, None
        return code

    # ---- observation ----------------------------------------------------------------------------------

    @property
    def pid(self) -> int:
        """Id of the running process."""
        return self.popen.pid

    def log_text(self, run_index: int = -1) -> str:
        """Return the log of one of its runs, by default the last, without timestamps."""
        data = self.log.read_bytes()
        ends = [*self.log_offsets[1:], len(data)]
        if not self.log_offsets:
            return ""
        return LOG_TIMESTAMP.sub(
            "", data[self.log_offsets[run_index] : ends[run_index]].decode(errors="replace")
        )

    def member_events(self, run_index: int = -1) -> list[tuple[str, int, str]]:
        """Return all state changes of members that it has logged: name, incarnation and state."""
        return [
            (name, int(incarnation), state)
            for name, incarnation, state in MEMBER_LINE.findall(self.log_text(run_index))
        ]

    def states(self) -> dict[str, str]:
        """Return the state in which it sees each member, by name."""
        return {name: state for name, _, state in self.member_events()}

    @property
    def incarnation(self) -> int:
        """The incarnation with which its last run began; 0 before it has logged it."""
        found = START_LINE.search(self.log_text())
        return int(found[1]) if found else 0


class Fleet:
    """The processes by label, and the relay between them."""

    def __init__(self, folder: Path, seed: int, sleep: Callable[[float], None] = time.sleep) -> None:
        self.folder, self.sleep = folder, sleep
        self.address_prefix = f"127.{random.SystemRandom().randrange(64, 250)}"
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
        """Write a key file that only its user can read, by an atomic rename."""
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
        command: tuple[str, ...] = MEMBER_COMMAND,
        config: dict[str, Any] | None = None,
        **fleet: Any,
    ) -> Process:
        """Add a process, to be started later. `name` is given where two processes share one; `config` are
        settings outside the [fleet] section, `fleet` those in it."""
        process = Process(self, label, len(self.processes) + 1, command)
        self.processes[label] = process
        seeds = [format_address(p.relay_address) for p in list(self)[:3]]
        process.config = {
            **(config or {}),
            "fleet": {
                "enabled": True,
                "name": name or label,
                "place": place,
                "seeds": seeds,
                "key_file": str(self.key),
                "state": str(process.folder / "state"),
                "listen": format_address((process.host, process.port)),
                "advertise": format_address(process.relay_address),
                **fleet,
            },
        }
        return process

    def sidecar(self, label: str, engines: Iterable[Address], **fleet: Any) -> Process:
        """Add a complete process: the sidecar of the application that the tool's template describes."""
        process = self.add(label, command=PROGRAM_COMMAND, config=tomllib.loads(TEMPLATE), **fleet)
        process.config["listen"] = format_address(process.front)
        process.config["source"][0]["engine"] = [
            {"name": f"engine-{n}", "address": format_address(address), "kind": "eight-core", "state": "live"}
            for n, address in enumerate(engines, 1)
        ]
        return process

    def start(self, *labels: str) -> None:
        """Start these processes, or all."""
        for process in [self[label] for label in labels] or self:
            process.start()

    def all_see(self, labels: Iterable[str], state: str, at: Iterable[str] = ()) -> bool:
        """Whether each of these processes, or of those in `at`, sees each other one of these in that
        state."""
        labels = list(labels)
        for one in at or labels:
            states = self[one].states()
            if any(states.get(other) != state for other in labels if other != one):
                return False
        return True

    def until(self, holds: Callable[[], bool], what: str, within: float = DEFAULT_TIMEOUT) -> float:
        """Wait until `holds` returns true; return the seconds that it took."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() > began + within:
                logs = "\n".join(f"--- {p.label}\n{p.log_text()[-1500:]}" for p in self)
                raise AssertionError(f"not within {within} s: {what}\n{logs}")
            self.sleep(0.02)
        return time.monotonic() - began


def free_port(host: str) -> int:
    """Return a port at this host that is free for UDP and TCP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one, socket.socket() as other:
            one.bind((host, 0))
            try:
                other.bind(one.getsockname())
            except OSError:
                continue
            return one.getsockname()[1]
