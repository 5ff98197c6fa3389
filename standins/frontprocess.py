"""A front end in a process of its own: its address, configuration, log and end."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path


class FrontProcess:
    """Reserves an address on loopback for its lifetime, across restarts of the process that listens there.

    `launcher`: the command-line words between `python` and the program's name.
    """

    def __init__(self, folder: Path, name: str, launcher: Sequence[str] = ("-m",)) -> None:
        self.folder, self.name, self.launcher = folder, name, launcher
        self.reserved_socket = socket.socket()  # does not listen; reserves the port
        self.reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved_socket.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.reserved_socket.getsockname()
        self.log_path, self.config_path = folder / f"{name}.log", folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def configure(
        self,
        settings: dict,
        hosts: Sequence[dict],
        bulletin: tuple[str, int],
        sockets: int = 64,
        last: int = 1,
    ) -> None:
        """Write the configuration for its next start, or for the next SIGHUP."""
        roster = {"seq": 1, "whole": True, "hosts": list(hosts)}
        configuration = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "seed": "1",
            "limits": {"sockets": sockets},
            "bulletin": "{}:{}".format(*bulletin),
            "known": {"no": last, "items": [{"no": last, "roster": roster}]},
            "settings": settings,
        }
        self.config_path.write_text(json.dumps(configuration))

    def start(self, log_to: int | None = None, descriptors: int | None = None) -> None:
        """Start a process. `log_to`: descriptor used in place of the log file; `descriptors`: its limit."""

        def prepare() -> None:
            signal.signal(
                signal.SIGHUP, signal.SIG_IGN
            )  # until it has its handler, as deploy/balancer.toml does
            if descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.launcher, "aspenrill"],
                stderr=log if log_to is None else log_to,
                env=os.environ | {"NODE_CONFIG": str(self.config_path)},
                preexec_fn=prepare,
            )

    def signal(self, number: int) -> None:
        """Send it a signal, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """Return everything that its processes have logged."""
        return self.log_path.read_text() if self.log_path.exists() else ""

    def stop(self) -> None:
        """Kill the process, if there is one; the address stays reserved."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def close(self) -> None:
        """Kill the process and release the address."""
        self.stop()
        self.reserved_socket.close()
