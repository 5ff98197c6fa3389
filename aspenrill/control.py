"""The decision module of a gateway: `Gateway.handle` turns one event into a list of actions.

The interface is aspenrill/api.py; docs/design.md explains which rule acts when, and why.
"""

import math
import random
from collections import deque

from . import api
from .policy import Admission, Choice, Outcomes, Sending, View
from .policy.figures import (
    GOSSIP_COST,
    IN_FLIGHT_CHECK_INTERVAL,
    MAX_CANDIDATES,
    MAX_PROBES,
    QUEUE_CHECK_INTERVAL,
)
from .state import ClassMix, ClassStats, Fleet, KeyQueues

# Slowdown of a large fleet that is assumed until answers show the true one.
INITIAL_SLOWDOWN = 1.5
# Seconds that the gateway's own program may be behind before it refuses the requests of least worth.
BASE_PROGRAM_DELAY = 0.05
# Upper bound of the share of the result that probes may cost. Where a probe costs much, several requests pay
# for one.
PROBE_RESULT_SHARE = 0.03


def shed_after(settings: api.Settings) -> tuple[float, ...]:
    """By class: the delay of the gateway's own program, in seconds, above which new requests are refused."""
    mean = max(1e-3, sum(c.worth for c in settings.classes) / len(settings.classes))
    return tuple(BASE_PROGRAM_DELAY * (1 + c.worth / mean) for c in settings.classes)


class Gateway(View, Admission, Choice, Sending, Outcomes):
    """The state of one gateway. It does no I/O and reads no clock: the caller passes time and events in."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        settings.validate()
        self.settings = settings
        self.now = now
        self.random = random.Random(seed)
        self.classes = [ClassStats(c) for c in settings.classes]
        self.fleet = Fleet(settings.cores_by_kind, settings.memory_by_kind)
        # Engines: those that the list has as live, and among these the cold and the ejected ones.
        self.live, self.cold, self.ejected = [], [], []
        # Requests by id: all that have not ended, those with an attempt in flight, those queued (in order).
        self.pending, self.in_flight, self.queued = {}, {}, {}
        # Requests with an ordered key, in order of arrival, and until when a key is backed off.
        self.key_queues, self.key_backoff_until = KeyQueues(), {}
        # Moments of each kind, the oldest first.
        self.arrival_times, self.retry_times, self.send_times, self.entry_times, self.loss_times = (
            deque() for _ in range(5)
        )
        # The entry gap: its level, seconds between entries on level 1 before the growth by level.
        self.gap_level = 0
        self.base_gap = 0.0
        self.next_entry_at = 0.0
        self.gap_hold_until = 0.0
        self.next_gap_check_at = now
        # How the load of engines is known; see View._on_list.
        self.uses_reported_load = self.uses_capacity_share = self.uses_gossip = self.may_page = False
        self.fleet_slowdown = INITIAL_SLOWDOWN if settings.gateways > MAX_CANDIDATES else 1.0
        self.affinity_engines = []
        self.mean_load = 0.0
        self.mean_load_at = now
        self.capacity_share = 0.0  # in cores
        self.freed_group = None  # slot group of the attempt that ended last
        self.mix = ClassMix(self.classes)
        self.shed_after = shed_after(settings)
        self.recent_loads = {}  # engines that answered since the last gossip message, and when
        self.readers_wait_for_loads = any(c.waits_for_loads for c in settings.classes)
        self.timer_at = math.inf
        self.list_retry_at = math.inf
        self.resumed_at = now  # end of this process's last stall
        # Probes that each request adds to the budget.
        self.probes_per_request = min(MAX_PROBES, PROBE_RESULT_SHARE / max(1e-9, settings.probe_price))
        self.probe_budget = MAX_PROBES  # in probes
        self.gossip_budget = 2 * GOSSIP_COST * self.random.random()  # in bytes; requests add to it

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions that follow from it, in order."""
        self.now, self.actions = now, []
        if isinstance(event, api.PeerMessage):  # by far the most frequent
            self._on_gossip(event.data)
            return self.actions
        if (
            now > self.timer_at + IN_FLIGHT_CHECK_INTERVAL
        ):  # this process stalled: engines may have answered long ago
            self.resumed_at, self.timer_at = now, math.inf
        match event:
            case api.ListUpdate():
                self._on_list(event)
            case api.Request():
                self._on_request(event)
            case api.AttemptEnded() if event.request in self.in_flight:
                self._on_outcome(self.in_flight.pop(event.request), event)
            case api.AttemptNote() if event.request in self.pending:
                self._on_note(self.pending[event.request], event)
            case api.ProbeEnded() if event.engine in self.fleet.engines:
                self._on_probe(self.fleet.engines[event.engine], event)
            case api.ClientGone(request) if request in self.pending:
                self._end(self.pending[request], gone=True)
            case api.Closing():  # every request gets its answer; an attempt in flight may have run
                for pending in list(self.pending.values()):
                    pending.record_run(pending.engine, pending.engine is not None)
                    self._end(pending, api.EndReason.SHUTDOWN)
            case api.TimerDue() if now >= self.timer_at - 1e-6:
                self.timer_at = math.inf
                self._check_in_flight()
                self._update_gap()
        if self.queued and not isinstance(event, (api.Request, api.AttemptNote)):
            self._release(self.uses_reported_load or not isinstance(event, api.AttemptEnded))
        busy = (
            self.queued or self.in_flight or self.gap_level or self.ejected or self.list_retry_at < math.inf
        )
        if (
            busy
            and now + (wait := QUEUE_CHECK_INTERVAL if self.queued else IN_FLIGHT_CHECK_INTERVAL)
            < self.timer_at
        ):
            self.timer_at = now + wait
            self.actions.append(api.SetTimer(wait, "look"))
        return self.actions
