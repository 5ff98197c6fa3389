"""The record of a case, its processes, and its exit code."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 9, 2  # exit codes; run.sh makes 1 of 9, so that no traceback counts as a break


class NotRun(Exception):
    """The case could not run: no verdict."""


class Record:
    """Lines of `record.txt`, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began, self.lock = time.monotonic(), threading.Lock()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
            self.file.flush()


def free_port() -> int:
    """Return a port that is free now on loopback."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Case:
    """One run of a case: its folder, temporary folder and processes. `trouble`: with the disruption."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.record(f"the disruption is {'on' if self.trouble else 'off (TROUBLE=0)'}")

    def tree(self, name: str, **deploy_files: str) -> Path:
        """A copy of the program whose `deploy/` has other texts in the files named: `sources`, `fleet`."""
        root = self.temporary / name
        skip = shutil.ignore_patterns("__pycache__")
        for part in ("aspenrill", "deploy"):
            shutil.copytree(REPOSITORY / part, root / part, ignore=skip)
        for file, text in deploy_files.items():
            (root / "deploy" / f"{file}.toml").write_text(text)
        (root / ".venv").symlink_to(REPOSITORY / ".venv")
        return root

    def start(self, name: str, config: dict, root: Path = REPOSITORY) -> None:
        """Start a front end by `run` of the deploy file, from the root of the program."""
        if not (REPOSITORY / ".venv" / "bin" / "python").exists():
            raise NotRun("the build of the deploy file is missing")
        run = tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text())["run"]
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(config))
        private = self.temporary / f"{name}.tmp"
        private.mkdir()
        environment = os.environ | {
            "NODE_NAME": name,
            "NODE_LISTEN": config["listen"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log_path(name), "ab") as log:
            self.processes[name] = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=root, env=environment, stdout=log, stderr=log
            )
        self.record(f"{name} started")

    def log_path(self, name: str) -> Path:
        """Where a process writes its log."""
        return self.temporary / f"{name}.log"

    def log(self, name: str) -> str:
        """What a process has logged."""
        return self.log_path(name).read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.record(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def until(self, holds: Callable[[], bool], seconds: float, what: str) -> None:
        """Wait for a condition. NotRun if it does not hold in time."""
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end:
                raise NotRun(f"not in {seconds:g} s: {what}")
            time.sleep(0.02)

    def check_alive(self) -> None:
        """NotRun if a process has ended: another fault than the one looked for."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise NotRun(f"{name} ended with {process.returncode}: {self.log(name)[-500:]}")

    def close(self) -> None:
        """End all processes, copy their logs to the record and remove the temporary folder."""
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            for line in self.log(name).splitlines()[-60:]:
                self.record(f"log of {name}: {line}")
        shutil.rmtree(self.temporary, ignore_errors=True)


def _stop(*_: object) -> None:
    raise NotRun("it took too long")


def play(file: str, scene: Callable[[Case], list[str]]) -> None:
    """Play a case and exit: BROKEN if `scene` returns breaks, HELD if none, NOT_RUN if it failed."""
    case, code = Case(Path(file).resolve().parent), NOT_RUN
    signal.signal(signal.SIGTERM, _stop)  # of `timeout` in run.sh: all processes are ended all the same
    try:
        breaks = scene(case)
        case.check_alive()
        for text in breaks[:20]:
            case.record(f"BROKEN: {text}")
        code = BROKEN if breaks else HELD
        verdict = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
    except Exception as why:
        verdict = f"not run: {type(why).__name__} {why}"
    finally:
        case.close()
    case.record(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)  # threads of stand-ins may still wait
