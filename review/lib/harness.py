"""Starts a front end by the deploy file's own command, with its stand-ins, and ends all of them."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from .clients import Client, Sent

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_WITHIN = 30.0  # seconds
NS = 1_000_000_000


def query_class(
    name: str, effect: str, target: float, stretch: float, deadline: float, worth: float
) -> dict[str, object]:
    """A class of the settings. Times are in seconds."""
    return {
        "name": name,
        "effect": effect,
        "on_time_ns": int(target * NS),
        "aim_stretch": stretch,
        "give_up_ns": int(deadline * NS),
        "value": worth,
        "late_share": 0.3,
        "stream": False,
        "dedup_scope": "all",
        "window_ns": 15 * NS,
    }


# A deployment of one building with one front end: figures of the classes as the brief gives them.
SETTINGS: dict[str, Any] = {
    "areas": ["north"],
    "kinds": ["eight-core"],
    "classes": [
        query_class("par-lookup", "repeatable", 1.0, 1.5, 5.0, 1.0),
        query_class("usage-report", "repeatable", 1.5, 2.5, 20.0, 8.0),
        query_class("scan-load", "by_key", 3.0, 3.0, 25.0, 12.0),
    ],
    "tenants": [{"name": "core", "quota_per_s": 100.0, "share": 1.0}],
    "discovery": "push",
    "group_size": 1,
    "me": 0,
    "tier": 0,
    "zone": 0,
    "weights": "nominal",
    "over_share_worth": 0.1,
    "family_info": {
        "cores_by_kind": [8],
        "kind_memory_mb": [16384.0],
        "dop": [1, 2, 2],
        "is_load": [False, False, True],
        "waits_for_loads": [False, False, False],
        "grant_cap": 0.4,
        "grants_count": False,
        "lanes_count": True,
        "note_period_ns": NS // 2,
        "says_cost": True,
        "on_shortage": "page",
    },
    "stats": {"fields": ["load_share", "depth", "x0", "x1"], "how": "pull"},
    "limits": {
        "cancel": True,
        "may_probe": True,
        "may_duplicate": False,
        "most_tries": 5,
        "max_open": 20000,
        "max_streams": 100,
        "conn_idle_ns": 30 * NS,
        "connect_timeout_ns": NS // 4,
        "max_retry_after_ns": 2 * NS,
        "peers": False,
        "retry_after": False,
    },
    "guarantees": {
        "cold_ns": 12 * NS,
        "start_capacity": 0.31,
        "fall_multiple": 2.5,
        "fall_ns": 3 * NS // 2,
        "drain_grace_ns": NS // 2,
        "grace_to_answer_ns": 20_000_000,
    },
    "prices": {"probe": 0.0092, "waste": 0.08, "late_fail": 0.059},
}


class NotRun(Exception):
    """The case could not run."""


class Case:
    """The processes and the record of one run. `folder`: the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record_file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[Any]] = []
        self.began = time.time()
        self.address = ("127.0.0.1", 0)

    def record(self, text: str, at: float | None = None) -> None:
        """Write a line to the record, with the seconds since the begin."""
        self.record_file.write(f"{(at or time.time()) - self.began:8.3f}  {text}\n")

    # ---- processes ------------------------------------------------------------------------------------

    def standin(self, name: str, *arguments: object) -> Any:
        """Start a stand-in; returns what it prints when it is ready."""
        process = subprocess.Popen(
            [sys.executable, "-m", f"review.lib.{name}", *map(str, arguments)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        line = process.stdout.readline()
        if not line:
            raise NotRun(f"stand-in {name} did not start")
        return json.loads(line)

    def engines(self, count: int, *arguments: object) -> list[int]:
        """Start the engines; returns their ports."""
        return self.standin("engines", count, self.path / "engines.jsonl", *arguments)

    def front_end(self, ports: Sequence[int], settings: dict[str, Any]) -> None:
        """Start the front end by the command of the deploy file, and wait until it is well."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        bulletin = self.standin("bulletin")
        hosts = [
            {
                "host": f"s-{number:08x}",
                "dial": f"127.0.0.1:{port}",
                "site": settings["areas"][0],
                "class": settings["kinds"][0],
                "block": 0,
                "health": "in_service",
                "share": 1,
                "born_ms": 0,
            }
            for number, port in enumerate(ports, 1)
        ]
        configuration = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"127.0.0.1:{bulletin}",
            "known": {"no": 1, "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}]},
            "settings": settings,
        }
        (self.path / "config.json").write_text(json.dumps(configuration))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "NODE_CONFIG": str(self.path / "config.json"),
            "NODE_NAME": "n1",
            "NODE_LISTEN": configuration["listen"],
        }
        with open(self.path / "front.log", "ab") as log:
            process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stderr=log)
        self.processes.append(process)
        until = time.time() + READY_WITHIN
        while time.time() < until and process.poll() is None:
            with contextlib.suppress(OSError):
                client = Client(self.address)
                if client.is_well(5.0):
                    client.close()
                    return self.record("the front end is well")
                client.close()
            time.sleep(0.05)
        raise NotRun(f"the front end was not ready: {self.log()}")

    def log(self) -> str:
        """What the front end has logged."""
        path = self.path / "front.log"
        return path.read_text() if path.exists() else ""

    def engine_events(self) -> list[dict[str, Any]]:
        """What the engines have recorded so far, in order."""
        path = self.path / "engines.jsonl"
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    def close(self) -> None:
        """End all processes of the case."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            try:
                process.wait(6.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.temporary.cleanup()
        self.record_file.close()

    # ---- the record -----------------------------------------------------------------------------------

    def record_all(self, requests: Sequence[Sent]) -> None:
        """Write what was sent, answered and run, in the order of time."""
        lines = []
        for sent in requests:
            lines.append((sent.sent_at, f"client sends {sent.ident} {sent.cls} {sent.statement[:60]!r}"))
            if sent.answered_at:
                found = f" {sent.body[:60]!r}" if sent.body else ""
                lines.append((sent.answered_at, f"client gets {sent.ident} {sent.answer}{found}"))
        for event in self.engine_events():
            more = {key: value for key, value in event.items() if key not in ("at", "engine", "what")}
            lines.append((event["at"], f"engine {event['engine']} {event['what']} {more}"))
        for at, line in sorted(lines):
            self.record(line, at)
        self.record("log of the front end:")
        for line in self.log().splitlines()[-80:]:
            self.record_file.write(f"    {line}\n")


def run(folder: Path, test: Callable[[Case], str | None]) -> int:
    """Run a test, which returns what broke the rule, or None. Returns the exit code."""
    case = Case(folder)
    case.record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    code = NOT_RUN
    try:
        broken = test(case)
        code = HELD if broken is None else BROKEN
        verdict = "the rule held" if broken is None else f"the rule was broken: {broken}"
        case.record(verdict)
        print(verdict)
    except Exception as why:
        case.record(f"the case could not run: {why!r}")
        print(f"the case could not run: {why!r}", file=sys.stderr)
    finally:
        case.close()
    return code
