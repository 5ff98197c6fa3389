"""Front ends that know of each other: `deploy/fleet.toml` of each, with kept answers and purges."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from .client import is_well
from .engine import Engine
from .platform import Bulletin, configuration
from .record import Case, NotRun, free_port

SECONDS_KEPT = 30.0


class Fleet:
    """Three front ends, each a voter, which keep answers of par-lookup. `lease`: of kept answers."""

    def __init__(self, case: Case, engines: list[Engine], bulletin: Bulletin, lease: float = 6.0) -> None:
        self.case, self.names = case, ["n0", "n1", "n2"]
        self.address = {name: ("127.0.0.1", free_port()) for name in self.names}
        keys = case.temporary / "keys"
        keys.write_text("ab" * 32 + "\n")
        keys.chmod(0o600)
        ports = {name: free_port() for name in self.names}
        seeds = ", ".join(f'"127.0.0.1:{port}"' for port in ports.values())
        for me, name in enumerate(self.names):
            self.folder(name).mkdir()
            text = f'''
enabled = true
name = "{name}"
fleet = "plant"
listen = "127.0.0.1:{ports[name]}"
seeds = [{seeds}]
key_file = "{keys}"
state = "{case.temporary / name}.state"
place = "plant/{name}/hall"
voters = ["n0", "n1", "n2"]
front_ends = 3

[authority]
enabled = true

[kept]
enabled = true
[[kept.class]]
name = "par-lookup"
seconds = {SECONDS_KEPT}

[purges]
enabled = true
lease_s = {lease}
folder = "{self.folder(name)}"
state = "{case.temporary / name}.purges.json"
'''
            root = case.tree(f"tree-{name}", fleet=text)
            case.start(name, configuration(self.address[name][1], bulletin.port, engines, 3, me), root)
        case.until(lambda: all(map(self._has_begun, self.names)), 30, "the front ends are ready")
        case.until(
            lambda: any("authority settled" in case.log(name) for name in self.names), 40, "a coordinator"
        )

    def _has_begun(self, name: str) -> bool:
        process = self.case.processes[name]
        if process.poll() is not None:
            raise NotRun(f"{name} did not start: {self.case.log(name)[-500:]}")
        return is_well(self.address[name])

    def folder(self, name: str) -> Path:
        """The folder for an operator's purges at one front end."""
        return self.case.temporary / f"{name}.purges"

    def open_purges(self, name: str) -> int:
        """How many purges of a front end its state file tells as not complete."""
        try:
            return len(json.loads((self.case.temporary / f"{name}.purges.json").read_text())["open"])
        except FileNotFoundError:
            return 0

    def purge(self, name: str, file: str, text: str) -> None:
        """Put a file into the folder for purges, send SIGHUP, and wait until it is taken."""
        path, done = self.folder(name) / file, self.folder(name) / f"{file}.done"
        done.unlink(missing_ok=True)
        draft = self.case.temporary / "draft"
        draft.write_text(text)
        draft.rename(path)
        self.case.record(f"operator: {file} is in the folder of {name}")
        self.case.signal(name, signal.SIGHUP)
        self.case.until(done.exists, 10, f"{file} is taken")
        self.case.record(f"operator: {file}.done: the purge is on the disk of {name}")

    def coordinator(self) -> str:
        """The front end that coordinates."""
        for name in self.names:
            said = [line for line in self.case.log(name).splitlines() if " authority " in f" {line}"]
            if any("authority settled" in line for line in said) and "authority rests" not in said[-1]:
                return name
        raise NotRun("nobody coordinates")

    def completed(self, name: str) -> int:
        """How many purges that began at a front end it has reported complete."""
        return sum(
            f"purge {name}/" in line and line.endswith(" complete")
            for line in self.case.log(name).splitlines()
        )
