"""Counters merge to the same in any order, count once, and what is missing is never zero."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.fleet.groups import counts as module
from aspenrill.fleet.groups.counts import Counts
from aspenrill.fleet.groups.hours import CountRules, HourBook
from aspenrill.fleet.groups.records import SEAL, Cell, Heard, Tell, pack, read
from standins.faults import schedule
from standins.groups import FIRST, Scene

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


def totals(book: Counts) -> dict:
    return {hour: dict(b.totals()) for hour, b in book.hours.items() if b.totals()}


def merged(*batches: list[Cell], hour: int = H) -> Counts:
    book = Counts(CountRules(), "me", 1, hour)
    for batch in batches:
        for cell in batch:
            book.merge(cell)
    return book


def check_merge(data: list[Cell], rng: random.Random) -> None:
    """Any order, any repeats, any grouping."""
    plain = totals(merged(data))
    again = [*data, *rng.choices(data or [Cell("a", 1, 0, H, 0, 0, 0)], k=5)] if data else []
    rng.shuffle(again)
    assert totals(merged(again)) == plain
    cut = rng.randrange(len(data) + 1)
    parts = [[part.cell(key) for key in part.keys()] for part in (merged(data[:cut]), merged(data[cut:]))]
    assert totals(merged(*parts)) == totals(merged(*parts[::-1])) == plain


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(cells, st.randoms(use_true_random=False))
def test_merging_commutes_associates_and_repeats_without_harm(data, rng):
    check_merge(data, rng)


def tell(book: Counts, origin: str, hour: int, size: int | None, seal: bool = True) -> None:
    """One origin's hour: bytes of group 7."""
    if size is not None:
        book.merge(Cell(origin, 1, 7, hour, 1, size, 1))
    if seal:
        book.merge(Cell(origin, 1, SEAL, hour, size is not None, size or 0, size is not None))


def check_missing() -> None:
    """Sealed with nothing is zero; not sealed is missing, for a day and after it; late counts revise."""
    book = Counts(CountRules(), "me", 1, H)
    book.expect([("me", 1), ("a", 1), ("b", 1)])
    book.turn(H + 1)
    tell(book, "a", H, 5)
    assert book.close() == [] and book.series(7, 1)[1] == [None]
    tell(book, "b", H, None)
    assert book.close() == [H] and book.series(7, 1)[1] == [5.0]
    book.expect([("me", 1), ("a", 1), ("b", 1)])
    book.turn(H + 2)
    tell(book, "a", H + 1, 6)
    tell(book, "b", H + 1, 4, seal=False)
    book.turn(H + 1 + 25)
    assert H + 1 in book.close() and book.series(7, 1)[1][1] is None  # after a day: closed, still missing
    tell(book, "b", H + 1, 4)
    assert book.hours[H + 1].revision == 1 and book.close() == [H + 1]
    assert book.series(7, 1)[1][:2] == [5.0, 10.0]


def test_what_was_not_heard_is_missing_and_not_zero():
    check_missing()


def check_folding() -> None:
    """Sums of closed hours: a repeat is known by its origin, a late one is added once."""
    book = Counts(CountRules(), "me", 1, H)
    book.expect([("me", 1), ("a", 1), ("b", 1)])
    book.turn(H + 26)
    tell(book, "a", H, 5)
    book.close()
    assert book.hours[H].folded == {("me", 1), ("a", 1)} and book.cells == 0
    for _ in range(3):
        tell(book, "a", H, 5)
        tell(book, "b", H, 3)
        book.close()
    assert book.hours[H].totals()[7][1] == 8 and not book.hours[H].told
    again = Counts(CountRules(), "me", 2, H + 26)
    assert again.restore(book.record(H)) == H
    tell(again, "b", H, 3)
    again.close()
    assert again.series(7, 1)[1][0] == 8.0
    third = Counts(CountRules(), "third", 1, H + 26)  # a keeper without a disk takes the sum, once
    for _ in range(2):
        for key in book.total_keys([H]):
            third.merge(book.cell(key))
    tell(third, "a", H, 5)
    third.close()
    assert third.series(7, 1) == (H, [8.0] + [None] * 25)


def test_folded_hours_count_nothing_twice():
    check_folding()


def test_a_former_life_is_told_and_sealed_by_the_next():
    book = Counts(CountRules(), "me", 1, H)
    book.add(7, 1, 100, 5)
    book.flush()
    book.add(7, 1, 11, 5)  # never told: lost
    life, other = book.life(), Counts(CountRules(), "keeper", 1, H)
    other.expect([("me", 1), ("keeper", 1)])
    after = Counts(CountRules(), "me", 2, H + 3)
    keys = after.relive(life)
    assert after.relive(after.life()) == [] and {key[3] for key in keys} == {H, H + 1, H + 2, H + 3}
    for _ in range(2):
        for key in keys:
            other.merge(after.cell(key))
    other.turn(H + 3)
    other.close()
    assert other.series(7, 1)[1][0] == 100.0


def test_all_that_is_kept_is_bounded():
    book = Counts(CountRules(most_groups=3, most_cells=5, most_origins=4), "me", 1, H)
    for group in range(50):
        book.add(group, 1, 1, 1)
        for origin in range(50):
            book.merge(Cell(f"o{origin}", 1, group, H, 1, 1, 1))
            book.merge(Cell(f"o{origin}", 1, SEAL, H - 1, 1, 1, 1))
    assert len(book.own) == 3 and book.cells <= 5 and len(book.hours[H - 1].told) <= 4
    assert book.turned_away > 100
    for hour in (H - 73, H + 2, 0):
        assert book.merge(Cell("a", 1, 0, hour, 1, 1, 1)) is None and hour not in book.hours
    book.turn(H + 9000)
    book.close()
    assert book.cells <= 5 and len(book.hours) <= 73


def test_a_wall_clock_set_back_takes_nothing_away():
    book = Counts(CountRules(), "me", 1, H)
    book.add(7, 1, 10, 1)
    book.turn(H + 5)
    book.turn(H)
    book.add(7, 1, 5, 1)
    book.turn(H + 1)
    assert book.hours[H].totals()[7] == (2, 15, 2) and book.hours[H].told["me", 1].whole()


def test_whatever_a_message_holds_nothing_is_raised_or_changed():
    scene, rng = Scene(1, 3), random.Random(1)
    scene.world.run(4.0)
    groups = scene.world.procs["p00"].part("groups")
    before = totals(groups.counts)
    good = pack(Tell(1, (Cell("x", 1, 7, FIRST, 1, 1, 1),)))
    for _ in range(2000):
        body = bytearray(good)
        body[rng.randrange(len(body))] = rng.randrange(256)
        groups.on_message(scene.world.procs["p00"].clock(), "p01", 1, bytes(body[: rng.randrange(len(body))]))
    for cell in ((-2, FIRST, 1), (7, -1, 1), (7, FIRST, -1), (7, FIRST, 2**60), (7, "x", 1)):
        body = pack([1, 1, [["x", 1, cell[0], cell[1], 1, cell[2], 1]]])
        assert groups.on_message(0.0, "p01", 1, body) == []
    assert totals(groups.counts) == before
    assert read(groups.on_message(0.0, "p01", 1, good)[0].body, Heard) == Heard(1)
    assert groups.on_message(0.0, "p01", 1, b"") == [] and groups.counts.hours[FIRST].told["x", 1]


def check_keepers(seed: int) -> None:
    """Partitions, cuts and pauses over many hours: what a keeper takes for known is exactly what was
    written."""
    scene = Scene(seed, 6)

    def exact(world):
        for name in scene.voters if world.steps % 40 == 0 and world.now > 5.0 else ():
            book = world.procs[name].part("groups").counts
            for hour in [h for h in list(book.hours)[-4:] if h > FIRST and book.heard(h)]:
                told = book.hours[hour].totals().get(17, module.NONE)[1]
                assert told == scene.written.get((hour, 17), 0), hour

    scene.world.checks.append(exact)
    scene.world.play(schedule(seed, scene.world.names, 100.0, ("part", "cut", "weather", "pause"), gap=3.0))
    scene.world.run(160.0)
    known = 0
    for name in scene.voters:
        book = scene.world.procs[name].part("groups").counts
        for hour in range(FIRST + 1, FIRST + 14):
            if book.heard(hour):
                known += 1
                for group in scene.groups:
                    written = scene.written.get((hour, group), 0)
                    assert book.hours[hour].totals().get(group, module.NONE)[1] == written, (name, hour)
    assert known > 50, known


@pytest.mark.parametrize("seed", range(4))
def test_keepers_agree_on_what_was_written(seed):
    check_keepers(seed)


def test_a_planted_defect_is_caught(monkeypatch):
    rng = random.Random(3)
    data = [Cell("a", 1, 0, H, n, n, n) for n in range(4)]
    with monkeypatch.context() as patch:
        patch.setattr(module, "larger", module.plus)  # added instead of the larger
        with pytest.raises(AssertionError):
            check_merge(data, rng)
    with monkeypatch.context() as patch:
        patch.setattr(HourBook, "missing", lambda self: set())  # a missing hour taken as zero
        with pytest.raises(AssertionError):
            check_missing()
        with pytest.raises(AssertionError):
            check_keepers(0)
    with monkeypatch.context() as patch:
        forgets = property(lambda self: set(), lambda self, value: None)  # who is in the sum
        patch.setattr(HourBook, "folded", forgets)
        with pytest.raises(AssertionError):
            check_folding()
