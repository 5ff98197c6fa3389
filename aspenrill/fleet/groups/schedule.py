"""When a split is due, and into which hours: pure, with hysteresis, so that it does not plan and call off
by turns.

A split is planned when the 90% line reaches the limit within the lead time, into the quietest hours between
the notice and a margin before that. It is called off only when, look after look, the line stays well below
the limit for well longer than the lead time; a plan keeps its hours unless they have come to be clearly too
late.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .forecast import DAY, Forecast
from .records import Split


@dataclass(frozen=True, slots=True)
class ScheduleRules:
    """Hours, and what a part of a group may be: bytes that an engine holds warm, core-milliseconds of loads
    in the busiest hour. `calm`: a plan is called off where the line stays below that share of the limits
    for `looks` hourly looks."""

    bytes: float
    work: float = float("inf")
    lead: int = 10 * DAY
    notice: int = 2
    margin: int = DAY
    window: int = 2
    calm: float = 0.85
    looks: int = 12
    factor: int = 2
    most_parts: int = 64
    late: int = DAY


@dataclass(frozen=True, slots=True)
class Outlook:
    """One group as of the end of hour `last`: bytes held now, and how bytes and work go on (None:
    unknown)."""

    group: int
    last: int
    bytes: float
    growth: Forecast | None
    work: Forecast | None


@dataclass(frozen=True, slots=True)
class Plan:
    """A split to propose."""

    group: int
    was: int
    parts: int
    at: int
    before: int


def crossing(look: Outlook, parts: int, rules: ScheduleRules, share: float = 1.0) -> int | None:
    """The hour in which a 90% line reaches that share of its limit; None where it does not."""
    room = share * rules.bytes * parts - look.bytes
    if room <= 0:
        return look.last
    hours = []
    if look.growth is not None:
        before = 0.0
        for day, high in enumerate(look.growth.high):
            if high >= room:
                hours.append(look.last + day * DAY + int(DAY * (room - before) / max(high - before, 1e-9)))
                break
            before = high
    if look.work is not None:
        hours += [
            look.last + day * DAY
            for day, peak in enumerate(look.work.peak)
            if peak >= share * rules.work * parts
        ][:1]
    return min(hours, default=None)


def quiet(profile: Sequence[float], first: int, last: int, window: int) -> int:
    """The first hour of the quietest window that starts within these; the earliest among equals."""
    return min(
        range(first, max(first, last) + 1),
        key=lambda h: (round(sum(profile[(h + i) % DAY] for i in range(window)), 6), h),
    )


class Scheduler:
    """Looks once an hour at each group; remembers for each split how often it looked not needed."""

    def __init__(self, rules: ScheduleRules) -> None:
        self.rules = rules
        self.looks: dict[int, Outlook] = {}
        self.calm: dict[str, int] = {}

    def look(self, outlook: Outlook, splits: Mapping[str, Split]) -> None:
        """A new outlook of a group."""
        self.looks[outlook.group] = outlook
        for split in splits.values():
            if split.group == outlook.group and not split.step.over:
                near = crossing(outlook, split.was, self.rules, self.rules.calm)
                far = near is None or near > outlook.last + 1.25 * self.rules.lead
                self.calm[split.id] = self.calm.get(split.id, 0) + 1 if far else 0
        self.calm = {ident: n for ident, n in self.calm.items() if ident in splits}

    def wanted(self, split: Split) -> str | None:
        """Why it is not wanted any more; None while it is."""
        if self.calm.get(split.id, 0) >= self.rules.looks:
            return "the forecast stays below the limit"
        look = self.looks.get(split.group)
        if look is not None:
            limit = crossing(look, split.was, self.rules)
            soonest = max(look.last + self.rules.notice, limit or 0)
            if limit is not None and split.at > soonest + self.rules.late:
                return "the limit comes before its window"
        return None

    def plan(self, group: int, parts: int, hour: int) -> Plan | None:
        """What is due for a group that has no open split."""
        look = self.looks.get(group)
        if look is None or parts * self.rules.factor > self.rules.most_parts or look.last < hour - DAY:
            return None
        limit = crossing(look, parts, self.rules)
        if limit is None or limit > hour + self.rules.lead:
            return None
        line = look.work or look.growth
        shares = line.profile if line else (1 / DAY,) * DAY
        first = hour + self.rules.notice
        last = max(min(limit - self.rules.margin, first + 7 * DAY), min(first + DAY, limit), first)
        at = quiet(shares, first, last, self.rules.window)
        return Plan(group, parts, parts * self.rules.factor, at, limit)
