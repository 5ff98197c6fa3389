"""Engines that come and go: from the third return within a while one is held out, each time for longer.

No I/O; times are seconds and come in as arguments. After the route flap damping of RFC 2439, with a time that
doubles in place of a penalty that decays: an operator can tell from the log when the engine is let in.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Damping:
    """`returns` within `window` seconds hold an engine for `hold`, doubled each time up to `most`; after
    `calm` seconds without a return it is trusted as at first."""

    returns: int = 3
    window: float = 10.0
    hold: float = 5.0
    most: float = 300.0
    calm: float = 60.0


class Flaps:
    """One engine's returns."""

    __slots__ = ("rules", "returns", "level", "held_until", "last")

    def __init__(self, rules: Damping) -> None:
        self.rules = rules
        self.returns: deque[float] = deque(maxlen=rules.returns)
        self.level, self.held_until, self.last = 0, 0.0, 0.0

    def back(self, now: float) -> bool:
        """It is named live again; True where that begins a hold, which `held_until` tells."""
        if now - max(self.last, self.held_until) > self.rules.calm:
            self.level = 0
        self.last = now
        self.returns.append(now)
        if now < self.held_until or len(self.returns) < self.rules.returns:
            return False
        if now - self.returns[0] > self.rules.window:
            return False
        self._hold(now)
        return True

    def over(self, now: float) -> bool:
        """The hold has come to its end; True where the engine kept flapping and another hold begins."""
        if self.returns and now - self.last <= self.rules.window:
            self._hold(now)
            return True
        self.returns.clear()
        return False

    def _hold(self, now: float) -> None:
        self.held_until = now + min(self.rules.most, self.rules.hold * 2 ** min(self.level, 30))
        self.level += 1
        self.returns.clear()

    def held(self, now: float) -> bool:
        """Whether it is kept out."""
        return now < self.held_until
