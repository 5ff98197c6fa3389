"""Gossip queue: items sent least often go first, then the newest; each is sent a bounded number of times."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator

from msgspec import Raw

RETRANSMIT_FACTOR = 3.0  # each item is sent this times ln(n + 1) times (SWIM, 4.1: lambda log n)


def transmit_limit(members: int) -> int:
    """How often a process sends each item in a fleet of that size."""
    return math.ceil(RETRANSMIT_FACTOR * math.log(members + 1)) + 1


class GossipQueue:
    """Holds one item for each key, bucketed by send count so that selection does not scan the queue."""

    def __init__(self, max_age: float) -> None:
        self.max_age = max_age  # seconds after which an item expires
        self._levels: list[dict[Hashable, tuple[Raw, float]]] = [{}]
        self._level_of: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, now: float, key: Hashable, data: Raw) -> None:
        """Queue an item, in place of the one under the same key."""
        self.drop(key)
        self._levels[0][key] = data, now + self.max_age
        self._level_of[key] = 0

    def drop(self, key: Hashable) -> None:
        """Remove the item of a key."""
        level = self._level_of.pop(key, None)
        if level is not None:
            bucket = self._levels[level]
            del bucket[key]
            if not bucket:
                bucket.clear()  # an emptied dict keeps its deleted slots, which `reversed` would scan

    def pick(self, now: float, remaining: int, max_items: int, limit: int) -> tuple[list[Raw], int]:
        """Pick up to `max_items` items that fit into `remaining` bytes, and return them with the bytes left.
        The send count of each goes up by one; at `limit` the item is removed."""
        chosen: list[tuple[Hashable, Raw, float, int]] = []
        misses = 0
        for key, data, until, level in self._by_send_count():
            if now >= until:
                chosen.append((key, data, until, limit))
                continue
            size = len(memoryview(data))
            if size > remaining:
                misses += 1
                if misses > 4:
                    break
                continue
            remaining -= size
            chosen.append((key, data, until, level + 1))
            max_items -= 1
            if not max_items:
                break
        picked = []
        for key, data, until, level in chosen:
            if now < until:
                picked.append(data)
            self.drop(key)
            if level < limit:
                while len(self._levels) <= level:
                    self._levels.append({})
                self._levels[level][key] = data, until
                self._level_of[key] = level
        return picked, remaining

    def _by_send_count(self) -> Iterator[tuple[Hashable, Raw, float, int]]:
        for level, bucket in enumerate(self._levels):
            if not bucket:
                continue
            for key in reversed(bucket):
                yield key, *bucket[key], level
