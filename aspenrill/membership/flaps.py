"""Flap damping: an engine that is withdrawn and listed again repeatedly is held out, each time for longer.

No I/O; times are seconds and come in as arguments. Modelled on the route flap damping of RFC 2439, with a
hold that doubles instead of a penalty that decays, so that the log states when the engine is admitted again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Damping:
    """Settings of flap damping, times in seconds.

    `threshold` returns within `window` hold an engine out for `hold`, doubled each time up to `max_hold`.
    After `reset_after` without a return the hold starts at `hold` again.
    """

    threshold: int = 3
    window: float = 10.0
    hold: float = 5.0
    max_hold: float = 300.0
    reset_after: float = 60.0


class FlapDamper:
    """Flap damping of one engine: counts its returns and holds it out."""

    __slots__ = ("rules", "return_times", "hold_count", "held_until", "last_return_at")

    def __init__(self, rules: Damping) -> None:
        self.rules = rules
        self.return_times: deque[float] = deque(maxlen=rules.threshold)
        self.hold_count, self.held_until, self.last_return_at = 0, 0.0, 0.0

    def record_return(self, now: float) -> bool:
        """Records that the engine is live again. Returns True if that starts a hold, until `held_until`."""
        if now - max(self.last_return_at, self.held_until) > self.rules.reset_after:
            self.hold_count = 0
        self.last_return_at = now
        self.return_times.append(now)
        if now < self.held_until or len(self.return_times) < self.rules.threshold:
            return False
        if now - self.return_times[0] > self.rules.window:
            return False
        self._begin_hold(now)
        return True

    def end_hold(self, now: float) -> bool:
        """Ends the hold. Returns True if the engine kept flapping, in which case another hold starts."""
        if self.return_times and now - self.last_return_at <= self.rules.window:
            self._begin_hold(now)
            return True
        self.return_times.clear()
        return False

    def _begin_hold(self, now: float) -> None:
        self.held_until = now + min(self.rules.max_hold, self.rules.hold * 2 ** min(self.hold_count, 30))
        self.hold_count += 1
        self.return_times.clear()

    def is_held(self, now: float) -> bool:
        """Returns whether the engine is held out at `now`."""
        return now < self.held_until
