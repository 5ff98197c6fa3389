"""Every schedule of a small fleet: three voters, two of them stand once, each then proposes one record.

`Model(crashes, last).explore()` goes through all of them: 12,444 worlds for (0, 1), 273,065 for (0, 2),
44,155 for (1, 1) without renewals. `walk` goes through one at random, with more crashes and time.

Breadth first over all orders of: a message comes (any that was ever sent, again and again, or never), a
tick, a voter crashes and starts from its disk (also between two effects of a call), a candidate stands, asks
for more of its lease, or takes the next step. Voter and Tenure are the program's own; only their driver is
the model's. Simpler than the part: nobody sounds out first, a grant brings the voter's log along, and the
lease is one tick.
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
from aspenrill.fleet.authority.voter import PROMISE
from aspenrill.fleet.authority.wire import Accept, Acked, Ask, Promise, Record, Tail, Vote, decode, encode
from aspenrill.fleet.interface import Store

NAMES, STANDING = ("a", "b", "c"), ("a", "b")
RULES = Rules(NAMES, lease=1.0, renew=0.3, margin=0.0)
decoded = lru_cache(None)(decode)
EMPTY = Table()  # nothing is known as agreed: the tails hold all


class World(NamedTuple):
    """All but time and counts is interned, so that equal worlds are equal tuples of small numbers and
    names."""

    now: int
    voters: tuple
    disks: tuple
    lives: tuple
    tenures: tuple  # of those that stand
    stood: tuple
    renewed: tuple
    posts: int  # a bit for each that was ever sent: (to, sender, its life, body)
    agreed: tuple  # (number, record) that a coordinator ever counted as agreed
    crashes: int


class Disk(dict):
    """A disk that is hashed as the one that it is: there is one of each content."""

    __hash__ = object.__hash__


class Pool:
    """One of each voter, tenure and disk, and what came of a message at each: the same every time."""

    def __init__(self) -> None:
        self.known: dict = {}
        self.posts: dict[tuple, int] = {}
        self.listed: list[tuple] = []
        self.came: dict = {}

    def one(self, thing):
        if thing is None:
            return None
        if isinstance(thing, dict):
            key = tuple(sorted(thing.items()))
        elif isinstance(thing, part_module.Voter):
            key = (thing.promise, thing.until, thing.released, tuple(sorted(thing.tail.items())))
        else:
            key = (
                thing.epoch,
                thing.life,
                thing.won_at,
                tuple(sorted(thing.ends.items())),
                tuple(sorted(thing.whole)),
                tuple(sorted(thing.acked.items())),
                tuple(sorted(thing.best.items())),
                tuple(thing.sent.items()),
            )
        return self.known.setdefault(key, thing)

    def bit(self, post: tuple) -> int:
        if post not in self.posts:
            self.posts[post] = 1 << len(self.posts)
            self.listed.append(post)
        return self.posts[post]


def put(items: tuple, index: int, item) -> tuple:
    return items[:index] + (item,) + items[index + 1 :]


def clone(thing):
    twin = copy(thing)
    for name, value in vars(thing).items():
        if isinstance(value, dict | set):
            setattr(twin, name, copy(value))
    return twin


def others(index: int, message) -> list:
    return [(other, encode(message)) for other in range(3) if other != index]


class Model:
    """`crashes` at most, time up to `last`, a lease asked for again once if `renews`; `order` of a call's
    effects."""

    def __init__(self, crashes: int, last: int, order=list, renews: bool = True) -> None:
        self.most, self.last, self.order, self.renews, self.pool = crashes, last, order, renews, Pool()

    def start(self) -> World:
        disk = self.pool.one(Disk({PROMISE: encode(Promise())}))
        return World(
            0,
            (self.begin(disk, 0),) * 3,
            (disk,) * 3,
            (1,) * 3,
            (None,) * 2,
            (False,) * 2,
            (False,) * 2,
            0,
            (),
            0,
        )

    def begin(self, disk, now):
        voter = part_module.Voter(RULES, EMPTY, float(now))
        voter.load(float(now), disk)
        return self.pool.one(voter)

    def crash(self, world: World, index: int) -> World:
        tenures = put(world.tenures, index, None) if index < len(STANDING) else world.tenures
        voter = self.begin(world.disks[index], world.now)
        return world._replace(
            voters=put(world.voters, index, voter),
            tenures=tenures,
            lives=put(world.lives, index, world.lives[index] + 1),
            crashes=world.crashes + 1,
        )

    def carry(self, world: World, index: int, effects: list) -> list[World]:
        """After all of the effects; and after a crash behind each number of them."""
        worlds = []
        for number, effect in enumerate(self.order(effects)):
            if number and world.crashes < self.most:
                worlds.append(self.crash(world, index))
            if isinstance(effect, Store):
                disk = self.pool.one(Disk(world.disks[index] | {effect.key: effect.value}))
                world = world._replace(disks=put(world.disks, index, disk))
            else:
                post = (effect[0], index, world.lives[index], effect[1])
                world = world._replace(posts=world.posts | self.pool.bit(post))
        return [*worlds, world]

    def turned(self, world: World, index: int, voter=None, tenure=None) -> World:
        if voter is not None:
            world = world._replace(voters=put(world.voters, index, self.pool.one(voter)))
        if tenure is not None:
            world = world._replace(tenures=put(world.tenures, index, self.pool.one(tenure)))
        return world

    def steps(self, world: World):
        """Every world that may come next."""
        now = float(world.now)
        if world.now < self.last:
            yield world._replace(now=world.now + 1)
        if world.crashes < self.most:
            for index in range(3):
                yield self.crash(world, index)
        for index in range(len(STANDING)):
            tenure = world.tenures[index]
            if not world.stood[index] and tenure is None and world.voters[index].free(now):
                epoch = world.voters[index].promise.epoch + 1
                tenure = election_module.Tenure(RULES, world.lives[index], epoch, now)
                tenure.asking(now, epoch)
                yield from self.ask(world._replace(stood=put(world.stood, index, True)), index, tenure, now)
                continue
            may = self.renews and not world.renewed[index]
            if may and tenure is not None and world.now > tenure.asked_at:
                after = world._replace(renewed=put(world.renewed, index, True))
                yield from self.ask(after, index, clone(tenure), now)
            if tenure is not None and tenure.won_at is None and tenure.complete(now, 0):
                yield from self.win(world, index, now)
        for post in self.pool.listed[:]:
            if world.posts & self.pool.posts[post]:
                yield from self.deliver(world, post, now)

    def ask(self, world: World, index: int, tenure, now: float):
        voter, life, name = clone(world.voters[index]), world.lives[index], NAMES[index]
        question = Ask(tenure.epoch, life, tenure.next_round(now), RULES.lease, False, 0)
        granted, effects = voter.ask(now, name, life, question)
        tenure.voted(now, name, Vote(tenure.epoch, life, question.round, False, granted, 0))
        if granted and tenure.won_at is None:
            tenure.read(name, voter.read(0), 0)
        after = self.turned(world, index, voter, tenure)
        yield from self.carry(after, index, effects + others(index, question))

    def win(self, world: World, index: int, now: float):
        tenure, voter = clone(world.tenures[index]), clone(world.voters[index])
        records = tenure.win(now, 0)
        records.append(Record(len(records) + 1, tenure.epoch, "k", NAMES[index], b"x"))
        accept = Accept(tenure.epoch, tenure.life, 0, records)
        followed, effects = voter.accept(NAMES[index], tenure.life, accept)
        if followed:
            tenure.acknowledged(NAMES[index], voter.upto(tenure.epoch))
        after = self.turned(world, index, voter, tenure)
        yield from self.carry(after, index, effects + others(index, accept))

    def deliver(self, world: World, post: tuple, now: float):
        to, sender, life, body = post
        thing = world.voters[to] if isinstance(decoded(body), Ask | Accept) else world.tenures[to]
        if thing is None:
            return
        key = (id(thing), post, now)
        if key not in self.pool.came:
            self.pool.came[key] = self.heard(thing, NAMES[sender], life, decoded(body), now)
        after, effects = self.pool.came[key]
        if thing is world.voters[to]:
            world = world._replace(voters=put(world.voters, to, after))
            yield from self.carry(world, to, effects[0] + [(sender, answer) for answer in effects[1]])
        elif decoded(body).life == world.lives[to] and after is not thing:
            agreed = world.agreed
            if after.won_at is not None and (most := after.agreed()):
                tail = world.voters[to].tail
                told = {(n, tail[n].record) for n in range(1, most + 1) if n in tail}
                agreed = tuple(sorted({*agreed, *told}))
            yield world._replace(tenures=put(world.tenures, to, after), agreed=agreed)

    def heard(self, thing, who: str, life: int, message, now: float) -> tuple:
        thing, effects = clone(thing), []
        answers: list = []
        if isinstance(message, Ask):
            granted, effects = thing.ask(now, who, life, message)
            if granted:
                answers = [Vote(message.epoch, life, message.round, False, True, 0), thing.read(0)]
        elif isinstance(message, Accept):
            granted, effects = thing.accept(who, life, message)
            if granted:
                answers = [Acked(message.epoch, life, thing.upto(message.epoch))]
        elif isinstance(message, Vote):
            thing.voted(now, who, message)
        elif isinstance(message, Tail):
            thing.read(who, message, 0)
        elif thing.won_at is not None and message.epoch == thing.epoch:
            thing.acknowledged(who, message.upto)
        return self.pool.one(thing), (effects, [encode(answer) for answer in answers])

    def check(self, world: World) -> None:
        acting = [t for t in world.tenures if t is not None and t.holds(float(world.now))]
        assert len(acting) <= 1, f"two hold the lease at {world.now}"
        numbers = [number for number, _ in world.agreed]
        assert len(numbers) == len(set(numbers)), f"an agreed record changed: {world.agreed}"

    def explore(self, most_worlds: int = 10**9) -> tuple[int, bool]:
        """How many worlds there are, and whether those are all; AssertionError at the first in which a
        promise does not hold."""
        first = self.start()
        seen, edge = {first}, [first]
        while edge:
            following = []
            for world in edge:
                for after in self.steps(world):
                    if after not in seen:
                        if len(seen) >= most_worlds:
                            return len(seen), False
                        seen.add(after)
                        self.check(after)
                        following.append(after)
            edge = following
        return len(seen), True

    def walk(self, rng: random.Random, length: int) -> None:
        """One schedule at random."""
        world = self.start()
        for _ in range(length):
            after = [another for another in self.steps(world) if another != world]
            if not after:
                return
            world = rng.choice(after)
            self.check(world)
