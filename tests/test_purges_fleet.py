"""Purges in simulated fleets: no process serves answers older than a complete purge."""

from __future__ import annotations

import random
from collections import deque

import pytest

from aspenrill.fleet.kept.front import Kept, Released
from aspenrill.fleet.kept.store import Store
from aspenrill.fleet.purges import leases, wire
from aspenrill.fleet.purges.part import Purges
from standins import cluster
from standins.cluster import Cluster, SimulationError
from standins.faults import Link, schedule
from standins.purging import CacheChecker, build, purge


def pauses(rng: random.Random, names: list[str], seconds: float) -> list[tuple]:
    """Pauses one process at a time and cuts it off meanwhile: it resumes with a few old messages."""
    script, at = [], 6.0
    while at < 0.7 * seconds:
        name, long = rng.choice(names), rng.uniform(2.0, 7.0)
        script += [
            (at, "pause", name, long),
            (at + rng.choice((0.0, 0.005, 0.05, 0.2, 0.35)), "net.partition", [name]),
            (at + long + rng.choice((0.0, 0.5)), "net.heal"),
        ]
        at += long + 3.0
    return [*script, (0.7 * seconds, "end_faults")]


def play(seed: int, seconds: float = 24.0, script=None, **more) -> tuple[Cluster, CacheChecker]:
    """Random faults, then none until no purge is open; raises SimulationError if an invariant is violated."""
    rng = random.Random(seed)
    size = more.pop("size", None) or rng.choice((3, 5, 5, 7, 9))
    world, truth = build(seed, size, sites=rng.choice((1, 2, 3)), garbage=0.02, loads=0.03, **more)
    if script is None:
        script = schedule(seed, world.names, seconds, gap=rng.choice((0.7, 2.0)))
    else:
        script, truth.check_steps = script(rng, world.names, seconds), 1
    world.play(script)
    world.run(seconds)
    for proc in world.running:
        requests = proc.part("requests")
        requests.loads = requests.rate = 0.0
    assert world.until(lambda: not still_open(world), 25.0), f"seed {seed}: open {still_open(world)}"
    return world, truth


def still_open(world: Cluster) -> list[str]:
    return [proc.name for proc in world.running if proc.part("purges").origin.out]


@pytest.mark.parametrize("seed", range(8))
def test_no_outdated_answer_under_random_faults(seed):
    world, truth = play(seed)
    assert truth.complete and truth.served > 10 and truth.check_count > 20


def test_two_hundred_processes_in_a_partition(monkeypatch):
    # the simulated membership checks all pairs, which dominates the cost
    monkeypatch.setattr(cluster, "CHECK_INTERVAL", 2.5)
    world, truth = build(11, 200, sites=4, buildings=3, rate=0.1, loads=0.0002)
    site = [name for name, proc in world.procs.items() if proc.place.site == "s3"]
    world.run(7.0)
    world.net.partition(site)
    world.run(1.0)
    purge(world, "m0000", "g1")
    purge(world, site[0], "g2")
    number = world.procs["m0000"].part("purges").origin.number
    assert world.until(lambda: ("m0000", 1, number) in truth.complete, 12.0)
    assert still_open(world)  # the site that is cut off has no majority
    world.net.heal()
    assert world.until(lambda: not still_open(world), 15.0)


# ---- planted defects -----------------------------------------------------------------------------------


class CachesAfterPurge(Store):
    def put(self, now, key, result, size, stamp, until):
        return super().put(now, key, result, size, self.stamp(stamp.scopes[1:]), until)


class ServesWithoutLease(Store):
    def serves(self, now):
        return self.lease_end > 0


class CountsFromReceipt(leases.LeaseNode):
    def on_grant(self, now, sender, seq, seconds):
        if self.pending_requests.get(seq, (0, ""))[1] == sender:
            self.pending_requests[seq] = now, sender
        return super().on_grant(now, sender, seq, seconds)


class ClearsImmediately(leases.LeaseNode):
    def update_clear(self, now, seen):
        self.cleared = seen
        return seen


class LeaseFromReceipt(Purges):
    def make_lease_nodes(self):
        return [CountsFromReceipt(level) for level in range(4)]


class CompleteBeforeLeasesEnd(Purges):
    def make_lease_nodes(self):
        return [*super().make_lease_nodes()[:3], ClearsImmediately(3)]

    def _propagate(self, now):
        self.lease_nodes[3].lagging.clear()
        super()._propagate(now)


class RelaysAcknowledgeFirst(Purges):
    def make_lease_nodes(self):
        return [leases.LeaseNode(0), ClearsImmediately(1), ClearsImmediately(2), leases.LeaseNode(3)]

    def _propagate(self, now):
        for node in self.lease_nodes[1:3]:
            node.lagging.clear()
        super()._propagate(now)


class LeaseBeforeVersions(Purges):
    def _on_grant(self, now, sender, grant):
        newer = grant.serial, grant.recent
        if grant.seq:  # missing purges come with the next message
            grant = wire.Grant(grant.level, grant.seq, grant.seconds, 0, [])
        super()._on_grant(now, sender, grant)
        if not grant.seq:
            self.advance(now, *newer)

    def on_agreed(self, now, record):
        return super().on_agreed(now, record) if self.authority.coordinating(now) else []


class FewRecent(Purges):
    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.recent = deque(maxlen=2)


class IgnoresGaps(FewRecent):
    def advance(self, now, serial, scopes):
        missing = serial - self.seen
        super().advance(now, serial, ["g1023"] * (missing - len(scopes)) + scopes)


class LoadsOnlyWhenSent(Kept):
    def ended(self, call, result, now) -> Released:
        self.policy, policy = type(self.policy)(self.policy.rules), self.policy
        try:
            return super().ended(call, result, now)
        finally:
            self.policy = policy


SLOW = Link(delay_ms=150, jitter_ms=50)
DEFECTS = {  # with the faults that expose them, and the first seed to try
    "kept across a version change": ({"store": CachesAfterPurge}, None, 0),
    "no lease at use": ({"store": ServesWithoutLease}, pauses, 0),
    "lease from receipt": ({"part": LeaseFromReceipt, "link": SLOW}, pauses, 11),
    "complete before leases end": ({"part": CompleteBeforeLeasesEnd}, pauses, 3),
    "relays acknowledge first": ({"part": RelaysAcknowledgeFirst}, None, 6),
    "lease before versions": ({"part": LeaseBeforeVersions}, pauses, 1),
    "gaps overlooked": ({"part": IgnoresGaps}, pauses, 0),
    "loads only when sent": ({"front": LoadsOnlyWhenSent}, pauses, 0),
    "a predecessor's leases not waited for": ({"waits": 0.0}, None, 4),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_are_detected(defect):
    more, script, first = DEFECTS[defect]
    for seed in range(first, first + 20):
        try:
            play(seed, script=script, **more)
        except SimulationError as broken:
            assert "a purge after" in str(broken)
            return
    pytest.fail(f"{defect}: not found")
