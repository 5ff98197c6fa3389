"""The authority on a virtual clock: invariants checked after every step, and planted defects that the checks
must catch."""

from __future__ import annotations

import random

import authority_defects as defects
import pytest
from authority_model import Model
from authority_world import World
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.fleet.authority import AuthorityPart
from aspenrill.fleet.interface import Notify, Store
from standins.faults import Link, schedule

VIOLATIONS = "two |another one|used twice|not all know|changed"
KINDS = ("crash", "restart", "pause", "partition", "cut", "link", "leave", "fail_after", "disk")


def play(seed: int, kind=AuthorityPart, size: int = 3, voters: int = 3, seconds: float = 40.0) -> World:
    """Faults and proposals for 0.7 of the time, then none: all processes must agree in the end.

    Only p1 ever loses its disk; the protocol does not tolerate two lost disks.
    """
    world = World(seed, size, voters, kind)
    assert world.until(lambda: world.ready(), 60), "no coordinator at the start"
    script = []
    for at, what, *args in schedule(seed, world.names, seconds, KINDS, gap=1.0):
        if what == "start" and args[1:] and args[1] != "kept":
            args = [args[0], "lost" if args[0] == "p1" and voters > 1 else "kept"]
        script.append((at, what, *args))
    world.play(script)
    world.demand(0.15, 10, 0.7 * seconds)
    world.run(0.7 * seconds + 0.5)
    for proc in world.running:
        if proc.parts[0].disk_failed:
            world.crash(proc.name)
            world.start(proc.name)
    assert world.until(world.settled, 60), "no coordinator after the faults"
    assert world.until(world.converged, 30), "not all know all agreed records"
    return world


@pytest.mark.parametrize(("size", "voters"), [(3, 3), (5, 1), (6, 5), (9, 3)])
def test_one_coordinator_at_a_time_and_no_agreed_record_lost(size, voters):
    records = sum(len(play(seed, size=size, voters=voters).ledger) for seed in range(8))
    assert records > 100


@settings(derandomize=True, deadline=None, max_examples=25, database=None)
@given(st.integers(0, 10**9), st.integers(3, 9), st.sampled_from((1, 3)))
def test_invariants_hold_for_any_seed(seed, size, voters):
    play(seed, size=size, voters=voters)


@pytest.mark.parametrize(
    "defect",
    [
        defects.ForgetsPromise,
        defects.VotesAfterDiskLoss,
        defects.EndsGrantsEarly,
        defects.AgreesByMinority,
        defects.RecoversWithoutMajority,
        defects.KeepsExpiredLease,
    ],
)
def test_random_schedules_catch_planted_defects(monkeypatch, defect):
    kind = defects.plant(monkeypatch, defect)
    with pytest.raises(AssertionError, match=VIOLATIONS):
        for seed in range(150):
            play(seed, kind)


def stores_last(effects: list) -> list:
    return sorted(effects, key=lambda effect: isinstance(effect, Store))


@pytest.mark.parametrize(
    "defect",
    [
        defects.AnswersBeforeStoring,
        defects.ForgetsPromise,
        defects.IgnoresLeaseAfterRestart,
        defects.CountsLeaseFromReceipt,
        defects.KeepsExpiredLease,
    ],
)
def test_model_catches_planted_defects(monkeypatch, defect):
    defects.plant(monkeypatch, defect)
    stores_late = defect is defects.AnswersBeforeStoring
    model = Model(1, 4, stores_last if stores_late else list)
    with pytest.raises(AssertionError, match=VIOLATIONS):
        for seed in range(3000):
            model.walk(random.Random(seed), 40)


def test_every_schedule_of_a_small_fleet():
    assert Model(0, 1).explore() == (12444, True)


def test_invariants_hold_in_random_schedules_of_the_model():
    model = Model(1, 4)
    for seed in range(300):
        model.walk(random.Random(seed), 40)


def stale_epoch_world(kind=AuthorityPart) -> World:
    """A delayed record of an earlier epoch reaches a voter that has accepted one of a later epoch."""
    world = World(1, 3, 3, kind)
    assert world.until(lambda: world.ready(), 60)
    old = world.coordinator().name
    new, voter = (name for name in world.names if name != old)
    world.net.cut(old, new)
    world.net.cut(new, old)
    world.net.link(old, voter, Link(delay_ms=12_000))
    world.propose("key")
    world.procs[voter].parts[0].election.leaving = True  # so that the other process becomes the candidate

    def cut(proc, part, effect):
        if proc.name == new and isinstance(effect, Notify):
            world.net.cut(new, voter)

    world.before_effect = cut
    assert world.until(lambda: world.coordinator() is world.procs[new], 8)
    world.propose("key")
    world.run(0.5)
    assert world.ledger and world.procs[voter].parts[0].table.last == 0
    world.run(10)
    world.crash(new)
    world.before_effect = None
    world.net.clear()
    assert world.until(world.settled, 60)
    return world


def test_an_order_of_a_lower_epoch_is_refused(monkeypatch):
    stale_epoch_world()
    with pytest.raises(AssertionError, match=VIOLATIONS):
        stale_epoch_world(defects.plant(monkeypatch, defects.IgnoresEpochs))
