"""The page docs/operations/errors.md lists exactly the error types of the program."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from aspenrill import errors

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operations" / "errors.md"
TABLE_ROW = re.compile(r"^\| `([^`]+)` \| `([^`]+)` \|((?: [^|]+ \|){3})$", re.M)


def subclasses_in(sources: dict[str, str]) -> dict[str, str]:
    """Each direct or indirect subclass of Trouble, and the file that defines it."""
    classes: list[tuple[str, str, set[str]]] = []
    for path, text in sources.items():
        tree = ast.parse(text)
        imported_names = {
            name.asname: name.name
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom)
            for name in node.names
            if name.asname
        }
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                found = {ast.unparse(base).split(".")[-1] for base in node.bases}
                classes.append((node.name, path, {imported_names.get(name, name) for name in found}))
    error_files, previous_count = {"Trouble": "aspenrill/errors.py"}, 0
    while len(error_files) > previous_count:
        previous_count = len(error_files)
        error_files |= {
            name: path
            for name, path, base_names in classes
            if base_names & error_files.keys() and name not in error_files
        }
    del error_files["Trouble"]
    return error_files


def program_sources() -> dict[str, str]:
    return {str(p.relative_to(ROOT)): p.read_text() for p in sorted((ROOT / "aspenrill").rglob("*.py"))}


def error_types() -> list[type[errors.Trouble]]:
    return [
        t
        for t in vars(errors).values()
        if isinstance(t, type) and issubclass(t, errors.Trouble) and t is not errors.Trouble
    ]


def test_all_types_are_defined_in_one_module():
    found = subclasses_in(program_sources())
    assert found.keys() == {t.__name__ for t in error_types()}
    assert set(found.values()) == {"aspenrill/errors.py"}


def test_types_defined_in_other_modules_are_detected():
    extra_sources = {
        "aspenrill/a.py": "from .errors import WireTrouble as W\nclass Odd(W): ...\n",
        "aspenrill/b.py": "from . import a\nclass Odder(a.Odd): ...\n",
    }
    found = subclasses_in(program_sources() | extra_sources)
    assert (found["Odd"], found["Odder"]) == ("aspenrill/a.py", "aspenrill/b.py")


def test_the_page_lists_exactly_the_defined_types_and_codes():
    rows = TABLE_ROW.findall(PAGE.read_text())
    table = [line for line in PAGE.read_text().splitlines() if line.startswith("|")]
    assert len(rows) == len(table) - 2, "a table row that does not match"
    assert [(code, name) for code, name, _ in rows] == [(t.code, t.__name__) for t in error_types()]


@pytest.mark.parametrize("error_type", error_types(), ids=lambda t: t.__name__)
def test_each_log_line_has_code_and_remedy(error_type):
    assert re.fullmatch(r"fleet-[a-z-]+", error_type.code) and len(error_type.remedy) > 20
    assert [t for t in error_types() if t.code == error_type.code] == [error_type], "one code, two types"
    assert (
        error_type("field: what happened").line()
        == f"{error_type.code}: field: what happened; {error_type.remedy}"
    )
