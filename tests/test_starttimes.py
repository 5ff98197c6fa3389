"""Start times of engines on the monotonic clock under wrong wall clocks, and who may read a wall clock."""

from __future__ import annotations

import ast
import math
from dataclasses import replace
from pathlib import Path

import pytest

from aspenrill.api import EngineState
from aspenrill.members import EngineListUpdate, Member
from aspenrill.starttimes import StartTimes

ROOT = Path(__file__).resolve().parent.parent
UNIX_AT_ZERO = 1_700_000_000.0  # Unix time when the monotonic clock is 0
WALL_CLOCK_FILES = {
    "aspenrill/starttimes.py",
    "aspenrill/net/wallclock.py",
    "aspenrill/fleet/components.py",
    "aspenrill/fleet/service.py",
}  # in order: an upper bound, the log, the hour of UTC, an incarnation
WALL_CLOCK_CALLS = {"time", "time_ns", "localtime", "gmtime", "ctime", "strftime"}


def member(name: str, born: float, port: int = 1) -> Member:
    """A member that started at that time of the monotonic clock; 0: long ago."""
    return Member(name, ("127.0.0.1", port), EngineState.LIVE, started=UNIX_AT_ZERO + born if born else 0.0)


def make_start_times(wall_error: float = 0.0, max_engines: int = 100, delay: float = 0.0) -> StartTimes:
    return StartTimes(max_engines, delay, wall=UNIX_AT_ZERO + 100.0 + wall_error, now=100.0)


def convert(start_times: StartTimes, now: float, *members: Member) -> list[float]:
    return [m.started for m in start_times.convert_members(now, members)]


WALL_CLOCK_ERRORS = [0.0, 5.0, -5.0, 3600.0, -3600.0, 86400.0 * 365, -UNIX_AT_ZERO]


@pytest.mark.parametrize("wall_error", WALL_CLOCK_ERRORS)
def test_a_start_reported_at_once_is_converted_exactly(wall_error):
    start_times = make_start_times(wall_error)
    if wall_error >= 0:
        assert convert(start_times, 200.0, member("a", 200.0)) == pytest.approx([200.0])
    else:
        assert convert(start_times, 200.0, member("a", 200.0)) == [200.0]


@pytest.mark.parametrize("delay", [0.0, 6.0])
@pytest.mark.parametrize("wall_error", WALL_CLOCK_ERRORS)
def test_a_start_is_at_most_the_report_delay_too_early_and_never_in_the_future(wall_error, delay):
    start_times = make_start_times(wall_error, delay=delay)
    for now, born, port in (
        (100.0, 40.0, 1),
        (100.0, 90.0, 2),
        (104.0, 101.0, 3),
        (106.0, 106.0, 4),
        (130.0, 108.0, 5),
    ):
        at = convert(start_times, now, member(f"e{port}", born, port))[0]
        assert born - delay * (wall_error > 0) - 1e-6 <= at <= now


@pytest.mark.parametrize("report_delay", [0.0, 3.0, 6.0])
def test_with_a_correct_wall_clock_late_reports_are_converted_exactly(report_delay):
    start_times = make_start_times(delay=6.0)
    assert convert(start_times, 200.0 + report_delay, member("a", 200.0)) == pytest.approx([200.0])


def test_in_the_first_list_the_latest_start_is_at_most_the_report_delay_ago():
    start_times = make_start_times(delay=6.0)
    assert convert(start_times, 100.0, member("a", 20.0, 1), member("b", 95.0, 2)) == pytest.approx(
        [20.0, 95.0]
    )
    start_times = make_start_times(delay=6.0)
    assert convert(start_times, 100.0, member("a", 20.0, 1), member("b", 60.0, 2)) == pytest.approx(
        [54.0, 94.0]
    )


def test_an_offset_learned_from_a_prompt_report_applies_to_late_reports():
    start_times = make_start_times(3600.0)
    convert(start_times, 200.0, member("a", 199.9, 1))
    assert convert(start_times, 260.0, member("b", 230.0, 2)) == pytest.approx([230.1])


def test_a_start_in_the_future_does_not_shift_other_engines():
    start_times = make_start_times()
    assert convert(start_times, 200.0, member("wrong", 200.0 + 86400.0, 1)) == [200.0]
    assert convert(start_times, 201.0, member("new", 200.5, 2)) == pytest.approx([200.5])


def test_an_estimate_improves_and_a_restart_is_later_than_all_estimates_sent():
    start_times = make_start_times()
    assert convert(start_times, 100.0, member("a", 50.0)) == [
        100.0
    ]  # no offset is known yet: it may be recent
    convert(start_times, 150.0, member("b", 150.0, 2))  # reported at once: the offset is known now
    assert convert(start_times, 160.0, member("a", 50.0)) == pytest.approx([50.0])
    assert convert(start_times, 161.0, member("a", 99.0))[0] > 100.0  # restarted before the first report


def test_a_better_clock_offset_corrects_other_engines_once():
    start_times = make_start_times()
    start_times.convert_update(
        100.0, EngineListUpdate(1, True, (member("a", 50.0, 1), member("b", 60.0, 2), member("old", 0.0, 3)))
    )
    event = start_times.convert_update(150.0, EngineListUpdate(2, False, (member("c", 149.9, 4),)))
    dates = {m.engine: m.started for m in event.members}
    assert not event.complete and dates == pytest.approx({"a": 50.1, "b": 60.1, "c": 150.0})
    small_correction = start_times.convert_update(
        160.0, EngineListUpdate(3, False, (member("d", 159.93, 5),))
    )
    assert [m.engine for m in small_correction.members] == ["d"]
    gone = replace(member("a", 50.0, 1), state=EngineState.GONE)
    assert (
        start_times.convert_update(170.0, EngineListUpdate(4, False, (gone,))).members[0].state
        is EngineState.GONE
    )


def test_an_engine_that_started_long_ago_keeps_zero():
    assert convert(make_start_times(), 100.0, member("a", 0.0)) == [0.0]


def test_stored_starts_are_limited_and_a_complete_list_replaces_them():
    start_times = make_start_times(max_engines=3)
    for port in range(1, 9):
        convert(start_times, 100.0 + port, member(f"e{port}", 100.0 + port, port))
    assert len(start_times._starts) == 3
    start_times.convert_update(
        200.0, EngineListUpdate(1, True, (member("e8", 108.0, 8), member("old", 0.0, 9)))
    )
    assert list(start_times._starts) == [("127.0.0.1", 8)]


def test_starts_before_boot_stay_positive_and_finite():
    start_times = StartTimes(10, wall=UNIX_AT_ZERO, now=1.0)
    assert (
        0.0
        < convert(
            start_times,
            1.0,
            Member("a", ("h", 1), EngineState.LIVE, started=UNIX_AT_ZERO - 9.0),
            Member("b", ("h", 2), EngineState.LIVE, started=UNIX_AT_ZERO),
        )[0]
        < 1.0
    )
    assert math.isfinite(convert(start_times, 2.0, Member("a", ("h", 1), EngineState.LIVE, started=5.0))[0])


def wall_clock_lines(file: Path) -> list[int]:
    """Numbers of the lines that read the wall clock."""
    found = []
    for node in ast.walk(ast.parse(file.read_text())):
        name = (
            node.attr
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and (node.value.id == "time")
            else None
        )
        if name in WALL_CLOCK_CALLS or name == "CLOCK_REALTIME":
            found.append(node.lineno)
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            found.append(node.lineno)
        elif isinstance(node, (ast.Import, ast.ImportFrom)) and any(
            "datetime" in (alias.name, getattr(node, "module", "")) for alias in node.names
        ):
            found.append(node.lineno)
    return found


def test_only_listed_files_read_the_wall_clock():
    wall_clock_files = {
        str(file.relative_to(ROOT)) for file in (ROOT / "aspenrill").rglob("*.py") if wall_clock_lines(file)
    }
    assert wall_clock_files == WALL_CLOCK_FILES
