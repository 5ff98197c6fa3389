"""One budget of tries beyond the first for the fleet, spent by shares that change.

A share of a window's budget that moves within the window would be spent twice. So half of it flows in by
the share that a process has at each moment, and what is kept never exceeds the other half of that share;
what is above it when a share shrinks is lost and not handed on. Shares sum to one at most, so in any
window all processes together spend at most what they kept at its start and what flowed in: the budget.
"""

from __future__ import annotations


class Budget:
    """Tries that this process may make beyond the first. `window` in seconds, `budget` in tries of the
    fleet."""

    def __init__(self, now: float, window: float) -> None:
        self.window = window
        self.budget = 0.0
        self.kept = 0.0
        self._at = now

    def flow(self, now: float, share: float) -> float:
        """Whole and parts of tries that may be made now. `share`: as of now; between two calls a share
        only falls, unless this is called when it rises, with what it was just before."""
        passed = max(0.0, now - self._at)
        self._at = max(now, self._at)
        half = share * self.budget / 2
        self.kept = min(half, self.kept + half * passed / self.window) if self.window > 0 else 0.0
        return self.kept

    def take(self, now: float, share: float) -> bool:
        """Spend one, if there is one."""
        if self.flow(now, share) < 1.0:
            return False
        self.kept -= 1.0
        return True
