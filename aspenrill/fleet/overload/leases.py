"""Leases from a majority of voters, and certificates that a process is silent (after Gray and Cheriton,
1989).

A process sends heartbeats to every voter. An acknowledgement lasts `lease` from when the heartbeat was SENT,
by the sender's clock. A voter certifies a name as silent only when nothing that it acknowledged can be in
force any more, and acknowledges that name again only when no certificate can be in use. Two majorities have a
voter in common, so a process with a lease and another that uses its leased share cannot exist at the same
time.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from ..interface import MAX_PEERS
from .rules import Rules, name_hash
from .wire import MAX_QUERIED, Ack, Heartbeat

MAX_OPEN_HEARTBEATS = 16  # latest heartbeats whose answers are accepted


class NameRecord:
    """A voter's state of one name."""

    __slots__ = (
        "incarnation",
        "granted",
        "left_incarnation",
        "in_force_until",
        "certified_until",
        "last_heartbeat_at",
    )

    def __init__(self) -> None:
        self.incarnation = -1  # highest that has sent a heartbeat
        self.granted = False  # whether that one has been acknowledged
        self.left_incarnation = -1  # highest that has left
        self.in_force_until = -math.inf  # an acknowledged lease or its loans may last until then
        self.certified_until = -math.inf  # a certificate of silence may be in use until then
        self.last_heartbeat_at = -math.inf


class Voter:
    """A voter without stored state: after a start it does not vote until all earlier answers have expired."""

    def __init__(self, rules: Rules, now: float) -> None:
        self.rules = rules
        self.records: OrderedDict[int, NameRecord] = OrderedDict()  # by name hash, least recently used first
        self.mute_until = now + rules.silence_timeout

    def configure(self, now: float, rules: Rules) -> None:
        """Apply other rules: mute as after a start, for the longer of both timeouts."""
        self.mute_until = now + max(self.rules.silence_timeout, rules.silence_timeout)
        self.rules = rules

    def on_heartbeat(self, now: float, name: int, incarnation: int, heartbeat: Heartbeat) -> Ack | None:
        """The answer to a heartbeat, or None."""
        record = self._record(now, name)
        if (
            record is None
            or incarnation <= record.left_incarnation
            or heartbeat.config_hash != self.rules.config_hash
        ):
            return None
        if incarnation < record.incarnation:
            return Ack(incarnation, heartbeat.number, False, fenced=True)
        if incarnation > record.incarnation:
            record.incarnation, record.granted = incarnation, False
        record.last_heartbeat_at = now
        if now < self.mute_until:
            return None
        if now < record.certified_until or not record.granted and now < record.in_force_until:
            return Ack(incarnation, heartbeat.number, False)
        record.granted, record.in_force_until = True, now + self.rules.silence_timeout
        return Ack(
            incarnation, heartbeat.number, True, silent=self._certificates(now, name, heartbeat.queried)
        )

    def on_goodbye(self, now: float, name: int, incarnation: int, left: float) -> None:
        """Process a Goodbye: the incarnation uses nothing any more, its loans to others end after `left`
        seconds."""
        record = self._record(now, name)
        if record is None or incarnation < record.incarnation:
            return
        record.incarnation = record.left_incarnation = incarnation
        if record.granted:
            record.in_force_until = min(record.in_force_until, now + left)
        record.granted, record.last_heartbeat_at = False, -math.inf

    def _certificates(self, now: float, requester: int, queried: bytes) -> bytes:
        bits = 0
        for index in range(len(queried) // 8):
            name = int.from_bytes(queried[8 * index : 8 * index + 8], "big")
            if name != requester and self._certify(now, name):
                bits |= 1 << index
        return bits.to_bytes(MAX_QUERIED // 8, "little") if bits else b""

    def _certify(self, now: float, name: int) -> bool:
        record = self._record(now, name)
        if record is None or now < max(
            record.in_force_until, record.last_heartbeat_at + self.rules.silence_timeout
        ):
            return False
        record.certified_until = now + self.rules.certificate_timeout
        return True

    def _record(self, now: float, name: int) -> NameRecord | None:
        """The record of a name. If there are too many, the oldest is evicted unless it is still in force."""
        record = self.records.get(name)
        if record is None:
            if len(self.records) >= MAX_PEERS:
                oldest, old = next(iter(self.records.items()))
                if now < max(old.in_force_until, old.certified_until):
                    return None
                del self.records[oldest]
            record = self.records[name] = NameRecord()
        self.records.move_to_end(name)
        return record


class LeaseHolder:
    """A process's own lease and the certificates of silence that it received."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.number = 0
        self.acked: dict[str, float] = {}  # by voter: send time of the last heartbeat that it acknowledged
        # the same by silent name and voter
        self.certificates: OrderedDict[int, dict[str, float]] = OrderedDict()
        # by heartbeat number: send time and queried names
        self.sent: OrderedDict[int, tuple[float, bytes]] = OrderedDict()
        self.next_queried = 0

    def configure(self, rules: Rules) -> None:
        """Apply other rules; answers under the former ones are void."""
        self.rules = rules
        self.acked.clear()
        self.certificates.clear()
        self.sent.clear()

    def next_heartbeat(self, now: float, absent: Iterable[str]) -> Heartbeat:
        """The next heartbeat to all voters. If many names are absent, they are queried in turn."""
        names = sorted(absent)
        start = self.next_queried % max(1, len(names))
        selected = (names[start:] + names[:start])[:MAX_QUERIED]
        self.next_queried = start + len(selected)
        queried = b"".join(name_hash(name).to_bytes(8, "big") for name in selected)
        self.number += 1
        self.sent[self.number] = (now, queried)
        while len(self.sent) > MAX_OPEN_HEARTBEATS:
            self.sent.popitem(last=False)
        self._expire(now)
        return Heartbeat(self.number, self.rules.config_hash, queried)

    def on_ack(self, voter: str, ack: Ack) -> None:
        """Process an answer: it counts from when its heartbeat was sent."""
        if voter not in self.rules.voters or ack.number not in self.sent or not ack.granted:
            return
        at, queried = self.sent[ack.number]
        self.acked[voter] = max(at, self.acked.get(voter, -math.inf))
        bits = int.from_bytes(ack.silent, "little")
        for index in range(len(queried) // 8):
            if bits >> index & 1:
                by_voter = self.certificates.setdefault(
                    int.from_bytes(queried[8 * index : 8 * index + 8], "big"), {}
                )
                by_voter[voter] = max(at, by_voter.get(voter, -math.inf))

    def lease_end(self) -> float:
        """When the lease ends."""
        return self._majority_time(self.acked) + self.rules.lease

    def silent_until(self, now: float) -> list[float]:
        """The end of each certificate of silence that a majority issued."""
        limit = self.rules.count - 1
        ends = (self._majority_time(by_voter) + self.rules.lease for by_voter in self.certificates.values())
        return [end for end in ends if end > now][:limit]

    def _majority_time(self, by_voter: dict[str, float]) -> float:
        """The latest time that a majority of voters has reached."""
        times = sorted(by_voter.values(), reverse=True)
        return times[self.rules.majority - 1] if len(times) >= self.rules.majority else -math.inf

    def _expire(self, now: float) -> None:
        for name in [
            n for n, by_voter in self.certificates.items() if max(by_voter.values()) + self.rules.lease <= now
        ]:
            del self.certificates[name]
