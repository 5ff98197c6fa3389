"""Detection of change points in a series of days: lasting level shifts, not single-day outliers.

A two-window test compares the medians of up to a week before and after each candidate, in units of the
spread within the windows. Medians ignore a burst or a single stall. The last candidate with the strongest
shift counts. A trend without noise also differs slightly from one week to the next, so the shift must be
large in absolute terms too.
"""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

WINDOW_DAYS = 7  # days
MIN_RATIO = 1.35  # smallest ratio of the medians that counts as a shift
MIN_DEVIATIONS = 3.5  # smallest shift in deviations


def _score(before: list[float], after: list[float]) -> float:
    """Distance of the medians in deviations; 0 if the shift is too small."""
    a, b = median(before), median(after)
    if max(a, b) < MIN_RATIO * max(min(a, b), 1e-9):
        return 0.0
    spread = median([abs(v - a) for v in before] + [abs(v - b) for v in after])
    return abs(a - b) / max(1.5 * spread, 0.03 * max(a, b), 1e-9)


def last_change(days: Sequence[float | None], min_days: int) -> int:
    """Index of the first day after the last change point, 0 if there is none.

    `min_days` known days are required on both sides.
    """
    found = 0
    while True:
        best, best_at = MIN_DEVIATIONS, None
        for at in range(found + min_days, len(days) - min_days + 1):
            before = [v for v in days[max(found, at - WINDOW_DAYS) : at] if v is not None]
            after = [v for v in days[at : at + WINDOW_DAYS] if v is not None]
            if len(before) < min_days or len(after) < min_days:
                continue
            # the largest step between adjacent days locates the change
            step = abs(after[0] - before[-1]) / (max(after[0], before[-1]) or 1)
            score = _score(before, after) + min(1.0, step)
            if score > best and _score(before, after) > MIN_DEVIATIONS:
                best, best_at = score, at
        if best_at is None:
            return found
        found = best_at
