"""The folder for operators' purges and the state file: all that purges do on disk beside their records.

A file is read at SIGHUP, and renamed to `.done` once its purge is on disk (`Accepted`). A crash between the
two has the file read again: the same purge by its tag, or once more if it was complete, which does no harm.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ...errors import PurgeFileTrouble
from ..whole import write_whole
from .orders import Order, parse

MOST_FILES = 20  # that one SIGHUP takes; the rest waits for the next
MOST_SIZE = 16384  # bytes of one


class Folder:
    """Files that are being done, by the tag of their orders. `log` takes a line."""

    def __init__(self, path: str, log: Callable[[str], None]) -> None:
        self.path, self.log = Path(path), log
        self.doing: dict[str, Path] = {}

    def read(self, classes: Sequence[str]) -> list[Order]:
        """The orders of all files `*.toml`, by name. A bad file is one line in the log, and stays."""
        orders: list[Order] = []
        try:
            files = sorted(path for path in self.path.iterdir() if path.suffix == ".toml")
        except OSError as why:
            self.log(PurgeFileTrouble(f"{self.path}: {why.strerror}").line())
            return []
        self.doing.clear()
        if len(files) > MOST_FILES:
            self.log(f"purges: {len(files)} files in {self.path}; {MOST_FILES} are taken, send SIGHUP again")
        for path in files[:MOST_FILES]:
            try:
                with path.open("rb") as file:
                    content = file.read(MOST_SIZE + 1)
                if len(content) > MOST_SIZE:
                    raise PurgeFileTrouble(f"{path.name}: more than {MOST_SIZE} bytes")
                order = parse(path.name, content, classes)
            except OSError as why:
                self.log(PurgeFileTrouble(f"{path.name}: {why.strerror}").line())
            except PurgeFileTrouble as why:
                self.log(why.line())
            else:
                self.doing[order.tag] = path
                orders.append(order)
        return orders

    def accepted(self, tag: str) -> None:
        """Its purge is on disk: the file is done with."""
        path = self.doing.pop(tag, None)
        if path is not None:
            try:
                os.replace(path, path.with_name(path.name + ".done"))
            except OSError as why:
                self.log(PurgeFileTrouble(f"{path.name}: done, but cannot be renamed: {why.strerror}").line())


def write_state(path: str, found: dict[str, Any]) -> None:
    """A report as a JSON file, whole or not at all. Raises DiskTrouble."""
    write_whole(Path(path), json.dumps(found, indent=1).encode())
