"""Start times of engines on the program's own clock, whatever the wall clock says; and who may read that."""

from __future__ import annotations

import ast
import math
from dataclasses import replace
from pathlib import Path

import pytest

from aspenrill.api import EngineState
from aspenrill.members import Member, News
from aspenrill.starttimes import StartTimes

ROOT = Path(__file__).resolve().parent.parent
UNIX = 1_700_000_000.0  # what a true wall clock says at 0 of the monotonic one
WALL_READERS = {
    "aspenrill/starttimes.py",
    "aspenrill/net/wallclock.py",
    "aspenrill/fleet/components.py",
    "aspenrill/fleet/service.py",
}  # a bound, the log, the hour of UTC, an incarnation
WALL_CALLS = {"time", "time_ns", "localtime", "gmtime", "ctime", "strftime"}


def member(name: str, born: float, port: int = 1) -> Member:
    """One that started at that time of the monotonic clock; 0: long ago."""
    return Member(name, ("127.0.0.1", port), EngineState.LIVE, started=UNIX + born if born else 0.0)


def starts(wall_off: float = 0.0, most: int = 100, delay: float = 0.0) -> StartTimes:
    return StartTimes(most, delay, wall=UNIX + 100.0 + wall_off, now=100.0)


def told(times: StartTimes, now: float, *members: Member) -> list[float]:
    return [m.started for m in times.members(now, members)]


OFF = [0.0, 5.0, -5.0, 3600.0, -3600.0, 86400.0 * 365, -UNIX]


@pytest.mark.parametrize("off", OFF)
def test_a_start_that_is_told_at_once_is_known_exactly(off):
    times = starts(off)
    if off >= 0:
        assert told(times, 200.0, member("a", 200.0)) == pytest.approx([200.0])
    else:
        assert told(times, 200.0, member("a", 200.0)) == [200.0]


@pytest.mark.parametrize("delay", [0.0, 6.0])
@pytest.mark.parametrize("off", OFF)
def test_no_engine_is_taken_for_older_than_by_the_delay_of_news_nor_for_unborn(off, delay):
    times = starts(off, delay=delay)
    for now, born, port in (
        (100.0, 40.0, 1),
        (100.0, 90.0, 2),
        (104.0, 101.0, 3),
        (106.0, 106.0, 4),
        (130.0, 108.0, 5),
    ):
        at = told(times, now, member(f"e{port}", born, port))[0]
        assert born - delay * (off > 0) - 1e-6 <= at <= now


@pytest.mark.parametrize("late", [0.0, 3.0, 6.0])
def test_where_the_wall_clock_is_right_late_news_date_a_start_exactly(late):
    times = starts(delay=6.0)
    assert told(times, 200.0 + late, member("a", 200.0)) == pytest.approx([200.0])


def test_after_a_start_of_the_program_the_latest_engine_is_taken_for_no_older_than_news_may_be_late():
    times = starts(delay=6.0)
    assert told(times, 100.0, member("a", 20.0, 1), member("b", 95.0, 2)) == pytest.approx([20.0, 95.0])
    times = starts(delay=6.0)
    assert told(times, 100.0, member("a", 20.0, 1), member("b", 60.0, 2)) == pytest.approx([54.0, 94.0])


def test_what_prompt_news_have_shown_dates_late_news():
    times = starts(3600.0)
    told(times, 200.0, member("a", 199.9, 1))
    assert told(times, 260.0, member("b", 230.0, 2)) == pytest.approx([230.1])


def test_a_stamp_from_the_future_makes_no_other_engine_old():
    times = starts()
    assert told(times, 200.0, member("wrong", 200.0 + 86400.0, 1)) == [200.0]
    assert told(times, 201.0, member("new", 200.5, 2)) == pytest.approx([200.5])


def test_a_start_is_dated_better_later_and_the_next_one_is_later_than_all_that_was_told():
    times = starts()
    assert told(times, 100.0, member("a", 50.0)) == [100.0]  # the latest in its list: it may be new
    told(times, 150.0, member("b", 150.0, 2))  # told at once: the clocks are known now
    assert told(times, 160.0, member("a", 50.0)) == pytest.approx([50.0])
    assert told(times, 161.0, member("a", 99.0))[0] > 100.0  # restarted before it was told of first


def test_news_that_tell_the_clocks_better_date_others_anew_once():
    times = starts()
    times.news(100.0, News(1, True, (member("a", 50.0, 1), member("b", 60.0, 2), member("old", 0.0, 3))))
    event = times.news(150.0, News(2, False, (member("c", 149.9, 4),)))
    dates = {m.engine: m.started for m in event.members}
    assert not event.whole and dates == pytest.approx({"a": 50.1, "b": 60.1, "c": 150.0})
    slightly = times.news(160.0, News(3, False, (member("d", 159.93, 5),)))
    assert [m.engine for m in slightly.members] == ["d"]
    gone = replace(member("a", 50.0, 1), state=EngineState.GONE)
    assert times.news(170.0, News(4, False, (gone,))).members[0].state is EngineState.GONE


def test_who_started_long_ago_stays_so():
    assert told(starts(), 100.0, member("a", 0.0)) == [0.0]


def test_what_is_remembered_is_bounded_and_a_whole_list_forgets():
    times = starts(most=3)
    for port in range(1, 9):
        told(times, 100.0 + port, member(f"e{port}", 100.0 + port, port))
    assert len(times._starts) == 3
    times.news(200.0, News(1, True, (member("e8", 108.0, 8), member("old", 0.0, 9))))
    assert list(times._starts) == [("127.0.0.1", 8)]


def test_a_machine_that_has_just_booted_takes_an_old_start_for_a_start():
    times = StartTimes(10, wall=UNIX, now=1.0)
    assert (
        0.0
        < told(
            times,
            1.0,
            Member("a", ("h", 1), EngineState.LIVE, started=UNIX - 9.0),
            Member("b", ("h", 2), EngineState.LIVE, started=UNIX),
        )[0]
        < 1.0
    )
    assert math.isfinite(told(times, 2.0, Member("a", ("h", 1), EngineState.LIVE, started=5.0))[0])


def wall_calls(file: Path) -> list[int]:
    """Lines that read the wall clock."""
    found = []
    for node in ast.walk(ast.parse(file.read_text())):
        name = (
            node.attr
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and (node.value.id == "time")
            else None
        )
        if name in WALL_CALLS or name == "CLOCK_REALTIME":
            found.append(node.lineno)
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            found.append(node.lineno)
        elif isinstance(node, (ast.Import, ast.ImportFrom)) and any(
            "datetime" in (alias.name, getattr(node, "module", "")) for alias in node.names
        ):
            found.append(node.lineno)
    return found


def test_only_those_who_measure_no_span_read_the_wall_clock():
    readers = {str(file.relative_to(ROOT)) for file in (ROOT / "aspenrill").rglob("*.py") if wall_calls(file)}
    assert readers == WALL_READERS
