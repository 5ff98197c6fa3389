"""Purges over whole fleets on a virtual clock: no process serves what is older than a complete purge."""

from __future__ import annotations

import random
from collections import deque

import pytest

from aspenrill.fleet.kept.front import Freed, Kept
from aspenrill.fleet.kept.store import Store
from aspenrill.fleet.purges import leases, wire
from aspenrill.fleet.purges.part import Purges
from standins import cluster
from standins.cluster import Broken, Cluster
from standins.faults import Link, schedule
from standins.purging import Truth, build, purge


def away(rng: random.Random, names: list[str], seconds: float) -> list[tuple]:
    """One at a time is paused, and cut off meanwhile: it wakes to a few messages from before."""
    script, at = [], 6.0
    while at < 0.7 * seconds:
        name, long = rng.choice(names), rng.uniform(2.0, 7.0)
        script += [
            (at, "pause", name, long),
            (at + rng.choice((0.0, 0.005, 0.05, 0.2, 0.35)), "net.part", [name]),
            (at + long + rng.choice((0.0, 0.5)), "net.heal"),
        ]
        at += long + 3.0
    return [*script, (0.7 * seconds, "calm")]


def play(seed: int, seconds: float = 24.0, script=None, **more) -> tuple[Cluster, Truth]:
    """A fleet under random faults, then in calm until nothing is open; raises Broken where a promise is."""
    rng = random.Random(seed)
    size = more.pop("size", None) or rng.choice((3, 5, 5, 7, 9))
    world, truth = build(seed, size, sites=rng.choice((1, 2, 3)), garbage=0.02, loads=0.03, **more)
    if script is None:
        script = schedule(seed, world.names, seconds, gap=rng.choice((0.7, 2.0)))
    else:
        script, truth.loose = script(rng, world.names, seconds), 1
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
def test_no_older_answer_under_random_faults(seed):
    world, truth = play(seed)
    assert truth.complete and truth.served > 10 and truth.looks > 20


def test_two_hundred_processes_in_a_partition(monkeypatch):
    monkeypatch.setattr(cluster, "LOOK", 2.5)  # the oracle looks at each from each: its cost, not a part's
    world, truth = build(11, 200, sites=4, buildings=3, rate=0.1, loads=0.0002)
    site = [name for name, proc in world.procs.items() if proc.place.site == "s3"]
    world.run(7.0)
    world.net.part(site)
    world.run(1.0)
    purge(world, "m0000", "g1")
    purge(world, site[0], "g2")
    number = world.procs["m0000"].part("purges").origin.number
    assert world.until(lambda: ("m0000", 1, number) in truth.complete, 12.0)
    assert still_open(world)  # the site that is cut off has no majority
    world.net.heal()
    assert world.until(lambda: not still_open(world), 15.0)


# ---- each checker can fail -----------------------------------------------------------------------------


class KeepsWhatAPurgeHasPassed(Store):
    def put(self, now, key, result, size, stamp, until):
        return super().put(now, key, result, size, self.stamp(stamp.scopes[1:]), until)


class ServesWithoutALease(Store):
    def serves(self, now):
        return self.lease_end > 0


class CountsFromReceipt(leases.Post):
    def granted(self, now, sender, seq, seconds):
        if self.asked.get(seq, (0, ""))[1] == sender:
            self.asked[seq] = now, sender
        return super().granted(now, sender, seq, seconds)


class ClearsAtOnce(leases.Post):
    def clear(self, now, seen):
        self.cleared = seen
        return seen


class LeaseFromReceipt(Purges):
    def make_posts(self):
        return [CountsFromReceipt(level) for level in range(4)]


class CompleteBeforeLeasesEnd(Purges):
    def make_posts(self):
        return [*super().make_posts()[:3], ClearsAtOnce(3)]

    def _settle(self, now):
        self.posts[3].behind.clear()
        super()._settle(now)


class RelaysAcknowledgeFirst(Purges):
    def make_posts(self):
        return [leases.Post(0), ClearsAtOnce(1), ClearsAtOnce(2), leases.Post(3)]

    def _settle(self, now):
        for post in self.posts[1:3]:
            post.behind.clear()
        super()._settle(now)


class LeaseBeforeVersions(Purges):
    def _on_grant(self, now, sender, grant):
        newer = grant.serial, grant.recent
        if grant.seq:  # what it lacks comes with the next one that tells of it
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


class OverlooksGaps(FewRecent):
    def advance(self, now, serial, scopes):
        missing = serial - self.seen
        super().advance(now, serial, ["g1023"] * (missing - len(scopes)) + scopes)


class LoadsOnlyWhenSent(Kept):
    def ended(self, call, result, now) -> Freed:
        self.policy, policy = type(self.policy)(self.policy.rules), self.policy
        try:
            return super().ended(call, result, now)
        finally:
            self.policy = policy


SLOW = Link(delay_ms=150, jitter_ms=50)
DEFECTS = {  # with the faults that bring them to light, and the first seed to try
    "kept across a version change": ({"store": KeepsWhatAPurgeHasPassed}, None, 0),
    "no lease at use": ({"store": ServesWithoutALease}, away, 0),
    "lease from receipt": ({"part": LeaseFromReceipt, "link": SLOW}, away, 11),
    "complete before leases end": ({"part": CompleteBeforeLeasesEnd}, away, 3),
    "relays acknowledge first": ({"part": RelaysAcknowledgeFirst}, None, 6),
    "lease before versions": ({"part": LeaseBeforeVersions}, away, 1),
    "gaps overlooked": ({"part": OverlooksGaps}, away, 0),
    "loads only when sent": ({"front": LoadsOnlyWhenSent}, away, 0),
    "a predecessor's leases not waited for": ({"waits": 0.0}, None, 4),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_found(defect):
    more, script, first = DEFECTS[defect]
    for seed in range(first, first + 20):
        try:
            play(seed, script=script, **more)
        except Broken as broken:
            assert "a purge after" in str(broken)
            return
    pytest.fail(f"{defect}: not found")
