"""The folder for operators' purges, and the state file.

A file is read at SIGHUP, and renamed to `.done` once its purge is on disk (`Accepted`). After a crash between
the two the file is read again: it is the same purge by its tag, or a second one if the first was complete,
which is harmless.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ...errors import PurgeFileTrouble
from ..atomic_file import write_atomically
from .orders import Order, parse

MAX_FILES = 20  # files read at one SIGHUP; the remaining ones are read at the next
MAX_FILE_BYTES = 16384  # bytes of a file


class Folder:
    """Reads purge files and tracks those whose purges are not on disk. `log` takes a line."""

    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        self.path, self.log = Path(path), log
        self.pending: dict[str, Path] = {}

    def read(self, classes: Sequence[str]) -> list[Order]:
        """The orders of all `*.toml` files, sorted by name. A bad file is logged and stays in place."""
        orders: list[Order] = []
        try:
            files = sorted(path for path in self.path.iterdir() if path.suffix == ".toml")
        except OSError as error:
            self.log(PurgeFileTrouble(f"{self.path}: {error.strerror}").line())
            return []
        self.pending.clear()
        if len(files) > MAX_FILES:
            self.log(f"purges: {len(files)} files in {self.path}; {MAX_FILES} are read, send SIGHUP again")
        for path in files[:MAX_FILES]:
            try:
                with path.open("rb") as file:
                    content = file.read(MAX_FILE_BYTES + 1)
                if len(content) > MAX_FILE_BYTES:
                    raise PurgeFileTrouble(f"{path.name}: more than {MAX_FILE_BYTES} bytes")
                order = parse(path.name, content, classes)
            except OSError as error:
                self.log(PurgeFileTrouble(f"{path.name}: {error.strerror}").line())
            except PurgeFileTrouble as error:
                self.log(error.line())
            else:
                self.pending[order.tag] = path
                orders.append(order)
        return orders

    def accepted(self, tag: str) -> None:
        """Renames the file of a purge that is on disk."""
        path = self.pending.pop(tag, None)
        if path is not None:
            try:
                os.replace(path, path.with_name(path.name + ".done"))
            except OSError as error:
                self.log(
                    PurgeFileTrouble(f"{path.name}: read, but cannot be renamed: {error.strerror}").line()
                )


def write_state(path: str, report: dict[str, Any]) -> None:
    """Writes a report as a JSON file atomically. Raises DiskTrouble."""
    write_atomically(Path(path), json.dumps(report, indent=1).encode())
