"""Counters merge in any order, count once, and treat missing values as missing, not as zero."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.fleet.groups import counts as module
from aspenrill.fleet.groups.counts import Counts
from aspenrill.fleet.groups.hours import CountRules, HourCounters
from aspenrill.fleet.groups.records import SEAL, Cell, CounterAck, CounterUpdate, pack, read
from standins.faults import schedule
from standins.groups import FIRST_HOUR, GroupsSimulation

H = 1000
cells = st.lists(
    st.builds(
        Cell,
        st.sampled_from("abc"),
        st.integers(1, 2),
        st.integers(0, 2),
        st.integers(H - 2, H),
        st.integers(0, 9),
        st.integers(0, 9),
        st.integers(0, 9),
    ),
    max_size=12,
)


def totals(counts: Counts) -> dict:
    return {hour: dict(b.totals()) for hour, b in counts.hours.items() if b.totals()}


def merged(*batches: list[Cell], hour: int = H) -> Counts:
    counts = Counts(CountRules(), "me", 1, hour)
    for batch in batches:
        for cell in batch:
            counts.merge(cell)
    return counts


def check_merge(data: list[Cell], rng: random.Random) -> None:
    """Any order, repetition and grouping of merges gives the same totals."""
    plain = totals(merged(data))
    again = [*data, *rng.choices(data or [Cell("a", 1, 0, H, 0, 0, 0)], k=5)] if data else []
    rng.shuffle(again)
    assert totals(merged(again)) == plain
    cut = rng.randrange(len(data) + 1)
    parts = [[part.cell(key) for key in part.keys()] for part in (merged(data[:cut]), merged(data[cut:]))]
    assert totals(merged(*parts)) == totals(merged(*parts[::-1])) == plain


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(cells, st.randoms(use_true_random=False))
def test_merge_is_commutative_associative_and_idempotent(data, rng):
    check_merge(data, rng)


def count_origin(counts: Counts, origin: str, hour: int, size: int | None, seal: bool = True) -> None:
    """Merges one origin's hour: bytes of group 7."""
    if size is not None:
        counts.merge(Cell(origin, 1, 7, hour, 1, size, 1))
    if seal:
        counts.merge(Cell(origin, 1, SEAL, hour, size is not None, size or 0, size is not None))


def check_missing() -> None:
    """A sealed empty hour is zero, an unsealed one is missing; late counts are revisions."""
    counts = Counts(CountRules(), "me", 1, H)
    counts.expect([("me", 1), ("a", 1), ("b", 1)])
    counts.advance_to(H + 1)
    count_origin(counts, "a", H, 5)
    assert counts.close() == [] and counts.series(7, 1)[1] == [None]
    count_origin(counts, "b", H, None)
    assert counts.close() == [H] and counts.series(7, 1)[1] == [5.0]
    counts.expect([("me", 1), ("a", 1), ("b", 1)])
    counts.advance_to(H + 2)
    count_origin(counts, "a", H + 1, 6)
    count_origin(counts, "b", H + 1, 4, seal=False)
    counts.advance_to(H + 1 + 25)
    assert H + 1 in counts.close() and counts.series(7, 1)[1][1] is None  # after a day: closed, still missing
    count_origin(counts, "b", H + 1, 4)
    assert counts.hours[H + 1].revision == 1 and counts.close() == [H + 1]
    assert counts.series(7, 1)[1][:2] == [5.0, 10.0]


def test_unreported_hours_are_missing_and_not_zero():
    check_missing()


def check_folding() -> None:
    """Repeats into folded hours are ignored; a late origin is added once."""
    counts = Counts(CountRules(), "me", 1, H)
    counts.expect([("me", 1), ("a", 1), ("b", 1)])
    counts.advance_to(H + 26)
    count_origin(counts, "a", H, 5)
    counts.close()
    assert counts.hours[H].folded == {("me", 1), ("a", 1)} and counts.cells == 0
    for _ in range(3):
        count_origin(counts, "a", H, 5)
        count_origin(counts, "b", H, 3)
        counts.close()
    assert counts.hours[H].totals()[7][1] == 8 and not counts.hours[H].origins
    again = Counts(CountRules(), "me", 2, H + 26)
    assert again.restore(counts.record(H)) == H
    count_origin(again, "b", H, 3)
    again.close()
    assert again.series(7, 1)[1][0] == 8.0
    third = Counts(CountRules(), "third", 1, H + 26)  # a collector without stored state takes the total, once
    for _ in range(2):
        for key in counts.total_keys([H]):
            third.merge(counts.cell(key))
    count_origin(third, "a", H, 5)
    third.close()
    assert third.series(7, 1) == (H, [8.0] + [None] * 25)


def test_folded_hours_are_not_counted_twice():
    check_folding()


def test_next_incarnation_sends_and_seals_counters_of_the_previous():
    counts = Counts(CountRules(), "me", 1, H)
    counts.add(7, 1, 100, 5)
    counts.flush()
    counts.add(7, 1, 11, 5)  # never sent, so it is lost
    record, other = counts.own_record(), Counts(CountRules(), "collector", 1, H)
    other.expect([("me", 1), ("collector", 1)])
    after = Counts(CountRules(), "me", 2, H + 3)
    keys = after.restore_own(record)
    assert after.restore_own(after.own_record()) == [] and {key[3] for key in keys} == {
        H,
        H + 1,
        H + 2,
        H + 3,
    }
    for _ in range(2):
        for key in keys:
            other.merge(after.cell(key))
    other.advance_to(H + 3)
    other.close()
    assert other.series(7, 1)[1][0] == 100.0


def test_stored_counters_are_bounded():
    counts = Counts(CountRules(max_groups=3, max_cells=5, max_origins=4), "me", 1, H)
    for group in range(50):
        counts.add(group, 1, 1, 1)
        for origin in range(50):
            counts.merge(Cell(f"o{origin}", 1, group, H, 1, 1, 1))
            counts.merge(Cell(f"o{origin}", 1, SEAL, H - 1, 1, 1, 1))
    assert len(counts.own) == 3 and counts.cells <= 5 and len(counts.hours[H - 1].origins) <= 4
    assert counts.rejected > 100
    for hour in (H - 73, H + 2, 0):
        assert counts.merge(Cell("a", 1, 0, hour, 1, 1, 1)) is None and hour not in counts.hours
    counts.advance_to(H + 9000)
    counts.close()
    assert counts.cells <= 5 and len(counts.hours) <= 73


def test_wall_clock_set_back_loses_no_counts():
    counts = Counts(CountRules(), "me", 1, H)
    counts.add(7, 1, 10, 1)
    counts.advance_to(H + 5)
    counts.advance_to(H)
    counts.add(7, 1, 5, 1)
    counts.advance_to(H + 1)
    assert counts.hours[H].totals()[7] == (2, 15, 2) and counts.hours[H].origins["me", 1].is_complete()


def test_malformed_messages_raise_and_change_nothing():
    simulation, rng = GroupsSimulation(1, 3), random.Random(1)
    simulation.world.run(4.0)
    groups = simulation.world.procs["p00"].part("groups")
    before = totals(groups.counts)
    good = pack(CounterUpdate(1, (Cell("x", 1, 7, FIRST_HOUR, 1, 1, 1),)))
    for _ in range(2000):
        body = bytearray(good)
        body[rng.randrange(len(body))] = rng.randrange(256)
        groups.on_message(
            simulation.world.procs["p00"].clock(), "p01", 1, bytes(body[: rng.randrange(len(body))])
        )
    for cell in ((-2, FIRST_HOUR, 1), (7, -1, 1), (7, FIRST_HOUR, -1), (7, FIRST_HOUR, 2**60), (7, "x", 1)):
        body = pack([1, 1, [["x", 1, cell[0], cell[1], 1, cell[2], 1]]])
        assert groups.on_message(0.0, "p01", 1, body) == []
    assert totals(groups.counts) == before
    assert read(groups.on_message(0.0, "p01", 1, good)[0].body, CounterAck) == CounterAck(1)
    assert groups.on_message(0.0, "p01", 1, b"") == [] and groups.counts.hours[FIRST_HOUR].origins["x", 1]


def check_collectors(seed: int) -> None:
    """Partitions, cuts and pauses: known hours of a collector hold exactly what was written."""
    simulation = GroupsSimulation(seed, 6)

    def exact(world):
        for name in simulation.voters if world.steps % 40 == 0 and world.now > 5.0 else ():
            counts = world.procs[name].part("groups").counts
            for hour in [h for h in list(counts.hours)[-4:] if h > FIRST_HOUR and counts.is_known(h)]:
                counted = counts.hours[hour].totals().get(17, module.ZERO)[1]
                assert counted == simulation.written.get((hour, 17), 0), hour

    simulation.world.checks.append(exact)
    simulation.world.play(
        schedule(seed, simulation.world.names, 100.0, ("partition", "cut", "link", "pause"), gap=3.0)
    )
    simulation.world.run(160.0)
    known_hours = 0
    for name in simulation.voters:
        counts = simulation.world.procs[name].part("groups").counts
        for hour in range(FIRST_HOUR + 1, FIRST_HOUR + 14):
            if counts.is_known(hour):
                known_hours += 1
                for group in simulation.groups:
                    written = simulation.written.get((hour, group), 0)
                    assert counts.hours[hour].totals().get(group, module.ZERO)[1] == written, (name, hour)
    assert known_hours > 50, known_hours


@pytest.mark.parametrize("seed", range(4))
def test_collectors_agree_on_what_was_written(seed):
    check_collectors(seed)


def test_planted_defects_are_caught(monkeypatch):
    rng = random.Random(3)
    data = [Cell("a", 1, 0, H, n, n, n) for n in range(4)]
    with monkeypatch.context() as patch:
        patch.setattr(module, "merge_values", module.add_values)  # adds instead of taking the larger value
        with pytest.raises(AssertionError):
            check_merge(data, rng)
    with monkeypatch.context() as patch:
        patch.setattr(HourCounters, "missing_origins", lambda self: set())  # treats missing hours as zero
        with pytest.raises(AssertionError):
            check_missing()
        with pytest.raises(AssertionError):
            check_collectors(0)
    with monkeypatch.context() as patch:
        forgets = property(lambda self: set(), lambda self, value: None)  # loses the origins of the total
        patch.setattr(HourCounters, "folded", forgets)
        with pytest.raises(AssertionError):
            check_folding()
