"""Converts start times of engines from Unix time to the monotonic clock.

Engine discovery reports a recent start in Unix time. Neither its clock nor this machine's wall clock is
reliable for measuring how long ago that was, as either may be stepped. But no start is reported before it has
happened. So the smallest difference between receiving a report and its Unix time, less the greatest delay
that all reports may have had, bounds the age of each start. Within that bound the wall clock decides, as it
was when the program began. An engine with a start time that is too late gets less work for a while; one with
a start time that is too early would be overloaded.

No I/O, except that both clocks are read once at the beginning.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

from .members import EngineListUpdate, Member

MIN_RESTART_INTERVAL = 1e-6  # seconds between two starts of one engine, so that the later one is greater
MIN_START = 1e-6  # seconds; 0 means that it started long ago
MIN_CORRECTION = 0.05  # seconds by which an estimate must improve before the engine is reported again

Address = tuple[str, int]


@dataclass(slots=True)
class _Start:
    """The last start of an engine."""

    unix_time: float  # Unix seconds, as reported
    started_at: float  # estimate, monotonic seconds
    earliest: float  # lower bound: an earlier start of the engine was before this
    latest_sent: float  # the greatest `started_at` that was passed on
    member: Member  # as passed on last


class StartTimes:
    """Converts the `started` of members from Unix time to the monotonic clock.

    A start that is reported again keeps its estimate, or gets an earlier one if a better offset of the clocks
    is known by then. A restart always gets a later time than any passed on for the engine before.
    """

    def __init__(
        self, max_engines: int, max_delay: float = 0.0, wall: float | None = None, now: float | None = None
    ) -> None:
        """`max_engines`: the number of engines to store.

        `max_delay`: seconds by which all reports may have been late, and so the greatest error by which a
        start time may be too early. `wall`, `now`: the wall and monotonic clocks, read here if not given.
        """
        self._max_engines, self._max_delay = max_engines, max_delay
        now = time.monotonic() if now is None else now
        self._wall_offset = now - (time.time() if wall is None else wall)
        self._min_offset = self._sent_offset = float("inf")
        self._starts: dict[Address, _Start] = {}  # the last reported one is last

    def convert_update(self, now: float, update: EngineListUpdate) -> EngineListUpdate:
        """Convert a list update, and add other engines whose estimates it improves.

        A complete list removes the stored engines that it does not contain.
        """
        members = self.convert_members(now, update.members)
        if update.complete:
            named = {member.address for member in members if member.started}
            self._starts = {address: start for address, start in self._starts.items() if address in named}
        elif self._min_offset < self._sent_offset - MIN_CORRECTION:
            members += self._corrected_members(now, {member.engine for member in members})
        self._sent_offset = min(self._sent_offset, self._min_offset)
        return replace(update, members=members)

    def convert_members(self, now: float, members: Sequence[Member]) -> tuple[Member, ...]:
        """Convert members to start times on the monotonic clock."""
        for member in members:
            if member.started:
                self._min_offset = min(self._min_offset, now - member.started)
        return tuple([self._convert(now, member) if member.started else member for member in members])

    def _convert(self, now: float, member: Member) -> Member:
        start = self._starts.pop(member.address, None)
        if start is None or member.started > start.unix_time:
            earliest = max(MIN_START, start.latest_sent + MIN_RESTART_INTERVAL if start is not None else 0.0)
            started_at = self._estimate_start(now, member.started, earliest)
            start = _Start(member.started, started_at, earliest, started_at, member)
        else:
            start.started_at = min(
                start.started_at, self._estimate_start(now, start.unix_time, start.earliest)
            )
        start.member = replace(member, started=start.started_at)
        self._starts[member.address] = start
        if len(self._starts) > self._max_engines:
            del self._starts[next(iter(self._starts))]
        return start.member

    def _estimate_start(self, now: float, unix_time: float, earliest: float) -> float:
        return max(earliest, min(now, unix_time + max(self._wall_offset, self._min_offset - self._max_delay)))

    def _corrected_members(self, now: float, exclude: set[str]) -> tuple[Member, ...]:
        """Engines outside `exclude` whose estimate has improved."""
        found = []
        for start in self._starts.values():
            started_at = self._estimate_start(now, start.unix_time, start.earliest)
            if start.member.engine not in exclude and started_at < start.started_at - MIN_CORRECTION:
                start.started_at = started_at
                start.member = replace(start.member, started=started_at)
                found.append(start.member)
        return tuple(found)
