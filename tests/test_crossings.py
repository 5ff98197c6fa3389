"""The page of crossings names code and tests that are there."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "design" / "crossings.md").read_text(encoding="utf-8")


def names(path: Path) -> set[str]:
    """Functions of a file, and methods behind their class."""
    found = set()
    for node in ast.parse(path.read_text(encoding="utf-8")).body:
        inner = node.body if isinstance(node, ast.ClassDef) else ()
        found |= {f"{node.name}.{part.name}" for part in inner if isinstance(part, ast.FunctionDef)}
        found |= {node.name} if isinstance(node, ast.FunctionDef) else set()
    return found


def test_each_function_and_each_test_that_the_page_names_is_there():
    code = re.findall(r"`([a-z_/]+\.py):([\w.]+)`", PAGE)
    tests = re.findall(r"`(test_\w+):(test_\w+)`", PAGE)
    missing = [name for file, name in code if name not in names(ROOT / "aspenrill" / file)]
    missing += [name for file, name in tests if name not in names(ROOT / "tests" / f"{file}.py")]
    assert len(code) > 60 and len(tests) > 50 and not missing, missing


def test_each_row_says_by_what_it_is_shown():
    rows = [line.split(" | ") for line in PAGE.splitlines() if line.startswith("| ") and "---" not in line]
    bare = [
        row[0]
        for row in rows
        if row[0] != "| the two events"
        and not re.search(r"`test_\w+:test_\w+`|same test|by reading|open:|not shown", row[-1])
    ]
    assert len(rows) > 60 and not bare, bare
