"""The overload component in a simulated fleet: sums, shedding, stability, retries, probes and cold
engines."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.fleet.interface import MAX_VALUE, Entry, Member, Notify, Place
from aspenrill.fleet.overload import demand
from aspenrill.fleet.overload.bridge import Bridge
from aspenrill.fleet.overload.cold_slots import ColdSlots
from aspenrill.fleet.overload.facts import ProbeResult, step_function, value_at
from aspenrill.fleet.overload.part import OverloadComponent
from aspenrill.fleet.overload.probes import ProbeSchedule
from aspenrill.fleet.overload.retries import RetryBudget
from aspenrill.fleet.overload.rules import Rules
from aspenrill.fleet.overload.shares import allocate, band, water_fill
from standins.cluster import Cluster, SimulationError
from standins.faults import Link, schedule

ENGINES = [(f"e{i}", 10.0) for i in range(6)]
NAMES = [f"p{i}" for i in range(5)]


def sums(world: Cluster) -> None:
    """Guarantee 1: the shares of all existing processes sum to at most one, for each kind of capacity."""
    for kind in range(2):
        shares = sum(
            p.part("overload").ledger.share(p.clock(), kind)
            for p in world.running
            if p.parts and p.part("overload").ledger is not None
        )
        assert shares <= 1 + 1e-9, f"shares of kind {kind} sum to {shares}"


class LoadedPart(OverloadComponent):
    """A component that receives `load` (class: work a second, worth per work) at each tick."""

    load: dict[int, tuple[float, float]] = {}
    last = None

    def on_tick(self, now):
        bridge = Bridge(self)
        bridge.set_engines(ENGINES, ["cold"])
        passed = min(1.0, now - self.last) if self.last is not None else 0.0
        self.last = now
        for cls, (work, worth) in self.load.items():
            bridge.on_request(now, cls, 1, work * passed, worth * work * passed)
        return super().on_tick(now)


def cluster(seed, names=NAMES, load=None, part=LoadedPart, **more) -> Cluster:
    rules = Rules(len(names), tuple(names[:5]))

    def make(name, rng):
        made = part(rules)
        made.load = (load or {}).get(name, {0: (8.0, 1.0)})
        return [made]

    return Cluster(seed, names, make, **more)


SKEW = {"p0": {0: (30.0, 3.0), 1: (10.0, 0.5)}}


@pytest.mark.parametrize("seed", range(8))
def test_shares_never_exceed_the_total_under_faults(seed):
    world = cluster(seed, load=SKEW, checks=[sums], garbage=0.05)
    world.play(schedule(seed, world.names, 40.0))
    world.run(55.0)
    assert all(p.part("overload").facts.joined for p in world.running)


class NeverLosesLease(LoadedPart):
    """Never notices that its lease has ended."""

    def on_start(self, now, view, stored):
        effects = super().on_start(now, view, stored)
        self.ledger.lease_holder.lease_end = lambda: float("inf")
        return effects


def test_the_sum_check_detects_a_defect():
    with pytest.raises(SimulationError, match="sum to"):
        for seed in range(8):
            world = cluster(seed, load=SKEW, part=NeverLosesLease, checks=[sums])
            world.play(schedule(seed, world.names, 40.0))
            world.run(40.0)


def threads_by_process(world):
    return {p.name: p.part("overload").threads(p.clock()) for p in world.running}


class DelayedEntries(LoadedPart):
    """Processes every entry two seconds late."""

    def on_start(self, now, view, stored):
        self.waiting = []
        return super().on_start(now, view, stored)

    def on_entry(self, now, entry):
        self.waiting.append((now + 2.0, entry))
        return []

    def on_tick(self, now):
        while self.waiting and self.waiting[0][0] <= now:
            super().on_entry(now, self.waiting.pop(0)[1])
        return super().on_tick(now)


def test_a_share_follows_demand_and_settles_with_reports_two_seconds_old():
    world = cluster(3, load=SKEW, part=DelayedEntries, link=Link(delay_ms=100, jitter_ms=100))
    world.run(30.0)
    before, seen = threads_by_process(world)["p0"], []
    for _ in range(40):
        world.run(0.5)
        seen.append(threads_by_process(world)["p0"])
    assert 28 <= before <= 36  # of 60 threads: the demand of its high-worth class; the equal share is 12
    assert max(seen) - min(seen) <= 0.15 * before
    steps_up = [b / a for a, b in zip(seen, seen[1:], strict=False)]
    assert max(steps_up) < 1.2


def test_a_demand_step_does_not_overshoot_and_is_followed_in_time():
    world = cluster(4, link=Link(delay_ms=300))
    world.run(20.0)
    world.procs["p0"].part("overload").load = {0: (30.0, 1.0)}
    seen = [threads_by_process(world)["p0"]]
    for _ in range(40):
        world.run(0.5)
        seen.append(threads_by_process(world)["p0"])
    assert seen[-1] >= 26 and max(seen) <= 1.1 * seen[-1]
    wants = [p.part("overload").steering.desired[0] for p in world.running]
    assert sum(wants) <= 1.05
    assert next(i for i, x in enumerate(seen) if x > 0.9 * seen[-1]) <= 26  # 13 s


def test_all_processes_use_one_shedding_threshold():
    load = {name: {0: (20.0, 5.0), 1: (20.0, 1.0)} for name in NAMES}
    world = cluster(5, load=load)
    world.run(25.0)
    cuts = [p.part("overload").facts.shed_below for p in world.running]
    assert max(cuts) <= 1.1 * min(cuts) and 1.0 < max(cuts) < 5.5
    assert all(not p.part("overload").facts.sheds(6.0) for p in world.running)


def test_water_filling_and_allocation():
    assert water_fill(10, [1, 4, 20]) == pytest.approx([1, 4, 5])
    assert water_fill(9, [9, 9], [2, 1]) == pytest.approx([6, 3])
    dealt = allocate(10, {"a": [(5.0, 6.0), (1.0, 9.0)], "b": [(1.0, 3.0)], "c": []})
    assert dealt.level == band(1.0) and dealt.admitted == pytest.approx(1 / 3)
    assert dealt.targets == pytest.approx({"a": 0.8, "b": 0.2, "c": 0.0})


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.floats(0.1, 100),
    st.dictionaries(
        st.sampled_from("abcde"),
        st.lists(st.tuples(st.floats(0.01, 100), st.floats(0, 50)), max_size=3),
        min_size=1,
    ),
)
def test_an_allocation_never_exceeds_the_capacity(capacity, asked):
    assert sum(allocate(capacity, asked).targets.values()) <= 1 + 1e-9


def spend(shares, handed_on=False):
    """The most retries that three budgets of 20 in 10 s spend in any window while shares move."""
    rng = random.Random(1)
    budgets, spent = [RetryBudget(0.0, 10.0) for _ in range(3)], []
    for step in range(600):
        now = step * 0.1
        share = shares(step)
        for budget, own in zip(budgets, share, strict=True):
            budget.budget = 20.0
            if handed_on:
                budget.refill(now, 1.0)
            while rng.random() < 0.7 and budget.take(now, 1.0 if handed_on else own):
                spent.append(now)
    return max(sum(t <= x < t + 10 for x in spent) for t in spent)


def test_the_retry_budget_holds_while_shares_move():
    moving = lambda step: [float(step // 40 % 3 == i) for i in range(3)]  # noqa: E731
    assert 10 <= spend(moving) <= 20
    assert spend(moving, handed_on=True) > 20  # the defect: tokens survive the loss of the share


def run_probes(live, peers, down=(), seconds=60.0):
    """The probes (time, process) of an engine that stays out; results reach the processes of `live`."""
    asked = []
    for step in range(int(seconds / 0.25)):
        now = step * 0.25
        for probes in [p for p in peers if p.name not in down]:
            probes.set_live(live(probes.name))
            for engine in probes.due(now):
                asked.append((now, probes.name))
                probes.on_answer(now, engine, False)
                for other in peers:
                    if other.name in live(probes.name) and other is not probes:
                        other.on_entry(now, probes.name, 1, probes.entry())
    return asked


def fleet(count):
    peers = [ProbeSchedule(f"p{i}") for i in range(count)]
    for probes in peers:
        probes.set_engines(["e"])
        probes.on_ejected(0.0, "e")
    return peers


def test_the_number_of_probes_does_not_grow_with_the_fleet():
    alone = len(run_probes(lambda name: ["p0"], fleet(1)))
    everyone = [f"p{i}" for i in range(50)]
    asked = run_probes(lambda name: everyone, fleet(50))
    assert alone <= len(asked) <= 1.2 * alone and len({who for _, who in asked}) == 1
    isolated = run_probes(lambda name: [name], fleet(50))  # the defect: no process knows of another
    assert len(isolated) == 50 * alone


def test_the_next_in_rank_takes_over_and_each_partition_has_one_prober():
    everyone = [f"p{i}" for i in range(9)]
    first = run_probes(lambda name: everyone, fleet(9), seconds=2)[0][1]
    asked = run_probes(lambda name: everyone, fleet(9), down=(first,), seconds=30)
    assert asked[0][0] == 2.0 and asked[0][1] != first and len({who for _, who in asked}) == 1
    same_side = lambda name: [n for n in everyone if (int(n[1:]) < 4) == (int(name[1:]) < 4)]  # noqa: E731
    assert len({who for _, who in run_probes(same_side, fleet(9))}) == 2


def test_cold_slots_are_shared_by_aware_processes_and_reserve_for_unaware_ones():
    turns = [ColdSlots(f"p{i}", 4) for i in range(4)]
    for one in turns[:3]:
        one.set_cold(["e"])
    for one in turns:
        for other in turns:
            if other is not one:
                one.on_entry(other.name, other.entry())
    names = {one.name for one in turns}
    dealt = [one.allocate(names - {one.name}, 0.25).get("e") for one in turns]
    assert dealt[3] is None and sorted(t.index for t in dealt[:3]) == [0, 1, 2]
    assert all(t.count == 3 and t.reserved == 0.25 for t in dealt[:3])
    assert sum(t.usable_cores(0.4) for t in dealt[:3]) + 0.25 <= 0.4
    gone = turns[0].allocate({"p1", "p2"}, 0.25, dead_shares=0.5)["e"]
    assert gone.reserved == pytest.approx(0.125) and gone.usable_cores(0.1) == 0.0


class LoneView:
    """The view of a process that receives nothing from others."""

    name, incarnation, place = "p0", 1, Place()

    def members(self):
        return {"p0": Member("p0", 1, "h", 1), "p1": Member("p1", 1, "h", 1)}

    def entries(self, topic):
        return []


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.binary(max_size=40), st.sampled_from(OverloadComponent.topics))
def test_malformed_entries_and_bodies_are_ignored(data, topic):
    part = OverloadComponent(Rules(2, ("p0",)))
    part.on_start(0.0, LoneView(), {})
    before = part.ledger.share(0.1, 0)
    part.on_entry(0.1, Entry("p1", 1, topic, 1, data))
    part.on_message(0.1, "p1", 1, data)
    part.on_tick(0.2)
    assert part.ledger.share(0.2, 0) == before


def test_entries_fit_the_size_limit():
    meter = demand.DemandMeter()
    for i in range(100):
        meter.on_request(0.0, i, i, 1e6, 1e9)
        meter.on_refused(0.0, i, i, 1e6)
    assert len(demand.pack(meter.report(0.0, (0.123456789, 0.987654321)))) <= MAX_VALUE
    probes, turns = ProbeSchedule("p0"), ColdSlots("p0", 2)
    names = [f"e{i}" for i in range(100)]
    probes.set_engines(names)
    for name in names:
        probes.on_ejected(0.0, name)
    for name in names[:50]:
        probes.on_answer(1.0, name, False)
    turns.set_cold(names)
    assert len(probes.entry()) <= MAX_VALUE and len(turns.entry()) <= MAX_VALUE


def test_capacity_steps_expire_and_probe_results_are_reported():
    part = step_function([(10.0, 0.25), (float("inf"), 0.25)], 40)
    assert (value_at(part, 9.9), value_at(part, 10.0)) == (20.0, 10.0)
    one, two = OverloadComponent(Rules(2, ("p0",))), ProbeSchedule("p1")
    one.on_start(0.0, LoneView(), {})
    Bridge(one).set_engines([("e", 8.0)], [])
    two.set_engines(["e"])
    two.on_answer(1.0, "e", True)
    told = one.on_entry(1.0, Entry("p1", 1, "overload.probes", 1, two.entry()))
    assert told == [Notify(ProbeResult("e", True, "p1"))]
    assert one.on_entry(1.0, Entry("p1", 1, "overload.probes", 2, two.entry())) == []
