"""When engines started, on the program's own clock.

Discovery stamps a late start with Unix time. Neither that clock nor this machine's wall clock can be relied
on to measure how long ago that was: either may be stepped. What can be relied on is that nothing is told of
before it has happened, so no start may be taken for older than the promptest news allow, less the time by
which all of them may have been late. Within that bound the wall clock decides, as it stood when the program
began. An engine that is taken for younger than it is gets less work for a while; one that is taken for
older would get more than it bears.

No I/O but for one reading of both clocks at the beginning.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

from .members import Member, News

LEAST_LATER = 1e-6  # seconds between two starts of one engine, so that the later one is seen as such
EARLIEST = 1e-6  # seconds: 0 would say that it started long ago
LEAST_REDATED = 0.05  # seconds by which a date has to be better for the engine to be told of again

Address = tuple[str, int]


@dataclass(slots=True)
class _Start:
    """The last start of an engine."""

    stamp: float  # Unix seconds, as told
    at: float  # by the monotonic clock, as far as is known
    earliest: float  # a former start was before that
    latest: float  # the latest `at` that was told of it
    member: Member  # as told last


class StartTimes:
    """Brings the `started` of members from Unix time to the monotonic clock.

    A start that is told of again keeps its date, or gets an earlier one where the clocks are known better by
    then; a later start is always dated later than all that was told before.
    """

    def __init__(
        self, most: int, news_delay: float = 0.0, wall: float | None = None, now: float | None = None
    ) -> None:
        """`most`: engines that are remembered.

        `news_delay`: seconds by which all news may have been late, and so the most by which an engine may be
        taken for older than it is. `wall`, `now`: both clocks, read here where not given.
        """
        self._most, self._news_delay = most, news_delay
        now = time.monotonic() if now is None else now
        self._by_wall = now - (time.time() if wall is None else wall)
        self._by_news = self._dated_by = float("inf")
        self._starts: dict[Address, _Start] = {}  # what was told of last stands last

    def news(self, now: float, news: News) -> News:
        """The event with its starts on the monotonic clock, and with engines that can be dated better by it.

        A whole list forgets whom it does not name.
        """
        members = self.members(now, news.members)
        if news.whole:
            named = {member.address for member in members if member.started}
            self._starts = {address: start for address, start in self._starts.items() if address in named}
        elif self._by_news < self._dated_by - LEAST_REDATED:
            members += self._redated(now, {member.engine for member in members})
        self._dated_by = min(self._dated_by, self._by_news)
        return replace(news, members=members)

    def members(self, now: float, members: Sequence[Member]) -> tuple[Member, ...]:
        """The members with their starts on the monotonic clock."""
        for member in members:
            if member.started:
                self._by_news = min(self._by_news, now - member.started)
        return tuple([self._translated(now, member) if member.started else member for member in members])

    def _translated(self, now: float, member: Member) -> Member:
        start = self._starts.pop(member.address, None)
        if start is None or member.started > start.stamp:
            earliest = max(EARLIEST, start.latest + LEAST_LATER if start is not None else 0.0)
            at = self._date(now, member.started, earliest)
            start = _Start(member.started, at, earliest, at, member)
        else:
            start.at = min(start.at, self._date(now, start.stamp, start.earliest))
        start.member = replace(member, started=start.at)
        self._starts[member.address] = start
        if len(self._starts) > self._most:
            del self._starts[next(iter(self._starts))]
        return start.member

    def _date(self, now: float, stamp: float, earliest: float) -> float:
        return max(earliest, min(now, stamp + max(self._by_wall, self._by_news - self._news_delay)))

    def _redated(self, now: float, told: set[str]) -> tuple[Member, ...]:
        """Others than those told of, whose date is better by now."""
        found = []
        for start in self._starts.values():
            at = self._date(now, start.stamp, start.earliest)
            if start.member.engine not in told and at < start.at - LEAST_REDATED:
                start.at = at
                start.member = replace(start.member, started=at)
                found.append(start.member)
        return tuple(found)
