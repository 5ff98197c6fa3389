"""Simulates many gateways that share nothing in front of shared engines, on a virtual clock.

An engine starts every attempt at once. Its threads share its cores: each uses CORES_PER_THREAD while it does
no I/O, and beyond MAX_EFFICIENT_THREADS threads a core throughput drops. Engines can fail silently, restart
cold, be slow or return errors; a zone can be cut off.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from aspenrill import api
from aspenrill.api import EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import Gateway

STEP = 0.02  # seconds of simulated time
CORES_PER_THREAD = 0.6  # share of a core that a thread uses
MAX_EFFICIENT_THREADS = 1.7  # threads a core; above that throughput drops
OVERLOAD_EXPONENT = 0.7  # of the drop
CONNECT_FAILURE_DELAY = 0.25  # seconds until a connection attempt fails
SILENCE_TIMEOUT = 1.6  # seconds until a gateway gives up an engine that has gone silent
PROBE_DURATION = 0.002  # seconds
IDLE_KEPT_FOR = 4.0  # seconds for which a slowly opened connection can be reused


@dataclass
class SimAttempt:
    """An attempt at an engine."""

    gateway: Gateway
    request: str
    number: int
    remaining: float  # core-seconds
    total: float
    threads: int
    sent_at: float
    fails: bool = False


@dataclass
class SimEngine:
    """The true state of one engine."""

    entry: EngineEntry
    cores: int
    speed: float = 1.0
    error_share: float = 0.0
    up: bool = True
    warm_at: float = 0.0
    running: list[SimAttempt] = field(default_factory=list)

    def capacity(self, now: float, settings: api.Settings) -> float:
        """Core-seconds a second at `now`, without the loss from too many threads."""
        away = max(0.0, self.warm_at - now) / max(1e-9, settings.cold_for)
        return self.cores * self.speed * (1 - away * (1 - settings.start_capacity))


class FleetSimulation:
    """Gateways, engines and clients. `arrival_weights[me]` scales a gateway's arrivals against the mean."""

    def __init__(
        self,
        settings: api.Settings,
        engines: int,
        zones: int,
        mean_work: tuple[float, ...],
        class_shares: tuple[float, ...],
        seed: int,
        max_list_delay: float = 1.0,
    ) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0.0
        self.mean_work, self.class_shares, self.zones = mean_work, class_shares, zones
        self.max_list_delay = max_list_delay  # seconds until a list update reaches the last gateway
        kinds = len(settings.cores_by_kind)
        entries = [EngineEntry(f"e{i}", EngineState.LIVE, i % kinds, i % zones) for i in range(engines)]
        self.engines = {e.engine: SimEngine(e, settings.cores_by_kind[e.kind]) for e in entries}
        self.gateways = [self.new_gateway(me) for me in range(settings.gateways)]
        self.arrival_weights = [1.0] * settings.gateways
        self.reset_share = 0.0  # share of attempts whose connection is reset while they run
        self.slow_connect_share = 0.0  # share of connections that open late
        self.max_connect_delay = 1.5  # seconds
        self.connect_step = 0.0  # seconds; late connections open together at its multiples, 0: independently
        self.connected_until: dict[tuple[Gateway, str], float] = {}  # reuse of slowly opened connections
        self.lost_answer_share = 0.0  # share of answers lost; the gateway sees it `lost_answer_delay` s later
        self.lost_answer_delay = SILENCE_TIMEOUT
        self.attempt_starts: dict[str, list[float]] = {}  # by request: when each attempt reached an engine
        self.isolated_zone: int | None = None  # the zone without connections to the others
        self.calendar: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.count, self.requests, self.cold_arrivals = 0, {}, []
        self.until = 0.0  # later arrivals are not counted, since they cannot finish
        self.arrivals = Counter()  # by class
        self.served = Counter()  # in time, by class
        self.outcomes = Counter()  # by class and outcome
        self.gateway_counts = Counter()  # by gateway and "arrived" or "served"

    # ---- interface for tests -------------------------------------------------------------------------

    def new_gateway(self, me: int) -> Gateway:
        """Create a gateway that knows nothing but the current engine list."""
        gateway = Gateway(replace(self.settings, gateway_index=me), self.random.randrange(2**31), self.now)
        update = ListUpdate(ListMode.REMEMBERED, tuple(e.entry for e in self.engines.values()))
        gateway.handle(self.now, update)
        return gateway

    def at(self, when: float, what: Callable[..., Any], *args: Any) -> None:
        """Call `what` at a simulated time."""
        self.count += 1
        heapq.heappush(self.calendar, (when, self.count, what, args))

    def kill_engines(self, names: list[str], list_delay: float) -> None:
        """Kill engines silently; the lists are updated only after `list_delay`."""
        for name in names:
            engine = self.engines[name]
            engine.up = False
            for attempt in engine.running:
                self.at(self.now + SILENCE_TIMEOUT, self._end_attempt, attempt, name, Outcome.RESET)
            engine.running = []
        self.at(self.now + list_delay, self._announce, names, EngineState.GONE)

    def restart_engines(self, names: list[str], list_delay: float = 0.5) -> None:
        """Restart engines; they are cold."""
        for name in names:
            engine = self.engines[name]
            engine.up, engine.warm_at = True, self.now + self.settings.cold_for
            engine.entry = replace(engine.entry, started=self.now)
        self.at(self.now + list_delay, self._announce, names, EngineState.LIVE)

    def replace_engine(self, old: str, new: str, list_delay: float = 0.5) -> None:
        """Replace an engine by one with another name, which starts cold."""
        leaving = self.engines[old]
        entry = replace(leaving.entry, engine=new, started=self.now)
        self.engines[new] = SimEngine(entry, leaving.cores, warm_at=self.now + self.settings.cold_for)
        self.at(self.now + list_delay, self._announce, [old], EngineState.DRAINING)
        self.at(self.now + list_delay, self._announce, [new], EngineState.LIVE)
        self.at(self.now + 8.0, self.kill_engines, [old], list_delay)

    def worst_cold_load(self) -> float:
        """The most work that a cold engine received within the window, relative to what overloads it."""
        worst, span = 0.0, self.settings.fall_window
        for name in {name for _, name, _ in self.cold_arrivals}:
            arrivals, engine = [(t, w) for t, at, w in self.cold_arrivals if at == name], self.engines[name]
            for end, _ in arrivals:
                sent = sum(w for t, w in arrivals if end - span < t <= end)
                worst = max(
                    worst, sent / (self.settings.fall_multiple * engine.capacity(end, self.settings) * span)
                )
        return worst

    def worst_cold_window(self) -> tuple[float, float]:
        """The most requests, and the most work, that a cold engine received within the window, each relative
        to N + 2 sqrt(N) + 2, where N is the number of mean requests that the settings allow at that time."""
        span, mean = (
            self.settings.fall_window,
            sum(w * m for w, m in zip(self.mean_work, self.class_shares, strict=True)),
        )
        worst, recent = (0.0, 0.0), {}
        for at, name, work in self.cold_arrivals:
            arrivals = recent.setdefault(name, deque())
            arrivals.append((at, work))
            while arrivals[0][0] <= at - span:
                arrivals.popleft()
            allowed = (
                self.settings.fall_multiple * self.engines[name].capacity(at, self.settings) * span / mean
            )
            limit = allowed + 2 * math.sqrt(allowed) + 2
            worst = (
                max(worst[0], len(arrivals) / limit),
                max(worst[1], sum(w for _, w in arrivals) / mean / limit),
            )
        return worst

    def restart_gateways(self, who: list[int]) -> None:
        """Kill gateways and restart them at once, with nothing learned; their open requests are lost."""
        for me in who:
            old = self.gateways[me]
            for engine in self.engines.values():
                engine.running = [w for w in engine.running if w.gateway is not old]
            self.gateways[me] = self.new_gateway(me)

    # ---- the clock -----------------------------------------------------------------------------------

    def run(self, until: float, rate: float) -> None:
        """Simulate random arrivals at `rate` a second over all gateways, and everything that follows."""
        self.until = until
        while self.now < until + max(c.time_budget for c in self.settings.classes) / 2:
            self.now += STEP
            while self.calendar and self.calendar[0][0] <= self.now:
                _, _, what, args = heapq.heappop(self.calendar)
                what(*args)
            for _ in range(self._draw_poisson(rate * STEP)):
                self._add_request(self.random.choices(self.gateways, self.arrival_weights)[0])
            for name, engine in self.engines.items():
                self._run_engine(name, engine)

    def _draw_poisson(self, mean: float) -> int:
        count, left = 0, self.random.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.random.expovariate(1.0)
        return count

    def _add_request(self, gateway: Gateway) -> None:
        cls = self.random.choices(range(len(self.class_shares)), self.class_shares)[0]
        spec, name = self.settings.classes[cls], f"r{len(self.requests)}"
        work = self.mean_work[cls] * (0.5 + self.random.expovariate(2.0))
        aim = spec.latency_target + spec.target_per_work * work / spec.threads
        self.requests[name] = (cls, work, self.now, min(aim, spec.time_budget))
        self.arrivals[cls] += self.now < self.until
        self.gateway_counts[gateway.settings.gateway_index, "arrived"] += self.now < self.until
        self._apply_actions(
            gateway,
            gateway.handle(
                self.now, api.Request(name, cls, spec.time_budget, data_set=self.random.randrange(40))
            ),
        )
        self.at(self.now + spec.time_budget, self._client_gone, gateway, name)

    def _client_gone(self, gateway: Gateway, name: str) -> None:
        if name in gateway.pending:
            self._apply_actions(gateway, gateway.handle(self.now, api.ClientGone(name)))

    def _run_engine(self, name: str, engine: SimEngine) -> None:
        threads = sum(w.threads for w in engine.running)
        if not threads:
            return
        capacity = engine.capacity(self.now, self.settings)
        threads_per_core = threads / engine.cores
        each = min(engine.speed, capacity / threads / CORES_PER_THREAD) * min(
            1.0, (MAX_EFFICIENT_THREADS / threads_per_core) ** OVERLOAD_EXPONENT
        )
        over = []
        for attempt in engine.running:
            attempt.remaining -= each * attempt.threads * STEP
            if attempt.remaining <= 0 or attempt.fails and attempt.remaining < attempt.total / 2:
                over.append(attempt)
        if over:
            engine.running = [w for w in engine.running if w not in over]
            for attempt in over:
                if self.lost_answer_share and self.random.random() < self.lost_answer_share:
                    self.at(
                        self.now + self.lost_answer_delay, self._end_attempt, attempt, name, Outcome.RESET
                    )
                else:
                    self._end_attempt(attempt, name, Outcome.ERROR if attempt.fails else Outcome.OK)

    def _end_attempt(self, attempt: SimAttempt, name: str, outcome: Outcome) -> None:
        gateway = attempt.gateway
        if attempt.request not in gateway.in_flight or gateway not in self.gateways:
            return
        cls, _, arrived_at, aim = self.requests[attempt.request]
        succeeded = outcome is Outcome.OK
        in_time = succeeded and self.now <= arrived_at + aim and arrived_at < self.until
        self.served[cls] += in_time
        self.gateway_counts[gateway.settings.gateway_index, "served"] += in_time
        self.outcomes[cls, outcome.value] += 1
        self._apply_actions(
            gateway,
            gateway.handle(
                self.now,
                api.AttemptEnded(
                    attempt.request,
                    attempt.number,
                    name,
                    outcome,
                    self.now - attempt.sent_at,
                    succeeded,
                    attempt.total if succeeded else None,
                    1.0 if succeeded else None,
                ),
            ),
        )

    # ---- between gateways and engines ----------------------------------------------------------------

    def can_reach(self, gateway: Gateway, engine: SimEngine) -> bool:
        """Whether the engine is up and reachable from this gateway."""
        separated = (gateway.settings.gateway_index % self.zones == self.isolated_zone) != (
            engine.entry.zone == self.isolated_zone
        )
        return engine.up and not (self.isolated_zone is not None and separated)

    def _apply_actions(self, gateway: Gateway, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case api.Send(request, name, timeout, within):
                    self._send_attempt(gateway, request, name, timeout, within)
                case api.Probe(name):
                    succeeded = self.can_reach(gateway, self.engines[name])
                    self.at(
                        self.now + (PROBE_DURATION if succeeded else CONNECT_FAILURE_DELAY),
                        self._end_probe,
                        gateway,
                        name,
                        succeeded,
                    )
                case api.SetTimer(delay, what):
                    self.at(self.now + delay, self._fire_timer, gateway, what)
                case api.Cancel(request, number):
                    self._cancel(gateway, request, number)
                case api.Refuse(request) | api.Fail(request):
                    self.outcomes[self.requests[request][0], type(action).__name__.lower()] += 1

    def _send_attempt(self, gateway: Gateway, request: str, name: str, timeout: float, within: float) -> None:
        engine, (cls, total, _, _) = self.engines[name], self.requests[request]
        number = len(gateway.pending[request].attempts) - 1
        attempt = SimAttempt(
            gateway,
            request,
            number,
            total,
            total,
            self.settings.classes[cls].threads,
            self.now,
            self.random.random() < engine.error_share,
        )
        new = self.slow_connect_share and self.now > self.connected_until.get((gateway, name), 0.0)
        if not self.can_reach(gateway, engine):
            self.at(
                self.now + CONNECT_FAILURE_DELAY, self._end_attempt, attempt, name, Outcome.CONNECT_FAILED
            )
        elif new and self.random.random() < self.slow_connect_share:
            up = self.now + self.random.random() * self.max_connect_delay
            up = math.ceil(up / self.connect_step) * self.connect_step if self.connect_step else up
            self.at(up, self._begin_attempt, attempt, name, timeout, within and self.now + within)
        else:
            self._begin_attempt(attempt, name, timeout, 0.0)

    def _begin_attempt(self, attempt: SimAttempt, name: str, timeout: float, by: float) -> None:
        """The connection is open: start the attempt unless it was cancelled or is past `by` (0: no limit)."""
        engine, out = self.engines[name], attempt.gateway.in_flight.get(attempt.request)
        cls = self.requests[attempt.request][0]
        if attempt.sent_at < self.now:
            self.connected_until[attempt.gateway, name] = self.now + IDLE_KEPT_FOR
        wanted = out and not out.ended and attempt.gateway in self.gateways and engine.up
        if not wanted or by and self.now > by or engine.entry.state is not EngineState.LIVE:
            return self._end_attempt(attempt, name, Outcome.NOT_STARTED)
        self.outcomes[cls, "sent"] += 1
        if engine.warm_at > self.now:
            self.cold_arrivals.append((self.now, name, self.mean_work[cls]))
        engine.running.append(attempt)
        self.attempt_starts.setdefault(attempt.request, []).append(self.now)
        if self.reset_share and self.random.random() < self.reset_share:
            self.at(self.now + attempt.total / 2, self._stop_attempt, attempt, name, Outcome.RESET)
        if timeout > 0:
            self.at(
                max(self.now, attempt.sent_at + timeout), self._stop_attempt, attempt, name, Outcome.TIMEOUT
            )

    def _stop_attempt(self, attempt: SimAttempt, name: str, outcome: Outcome) -> None:
        if attempt in (running := self.engines[name].running):
            running.remove(attempt)
            self._end_attempt(attempt, name, outcome)

    def _cancel(self, gateway: Gateway, request: str, number: int) -> None:
        for name, engine in self.engines.items():
            for attempt in engine.running:
                if attempt.gateway is gateway and (attempt.request, attempt.number) == (request, number):
                    self.at(self.now, self._stop_attempt, attempt, name, Outcome.CANCELLED)

    def _end_probe(self, gateway: Gateway, name: str, succeeded: bool) -> None:
        engine, outcome = self.engines[name], Outcome.OK if succeeded else Outcome.CONNECT_FAILED
        report = (min(1.0, sum(w.threads for w in engine.running) / engine.cores), 0.0) if succeeded else None
        self._apply_actions(
            gateway, gateway.handle(self.now, api.ProbeEnded(name, outcome, PROBE_DURATION, report))
        )

    def _fire_timer(self, gateway: Gateway, what: str) -> None:
        if gateway in self.gateways:
            self._apply_actions(gateway, gateway.handle(self.now, api.TimerDue(what)))

    def _announce(self, names: list[str], state: EngineState) -> None:
        names = [n for n in names if self.engines[n].up != (state is EngineState.GONE)]  # else outdated
        for name in names:
            engine = self.engines[name]
            engine.entry = replace(engine.entry, state=state)
        entries = tuple(self.engines[name].entry for name in names)
        for gateway in self.gateways:
            self.at(
                self.now + self.random.random() * self.max_list_delay, self._update_list, gateway, entries
            )

    def _update_list(self, gateway: Gateway, entries: tuple[EngineEntry, ...]) -> None:
        if gateway in self.gateways:
            self._apply_actions(gateway, gateway.handle(self.now, ListUpdate(ListMode.CHANGES, entries)))
