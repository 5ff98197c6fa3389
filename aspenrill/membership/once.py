"""Suppresses repeated log lines, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

MAX_KEYS = 4096  # the least recently used key is evicted and counts as new again


class OnceFilter:
    """An LRU set of (source, subject) keys."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[str, str], None] = OrderedDict()

    def add_if_new(self, key: tuple[str, str]) -> bool:
        """Adds the key. Returns whether it was not in the set."""
        new = key not in self._seen
        self._seen[key] = None
        self._seen.move_to_end(key)
        if len(self._seen) > MAX_KEYS:
            self._seen.popitem(last=False)
        return new

    def clear(self) -> None:
        """Removes all keys."""
        self._seen.clear()
