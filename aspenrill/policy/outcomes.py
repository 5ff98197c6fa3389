"""What the end of an attempt and a note on one lead to: a further attempt, a final answer, new statistics."""

from .. import api
from ..state import ANSWER_WEIGHT, Engine, PendingRequest, running_mean
from .figures import FULL_INTERVAL, JAMMED_LOAD, OVERDUE_FACTOR, QUEUE_CHECK_INTERVAL

# Upper bound of the weight of one answer in the fleet's slowdown, in typical answers.
MAX_ANSWER_WEIGHT = 4.0
# Weight of one answer in the slowdown of its own engine.
SLOWDOWN_WEIGHT = 0.4
# Factor by which each error raises the slowdown of its engine.
ERROR_SLOWDOWN = 3.0
# Upper bound of the slowdown that errors raise: without it many errors would exceed the range of floats.
MAX_SLOWDOWN = 1e3
# Failures in a row that eject an engine although it answers probes.
MAX_CONSECUTIVE_FAILURES = 5
# Amount of a WAITS note that says that the request waits for a load.
WAITS_FOR_LOAD = 2
# Upper bound of the restarts that a class has in credit.
MAX_RESTART_CREDIT = 4.0
# Restarts that each good answer adds to the credit of its class.
RESTART_CREDIT_STEP = 0.002


class Outcomes:
    """Processes the ends of attempts and the notes on those in flight."""

    def _on_outcome(self, pending: PendingRequest, end: api.AttemptEnded) -> None:
        engine = pending.engine
        del engine.in_flight[end.request]
        self._count_attempt(pending, engine, -1)
        pending.engine, self.freed_group = None, pending.slot_group
        pending.record_run(engine, not end.outcome.never_ran)
        if (
            end.outcome.may_still_run
            and pending.arrival.key is not None
            and self.settings.key_backoff is not None
        ):
            self.key_backoff_until = {k: t for k, t in self.key_backoff_until.items() if t > self.now}
            self.key_backoff_until[pending.arrival.key] = self.now + self.settings.key_backoff
        # It began too late for its slot at a cold engine: the next slot comes at a random moment.
        if end.outcome is api.Outcome.NOT_STARTED and pending.time_to_begin(self.now):
            engine.cold_slots[pending.arrival.cls] = (
                self.now + self.random.random() * self.settings.fall_window
            )
        self._update_stats(pending, engine, end)
        if end.outcome is api.Outcome.FULL:
            self.loss_times.append(self.now)
            engine.full_until = self.now + FULL_INTERVAL  # not even short work gets headroom there
            if self.uses_gossip:
                engine.load, engine.load_at = 4 * JAMMED_LOAD, self.now
                self._gossip(engine)
        if end.closed or pending.ended:
            self._end(pending, gone=True)
        elif end.outcome is api.Outcome.TIMEOUT and self.now > pending.deadline - 3 * QUEUE_CHECK_INTERVAL:
            # With gossip the load is known: a lost answer must not count like a full engine.
            self._end(pending, api.EndReason.DEADLINE, counted=not self.uses_gossip)
        elif (
            self._queue_timeout(pending) > 0
            and self.live
            and self._may_repeat(pending, pending.ran_on or self.live[0])
        ):
            self.queued = {end.request: pending, **self.queued}  # it arrived before those that are queued
            if self.uses_reported_load:
                self._probe_candidates(pending)
        else:
            self._end(pending, api.EndReason.NO_FURTHER_ATTEMPT)

    def _update_stats(self, pending: PendingRequest, engine: Engine, end: api.AttemptEnded) -> None:
        """Update what is known of the engine, the class and the fleet from the end of an attempt."""
        stats, arrival = self.classes[pending.arrival.cls], pending.arrival
        failed = end.outcome in (api.Outcome.ERROR, api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
        if (
            failed
        ):  # more often the fault of the request or of one connection than of the engine: probe it first
            engine.consecutive_failures += 1
            if (
                not self.settings.may_probe
                or engine.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                or not self._probe(engine)
            ):
                self._eject(engine, end.outcome.value)
        elif end.outcome is api.Outcome.TIMEOUT:
            self._probe(engine)  # the engine may work while its answers are lost on the way
        if self.uses_capacity_share and (
            failed or end.outcome in (api.Outcome.TIMEOUT, api.Outcome.CANCELLED)
        ):
            slowdown = (
                ERROR_SLOWDOWN * self._slowdown(engine)
                if failed
                else end.latency / pending.expected_latency * self.fleet_slowdown
            )
            engine.recent_slowdown, engine.recent_slowdown_at = (
                min(MAX_SLOWDOWN, max(self._slowdown(engine), slowdown)),
                self.now,
            )
        if end.outcome is not api.Outcome.OK:
            return
        # A restart that ended in time shows that the plan was bad, not the request long: the credit returns.
        proved = (
            pending.restarted
            and end.latency <= OVERDUE_FACTOR * pending.expected_latency * self.fleet_slowdown
        )
        stats.restart_credit = min(
            MAX_RESTART_CREDIT, stats.restart_credit + RESTART_CREDIT_STEP + 2.0 * proved
        )
        engine.penalty, engine.consecutive_failures = 0.0, 0
        engine.ejected_until *= (
            not self.uses_gossip
        )  # with gossip the trial request takes the place of a probe
        if end.report:
            self._apply_report(engine, end.report)
            if self.uses_gossip:
                self._gossip(engine)
        busy, slowdown = stats.record_answer(end.latency, arrival.work, end.work)
        self.mix.update()
        # Weighted by work: engines serve short urgent requests first, so these never show a slow fleet.
        weight = (
            ANSWER_WEIGHT * min(MAX_ANSWER_WEIGHT, busy / self.mix.work)
            if self.uses_capacity_share
            else ANSWER_WEIGHT
        )
        self.fleet_slowdown = max(1.0, running_mean(self.fleet_slowdown, slowdown, weight))
        if self.uses_capacity_share:
            engine.recent_slowdown, engine.recent_slowdown_at = (
                running_mean(self._slowdown(engine), slowdown, SLOWDOWN_WEIGHT),
                self.now,
            )
        stats.step_memory(pending.spilled or (end.memory_mb or 0.0) > arrival.memory_mb * stats.memory_factor)

    def _on_note(self, pending: PendingRequest, note: api.AttemptNote) -> None:
        if pending.engine is None or note.attempt != len(pending.attempts) - 1:
            return
        pending.record_run(pending.engine, True)  # it runs, whatever its end may say
        pending.spilled |= note.kind is api.NoteKind.SPILLS
        stats, slow_plan, blocked = self.classes[pending.arrival.cls], False, False
        if note.kind is api.NoteKind.PROGRESS and note.amount > 0:
            left = (self.now - pending.sent_at) * (1 - note.amount) / note.amount
            may_restart = (
                not pending.restarted
                and stats.restart_credit >= 1.0
                and stats.spec.effect is not api.Effect.UNSAFE
            )
            slow_plan = may_restart and left > OVERDUE_FACTOR * pending.expected_latency * self.fleet_slowdown
        elif note.kind is api.NoteKind.WAITS and note.amount == WAITS_FOR_LOAD:
            pending.engine.mark_blocked(pending.arrival.data_set, self.now)
            first = len(pending.attempts) == 1 and self._queue_timeout(pending) > 0
            blocked = first and stats.spec.effect is api.Effect.SAFE
        if (slow_plan or blocked) and self.settings.may_cancel and self._may_repeat(pending, pending.engine):
            pending.restarted, stats.restart_credit = (
                pending.restarted or slow_plan,
                stats.restart_credit - slow_plan,
            )
            # A restart: the attempt has a bad plan, or has done nothing yet.
            self.actions.append(api.Cancel(note.request, note.attempt))
