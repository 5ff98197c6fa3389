"""When engines started, on the program's own clock.

Discovery stamps a late start with Unix time. Neither that clock nor this machine's wall clock can be relied
on to measure how long ago that was: either may be stepped. What can be relied on is that nothing is told of
before it has happened. So the two clocks differ by at most what the promptest news leaves between its stamp
and its arrival, and no start is taken for older than by that. The wall clock, as it stood when the program
began, is a second bound, for stamps that lie in the future. An engine that is taken for younger than it is
gets less work for a while; one that is taken for older would get more than it bears.

No I/O but for one reading of both clocks at the beginning.
"""
from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

from .members import Member, News

LEAST_LATER = 1e-6  # seconds between two starts of one engine, so that the later one is seen as such
EARLIEST = 1e-6  # seconds: 0 would say that it started long ago

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Start:
    """One start of an engine: as stamped, and on the monotonic clock."""

    stamp: float
    at: float


class StartTimes:
    """Brings the `started` of members from Unix time to the monotonic clock. One start stays the same."""

    def __init__(self, most: int, wall: float | None = None, now: float | None = None) -> None:
        """`most`: engines that are remembered; `wall` and `now`: both clocks, read here where not given."""
        self._most = most
        now = time.monotonic() if now is None else now
        self._by_wall = now - (time.time() if wall is None else wall)
        self._by_news = float("inf")
        self._starts: dict[Address, _Start] = {}  # what was told of last stands last

    def news(self, now: float, news: News) -> News:
        """The event with its starts on the monotonic clock; a whole list forgets whom it does not name."""
        members = self.members(now, news.members)
        if news.whole:
            named = {member.address for member in members if member.started}
            self._starts = {address: start for address, start in self._starts.items() if address in named}
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
            start = _Start(member.started, self._at(now, member.started, start))
        self._starts[member.address] = start
        if len(self._starts) > self._most:
            del self._starts[next(iter(self._starts))]
        return replace(member, started=start.at)

    def _at(self, now: float, stamp: float, before: _Start | None) -> float:
        at = min(now, stamp + max(self._by_wall, self._by_news))
        return max(at, EARLIEST, before.at + LEAST_LATER if before is not None else 0.0)
