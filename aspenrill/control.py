"""All decisions of a gateway. Interface: aspenrill/api.py. What acts when, and why: docs/design.md."""

import math
import random
from collections import deque

from . import api
from .policy import Admission, Choice, Outcomes, Sending, View
from .policy.figures import LOOK, NEWS_COST, PROBES, TICK, WATCH
from .state import Fleet, Learned, Lines, Mix

UNKNOWN, STALL = 1.5, 0.05  # slowdown until answers tell; own delay that refuses work of little worth
PROBED = 0.03  # most points of the result that probes may cost: dear ones are earned by several requests


def shed_after(settings: api.Settings) -> tuple[float, ...]:
    """By class: how many seconds behind the gateway's own program may be and still take on new requests."""
    mean = max(1e-3, sum(c.worth for c in settings.classes) / len(settings.classes))
    return tuple(STALL * (1 + c.worth / mean) for c in settings.classes)


class Gateway(View, Admission, Choice, Sending, Outcomes):
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        settings.validate()
        self.set, self.now, self.random = settings, now, random.Random(seed)
        self.classes = [Learned(c) for c in settings.classes]
        self.fleet = Fleet(settings.cores_by_kind, settings.memory_by_kind)
        self.live, self.cold, self.ejected = [], [], []  # engines: live in the list; of these cold, ejected
        self.queries, self.out, self.held = {}, {}, {}  # by request: not ended; attempt out; first come first
        self.lines, self.key_rest = Lines(), {}  # ordered keys: who came, in order; until when a key rests
        self.taken, self.extra, self.starts, self.entered, self.lost = (deque() for _ in range(5))  # times
        self.rung, self.base_gap, self.next_entry, self.gap_until, self.look_at = 0, 0.0, 0.0, 0.0, now
        self.thin = self.sparse = self.news = self.paging = False  # own threads say too little; others tell
        self.ordinary = UNKNOWN if settings.gateways > LOOK else 1.0  # the fleet's slowdown
        self.homes, self.mean_load, self.mean_at, self.part, self.freed = [], 0.0, now, 0.0, None
        self.mix, self.shed_after, self.met = Mix(self.classes), shed_after(settings), {}  # met: told by own
        self.readers_wait = any(c.waits_for_loads for c in settings.classes)
        self.timer_at, self.list_retry, self.back_at = math.inf, math.inf, now
        self.earned = min(PROBES, PROBED / max(1e-9, settings.probe_price))  # probes, by each request
        self.probes, self.bytes = PROBES, 2 * NEWS_COST * self.random.random()  # earned by requests

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        if isinstance(event, api.PeerMessage):  # by far the most frequent
            self._on_news(event.data)
            return self.actions
        if now > self.timer_at + WATCH:  # own stall: what was out may have been answered long ago
            self.back_at, self.timer_at = now, math.inf
        match event:
            case api.ListUpdate():
                self._on_list(event)
            case api.Request():
                self._on_request(event)
            case api.AttemptEnded() if event.request in self.out:
                self._on_outcome(self.out.pop(event.request), event)
            case api.AttemptNote() if event.request in self.queries:
                self._on_note(self.queries[event.request], event)
            case api.ProbeEnded() if event.engine in self.fleet.engines:
                self._on_probe(self.fleet.engines[event.engine], event)
            case api.ClientGone(request) if request in self.queries:
                self._end(self.queries[request], gone=True)
            case api.Closing():  # all get their answers; what is out may have run
                for query in list(self.queries.values()):
                    query.may_have_run(query.engine, query.engine is not None)
                    self._end(query, api.EndReason.SHUTDOWN)
            case api.TimerDue() if now >= self.timer_at - 1e-6:
                self.timer_at = math.inf
                self._watch()
                self._step_gap()
        if self.held and not isinstance(event, (api.Request, api.AttemptNote)):
            self._release(self.thin or not isinstance(event, api.AttemptEnded))
        busy = self.held or self.out or self.rung or self.ejected or self.list_retry < math.inf
        if busy and now + (wait := TICK if self.held else WATCH) < self.timer_at:
            self.timer_at = now + wait
            self.actions.append(api.SetTimer(wait, "look"))
        return self.actions
