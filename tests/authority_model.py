"""Model checker for a small fleet: three voters, two of which become candidates once and propose one record.

`Model(crashes, last_tick).explore()` visits every reachable world: 12,444 for (0, 1), 273,065 for (0, 2),
44,155 for (1, 1) without renewals. `walk` follows one random schedule, with more crashes and time.

Breadth first over all orders of: delivery of any message ever sent (repeatedly or never), a clock tick, a
crash and restart of a voter (also between two effects of a call), a candidacy, a lease renewal, or the next
step of a candidate. Voter and Leadership are the program's own; the model replaces their driver. It is
simpler than the component: there is no pre-vote, a grant carries the voter's log, and the lease is one tick.
"""

from __future__ import annotations

import random
from copy import copy
from functools import lru_cache
from typing import NamedTuple

from aspenrill.fleet.authority import Rules
from aspenrill.fleet.authority import election as election_module
from aspenrill.fleet.authority import part as part_module
from aspenrill.fleet.authority.table import Table
from aspenrill.fleet.authority.voter import PROMISE_KEY
from aspenrill.fleet.authority.wire import (
    Accept,
    Acknowledge,
    LeaseRequest,
    LogTail,
    Promise,
    Record,
    Vote,
    decode,
    encode,
)
from aspenrill.fleet.interface import Store

NAMES = ("a", "b", "c")
CANDIDATES = ("a", "b")
RULES = Rules(NAMES, lease=1.0, renew=0.3, margin=0.0)
decoded = lru_cache(None)(decode)
EMPTY = Table()  # no record is known as agreed: the tails hold them all


class World(NamedTuple):
    """State of the model. Members are interned, so that equal worlds are equal tuples."""

    now: int
    voters: tuple
    disks: tuple
    incarnations: tuple
    leaderships: tuple  # of the candidates
    was_candidate: tuple
    renewed: tuple
    messages: int  # a bit for each message ever sent: (to, sender, its incarnation, body)
    agreed: tuple  # (number, record) that a coordinator ever counted as agreed
    crashes: int


class Disk(dict):
    """Content of a disk, hashed by identity, as each content is interned once."""

    __hash__ = object.__hash__


class InternPool:
    """Interns voters, leaderships and disks, and caches the result of each message at each of them."""

    def __init__(self) -> None:
        self.interned: dict = {}
        self.messages: dict[tuple, int] = {}
        self.sent_messages: list[tuple] = []
        self.results: dict = {}

    def intern(self, state):
        if state is None:
            return None
        if isinstance(state, dict):
            key = tuple(sorted(state.items()))
        elif isinstance(state, part_module.Voter):
            key = (state.promise, state.lease_until, state.released_epoch, tuple(sorted(state.tail.items())))
        else:
            key = (
                state.epoch,
                state.incarnation,
                state.won_at,
                tuple(sorted(state.lease_ends.items())),
                tuple(sorted(state.fully_read)),
                tuple(sorted(state.acknowledged_to.items())),
                tuple(sorted(state.recovered_entries.items())),
                tuple(state.round_sent_at.items()),
            )
        return self.interned.setdefault(key, state)

    def bit(self, sent: tuple) -> int:
        if sent not in self.messages:
            self.messages[sent] = 1 << len(self.messages)
            self.sent_messages.append(sent)
        return self.messages[sent]


def replace_at(items: tuple, index: int, item) -> tuple:
    return items[:index] + (item,) + items[index + 1 :]


def clone(state):
    copied = copy(state)
    for name, value in vars(state).items():
        if isinstance(value, dict | set):
            setattr(copied, name, copy(value))
    return copied


def others(index: int, message) -> list:
    return [(other, encode(message)) for other in range(3) if other != index]


class Model:
    """At most `crashes` crashes, time up to `last_tick`, one lease renewal if `renews`.

    `order` is the order in which the effects of a call are carried out.
    """

    def __init__(self, crashes: int, last_tick: int, order=list, renews: bool = True) -> None:
        self.max_crashes, self.last_tick, self.order, self.renews, self.pool = (
            crashes,
            last_tick,
            order,
            renews,
            InternPool(),
        )

    def start(self) -> World:
        disk = self.pool.intern(Disk({PROMISE_KEY: encode(Promise())}))
        return World(
            0,
            (self.start_voter(disk, 0),) * 3,
            (disk,) * 3,
            (1,) * 3,
            (None,) * 2,
            (False,) * 2,
            (False,) * 2,
            0,
            (),
            0,
        )

    def start_voter(self, disk, now):
        voter = part_module.Voter(RULES, EMPTY, float(now))
        voter.load(float(now), disk)
        return self.pool.intern(voter)

    def crash(self, world: World, index: int) -> World:
        leaderships = (
            replace_at(world.leaderships, index, None) if index < len(CANDIDATES) else world.leaderships
        )
        voter = self.start_voter(world.disks[index], world.now)
        return world._replace(
            voters=replace_at(world.voters, index, voter),
            leaderships=leaderships,
            incarnations=replace_at(world.incarnations, index, world.incarnations[index] + 1),
            crashes=world.crashes + 1,
        )

    def apply_effects(self, world: World, index: int, effects: list) -> list[World]:
        """The worlds after all of the effects, and after a crash behind each of them."""
        worlds = []
        for number, effect in enumerate(self.order(effects)):
            if number and world.crashes < self.max_crashes:
                worlds.append(self.crash(world, index))
            if isinstance(effect, Store):
                disk = self.pool.intern(Disk(world.disks[index] | {effect.key: effect.value}))
                world = world._replace(disks=replace_at(world.disks, index, disk))
            else:
                sent = (effect[0], index, world.incarnations[index], effect[1])
                world = world._replace(messages=world.messages | self.pool.bit(sent))
        return [*worlds, world]

    def with_state(self, world: World, index: int, voter=None, leadership=None) -> World:
        if voter is not None:
            world = world._replace(voters=replace_at(world.voters, index, self.pool.intern(voter)))
        if leadership is not None:
            world = world._replace(
                leaderships=replace_at(world.leaderships, index, self.pool.intern(leadership))
            )
        return world

    def steps(self, world: World):
        """All successors of a world."""
        now = float(world.now)
        if world.now < self.last_tick:
            yield world._replace(now=world.now + 1)
        if world.crashes < self.max_crashes:
            for index in range(3):
                yield self.crash(world, index)
        for index in range(len(CANDIDATES)):
            leadership = world.leaderships[index]
            if not world.was_candidate[index] and leadership is None and world.voters[index].is_unleased(now):
                epoch = world.voters[index].promise.epoch + 1
                leadership = election_module.Leadership(RULES, world.incarnations[index], epoch, now)
                leadership.start_lease_requests(now, epoch)
                yield from self.send_requests(
                    world._replace(was_candidate=replace_at(world.was_candidate, index, True)),
                    index,
                    leadership,
                    now,
                )
                continue
            may_renew = self.renews and not world.renewed[index]
            if may_renew and leadership is not None and world.now > leadership.requested_at:
                after = world._replace(renewed=replace_at(world.renewed, index, True))
                yield from self.send_requests(after, index, clone(leadership), now)
            if leadership is not None and leadership.won_at is None and leadership.recovery_complete(now, 0):
                yield from self.win(world, index, now)
        for sent in self.pool.sent_messages[:]:
            if world.messages & self.pool.messages[sent]:
                yield from self.deliver(world, sent, now)

    def send_requests(self, world: World, index: int, leadership, now: float):
        voter, incarnation, name = clone(world.voters[index]), world.incarnations[index], NAMES[index]
        request = LeaseRequest(
            leadership.epoch, incarnation, leadership.next_round(now), RULES.lease, False, 0
        )
        granted, effects = voter.request_lease(now, name, incarnation, request)
        leadership.record_vote(
            now, name, Vote(leadership.epoch, incarnation, request.round, False, granted, 0)
        )
        if granted and leadership.won_at is None:
            leadership.record_tail(name, voter.read_tail(0), 0)
        after = self.with_state(world, index, voter, leadership)
        yield from self.apply_effects(after, index, effects + others(index, request))

    def win(self, world: World, index: int, now: float):
        leadership, voter = clone(world.leaderships[index]), clone(world.voters[index])
        records = leadership.win(now, 0)
        records.append(Record(len(records) + 1, leadership.epoch, "k", NAMES[index], b"x"))
        accept = Accept(leadership.epoch, leadership.incarnation, 0, records)
        accepted, effects = voter.accept(NAMES[index], leadership.incarnation, accept)
        if accepted:
            leadership.record_ack(NAMES[index], voter.accepted_to(leadership.epoch))
        after = self.with_state(world, index, voter, leadership)
        yield from self.apply_effects(after, index, effects + others(index, accept))

    def deliver(self, world: World, sent: tuple, now: float):
        to, sender, incarnation, body = sent
        state = (
            world.voters[to] if isinstance(decoded(body), LeaseRequest | Accept) else world.leaderships[to]
        )
        if state is None:
            return
        key = (id(state), sent, now)
        if key not in self.pool.results:
            self.pool.results[key] = self.receive(state, NAMES[sender], incarnation, decoded(body), now)
        after, effects = self.pool.results[key]
        if state is world.voters[to]:
            world = world._replace(voters=replace_at(world.voters, to, after))
            yield from self.apply_effects(world, to, effects[0] + [(sender, answer) for answer in effects[1]])
        elif decoded(body).incarnation == world.incarnations[to] and after is not state:
            agreed = world.agreed
            if after.won_at is not None and (agreed_number := after.agreed_number()):
                tail = world.voters[to].tail
                reported = {(n, tail[n].record) for n in range(1, agreed_number + 1) if n in tail}
                agreed = tuple(sorted({*agreed, *reported}))
            yield world._replace(leaderships=replace_at(world.leaderships, to, after), agreed=agreed)

    def receive(self, state, name: str, incarnation: int, message, now: float) -> tuple:
        state, effects = clone(state), []
        answers: list = []
        if isinstance(message, LeaseRequest):
            granted, effects = state.request_lease(now, name, incarnation, message)
            if granted:
                answers = [
                    Vote(message.epoch, incarnation, message.round, False, True, 0),
                    state.read_tail(0),
                ]
        elif isinstance(message, Accept):
            granted, effects = state.accept(name, incarnation, message)
            if granted:
                answers = [Acknowledge(message.epoch, incarnation, state.accepted_to(message.epoch))]
        elif isinstance(message, Vote):
            state.record_vote(now, name, message)
        elif isinstance(message, LogTail):
            state.record_tail(name, message, 0)
        elif state.won_at is not None and message.epoch == state.epoch:
            state.record_ack(name, message.up_to)
        return self.pool.intern(state), (effects, [encode(answer) for answer in answers])

    def check(self, world: World) -> None:
        holders = [t for t in world.leaderships if t is not None and t.holds_lease(float(world.now))]
        assert len(holders) <= 1, f"two hold the lease at {world.now}"
        numbers = [number for number, _ in world.agreed]
        assert len(numbers) == len(set(numbers)), f"an agreed record changed: {world.agreed}"

    def explore(self, max_worlds: int = 10**9) -> tuple[int, bool]:
        """The number of worlds and whether the search was exhaustive.

        Raises AssertionError at the first world that violates an invariant.
        """
        first = self.start()
        seen, frontier = {first}, [first]
        while frontier:
            following = []
            for world in frontier:
                for after in self.steps(world):
                    if after not in seen:
                        if len(seen) >= max_worlds:
                            return len(seen), False
                        seen.add(after)
                        self.check(after)
                        following.append(after)
            frontier = following
        return len(seen), True

    def walk(self, rng: random.Random, length: int) -> None:
        """Follows one random schedule."""
        world = self.start()
        for _ in range(length):
            after = [another for another in self.steps(world) if another != world]
            if not after:
                return
            world = rng.choice(after)
            self.check(world)
