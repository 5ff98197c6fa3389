"""Which engine takes a query: room under the thread cap, and the choice among those that have it."""

import math

from .. import api
from ..state import Engine, Query
from .figures import JAMMED, LOOK, PRESSURE, THREADS_A_CORE, WINDOW

SHORT_ROOM, ONE_LIMIT = 2.0, 1.35  # times the limit: for short work by priority; for all work without any
AT_EASE = 1.3  # times the limit for short work, where it binds a gateway's threads at all engines together
EASE, DEBT = 2.0, 2.0  # power of missing pressure that widens the limit; usual queries over a class's share
PRESSED = 1.1  # load a core, as an engine reports it, that presses
APART, HELD = 1.0, 2.0  # threads a core that the place in a data set's order may outweigh; a load on it


class Choice:
    def _work(self, query: Query) -> float:
        """Expected work: the estimate, corrected by what answers taught; else the class's usual."""
        learned = self.classes[query.ask.cls]
        return (query.ask.work or 0.0) * (learned.scale or 0.0) or learned.usual_work()

    def _size(self, query: Query) -> float:
        """Work for its worth, against what the classes usually ask: under 1 is short and worthy."""
        return self._work(query) / max(1e-3, self.classes[query.ask.cls].spec.worth) / self.mix.price

    def _room(self, engine: Engine, query: Query, fits: bool) -> bool:
        """The limit from cores and share, binding only under pressure; thin: none for longer work there."""
        spec = self.classes[query.ask.cls].spec
        if spec.is_load and engine.loads.get(query.ask.data_set):
            return False  # it would stand still there, and what holds the group is slower for it
        full, short = self.now < engine.full_until, self._size(query) < 1
        own = spec.threads / (THREADS_A_CORE * engine.cores)
        fresh = not full and self.now < engine.heard_at + WINDOW
        pressed = full or fresh and engine.load + own > PRESSED
        if self.thin:
            jammed = self._told_load(engine) + own > JAMMED if self.news else pressed and not short
            return not full and not jammed
        if self.sparse:
            return not full and (self.now < engine.cold_until or fits)
        limit = THREADS_A_CORE * engine.cores  # beyond it own threads alone are pressure
        if told := fresh and engine.others is not None:  # each takes its part of what nobody has claimed
            limit *= 1.0 if self.set.priorities_heeded else ONE_LIMIT
            limit += max(0.0, engine.mine * (self.set.gateways - 1) - engine.others)
        if told or pressed or self.ordinary > PRESSURE:
            limit /= self.set.gateways
        if self.set.priorities_heeded and short and not full:
            limit *= SHORT_ROOM
        return not engine.threads or engine.threads + spec.threads <= limit

    def _fits(self, query: Query) -> bool:
        """Sparse: room at all warm engines together; what a class under its share waits for is no room."""
        learned, ahead = self.classes[query.ask.cls], 0
        own, urgent = learned.spec.threads, self._size(query) < 1 and self.set.priorities_heeded
        warm = sum(
            self.classes[q.ask.cls].spec.threads
            for q in self.out.values()
            if q.engine.entry.state is api.EngineState.LIVE and self.now >= q.engine.cold_until
        )
        if self.held and self._credit(query.ask.cls) <= 0:
            others = {q.ask.cls for q in self.held.values()} - {query.ask.cls}
            ahead = max((self.classes[c].spec.threads for c in others if self._credit(c) > 0), default=0)
        apart = urgent and learned.threads + own <= self.part  # long work is not to keep out short
        return warm + ahead + own <= self._cap() * (AT_EASE if urgent else 1) or not warm + ahead or apart

    def _cap(self) -> float:
        """Sparse: threads for all warm engines together; it widens where nothing is slow."""
        return THREADS_A_CORE * self.part * max(1.0, PRESSURE / self.ordinary) ** EASE

    def _credit(self, cls: int) -> float:
        """Thread-seconds of the cap that a class has not used of its share, by the worth asked of each."""
        known = self.classes[cls]
        return self.sparse and known.account(self.now, self.mix.share(known) * self._cap(), DEBT)

    def _start(self, query: Query) -> bool:
        """To the engine with fewest own threads a core among those that may take it; of equals by chance."""
        some = self.live if len(self.live) <= LOOK else self.random.sample(self.live, LOOK)
        fits = not self.sparse or self._fits(query)
        cold = self.random.sample(self.cold, min(LOOK, len(self.cold)))
        if self.sparse:
            able = [
                e
                for e in self.homes
                if fits and e.healthy and self._allowed(query, e) and self._room(e, query, fits)
            ]
            some = (able or some) * fits + cold
        answered = self.thin and [e for e in query.asked if e.heard_at >= query.asked_at or self.news]
        some = answered + cold if answered else some
        spec, best, best_load = self.classes[query.ask.cls].spec, None, (math.inf, 0.0)
        for engine in some:
            if not engine.healthy or not self._allowed(query, engine) or not self._room(engine, query, fits):
                continue
            able = engine.cores * engine.share
            own = engine.threads if self.fleet.weighed else engine.threads + spec.threads
            load = own / able + (engine.entry.engine in query.attempts)
            if self.thin and self.now >= engine.cold_until:  # a cold one's turn is bound enough
                load += self._told_load(engine) if self.news else engine.load
            elif self.readers_wait and not self.thin:
                place = self.fleet.order(query.ask.data_set).index(engine) / len(self.live)
                load += APART * (1 - place if spec.is_load else place)
                load += HELD * (spec.waits_for_loads and engine.held(query.ask.data_set, self.now))
            if self.sparse:  # all see the same cores: by chance, or all would choose the same engines
                load = self.random.expovariate(able) * (1 + engine.threads) * self._slow(engine) ** 2
                load *= self.now >= engine.cold_until  # a turn that is not used is lost
                load += 1e3 * (engine.entry.engine in query.attempts)
            tie = self.random.expovariate(able) if self.fleet.weighed else self.random.random()
            if (load, tie) < best_load:
                best, best_load = engine, (load, tie)
        return best is not None and self._send(query, best)
