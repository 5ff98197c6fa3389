"""Which engine takes a request: the thread limits, and the choice among the engines that have headroom."""

import math

from .. import api
from ..state import Engine, PendingRequest
from .figures import JAMMED_LOAD, MAX_CANDIDATES, MAX_THREADS_PER_CORE, PRESSURE_SLOWDOWN, WINDOW

# Factor on an engine's thread limit for short work, where engines heed priorities.
SHORT_HEADROOM = 2.0
# Factor on an engine's thread limit for all work, where engines heed no priorities.
EQUAL_PRIORITY_HEADROOM = 1.35
# Factor for short work on the limit of a gateway's threads at all engines together.
SHORT_SHARE_HEADROOM = 1.3
# Exponent with which the limit of a capacity share widens while the fleet's slowdown is below the pressure.
IDLE_EXPONENT = 2.0
# Typical requests by which a class may exceed its share.
MAX_DEBT = 2.0
# Reported load per core at which an engine counts as under pressure.
PRESSED_LOAD = 1.1
# Threads per core that an engine's place in the affinity order of a data set counts for.
AFFINITY_WEIGHT = 1.0
# Threads per core that an engine counts as more loaded by while a load blocks its readers.
BLOCKED_LOAD = 2.0


class Choice:
    """Chooses the engine for an attempt."""

    def _expected_work(self, pending: PendingRequest) -> float:
        """Core-seconds: the estimate, corrected by earlier answers, else the typical work of the class."""
        stats = self.classes[pending.arrival.cls]
        return (pending.arrival.work or 0.0) * (stats.work_scale or 0.0) or stats.typical_work()

    def _relative_cost(self, pending: PendingRequest) -> float:
        """Work per worth over the mean of the classes. Below 1 a request counts as short and worthy."""
        return (
            self._expected_work(pending)
            / max(1e-3, self.classes[pending.arrival.cls].spec.worth)
            / self.mix.work_per_worth
        )

    def _has_headroom(self, engine: Engine, pending: PendingRequest, fits: bool) -> bool:
        """Whether the engine may take one more attempt. The limit by cores and gateways applies under
        pressure only; with probes, an engine under pressure takes short work alone."""
        spec = self.classes[pending.arrival.cls].spec
        if spec.is_load and engine.loads.get(pending.arrival.data_set):
            return False  # it would wait there, and slow down the load that holds the group
        full, short = self.now < engine.full_until, self._relative_cost(pending) < 1
        own = spec.threads / (MAX_THREADS_PER_CORE * engine.cores)
        fresh = not full and self.now < engine.load_at + WINDOW
        pressed = full or fresh and engine.load + own > PRESSED_LOAD
        if self.uses_reported_load:
            jammed = (
                self._estimated_load(engine) + own > JAMMED_LOAD
                if self.uses_gossip
                else pressed and not short
            )
            return not full and not jammed
        if self.uses_capacity_share:
            return not full and (self.now < engine.cold_until or fits)
        limit = MAX_THREADS_PER_CORE * engine.cores  # own threads beyond it are pressure by themselves
        # A report of other gateways' threads: each gateway takes its share of what none of them uses.
        if reported := fresh and engine.other_threads is not None:
            limit *= 1.0 if self.settings.honors_priorities else EQUAL_PRIORITY_HEADROOM
            limit += max(0.0, engine.own_threads * (self.settings.gateways - 1) - engine.other_threads)
        if reported or pressed or self.fleet_slowdown > PRESSURE_SLOWDOWN:
            limit /= self.settings.gateways
        if self.settings.honors_priorities and short and not full:
            limit *= SHORT_HEADROOM
        return not engine.threads or engine.threads + spec.threads <= limit

    def _fits_share(self, pending: PendingRequest) -> bool:
        """Whether the request fits within this gateway's thread limit at all warm engines together. Threads
        that a class under its share waits for count as taken."""
        stats, reserved = self.classes[pending.arrival.cls], 0
        own, urgent = stats.spec.threads, self._relative_cost(pending) < 1 and self.settings.honors_priorities
        warm = sum(
            self.classes[q.arrival.cls].spec.threads
            for q in self.in_flight.values()
            if q.engine.entry.state is api.EngineState.LIVE and self.now >= q.engine.cold_until
        )
        if self.queued and self._share_credit(pending.arrival.cls) <= 0:
            others = {q.arrival.cls for q in self.queued.values()} - {pending.arrival.cls}
            reserved = max(
                (self.classes[c].spec.threads for c in others if self._share_credit(c) > 0), default=0
            )
        exempt = (
            urgent and stats.threads + own <= self.capacity_share
        )  # long work must not keep out short work
        return (
            warm + reserved + own <= self._thread_limit() * (SHORT_SHARE_HEADROOM if urgent else 1)
            or not warm + reserved
            or exempt
        )

    def _thread_limit(self) -> float:
        """Threads for all warm engines together, with a capacity share; more while the fleet is not slow."""
        return (
            MAX_THREADS_PER_CORE
            * self.capacity_share
            * max(1.0, PRESSURE_SLOWDOWN / self.fleet_slowdown) ** IDLE_EXPONENT
        )

    def _share_credit(self, cls: int) -> float:
        """Unused thread-seconds of a class's share of the thread limit; shares go by the worth requested."""
        stats = self.classes[cls]
        return self.uses_capacity_share and stats.update_credit(
            self.now, self.mix.share(stats) * self._thread_limit(), MAX_DEBT
        )

    def _start_attempt(self, pending: PendingRequest) -> bool:
        """Send the request to the candidate with the fewest threads per core; ties are broken at random."""
        candidates = (
            self.live if len(self.live) <= MAX_CANDIDATES else self.random.sample(self.live, MAX_CANDIDATES)
        )
        fits = not self.uses_capacity_share or self._fits_share(pending)
        cold = self.random.sample(self.cold, min(MAX_CANDIDATES, len(self.cold)))
        if self.uses_capacity_share:
            preferred = [
                e
                for e in self.affinity_engines
                if fits and e.healthy and self._allowed(pending, e) and self._has_headroom(e, pending, fits)
            ]
            candidates = (preferred or candidates) * fits + cold
        answered = self.uses_reported_load and [
            e for e in pending.probed if e.load_at >= pending.probed_at or self.uses_gossip
        ]
        candidates = answered + cold if answered else candidates
        spec, best, best_load = self.classes[pending.arrival.cls].spec, None, (math.inf, 0.0)
        for engine in candidates:
            if (
                not engine.healthy
                or not self._allowed(pending, engine)
                or not self._has_headroom(engine, pending, fits)
            ):
                continue
            capacity = engine.cores * engine.share
            own = engine.threads if self.fleet.has_weights else engine.threads + spec.threads
            load = own / capacity + (engine.entry.engine in pending.attempts)
            if self.uses_reported_load and self.now >= engine.cold_until:  # slots limit the cold ones already
                load += self._estimated_load(engine) if self.uses_gossip else engine.load
            elif self.readers_wait_for_loads and not self.uses_reported_load:
                place = self.fleet.affinity_order(pending.arrival.data_set).index(engine) / len(self.live)
                load += AFFINITY_WEIGHT * (1 - place if spec.is_load else place)
                load += BLOCKED_LOAD * (
                    spec.waits_for_loads and engine.readers_blocked(pending.arrival.data_set, self.now)
                )
            # Gateways that all see the same cores must choose at random, or they choose the same engines.
            if self.uses_capacity_share:
                load = self.random.expovariate(capacity) * (1 + engine.threads) * self._slowdown(engine) ** 2
                load *= self.now >= engine.cold_until  # cold engines first: an unused slot is lost
                load += 1e3 * (engine.entry.engine in pending.attempts)
            tie = self.random.expovariate(capacity) if self.fleet.has_weights else self.random.random()
            if (load, tie) < best_load:
                best, best_load = engine, (load, tie)
        return best is not None and self._send(pending, best)
