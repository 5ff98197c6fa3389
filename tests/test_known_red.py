"""KNOWN-RED.txt: the parser, and runs of pytest on a generated project that has such a list."""

import shutil
import subprocess
import sys
from pathlib import Path

import known_red
import pytest

MODULE_A = """
import pytest
def test_good(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_bad(n): assert n == 2
def test_left(): pytest.skip("not today")
"""
MODULE_B = """
import pytest
@pytest.fixture
def broken(): raise OSError
def test_setup(broken): pass
"""
FAILING = "tests/test_a.py::test_bad[1]"
SETUP_ERROR = "tests/test_b.py::test_setup"
PASSING = "tests/test_a.py::test_good"
SKIPPED = "tests/test_a.py::test_left"
MISSING_TEST = "tests/test_a.py::test_none"
MISSING_FILE = "tests/test_gone.py::test_c"
XDIST_ARGS = ("-n", "2", "--dist", "loadfile")


def entries(*tests):
    """Lines of the list for these tests."""
    return "".join(f"{test} | it counts wrong | #7\n" for test in tests)


@pytest.mark.parametrize(
    "text, args, exit_status, expected_output",
    [
        (None, (), 1, ["1 failed, 2 passed, 1 skipped, 1 error"]),
        ("# none\n\n", (), 1, ["1 failed, 2 passed, 1 skipped, 1 error"]),
        (
            entries(FAILING, SETUP_ERROR),
            (),
            0,
            ["2 xfailed", f"passed over: {FAILING}: it counts wrong (#7)", f"over: {SETUP_ERROR}"],
        ),
        (
            entries(FAILING, SETUP_ERROR),
            XDIST_ARGS,
            0,
            ["2 xfailed", f"passed over: {FAILING}: it", f"passed over: {SETUP_ERROR}: it"],
        ),
        (entries(FAILING), (), 1, ["1 xfailed", "1 error"]),
        (entries(FAILING, SETUP_ERROR, PASSING), (), 1, [f"FAULT, no longer red: {PASSING}"]),
        (entries(FAILING, SETUP_ERROR, PASSING), XDIST_ARGS, 1, [f"FAULT, no longer red: {PASSING}"]),
        (entries(FAILING, SETUP_ERROR, SKIPPED), (), 1, [f"FAULT, skipped: {SKIPPED}"]),
        (entries(FAILING, SETUP_ERROR, MISSING_TEST), (), 1, [f"FAULT, did not run: {MISSING_TEST}"]),
        (entries(FAILING, SETUP_ERROR, MISSING_FILE), XDIST_ARGS, 1, [f"FAULT, did not run: {MISSING_FILE}"]),
        (
            entries(FAILING, SETUP_ERROR, MISSING_FILE),
            ("tests/test_a.py",),
            0,
            [f"not asked for: {MISSING_FILE}", f"not asked for: {SETUP_ERROR}"],
        ),
        (entries(FAILING, SETUP_ERROR), ("-k", "good"), 0, [f"not asked for: {FAILING}"]),
        (entries(FAILING, SETUP_ERROR, PASSING, SKIPPED), (), 4, ["KNOWN-RED.txt: 4 tests, 3 at most"]),
        ("tests/a.py::b\n", XDIST_ARGS, 4, ["KNOWN-RED.txt: line 1"]),
    ],
)
def test_run_applies_the_list(tmp_path, text, args, exit_status, expected_output):
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(Path(__file__).with_name(name), tests)
    (tests / "test_a.py").write_text(MODULE_A)
    (tests / "test_b.py").write_text(MODULE_B)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if text is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert completed.returncode == exit_status, completed.stdout + completed.stderr
    assert [
        expected for expected in expected_output if expected not in completed.stdout + completed.stderr
    ] == [], completed.stdout


@pytest.mark.parametrize(
    "text, message",
    [
        ("a.py::b | cause", "line 1"),
        ("\na.py::b |  | #1", "line 2"),
        ("a.py | cause | #1", "line 1"),
        (entries("a.py::b", "a.py::b"), "line 2"),
        (entries(*(f"a.py::{n}" for n in range(4))), "3 at most"),
    ],
)
def test_parse_reports_the_faulty_line(text, message):
    with pytest.raises(ValueError, match=message):
        known_red.parse(text)


def test_parse_returns_the_entries():
    assert known_red.parse("") == []
    assert known_red.parse("# a\n\n" + entries("a.py::b[1, 2]")) == [
        ("a.py::b[1, 2]", "it counts wrong", "#7")
    ]


@pytest.mark.parametrize(
    "arg, selected",
    [
        ("tests", True),
        (".", True),
        ("tests/test_a.py", True),
        ("tests/test_a.py::test_bad", True),
        (FAILING, True),
        ("tests/test_b.py", False),
        ("tests/test_a.py::test_ba", False),
        ("tests/test_a.py::test_bad[2]", False),
    ],
)
def test_is_selected(tmp_path, arg, selected):
    assert known_red.is_selected(FAILING, [arg], tmp_path, tmp_path) is selected
