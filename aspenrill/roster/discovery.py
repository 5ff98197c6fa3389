"""Runs the sources: passes their lists to the membership and the resulting member updates to the owner."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..core.books import UnhealthyQuery
from ..members import EngineListUpdate, Member
from ..membership.rule import Membership
from ..net.hub import Hub
from ..net.timers import Timer
from ..starttimes import StartTimes

HEALTH_POLL_INTERVAL = 1.0  # seconds between queries for unhealthy engines, if there are several tiers


class Source(Protocol):
    """A task that reports lists of engines."""

    def start(self) -> None:
        """Start the task."""
        ...

    def stop(self) -> None:
        """Stop it; it reports nothing more."""
        ...

    def refresh(self) -> None:
        """Poll now, without a cache."""
        ...


class EngineDiscovery:
    """Owns the membership. The tasks of its sources call it; none of its methods blocks."""

    def __init__(
        self,
        hub: Hub,
        clock: Callable[[], float],
        membership: Membership,
        post: Callable[[Any], None],
        most_engines: int,
    ) -> None:
        self.hub, self.clock, self.membership, self.post = hub, clock, membership, post
        self.start_times = StartTimes(most_engines, now=clock())
        self.sources: dict[str, Source] = {}
        self.event_number = 0
        self._timer: Timer | None = None
        self._timer_due = math.inf
        self._health_polled_at = -math.inf
        self.publish_changes()

    # ---- reports of sources ---------------------------------------------------------------------------

    def on_list(self, name: str, members: Sequence[Member], learned_at: float | None = None) -> None:
        """Apply a source's complete list."""
        now = self.clock()
        self.membership.replace_list(now, name, self.start_times.convert_members(now, members), learned_at)
        self.publish_changes()

    def on_changes(self, name: str, members: Sequence[Member]) -> None:
        """Apply changes to a source's list."""
        now = self.clock()
        self.membership.apply_changes(now, name, self.start_times.convert_members(now, members))
        self.publish_changes()

    def on_failure(self, name: str, why: str) -> None:
        """Record that a source has failed."""
        self.membership.record_failure(self.clock(), name, why)
        self.publish_changes()

    def bulletin_handler(self, name: str) -> Callable[[EngineListUpdate], None]:
        """Return the handler for bulletin events, which count as reports of the source `name`."""

        def handle(update: EngineListUpdate) -> None:
            (self.on_list if update.complete else self.on_changes)(name, update.members)

        return handle

    # ---- starting and stopping sources ----------------------------------------------------------------

    def start_source(self, name: str, source: Source) -> None:
        """Start a source, and stop the one that had its name."""
        self.stop_source(name)
        self.sources[name] = source
        source.start()

    def stop_source(self, name: str) -> None:
        """Stop a source; the membership decides what happens to its last list."""
        if (old := self.sources.pop(name, None)) is not None:
            old.stop()

    # ---- publishing -----------------------------------------------------------------------------------

    def publish_changes(self) -> None:
        """Pass changed members to the owner, log, and schedule requested polls and the next tick."""
        membership = self.membership
        members = membership.take_updates()
        if members:
            self.event_number += 1
            self.post(EngineListUpdate(self.event_number, False, members))
        for text in membership.log_lines:
            self.hub.log(text)
        membership.log_lines.clear()
        for name, at in membership.rechecks:
            self.hub.timers.after(max(0.0, at - self.clock()), self.hub.spawn, self._refresh, name)
        membership.rechecks.clear()
        due = membership.due(self.clock())
        if due is not None and due < self._timer_due - 0.01:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            self._timer = self.hub.timers.after(max(0.01, due - self.clock()), self.hub.spawn, self._tick)

    def _refresh(self, name: str) -> None:
        if name in self.sources:
            self.sources[name].refresh()

    def _tick(self) -> None:
        self._timer, self._timer_due = None, math.inf
        if (
            len(self.membership.tiers.priorities) > 1
            and time.monotonic() >= self._health_polled_at + HEALTH_POLL_INTERVAL
        ):
            self._health_polled_at = time.monotonic()
            self.post(UnhealthyQuery(self._mark_unhealthy))
        self.membership.tick(self.clock())
        self.publish_changes()

    def _mark_unhealthy(self, ids: list[str]) -> None:
        self.membership.set_unhealthy(self.clock(), ids)
        self.publish_changes()
