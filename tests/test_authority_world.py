"""The authority on a virtual clock: promises checked after every step, and each checker shown to catch a
defect."""

from __future__ import annotations

import random

import authority_defects as defects
import pytest
from authority_model import Model
from authority_world import World
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.fleet.authority import AuthorityPart
from aspenrill.fleet.interface import Inform, Store
from standins.faults import Link, schedule

CAUGHT = "two |another one|used twice|not all know|changed"
KINDS = ("crash", "restart", "pause", "part", "cut", "weather", "leave", "trip", "disk")


def play(seed: int, kind=AuthorityPart, size: int = 3, voters: int = 3, seconds: float = 40.0) -> World:
    """Faults and records for 0.7 of the time, then calm: all agree in the end. Only p1 ever loses its disk:
    that two do is more than the fleet can stand."""
    world = World(seed, size, voters, kind)
    assert world.until(lambda: world.ready(), 60), "nobody coordinates at the start"
    script = []
    for at, what, *args in schedule(seed, world.names, seconds, KINDS, gap=1.0):
        if what == "start" and args[1:] and args[1] != "kept":
            args = [args[0], "lost" if args[0] == "p1" and voters > 1 else "kept"]
        script.append((at, what, *args))
    world.play(script)
    world.demand(0.15, 10, 0.7 * seconds)
    world.run(0.7 * seconds + 0.5)
    for proc in world.running:
        if proc.parts[0].broken:
            world.crash(proc.name)
            world.start(proc.name)
    assert world.until(world.settled, 60), "nobody coordinates after the faults"
    assert world.until(world.same, 30), "not all know all that was agreed"
    return world


@pytest.mark.parametrize(("size", "voters"), [(3, 3), (5, 1), (6, 5), (9, 3)])
def test_two_never_act_at_once_and_nothing_agreed_is_lost(size, voters):
    records = sum(len(play(seed, size=size, voters=voters).ledger) for seed in range(8))
    assert records > 100


@settings(derandomize=True, deadline=None, max_examples=25, database=None)
@given(st.integers(0, 10**9), st.integers(3, 9), st.sampled_from((1, 3)))
def test_the_same_for_any_seed(seed, size, voters):
    play(seed, size=size, voters=voters)


@pytest.mark.parametrize(
    "defect",
    [
        defects.ForgetsItsPromise,
        defects.VotesWithoutItsDisk,
        defects.EndsItsGrantsEarly,
        defects.AgreesByAMinority,
        defects.ReadsNoMajority,
        defects.KeepsItsLease,
    ],
)
def test_a_planted_defect_is_caught_by_schedules(monkeypatch, defect):
    kind = defects.plant(monkeypatch, defect)
    with pytest.raises(AssertionError, match=CAUGHT):
        for seed in range(150):
            play(seed, kind)


def stores_last(effects: list) -> list:
    return sorted(effects, key=lambda effect: isinstance(effect, Store))


@pytest.mark.parametrize(
    "defect",
    [
        defects.AnswersBeforeTheDisk,
        defects.ForgetsItsPromise,
        defects.WaitsForNothingAfterRestart,
        defects.CountsFromReceipt,
        defects.KeepsItsLease,
    ],
)
def test_a_planted_defect_is_caught_by_the_model(monkeypatch, defect):
    defects.plant(monkeypatch, defect)
    late = defect is defects.AnswersBeforeTheDisk
    model = Model(1, 4, stores_last if late else list)
    with pytest.raises(AssertionError, match=CAUGHT):
        for seed in range(3000):
            model.walk(random.Random(seed), 40)


def test_every_schedule_of_a_small_fleet():
    assert Model(0, 1).explore() == (12444, True)


def test_random_schedules_of_the_model_hold():
    model = Model(1, 4)
    for seed in range(300):
        model.walk(random.Random(seed), 40)


def stale_order(kind=AuthorityPart) -> World:
    """A record of a former epoch comes to a voter that has accepted, and helped to agree, one of a later."""
    world = World(1, 3, 3, kind)
    assert world.until(lambda: world.ready(), 60)
    old = world.coordinator().name
    new, voter = (name for name in world.names if name != old)
    world.net.cut(old, new)
    world.net.cut(new, old)
    world.net.link(old, voter, Link(delay_ms=12_000))
    world.propose("key")
    world.procs[voter].parts[0].election.leaving = True  # so that the other stands

    def cut(proc, part, effect):
        if proc.name == new and isinstance(effect, Inform):
            world.net.cut(new, voter)

    world.before = cut
    assert world.until(lambda: world.coordinator() is world.procs[new], 8)
    world.propose("key")
    world.run(0.5)
    assert world.ledger and world.procs[voter].parts[0].table.last == 0
    world.run(10)
    world.crash(new)
    world.before = None
    world.net.clear()
    assert world.until(world.settled, 60)
    return world


def test_an_order_of_a_lower_epoch_is_refused(monkeypatch):
    stale_order()
    with pytest.raises(AssertionError, match=CAUGHT):
        stale_order(defects.plant(monkeypatch, defects.ChecksNoEpoch))
