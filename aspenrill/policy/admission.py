"""Admission control: the entry gap and its levels, the queue, its length limit and its time-out."""

import math

from .. import api
from ..state import ANSWER_WEIGHT, PendingRequest, trim
from .figures import FULL_INTERVAL, GOSSIP_COST, MAX_PROBES, QUEUE_CHECK_INTERVAL, WINDOW

# Growth of the entry gap from one level to the next.
GAP_STEP = 1.3
# Loss ratio below which the entry gap goes down by a level.
LEVEL_DOWN_RATIO = 0.02
# Fewest entries from which a loss ratio is taken.
MIN_ENTRIES = 10
# Largest relative cost of a request that passes the entry gap on level 0; it shrinks by GAP_STEP squared with
# each level.
BYPASS_SIZE = 8.0
# Highest level of the entry gap.
MAX_LEVEL = 5
# The same where engines page under load: there overload feeds itself, and only a wider gap ends it.
MAX_PAGING_LEVEL = 9
# Windows for which a level is kept after the last loss ratio above LEVEL_DOWN_RATIO.
GAP_HOLD_WINDOWS = 5.0
# Upper bound of the share of the result that gossip may cost; by it each request adds bytes to the budget.
GOSSIP_RESULT_SHARE = 0.008
# Mean load of the fleet that the entry gap aims at.
TARGET_LOAD = 0.9
# The factor on TARGET_LOAD where engines page under load.
PAGING_LOAD_FACTOR = 2 / 3


class Admission:
    """Decides which requests enter, which wait in the queue and which are refused."""

    def _on_request(self, arrival: api.Request) -> None:
        self.pending[arrival.request] = pending = PendingRequest(
            arrival, self.now, self.classes[arrival.cls].spec
        )
        trim(self.arrival_times, self.now - self.settings.retry_span).append(self.now)
        stats = self.classes[arrival.cls]
        # Older requests fade, because the mix of classes may change for good.
        self.mix.add_request(stats, ANSWER_WEIGHT / MIN_ENTRIES, arrival.memory_mb)
        earned = (
            GOSSIP_RESULT_SHARE
            * 256
            / max(GOSSIP_RESULT_SHARE, self.settings.gossip_price)
            / self.settings.gateways
        )
        self.gossip_budget = min(self.gossip_budget + earned, 2 * GOSSIP_COST)
        if stats.spec.in_order and self.settings.key_backoff is not None:
            self.key_queues.append(pending)
        if arrival.program_delay > self.shed_after[arrival.cls]:  # it would be answered late
            return self._end(pending, api.EndReason.PROGRAM_BEHIND)
        size = self._relative_cost(pending)
        # With a capacity share there are few entries, and the loss ratio is a rough estimate: at least size 1
        # passes.
        bypass = max(BYPASS_SIZE * GAP_STEP ** (-2 * self.gap_level), self.uses_capacity_share)
        # Without gossip, a class that is under its share passes too.
        if self.gap_level and (self.uses_gossip or size > bypass and self._share_credit(arrival.cls) <= 0):
            small = self.uses_gossip and size < GAP_STEP**-self.gap_level
            if self.now < self.next_entry_at and not small or self.uses_gossip and size > BYPASS_SIZE:
                # Not counted as a loss: the gap must not react to its own refusals.
                return self._end(pending, api.EndReason.ENTRY_GAP)
            # With gossip small requests pass the gap but pay for it too.
            cost = self._expected_work(pending) / self.mix.work if self.uses_gossip else size
            self.next_entry_at = (
                max(self.next_entry_at, self.now) + self.base_gap * GAP_STEP**self.gap_level * cost
            )
            self.next_entry_at = min(self.next_entry_at, self.now + WINDOW) if small else self.next_entry_at
        if self.uses_gossip and self._queue_timeout(pending) < 0 and stats.latency:
            return self._end(pending, api.EndReason.TOO_LATE)  # it cannot be answered in time
        self.entry_times.append(self.now)
        self.probe_budget = min(self.probe_budget + self.probes_per_request, 8 * MAX_PROBES)
        if self.uses_reported_load and arrival.time_budget > 3 * QUEUE_CHECK_INTERVAL:
            self._probe_candidates(pending)
        if (not pending.probed or self.uses_gossip) and self._start_attempt(pending):
            return
        timeout, rate = self._queue_timeout(pending), len(trim(self.send_times, self.now - WINDOW)) / WINDOW
        length = (
            sum(q.arrival.cls == arrival.cls for q in self.queued.values())
            if self.uses_capacity_share
            else len(self.queued)
        )
        if (pending.probed or timeout > 0) and length < max(
            MIN_ENTRIES if self.uses_reported_load else 1, rate * timeout
        ):
            self.queued[arrival.request] = pending
        else:
            self._end(pending, api.EndReason.QUEUE_FULL, counted=True)

    def _queue_timeout(self, pending: PendingRequest) -> float:
        """Seconds that the request may still wait: the time left to its latency target, less the latency of
        its class (the target stands in until a latency is known)."""
        stats, spec = self.classes[pending.arrival.cls], self.classes[pending.arrival.cls].spec
        target_at = (
            pending.arrived_at
            + spec.latency_target
            + spec.target_per_work * self._expected_work(pending) / spec.threads
        )
        needed = max(
            stats.latency or spec.latency_target,
            self.uses_gossip * self._expected_work(pending) / spec.threads,
        )
        return min(target_at, pending.deadline - 3 * QUEUE_CHECK_INTERVAL) - self.now - needed

    def _release(self, expire: bool) -> None:
        """Start queued requests in order of arrival as far as engines take them, and end those timed out."""
        blocked = set()  # slot groups whose requests no engine can take now
        for pending in list(self.queued.values()):
            # Where an attempt of a load has ended, only loads of its own group can start.
            group = pending.slot_group
            if not expire and (group in blocked or group[1] is not None and group != self.freed_group):
                continue  # most requests wait for the same slot: checking each would cost too much
            if self._queue_timeout(pending) < 0 and self.now > pending.probed_at + 2 * QUEUE_CHECK_INTERVAL:
                self._end(pending, api.EndReason.QUEUE_TIMEOUT, counted=True)
            elif group not in blocked and self._key_ready(pending):
                # Probes are waited for one check interval only: an engine may hang.
                awaits_probe = (
                    not self.uses_gossip
                    and self.now < pending.probed_at + QUEUE_CHECK_INTERVAL
                    and any(e.healthy and e.load_at < pending.probed_at for e in pending.probed)
                )
                if not awaits_probe and not self._start_attempt(pending):
                    if self.uses_reported_load and self.now >= pending.probed_at + FULL_INTERVAL:
                        self._probe_candidates(pending)
                    elif not self.uses_reported_load and not pending.attempts:
                        blocked.add(group)

    def _update_gap(self) -> None:
        """Set the level of the entry gap from the loss ratio: up by as many levels as the ratio proves, down
        by one, and each change holds for a window."""
        while len(self.entry_times) > MIN_ENTRIES and self.entry_times[0] <= self.now - WINDOW:
            self.entry_times.popleft()
        total, before = len(self.entry_times), self.gap_level
        window = max(WINDOW, self.now - self.entry_times[0]) if total else WINDOW
        if self.now < self.next_gap_check_at:
            return
        loss_ratio = (
            min(1.0, len(trim(self.loss_times, self.now - window)) / total) if total >= MIN_ENTRIES else 0.0
        )
        # All gateways receive the same gossip, so each lowers its rate by the fleet's load above the target.
        if self.uses_gossip and total:
            loss_ratio = max(
                loss_ratio,
                1 - TARGET_LOAD * (PAGING_LOAD_FACTOR if self.may_page else 1) / max(1e-3, self.mean_load),
            )
        if loss_ratio > LEVEL_DOWN_RATIO:
            self.gap_hold_until = self.now + GAP_HOLD_WINDOWS * window
        if loss_ratio > 1 - 1 / GAP_STEP:
            if not self.gap_level:
                self.base_gap, self.next_entry_at = window / total, self.now
            # The most levels j for which loss_ratio > 1 - GAP_STEP**-j.
            levels = math.floor(-math.log(max(1e-3, 1 - loss_ratio)) / math.log(GAP_STEP))
            self.gap_level = min(
                MAX_PAGING_LEVEL if self.may_page else MAX_LEVEL, self.gap_level + max(1, levels)
            )
        elif self.gap_level and (loss_ratio < LEVEL_DOWN_RATIO or self.now > self.gap_hold_until):
            self.gap_level = self.gap_level - 1 if self.now <= self.gap_hold_until else 0
        if self.gap_level != before:
            self.next_gap_check_at = self.now + (
                window / 2 if self.may_page and self.gap_level > before else window
            )
            self.actions.append(api.Log(f"entry gap level {self.gap_level}, loss ratio {loss_ratio:.2f}"))
