"""Shares one round of the event loop among the connections that have more input than fits into a turn."""

from __future__ import annotations

from .hub import Hub

FULL_TURNS = 4  # connections that may have a full turn in one round


class Turns:
    """Counts the connections that wait for their next turn, for all of a front."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self.waiting = 0
        self.crowded = False  # more wait than may have a full turn

    def give_way(self) -> None:
        """Lets other tasks run until the next round."""
        self._count(1)
        try:
            self.hub.yield_now()
        finally:
            self._count(-1)

    def share(self, work: int) -> int:
        """Returns a connection's part of a turn's work, the smaller the more connections wait."""
        return max(1, FULL_TURNS * work // (self.waiting + 1)) if self.crowded else work

    def _count(self, change: int) -> None:
        self.waiting += change
        self.crowded = self.waiting >= FULL_TURNS
