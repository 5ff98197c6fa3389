"""When a split is due and in which hours, with hysteresis against planning and cancelling in turn.

A split is planned when the 90% forecast reaches the limit within the lead time, in the quietest hours between
the notice and a margin before the limit. It is cancelled only if a number of consecutive forecasts stay well
below the limit for clearly longer than the lead time. A plan keeps its hours unless they are clearly too
late.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .forecast import DAY, Forecast
from .records import Split


@dataclass(frozen=True, slots=True)
class ScheduleRules:
    """Limits of one part of a group, and times in hours.

    `bytes` is what an engine holds warm, `work` the core-milliseconds of loads in the busiest hour. A plan is
    cancelled if the forecast stays below `cancel_share` of the limits in `cancel_checks` hourly checks, or
    if its window is more than `max_delay` after the limit is reached. A split multiplies the parts by
    `factor`.
    """

    bytes: float
    work: float = float("inf")
    lead: int = 10 * DAY
    notice: int = 2
    margin: int = DAY
    window: int = 2
    cancel_share: float = 0.85
    cancel_checks: int = 12
    factor: int = 2
    max_parts: int = 64
    max_delay: int = DAY


@dataclass(frozen=True, slots=True)
class Outlook:
    """A group at the end of hour `last`: its bytes, and forecasts of bytes and work (None: unknown)."""

    group: int
    last: int
    bytes: float
    growth: Forecast | None
    work: Forecast | None


@dataclass(frozen=True, slots=True)
class Plan:
    """A split to propose; the fields are those of `Split`."""

    group: int
    parts_before: int
    parts: int
    window_start: int
    limit_hour: int


def limit_hour(outlook: Outlook, parts: int, rules: ScheduleRules, share: float = 1.0) -> int | None:
    """The hour in which a 90% forecast reaches that share of its limit; None if it does not."""
    headroom = share * rules.bytes * parts - outlook.bytes
    if headroom <= 0:
        return outlook.last
    hours = []
    if outlook.growth is not None:
        before = 0.0
        for day, high in enumerate(outlook.growth.high):
            if high >= headroom:
                hours.append(
                    outlook.last + day * DAY + int(DAY * (headroom - before) / max(high - before, 1e-9))
                )
                break
            before = high
    if outlook.work is not None:
        hours += [
            outlook.last + day * DAY
            for day, peak in enumerate(outlook.work.peak)
            if peak >= share * rules.work * parts
        ][:1]
    return min(hours, default=None)


def quietest_hour(profile: Sequence[float], first: int, last: int, window: int) -> int:
    """Start of the quietest window that starts in `first` to `last`; the earliest of equals."""
    return min(
        range(first, max(first, last) + 1),
        key=lambda h: (round(sum(profile[(h + i) % DAY] for i in range(window)), 6), h),
    )


class Scheduler:
    """Plans splits from hourly outlooks; counts for each split how often it seemed unnecessary."""

    def __init__(self, rules: ScheduleRules) -> None:
        self.rules = rules
        self.outlooks: dict[int, Outlook] = {}
        self.low_checks: dict[str, int] = {}

    def update_outlook(self, outlook: Outlook, splits: Mapping[str, Split]) -> None:
        """Takes a new outlook of a group."""
        self.outlooks[outlook.group] = outlook
        for split in splits.values():
            if split.group == outlook.group and not split.step.is_final:
                reached_at = limit_hour(outlook, split.parts_before, self.rules, self.rules.cancel_share)
                unneeded = reached_at is None or reached_at > outlook.last + 1.25 * self.rules.lead
                self.low_checks[split.id] = self.low_checks.get(split.id, 0) + 1 if unneeded else 0
        self.low_checks = {split_id: n for split_id, n in self.low_checks.items() if split_id in splits}

    def drop_reason(self, split: Split) -> str | None:
        """Why a split should be dropped; None if it is still needed."""
        if self.low_checks.get(split.id, 0) >= self.rules.cancel_checks:
            return "the forecast stays below the limit"
        outlook = self.outlooks.get(split.group)
        if outlook is not None:
            limit = limit_hour(outlook, split.parts_before, self.rules)
            earliest = max(outlook.last + self.rules.notice, limit or 0)
            if limit is not None and split.window_start > earliest + self.rules.max_delay:
                return "the limit comes before its window"
        return None

    def plan(self, group: int, parts: int, hour: int) -> Plan | None:
        """The split that is due for a group without an open one, if any."""
        outlook = self.outlooks.get(group)
        if outlook is None or parts * self.rules.factor > self.rules.max_parts or outlook.last < hour - DAY:
            return None
        limit = limit_hour(outlook, parts, self.rules)
        if limit is None or limit > hour + self.rules.lead:
            return None
        growth = outlook.work or outlook.growth
        shares = growth.profile if growth else (1 / DAY,) * DAY
        first = hour + self.rules.notice
        last = max(min(limit - self.rules.margin, first + 7 * DAY), min(first + DAY, limit), first)
        at = quietest_hour(shares, first, last, self.rules.window)
        return Plan(group, parts, parts * self.rules.factor, at, limit)
