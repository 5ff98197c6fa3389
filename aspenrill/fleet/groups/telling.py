"""Replication of counters to the collectors: delta messages, resent until they are acknowledged.

Collectors are the voters: one of them coordinates and makes forecasts from its counters. Each process sends
to one collector, the first running one in an order of its own; collectors send to each other. A counter that
changes twice before it is sent goes out once. (Delta states with acknowledgements: Almeida, Shoker, Baquero,
"Delta state replicated data types", 2018.) With gossip instead, each process would store and forward what a
handful need: 1,100 times the traffic.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from ..interface import MAX_BODY, Effect, Member, Post
from .counts import Counts
from .hours import Key
from .records import Cell, CounterAck, CounterUpdate, TotalsRequest, pack


@dataclass(frozen=True, slots=True)
class TellRules:
    """Seconds until a message is resent, and how many may be in flight to one collector."""

    resend_after: float = 3.0
    max_in_flight: int = 8


@dataclass(slots=True)
class PeerState:
    """A collector that this process sends to: keys to send, and messages in flight."""

    incarnation: int
    unsent: dict[Key, None] = field(default_factory=dict)  # in the order of change
    # by number: when sent, keys
    in_flight: dict[int, tuple[float, tuple[Key, ...]]] = field(default_factory=dict)

    def requeue(self, number: int) -> None:
        """Queues the keys of an unacknowledged message again."""
        for key in self.in_flight.pop(number)[1]:
            self.unsent[key] = None


class CounterSync:
    """Counter replication of one process. `collectors` are the configured names, in any order."""

    def __init__(self, rules: TellRules, collectors: Iterable[str], counts: Counts) -> None:
        self.rules, self.counts, self.own_name = rules, counts, counts.own_origin[0]
        self.collectors = tuple(
            sorted(
                collectors,
                key=lambda collector: (
                    xxhash.xxh3_64_intdigest(f"{self.own_name}/{collector}".encode()),
                    collector,
                ),
            )
        )
        self.is_collector = self.own_name in self.collectors
        self.peers: dict[str, PeerState] = {}
        self.requested: set[tuple[str, int]] = set()
        self.number = 0

    def enqueue(self, keys: Iterable[Key], exclude: str = "") -> None:
        """Queues changed keys for all peers except their sender."""
        for name, peer in self.peers.items():
            if name != exclude:
                peer.unsent.update(dict.fromkeys(keys))

    def unsent_hours(self) -> frozenset[int]:
        """Hours with keys that a peer has not acknowledged."""
        return frozenset(
            key[3]
            for peer in self.peers.values()
            for keys in (peer.unsent, *(sent for _, sent in peer.in_flight.values()))
            for key in keys
        )

    def tick(self, now: float, members: Mapping[str, Member]) -> list[Effect]:
        """Updates the peers, sends queued keys and resends unacknowledged ones."""
        running = [k for k in self.collectors if k != self.own_name and k in members and members[k].is_live]
        targets = running if self.is_collector else running[:1]
        for name in [n for n in self.peers if n not in targets]:
            del self.peers[name]
        effects: list[Effect] = []
        for name in targets:
            peer, incarnation = self.peers.get(name), members[name].incarnation
            if peer is None or peer.incarnation != incarnation:
                peer = self.peers[name] = PeerState(incarnation, dict.fromkeys(self._initial_keys()))
                effects += self._request_totals(name, incarnation)
            for number in [
                n for n, (at, _) in peer.in_flight.items() if not now - self.rules.resend_after < at <= now
            ]:
                peer.requeue(number)
            effects += self._send(now, name, peer)
        return effects

    def _initial_keys(self) -> list[Key]:
        """The keys for a new peer: all that are not folded; from others than collectors only their own."""
        return [key for key in self.counts.keys() if self.is_collector or key[0] == self.own_name]

    def _request_totals(self, name: str, incarnation: int) -> list[Effect]:
        """Requests totals of hours that this collector may lack, once from each other incarnation."""
        if not self.is_collector or (name, incarnation) in self.requested:
            return []
        self.requested = {(n, i) for n, i in self.requested if n != name} | {(name, incarnation)}
        known = [hour for hour in self.counts.hours if self.counts.is_known(hour)]
        first_unknown = min(
            (
                h
                for h in range(self.counts.hour - self.counts.rules.retention, self.counts.hour)
                if h not in known
            ),
            default=self.counts.hour,
        )
        return [Post(name, pack(TotalsRequest(first_unknown)))]

    def _send(self, now: float, name: str, peer: PeerState) -> list[Effect]:
        """Sends queued keys, in as many messages as may be in flight."""
        effects: list[Effect] = []
        while peer.unsent and len(peer.in_flight) < self.rules.max_in_flight:
            cells: list[Cell] = []
            keys: list[Key] = []
            size = 24  # bytes of the message besides its cells
            for key in peer.unsent:
                cell = self.counts.cell(key)
                cell_size = len(pack(cell)) if cell else 0
                if size + cell_size > MAX_BODY or len(cells) == 64:
                    break
                size += cell_size
                keys.append(key)
                if cell:
                    cells.append(cell)
            for key in keys:
                del peer.unsent[key]
            if cells:
                self.number += 1
                peer.in_flight[self.number] = now, tuple(keys)
                effects.append(Post(name, pack(CounterUpdate(self.number, tuple(cells)))))
        return effects

    def on_update(self, sender: str, update: CounterUpdate) -> list[Effect]:
        """Merges cells, forwards those that changed anything, and acknowledges; collectors only."""
        if not self.is_collector:
            return []
        changed = [key for cell in update.cells if (key := self.counts.merge(cell))]
        self.enqueue([key for key in changed if key[0]], exclude=sender)
        return [Post(sender, pack(CounterAck(update.number)))]

    def on_ack(self, now: float, sender: str, ack: CounterAck) -> list[Effect]:
        """A message is acknowledged, so more may be sent."""
        peer = self.peers.get(sender)
        if peer is None or peer.in_flight.pop(ack.number, None) is None:
            return []
        return self._send(now, sender, peer)

    def on_totals_request(self, sender: str, request: TotalsRequest) -> None:
        """Queues totals for a collector that was down."""
        peer = self.peers.get(sender)
        if self.is_collector and peer is not None:
            hours = sorted((hour for hour in self.counts.hours if hour >= request.since), reverse=True)
            peer.unsent.update(dict.fromkeys(self.counts.total_keys(hours)))

    def enqueue_totals(self, hours: Iterable[int]) -> None:
        """Queues the totals of hours closed again after a revision, for collectors that took them over.

        Collectors with sums of their own ignore them.
        """
        if self.is_collector:
            self.enqueue(self.counts.total_keys(h for h in hours if self.counts.hours[h].revision))
