"""A bound on the bytes of messages that have not come whole, over all connections of a front.

No clock ends a message that comes slowly. Memory is bounded by need: where too much is held, the connection
whose last byte came longest ago is read no more.
"""

from __future__ import annotations

from typing import Protocol


class Holder(Protocol):
    """A connection, as far as it matters here."""

    busy: int

    def stop_reading(self, reason: str) -> None:
        """Its reader gets Closed with this reason."""


class HeldBytes:
    """Counts them by connection, those that were heard of longest ago first."""

    def __init__(self, most: int) -> None:
        self.most, self.total = most, 0
        self._held: dict[Holder, int] = {}

    def hold(self, holder: Holder, count: int) -> None:
        """This connection holds so many bytes now."""
        self.total += count - self._held.pop(holder, 0)
        self._held[holder] = count
        while self.total > self.most:
            longest = self._longest_silent()
            self.release(longest)
            longest.stop_reading("too many bytes of unfinished messages")

    def release(self, holder: Holder) -> None:
        """Its message is whole, or it has ended."""
        self.total -= self._held.pop(holder, 0)

    def _longest_silent(self) -> Holder:
        """Of those with nothing open, if there are such: the others' answers want their connection."""
        return next((holder for holder in self._held if not holder.busy), next(iter(self._held)))
