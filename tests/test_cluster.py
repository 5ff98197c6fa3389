"""The simulated cluster on a virtual clock: reproducibility, delivery, faults and detection of defects."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from aspenrill.errors import StateTrouble
from aspenrill.fleet.interface import MAX_CLOCK_DRIFT, Agreed, LogLine, Notify, Post, Put, State, Store
from standins.cluster import Cluster, SimulationError
from standins.faults import Link, schedule
from standins.peered import PeeredCluster

NAMES = ["a", "b", "c", "d"]
LEASE = 3.0  # seconds
MARGIN = 0.05  # seconds


class Quiet:
    """A component that only records what it receives."""

    name, topics, period = "quiet", (), 0.5

    def __init__(self, rng) -> None:
        self.rng, self.log = rng, []

    def on_start(self, now, view, stored):
        self.view, self.stored = view, stored
        return []

    def on_member(self, now, member):
        self.log.append((member.name, member.state))
        return []

    def on_entry(self, now, entry):
        self.log.append((entry.origin, entry.value))
        return []

    def on_message(self, now, sender, incarnation, body):
        self.log.append((sender, incarnation, body))
        return []

    def on_tick(self, now):
        return []

    def on_disk(self, now, key):
        return [LogLine(f"no room for {key}")]

    def on_leave(self, now):
        return []


class Lender(Quiet):
    """Each process owns one unit, lends it under a lease, and requests those of others."""

    name = "lender"
    from_request = waits = reads_clock_at_use = True

    def on_start(self, now, view, stored):
        super().on_start(now, view, stored)
        self.lent_until = now + LEASE * (1 + MAX_CLOCK_DRIFT) + MARGIN if self.waits else 0.0
        self.asked, self.held, self.seen = {}, {}, now
        return []

    def on_tick(self, now):
        self.seen = now
        others = [n for n, m in self.view.members().items() if m.is_live and n != self.view.name]
        if not others or self.rng.random() < 0.3:
            return []
        other = self.rng.choice(sorted(others))
        self.asked[other] = now
        return [Post(other, msgspec.msgpack.encode(["ask", now]))]

    def on_message(self, now, sender, incarnation, body):
        self.seen = now
        try:
            what, stamp = msgspec.msgpack.decode(body, type=tuple[str, float])
        except msgspec.DecodeError:
            return []
        if what == "ask" and now >= self.lent_until:
            self.lent_until = now + LEASE * (1 + MAX_CLOCK_DRIFT) + MARGIN
            return [Post(sender, msgspec.msgpack.encode(["grant", stamp]))]
        if what == "grant" and self.asked.get(sender) == stamp:
            self.held[sender] = (self.asked.pop(sender) if self.from_request else now) + LEASE
        return []

    def may(self, now):
        now = now if self.reads_clock_at_use else self.seen
        return (now >= self.lent_until) + sum(now < until for until in self.held.values())


class CountsFromReceipt(Lender):
    from_request = False


class ForgetsAfterRestart(Lender):
    waits = False


class UsesStaleTime(Lender):
    reads_clock_at_use = False


def units_in_use_never_exceed_the_total(world):
    held = sum(part.may(proc.clock()) for proc in world.running for part in proc.parts)
    assert held <= len(world.procs), f"{held} units of {len(world.procs)}"


def play(part, seed, seconds=60.0, names=NAMES, **more):
    world = Cluster(
        seed, names, lambda name, rng: [part(rng)], checks=[units_in_use_never_exceed_the_total], **more
    )
    world.play(schedule(seed, names, seconds))
    world.run(seconds)
    return world


def test_a_correct_component_keeps_the_invariant_and_lends():
    lent = 0
    for seed in range(25):
        world = play(Lender, seed, garbage=0.1)
        lent += sum(len(proc.part("lender").held) for proc in world.running)
        assert len(world.running) == len(NAMES)
    assert lent > 100


@pytest.mark.parametrize("part", [CountsFromReceipt, ForgetsAfterRestart, UsesStaleTime])
def test_defects_are_detected(part):
    with pytest.raises(SimulationError, match=r"seed \d+, .* s: AssertionError: \d units of 4"):
        for seed in range(60):
            play(part, seed)


def test_a_seed_is_reproducible():
    def steps(seed):
        world = play(Lender, seed, 30.0)
        return world.steps, [(p.name, p.start_count, p.clock(), p.part("lender").held) for p in world.running]

    assert steps(5) == steps(5) != steps(6)


def quiet(*parts):
    def make(name, rng):
        return [part(rng) for part in parts or (Quiet,)]

    world = Cluster(1, NAMES, make, link=Link(delay_ms=5))
    assert world.until(lambda: sum(len(p.known) for p in world.running) == len(NAMES) ** 2, 10)
    return world


def test_a_death_is_detected_and_a_restart_fences():
    world = quiet()
    world.crash("a")
    assert world.until(lambda: all(p.known["a"].state is State.DEAD for p in world.running), 20)
    assert ("a", State.SUSPECT) in world.procs["b"].part("quiet").log
    world.start("a")
    assert world.until(lambda: all(p.known["a"].state is State.ALIVE for p in world.running), 20)
    assert {p.known["a"].incarnation for p in world.running} == {2}
    world.leave("b")
    assert world.until(lambda: all(p.known["b"].state is State.LEFT for p in world.running), 5)


def test_each_side_of_a_partition_holds_the_other_dead_until_it_heals():
    world = quiet()
    world.net.partition(["a", "b"])
    dead = lambda: [sum(m.state is State.DEAD for m in p.known.values()) for p in world.running]  # noqa: E731
    assert world.until(lambda: dead() == [2, 2, 2, 2], 20)
    world.net.partition(["a", "c"])
    known = world.procs["a"].known
    assert world.until(lambda: known["c"].is_live and not known["b"].is_live, 20)
    world.net.heal()
    assert world.until(lambda: dead() == [0, 0, 0, 0], 20)


def test_entries_spread_after_a_partition_heals_and_empty_ones_remove():
    class Subscriber(Quiet):
        topics = ("t",)

    world = quiet(Subscriber)
    world.net.partition(["a"])
    world.call_component("a", lambda p: [Put("t", b"old"), Put("t", b"new")])
    world.run(3)
    assert world.procs["b"].entry("a", "t") is None
    world.net.heal()
    assert world.until(lambda: all(p.entry("a", "t") for p in world.running), 20)
    assert ("a", b"new") in world.procs["b"].part("quiet").log
    world.call_component("a", lambda p: [Put("t", b"")])
    assert world.until(lambda: not any(list(p.entries("t")) for p in world.running), 20)


def test_messages_are_lost_repeated_and_reordered_as_configured():
    world = quiet()
    for link, minimum, maximum in (
        (Link(), 100, 100),
        (Link(loss=0.5), 25, 75),
        (Link(repeat=1.0), 200, 200),
    ):
        world.net.link("a", "b", link)
        log = world.procs["b"].part("quiet").log = []
        for number in range(100):
            world.call_component("a", lambda p, n=number: [Post("b", bytes([n]))])
        world.run(1)
        assert minimum <= sum(len(row) == 3 for row in log) <= maximum
    world.net.link("a", "b", Link(jitter_ms=500))
    log = world.procs["b"].part("quiet").log = []
    for number in range(100):
        world.call_component("a", lambda p, n=number: [Post("b", bytes([n]))])
    world.run(1)
    came = [row[2] for row in log if len(row) == 3]
    assert sorted(came) == [bytes([n]) for n in range(100)] != came


def test_a_paused_process_receives_everything_and_its_clock_continues():
    world = quiet()
    before = world.procs["a"].clock()
    world.pause("a", 20.0)
    for number in range(5):
        world.call_component("b", lambda p, n=number: [Post("a", bytes([n]))])
    world.run(19.0)
    log = world.procs["a"].part("quiet").log
    assert not [row for row in log if len(row) == 3] and world.procs["b"].known["a"].state is State.DEAD
    world.run(2.0)
    assert len([row for row in log if len(row) == 3]) == 5
    assert abs(world.procs["a"].clock() - before - 21.0) < 21.0 * MAX_CLOCK_DRIFT


def test_a_trip_interrupts_between_two_effects():
    world = quiet()
    world.fail_after("a", 1, "crash")
    world.call_component("a", lambda p: [Store("k", b"1"), Store("k", b"2")])
    assert not world.procs["a"].up and world.procs["a"].stored_records == {"quiet": {"k": b"1"}}
    world.fail_after("b", 1, "pause", 5.0)
    world.call_component("b", lambda p: [Store("k", b"1"), Store("k", b"2")])
    assert world.procs["b"].stored_records == {"quiet": {"k": b"1"}}
    world.run(6.0)
    assert world.procs["b"].stored_records == {"quiet": {"k": b"2"}}


def test_disks_fill_up_and_are_lost_or_damaged():
    class Careful(Quiet):
        def on_start(self, now, view, stored):
            if stored and stored["k"] != b"good":
                raise StateTrouble("k")
            return super().on_start(now, view, stored)

    world = quiet(Careful)
    world.call_component("a", lambda p: [Store("k", b"good")])
    world.disk("a", "full")
    world.call_component("a", lambda p: [LogLine("before"), Store("k", b"bad"), LogLine("behind")])
    assert world.procs["a"].notes == ["before", "no room for k"]
    for disk, stored in (("kept", {"k": b"good"}), ("damaged", None), ("lost", {})):
        world.crash("a")
        world.start("a", disk)
        if stored is None:
            assert isinstance(world.procs["a"].refused, StateTrouble) and not world.procs["a"].up
        else:
            assert world.procs["a"].part("quiet").stored == stored


def test_committed_records_go_to_the_followers_of_their_kind():
    class Authority(Quiet):
        name = "authority"

    class Follower(Quiet):
        name, kinds = "follower", ("split",)

        def on_agreed(self, now, record):
            return [LogLine(f"{record.kind} {record.number}")]

    world = quiet(Quiet, Authority, Follower)
    records = [Agreed(n, 1, kind, "k", b"") for n, kind in ((1, "split"), (2, "purge"), (3, "split"))]
    world.call_component("a", lambda p: [Notify(record) for record in records], "authority")
    assert world.procs["a"].notes == ["split 1", "split 3"] and len(world.procs["a"].facts) == 3
    assert not world.procs["b"].notes


@pytest.mark.parametrize(
    "effect, text",
    [(Post("b", b"x" * 901), "901 bytes"), (Put("t", b"x" * 601), "601 bytes"), ("nothing", "no effect")],
)
def test_invalid_effects_are_faults(effect, text):
    class Wrong(Quiet):
        def on_tick(self, now):
            return [effect]

    with pytest.raises(SimulationError, match=text):
        quiet(Wrong).run(2)


def test_schedules_contain_all_kinds_of_faults_and_end_without_faults():
    seen = Counter(row[1] for seed in range(20) for row in schedule(seed, NAMES, 60.0))
    assert seen.keys() == {
        "crash",
        "start",
        "leave",
        "pause",
        "disk",
        "force_state",
        "fail_after",
        "net.partition",
        "net.cut",
        "net.link",
        "net.heal",
        "end_faults",
    }
    assert schedule(3, NAMES, 60.0) == schedule(3, NAMES, 60.0) != schedule(4, NAMES, 60.0)


def test_two_hundred_processes():
    names = [f"p{n}" for n in range(200)]
    world = play(Lender, 1, 3.0, names)
    assert len(world.running) == 200 and world.steps > 2_000


# ---- with the program's peer protocol -----------------------------------------------------------------


def play_peered(part, seed, seconds=60.0):
    world = PeeredCluster(
        seed, NAMES, lambda name, rng: [part(rng)], checks=[units_in_use_never_exceed_the_total]
    )
    world.play(schedule(seed, NAMES, seconds))
    world.run(seconds)
    return world


def test_with_peers_a_correct_component_keeps_the_invariant_and_members_converge():
    lent = 0
    for seed in range(8):
        world = play_peered(Lender, seed)
        assert [m.state for p in world.running for m in p.members().values()] == [State.ALIVE] * 16
        incarnations = {p.name: p.incarnation for p in world.running}
        assert all(
            {m.name: m.incarnation for m in p.members().values()} == incarnations for p in world.running
        )
        lent += sum(len(proc.part("lender").held) for proc in world.running)
    assert lent > 30


def test_with_peers_a_defect_is_detected():
    with pytest.raises(SimulationError):
        for seed in range(30):
            play_peered(CountsFromReceipt, seed)


def test_with_peers_entries_and_messages_arrive_and_a_seed_is_reproducible():
    class Subscriber(Quiet):
        topics = ("t",)

    def log(seed):
        world = PeeredCluster(seed, NAMES, lambda name, rng: [Subscriber(rng)], link=Link(delay_ms=5))
        assert world.until(lambda: sum(len(p.members()) for p in world.running) == 16, 20)
        world.call_component("a", lambda p: [Put("t", b"told"), Post("b", b"sent"), Post("a", b"to myself")])
        assert world.until(lambda: all(p.entry("a", "t") for p in world.running), 20)
        world.leave("c")
        assert world.until(lambda: all(p.members()["c"].state is State.LEFT for p in world.running), 20)
        return [p.part("quiet").log for p in world.running]

    logs = log(1)
    assert ("a", 1, b"to myself") in logs[0] and ("a", 1, b"sent") in logs[1] and ("a", b"told") in logs[2]
    assert logs == log(1) != log(2)
