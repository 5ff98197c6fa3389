"""Who has a majority of the voters, and who is silent: leases by acknowledgement (after Gray and Cheriton,
1989).

A process beats to every voter. An acknowledgement lasts `lease` from when the beat was SENT, by the
sender's clock. A voter says of a name that it is silent only when nothing that it acknowledged can be in
force any more, and acknowledges that name again only when nobody can still rest on its word. Two
majorities have a voter in common, so a process with a lease and another that uses its upper half cannot
exist at the same time.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from ..interface import MOST_PEERS
from .rules import Rules, mark
from .wire import MOST_ASKED, Ack, Beat

OPEN_BEATS = 16  # beats whose answers are still of use


class Record:
    """What a voter knows of one name."""

    __slots__ = ("incarnation", "granted", "ended", "held_until", "doubted_until", "heard_at")

    def __init__(self) -> None:
        self.incarnation = -1  # highest that has beaten
        self.granted = False  # that one has been acknowledged
        self.ended = -1  # highest that has said goodbye
        self.held_until = -math.inf  # until then something acknowledged may be in force
        self.doubted_until = -math.inf  # until then somebody may rest on its being silent
        self.heard_at = -math.inf


class Voter:
    """One voter, in memory alone: after a start it is mute until all that it may have said before is over."""

    def __init__(self, rules: Rules, now: float) -> None:
        self.rules = rules
        self.records: OrderedDict[int, Record] = OrderedDict()  # by mark, the one not needed longest first
        self.mute_until = now + rules.silence

    def configure(self, now: float, rules: Rules) -> None:
        """Other rules: as after a start, and for the longer of both silences."""
        self.mute_until = now + max(self.rules.silence, rules.silence)
        self.rules = rules

    def beat(self, now: float, name: int, incarnation: int, beat: Beat) -> Ack | None:
        """The answer to a beat; None where there is nothing to say."""
        record = self._record(now, name)
        if record is None or incarnation <= record.ended or beat.config != self.rules.config:
            return None
        if incarnation < record.incarnation:
            return Ack(incarnation, beat.number, False, fenced=True)
        if incarnation > record.incarnation:
            record.incarnation, record.granted = incarnation, False
        record.heard_at = now
        if now < self.mute_until:
            return None
        if now < record.doubted_until or not record.granted and now < record.held_until:
            return Ack(incarnation, beat.number, False)
        record.granted, record.held_until = True, now + self.rules.silence
        return Ack(incarnation, beat.number, True, silent=self._silent(now, name, beat.asks))

    def bye(self, now: float, name: int, incarnation: int, left: float) -> None:
        """It uses nothing any more and never will; what it lent is over after `left`."""
        record = self._record(now, name)
        if record is None or incarnation < record.incarnation:
            return
        record.incarnation = record.ended = incarnation
        if record.granted:
            record.held_until = min(record.held_until, now + left)
        record.granted, record.heard_at = False, -math.inf

    def _silent(self, now: float, asker: int, asks: bytes) -> bytes:
        bits = 0
        for place in range(len(asks) // 8):
            name = int.from_bytes(asks[8 * place : 8 * place + 8], "big")
            if name != asker and self._certify(now, name):
                bits |= 1 << place
        return bits.to_bytes(MOST_ASKED // 8, "little") if bits else b""

    def _certify(self, now: float, name: int) -> bool:
        record = self._record(now, name)
        if record is None or now < max(record.held_until, record.heard_at + self.rules.silence):
            return False
        record.doubted_until = now + self.rules.regret
        return True

    def _record(self, now: float, name: int) -> Record | None:
        """What is known of a name; when there are too many, the one forgotten has nothing in force."""
        record = self.records.get(name)
        if record is None:
            if len(self.records) >= MOST_PEERS:
                oldest, old = next(iter(self.records.items()))
                if now < max(old.held_until, old.doubted_until):
                    return None
                del self.records[oldest]
            record = self.records[name] = Record()
        self.records.move_to_end(name)
        return record


class Standing:
    """A process's own lease and what voters have told it of the silent."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.number = 0
        self.acked: dict[str, float] = {}  # by voter: when the last beat was sent that it acknowledged
        self.certs: OrderedDict[int, dict[str, float]] = OrderedDict()  # by silent name: the same, by voter
        self.sent: OrderedDict[int, tuple[float, bytes]] = OrderedDict()  # by beat: when, asking after whom
        self.next_asked = 0

    def configure(self, rules: Rules) -> None:
        """Other rules: what was told under the former ones is void."""
        self.rules = rules
        self.acked.clear()
        self.certs.clear()
        self.sent.clear()

    def beat(self, now: float, absent: Iterable[str]) -> Beat:
        """The next beat, to all voters. Of many that are absent it asks after some, by turns."""
        names = sorted(absent)
        start = self.next_asked % max(1, len(names))
        turn = (names[start:] + names[:start])[:MOST_ASKED]
        self.next_asked = start + len(turn)
        asks = b"".join(mark(name).to_bytes(8, "big") for name in turn)
        self.number += 1
        self.sent[self.number] = (now, asks)
        while len(self.sent) > OPEN_BEATS:
            self.sent.popitem(last=False)
        self._forget(now)
        return Beat(self.number, self.rules.config, asks)

    def ack(self, voter: str, ack: Ack) -> None:
        """An answer: it counts from when its beat was sent."""
        if voter not in self.rules.voters or ack.number not in self.sent or not ack.granted:
            return
        at, asks = self.sent[ack.number]
        self.acked[voter] = max(at, self.acked.get(voter, -math.inf))
        bits = int.from_bytes(ack.silent, "little")
        for place in range(len(asks) // 8):
            if bits >> place & 1:
                told = self.certs.setdefault(int.from_bytes(asks[8 * place : 8 * place + 8], "big"), {})
                told[voter] = max(at, told.get(voter, -math.inf))

    def until(self) -> float:
        """When the lease ends."""
        return self._agreed(self.acked) + self.rules.lease

    def silent(self, now: float) -> list[float]:
        """Of each name that a majority holds to be silent: when that word ends."""
        most = self.rules.count - 1
        ends = (self._agreed(told) + self.rules.lease for told in self.certs.values())
        return [end for end in ends if end > now][:most]

    def _agreed(self, told: dict[str, float]) -> float:
        """The latest time that a majority of voters reaches."""
        times = sorted(told.values(), reverse=True)
        return times[self.rules.majority - 1] if len(times) >= self.rules.majority else -math.inf

    def _forget(self, now: float) -> None:
        for name in [n for n, told in self.certs.items() if max(told.values()) + self.rules.lease <= now]:
            del self.certs[name]
