"""One simulated process of `cluster`: its membership, its entries and the view that its components have."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from aspenrill.fleet.interface import Component, Effect, Entry, Member, Place, Put, State

if TYPE_CHECKING:
    from .cluster import Cluster

SUSPECT_AFTER = 1.0  # seconds without contact
DEAD_AFTER = 2.5  # seconds without contact
FORGET_AFTER = 60.0  # seconds without contact after which a dead process is removed


class SimulationError(AssertionError):
    """A check failed, or a component raised an exception."""


class Proc:
    """A simulated process; its components see it as their View."""

    def __init__(self, world: Cluster, name: str, place: Place) -> None:
        self.world, self.name, self.place = world, name, place
        self.incarnation = self.start_count = 0
        self.up, self.paused, self.disk, self.refused = False, False, "ok", None
        self.stored_records: dict[str, dict[str, bytes]] = {}
        self.facts: list[tuple[float, str, object]] = []
        self.notes: list[str] = []
        self.clock_rate, self.clock_zero = 1.0, 0.0
        self.reset()

    def reset(self) -> None:
        """Clear everything that was in memory."""
        self.parts: tuple[Component, ...] = ()
        self.known: dict[str, Member] = {}
        self.published: dict[str, dict[str, Entry]] = {}
        self.last_contact: dict[str, float] = {}
        self.forced_states: dict[str, tuple[State, float]] = {}
        self.queued_calls: list[tuple[Callable, tuple]] = []
        self.deferred_effects: list[tuple[Component, Sequence[Effect]]] = []
        self.planned_fault: tuple[int, str, float] | None = None

    def clock(self) -> float:
        """Its own CLOCK_BOOTTIME now."""
        return self.clock_zero + self.clock_rate * self.world.now

    def part(self, name: str) -> Any:
        """Return its component of that name."""
        return next(part for part in self.parts if part.name == name)

    def members(self) -> Mapping[str, Member]:
        """See View."""
        return self.known

    def entry(self, origin: str, topic: str) -> Entry | None:
        """See View."""
        found = self.published.get(topic, {}).get(origin)
        return found if found is not None and found.value else None

    def entries(self, topic: str) -> Iterable[Entry]:
        """See View."""
        return [
            entry
            for origin, entry in self.published.get(topic, {}).items()
            if entry.value and origin in self.known and self.known[origin].is_live
        ]

    # ---- membership and entries -----------------------------------------------------------------------

    def member(self, state: State = State.ALIVE) -> Member:
        """Its own member record."""
        return Member(self.name, self.incarnation, "127.0.0.1", 1, self.place, state)

    def set_member(self, member: Member) -> None:
        """Add or update a member; entries of its former incarnations are dropped."""
        self.known[member.name] = member
        self.last_contact.setdefault(member.name, self.world.now)
        for about in self.published.values():
            if member.name in about and about[member.name].incarnation < member.incarnation:
                del about[member.name]

    def publish(self, put: Put) -> Entry:
        """Publish its own entry under a topic."""
        about = self.published.setdefault(put.topic, {})
        version = about[self.name].version + 1 if self.name in about else 1
        about[self.name] = entry = Entry(self.name, self.incarnation, put.topic, version, put.value)
        return entry

    def accept_entry(self, entry: Entry) -> bool:
        """Store an entry of another process if it is newer; returns whether it was."""
        known = self.known.get(entry.origin)
        if known is None or entry.incarnation < known.incarnation:
            return False
        about = self.published.setdefault(entry.topic, {})
        old = about.get(entry.origin)
        if old is not None and (old.incarnation, old.version) >= (entry.incarnation, entry.version):
            return False
        about[entry.origin] = entry
        return True

    def observe(self, other: Proc, rng: random.Random) -> Member | None:
        """Its current view of another process; None if that is unknown or has been forgotten."""
        name, now, known = other.name, self.world.now, self.known.get(other.name)
        gap = now - self.last_contact.get(name, -FORGET_AFTER)
        if gap == 0:
            state, incarnation = State.ALIVE, other.incarnation
        elif known is None:
            return None
        else:
            state, incarnation = known.state, known.incarnation
            if gap > DEAD_AFTER and rng.random() < 0.4:
                state = max(state, State.DEAD)
            elif gap > SUSPECT_AFTER:
                state = max(state, State.SUSPECT)
        if name in self.forced_states:
            wrong, until = self.forced_states[name]
            if now > until:
                del self.forced_states[name]
            else:
                state = wrong
        if gap > FORGET_AFTER and state > State.SUSPECT:
            del self.known[name]
            for about in self.published.values():
                about.pop(name, None)
            return None
        return Member(name, incarnation, "127.0.0.1", 1, other.place, state)
