"""What a gateway knows of its engines: the engine list, own outcomes, load reports, gossip and ejection."""

import math

from .. import api
from ..state import Engine, PendingRequest, pack_gossip
from .figures import (
    FULL_INTERVAL,
    GOSSIP_COST,
    IN_FLIGHT_CHECK_INTERVAL,
    JAMMED_LOAD,
    MAX_CANDIDATES,
    MAX_THREADS_PER_CORE,
    OVERDUE_FACTOR,
    PRESSURE_SLOWDOWN,
)

# Seconds for which an engine is ejected the first time; doubled each time until it answers.
EJECT_INTERVAL = 1.0
# Upper bound of these seconds.
MAX_EJECT_INTERVAL = 8.0
# Upper bound of the share of the engines that are ejected.
MAX_EJECTED_SHARE = 0.5
# Engines probed for one request; one fewer while the fleet is not under pressure.
PROBES_PER_START = 3
# How many of these are the first in the affinity order of the data set.
AFFINITY_PROBES = 2
# Seconds in which a gossiped load decays to the fleet's mean. Two failures within this time eject an engine.
GOSSIP_FADE = 2.0
# Upper bound of the engines in one gossip message.
MAX_GOSSIP_ENGINES = 5
# Seconds for which a load is recent enough to be gossiped.
GOSSIP_FRESH = 0.5


class View:
    """Keeps the state of the engines, ejects those that fail and brings them back."""

    def _on_list(self, update: api.ListUpdate) -> None:
        """Apply an update of the engine list, then decide how the load of engines is to be known.

        With few gateways their own attempts show it. With many, `uses_reported_load` relies on probes or,
        where engines may not be probed, on gossip (`uses_gossip`). With neither, `uses_capacity_share` limits
        each gateway to its share of the cores.
        """
        if update.mode is api.ListMode.REFUSED and self.settings.subscribe_to_list:
            # At a random moment, so that not all gateways retry at once; the old list stays in use.
            self.list_retry_at = self.now + 1.0 + self.random.random()
        if update.mode is api.ListMode.REMEMBERED and self.settings.subscribe_to_list:
            self.actions.append(api.WatchList())
        self.live = self.cold = self.fleet.apply(update, self.now)
        for engine in self.live if self.settings.fall_window else ():
            engine.cold_until = engine.entry.started and engine.entry.started + self.settings.cold_for
        self.ejected = [e for e in self.live if not e.healthy]
        # Whether probes are cheap enough for every request.
        affordable = self.settings.may_probe and self.probes_per_request >= PROBES_PER_START
        # The most gateways that one engine should serve.
        most = max((MAX_THREADS_PER_CORE * e.cores for e in self.live), default=0.0)
        many_gateways = self.settings.gateways > min(len(self.live), max(MAX_CANDIDATES, most))
        self.uses_reported_load = many_gateways and (
            affordable or self.settings.may_gossip and not self.settings.may_probe
        )
        self.uses_capacity_share = many_gateways and not self.uses_reported_load
        self.uses_gossip = self.uses_reported_load and not affordable
        order = (
            2 * self.fleet.affinity_order(-1) if self.uses_capacity_share else []
        )  # doubled to wrap around
        self.affinity_engines = order[
            self.settings.gateway_index * len(self.live) // self.settings.gateways :
        ][: min(MAX_CANDIDATES, len(self.live))]
        self.may_page = self.uses_gossip and self.settings.shortage_pages  # then overload feeds itself
        self._update_capacity()

    def _update_capacity(self) -> None:
        """Recompute the cold engines and this gateway's share of the warm cores. Cold cores go by slots."""
        self.cold = [e for e in self.cold if self.now < e.cold_until]
        self.capacity_share = (
            sum(e.cores for e in self.live if self.now >= e.cold_until) / self.settings.gateways
        )

    def _eject(self, engine: Engine, why: str, gossiped: bool = False) -> None:
        """Eject an engine until a probe or a trial succeeds: after one failure, because a gateway of a large
        fleet seldom sees more; with gossip after two failures, its own or those of others."""
        doubted, engine.failed_at = self.now <= engine.failed_at + GOSSIP_FADE, self.now
        if self.uses_gossip and not gossiped:
            self._gossip(engine)
        if self.uses_gossip and not doubted:
            return  # one failure may be chance
        if engine.healthy:
            if sum(not e.healthy for e in self.ejected) + 1 > MAX_EJECTED_SHARE * len(self.live):
                return
            self.ejected.append(engine)
            self.actions.append(api.Log(f"engine {engine.entry.engine} ejected: {why}"))
        engine.penalty = min(MAX_EJECT_INTERVAL, 2 * engine.penalty) or EJECT_INTERVAL
        # With gossip all gateways together make about one trial per interval, and gossip its result.
        jitter = self.random.random() * self.settings.gateways * self.uses_gossip
        engine.ejected_until = self.now + engine.penalty * (1 + jitter)

    def _check_in_flight(self) -> None:
        """Probe engines whose attempts are overdue by the slowdown of the fleet, end ejections that are over,
        and update the mean load. Time in which this process stalled does not count as waiting."""
        for pending in self.in_flight.values():
            waited = self.now - max(pending.sent_at, self.resumed_at)
            if (
                not pending.suspect
                and waited > OVERDUE_FACTOR * pending.expected_latency * self.fleet_slowdown
            ):
                pending.suspect = True
                # An engine that was reported on since the attempt was sent is not unresponsive.
                if not self._probe(pending.engine) and (
                    not self.uses_reported_load or pending.engine.load_at < pending.sent_at
                ):
                    self._eject(pending.engine, "attempt overdue")
        self.ejected = [e for e in self.ejected if not e.healthy]
        for engine in [e for e in self.ejected if self.now >= e.ejected_until]:
            engine.ejected_until = (
                self.now + (engine.penalty or EJECT_INTERVAL) if self._probe(engine) else 0.0
            )
        self._update_capacity()
        if self.uses_gossip and self.live and self.now > self.mean_load_at + 2 * IN_FLIGHT_CHECK_INTERVAL:
            drained = (e.load * math.exp((e.load_at - self.now) / self.mix.latency) for e in self.live)
            self.mean_load, self.mean_load_at = (
                sum(min(JAMMED_LOAD, x) for x in drained) / len(self.live),
                self.now,
            )
        if self.now >= self.list_retry_at:
            self.list_retry_at, self.actions = math.inf, [*self.actions, api.WatchList()]

    def _probe(self, engine: Engine) -> bool:
        """Probe an engine if probes are allowed and the budget has one left; whether it was probed."""
        if may := self.settings.may_probe and self.probe_budget >= 1.0:
            self.probe_budget -= 1.0
            self.actions.append(api.Probe(engine.entry.engine))
        return may

    def _probe_candidates(self, pending: PendingRequest) -> None:
        """Probe a few engines before a start, so that engines that hang, are down or loaded are avoided."""
        # With gossip loads are not probed, and an affinity would draw all gateways to the same engines.
        affinity_count = AFFINITY_PROBES * (not self.uses_gossip)
        first, other = (
            (order := self.fleet.affinity_order(pending.arrival.data_set))[:affinity_count],
            order[affinity_count:],
        )
        other = self.random.sample(other, min(MAX_CANDIDATES, len(other)))
        candidates = (
            other if self.classes[pending.arrival.cls].spec.is_load or pending.attempts else first + other
        )
        allowed = [e for e in candidates if e.healthy and self._allowed(pending, e)]
        pending.probed_at, pending.probed = (
            self.now,
            allowed[: PROBES_PER_START - (self.uses_gossip or self.fleet_slowdown <= PRESSURE_SLOWDOWN)],
        )
        for engine in pending.probed:
            self._probe(engine)

    def _gossip(self, engine: Engine) -> None:
        """Send the loads of this engine and of those that answered just before to all other gateways, as far
        as the gossip budget allows."""
        self.recent_loads[engine] = self.now
        if self.gossip_budget >= GOSSIP_COST:
            self.gossip_budget -= GOSSIP_COST
            fresh = sorted(
                (e for e, at in self.recent_loads.items() if at > self.now - GOSSIP_FRESH),
                key=self.recent_loads.get,
            )
            self.recent_loads.clear()
            self.actions.append(
                api.SendGossip(
                    pack_gossip(
                        [
                            (e, math.inf if e.failed_at >= e.load_at else e.load)
                            for e in fresh[-MAX_GOSSIP_ENGINES:]
                        ]
                    )
                )
            )

    def _on_gossip(self, data: bytes) -> None:
        """Apply another gateway's message. Unknown engines in it are skipped."""
        for engine, load in self.fleet.unpack_gossip(data) if self.uses_gossip else ():
            if load == math.inf:
                self._eject(engine, "reported by another gateway", gossiped=True)
            else:
                engine.load, engine.load_at, engine.ejected_until, engine.penalty = load, self.now, 0.0, 0.0

    def _on_probe(self, engine: Engine, end: api.ProbeEnded) -> None:
        if end.outcome is api.Outcome.FULL:
            engine.full_until = self.now + FULL_INTERVAL
        elif end.outcome is not api.Outcome.OK and self.now > self.resumed_at:
            self._eject(engine, f"probe {end.outcome.value}")
        elif end.outcome is api.Outcome.OK:
            self._apply_report(engine, end.report)
            self.actions += [] if engine.healthy else [api.Log(f"engine {engine.entry.engine} back")]
            engine.ejected_until = 0.0

    def _apply_report(self, engine: Engine, report: tuple[float, ...] | None) -> None:
        """Take an engine's load per core from its report: by the requests in flight where it reports them,
        else by its utilization and queue."""
        reported = dict(zip(self.settings.report_fields, report or (), strict=False))
        engine.load = reported.get("util", 0.0) + reported.get("queue", 0.0) / engine.cores
        # Requests in flight count as threads by the mix of classes and latencies that this gateway sees.
        if (in_flight := reported.get("inflight")) is not None:
            engine.own_threads, engine.other_threads = (
                engine.threads,
                max(0.0, in_flight * self.mix.threads - engine.threads),
            )
            # Memory over the engine's own slows all work there.
            memory_load = in_flight * self.mix.memory / engine.memory * self.settings.shortage_pages
            engine.load = max(
                in_flight * self.mix.threads / (engine.cores * MAX_THREADS_PER_CORE), memory_load
            )
        engine.load_at = self.now

    def _slowdown(self, engine: Engine) -> float:
        """An engine's slowdown by its last answers. A late attempt in flight counts before it ends."""
        late = [
            (self.now - max(q.sent_at, self.resumed_at)) / q.expected_latency
            for q in engine.in_flight.values()
        ]
        return max(
            engine.slowdown(self.now, self.fleet_slowdown),
            max(late, default=0.0) / OVERDUE_FACTOR * self.fleet_slowdown,
        )

    def _estimated_load(self, engine: Engine) -> float:
        """An engine's load since its last report: a high one falls no faster than its requests end, a low one
        rises to the fleet's mean."""
        left, fresh = (math.exp((engine.load_at - self.now) / by) for by in (self.mix.latency, GOSSIP_FADE))
        return max(left * engine.load, self.mean_load + fresh * (engine.load - self.mean_load))
