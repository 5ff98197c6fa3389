"""Cache of DNS answers: lifetimes by RFC 1035 and 2181, negative answers by RFC 2308, stale ones by RFC 8767.

No I/O; times are seconds of one monotonic clock, passed as arguments.
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
    """Bounds of lifetimes, in seconds.

    `refresh_window`: the fraction of its lifetime after which an answer is refreshed, chosen at random
    between the two bounds each time, so that programs started together don't query together.
    """

    min_ttl: float = 1.0
    max_ttl: float = 3600.0
    max_negative_ttl: float = 300.0
    max_stale: float = 86400.0  # how long an expired answer is used while look-ups fail
    refresh_window: tuple[float, float] = (0.8, 0.95)
    max_entries: int = 8192


@dataclass(frozen=True, slots=True)
class Answer:
    """The records of one kind under a name.

    Empty with code NXDOMAIN if the name does not exist, empty with NOERROR if it has none of this kind.
    `stale`: it has expired, and look-ups fail.
    """

    code: int
    records: tuple[dns.Record, ...]
    learned_at: float
    refresh_at: float  # from then on it is looked up again
    expires_at: float
    stale: bool = False
    reason: str = ""  # why the look-up failed, if it is stale

    def age(self, now: float) -> float:
        """Return the seconds since it was learned."""
        return now - self.learned_at


class Cache:
    """Answers by name and kind, with LRU eviction; names are compared without case."""

    def __init__(self, lifetimes: Lifetimes, rng: random.Random) -> None:
        self.lifetimes, self.rng = lifetimes, rng
        self.answers: OrderedDict[Key, Answer] = OrderedDict()

    def get_fresh(self, now: float, name: dns.Name, kind: int) -> Answer | None:
        """Return an answer that needs no refresh yet."""
        found = self._get(dns.fold_case(name), kind)
        return found if found is not None and now < found.refresh_at else None

    def get_last(self, now: float, name: dns.Name, kind: int, reason: str) -> Answer | None:
        """Return the last good answer after a failed look-up, or None if it expired too long ago.

        It is marked stale if it has expired. RFC 8767, 5: a failed look-up does not change the cached answer;
        a new answer replaces it, also a negative one.
        """
        found = self._get(dns.fold_case(name), kind)
        if found is None or now > found.expires_at + self.lifetimes.max_stale:
            return None
        return found if now < found.expires_at else replace(found, stale=True, reason=reason)

    def _get(self, name: dns.Name, kind: int) -> Answer | None:
        found = self.answers.get((name, kind))
        if found is not None:
            self.answers.move_to_end((name, kind))
        return found

    def store(
        self, now: float, name: dns.Name, kind: int, code: int, records: Sequence[dns.Record], ttl: float
    ) -> Answer:
        """Store an answer for `ttl` seconds, clamped to the configured bounds."""
        bounds = self.lifetimes
        max_ttl = bounds.max_ttl if records else min(bounds.max_ttl, bounds.max_negative_ttl)
        lifetime = min(max_ttl, max(bounds.min_ttl, ttl))
        low, high = bounds.refresh_window
        found = Answer(
            code,
            tuple(records),
            now,
            now + lifetime * (low + (high - low) * self.rng.random()),
            now + lifetime,
        )
        key = dns.fold_case(name), kind
        self.answers[key] = found
        self.answers.move_to_end(key)
        while len(self.answers) > bounds.max_entries:
            self.answers.popitem(last=False)
        return found


def negative_ttl(authority: Sequence[dns.Record]) -> float:
    """Return the TTL of a negative answer: the lesser of the SOA's own TTL and its minimum (RFC 2308, 5).

    0 without an SOA: such an answer should not be cached, and is looked up again after the minimum lifetime.
    """
    for record in authority:
        if record.kind == dns.SOA:
            return min(record.ttl, record.data[1])
    return 0.0
