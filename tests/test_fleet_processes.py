"""Real processes of a fleet without front ends, on loopback."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

TIMEOUT = 30.0  # seconds; conditions hold much sooner unless the machine is busy
KEYS = ["ab" * 32, "cd" * 32]


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Fleet:
    """Processes by the name of their state folder."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.seed = folder, free_port()
        self.running: dict[str, subprocess.Popen] = {}
        self.write_keys("keys", KEYS[:1])

    def write_keys(self, name: str, keys: list[str]) -> None:
        path = self.folder / name
        path.write_text("\n".join(keys) + "\n")
        path.chmod(0o600)

    def start(self, slot: str, name: str = "", keys: str = "keys", more: str = "") -> None:
        port = self.seed if slot == "a" else 0
        config = self.folder / f"{slot}.toml"
        config.write_text(f'''
            name = "{name or slot}"
            listen = "127.0.0.1:{port}"
            seeds = ["127.0.0.1:{self.seed}"]
            key_file = "{self.folder / keys}"
            state = "{self.folder / slot}"
            place = "site/house/hall"
            {more}''')
        with open(self.folder / f"{slot}.log", "ab") as log:
            self.running[slot] = subprocess.Popen(
                [sys.executable, "-m", "aspenrill.fleet.peer", str(config)], stderr=log, stdout=log
            )

    def members(self, slot: str) -> dict[str, dict[str, Any]]:
        try:
            content = json.loads((self.folder / slot / "members.json").read_text())
        except FileNotFoundError:
            return {}
        return {row["name"]: row for row in content["members"]}

    def states(self, slot: str) -> dict[str, str]:
        return {name: row["state"] for name, row in self.members(slot).items()}

    def log(self, slot: str) -> str:
        return (self.folder / f"{slot}.log").read_text()

    def kill(self, slot: str, number: int = signal.SIGKILL) -> int:
        process = self.running.pop(slot)
        process.send_signal(number)
        return process.wait(TIMEOUT)

    def until(self, holds: Callable[[], bool]) -> None:
        end = time.monotonic() + TIMEOUT
        while not holds():
            assert time.monotonic() < end, {slot: self.log(slot)[-2000:] for slot in self.running}
            time.sleep(0.05)

    def all_alive(self, *names: str) -> bool:
        return all(self.states(slot).get(name) == "ALIVE" for slot in names for name in names)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    for process in fleet.running.values():
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()


def test_three_processes_join_and_one_is_killed_and_returns(fleet):
    for slot in "abc":
        fleet.start(slot)
    fleet.until(lambda: fleet.all_alive("a", "b", "c"))
    assert fleet.members("a")["c"]["place"] == ["site", "house", "hall"]
    before = fleet.members("a")["c"]["incarnation"]
    fleet.kill("c")
    fleet.until(lambda: fleet.states("a")["c"] == fleet.states("b")["c"] == "DEAD")
    assert fleet.states("a")["b"] == "ALIVE" and f"member c {before} DEAD" in fleet.log("b")
    fleet.start("c")
    fleet.until(lambda: fleet.all_alive("a", "b", "c"))
    assert fleet.members("a")["c"]["incarnation"] > before
    assert fleet.kill("b", signal.SIGTERM) == 0
    fleet.until(lambda: fleet.states("a")["b"] == fleet.states("c")["b"] == "LEFT")
    assert os.listdir(fleet.folder / "b") and "error" not in fleet.log("a") + fleet.log("b")


def test_keys_rotate_by_sighup_and_names_are_exclusive(fleet):
    for slot in "ab":
        fleet.start(slot)
    fleet.until(lambda: fleet.all_alive("a", "b"))
    for keys in (KEYS[::-1], KEYS[1:]):
        fleet.write_keys("keys", keys)
        for slot in "ab":
            read = fleet.log(slot).count("read again")
            fleet.running[slot].send_signal(signal.SIGHUP)
            fleet.until(lambda slot=slot, read=read: fleet.log(slot).count("read again") > read)
    fleet.write_keys("old", KEYS[:1])
    fleet.start("c", keys="old")
    fleet.until(lambda: "fleet refused key" in fleet.log("a"))
    assert "DEAD" not in fleet.log("a") + fleet.log("b") and "member c" not in fleet.log("a")
    fleet.start("d", name="b")
    fleet.until(lambda: "fleet-name: " in fleet.log("d"))
    fleet.until(
        lambda: (
            fleet.states("a")["b"] == "ALIVE"
            and fleet.members("a")["b"]["port"] == fleet.members("b")["b"]["port"]
        )
    )
    fleet.write_keys("keys", ["no key"])
    fleet.running["a"].send_signal(signal.SIGHUP)
    fleet.until(lambda: "configuration not taken, the old one stays: fleet-key" in fleet.log("a"))


def test_a_paused_process_returns_without_declaring_others_dead(fleet):
    for slot in "abc":
        fleet.start(slot)
    fleet.until(lambda: fleet.all_alive("a", "b", "c"))
    fleet.running["c"].send_signal(signal.SIGSTOP)
    fleet.until(lambda: fleet.states("a")["c"] == fleet.states("b")["c"] == "DEAD")
    fleet.running["c"].send_signal(signal.SIGCONT)
    fleet.until(lambda: fleet.all_alive("a", "b", "c"))
    assert "DEAD" not in fleet.log("c")
    assert fleet.members("a")["c"]["incarnation"] == fleet.members("c")["c"]["incarnation"]


@pytest.mark.parametrize("more, code", [("nmae = 1", "fleet-config"), ("", "fleet-key")])
def test_invalid_configurations_and_keys_are_named(fleet, more, code):
    fleet.write_keys("keys", [] if code == "fleet-key" else KEYS[:1])
    fleet.start("a", more=more)
    assert fleet.running["a"].wait(TIMEOUT) == 2
    assert fleet.log("a").startswith(f"aspenrill: {code}: ")
