"""The sources at work: what they tell goes into the membership, what comes of it to the owner."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..core.books import Unfit
from ..members import Member, News
from ..membership.rule import Membership
from ..net.hub import Hub
from ..net.timers import Timer
from ..starttimes import StartTimes

FITNESS = 1.0  # seconds between two questions to the owner which engines are broken, where tiers need it


class Source(Protocol):
    """A task that tells lists."""

    def start(self) -> None: ...
    def stop(self) -> None: ...
    def again(self) -> None: ...


class Roster:
    """Owns the membership. Its sources' tasks call it; all it does is done at once, without a wait."""

    def __init__(
        self,
        hub: Hub,
        clock: Callable[[], float],
        membership: Membership,
        post: Callable[[Any], None],
        most_engines: int,
    ) -> None:
        self.hub, self.clock, self.membership, self.post = hub, clock, membership, post
        self.starts = StartTimes(most_engines, now=clock())
        self.sources: dict[str, Source] = {}
        self.number = 0
        self._timer: Timer | None = None
        self._due = math.inf
        self._asked_at = -math.inf
        self.flush()

    # ---- what sources tell ----------------------------------------------------------------------------

    def told(self, name: str, members: Sequence[Member], asked: float | None = None) -> None:
        """A whole list."""
        now = self.clock()
        self.membership.whole(now, name, self.starts.members(now, members), asked)
        self.flush()

    def changed(self, name: str, members: Sequence[Member]) -> None:
        """Changes to a list."""
        now = self.clock()
        self.membership.change(now, name, self.starts.members(now, members))
        self.flush()

    def failed(self, name: str, why: str) -> None:
        """A source that has nothing to tell."""
        self.membership.failed(self.clock(), name, why)
        self.flush()

    def news_of(self, name: str) -> Callable[[News], None]:
        """What the bulletin posts to, as the source of a name."""

        def post(news: News) -> None:
            (self.told if news.whole else self.changed)(name, news.members)

        return post

    # ---- sources that come and go ---------------------------------------------------------------------

    def follow(self, name: str, source: Source) -> None:
        """Start one, in place of another of its name."""
        self.drop(name)
        self.sources[name] = source
        source.start()

    def drop(self, name: str) -> None:
        """Stop one; what it has said is the membership's matter."""
        if (old := self.sources.pop(name, None)) is not None:
            old.stop()

    # ---- what comes of it -----------------------------------------------------------------------------

    def flush(self) -> None:
        """Pass on what has changed, and come back when time changes something."""
        membership = self.membership
        members = membership.take()
        if members:
            self.number += 1
            self.post(News(self.number, False, members))
        for text in membership.notes:
            self.hub.log(text)
        membership.notes.clear()
        for name, at in membership.looks:
            self.hub.timers.after(max(0.0, at - self.clock()), self.hub.spawn, self._again, name)
        membership.looks.clear()
        due = membership.due(self.clock())
        if due is not None and due < self._due - 0.01:
            if self._timer is not None:
                self._timer.cancel()
            self._due = due
            self._timer = self.hub.timers.after(max(0.01, due - self.clock()), self.hub.spawn, self._tick)

    def _again(self, name: str) -> None:
        if name in self.sources:
            self.sources[name].again()

    def _tick(self) -> None:
        self._timer, self._due = None, math.inf
        if len(self.membership.tiers.order) > 1 and time.monotonic() >= self._asked_at + FITNESS:
            self._asked_at = time.monotonic()
            self.post(Unfit(self._unfit))
        self.membership.tick(self.clock())
        self.flush()

    def _unfit(self, ids: list[str]) -> None:
        self.membership.unfit(self.clock(), ids)
        self.flush()
