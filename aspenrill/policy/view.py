"""Which engines there are, and how they are: the list, own outcomes, reports, what others tell."""

import math

from .. import api
from ..state import Engine, Query, pack_news
from .figures import FULL_FOR, JAMMED, LOOK, NEWS_COST, OVERDUE, PRESSURE, THREADS_A_CORE, WATCH

EJECT, EJECT_MOST, MOST_OUT = 1.0, 8.0, 0.5  # seconds out, doubled until an answer; the most of the fleet
ASKED, HOMES = 3, 2  # engines probed for a query (one fewer in calm), and homes of a data set among them
NEWS_FOR = 2.0  # seconds in which a load as told fades to the fleet's mean, and failing ones count together
NEWS_MOST, TELL_FOR = 5, 0.5  # engines in a message, seconds that what is told is new


class View:
    def _on_list(self, update: api.ListUpdate) -> None:
        if update.mode is api.ListMode.REFUSED and self.set.ask_for_list:
            self.list_retry = self.now + 1.0 + self.random.random()  # not all at once; the list stays in use
        if update.mode is api.ListMode.REMEMBERED and self.set.ask_for_list:
            self.actions.append(api.WatchList())
        self.live = self.cold = self.fleet.apply(update, self.now)
        for engine in self.live if self.set.fall_window else ():
            engine.cold_until = engine.entry.started and engine.entry.started + self.set.cold_for
        self.ejected = [e for e in self.live if not e.healthy]
        asks = self.set.may_probe and self.earned >= ASKED  # probes are cheap enough for every request
        most = max((THREADS_A_CORE * e.cores for e in self.live), default=0.0)  # that one engine should carry
        few = self.set.gateways > min(len(self.live), max(LOOK, most))
        self.thin = few and (asks or self.set.may_tell and not self.set.may_probe)
        self.sparse = few and not self.thin  # nor does anyone tell of them: this gateway's part of all counts
        self.news = self.thin and not asks  # and gateways tell each other of them
        order = 2 * self.fleet.order(-1) if self.sparse else []  # round once more
        self.homes = order[self.set.me * len(self.live) // self.set.gateways :][: min(LOOK, len(self.live))]
        self.paging = self.news and self.set.shortage_pages  # a jam feeds itself
        self._measure()

    def _measure(self) -> None:  # what is cold is dealt out in turns
        self.cold = [e for e in self.cold if self.now < e.cold_until]
        self.part = sum(e.cores for e in self.live if self.now >= e.cold_until) / self.set.gateways

    def _eject(self, engine: Engine, why: str, told: bool = False) -> None:
        """Out after one failure: in a large fleet there is seldom more evidence. A probe brings it back."""
        doubted, engine.failed_at = self.now <= engine.failed_at + NEWS_FOR, self.now
        if self.news and not told:
            self._tell(engine)
        if self.news and not doubted:
            return  # one failure may be chance; the next, anyone's, is not
        if engine.healthy:
            if sum(not e.healthy for e in self.ejected) + 1 > MOST_OUT * len(self.live):
                return
            self.ejected.append(engine)
            self.actions.append(api.Log(f"engine {engine.entry.engine} ejected: {why}"))
        engine.penalty = min(EJECT_MOST, 2 * engine.penalty) or EJECT
        apart = self.random.random() * self.set.gateways * self.news  # one trial in a penalty by all; told
        engine.ejected_until = self.now + engine.penalty * (1 + apart)

    def _watch(self) -> None:
        """Asks after engines that are overdue by the fleet's own measure; time away counts for nothing."""
        for query in self.out.values():
            waited = self.now - max(query.sent_at, self.back_at)
            if not query.suspect and waited > OVERDUE * query.expected * self.ordinary:
                query.suspect = True  # an engine that answers others is not silent
                if not self._probe(query.engine) and (not self.thin or query.engine.heard_at < query.sent_at):
                    self._eject(query.engine, "attempt overdue")
        self.ejected = [e for e in self.ejected if not e.healthy]
        for engine in [e for e in self.ejected if self.now >= e.ejected_until]:
            engine.ejected_until = self.now + (engine.penalty or EJECT) if self._probe(engine) else 0.0
        self._measure()
        if self.news and self.live and self.now > self.mean_at + 2 * WATCH:
            drained = (e.load * math.exp((e.heard_at - self.now) / self.mix.stay) for e in self.live)
            self.mean_load, self.mean_at = sum(min(JAMMED, x) for x in drained) / len(self.live), self.now
        if self.now >= self.list_retry:
            self.list_retry, self.actions = math.inf, [*self.actions, api.WatchList()]

    def _probe(self, engine: Engine) -> bool:
        if may := self.set.may_probe and self.probes >= 1.0:
            self.probes -= 1.0
            self.actions.append(api.Probe(engine.entry.engine))
        return may

    def _ask_some(self, query: Query) -> None:
        """Probe a few before a start: what hangs, is down or is loaded is passed by."""
        homes = HOMES * (not self.news)  # load there is not asked for, and a home must not draw a herd
        first, other = (order := self.fleet.order(query.ask.data_set))[:homes], order[homes:]
        other = self.random.sample(other, min(LOOK, len(other)))
        places = other if self.classes[query.ask.cls].spec.is_load or query.attempts else first + other
        able = [e for e in places if e.healthy and self._allowed(query, e)]
        query.asked_at, query.asked = self.now, able[: ASKED - (self.news or self.ordinary <= PRESSURE)]
        for engine in query.asked:
            self._probe(engine)

    def _tell(self, engine: Engine) -> None:
        """For all others: what this engine and those met just before hold; requests have earned it."""
        self.met[engine] = self.now
        if self.bytes >= NEWS_COST:
            self.bytes -= NEWS_COST
            fresh = sorted((e for e, at in self.met.items() if at > self.now - TELL_FOR), key=self.met.get)
            self.met.clear()
            self.actions.append(
                api.Tell(
                    pack_news(
                        [(e, math.inf if e.failed_at >= e.heard_at else e.load) for e in fresh[-NEWS_MOST:]]
                    )
                )
            )

    def _on_news(self, data: bytes) -> None:
        """What another gateway met; what is not understood changes nothing."""
        for engine, load in self.fleet.read_news(data) if self.news else ():
            if load == math.inf:
                self._eject(engine, "told by others", told=True)
            else:
                engine.load, engine.heard_at, engine.ejected_until, engine.penalty = load, self.now, 0.0, 0.0

    def _on_probe(self, engine: Engine, end: api.ProbeEnded) -> None:
        if end.outcome is api.Outcome.FULL:
            engine.full_until = self.now + FULL_FOR
        elif end.outcome is not api.Outcome.OK and self.now > self.back_at:
            self._eject(engine, f"probe {end.outcome.value}")
        elif end.outcome is api.Outcome.OK:
            self._hear(engine, end.report)
            self.actions += [] if engine.healthy else [api.Log(f"engine {engine.entry.engine} back")]
            engine.ejected_until = 0.0

    def _hear(self, engine: Engine, report: tuple[float, ...] | None) -> None:
        """Load a core as an engine reports it: queries held where told, else busy share and line."""
        told = dict(zip(self.set.report_fields, report or (), strict=False))
        engine.load = told.get("util", 0.0) + told.get("queue", 0.0) / engine.cores
        if (held := told.get("inflight")) is not None:  # as threads, by own queries' classes and times
            engine.mine, engine.others = engine.threads, max(0.0, held * self.mix.threads - engine.threads)
            pages = held * self.mix.memory / engine.memory * self.set.shortage_pages  # all of it slows there
            engine.load = max(held * self.mix.threads / (engine.cores * THREADS_A_CORE), pages)
        engine.heard_at = self.now

    def _slow(self, engine: Engine) -> float:
        """How slow it was to the last queries sent there; those that are out tell before they end."""
        late = [(self.now - max(q.sent_at, self.back_at)) / q.expected for q in engine.out.values()]
        return max(engine.slowdown(self.now, self.ordinary), max(late, default=0.0) / OVERDUE * self.ordinary)

    def _told_load(self, engine: Engine) -> float:
        """Its load as told: a high one drains no faster than its queries end, a low one rises to the mean."""
        left, fresh = (math.exp((engine.heard_at - self.now) / by) for by in (self.mix.stay, NEWS_FOR))
        return max(left * engine.load, self.mean_load + fresh * (engine.load - self.mean_load))
