"""Change points in a series of days: where its level jumped for good, not for a day.

A two-window test: at each candidate the medians of up to a week before and after are compared, in units of
the spread within the windows. Medians let a burst or a single stall pass. The last candidate of the
strongest jump counts. Without noise a trend jumps by little from one week to the next, so a jump must be
large in itself too.
"""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

WINDOW = 7  # days
RATIO = 1.35  # a jump is at least that, up or down
DEVIATIONS = 3.5


def _score(before: list[float], after: list[float]) -> float:
    """How many deviations apart; 0 where the jump is too small."""
    a, b = median(before), median(after)
    if max(a, b) < RATIO * max(min(a, b), 1e-9):
        return 0.0
    spread = median([abs(v - a) for v in before] + [abs(v - b) for v in after])
    return abs(a - b) / max(1.5 * spread, 0.03 * max(a, b), 1e-9)


def last_change(days: Sequence[float | None], least: int) -> int:
    """The day from which on the level is another, 0 where it never changed; `least` days must have
    followed."""
    found = 0
    while True:
        best, best_at = DEVIATIONS, None
        for at in range(found + least, len(days) - least + 1):
            before = [v for v in days[max(found, at - WINDOW) : at] if v is not None]
            after = [v for v in days[at : at + WINDOW] if v is not None]
            if len(before) < least or len(after) < least:
                continue
            # the steepest step between neighbours in time marks the day
            step = abs(after[0] - before[-1]) / (max(after[0], before[-1]) or 1)
            score = _score(before, after) + min(1.0, step)
            if score > best and _score(before, after) > DEVIATIONS:
                best, best_at = score, at
        if best_at is None:
            return found
        found = best_at
