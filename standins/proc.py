"""One process on the virtual clock of `cluster`: what it knows, and the view that its parts have."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from aspenrill.fleet.interface import Effect, Entry, Member, Part, Place, Put, State

if TYPE_CHECKING:
    from .cluster import Cluster

SUSPECT, DEAD = 1.0, 2.5  # seconds without contact
FORGET = 60.0  # seconds that the dead stay known


class Broken(AssertionError):
    """A promise does not hold, or a part raised."""


class Proc:
    """A process, and the view that its parts have."""

    def __init__(self, world: Cluster, name: str, place: Place) -> None:
        self.world, self.name, self.place = world, name, place
        self.incarnation = self.life = 0
        self.up, self.paused, self.disk, self.refused = False, False, "ok", None
        self.kept: dict[str, dict[str, bytes]] = {}
        self.facts: list[tuple[float, str, object]] = []
        self.notes: list[str] = []
        self.rate, self.zero = 1.0, 0.0
        self.reset()

    def reset(self) -> None:
        """What is in memory is gone."""
        self.parts: tuple[Part, ...] = ()
        self.known: dict[str, Member] = {}
        self.told: dict[str, dict[str, Entry]] = {}
        self.contact: dict[str, float] = {}
        self.wrong: dict[str, tuple[State, float]] = {}
        self.waiting: list[tuple[Callable, tuple]] = []
        self.rest: list[tuple[Part, Sequence[Effect]]] = []
        self.trip: tuple[int, str, float] | None = None

    def clock(self) -> float:
        """Its own CLOCK_BOOTTIME at this moment."""
        return self.zero + self.rate * self.world.now

    def part(self, name: str) -> Any:
        """Its part of that name."""
        return next(part for part in self.parts if part.name == name)

    def members(self) -> Mapping[str, Member]:
        """See View."""
        return self.known

    def entry(self, origin: str, topic: str) -> Entry | None:
        """See View."""
        found = self.told.get(topic, {}).get(origin)
        return found if found is not None and found.value else None

    def entries(self, topic: str) -> Iterable[Entry]:
        """See View."""
        return [
            entry
            for origin, entry in self.told.get(topic, {}).items()
            if entry.value and origin in self.known and self.known[origin].there
        ]

    # ---- what it knows --------------------------------------------------------------------------------

    def member(self, state: State = State.ALIVE) -> Member:
        """Itself, as others see it."""
        return Member(self.name, self.incarnation, "127.0.0.1", 1, self.place, state)

    def know(self, member: Member) -> None:
        """From now on; what a former incarnation told is void."""
        self.known[member.name] = member
        self.contact.setdefault(member.name, self.world.now)
        for about in self.told.values():
            if member.name in about and about[member.name].incarnation < member.incarnation:
                del about[member.name]

    def tell(self, put: Put) -> Entry:
        """Its own entry under a topic."""
        about = self.told.setdefault(put.topic, {})
        version = about[self.name].version + 1 if self.name in about else 1
        about[self.name] = entry = Entry(self.name, self.incarnation, put.topic, version, put.value)
        return entry

    def accept(self, entry: Entry) -> bool:
        """Another's entry, if it is later than the one known."""
        known = self.known.get(entry.origin)
        if known is None or entry.incarnation < known.incarnation:
            return False
        about = self.told.setdefault(entry.topic, {})
        old = about.get(entry.origin)
        if old is not None and (old.incarnation, old.version) >= (entry.incarnation, entry.version):
            return False
        about[entry.origin] = entry
        return True

    def judge(self, other: Proc, rng: random.Random) -> Member | None:
        """What it takes another for by now; None if it knows nothing of it, or no more."""
        name, now, known = other.name, self.world.now, self.known.get(other.name)
        gap = now - self.contact.get(name, -FORGET)
        if gap == 0:
            state, incarnation = State.ALIVE, other.incarnation
        elif known is None:
            return None
        else:
            state, incarnation = known.state, known.incarnation
            if gap > DEAD and rng.random() < 0.4:
                state = max(state, State.DEAD)
            elif gap > SUSPECT:
                state = max(state, State.SUSPECT)
        if name in self.wrong:
            wrong, until = self.wrong[name]
            if now > until:
                del self.wrong[name]
            else:
                state = wrong
        if gap > FORGET and state > State.SUSPECT:
            del self.known[name]
            for about in self.told.values():
                about.pop(name, None)
            return None
        return Member(name, incarnation, "127.0.0.1", 1, other.place, state)
