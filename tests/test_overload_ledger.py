"""Guarantee 1: capacity shares never sum to more than one, in hand-written, random and all small
schedules."""

from __future__ import annotations

import math
import os

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test
from overload_defects import DEFECTS
from overload_small import STARTS, search
from overload_world import World

from aspenrill.errors import FleetConfigTrouble
from aspenrill.fleet.interface import MAX_BODY
from aspenrill.fleet.overload.ledger import Ledger
from aspenrill.fleet.overload.rules import Rules
from aspenrill.fleet.overload.wire import MAX_QUERIED, Heartbeat, pack, unpack


def shares(world: World, kind: int = 0) -> list[float]:
    return [p.ledger.share(p.now, kind) for p in world.processes]


def joined(count: int = 3, make=Ledger) -> World:
    world = World(count, 1, make)
    world.run(10)
    return world


def test_a_new_process_has_the_floor_then_the_equal_share():
    world = World(3, 1)
    assert shares(world) == pytest.approx([1 / 6] * 3)
    world.run(10)
    assert shares(world) == pytest.approx([1 / 3] * 3)


def test_a_loan_moves_share_and_returns():
    world = joined()
    first = world.processes[0]
    world.borrow(first, "p1", (0.1, 0.0))
    world.run(1)
    assert shares(world) == pytest.approx([1 / 3 + 0.1, 1 / 3 - 0.1, 1 / 3])
    assert shares(world, 1) == pytest.approx([1 / 3] * 3)
    world.borrow(first, "p1", (0.04, 0.0))
    assert shares(world)[0] == pytest.approx(1 / 3 + 0.04)  # the borrower lowers its share first
    world.run(1)
    assert shares(world)[1] == pytest.approx(1 / 3 - 0.04)
    world.run(5)  # a loan that is not renewed ends
    assert shares(world) == pytest.approx([1 / 3] * 3)


def test_the_floor_is_never_lent():
    world = joined()
    world.borrow(world.processes[0], "p1", (0.9, 0.9))
    world.run(1)
    assert shares(world) == pytest.approx([1 / 2, 1 / 6, 1 / 3])


def test_a_cut_off_process_falls_to_the_floor_and_the_others_get_the_rest_later():
    world = joined()
    world.cut = {frozenset(("p0", "p2")), frozenset(("p1", "p2"))}
    world.run(4)
    assert shares(world) == pytest.approx([1 / 3, 1 / 3, 1 / 6])
    world.run(6)
    assert shares(world) == pytest.approx([5 / 12, 5 / 12, 1 / 6])
    world.cut = set()
    world.run(6)
    assert shares(world) == pytest.approx([1 / 3] * 3)


def test_a_leaving_process_returns_its_share_at_once():
    world = joined()
    leaver = world.processes[2]
    world.post(leaver, leaver.ledger.leave(leaver.now))
    assert leaver.ledger.share(leaver.now, 0) == 0
    world.end(leaver)
    world.run(2)
    assert shares(world) == pytest.approx([5 / 12, 5 / 12])


def test_two_processes_of_one_name_share_one_capacity_share():
    world = joined()
    earlier = world.processes[2]
    earlier.paused = True
    world.start("p2")
    world.run(20)
    assert shares(world) == pytest.approx([1 / 3, 1 / 3, 1 / 6, 1 / 6])
    world.resume(earlier)
    world.run(2)
    assert earlier.ledger.ended and shares(world)[2] == 0
    world.end(earlier)
    assert world.processes[2].ledger.share(world.processes[2].now, 0) == pytest.approx(1 / 3)


@pytest.mark.parametrize(
    "change",
    [
        {"count": 0},
        {"voters": ()},
        {"voters": ("a", "a")},
        {"alone": 1.5},
        {"lease": 0.0},
        {"beat": 2.0},
        {"loan": math.nan},
    ],
)
def test_invalid_rules_are_named(change):
    with pytest.raises(FleetConfigTrouble, match="overload." + next(iter(change))):
        Rules(**{"count": 3, "voters": ("a", "b", "c"), **change}).check()


def test_reloaded_rules_keep_the_sum():
    world = joined(4)
    rules = Rules(5, world.rules.voters)
    for process in world.processes:
        process.ledger.configure(process.now, rules)
        world.run(2)
    world.run(10)
    assert shares(world) == pytest.approx([1 / 5] * 4)


def test_malformed_bodies_are_ignored():
    world = joined()
    before = shares(world)
    odd = b"\x94\x04\x01\x01\x91\xcb\x7f\xf8" + b"\0" * 6  # an amount that is NaN
    for body in (b"", b"\xc1", b"\x91" * 5000, pack(Heartbeat(1, 1))[:-1], odd):
        assert unpack(body) is None
    assert len(pack(Heartbeat(2**60, 2**63 - 1, bytes(8 * MAX_QUERIED)))) <= MAX_BODY
    assert shares(world) == before


class Schedules(RuleBasedStateMachine):
    """Random schedules of a few processes; the sum is checked after each message and each step."""

    make = Ledger

    @initialize(count=st.integers(3, 7), seed=st.integers(0, 2**16), warm=st.booleans())
    def begin(self, count, seed, warm):
        self.world = World(count, seed, type(self).make)
        if warm:
            self.world.run(9, 0.5)

    def pick(self, index):
        return self.world.processes[index % len(self.world.processes)] if self.world.processes else None

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 3.0, 7.0]), step=st.sampled_from([0.25, 0.5]))
    def run(self, seconds, step):
        self.world.run(seconds, step)

    @rule(
        index=st.integers(0, 9),
        lender=st.integers(0, 9),
        amount=st.sampled_from([0.0, 0.02, 0.1, 1.0]),
        other=st.sampled_from([0.0, 0.05]),
    )
    def borrow(self, index, lender, amount, other):
        process = self.pick(index)
        if process is not None and not process.paused:
            self.world.borrow(process, self.world.names[lender % len(self.world.names)], (amount, other))
            self.world.check()

    @rule(index=st.integers(0, 9))
    def pause_or_resume(self, index):
        process = self.pick(index)
        if process is not None and process.paused:
            self.world.resume(process)
        elif process is not None:
            process.paused = True

    @rule(index=st.integers(0, 9))
    def kill(self, index):
        process = self.pick(index)
        if process is not None:
            self.world.end(process)

    @rule(index=st.integers(0, 9))
    def start(self, index):
        name = self.world.names[index % len(self.world.names)]
        if len(self.world.processes) < 2 * len(self.world.names):
            self.world.start(name)

    @rule(index=st.integers(0, 9))
    def leave(self, index):
        process = self.pick(index)
        if process is not None and not process.paused:
            self.world.post(process, process.ledger.leave(process.now))

    @rule(sides=st.lists(st.integers(0, 2), min_size=7, max_size=7))
    def partition(self, sides):
        side = dict(zip(self.world.names, sides, strict=False))
        self.world.cut = {frozenset((a, b)) for a in side for b in side if side[a] != side[b]}

    @rule(
        loss=st.sampled_from([0.0, 0.3]),
        repeat=st.sampled_from([0.0, 0.5]),
        delay=st.sampled_from([(0.0, 0.05), (0.1, 1.5), (0.0, 12.0)]),
    )
    def weather(self, loss, repeat, delay):
        self.world.loss, self.world.repeat, self.world.delay = loss, repeat, delay


def explore(make=Ledger, examples=40, steps=40):
    machine = type("Machine", (Schedules,), {"make": staticmethod(make)})
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
            database=None,
        ),
    )


def test_no_random_schedule_exceeds_the_total():
    explore()


def random_faults(make, seed, steps=50):
    """A random schedule, for defects that need many steps."""
    world = World(3 + seed % 5, seed, make)
    world.lendable_choices = (1.0, 0.05, -0.05)
    world.run(9, 0.5)
    rng = world.random
    for _ in range(steps):
        process = rng.choice(world.processes) if world.processes else None
        act = rng.randrange(10)
        if act < 3:
            for one in world.processes:
                if not one.paused:
                    world.borrow(one, rng.choice(world.names), (rng.choice((0.0, 0.05, 1.0)), 0.0))
        elif act == 3:
            side = {name: rng.randrange(3) for name in world.names}
            world.cut = {frozenset((a, b)) for a in side for b in side if side[a] != side[b]}
        elif act == 4:
            world.cut = set(
                rng.sample(
                    [frozenset((a, b)) for a in world.names for b in world.names if a < b], rng.randrange(3)
                )
            )
        elif act == 5 and process is not None:
            process.paused = True
        elif act == 6:
            for one in [p for p in world.processes if p.paused]:
                world.resume(one)
        elif act < 9 and process is not None:
            if act == 7:
                world.end(process)
            if len(world.processes) < 2 * len(world.names):
                world.start(process.ledger.name)
        else:
            world.loss, world.repeat = rng.choice((0.0, 0.2)), rng.choice((0.0, 0.5))
            world.delay = rng.choice(((0.0, 0.05), (0.1, 1.0), (0.0, 5.0)))
        world.check()
        world.run(rng.choice((0.5, 1.0, 3.0)), 0.5)


def restarted_voter(make):
    """The only voter that two sides of a partition share restarts, and receives from one side before the
    other."""
    world = World(7, 1, make, voters=("p0", "p1", "p2"))
    world.run(10)
    sides = ("p1", "p5", "p6"), ("p2", "p3", "p4")
    world.cut = {frozenset((a, b)) for a in sides[0] for b in sides[1]}
    world.run(8)
    world.end(world.processes[0])
    world.start("p0")
    for process in world.processes:
        process.ledger.absent = sides[1]
    world.cut |= {frozenset(("p0", b)) for b in sides[1]}
    world.run(2)


def lost_grant(make):
    """A lender takes some share back by a grant that is lost, and lends it to another process."""
    world = joined(make=make)
    world.borrow(world.processes[0], "p1", (1.0, 0.0))
    world.run(1)
    world.lendable_choices = (-0.1,)
    world.borrow(world.processes[0], "p1", (1.0, 0.0))
    world.run(0.25)
    world.loss = 1.0
    world.run(0.5)
    world.loss, world.lendable_choices = 0.0, (1.0,)
    world.borrow(world.processes[2], "p1", (1.0, 0.0))
    world.run(1)


def late_acknowledgement(make):
    """The last acknowledgement to a process that is cut off arrives late."""
    world = joined(make=make)
    while not any(sender == "p2" for _, sender, *_ in world.net):
        world.run(0.25)
    world.delay = (5.5, 5.5)
    world.run(0.25)
    world.delay, world.cut = (0.0, 0.05), {frozenset(("p0", "p2")), frozenset(("p1", "p2"))}
    world.run(20)


def fast_and_slow(make):
    """Long loans between a fast clock and a slow one: drift exceeds the message delay."""
    world = World(3, 1, make, lease=100.0, loan=100.0)
    for rate, process in zip((0.995, 1.0049, 1.0), world.processes, strict=True):
        process.rate = rate
    world.run(230, 0.5, check=False)
    world.borrow(world.processes[0], "p1", (0.1, 0.0))
    world.run(98.5, check=False)
    world.run(3)


SCHEDULES = (lost_grant, late_acknowledgement, restarted_voter, fast_and_slow)


def test_no_written_or_long_schedule_exceeds_the_total():
    for schedule in SCHEDULES:
        schedule(Ledger)
    for seed in range(int(os.environ.get("OVERLOAD_SEEDS", 6))):
        random_faults(Ledger, seed)


@pytest.mark.parametrize("defect", DEFECTS)
def test_schedules_detect_defects(defect):
    with pytest.raises(AssertionError, match="p1"):
        for schedule in SCHEDULES:
            schedule(DEFECTS[defect])
        for seed in range(10):
            random_faults(DEFECTS[defect], seed)


def test_no_small_schedule_exceeds_the_total():
    states, transitions = map(sum, zip(*(search(start=start) for start in STARTS), strict=True))
    assert states > 2000 and transitions > 5000


@pytest.mark.parametrize(
    "defect",
    [
        "the lease never ends",
        "the lender grants before it lowers its share",
        "a silent process is acknowledged at once",
    ],
)
def test_the_small_model_detects_defects(defect):
    with pytest.raises(AssertionError, match="p1"):
        for start in STARTS:
            search(DEFECTS[defect], start=start)
