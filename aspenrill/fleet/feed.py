"""What a front end's owner and module know, told to the parts: demand, engines, loads that were written.

The owner calls `asked`, `refused`, `probed` and `ended`, which only count; twice a second `Feed.turn` hands
on what has come together, and reads the module's public attributes.
"""

from __future__ import annotations

import time
from collections import Counter, deque

from .. import api
from ..core.books import Call, Ended, Probed
from ..core.owner import Owner
from ..policy.figures import THREADS_A_CORE
from .groups.splits import Facts as GroupFacts
from .overload.bridge import Bridge
from .parts import Parts

EVERY = 0.5  # seconds
MOST_PROBED = 256  # kept between two turns
OUTAGE = 0.1  # of the engines that are out, from which no split takes a step


class Feed:
    """The owner's `fleet`, where overload or groups are on."""

    def __init__(self, owner: Owner, parts: Parts, bridge: Bridge | None) -> None:
        self.owner, self.parts, self.bridge = owner, parts, bridge
        self._asked: Counter[tuple[int, int]] = Counter()
        self._refused: Counter[tuple[int, int]] = Counter()
        self._probed: deque[tuple[str, bool]] = deque(maxlen=MOST_PROBED)
        self._out: set[str] = set()
        self._engines: tuple[list[tuple[str, float]], list[str]] | None = None

    # ---- the owner's calls ----------------------------------------------------------------------------

    def asked(self, call: Call) -> None:
        """A request goes to the module."""
        self._asked[call.cls, call.tenant] += 1

    def refused(self, call: Call) -> None:
        """It was refused."""
        self._refused[call.cls, call.tenant] += 1

    def probed(self, end: Probed) -> None:
        """A probe has ended."""
        self._probed.append((end.peer.engine, end.outcome is api.Outcome.OK))

    def ended(self, end: Ended) -> None:
        """An attempt has ended well: what a load wrote, as the bytes of its statement."""
        call, groups = end.attempt.call, self.parts.groups
        if groups is None or call.data_set is None or not self.owner.settings.classes[call.cls].is_load:
            return
        groups.count(
            call.data_set,
            end.result.rows if end.result is not None else 0,
            len(call.statement),
            round(1000 * (end.work or 0.0)),
        )

    # ---- twice a second -------------------------------------------------------------------------------

    def turn(self, now: float) -> None:
        """Hand on. `now` is CLOCK_BOOTTIME."""
        gateway = self.owner.gateway
        out = {e.entry.engine for e in gateway.ejected if not e.healthy}
        if self.bridge is not None:
            self._demand(now)
            self._list()
            for engine in sorted(out - self._out):
                self.bridge.on_ejected(now, engine)
            for engine, back in self._probed:
                self.bridge.on_probed(now, engine, back)
            for engine in sorted(self._out - out):
                self.bridge.on_probed(now, engine, True)
        self._probed.clear()
        self._out = out
        if self.parts.groups is not None:
            self.parts.groups.tell(
                now,
                GroupFacts(
                    gateway.rung > 0,
                    len(out) > OUTAGE * len(gateway.live),
                    tuple(sorted(e.entry.engine for e in gateway.live)),
                ),
            )

    def _demand(self, now: float) -> None:
        gateway = self.owner.gateway
        work = [learned.usual_work() for learned in gateway.classes]
        worth = [learned.spec.worth for learned in gateway.classes]
        for (cls, tenant), count in self._asked.items():
            for _ in range(count):
                self.bridge.asked(now, cls, tenant, work[cls], worth[cls])
        for (cls, tenant), count in self._refused.items():
            self.bridge.on_refused(now, cls, tenant, count * work[cls])
        self._asked.clear()
        self._refused.clear()
        waiting = {query.ask.cls for query in gateway.held.values()}
        self.bridge.set_load(
            sum(learned.threads for learned in gateway.classes),
            gateway.ordinary,
            gateway.rung,
            max((worth[cls] / max(1e-3, work[cls]) for cls in waiting), default=0.0),
        )

    def _list(self) -> None:
        """The list, where it has changed or an engine is no longer cold."""
        gateway, now = self.owner.gateway, time.monotonic()
        warm = [(e.entry.engine, THREADS_A_CORE * e.cores) for e in gateway.live if now >= e.cold_until]
        cold = [e.entry.engine for e in gateway.live if now < e.cold_until]
        if (warm, cold) != self._engines:
            self._engines = warm, cold
            self.bridge.engines(warm, cold)
