"""Members, board and mail of a fleet on a virtual clock, what is checked of them and what the checks find."""

from __future__ import annotations

import random
import statistics
from collections import Counter

import pytest
from msgspec import structs

from aspenrill.fleet.interface import Entry, Member, State
from aspenrill.fleet.peers.events import Posted
from aspenrill.fleet.peers.node import Peers
from standins.peersim import PeerSim

NOTICED, HEALED = 5.0, 30.0  # seconds within which a death is known to all, and a partition is over


def fleet(size: int, seed: int = 1, **more) -> PeerSim:
    """A fleet in which all know each other and nothing is new any more."""
    sim = PeerSim(seed, size, **more)
    assert sim.until(lambda: len(sim.nodes) == size and sim.all_alive(), 30.0)
    sim.run(3.0)
    return sim


# ---- what holds, each as a scene that says what went wrong ----------------------------------------------


def no_false_death(make=Peers, size: int = 12, seconds: float = 60.0) -> None:
    sim = fleet(size, make=make)
    sim.loss = 0.1
    sim.run(seconds)
    assert not sim.deaths() and sim.all_alive()


def a_death_is_noticed_by_all(make=Peers, size: int = 12) -> list[float]:
    sim, took = fleet(size, make=make), []
    for name in ("n1", f"n{size - 1}"):
        since = sim.now
        sim.kill(name)
        sim.run(NOTICED)
        found = [at - since for at, _, who in sim.deaths(since) if who == name]
        assert len(found) == len(sim.nodes), f"{name}: noticed by {len(found)}"
        took += found
    assert not [who for _, _, who in sim.deaths() if who in sim.nodes]
    return took


def partitions_heal_into_any_shape(make=Peers, seed: int = 1) -> None:
    sim = fleet(9, seed, make=make)
    names = list(sim.nodes)
    for sides in ([set(names[:3]), set(names[3:6])], [set(names[::2])], []):
        since = sim.now
        sim.cut(sides)
        assert sim.until(
            lambda: all(
                sim.state(a, b) is (State.DEAD if sim.apart(a, b) else State.ALIVE)
                for a in names
                for b in names
            ),
            HEALED,
        ), sides
        sim.run(5.0)
        assert not [d for d in sim.deaths(since) if not sim.apart(*d[1:])]


def who_stood_still_judges_nobody_by_it(make=Peers) -> None:
    sim = fleet(9, make=make)
    sim.cut([{"n0"}])
    assert sim.until(
        lambda: any(r.suspicion is not None and r.suspicion.mine for r in sim.nodes["n0"].table.there()), 5.0
    )
    sim.pause("n0", 10.0)
    sim.cut([])
    sim.run(20.0)
    assert not [who for _, by, who in sim.deaths() if by == "n0"] and sim.all_alive()


def entries_go_forward_and_reach_all(make=Peers) -> None:
    sim = fleet(9, make=make, delay=0.15)
    sim.loss = sim.repeat = 0.1
    for number in range(20):
        for name in ("n0", "n5"):
            sim.nodes[name].put(sim.now, "load", b"%d" % number)
            sim.touch(name)
        sim.run(0.2)
    sim.run(10.0)
    for label, calls in sim.calls.items():
        last: dict[str, tuple[int, int]] = {}
        for _, event in calls:
            if isinstance(event, Entry):
                assert (event.incarnation, event.version) > last.get(event.origin, (0, 0)), label
                last[event.origin] = event.incarnation, event.version
        found = {entry.origin: entry.value for entry in sim.nodes[label].board.entries("load")}
        assert found == {"n0": b"19", "n5": b"19"}


def mail_comes_once(make=Peers) -> None:
    sim = fleet(5, make=make)
    sim.repeat = 0.5
    for number in range(50):
        assert sim.nodes["n0"].post(sim.now, "n1", "part", b"%d" % number)
        sim.touch("n0")
        sim.run(0.02)
    sim.run(1.0)
    bodies = Counter(event.body for _, event in sim.calls["n1"] if isinstance(event, Posted))
    assert len(bodies) == 50 and set(bodies.values()) == {1}


def of_two_of_one_name_the_younger_steps_back(make=Peers) -> None:
    sim = fleet(5, make=make)
    elder = sim.nodes["n2"].table.me.life
    sim.start("n2", ("10.0.0.1", 5555), "twin")
    sim.run(8.0)
    trouble = [event.trouble for event in sim.troubles("twin")]
    assert sim.nodes["twin"].names.fenced and not sim.nodes["n2"].names.fenced
    assert len(trouble) == 1 and "10.0.0.1:1002" in trouble[0].line() and "n2" in str(trouble[0])
    assert all(sim.nodes[name].table.records["n2"].news.life == elder for name in ("n0", "n1", "n3", "n4"))
    assert sim.all_alive("n0", "n1", "n2", "n3", "n4")
    sim.kill("n2")
    assert sim.until(sim.all_alive, HEALED) and not sim.nodes["twin"].names.fenced


def traffic_is_flat(make=Peers) -> None:
    told = []
    for size in (10, 40):
        sim = fleet(size, make=make)
        sim.run(10.0)
        before = sum(sim.bytes.values())
        sim.run(5.0)
        told.append((sum(sim.bytes.values()) - before) / size)
    assert told[1] < 2 * told[0], told


# ---- planted defects ------------------------------------------------------------------------------------


def planted(change):
    """A machine with one thing about it changed."""

    def make(*args):
        peers = Peers(*args)
        change(peers)
        return peers

    return make


def hasty(peers):
    """Takes one silence for a death."""
    peers.detector.verdict_at = lambda record: record.suspicion.since
    peers.detector._ask_others = lambda now, seq, probe, record: setattr(probe, "stage", 1)


def patient(peers):
    """Suspects, and leaves it at that."""
    peers.detector.verdict_at = lambda record: float("inf")


def resigned(peers):
    """Lets the dead rest."""
    peers._reconnect_at = peers._seed_at = float("inf")


def sleepy(peers):
    """Does not notice that it stood still."""
    peers.detector.paused = lambda now: None


def gullible(peers):
    """Takes whatever entry comes last."""

    def hear(now, told):
        if told.origin != peers.table.me.name:
            peers.board._keep(now, told)
            peers.board._changed(told.entry())

    peers.board.hear = hear


def twice(peers):
    """Takes repeats."""
    peers.replays.check = lambda life, count: None


def proud(peers):
    """Does not answer who has its name."""
    peers.names.on_packet = lambda now, packet, address: None


def chatty(peers):
    """Has exchanges with more of them the more there are."""
    peers._sync_period = lambda: 10.0 / len(peers.table)


SCENES = [
    no_false_death,
    a_death_is_noticed_by_all,
    partitions_heal_into_any_shape,
    who_stood_still_judges_nobody_by_it,
    entries_go_forward_and_reach_all,
    mail_comes_once,
    of_two_of_one_name_the_younger_steps_back,
    traffic_is_flat,
]
DEFECTS = [hasty, patient, resigned, sleepy, gullible, twice, proud, chatty]


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
def test_holds(scene):
    scene()


PAIRS = list(zip(SCENES, DEFECTS, strict=True))


@pytest.mark.parametrize("scene, defect", PAIRS, ids=lambda one: one.__name__)
def test_finds_what_is_planted(scene, defect):
    with pytest.raises(AssertionError):
        scene(planted(defect))


# ---- more scenes ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("size", [3, 30, 100])
def test_deaths_are_noticed_in_time_at_any_size(size):
    took = a_death_is_noticed_by_all(size=size)
    assert statistics.median(took) < 2.0


@pytest.mark.parametrize("seed", range(3))
def test_partitions_by_seed(seed):
    partitions_heal_into_any_shape(seed=seed + 10)


def test_a_third_killed_at_once():
    sim = fleet(18)
    since, dead = sim.now, {f"n{number}" for number in range(6)}
    for name in dead:
        sim.kill(name)
    assert sim.until(
        lambda: all(sim.state(name, other) is State.DEAD for name in sim.nodes for other in dead), NOTICED + 2
    )
    assert {who for _, _, who in sim.deaths(since)} == dead


def test_a_slow_link_with_loss_is_no_death():
    sim = fleet(9)
    sim.links["n4"] = 0.3, 0.2
    sim.run(120.0)
    assert not sim.deaths()


def test_one_who_hears_nothing_is_out_and_comes_back():
    sim = fleet(6)
    sim.deaf.add("n3")
    sim.run(15.0)
    assert {sim.state(name, "n3") for name in sim.nodes if name != "n3"} <= {State.DEAD, State.SUSPECT}
    assert {who for _, by, who in sim.deaths() if by != "n3"} == {"n3"}
    sim.deaf.clear()
    assert sim.until(sim.all_alive, HEALED)


@pytest.mark.parametrize("port", [1002, 7777])
def test_a_restart_fences_the_former_life(port):
    sim = fleet(5)
    sim.nodes["n2"].put(sim.now, "load", b"former")
    sim.touch("n2")
    sim.run(2.0)
    former = sim.kill("n2")
    sim.start("n2", ("10.0.0.1", port))
    assert sim.until(sim.all_alive, 10.0)
    assert sim.nodes["n2"].table.me.incarnation > former.table.me.incarnation
    assert all(not list(node.board.entries("load")) for node in sim.nodes.values())
    former.post(sim.now, "n0", "part", b"late")  # it was only held up, and speaks again
    for address, data in former.take_out():
        sim._deliver("n0", address, data)
    assert sim.nodes["n0"].refused["former life"] == 1
    assert not [event for _, event in sim.calls["n0"] if isinstance(event, Posted)]


def test_a_lost_clock_does_not_keep_a_restart_out():
    sim = fleet(5)
    sim.kill("n2")
    now, sim.now = sim.now, 1.0  # its clock was set back: its incarnation is lower than the former one
    sim.start("n2", ("10.0.0.1", 7777))
    sim.now = now
    sim.nodes["n2"]._expected = now
    assert sim.until(sim.all_alive, HEALED)


def test_who_leaves_is_known_to_have_left_and_runs_out():
    sim = fleet(5)
    sim.nodes["n1"].put(sim.now, "load", b"x")
    sim.touch("n1")
    sim.run(1.0)
    sim.nodes["n1"].leave(sim.now)
    sim.touch("n1")
    sim.run(0.5)
    sim.kill("n1")
    assert {sim.state(name, "n1") for name in sim.nodes} == {State.LEFT} and not sim.deaths()
    sim.run(70.0)
    assert all("n1" not in node.board.told for node in sim.nodes.values())
    for node in sim.nodes.values():
        node.pace = type(node.pace)(forget=60.0)
    sim.run(10.0)
    assert all("n1" not in node.table.members and not node.table.gone for node in sim.nodes.values())


def test_more_than_can_be_kept_is_not():
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
    news = node.table.records["n1"].news
    for number in range(3000):
        node.table.merge(sim.now, type(news)(f"x{number}", 1, b"12345678", 0, 0, "10.0.0.9", 99))
    assert len(node.table) == 1100
    for record in list(node.table.there()):
        node.table.adopt(
            sim.now,
            record,
            type(news)(record.news.name, 1 << 50, b"12345678", 0, int(State.DEAD), "10.0.0.9", 9),
        )
    assert len(node.table.gone) <= 1100 and len(node.table.members) == len(node.table.records) + 1


@pytest.mark.parametrize("seed", range(10))
def test_any_order_of_faults_ends_well(seed):
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
    assert sim.until(sim.all_alive, HEALED)
    dead = [n for n in stopped if any(sim.state(name, n) is State.ALIVE for name in sim.nodes)]
    assert not dead and not any(sim.troubles(name) for name in sim.nodes)
    for calls in sim.calls.values():  # an incarnation never goes back
        last: dict[str, int] = {}
        for _, event in calls:
            if isinstance(event, Member):
                assert event.incarnation >= last.get(event.name, 0)
                last[event.name] = event.incarnation


def test_who_missed_a_refutation_hears_it_as_soon_as_it_says_what_it_believes():
    sim = fleet(5)
    known = sim.nodes["n2"].table.me
    refuted = structs.replace(known, claim=known.claim + 1)
    sim.nodes["n2"].table.me = refuted  # all but n1 have heard of it, and it is no news any more
    for name in ("n0", "n3", "n4"):
        sim.nodes[name].table.merge(sim.now, refuted)
        sim.nodes[name].table.rumours.drop("n2")
    sim.nodes["n1"].table.merge(sim.now, structs.replace(known, state=int(State.SUSPECT), accuser="n1"))
    assert sim.state("n1", "n2") is State.SUSPECT
    assert sim.until(lambda: sim.state("n1", "n2") is State.ALIVE, 3.0)
    assert sim.nodes["n2"].table.me.claim == refuted.claim  # said again, not raised
