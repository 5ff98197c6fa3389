"""The member table: one record for each name, of which the latest update wins, and its gossip queue.

SWIM's precedence rules (Das, Gupta, Motivala 2002, 4.2), with two changes. The incarnation identifies one
run of a process and does not change while it runs; SWIM's incarnation number, raised by each refutation, is
`refutations` here. And a reported death counts only as a suspicion if a datagram of the member just arrived,
or if the report comes with a full exchange: two halves of a healed partition must not declare each other
dead.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from types import MappingProxyType

from msgspec import Raw, structs

from ..interface import MAX_PEERS, Member, State
from .gossip_queue import GossipQueue
from .wire import MemberUpdate, encode

FRESH_FOR = 1.0  # seconds for which a datagram of a member outweighs a report of its death
MAX_GOSSIP_AGE = 20.0  # seconds for which an update is gossiped
MAX_REPORTERS = 4  # reporters of a suspicion that are kept and gossiped


@dataclass(eq=False, slots=True)
class Suspicion:
    """The suspicion of one member. `confirmed_locally`: this process's own probe of it failed."""

    since: float
    confirmed_locally: bool
    reporters: set[str]
    verify_at: float


@dataclass(eq=False, slots=True)
class Record:
    """A member, and the local observations of it."""

    latest: MemberUpdate
    member: Member
    encoded: Raw
    since: float  # of the current state
    received_at: float = -1e9  # time of the last datagram
    notified_at: float = -1e9  # when it was last sent its own recorded state
    rtt: float | None = None  # seconds; rises at once, falls slowly
    suspicion: Suspicion | None = None
    old_address: tuple[str, int] | None = None  # of the previous incarnation

    @property
    def address(self) -> tuple[str, int]:
        """The address that the member advertises."""
        return self.latest.host, self.latest.port

    @property
    def is_live(self) -> bool:
        """Whether the state is ALIVE or SUSPECT."""
        return self.latest.state <= State.SUSPECT


class Table:
    """The other members by name; `on_change` is called with each change that is visible to components."""

    def __init__(
        self,
        me: MemberUpdate,
        rng: random.Random,
        on_change: Callable[[Member], None],
        on_self_update: Callable[[float, MemberUpdate], None],
    ) -> None:
        self.me, self.rng = me, rng
        self.records: dict[str, Record] = {}
        self.gossip = GossipQueue(MAX_GOSSIP_AGE)
        self._on_change, self._on_self_update = on_change, on_self_update
        self._members = {me.name: me.member()}
        self.members = MappingProxyType(self._members)
        self._live_names: list[str] = []  # names in arbitrary order, for random sampling
        self._live_index: dict[str, int] = {}  # index in that list
        self.departed: dict[str, None] = {}  # names that are dead or have left, oldest first
        self.suspects: dict[str, Record] = {}
        self.joined: list[tuple[str, bool]] = []  # new members; True: returned from DEAD

    def __len__(self) -> int:
        """The number of live members, including this process."""
        return len(self._live_names) + 1

    def live_records(self) -> Iterator[Record]:
        """The records of the live members."""
        return (self.records[name] for name in self._live_names)

    def sample(self, count: int, matches: Callable[[Record], bool] | None = None) -> list[Record]:
        """A random sample of the live members, without repeats."""
        found: list[Record] = []
        if matches is None:
            names = self.rng.sample(self._live_names, min(count, len(self._live_names)))
            return [self.records[name] for name in names]
        for name in self.rng.sample(self._live_names, min(len(self._live_names), 4 * count + 4)):
            record = self.records[name]
            if matches(record):
                found.append(record)
                if len(found) == count:
                    break
        return found

    # ---- this process itself --------------------------------------------------------------------------

    def update_self(self, now: float, **change: object) -> None:
        """Change and gossip the record of this process."""
        self.me = structs.replace(self.me, **change)
        self.gossip.add(now, self.me.name, Raw(encode(self.me)))
        member = self.me.member()
        if member != self._members[member.name]:
            self._members[member.name] = member
            self._on_change(member)

    # ---- other members -----------------------------------------------------------------------

    def merge(self, now: float, update: MemberUpdate, from_exchange: bool = False) -> None:
        """Merge a received update of a member."""
        if update.name == self.me.name:
            self._on_self_update(now, update)
            return
        record = self.records.get(update.name)
        if record is None:
            if update.state <= State.SUSPECT and len(self) < MAX_PEERS:
                self._add(now, update)
            return
        latest, rank, known_rank = record.latest, update.rank, record.latest.rank
        if rank <= known_rank:
            if rank == known_rank and record.suspicion is not None and update.reporter:
                self._confirm(now, record, update.reporter)
            return
        if (
            update.state == State.DEAD
            and record.is_live
            and update.boot_id == latest.boot_id
            and (from_exchange or now - record.received_at < FRESH_FOR)
        ):
            update = structs.replace(update, state=int(State.SUSPECT), reporter="")
            if update.rank <= known_rank:
                return
        if update.state <= State.SUSPECT and not record.is_live and len(self) >= MAX_PEERS:
            return
        self.replace(now, record, update)

    def _add(self, now: float, update: MemberUpdate) -> None:
        encoded = Raw(encode(update))
        record = self.records[update.name] = Record(update, update.member(), encoded, now)
        self._add_live(update.name)
        self._apply(now, record)

    def replace(self, now: float, record: Record, update: MemberUpdate, gossip: bool = True) -> None:
        """Replace a member's record by a later update."""
        before = record.latest
        was_live = record.is_live
        if update.boot_id != before.boot_id:
            record.old_address = record.address if was_live else None
            record.received_at = record.notified_at = -1e9
            record.rtt = None
        record.latest, record.encoded = update, Raw(encode(update))
        if update.state != before.state or update.boot_id != before.boot_id:
            record.since = now
        record.suspicion = None
        self.suspects.pop(update.name, None)
        if record.is_live and not was_live:
            del self.departed[update.name]
            self._add_live(update.name, before.state == State.DEAD)
        elif was_live and not record.is_live:
            self._remove_live(update.name)
        elif update.boot_id != before.boot_id and record.is_live:
            self.joined.append((update.name, False))
        self._apply(now, record, gossip)

    def _apply(self, now: float, record: Record, gossip: bool = True) -> None:
        update = record.latest
        if update.state == State.SUSPECT:
            reporters = {update.reporter} if update.reporter else set()
            record.suspicion = Suspicion(now, False, reporters, now)
            self.suspects[update.name] = record
        if gossip:
            self.gossip.add(now, update.name, record.encoded)
        else:
            self.gossip.drop(update.name)
        member = update.member()
        if member != self._members.get(update.name):
            self._members[update.name] = record.member = member
            self._on_change(member)

    def _confirm(self, now: float, record: Record, reporter: str) -> None:
        """Count and gossip another process whose probe of the member failed (Lifeguard, IV.B)."""
        reporters = record.suspicion.reporters
        if reporter not in reporters and len(reporters) < MAX_REPORTERS:
            reporters.add(reporter)
            update = structs.replace(record.latest, reporter=reporter)
            self.gossip.add(now, update.name, Raw(encode(update)))

    def suspect(self, now: float, record: Record, confirmers: set[str]) -> None:
        """Suspect a member after the probes of this process, and those of the confirmers for it, failed."""
        if record.suspicion is None:
            self.replace(
                now, record, structs.replace(record.latest, state=int(State.SUSPECT), reporter=self.me.name)
            )
        suspicion = record.suspicion
        if not suspicion.confirmed_locally:
            suspicion.confirmed_locally, suspicion.since, suspicion.verify_at = True, now, now
            self._confirm(now, record, self.me.name)
        suspicion.reporters.update(confirmers)

    # ---- live members ---------------------------------------------------------------------------------

    def _add_live(self, name: str, returned: bool = False) -> None:
        self._live_index[name] = len(self._live_names)
        self._live_names.append(name)
        self.joined.append((name, returned))

    def _remove_live(self, name: str) -> None:
        index, last = self._live_index.pop(name), self._live_names.pop()
        if last != name:
            self._live_names[index] = last
            self._live_index[last] = index
        self.departed[name] = None
        if len(self.departed) > MAX_PEERS:
            self.forget(next(iter(self.departed)))

    def forget(self, name: str) -> None:
        """Remove a member that is dead or has left."""
        del self.departed[name], self.records[name], self._members[name]
        self.gossip.drop(name)
