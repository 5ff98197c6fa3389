"""Membership, shared state and messages of a simulated fleet on a virtual clock, with planted defects."""

from __future__ import annotations

import random
import statistics
from collections import Counter

import pytest
from msgspec import structs

from aspenrill.fleet.interface import Entry, Member, State
from aspenrill.fleet.peers.events import MessageReceived
from aspenrill.fleet.peers.node import PeerNode
from standins.peersim import PeerSim

DETECTION_TIME = 5.0  # seconds within which every member knows of a death
HEALING_TIME = 30.0  # seconds within which a healed partition has no more effect


def fleet(size: int, seed: int = 1, **more) -> PeerSim:
    """A simulated fleet that has converged."""
    sim = PeerSim(seed, size, **more)
    assert sim.until(lambda: len(sim.nodes) == size and sim.all_alive(), 30.0)
    sim.run(3.0)
    return sim


# ---- scenarios, which assert an invariant ----------------------------------------------


def no_false_death(make=PeerNode, size: int = 12, seconds: float = 60.0) -> None:
    sim = fleet(size, make=make)
    sim.loss = 0.1
    sim.run(seconds)
    assert not sim.deaths() and sim.all_alive()


def every_member_detects_a_death(make=PeerNode, size: int = 12) -> list[float]:
    sim, took = fleet(size, make=make), []
    for name in ("n1", f"n{size - 1}"):
        since = sim.now
        sim.kill(name)
        sim.run(DETECTION_TIME)
        found = [at - since for at, _, who in sim.deaths(since) if who == name]
        assert len(found) == len(sim.nodes), f"{name}: detected by {len(found)}"
        took += found
    assert not [who for _, _, who in sim.deaths() if who in sim.nodes]
    return took


def partitions_change_and_heal(make=PeerNode, seed: int = 1) -> None:
    sim = fleet(9, seed, make=make)
    names = list(sim.nodes)
    for sides in ([set(names[:3]), set(names[3:6])], [set(names[::2])], []):
        since = sim.now
        sim.cut(sides)
        assert sim.until(
            lambda: all(
                sim.state(a, b) is (State.DEAD if sim.separated(a, b) else State.ALIVE)
                for a in names
                for b in names
            ),
            HEALING_TIME,
        ), sides
        sim.run(5.0)
        assert not [d for d in sim.deaths(since) if not sim.separated(*d[1:])]


def a_paused_process_declares_nobody_dead(make=PeerNode) -> None:
    sim = fleet(9, make=make)
    sim.cut([{"n0"}])
    assert sim.until(
        lambda: any(
            r.suspicion is not None and r.suspicion.confirmed_locally
            for r in sim.nodes["n0"].table.live_records()
        ),
        5.0,
    )
    sim.pause("n0", 10.0)
    sim.cut([])
    sim.run(20.0)
    assert not [who for _, by, who in sim.deaths() if by == "n0"] and sim.all_alive()


def entries_reach_everyone_in_version_order(make=PeerNode) -> None:
    sim = fleet(9, make=make, delay=0.15)
    sim.loss = sim.repeat = 0.1
    for number in range(20):
        for name in ("n0", "n5"):
            sim.nodes[name].put(sim.now, "load", b"%d" % number)
            sim.flush(name)
        sim.run(0.2)
    sim.run(10.0)
    for label, calls in sim.events.items():
        last: dict[str, tuple[int, int]] = {}
        for _, event in calls:
            if isinstance(event, Entry):
                assert (event.incarnation, event.version) > last.get(event.origin, (0, 0)), label
                last[event.origin] = event.incarnation, event.version
        found = {entry.origin: entry.value for entry in sim.nodes[label].shared.entries("load")}
        assert found == {"n0": b"19", "n5": b"19"}


def messages_are_delivered_once(make=PeerNode) -> None:
    sim = fleet(5, make=make)
    sim.repeat = 0.5
    for number in range(50):
        assert sim.nodes["n0"].post(sim.now, "n1", "part", b"%d" % number)
        sim.flush("n0")
        sim.run(0.02)
    sim.run(1.0)
    bodies = Counter(event.body for _, event in sim.events["n1"] if isinstance(event, MessageReceived))
    assert len(bodies) == 50 and set(bodies.values()) == {1}


def the_younger_of_two_processes_with_one_name_withdraws(make=PeerNode) -> None:
    sim = fleet(5, make=make)
    elder = sim.nodes["n2"].table.me.boot_id
    sim.start("n2", ("10.0.0.1", 5555), "twin")
    sim.run(8.0)
    conflicts = [event.trouble for event in sim.name_conflicts("twin")]
    assert sim.nodes["twin"].names.fenced and not sim.nodes["n2"].names.fenced
    assert len(conflicts) == 1 and "10.0.0.1:1002" in conflicts[0].line() and "n2" in str(conflicts[0])
    assert all(
        sim.nodes[name].table.records["n2"].latest.boot_id == elder for name in ("n0", "n1", "n3", "n4")
    )
    assert sim.all_alive("n0", "n1", "n2", "n3", "n4")
    sim.kill("n2")
    assert sim.until(sim.all_alive, HEALING_TIME) and not sim.nodes["twin"].names.fenced


def traffic_for_each_member_is_constant(make=PeerNode) -> None:
    rates = []
    for size in (10, 40):
        sim = fleet(size, make=make)
        sim.run(10.0)
        before = sum(sim.bytes.values())
        sim.run(5.0)
        rates.append((sum(sim.bytes.values()) - before) / size)
    assert rates[1] < 2 * rates[0], rates


# ---- defects -------------------------------------------------------------------------------------------


def with_defect(change):
    """A factory of peer nodes with one behaviour replaced."""

    def make(*args):
        peers = PeerNode(*args)
        change(peers)
        return peers

    return make


def dead_at_once(peers):
    """Declares a member dead as soon as it is suspected."""
    peers.detector.declare_dead_at = lambda record: record.suspicion.since
    peers.detector._probe_indirectly = lambda now, seq, probe, record: setattr(probe, "stage", 1)


def never_dead(peers):
    """Suspects members but never declares them dead."""
    peers.detector.declare_dead_at = lambda record: float("inf")


def no_retry(peers):
    """Never probes dead members or seeds again."""
    peers._reconnect_at = peers._seed_at = float("inf")


def no_pauses(peers):
    """Does not detect that it was paused."""
    peers.detector.on_pause = lambda now: None


def no_versions(peers):
    """Stores whatever entry arrives last."""

    def merge(now, entry):
        if entry.origin != peers.table.me.name:
            peers.shared._store(now, entry)
            peers.shared._on_change(entry.as_entry())

    peers.shared.merge = merge


def replayed(peers):
    """Accepts replayed datagrams."""
    peers.replay_filter.check = lambda boot_id, count: None


def no_conflicts(peers):
    """Does not answer processes with its own name."""
    peers.names.on_packet = lambda now, packet, address: None


def many_syncs(peers):
    """Runs exchanges more often the larger the fleet is."""
    peers._sync_period = lambda: 10.0 / len(peers.table)


SCENARIOS = [
    no_false_death,
    every_member_detects_a_death,
    partitions_change_and_heal,
    a_paused_process_declares_nobody_dead,
    entries_reach_everyone_in_version_order,
    messages_are_delivered_once,
    the_younger_of_two_processes_with_one_name_withdraws,
    traffic_for_each_member_is_constant,
]
DEFECTS = [dead_at_once, never_dead, no_retry, no_pauses, no_versions, replayed, no_conflicts, many_syncs]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_invariants_hold(scenario):
    scenario()


PAIRS = list(zip(SCENARIOS, DEFECTS, strict=True))


@pytest.mark.parametrize("scenario, defect", PAIRS, ids=lambda one: one.__name__)
def test_scenarios_detect_defects(scenario, defect):
    with pytest.raises(AssertionError):
        scenario(with_defect(defect))


# ---- more scenarios -------------------------------------------------------------------------------------


@pytest.mark.parametrize("size", [3, 30, 100])
def test_deaths_are_detected_in_time_at_any_size(size):
    took = every_member_detects_a_death(size=size)
    assert statistics.median(took) < 2.0


@pytest.mark.parametrize("seed", range(3))
def test_partitions_for_several_seeds(seed):
    partitions_change_and_heal(seed=seed + 10)


def test_a_third_of_the_fleet_is_killed_at_once():
    sim = fleet(18)
    since, dead = sim.now, {f"n{number}" for number in range(6)}
    for name in dead:
        sim.kill(name)
    assert sim.until(
        lambda: all(sim.state(name, other) is State.DEAD for name in sim.nodes for other in dead),
        DETECTION_TIME + 2,
    )
    assert {who for _, _, who in sim.deaths(since)} == dead


def test_a_slow_lossy_link_is_not_a_death():
    sim = fleet(9)
    sim.links["n4"] = 0.3, 0.2
    sim.run(120.0)
    assert not sim.deaths()


def test_a_member_that_receives_nothing_is_declared_dead_and_returns():
    sim = fleet(6)
    sim.unreachable.add("n3")
    sim.run(15.0)
    assert {sim.state(name, "n3") for name in sim.nodes if name != "n3"} <= {State.DEAD, State.SUSPECT}
    assert {who for _, by, who in sim.deaths() if by != "n3"} == {"n3"}
    sim.unreachable.clear()
    assert sim.until(sim.all_alive, HEALING_TIME)


@pytest.mark.parametrize("port", [1002, 7777])
def test_a_restart_fences_the_earlier_run(port):
    sim = fleet(5)
    sim.nodes["n2"].put(sim.now, "load", b"former")
    sim.flush("n2")
    sim.run(2.0)
    earlier = sim.kill("n2")
    sim.start("n2", ("10.0.0.1", port))
    assert sim.until(sim.all_alive, 10.0)
    assert sim.nodes["n2"].table.me.incarnation > earlier.table.me.incarnation
    assert all(not list(node.shared.entries("load")) for node in sim.nodes.values())
    earlier.post(sim.now, "n0", "part", b"late")  # it was only paused and sends again
    for address, data in earlier.take_datagrams():
        sim._deliver("n0", address, data)
    assert sim.nodes["n0"].refused["former life"] == 1
    assert not [event for _, event in sim.events["n0"] if isinstance(event, MessageReceived)]


def test_a_restart_with_a_clock_set_back_can_rejoin():
    sim = fleet(5)
    sim.kill("n2")
    # the clock was set back, so the incarnation is lower than that of the earlier run
    now, sim.now = sim.now, 1.0
    sim.start("n2", ("10.0.0.1", 7777))
    sim.now = now
    sim.nodes["n2"]._expected_tick_at = now
    assert sim.until(sim.all_alive, HEALING_TIME)


def test_a_member_that_left_is_known_as_left_and_expires():
    sim = fleet(5)
    sim.nodes["n1"].put(sim.now, "load", b"x")
    sim.flush("n1")
    sim.run(1.0)
    sim.nodes["n1"].leave(sim.now)
    sim.flush("n1")
    sim.run(0.5)
    sim.kill("n1")
    assert {sim.state(name, "n1") for name in sim.nodes} == {State.LEFT} and not sim.deaths()
    sim.run(70.0)
    assert all("n1" not in node.shared.by_origin for node in sim.nodes.values())
    for node in sim.nodes.values():
        node.timing = type(node.timing)(forget_after=60.0)
    sim.run(10.0)
    assert all("n1" not in node.table.members and not node.table.departed for node in sim.nodes.values())


def test_limits_of_entries_messages_and_members():
    sim = fleet(3)
    node = sim.nodes["n0"]
    for topic in range(16):
        node.put(sim.now, f"t{topic}", b"x")
    with pytest.raises(ValueError):
        node.put(sim.now, "one more", b"x")
    with pytest.raises(ValueError):
        node.put(sim.now, "t1", b"x" * 601)
    with pytest.raises(ValueError):
        node.post(sim.now, "n1", "part", b"x" * 901)
    latest = node.table.records["n1"].latest
    for number in range(3000):
        node.table.merge(sim.now, type(latest)(f"x{number}", 1, b"12345678", 0, 0, "10.0.0.9", 99))
    assert len(node.table) == 1100
    for record in list(node.table.live_records()):
        node.table.replace(
            sim.now,
            record,
            type(latest)(record.latest.name, 1 << 50, b"12345678", 0, int(State.DEAD), "10.0.0.9", 9),
        )
    assert len(node.table.departed) <= 1100 and len(node.table.members) == len(node.table.records) + 1


@pytest.mark.parametrize("seed", range(10))
def test_the_fleet_converges_after_any_order_of_faults(seed):
    rng, sim = random.Random(seed), fleet(7, seed)
    ports, stopped = 2000, set()
    for _ in range(12):
        name = rng.choice(sorted(sim.nodes))
        match rng.randrange(6):
            case 0 if len(sim.nodes) > 3 and name not in sim.paused:
                sim.kill(name)
                stopped.add(name)
            case 1 if stopped:
                ports += 1
                sim.start(stopped.pop(), ("10.0.0.1", ports))
            case 2 if name not in sim.paused:
                sim.pause(name, rng.uniform(0.5, 20.0))
            case 3:
                sim.cut([set(rng.sample(sorted(sim.nodes), rng.randint(1, 4)))])
            case 4:
                sim.cut([])
            case 5:
                sim.loss, sim.repeat = rng.choice([0, 0.2]), rng.choice([0, 0.2])
                sim.delay = rng.choice([0.001, 0.2])
        sim.run(rng.uniform(0.1, 8.0))
    sim.cut([])
    sim.loss = sim.repeat = 0.0
    sim.run(25.0)
    assert sim.until(sim.all_alive, HEALING_TIME)
    dead = [n for n in stopped if any(sim.state(name, n) is State.ALIVE for name in sim.nodes)]
    assert not dead and not any(sim.name_conflicts(name) for name in sim.nodes)
    for calls in sim.events.values():  # incarnations never decrease
        last: dict[str, int] = {}
        for _, event in calls:
            if isinstance(event, Member):
                assert event.incarnation >= last.get(event.name, 0)
                last[event.name] = event.incarnation


def test_a_refutation_is_repeated_to_a_member_that_missed_it():
    sim = fleet(5)
    known = sim.nodes["n2"].table.me
    refuted = structs.replace(known, refutations=known.refutations + 1)
    sim.nodes["n2"].table.me = refuted  # all but n1 know it, and it is no longer gossiped
    for name in ("n0", "n3", "n4"):
        sim.nodes[name].table.merge(sim.now, refuted)
        sim.nodes[name].table.gossip.drop("n2")
    sim.nodes["n1"].table.merge(sim.now, structs.replace(known, state=int(State.SUSPECT), reporter="n1"))
    assert sim.state("n1", "n2") is State.SUSPECT
    assert sim.until(lambda: sim.state("n1", "n2") is State.ALIVE, 3.0)
    assert sim.nodes["n2"].table.me.refutations == refuted.refutations  # repeated, not raised
