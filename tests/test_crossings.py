"""docs/design/crossings.md, the table of concurrent events, refers only to code and tests that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "design" / "crossings.md").read_text(encoding="utf-8")


def function_names(path: Path) -> set[str]:
    """Functions of a file, and methods as Class.method."""
    names = set()
    for node in ast.parse(path.read_text(encoding="utf-8")).body:
        members = node.body if isinstance(node, ast.ClassDef) else ()
        names |= {f"{node.name}.{member.name}" for member in members if isinstance(member, ast.FunctionDef)}
        names |= {node.name} if isinstance(node, ast.FunctionDef) else set()
    return names


def test_functions_and_tests_that_the_page_names_exist():
    code = re.findall(r"`([a-z_/]+\.py):([\w.]+)`", PAGE)
    tests = re.findall(r"`(test_\w+):(test_\w+)`", PAGE)
    missing = [name for file, name in code if name not in function_names(ROOT / "aspenrill" / file)]
    missing += [name for file, name in tests if name not in function_names(ROOT / "tests" / f"{file}.py")]
    assert len(code) > 60 and len(tests) > 50 and not missing, missing


def test_each_row_names_its_evidence():
    rows = [line.split(" | ") for line in PAGE.splitlines() if line.startswith("| ") and "---" not in line]
    rows_without_evidence = [
        row[0]
        for row in rows
        if row[0] != "| the two events"
        and not re.search(r"`test_\w+:test_\w+`|same test|by reading|open:|not shown", row[-1])
    ]
    assert len(rows) > 60 and not rows_without_evidence, rows_without_evidence
