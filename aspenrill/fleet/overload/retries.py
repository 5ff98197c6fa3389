"""One retry budget for the fleet, split by capacity shares that change.

If a share of a window's budget moved within the window, it could be spent twice. So half of the budget is
refilled at the rate of the current share, and the stored tokens never exceed the other half of that share;
the excess is dropped when a share shrinks, not handed on. Shares sum to at most one, so in any window all
processes together spend at most what they had stored at its start and what was refilled: the budget.
"""

from __future__ import annotations


class RetryBudget:
    """The retries that this process may make. `window` in seconds, `budget` in retries of the fleet in one
    window."""

    def __init__(self, now: float, window: float) -> None:
        self.window = window
        self.budget = 0.0
        self.tokens = 0.0
        self._at = now

    def refill(self, now: float, share: float) -> float:
        """Refill, and return the tokens. `share` must be the current one; before a share rises, this must be
        called with its former value."""
        elapsed = max(0.0, now - self._at)
        self._at = max(now, self._at)
        half = share * self.budget / 2
        self.tokens = min(half, self.tokens + half * elapsed / self.window) if self.window > 0 else 0.0
        return self.tokens

    def take(self, now: float, share: float) -> bool:
        """Take one token; False if there is none."""
        if self.refill(now, share) < 1.0:
            return False
        self.tokens -= 1.0
        return True
