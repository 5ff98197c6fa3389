"""Front-end processes: ready without discovery, running with few descriptors, and under SIGHUP."""

from __future__ import annotations

import fcntl
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from frontend import FrontEnd
from test_release import INFO

from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.net.listener import Listener
from aspenrill.wire import bulletin as wire
from aspenrill.wire import thrift
from standins.clients import ThriftClient
from standins.discovery import engine_entry
from standins.scenario import run_scenario
from standins.world import EngineBehaviour, HttpEngine

MAX_WAIT_S = 60.0  # on a busy machine; everything finishes much sooner otherwise
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_CPU_S = 5.0  # until ready: half of the ten seconds within which nine of ten must be ready


class Program:
    """A front end in a process of its own, with the addresses that it knows."""

    def __init__(self, folder: Path) -> None:
        self.hub, self.folder = Hub(lambda text: None), folder
        self.discovery, self.reserved = socket.socket(), socket.socket()
        for sock in (
            self.discovery,
            self.reserved,
        ):  # bound but not listening: they refuse connections and keep their ports
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
        self.address = self.reserved.getsockname()
        self.process: Any = None

    def start(self, hosts: list[tuple[str, int]], sockets: int) -> None:
        """Starts it with a known list and a limit of descriptors."""
        path = self.folder / "node.json"
        known = [engine_entry(name, port) for name, port in hosts]
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "{}:{}".format(*self.address),
                    "seed": "1",
                    "limits": {"sockets": sockets},
                    "bulletin": "{}:{}".format(*self.discovery.getsockname()),
                    "known": {
                        "no": 1,
                        "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": known}}],
                    },
                    "settings": INFO | {"me": 0, "group_size": 1},
                }
            )
        )
        with open(self.folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "aspenrill"],
                env=os.environ | {"NODE_CONFIG": str(path)},
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def cpu(self) -> float:
        """Returns the CPU seconds that it has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def client(self) -> ThriftClient:
        return ThriftClient(SimpleNamespace(hub=self.hub, address=self.address), "lookup", 5.0)

    def well_client(self) -> ThriftClient | None:
        """Returns a client whose `isWell` call was answered with true, None otherwise."""
        try:
            client = self.client()
            client.seqid = 1
            client.conn.write(
                thrift.frame(thrift.CALL, "isWell", 1, thrift.field(2, 1, b"\0")), time.monotonic() + 5
            )
            size = int.from_bytes(client.conn.read(4, time.monotonic() + 5), "big")
            reply = thrift.read_message(client.conn.read(size, time.monotonic() + 5)).args
            return client if reply[0][3] is True else None
        except (Refused, Closed, TimedOut):
            return None

    def until(self, true: Callable[[], Any]) -> Any:
        end = time.monotonic() + MAX_WAIT_S
        while not (found := true()):
            assert time.monotonic() < end and self.process.poll() is None, self.log()[-2000:]
            self.hub.sleep(0.05)
        return found


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    made = Program(tmp_path)
    yield made
    if made.process is not None:
        made.process.kill()
        made.process.wait()
    made.discovery.close()
    made.reserved.close()


@pytest.mark.parametrize("answers", [False, True], ids=["refuses", "is silent"])
def test_ready_with_a_list_of_1100_while_discovery_is_down(program, answers):
    # at start nothing may wait for discovery, name resolution or an engine, none of which is available
    if answers:
        program.discovery.listen(5)
    program.start([(f"s-{number:08x}", program.discovery.getsockname()[1]) for number in range(1100)], 256)

    def scenario() -> None:
        program.until(program.well_client).close()

    run_scenario(program.hub, scenario)
    used = program.cpu()
    assert used < MAX_CPU_S, used
    assert "error" not in program.log()


@pytest.mark.parametrize("sockets", [32, 48])
def test_idle_clients_and_busy_engines_leave_discovery_a_descriptor(program, sockets):
    hub, greetings, running, address = program.hub, [], [], program.discovery.getsockname()
    engines = [HttpEngine(hub, f"s-{number:08x}") for number in range(4)]
    for engine in engines:
        engine.behaviour = lambda statement: EngineBehaviour(after=0.02 if statement == "quick" else 2.0)
    program.start([(engine.name, engine.listener.address[1]) for engine in engines], sockets)

    def serve(conn: Connection) -> None:
        greetings.append(struct.unpack(">Q", conn.read(8, time.monotonic() + MAX_WAIT_S))[0])
        while True:
            conn.write(wire.FRAME_HEADER.pack(9, 1, wire.UNCHANGED), time.monotonic() + 5)
            hub.sleep(1.0)

    def scenario() -> None:
        idle = [program.until(program.well_client) for _ in range(sockets // 3)]
        for _ in range(sockets):  # more than the limit; these send nothing
            idle.append(program.client())
        busy = program.until(program.well_client)
        for _ in range(30):
            busy.send("slow")
        program.until(lambda: len(os.listdir(f"/proc/{program.process.pid}/fd")) == sockets)  # all are in use
        dials = program.log().count("bulletin: Refused")
        program.until(lambda: program.log().count("bulletin: Refused") > dials + 1)
        back = Listener(hub, address, serve, 10, "discovery")
        program.until(lambda: greetings)
        running.append(sum(engine.running for engine in engines))
        fresh = program.until(program.well_client)
        assert fresh.request("quick", MAX_WAIT_S, timeout="30000").kind == "served"
        for listener in [back, *(engine.listener for engine in engines)]:
            listener.close()

    run_scenario(hub, scenario)
    assert running[0] > sockets // 4  # so it connected although no engine connection was closed
    assert "bulletin: Refused [" not in program.log() and "error" not in program.log()


def test_a_sighup_during_import_does_not_end_the_process(tmp_path):
    # a release may move discovery just when a front end starts; the signal arrives before the main import
    (tmp_path / "sitecustomize.py").write_text("""
import os, signal, sys
class Finder:
    def find_spec(name, path, target=None):
        if name == "aspenrill.node":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder)
""")
    env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    ended = subprocess.run(
        [sys.executable, "-m", "aspenrill"],
        timeout=MAX_WAIT_S,
        capture_output=True,
        text=True,
        env=env | {"PYTHONPATH": f"{tmp_path}:{os.getcwd()}"},
    )
    assert ended.returncode == 2 and "NODE_CONFIG: not set" in ended.stderr, ended


def test_a_sighup_while_the_interpreter_ends_does_not_change_the_exit_code(tmp_path):
    # at exit the interpreter restores the default handlers; the signal arrives right after that
    (tmp_path / "sitecustomize.py").write_text("""
import os, signal, sys
class AtTheEnd:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.SIGHUP):
        kill(process, number)
sys.at_the_end = AtTheEnd()
""")
    env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    ended = subprocess.run(
        [sys.executable, "-m", "aspenrill"],
        timeout=MAX_WAIT_S,
        capture_output=True,
        text=True,
        env=env | {"PYTHONPATH": f"{tmp_path}:{os.getcwd()}"},
    )
    assert ended.returncode == 2 and "NODE_CONFIG: not set" in ended.stderr, ended


@pytest.mark.parametrize("after", [0.02, 0.04, 0.06, 0.1])
def test_a_sighup_in_the_first_moments_does_not_end_it(after):
    # before its handler is set, the signal by default ends the process that deploy/balancer.toml starts
    root = Path(__file__).resolve().parent.parent
    config = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    command = config["run"].replace(".venv/bin/python", sys.executable)
    env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    process = subprocess.Popen(["/bin/sh", "-c", command], cwd=root, env=env, stderr=subprocess.PIPE)
    time.sleep(after)
    process.send_signal(signal.SIGHUP)
    assert process.wait(MAX_WAIT_S) == 2 and b"NODE_CONFIG: not set" in process.stderr.read()


def test_a_log_that_nobody_reads_does_not_block_the_process(tmp_path):
    # standard error is a pipe of one page that nobody reads; each refusal is a line
    front = FrontEnd(tmp_path, ("-m",))
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    front.log_to = writer

    def scenario() -> None:
        client = front.client("lookup")
        for engine in front.engines:
            engine.listener.close()
        for number in range(200):
            assert client.request(f"select {number}", 30).kind in ("refused", "failed")

    try:
        front.start(INFO | {"group_size": 1, "me": 0})
        run_scenario(front.hub, scenario)
        lines = os.read(reader, 65536)
        assert len(lines) > 2048 and b"request_refused" in lines
    finally:
        os.close(reader)
        os.close(writer)
        front.stop()
