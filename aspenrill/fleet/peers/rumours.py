"""What is still to be told: least told first, and of those the newest; each a bounded number of times."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator

from msgspec import Raw

FACTOR = 3.0  # each is told this times ln(n + 1) times (SWIM, 4.1: lambda log n)


def times(members: int) -> int:
    """How often one process tells a thing to a fleet of that size."""
    return math.ceil(FACTOR * math.log(members + 1)) + 1


class Rumours:
    """One of each key. Levels by how often it was told keep each choice cheap, however many there are."""

    def __init__(self, lasts: float) -> None:
        self.lasts = lasts  # seconds after which it is no news
        self._levels: list[dict[Hashable, tuple[Raw, float]]] = [{}]
        self._level: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._level)

    def add(self, now: float, key: Hashable, data: Raw) -> None:
        """Tell this from now on, in place of what was told under the key."""
        self.drop(key)
        self._levels[0][key] = data, now + self.lasts
        self._level[key] = 0

    def drop(self, key: Hashable) -> None:
        """Tell it no more."""
        level = self._level.pop(key, None)
        if level is not None:
            told = self._levels[level]
            del told[key]
            if not told:
                told.clear()  # an emptied dict still holds the gaps, which `reversed` would go through

    def pick(self, now: float, room: int, most: int, limit: int) -> tuple[list[Raw], int]:
        """Up to `most` that fit into so many bytes, and what is left of these; each counts as told once
        more, and ends at `limit`."""
        chosen: list[tuple[Hashable, Raw, float, int]] = []
        misses = 0
        for key, data, until, level in self._from_least():
            if now >= until:
                chosen.append((key, data, until, limit))
                continue
            size = len(memoryview(data))
            if size > room:
                misses += 1
                if misses > 4:
                    break
                continue
            room -= size
            chosen.append((key, data, until, level + 1))
            most -= 1
            if not most:
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
                self._level[key] = level
        return picked, room

    def _from_least(self) -> Iterator[tuple[Hashable, Raw, float, int]]:
        for level, told in enumerate(self._levels):
            if not told:
                continue
            for key in reversed(told):
                yield key, *told[key], level
