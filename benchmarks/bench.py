"""The program in a child process, between the peers of a benchmark: its configuration, one exchange."""

from __future__ import annotations

import ctypes
import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins.lockstep import (
    Peers,
    TdsClient,
    ThriftClient,
    first_page,
    http_answer,
    http_split,
    probe_answer,
    session_answer,
)

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
ADDR_NO_RANDOMIZE = 0x0040000
LOOKUP = b"".join(b"%d\ttowels\tok\n" % at for at in range(4))
SETTINGS = {
    "classes": [
        {
            "name": "par-lookup",
            "effect": "repeatable",
            "on_time_ns": 10**9,
            "give_up_ns": 25 * 10**9,
            "value": 1.0,
        },
        {
            "name": "usage-report",
            "effect": "repeatable",
            "on_time_ns": 3 * 10**9,
            "give_up_ns": 25 * 10**9,
            "value": 8.0,
        },
    ],
    "kinds": ["std"],
    "areas": ["a"],
    "tenants": [{"name": "main"}],
    "group_size": 1,
    "limits": {
        "most_tries": 4,
        "cancel": True,
        "may_probe": True,
        "conn_idle_ns": 3600 * 10**9,
        "max_retry_after_ns": 2 * 10**9,
    },
    "stats": {"fields": ["util", "queue"]},
    "family_info": {
        "cores_by_kind": [64],
        "dop": [1, 2],
        "is_load": [False, False],
        "lanes_count": True,
        "says_cost": True,
    },
}
SIDECAR = """name = "bench"
enabled = true
listen = "127.0.0.1:{listen}"
[[class]]
name = "lookup"
wanted_ms = 1000
give_up_ms = 25000
[[class]]
name = "report"
wanted_ms = 3000
give_up_ms = 25000
worth = 8.0
threads = 2
[[tenant]]
name = "main"
[[login]]
user = "report"
class = "report"
tenant = "main"
timeout_ms = 20000
[[login]]
user = "*"
class = "lookup"
tenant = "main"
timeout_ms = 20000
[engines]
source = "list"
idle_s = 3600
[[engines.kind]]
name = "std"
cores = 64
[[engines.engine]]
name = "engine-1"
address = "127.0.0.1:{engine}"
kind = "std"
"""


class Bench:
    """The program in a child process, and its peers here."""

    def __init__(self, root: Path, mode: str, protocol: str, shim: Path | None) -> None:
        self.peers, self.protocol, self.mode = Peers(), protocol, mode
        self.peers.answer = probe_answer if protocol == "thrift" else session_answer
        self.folder = Path(tempfile.mkdtemp())
        port, engine = free_port(), self.peers.engine.getsockname()[1]
        self.address = ("127.0.0.1", port)
        env = {
            "PYTHONPATH": str(root),
            "PYTHONHASHSEED": "0",
            "PATH": os.environ["PATH"],
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        words = []
        if protocol == "thrift":
            hosts = [
                {
                    "host": "s-00000001",
                    "dial": f"127.0.0.1:{engine}",
                    "site": "a",
                    "class": "std",
                    "block": 0,
                    "health": "in_service",
                    "share": 1,
                    "born_ms": 0,
                }
            ]
            news = {"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}
            config = {
                "name": "bench",
                "listen": f"127.0.0.1:{port}",
                "seed": "1",
                "limits": {"sockets": 1024},
                "settings": SETTINGS,
                "bulletin": f"127.0.0.1:{self.peers.bulletin.getsockname()[1]}",
                "known": {"no": 1, "items": [news]},
            }
            (self.folder / "config.json").write_text(json.dumps(config))
            env["NODE_CONFIG"] = str(self.folder / "config.json")
        else:
            (self.folder / "bench.toml").write_text(SIDECAR.format(listen=port, engine=engine))
            words = [str(self.folder / "bench.toml")]
        if mode == "blocks":
            env |= {"LD_PRELOAD": str(shim), "PYTHONMALLOC": "malloc"}
        self.out, theirs = os.pipe()
        self.log = open(self.folder / "log", "w+")  # noqa: SIM115
        self.child = subprocess.Popen(
            [sys.executable, str(HERE / "child.py"), mode, str(theirs), *words],
            env=env,
            cwd=root,
            pass_fds=[theirs],
            stderr=self.log,
            stdout=self.log,
            preexec_fn=None if mode == "cpu" else same_addresses,
        )
        os.close(theirs)
        self.peers.pid, self.peers.in_step = self.child.pid, mode != "cpu"
        self.clients: list[Any] = []
        self._told = b""
        self._await()

    def _await(self) -> None:
        until = time.monotonic() + 20
        while True:
            try:
                return self.client_for("lookup")
            except OSError:
                if time.monotonic() > until or self.child.poll() is not None:
                    self.log.seek(0)
                    raise RuntimeError(f"the program did not start: {self.log.read()[-2000:]}") from None
                time.sleep(0.02)

    def client_for(self, user: str) -> None:
        """One more client."""
        self.clients.append(
            ThriftClient(self.address, len(self.clients) + 1)
            if self.protocol == "thrift"
            else TdsClient(self.address, user)
        )

    def told(self) -> dict[str, float]:
        """What the child has counted so far."""
        if self.mode != "cpu":
            self.peers.rest()
        os.kill(self.child.pid, signal.SIGUSR2)
        while b"\n" not in self._told:
            if not select.select([self.out], [], [], 20)[0]:
                raise RuntimeError("the program does not tell its counts")
            self._told += os.read(self.out, 65536)
        line, _, self._told = self._told.partition(b"\n")
        return json.loads(line)

    def close(self) -> None:
        """End the child."""
        self.child.kill()
        self.child.wait()
        os.close(self.out)
        self.log.close()
        shutil.rmtree(self.folder)

    # ---- one exchange ---------------------------------------------------------------------------------

    def served(self, client: ThriftClient) -> None:
        """The next answer has to be a good one."""
        message = client.reply()
        if not message.args or 0 not in message.args:
            raise RuntimeError(f"not served: {message}")

    def exchange(
        self,
        frames: int,
        clients: list[ThriftClient],
        kind: str = "par-lookup",
        pages: tuple[bytes, ...] = (LOOKUP,),
    ) -> None:
        """So many requests on each client, in one segment each; the engine answers all of them at once."""
        with self.peers.together():
            for client in clients:
                client.wire.sock.sendall(
                    b"".join(
                        client.call(kind, "select id, what, state from sales_17.orders where id = 123456")
                        for _ in range(frames)
                    )
                )
        got = self.peers.requests(frames * len(clients), http_split)
        with self.peers.together():
            for wire, _ in got:
                wire.sock.sendall(first_page(pages[0], len(pages)))
        for number in range(1, len(pages)):
            asked = self.peers.requests(frames * len(clients), http_split)
            with self.peers.together():
                for wire, _ in asked:
                    wire.sock.sendall(http_answer(pages[number], f"X-Batch: {number}\r\n"))
        for client in clients:
            for _ in range(frames):
                self.served(client)


def same_addresses() -> None:
    """Ask the system for the same memory addresses in each run (personality(2)): what is keyed by objects
    is laid out by them. Where it refuses, a block in some ten thousand may differ."""
    ctypes.CDLL(None).personality(ADDR_NO_RANDOMIZE)


def free_port() -> int:
    """One that the system has free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
