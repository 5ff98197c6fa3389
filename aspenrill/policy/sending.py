"""Sending an attempt, with every rule that it must keep, and the one final answer of a request."""

import math
import zlib

from .. import api
from ..state import Engine, PendingRequest, trim
from .figures import IN_FLIGHT_CHECK_INTERVAL, OVERDUE_FACTOR, PRESSURE_SLOWDOWN, QUEUE_CHECK_INTERVAL, WINDOW

# Factor on the estimate of the memory granted where a shortage makes the engine page.
PAGING_GRANT_FACTOR = 4.0
# Upper bound of the share of a cold engine's work budget that is used.
COLD_BUDGET_SHARE = 0.6
# Share of a cold engine's window within which an attempt must begin: late ones would coincide with the next.
COLD_BEGIN_SHARE = 0.1


class Sending:
    """Sends attempts and ends requests."""

    def _allowed(self, pending: PendingRequest, engine: Engine) -> bool:
        """Whether every rule permits this attempt. A rule applies where its settings are present."""
        spec, entry = self.classes[pending.arrival.cls].spec, engine.entry
        return (
            not pending.ended
            and pending.engine is None
            and self.now < pending.deadline  # one answer, one attempt in flight
            and entry.state is api.EngineState.LIVE  # drains
            and (spec.only_kinds is None or entry.kind in spec.only_kinds)  # placement
            and (spec.only_zones is None or entry.zone in spec.only_zones)
            and (not pending.attempts or self._may_repeat(pending, engine))  # effects, retry budget
            and self._key_ready(pending)  # order
            and (self.now >= engine.cold_until or self.now >= self._cold_slot_at(engine, pending.arrival.cls))
        )

    def _may_repeat(self, pending: PendingRequest, engine: Engine) -> bool:
        """Whether a further attempt at this engine keeps to the class's effect and to the retry budget."""
        spec = self.classes[pending.arrival.cls].spec
        if pending.ran_at is not None and spec.effect is not api.Effect.SAFE:
            here, there = (getattr(e.entry, spec.dedup_scope, "all") for e in (engine, pending.ran_on))
            if spec.effect is api.Effect.UNSAFE or here != there or self.now >= pending.dedup_until:
                return False
        span, ratio = (
            self.settings.retry_span,
            self.settings.retry_ratio,
        )  # both edges of the span are counted strictly
        allowance = (self.settings.retry_free or 0) + (ratio or 0) * len(
            trim(self.arrival_times, self.now - span + QUEUE_CHECK_INTERVAL)
        )
        within = (
            ratio is None
            or len(trim(self.retry_times, self.now - span - QUEUE_CHECK_INTERVAL)) + 1 <= allowance
        )
        return within and len(pending.attempts) < self.settings.max_attempts

    def _key_ready(self, pending: PendingRequest) -> bool:
        """Whether the request is the first of its ordered key and the key is not backed off."""
        return not pending.in_key_queue or bool(
            self.key_queues.is_first(pending)
            and (pending.attempts or self.now >= self.key_backoff_until.get(pending.arrival.key, 0.0))
        )

    def _cold_slot_at(self, engine: Engine, cls: int, after: bool = False) -> float:
        """When this class may next be sent to a cold engine, whose capacity is divided into slots of one
        request. `after`: the current slot was just used."""
        rules, stats = self.settings, self.classes[cls]
        start, age = rules.start_capacity, max(0.0, self.now - engine.entry.started)
        capacity = min(
            start + (1 - start) * age / rules.cold_for, start * COLD_BUDGET_SHARE * rules.fall_multiple
        )
        share = stats.requested_work / sum(c.requested_work for c in self.classes)
        interval = stats.conservative_work() * rules.gateways / (share * capacity * engine.cores)
        place = (rules.gateway_index + zlib.crc32(engine.entry.engine.encode()) + cls) % rules.gateways + 0.5
        due = engine.cold_slots.get(cls, engine.listed_at + interval * place / rules.gateways)
        # Scale what remains of the interval by what was learned since the slot was set.
        due += max(0.0, due - self.now) * (interval / engine.cold_slot_intervals.get(cls, interval) - 1)
        # An unused slot is lost: saved slots would all come at once.
        if after or self.now > due + rules.fall_window:
            due = self.now + interval * (1 if after else self.random.random())
        engine.cold_slots[cls], engine.cold_slot_intervals[cls] = due, interval
        return due

    def _count_attempt(self, pending: PendingRequest, engine: Engine, step: int) -> None:
        """Count one more attempt in flight (1), or one fewer (-1)."""
        stats = self.classes[pending.arrival.cls]
        self._share_credit(pending.arrival.cls)
        stats.threads += step * stats.spec.threads
        engine.count_attempt(stats.spec, pending.arrival.data_set, step)

    def _send(self, pending: PendingRequest, engine: Engine) -> bool:
        """Send the request to the engine if every rule permits it. Nothing else sends."""
        if not self._allowed(pending, engine):
            return False
        arrival, stats = pending.arrival, self.classes[pending.arrival.cls]
        self.queued.pop(arrival.request, None)
        grant = (
            arrival.memory_mb
            * (stats.memory_factor, PAGING_GRANT_FACTOR)[self.settings.shortage_pages]
            * self.settings.honors_grants
        )
        if self.settings.honors_priorities or grant:
            self.actions.append(api.SetTerms(arrival.request, grant, self._priority(pending)))
        trim(self.retry_times, self.now - self.settings.retry_span - QUEUE_CHECK_INTERVAL).extend(
            [self.now] * bool(pending.attempts)
        )
        pending.record_send(engine, self.now)
        pending.expected_latency = max(
            self._expected_work(pending) / stats.spec.threads, stats.latency or stats.spec.latency_target
        )
        # The answer may be lost; a cancel then frees the engine.
        timeout = OVERDUE_FACTOR * pending.expected_latency * self.fleet_slowdown
        # Early enough for another attempt, but not so early that this one has no fair chance.
        timeout = min(timeout, max(timeout / 2, self._queue_timeout(pending)))
        # Limit the attempt where reported work proves the fleet slow, or where it delays others under a gap.
        limited = (
            self.uses_reported_load and self.settings.reports_work and self.fleet_slowdown > PRESSURE_SLOWDOWN
        )
        limited |= (
            bool(self.gap_level) and not self.uses_reported_load and not self.settings.honors_priorities
        )
        again = self.settings.may_cancel and len(pending.attempts) < self.settings.max_attempts
        timeout *= limited and again and stats.spec.effect is not api.Effect.UNSAFE
        engine.in_flight[arrival.request] = self.in_flight[arrival.request] = pending
        self._count_attempt(pending, engine, 1)
        if self.now < engine.cold_until:
            self._cold_slot_at(engine, arrival.cls, after=True)
            pending.begin_by = min(pending.begin_by, self.now + COLD_BEGIN_SHARE * self.settings.fall_window)
        trim(self.send_times, self.now - WINDOW).append(self.now)
        self.actions.append(
            api.Send(arrival.request, engine.entry.engine, timeout, pending.time_to_begin(self.now))
        )
        return True

    def _priority(self, pending: PendingRequest) -> int:
        """0 to 3: short and worthy work has the highest. A load, for which others wait, has it too."""
        size = 0.0 if self.classes[pending.arrival.cls].spec.is_load else self._relative_cost(pending)
        return max(0, min(3, round(1.5 - math.log2(max(1e-6, size)))))

    def _end(
        self,
        pending: PendingRequest,
        reason: api.EndReason | None = None,
        gone: bool = False,
        counted: bool = False,
    ) -> None:
        """End a request: refuse it where a repeat does no harm, else fail it. Nothing else ends one.
        `gone`: no answer is owed any more; `counted`: the entry gap counts it as a loss."""
        arrival, spec = pending.arrival, self.classes[pending.arrival.cls].spec
        pending.ended = True
        self.loss_times += [self.now] * counted
        self.queued.pop(arrival.request, None)
        self.pending.pop(arrival.request, None)
        if gone and pending.engine is not None and self.settings.may_cancel:
            self.actions.append(api.Cancel(arrival.request, len(pending.attempts) - 1))
        elif not gone:
            shared = spec.effect is api.Effect.KEYED and spec.dedup_scope == "all"
            harmless = pending.ran_at is None or spec.effect is api.Effect.SAFE or shared
            retry_after = min(
                max(IN_FLIGHT_CHECK_INTERVAL, (self.next_entry_at - self.now) * (self.gap_level > 0)),
                self.settings.max_retry_after,
            )
            self.actions.append(
                api.Refuse(arrival.request, retry_after, reason)
                if harmless
                else api.Fail(arrival.request, reason)
            )
        if pending.engine is None:  # else its key waits for the attempt in flight
            self.key_queues.remove(pending)
