"""What has been answered, and for how long that holds: RFC 1035 and 2181 lifetimes, RFC 2308, RFC 8767.

No I/O; times are seconds of one clock that never goes back, and come in as arguments.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..wire import dns

Key = tuple[dns.Name, int]


@dataclass(frozen=True, slots=True)
class Lifetimes:
    """Bounds of lifetimes, in seconds. `early` is the part of a life after which it is refreshed, drawn anew
    each time between its two figures, so that programs started together don't ask together."""

    least: float = 1.0
    most: float = 3600.0
    most_negative: float = 300.0
    stale: float = 86400.0  # how long beyond its life an answer is of use while look-ups fail
    early: tuple[float, float] = (0.8, 0.95)
    entries: int = 8192


@dataclass(frozen=True, slots=True)
class Answer:
    """Records of one kind under a name. Empty with code NXDOMAIN where the name does not exist, empty with
    NOERROR where it has none of this kind. `stale`: its life is over, and look-ups fail."""

    code: int
    records: tuple[dns.Record, ...]
    learned: float
    refresh: float  # from when on it is asked for anew
    until: float  # the end of its life
    stale: bool = False
    why: str = ""  # what failed, where it is stale

    def age(self, now: float) -> float:
        """Seconds since it was answered."""
        return now - self.learned


class Cache:
    """Answers by name and kind, the longest unused one giving way; names are compared without case."""

    def __init__(self, lifetimes: Lifetimes, rng: random.Random) -> None:
        self.lifetimes, self.rng = lifetimes, rng
        self.answers: OrderedDict[Key, Answer] = OrderedDict()

    def fresh(self, now: float, name: dns.Name, kind: int) -> Answer | None:
        """One that need not be asked for yet."""
        found = self._get(dns.fold(name), kind)
        return found if found is not None and now < found.refresh else None

    def last(self, now: float, name: dns.Name, kind: int, why: str) -> Answer | None:
        """The last good answer while a look-up fails; stale past its life, None when that is long ago.

        RFC 8767, 5: failing look-ups change nothing of what was known; an answer does, also a negative one.
        """
        found = self._get(dns.fold(name), kind)
        if found is None or now > found.until + self.lifetimes.stale:
            return None
        return found if now < found.until else replace(found, stale=True, why=why)

    def _get(self, name: dns.Name, kind: int) -> Answer | None:
        found = self.answers.get((name, kind))
        if found is not None:
            self.answers.move_to_end((name, kind))
        return found

    def store(
        self, now: float, name: dns.Name, kind: int, code: int, records: Sequence[dns.Record], ttl: float
    ) -> Answer:
        """Keep an answer for `ttl` seconds, clamped."""
        limits = self.lifetimes
        most = limits.most if records else min(limits.most, limits.most_negative)
        life = min(most, max(limits.least, ttl))
        low, high = limits.early
        found = Answer(
            code, tuple(records), now, now + life * (low + (high - low) * self.rng.random()), now + life
        )
        key = dns.fold(name), kind
        self.answers[key] = found
        self.answers.move_to_end(key)
        while len(self.answers) > limits.entries:
            self.answers.popitem(last=False)
        return found


def negative_ttl(authority: Sequence[dns.Record]) -> float:
    """How long "there is none" holds: the lesser of the SOA's own life and its minimum (RFC 2308, 5).

    0 without an SOA: such an answer is not to be kept, and is asked for again after the least lifetime.
    """
    for record in authority:
        if record.kind == dns.SOA:
            return min(record.ttl, record.data[1])
    return 0.0
