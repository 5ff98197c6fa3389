"""KNOWN-RED.txt: read, and heeded by a run of pytest in a folder of its own."""

import shutil
import subprocess
import sys
from pathlib import Path

import known_red
import pytest

A = """
import pytest
def test_good(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_bad(n): assert n == 2
def test_left(): pytest.skip("not today")
"""
B = """
import pytest
@pytest.fixture
def broken(): raise OSError
def test_setup(broken): pass
"""
BAD, SETUP, GOOD = "tests/test_a.py::test_bad[1]", "tests/test_b.py::test_setup", "tests/test_a.py::test_good"
LEFT, NONE, GONE = "tests/test_a.py::test_left", "tests/test_a.py::test_none", "tests/test_gone.py::test_c"
XDIST = ("-n", "2", "--dist", "loadfile")


def line(*tests):
    return "".join(f"{test} | it counts wrong | #7\n" for test in tests)


@pytest.mark.parametrize(
    "text, args, code, said",
    [
        (None, (), 1, ["1 failed, 2 passed, 1 skipped, 1 error"]),
        ("# none\n\n", (), 1, ["1 failed, 2 passed, 1 skipped, 1 error"]),
        (
            line(BAD, SETUP),
            (),
            0,
            ["2 xfailed", f"passed over: {BAD}: it counts wrong (#7)", f"over: {SETUP}"],
        ),
        (line(BAD, SETUP), XDIST, 0, ["2 xfailed", f"passed over: {BAD}: it", f"passed over: {SETUP}: it"]),
        (line(BAD), (), 1, ["1 xfailed", "1 error"]),
        (line(BAD, SETUP, GOOD), (), 1, [f"FAULT, no longer red: {GOOD}"]),
        (line(BAD, SETUP, GOOD), XDIST, 1, [f"FAULT, no longer red: {GOOD}"]),
        (line(BAD, SETUP, LEFT), (), 1, [f"FAULT, skipped: {LEFT}"]),
        (line(BAD, SETUP, NONE), (), 1, [f"FAULT, did not run: {NONE}"]),
        (line(BAD, SETUP, GONE), XDIST, 1, [f"FAULT, did not run: {GONE}"]),
        (
            line(BAD, SETUP, GONE),
            ("tests/test_a.py",),
            0,
            [f"not asked for: {GONE}", f"not asked for: {SETUP}"],
        ),
        (line(BAD, SETUP), ("-k", "good"), 0, [f"not asked for: {BAD}"]),
        (line(BAD, SETUP, GOOD, LEFT), (), 4, ["KNOWN-RED.txt: 4 tests, 3 at most"]),
        ("tests/a.py::b\n", XDIST, 4, ["KNOWN-RED.txt: line 1"]),
    ],
)
def test_run_heeds_the_list(tmp_path, text, args, code, said):
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(Path(__file__).with_name(name), tests)
    (tests / "test_a.py").write_text(A)
    (tests / "test_b.py").write_text(B)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if text is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(text)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert run.returncode == code, run.stdout + run.stderr
    assert [word for word in said if word not in run.stdout + run.stderr] == [], run.stdout


@pytest.mark.parametrize(
    "text, fault",
    [
        ("a.py::b | cause", "line 1"),
        ("\na.py::b |  | #1", "line 2"),
        ("a.py | cause | #1", "line 1"),
        (line("a.py::b", "a.py::b"), "line 2"),
        (line(*(f"a.py::{n}" for n in range(4))), "3 at most"),
    ],
)
def test_parse_names_the_fault(text, fault):
    with pytest.raises(ValueError, match=fault):
        known_red.parse(text)


def test_parse_gives_the_entries():
    assert known_red.parse("") == []
    assert known_red.parse("# a\n\n" + line("a.py::b[1, 2]")) == [("a.py::b[1, 2]", "it counts wrong", "#7")]


@pytest.mark.parametrize(
    "arg, asked",
    [
        ("tests", True),
        (".", True),
        ("tests/test_a.py", True),
        ("tests/test_a.py::test_bad", True),
        (BAD, True),
        ("tests/test_b.py", False),
        ("tests/test_a.py::test_ba", False),
        ("tests/test_a.py::test_bad[2]", False),
    ],
)
def test_is_asked(tmp_path, arg, asked):
    assert known_red.is_asked(BAD, [arg], tmp_path, tmp_path) is asked
