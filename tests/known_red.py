"""Parser of KNOWN-RED.txt, the list of tests known to fail: lines `test | cause | issue`, three at most.

The test is given by its pytest node id (`tests/test_x.py::test_y[case]`). Empty lines and lines that begin
with # are skipped. conftest.py marks the listed tests as expected failures.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    """An entry of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Parse the entries, in order. ValueError names a malformed line, or reports too many entries."""
    entries: list[KnownFailure] = []
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        columns = [part.strip() for part in line.split(" | ")]
        if len(columns) != 3 or not all(columns) or "::" not in columns[0]:
            raise ValueError(f"line {line_number}: not of the form FILE::TEST | cause | issue")
        if any(columns[0] == known.test for known in entries):
            raise ValueError(f"line {line_number}: {columns[0]} is listed twice")
        entries.append(KnownFailure(*columns))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} tests, {MAX_ENTRIES} at most")
    return entries


def is_selected(test: str, args: Iterable[str], root: Path, folder: Path) -> bool:
    """Whether pytest arguments, relative to `folder`, select a test whose node id is relative to `root`."""
    file, _, name = test.partition("::")
    for arg in args:
        file_given, _, test_given = arg.partition("::")
        path_given = (folder / file_given).resolve()
        if path_given in ((root / file).resolve(), *(root / file).resolve().parents):
            if not test_given or name == test_given or name.startswith((test_given + "::", test_given + "[")):
                return True
    return False
