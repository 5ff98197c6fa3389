"""The interface between the fleet service and its components: members, shared state, effects.

A component does no I/O. Each call gives it the time (seconds of CLOCK_BOOTTIME, which continues while the
process is paused or the machine sleeps) and returns effects, which the driver executes in order: on the hub
in a process, on a virtual clock in tests. Times of two processes are never compared.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

MAX_CLOCK_DRIFT = 0.01  # maximum relative difference of two clocks' rates, allowed for by leases
MAX_PEERS = 1100
MAX_BODY = 900  # bytes of a message body: with names, place and tag a datagram stays under 1,200
MAX_VALUE = 600  # bytes of one entry's value


class State(IntEnum):
    """The state of a member as this process sees it. A higher one wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a process runs. Purges are relayed along this tree."""

    site: str = ""
    building: str = ""
    hall: str = ""


@dataclass(frozen=True, slots=True)
class Member:
    """One `incarnation` of a process: a restart has a higher one and fences the former."""

    name: str
    incarnation: int
    host: str
    port: int
    place: Place = Place()
    state: State = State.ALIVE

    @property
    def is_live(self) -> bool:
        """Whether it counts as running: alive, or suspected and not yet declared dead."""
        return self.state <= State.SUSPECT


@dataclass(frozen=True, slots=True)
class Entry:
    """One origin's value of a topic: the later (incarnation, version) wins. An empty value removes it."""

    origin: str
    incarnation: int
    topic: str
    version: int
    value: bytes


class View(Protocol):
    """The current state of the fleet, for components to read in any call."""

    name: str
    incarnation: int
    place: Place

    def members(self) -> Mapping[str, Member]:
        """All known members by name, including this process; dead ones stay for a while."""
        ...

    def entry(self, origin: str, topic: str) -> Entry | None:
        """The latest entry of an origin."""
        ...

    def entries(self, topic: str) -> Iterable[Entry]:
        """The latest entry of each origin that is not dead."""
        ...


# ---- effects ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """Publish this process's entry of a topic to all members."""

    topic: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Post:
    """Send a message to the same component of another process. It may be lost, late, reordered or
    repeated."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Store:
    """Write a record to disk before the effects after it are executed. If that fails, the remaining effects
    of the call are dropped and the component's `on_disk` is called. None deletes the record."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Notify:
    """Pass a fact to the owner or, where documented, to the driver."""

    fact: object


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line; the driver limits their rate."""

    text: str


Effect = Put | Post | Store | Notify | LogLine


class Component(Protocol):
    """A component of the fleet service. `name` identifies its messages; `topics` are the entries that it
    receives."""

    name: str
    topics: tuple[str, ...]
    period: float  # maximum seconds between calls of `on_tick`, unless the process is paused

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Called once, with the records stored by earlier runs under this name."""
        ...

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """A member is new or has another incarnation, place or state."""
        ...

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """An entry of one of the component's topics is new or updated."""
        ...

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """A message of a recently live process has arrived. The component validates its body."""
        ...

    def on_tick(self, now: float) -> list[Effect]:
        """Run what is due."""
        ...

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """A record could not be written."""
        ...

    def on_leave(self, now: float) -> list[Effect]:
        """This process is about to stop: release leases and loans."""
        ...


# ---- the authority --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Agreed:
    """A committed record of the coordinator's log: it is on the disks of a majority of voters.

    Records are numbered from 1 without gaps. The later one of a (kind, key) supersedes the earlier, which a
    late follower may never receive; an empty body deletes it. So the number of keys bounds what is stored.
    """

    number: int
    epoch: int
    kind: str
    key: str
    body: bytes


class Authority(Protocol):
    """Elects one coordinator at a time, by a lease of a majority of the configured voters, with a fencing
    epoch."""

    def coordinating(self, now: float) -> int | None:
        """The epoch in which this process is the coordinator at this moment, or None. To be checked at each
        use."""
        ...

    def settled(self, now: float) -> bool:
        """Whether this process coordinates, has the complete log, and every lease of its predecessors has
        ended."""
        ...

    def epoch(self) -> int:
        """The highest epoch seen; orders of a lower one are rejected."""
        ...

    def propose(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """Append a record if this process coordinates; followers receive it once it is committed. It is lost
        with the lease: callers propose it again, so proposals must be idempotent."""
        ...


class Follower(Component, Protocol):
    """A component that receives the log's records of some kinds, in order and each once in a run."""

    kinds: tuple[str, ...]

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """A record was committed. Called at voters and, later, at all other members."""
        ...
