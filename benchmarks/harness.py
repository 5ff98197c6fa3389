"""Harness of the benchmarks: runs the program in a child process between simulated clients and engines.

It writes the program's configuration, reads the child's counters and plays exchanges of requests.
"""

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
    LockstepPeers,
    TdsClient,
    ThriftClient,
    first_page_response,
    http_request_size,
    http_response,
    probe_response,
    session_response,
)

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
ADDR_NO_RANDOMIZE = 0x0040000  # flag of personality(2)
LOOKUP_ROWS = b"".join(b"%d\ttowels\tok\n" % index for index in range(4))
PLATFORM_SETTINGS = {
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
SIDECAR_TOML = """name = "bench"
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


class Harness:
    """The program in a child process; its engine, bulletin and clients in this process.

    `mode` is that of child.py: counts, blocks or cpu. `root` is the checkout whose program runs.
    """

    def __init__(self, root: Path, mode: str, protocol: str, preload: Path | None) -> None:
        self.peers, self.protocol, self.mode = LockstepPeers(), protocol, mode
        self.peers.immediate_reply = probe_response if protocol == "thrift" else session_response
        self.folder = Path(tempfile.mkdtemp())
        port, engine = free_port(), self.peers.engine.getsockname()[1]
        self.address = ("127.0.0.1", port)
        env = {
            "PYTHONPATH": str(root),
            "PYTHONHASHSEED": "0",
            "PATH": os.environ["PATH"],
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        arguments = []
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
            list_update = {"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}
            config = {
                "name": "bench",
                "listen": f"127.0.0.1:{port}",
                "seed": "1",
                "limits": {"sockets": 1024},
                "settings": PLATFORM_SETTINGS,
                "bulletin": f"127.0.0.1:{self.peers.bulletin.getsockname()[1]}",
                "known": {"no": 1, "items": [list_update]},
            }
            (self.folder / "config.json").write_text(json.dumps(config))
            env["NODE_CONFIG"] = str(self.folder / "config.json")
        else:
            (self.folder / "bench.toml").write_text(SIDECAR_TOML.format(listen=port, engine=engine))
            arguments = [str(self.folder / "bench.toml")]
        if mode == "blocks":
            env |= {"LD_PRELOAD": str(preload), "PYTHONMALLOC": "malloc"}
        self.counters_fd, child_fd = os.pipe()
        self.log = open(self.folder / "log", "w+")  # noqa: SIM115
        self.child = subprocess.Popen(
            [sys.executable, str(HERE / "child.py"), mode, str(child_fd), *arguments],
            env=env,
            cwd=root,
            pass_fds=[child_fd],
            stderr=self.log,
            stdout=self.log,
            preexec_fn=None if mode == "cpu" else disable_address_randomization,
        )
        os.close(child_fd)
        self.peers.pid, self.peers.in_step = self.child.pid, mode != "cpu"
        self.clients: list[Any] = []
        self._counter_buffer = b""
        self._wait_until_started()

    def _wait_until_started(self) -> None:
        deadline = time.monotonic() + 20
        while True:
            try:
                return self.add_client("lookup")
            except OSError:
                if time.monotonic() > deadline or self.child.poll() is not None:
                    self.log.seek(0)
                    raise RuntimeError(f"the program did not start: {self.log.read()[-2000:]}") from None
                time.sleep(0.02)

    def add_client(self, user: str) -> None:
        """Connect one more client; `user` is the login of a TDS client."""
        self.clients.append(
            ThriftClient(self.address, len(self.clients) + 1)
            if self.protocol == "thrift"
            else TdsClient(self.address, user)
        )

    def read_counters(self) -> dict[str, float]:
        """The child's counters so far."""
        if self.mode != "cpu":
            self.peers.wait_idle()
        os.kill(self.child.pid, signal.SIGUSR2)
        while b"\n" not in self._counter_buffer:
            if not select.select([self.counters_fd], [], [], 20)[0]:
                raise RuntimeError("the program did not report its counters within 20 s")
            self._counter_buffer += os.read(self.counters_fd, 65536)
        line, _, self._counter_buffer = self._counter_buffer.partition(b"\n")
        return json.loads(line)

    def close(self) -> None:
        """Kill the child and remove its folder."""
        self.child.kill()
        self.child.wait()
        os.close(self.counters_fd)
        self.log.close()
        shutil.rmtree(self.folder)

    # ---- one exchange ---------------------------------------------------------------------------------

    def expect_served(self, client: ThriftClient) -> None:
        """Read the next answer; RuntimeError if the request was not served."""
        message = client.reply()
        if not message.args or 0 not in message.args:
            raise RuntimeError(f"not served: {message}")

    def exchange(
        self,
        requests_per_client: int,
        clients: list[ThriftClient],
        class_name: str = "par-lookup",
        pages: tuple[bytes, ...] = (LOOKUP_ROWS,),
    ) -> None:
        """Send so many requests on each client, in one segment per client; the engine answers all at once.

        Pages after the first are requested by the program one by one.
        """
        with self.peers.delivered_at_once():
            for client in clients:
                client.connection.sock.sendall(
                    b"".join(
                        client.call(
                            class_name, "select id, what, state from sales_17.orders where id = 123456"
                        )
                        for _ in range(requests_per_client)
                    )
                )
        received = self.peers.requests(requests_per_client * len(clients), http_request_size)
        with self.peers.delivered_at_once():
            for wire, _ in received:
                wire.sock.sendall(first_page_response(pages[0], len(pages)))
        for page_number in range(1, len(pages)):
            page_requests = self.peers.requests(requests_per_client * len(clients), http_request_size)
            with self.peers.delivered_at_once():
                for wire, _ in page_requests:
                    wire.sock.sendall(http_response(pages[page_number], f"X-Batch: {page_number}\r\n"))
        for client in clients:
            for _ in range(requests_per_client):
                self.expect_served(client)


def disable_address_randomization() -> None:
    """Switch off address space randomization for the child, by personality(2).

    Sets and dictionaries keyed by objects are laid out by address, so counts of memory blocks depend on it.
    Where the kernel refuses, about one block in ten thousand may differ between runs.
    """
    ctypes.CDLL(None).personality(ADDR_NO_RANDOMIZE)


def free_port() -> int:
    """A TCP port on the loopback interface that is free at present."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
