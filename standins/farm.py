"""Many gateways that share nothing before engines that share cores, all on a clock of the farm's own.

Engines run what they are sent at once: threads share the cores, of which each wants CORE while it does not
read or write, and beyond KNEE threads a core work is lost. Engines can be lost without a word, come back
cold, be slow, or fail; a zone can be cut off.
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

TICK = 0.02  # seconds between two looks at what runs
CORE = 0.6  # of a core that a thread wants
KNEE, THRASH = 1.7, 0.7  # threads a core from which work is lost, and how fast
UNREACHED, DEAF, PROBED = 0.25, 1.6, 0.002  # seconds: a dial fails, a silent engine is left, a probe ends
IDLE = 4.0  # seconds that a connection which came up late is kept


@dataclass
class Work:
    """A query at an engine."""

    gateway: Gateway
    request: str
    number: int
    left: float  # core-seconds
    whole: float
    threads: int
    sent_at: float
    fails: bool = False


@dataclass
class Engine:
    """One engine as it is."""

    entry: EngineEntry
    cores: int
    speed: float = 1.0
    errors: float = 0.0
    up: bool = True
    warm_at: float = 0.0
    runs: list[Work] = field(default_factory=list)

    def able(self, now: float, settings: api.Settings) -> float:
        """Core-seconds a second at this moment, before what too many threads lose."""
        away = max(0.0, self.warm_at - now) / max(1e-9, settings.cold_for)
        return self.cores * self.speed * (1 - away * (1 - settings.start_capacity))


class Farm:
    """Gateways, engines and clients. `weight[me]` is a gateway's part of the arrivals against the mean."""

    def __init__(
        self,
        settings: api.Settings,
        engines: int,
        zones: int,
        work: tuple[float, ...],
        mix: tuple[float, ...],
        seed: int,
        latest: float = 1.0,
    ) -> None:
        self.set, self.random, self.now = settings, random.Random(seed), 0.0
        self.work, self.mix, self.zones = work, mix, zones
        self.latest = latest  # seconds by which a list reaches the last gateway
        kinds = len(settings.cores_by_kind)
        entries = [EngineEntry(f"e{i}", EngineState.LIVE, i % kinds, i % zones) for i in range(engines)]
        self.engines = {e.engine: Engine(e, settings.cores_by_kind[e.kind]) for e in entries}
        self.gateways = [self.born(me) for me in range(settings.gateways)]
        self.weight = [1.0] * settings.gateways
        self.breaks = 0.0  # share of attempts whose connection is reset while they run
        self.late, self.dial = 0.0, 1.5  # share of connections that come up late, and seconds at most
        self.beat = 0.0  # seconds between the moments at which they come up, many at once; 0: each by itself
        self.kept: dict[tuple[Gateway, str], float] = {}  # until when one of those is there for the next
        self.loses = 0.0  # share of answers that never come; the gateway is told so `deaf` seconds later
        self.deaf = DEAF
        self.ran: dict[str, list[float]] = {}  # by request: when each attempt reached an engine
        self.cut: int | None = None  # the zone that reaches none of the others, nor they it
        self.due: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.count, self.asked, self.fell = 0, {}, []
        self.until = 0.0  # what comes later is not counted: it cannot end
        self.came, self.served, self.ends, self.at_one = Counter(), Counter(), Counter(), Counter()

    # ---- what a test changes -------------------------------------------------------------------------

    def born(self, me: int) -> Gateway:
        """A gateway that knows nothing but the list as it is told now."""
        gateway = Gateway(replace(self.set, me=me), self.random.randrange(2**31), self.now)
        told = ListUpdate(ListMode.REMEMBERED, tuple(e.entry for e in self.engines.values()))
        gateway.handle(self.now, told)
        return gateway

    def at(self, when: float, what: Callable[..., Any], *args: Any) -> None:
        """Do something later."""
        self.count += 1
        heapq.heappush(self.due, (when, self.count, what, args))

    def lose(self, names: list[str], told_after: float) -> None:
        """Engines vanish without a word; the lists say so only later."""
        for name in names:
            engine = self.engines[name]
            engine.up = False
            for work in engine.runs:
                self.at(self.now + DEAF, self._end, work, name, Outcome.RESET)
            engine.runs = []
        self.at(self.now + told_after, self._tell_all, names, EngineState.GONE)

    def back(self, names: list[str], told_after: float = 0.5) -> None:
        """They are back, cold."""
        for name in names:
            engine = self.engines[name]
            engine.up, engine.warm_at = True, self.now + self.set.cold_for
            engine.entry = replace(engine.entry, started=self.now)
        self.at(self.now + told_after, self._tell_all, names, EngineState.LIVE)

    def swap(self, old: str, new: str, told_after: float = 0.5) -> None:
        """An engine leaves, and another starts cold in its place under a name of its own."""
        left = self.engines[old]
        entry = replace(left.entry, engine=new, started=self.now)
        self.engines[new] = Engine(entry, left.cores, warm_at=self.now + self.set.cold_for)
        self.at(self.now + told_after, self._tell_all, [old], EngineState.DRAINING)
        self.at(self.now + told_after, self._tell_all, [new], EngineState.LIVE)
        self.at(self.now + 8.0, self.lose, [old], told_after)

    def pushed(self) -> float:
        """The most work that came to a cold engine within the window, against what makes it fall over."""
        worst, span = 0.0, self.set.fall_window
        for name in {name for _, name, _ in self.fell}:
            mine, engine = [(t, w) for t, at, w in self.fell if at == name], self.engines[name]
            for end, _ in mine:
                sent = sum(w for t, w in mine if end - span < t <= end)
                worst = max(worst, sent / (self.set.fall_multiple * engine.able(end, self.set) * span))
        return worst

    def crowd(self) -> tuple[float, float]:
        """Most requests, and most work, that came to a cold engine within the window, each against
        N + 2 x root of N + 2, N being the requests of mean work that the settings allow it at that time."""
        span, mean = self.set.fall_window, sum(w * m for w, m in zip(self.work, self.mix, strict=True))
        worst, recent = (0.0, 0.0), {}
        for at, name, work in self.fell:
            mine = recent.setdefault(name, deque())
            mine.append((at, work))
            while mine[0][0] <= at - span:
                mine.popleft()
            allowed = self.set.fall_multiple * self.engines[name].able(at, self.set) * span / mean
            most = allowed + 2 * math.sqrt(allowed) + 2
            worst = max(worst[0], len(mine) / most), max(worst[1], sum(w for _, w in mine) / mean / most)
        return worst

    def restart(self, who: list[int]) -> None:
        """Gateways are killed at once and come back with nothing learned; what they held is gone."""
        for me in who:
            old = self.gateways[me]
            for engine in self.engines.values():
                engine.runs = [w for w in engine.runs if w.gateway is not old]
            self.gateways[me] = self.born(me)

    # ---- the clock -----------------------------------------------------------------------------------

    def play(self, until: float, rate: float) -> None:
        """Arrivals by chance at `rate` a second at all gateways together, and all that follows."""
        self.until = until
        while self.now < until + max(c.patience for c in self.set.classes) / 2:
            self.now += TICK
            while self.due and self.due[0][0] <= self.now:
                _, _, what, args = heapq.heappop(self.due)
                what(*args)
            for _ in range(self._poisson(rate * TICK)):
                self._arrive(self.random.choices(self.gateways, self.weight)[0])
            for name, engine in self.engines.items():
                self._run(name, engine)

    def _poisson(self, mean: float) -> int:
        count, left = 0, self.random.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.random.expovariate(1.0)
        return count

    def _arrive(self, gateway: Gateway) -> None:
        cls = self.random.choices(range(len(self.mix)), self.mix)[0]
        spec, name = self.set.classes[cls], f"r{len(self.asked)}"
        work = self.work[cls] * (0.5 + self.random.expovariate(2.0))
        aim = spec.aim + spec.aim_stretch * work / spec.threads
        self.asked[name] = (cls, work, self.now, min(aim, spec.patience))
        self.came[cls] += self.now < self.until
        self.at_one[gateway.set.me, "came"] += self.now < self.until
        self._carry(
            gateway,
            gateway.handle(
                self.now, api.Request(name, cls, spec.patience, data_set=self.random.randrange(40))
            ),
        )
        self.at(self.now + spec.patience, self._overdue, gateway, name)

    def _overdue(self, gateway: Gateway, name: str) -> None:
        if name in gateway.queries:
            self._carry(gateway, gateway.handle(self.now, api.ClientGone(name)))

    def _run(self, name: str, engine: Engine) -> None:
        threads = sum(w.threads for w in engine.runs)
        if not threads:
            return
        able = engine.able(self.now, self.set)
        crowd = threads / engine.cores
        each = min(engine.speed, able / threads / CORE) * min(1.0, (KNEE / crowd) ** THRASH)
        over = []
        for work in engine.runs:
            work.left -= each * work.threads * TICK
            if work.left <= 0 or work.fails and work.left < work.whole / 2:
                over.append(work)
        if over:
            engine.runs = [w for w in engine.runs if w not in over]
            for work in over:
                if self.loses and self.random.random() < self.loses:
                    self.at(self.now + self.deaf, self._end, work, name, Outcome.RESET)
                else:
                    self._end(work, name, Outcome.ERROR if work.fails else Outcome.OK)

    def _end(self, work: Work, name: str, outcome: Outcome) -> None:
        gateway = work.gateway
        if work.request not in gateway.out or gateway not in self.gateways:
            return
        cls, _, came, aim = self.asked[work.request]
        good = outcome is Outcome.OK
        in_time = good and self.now <= came + aim and came < self.until
        self.served[cls] += in_time
        self.at_one[gateway.set.me, "served"] += in_time
        self.ends[cls, outcome.value] += 1
        self._carry(
            gateway,
            gateway.handle(
                self.now,
                api.AttemptEnded(
                    work.request,
                    work.number,
                    name,
                    outcome,
                    self.now - work.sent_at,
                    good,
                    work.whole if good else None,
                    1.0 if good else None,
                ),
            ),
        )

    # ---- between gateways and engines ----------------------------------------------------------------

    def reaches(self, gateway: Gateway, engine: Engine) -> bool:
        """Whether it is up and not cut off from this gateway."""
        apart = (gateway.set.me % self.zones == self.cut) != (engine.entry.zone == self.cut)
        return engine.up and not (self.cut is not None and apart)

    def _carry(self, gateway: Gateway, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case api.Send(request, name, timeout, within):
                    self._send(gateway, request, name, timeout, within)
                case api.Probe(name):
                    good = self.reaches(gateway, self.engines[name])
                    self.at(self.now + (PROBED if good else UNREACHED), self._probed, gateway, name, good)
                case api.SetTimer(delay, what):
                    self.at(self.now + delay, self._timer, gateway, what)
                case api.Cancel(request, number):
                    self._cancel(gateway, request, number)
                case api.Refuse(request) | api.Fail(request):
                    self.ends[self.asked[request][0], type(action).__name__.lower()] += 1

    def _send(self, gateway: Gateway, request: str, name: str, timeout: float, within: float) -> None:
        engine, (cls, whole, _, _) = self.engines[name], self.asked[request]
        number = len(gateway.queries[request].attempts) - 1
        work = Work(
            gateway,
            request,
            number,
            whole,
            whole,
            self.set.classes[cls].threads,
            self.now,
            self.random.random() < engine.errors,
        )
        new = self.late and self.now > self.kept.get((gateway, name), 0.0)
        if not self.reaches(gateway, engine):
            self.at(self.now + UNREACHED, self._end, work, name, Outcome.CONNECT_FAILED)
        elif new and self.random.random() < self.late:
            up = self.now + self.random.random() * self.dial
            up = math.ceil(up / self.beat) * self.beat if self.beat else up
            self.at(up, self._begin, work, name, timeout, within and self.now + within)
        else:
            self._begin(work, name, timeout, 0.0)

    def _begin(self, work: Work, name: str, timeout: float, by: float) -> None:
        """Its connection is up: its first byte goes out, if it is still wanted and not past `by` (0: any)."""
        engine, out = self.engines[name], work.gateway.out.get(work.request)
        cls = self.asked[work.request][0]
        if work.sent_at < self.now:
            self.kept[work.gateway, name] = self.now + IDLE
        wanted = out and not out.ended and work.gateway in self.gateways and engine.up
        if not wanted or by and self.now > by or engine.entry.state is not EngineState.LIVE:
            return self._end(work, name, Outcome.MOOT)
        self.ends[cls, "sent"] += 1
        if engine.warm_at > self.now:
            self.fell.append((self.now, name, self.work[cls]))
        engine.runs.append(work)
        self.ran.setdefault(work.request, []).append(self.now)
        if self.breaks and self.random.random() < self.breaks:
            self.at(self.now + work.whole / 2, self._stop, work, name, Outcome.RESET)
        if timeout > 0:
            self.at(max(self.now, work.sent_at + timeout), self._stop, work, name, Outcome.TIMEOUT)

    def _stop(self, work: Work, name: str, outcome: Outcome) -> None:
        if work in (runs := self.engines[name].runs):
            runs.remove(work)
            self._end(work, name, outcome)

    def _cancel(self, gateway: Gateway, request: str, number: int) -> None:
        for name, engine in self.engines.items():
            for work in engine.runs:
                if work.gateway is gateway and (work.request, work.number) == (request, number):
                    self.at(self.now, self._stop, work, name, Outcome.CANCELLED)

    def _probed(self, gateway: Gateway, name: str, good: bool) -> None:
        engine, outcome = self.engines[name], Outcome.OK if good else Outcome.CONNECT_FAILED
        report = (min(1.0, sum(w.threads for w in engine.runs) / engine.cores), 0.0) if good else None
        self._carry(gateway, gateway.handle(self.now, api.ProbeEnded(name, outcome, PROBED, report)))

    def _timer(self, gateway: Gateway, what: str) -> None:
        if gateway in self.gateways:
            self._carry(gateway, gateway.handle(self.now, api.TimerDue(what)))

    def _tell_all(self, names: list[str], state: EngineState) -> None:
        names = [n for n in names if self.engines[n].up != (state is EngineState.GONE)]  # else old news
        for name in names:
            engine = self.engines[name]
            engine.entry = replace(engine.entry, state=state)
        entries = tuple(self.engines[name].entry for name in names)
        for gateway in self.gateways:
            self.at(self.now + self.random.random() * self.latest, self._told, gateway, entries)

    def _told(self, gateway: Gateway, entries: tuple[EngineEntry, ...]) -> None:
        if gateway in self.gateways:
            self._carry(gateway, gateway.handle(self.now, ListUpdate(ListMode.CHANGES, entries)))
