"""Feeds the components with the owner's and the decision module's state: demand, engines, written loads.

The owner calls `on_request`, `on_refused`, `on_probe_result` and `on_attempt_ended`, which only count. Twice
a second `flush` passes on what has accumulated, together with the decision module's public attributes.
"""

from __future__ import annotations

import time
from collections import Counter, deque

from .. import api
from ..core.books import AttemptFinished, ClientRequest, ProbeFinished
from ..core.owner import Owner
from ..policy.figures import MAX_THREADS_PER_CORE
from .components import Components
from .groups.splits import Facts as GroupFacts
from .overload.bridge import Bridge

FLUSH_INTERVAL = 0.5  # seconds
MAX_PROBE_RESULTS = 256  # kept between two flushes
OUTAGE_THRESHOLD = 0.1  # ejected share of the engines above which splits are held


class RequestFeed:
    """The owner's `fleet`, if overload or groups are enabled."""

    def __init__(self, owner: Owner, components: Components, bridge: Bridge | None) -> None:
        self.owner, self.components, self.bridge = owner, components, bridge
        self._requested: Counter[tuple[int, int]] = Counter()
        self._refused: Counter[tuple[int, int]] = Counter()
        self._probed: deque[tuple[str, bool]] = deque(maxlen=MAX_PROBE_RESULTS)
        self._ejected: set[str] = set()
        self._last_engines: tuple[list[tuple[str, float]], list[str]] | None = None

    # ---- called by the owner ----------------------------------------------------------------------------

    def on_request(self, call: ClientRequest) -> None:
        """A request is passed to the decision module."""
        self._requested[call.cls, call.tenant] += 1

    def on_refused(self, call: ClientRequest) -> None:
        """A request was refused."""
        self._refused[call.cls, call.tenant] += 1

    def on_probe_result(self, end: ProbeFinished) -> None:
        """A probe has ended."""
        self._probed.append((end.peer.engine, end.outcome is api.Outcome.OK))

    def on_attempt_ended(self, end: AttemptFinished) -> None:
        """An attempt has succeeded: count what a load has written, by the bytes of its statement."""
        call, groups = end.attempt.client_request, self.components.groups
        if groups is None or call.data_set is None or not self.owner.settings.classes[call.cls].is_load:
            return
        groups.count(
            call.data_set,
            end.result.rows if end.result is not None else 0,
            len(call.statement),
            round(1000 * (end.work or 0.0)),
        )

    # ---- periodic -------------------------------------------------------------------------------

    def flush(self, now: float) -> None:
        """Pass on what has accumulated. `now` is CLOCK_BOOTTIME."""
        gateway = self.owner.gateway
        ejected = {e.entry.engine for e in gateway.ejected if not e.healthy}
        if self.bridge is not None:
            self._pass_demand(now)
            self._pass_engines()
            for engine in sorted(ejected - self._ejected):
                self.bridge.on_ejected(now, engine)
            for engine, recovered in self._probed:
                self.bridge.on_probed(now, engine, recovered)
            for engine in sorted(self._ejected - ejected):
                self.bridge.on_probed(now, engine, True)
        self._probed.clear()
        self._ejected = ejected
        if self.components.groups is not None:
            self.components.groups.tell(
                now,
                GroupFacts(
                    gateway.gap_level > 0,
                    len(ejected) > OUTAGE_THRESHOLD * len(gateway.live),
                    tuple(sorted(e.entry.engine for e in gateway.live)),
                ),
            )

    def _pass_demand(self, now: float) -> None:
        gateway = self.owner.gateway
        work = [stats.typical_work() for stats in gateway.classes]
        worth = [stats.spec.worth for stats in gateway.classes]
        for (cls, tenant), count in self._requested.items():
            for _ in range(count):
                self.bridge.on_request(now, cls, tenant, work[cls], worth[cls])
        for (cls, tenant), count in self._refused.items():
            self.bridge.on_refused(now, cls, tenant, count * work[cls])
        self._requested.clear()
        self._refused.clear()
        waiting = {pending.arrival.cls for pending in gateway.queued.values()}
        self.bridge.set_load(
            sum(stats.threads for stats in gateway.classes),
            gateway.fleet_slowdown,
            gateway.gap_level,
            max((worth[cls] / max(1e-3, work[cls]) for cls in waiting), default=0.0),
        )

    def _pass_engines(self) -> None:
        """Pass on the engine list if it has changed or an engine is no longer cold."""
        gateway, now = self.owner.gateway, time.monotonic()
        warm = [(e.entry.engine, MAX_THREADS_PER_CORE * e.cores) for e in gateway.live if now >= e.cold_until]
        cold = [e.entry.engine for e in gateway.live if now < e.cold_until]
        if (warm, cold) != self._last_engines:
            self._last_engines = warm, cold
            self.bridge.set_engines(warm, cold)
