"""Splits happen at most once: many processes and seeds, a state machine, and planted defects."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from aspenrill.api import EngineEntry, EngineState, ListMode, ListUpdate
from aspenrill.errors import DiskTrouble
from aspenrill.fleet import atomic_file
from aspenrill.fleet.groups import counts, owner_file
from aspenrill.fleet.groups.part import Groups
from aspenrill.fleet.groups.records import Shape, Split, Step, pack
from aspenrill.fleet.groups.route import Map, Router, order, part_of
from aspenrill.fleet.groups.splits import Facts, SplitNews, SplitRules, Splits
from aspenrill.fleet.interface import Agreed
from aspenrill.state import Fleet
from standins.cluster import SimulationError
from standins.faults import schedule
from standins.groups import ENGINES, AgreedLog, GroupsSimulation


def storm(seed: int, count: int, kind: type[Groups] = Groups, seconds: float = 50.0) -> GroupsSimulation:
    """Random faults, storms and cancelled splits, then none until all splits are finished."""
    rng, simulation = random.Random(f"{seed}/storm"), GroupsSimulation(seed, count, kind)
    simulation.world.play(schedule(seed, simulation.world.names, seconds, gap=0.7))
    for _ in range(5):
        simulation.storm, simulation.outage = rng.random() < 0.2, rng.random() < 0.1
        for split in list(simulation.agreed_log.splits):
            if rng.random() < 0.2:
                simulation.world.call_component(
                    rng.choice(simulation.world.names),
                    lambda proc, split=split: proc.part("groups").call_off(proc.clock(), split),
                    "groups",
                )
        simulation.world.run(seconds / 5)
    simulation.finish()
    return simulation


@pytest.mark.parametrize("seed", range(10))
def test_each_split_happens_once_under_faults(seed):
    storm(seed, random.Random(seed).choice((3, 5, 7, 9)))


def test_fifty_processes():
    storm(1, 50, seconds=6.0)


@pytest.mark.parametrize("what", ["propose", "append"])
def test_a_coordinator_killed_at_each_step(what):
    for number in range(1, 21, 2 if what == "propose" else 3):
        simulation = GroupsSimulation(number, 3)
        simulation.agreed_log.crash_at = what, number
        simulation.finish()
        assert simulation.agreed_log.step_counts[what] >= number and simulation.agreed_log.epoch >= 2


def test_a_minority_plans_nothing_and_keeps_its_map():
    simulation = GroupsSimulation(5, 5)
    simulation.world.run(5.0)
    held = {name: simulation.world.procs[name].part("groups").splits.map.version for name in ("p00", "p01")}
    simulation.world.net.partition(["p00", "p01"], ["p02", "p03", "p04"])
    simulation.world.run(90.0)
    minority = [simulation.world.procs[name].part("groups") for name in held]
    assert simulation.agreed_log.version == 4 and [g.splits.map.version for g in minority] == list(
        held.values()
    )
    assert not any(g.splits.may_act(0.0) or g.splits.pending for g in minority)
    simulation.world.net.heal()
    simulation.finish()


def test_no_step_in_storm_or_outage_or_without_owner_updates():
    for field in ("storm", "outage"):
        simulation = GroupsSimulation(6, 3)
        setattr(simulation, field, True)
        simulation.world.run(60.0)
        assert not simulation.agreed_log.log
    splits = Splits(SplitRules(), None, Router())
    splits.update_owner(0.0, Facts(False, False, ENGINES))
    assert splits.is_calm(30.0) and not splits.is_calm(31.0) and not splits.is_calm(-1.0)


# ---- planted defects ----------------------------------------------------------------------------------


class WithSplitsKind(Groups):
    """Groups with a substitute for the class Splits."""

    splits_kind: type[Splits]

    def __init__(self, rules, authority, hour_of):
        super().__init__(rules, authority, hour_of)
        self.splits = self.splits_kind(rules.splits, authority, self.splits.router)


class ActsBeforeAgreement(Splits):
    def propose_record(self, now, kind, key, body):
        effects = super().propose_record(now, kind, key, body)
        if (kind, key) in self.pending:
            effects += self.on_agreed(now, Agreed(0, 0, kind, key, body))
        return effects


class AppliesRepeats(Splits):
    def on_agreed(self, now, record):
        self.splits.pop(record.key, None)
        return super().on_agreed(now, record)


class IgnoresTheMap(Splits):
    def allowed(self, group, key):
        return self.router.allowed([Map()], group, key)


class PlansInMinority(Splits):
    def may_act(self, now):
        return True

    def propose_record(self, now, kind, key, body):
        return self.authority.propose(now, kind, key, body)


class DropsAfterSwitch(Splits):
    def in_map(self, split):
        return False


class TwoVersionsAtOnce(Splits):
    def _switch(self, now, split):
        shape = Shape(self.map.version + 1, split.group, split.parts, split.id)
        return self.propose_record(now, "map", str(split.group), pack(shape))


class NoConcurrencyLimit(Splits):
    def _may_start(self, split):
        return True


class ProposesTwoRecords(Splits):
    """Proposes a different record while a proposal is pending."""

    def tick(self, now, hour, cancelled, drop_reason, all_route_by):
        if any(kind == "map" for kind, _ in self.pending):
            self.pending.clear()
            cancelled = list(self.splits)
        return super().tick(now, hour, cancelled, drop_reason, all_route_by)


class DoubleCount(Groups):
    """Adds counters instead of merging by the larger value."""

    def on_start(self, now, view, stored):
        effects = super().on_start(now, view, stored)
        merge = self.counts._merge_value

        def added(origin, group, hour, value):
            counters = self.counts.hours.get(hour, counts.HourCounters()).origins.get(
                origin, counts.OriginCounters()
            )
            old = counters.groups.get(group, counts.ZERO) if origin != self.counts.own_origin else counts.ZERO
            return merge(origin, group, hour, counts.add_values(old, value))

        self.counts._merge_value = added
        return effects


DEFECTS = [
    ActsBeforeAgreement,
    AppliesRepeats,
    IgnoresTheMap,
    PlansInMinority,
    DropsAfterSwitch,
    TwoVersionsAtOnce,
    NoConcurrencyLimit,
    ProposesTwoRecords,
]


@pytest.mark.parametrize("defect", [*DEFECTS, DoubleCount])
def test_a_planted_defect_is_caught(defect):
    kind = defect
    if issubclass(defect, Splits):
        kind = type(defect.__name__, (WithSplitsKind,), {"splits_kind": defect})
    with pytest.raises((SimulationError, AssertionError)):
        for seed in range(20):
            storm(seed, 5, kind, 40.0)


# ---- steps against a log that loses, repeats and delays proposals --------------------------------------


class SplitSteps(RuleBasedStateMachine):
    """Two processes that coordinate in turn, and one log."""

    def __init__(self):
        super().__init__()
        self.agreed_log, self.now, self.hour, self.waiting = AgreedLog(random.Random(1), 2), 0.0, 10, []
        self.coordinator, self.epoch_, self.ready = 0, 1, True
        self.nodes = [self.new_node(n) for n in range(2)]
        self.delivered = [0, 0]

    def new_node(self, number):
        machine = self

        class OwnAuthority:
            def coordinating(self, now):
                return machine.epoch_ if machine.coordinator == number else None

            def settled(self, now):
                return machine.coordinator == number and machine.delivered[number] == len(
                    machine.agreed_log.log
                )

            def propose(self, now, kind, key, body):
                assert machine.coordinator == number
                machine.waiting.append((kind, key, body))
                return []

        rules = SplitRules(notice=1, warm=1, spread=1, again=2, rest=5, forget=1e9)
        node = Splits(rules, OwnAuthority(), Router(ENGINES))
        node.update_owner(0.0, Facts(False, False, ENGINES))
        return node

    @rule(
        seconds=st.sampled_from([0.5, 1.5, 3.0]), off=st.booleans(), storm_=st.booleans(), late=st.booleans()
    )
    def tick(self, seconds, off, storm_, late):
        self.now += seconds
        self.hour += late
        node = self.nodes[self.coordinator]
        node.update_owner(self.now, Facts(storm_, False, ENGINES))
        node.tick(self.now, self.hour, list(node.splits) if off else (), lambda s: None, lambda v: False)

    @rule(group=st.sampled_from([1, 2, 3]))
    def plan(self, group):
        node = self.nodes[self.coordinator]
        if node.may_act(self.now) and node.may_plan(group, self.now):
            was = node.map.parts(group)
            node.propose(
                self.now,
                Split(
                    f"{group}/{self.hour}/{node.map.version}",
                    group,
                    was,
                    was * 2,
                    Step.PROPOSED,
                    self.hour,
                    self.hour + 9,
                    (f"e{group}",),
                ),
            )

    @precondition(lambda self: self.waiting)
    @rule()
    def agree(self):
        self.agreed_log.append(*self.waiting.pop(0))

    @rule(late=st.booleans())
    def deliver(self, late):
        for number, node in enumerate(self.nodes):
            new = self.agreed_log.log[self.delivered[number] :]
            last = {(r.kind, r.key): r.number for r in new}
            for record in new:
                if not late or last[record.kind, record.key] == record.number:
                    node.on_agreed(self.now, record)
            self.delivered[number] = len(self.agreed_log.log)

    @rule(kept=st.integers(0, 3), crash=st.booleans())
    def take_over(self, kept, crash):
        for item in self.waiting[:kept]:
            self.agreed_log.append(*item)
        self.waiting.clear()
        if crash:
            self.nodes[self.coordinator], self.delivered[self.coordinator] = (
                self.new_node(self.coordinator),
                0,
            )
        self.coordinator, self.epoch_ = 1 - self.coordinator, self.epoch_ + 1

    @invariant()
    def all_agreed(self):
        for node in self.nodes:
            assert all(("split", s) in self.agreed_log.states for s in node.splits.values())
            assert all(("map", s) in self.agreed_log.states for s in node.map.shapes.values())


def test_steps_under_any_order_of_events():
    run_state_machine_as_test(
        SplitSteps,
        settings=settings(
            max_examples=120, stateful_step_count=40, derandomize=True, deadline=None, database=None
        ),
    )


# ---- routes and the owner's file ------------------------------------------------------------------------


def test_unsplit_group_has_the_same_affinity_without_the_fleet():
    fleet = Fleet((8,), ())
    fleet.apply(ListUpdate(ListMode.COMPLETE, tuple(EngineEntry(e, EngineState.LIVE) for e in ENGINES)), 0.0)
    for group in range(50):
        assert order(group, 0, ENGINES) == tuple(e.entry.engine for e in fleet.affinity_order(group))


def test_doubling_moves_keys_only_into_new_parts_with_homes_of_their_own():
    keys = [str(n).encode() for n in range(2000)]
    for parts in (1, 2, 4):
        moved = [part_of(17, k, 2 * parts) - part_of(17, k, parts) for k in keys]
        assert set(moved) == {0, parts} and 850 < sum(m > 0 for m in moved) < 1150
    router, one, two = Router(ENGINES), Map(), Map().with_shape(Shape(1, 17, 2, "s"))
    assert two.with_shape(Shape(1, 17, 4, "t")) is two and part_of(17, None, 8) == 0
    assert len({router.part_order(g, p)[0] for g in range(40) for p in range(2)}) >= 10
    for key in keys[:50]:
        homes = router.allowed([one, two], 17, key)
        assert homes[0] == router.key_order(two, 17, key)[0] and router.key_order(one, 17, key)[0] in homes


def test_owner_file_is_written_atomically(tmp_path, monkeypatch):
    path = tmp_path / "splits.json"
    split = Split("s", 17, 1, 2, Step.AGREED, 5, 9, ("e1", "e2"))
    first, second = SplitNews((split,), Map()), SplitNews((split,), Map().with_shape(Shape(1, 17, 2, "s")))
    assert owner_file.write(path, first) and not owner_file.write(path, first)
    before = path.read_bytes()

    def full(_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(atomic_file.os, "fsync", full)
    with pytest.raises(DiskTrouble, match="No space left"):
        owner_file.write(path, second)
    assert path.read_bytes() == before and [p.name for p in tmp_path.iterdir()] == ["splits.json"]
    monkeypatch.undo()
    assert owner_file.write(path, second) and b'"parts": 2' in path.read_bytes()
