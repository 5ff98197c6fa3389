"""What the fleet's parts have in common: who is there, what each tells of itself, what a part may ask for.

A part is a module free of I/O. It is given the time with each call (seconds of CLOCK_BOOTTIME, which goes on
while the process is paused and while the machine sleeps) and answers with effects, which its driver carries
out in their order: on the hub in a process, on a virtual clock in tests. Times of two processes are never
compared.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

DRIFT = 0.01  # by which two clocks may differ in rate; lease arithmetic allows for it
MOST_PEERS = 1100
MOST_BODY = 900  # bytes of a message's body: with name, place and tag a datagram stays under 1,200
MOST_VALUE = 600  # bytes of one entry's value


class State(IntEnum):
    """Of a member, as this process sees it. A higher one wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a process runs: purges go down this tree."""

    site: str = ""
    building: str = ""
    hall: str = ""


@dataclass(frozen=True, slots=True)
class Member:
    """A process, as one `incarnation` of its name: a restart has a higher one and fences the former."""

    name: str
    incarnation: int
    host: str
    port: int
    place: Place = Place()
    state: State = State.ALIVE

    @property
    def there(self) -> bool:
        """Counts as running: alive, or suspected and not yet found dead."""
        return self.state <= State.SUSPECT


@dataclass(frozen=True, slots=True)
class Entry:
    """What one origin tells under a topic: the later (incarnation, version) wins. An empty value ends it."""

    origin: str
    incarnation: int
    topic: str
    version: int
    value: bytes


class View(Protocol):
    """What a part may look at in any call, always as of now."""

    name: str
    incarnation: int
    place: Place

    def members(self) -> Mapping[str, Member]:
        """All that are known by name, this process among them; the dead stay for a while."""
        ...

    def entry(self, origin: str, topic: str) -> Entry | None:
        """The latest of an origin."""
        ...

    def entries(self, topic: str) -> Iterable[Entry]:
        """The latest of each origin that is not dead."""
        ...


# ---- effects ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """This process's own entry under a topic, from now on; it spreads to all."""

    topic: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Post:
    """A message to the same part of another process: it may be lost, late, out of order or come twice."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Store:
    """On disk before the effects behind it are carried out. If it fails, those of the same call are dropped
    and the part's `on_disk` is told. None removes the record."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Inform:
    """A fact for the owner's queue, or for the driver where the part's page says so."""

    fact: object


@dataclass(frozen=True, slots=True)
class Note:
    """A log line; the driver bounds how many there are a minute."""

    text: str


Effect = Put | Post | Store | Inform | Note


class Part(Protocol):
    """One concern of the fleet. `name` marks its messages; `topics` are the entries it wants to hear of."""

    name: str
    topics: tuple[str, ...]
    period: float  # seconds between two calls of `on_tick`, at most; a paused process makes them late

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Once, with what `Store` kept from former lives of this name."""
        ...

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """A member is new, has another incarnation, place or state."""
        ...

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """An entry under one of the part's topics, later than the one known before."""
        ...

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """What a process that was alive not long ago has posted; its body is checked by the part."""
        ...

    def on_tick(self, now: float) -> list[Effect]:
        """Time has passed."""
        ...

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """A record could not be written."""
        ...

    def on_leave(self, now: float) -> list[Effect]:
        """This process is about to end in good order: what it holds is handed back at once."""
        ...


# ---- the one authority --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Agreed:
    """A record of the coordinator's log that is on the disks of a majority of voters.

    Records are numbered from 1 without gaps. The later of one (kind, key) supersedes the earlier, which may
    then never be told to who comes late; an empty body ends it. So the keys in use bound what is kept.
    """

    number: int
    epoch: int
    kind: str
    key: str
    body: bytes


class Authority(Protocol):
    """One coordinator at a time, by a lease of a majority of the configured voters, with a fencing epoch."""

    def coordinating(self, now: float) -> int | None:
        """The epoch in which this process coordinates just now; None where it does not. Ask at each use."""
        ...

    def settled(self, now: float) -> bool:
        """Coordinating, its log whole, and every lease that a predecessor may have granted is over."""
        ...

    def epoch(self) -> int:
        """The highest seen: orders of a lower one are refused."""
        ...

    def propose(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """Where it coordinates: one more record, told as Agreed to every part once it is. Lost with the
        lease: whoever wants it proposes again, so steps are such that a repeat does no harm."""
        ...


class Follower(Part, Protocol):
    """A part that follows the log, in the order of its numbers and each record once in a life."""

    kinds: tuple[str, ...]

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """One more record of its kinds; at voters and at all others, who hear of it later."""
        ...
