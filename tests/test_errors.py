"""Types of errors and the page that lists them say the same."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from aspenrill import errors

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operations" / "errors.md"
ROW = re.compile(r"^\| `([^`]+)` \| `([^`]+)` \|((?: [^|]+ \|){3})$", re.M)


def subclasses_in(sources: dict[str, str]) -> dict[str, str]:
    """Each type that derives from Trouble, directly or not, and the file that defines it."""
    bases: list[tuple[str, str, set[str]]] = []
    for path, text in sources.items():
        tree = ast.parse(text)
        alias = {
            name.asname: name.name
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom)
            for name in node.names
            if name.asname
        }
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                found = {ast.unparse(base).split(".")[-1] for base in node.bases}
                bases.append((node.name, path, {alias.get(name, name) for name in found}))
    known, before = {"Trouble": "aspenrill/errors.py"}, 0
    while len(known) > before:
        before = len(known)
        known |= {name: path for name, path, above in bases if above & known.keys() and name not in known}
    del known["Trouble"]
    return known


def the_sources() -> dict[str, str]:
    return {str(p.relative_to(ROOT)): p.read_text() for p in sorted((ROOT / "aspenrill").rglob("*.py"))}


def types() -> list[type[errors.Trouble]]:
    return [
        t
        for t in vars(errors).values()
        if isinstance(t, type) and issubclass(t, errors.Trouble) and t is not errors.Trouble
    ]


def test_all_types_are_defined_in_one_module():
    found = subclasses_in(the_sources())
    assert found.keys() == {t.__name__ for t in types()}
    assert set(found.values()) == {"aspenrill/errors.py"}


def test_a_type_defined_elsewhere_is_found():
    planted = {
        "aspenrill/a.py": "from .errors import WireTrouble as W\nclass Odd(W): ...\n",
        "aspenrill/b.py": "from . import a\nclass Odder(a.Odd): ...\n",
    }
    found = subclasses_in(the_sources() | planted)
    assert (found["Odd"], found["Odder"]) == ("aspenrill/a.py", "aspenrill/b.py")


def test_the_page_lists_each_type_under_its_code_and_nothing_else():
    rows = ROW.findall(PAGE.read_text())
    table = [line for line in PAGE.read_text().splitlines() if line.startswith("|")]
    assert len(rows) == len(table) - 2, "a row that is not read"
    assert [(code, name) for code, name, _ in rows] == [(t.code, t.__name__) for t in types()]


@pytest.mark.parametrize("trouble", types(), ids=lambda t: t.__name__)
def test_each_line_names_code_and_remedy(trouble):
    assert re.fullmatch(r"fleet-[a-z-]+", trouble.code) and len(trouble.remedy) > 20
    assert [t for t in types() if t.code == trouble.code] == [trouble], "one code, two types"
    assert trouble("field: what happened").line() == f"{trouble.code}: field: what happened; {trouble.remedy}"
