"""What outcomes and notes bring: a further attempt or an end, and what they teach."""

from .. import api
from ..state import STEP, Engine, Query, blend
from .figures import FULL_FOR, JAMMED, OVERDUE, TICK

HEAVY, SLOW_STEP = 4.0, 0.4  # most an answer weighs; weight of one in its engine's own slowdown
FAULTY, SLOWEST = 3.0, 1e3  # times slower that an engine counts with each error, and the most by errors
STRIKES, FOR_LOAD = 5, 2  # failures in a row that put an engine out; what a note says of a load
PLANS, REPLAN = 4.0, 0.002  # starts afresh that a class has to its credit, and what an answer adds


class Outcomes:
    def _on_outcome(self, query: Query, end: api.AttemptEnded) -> None:
        engine = query.engine
        del engine.out[end.request]
        self._count(query, engine, -1)
        query.engine, self.freed = None, query.kind
        query.may_have_run(engine, not end.outcome.never_ran)
        if end.outcome.may_still_run and query.ask.key is not None and self.set.key_rest is not None:
            self.key_rest = {k: t for k, t in self.key_rest.items() if t > self.now}
            self.key_rest[query.ask.key] = self.now + self.set.key_rest
        if end.outcome is api.Outcome.MOOT and query.within(self.now):  # late: its turn comes again, apart
            engine.turns[query.ask.cls] = self.now + self.random.random() * self.set.fall_window
        self._learn(query, engine, end)
        if end.outcome is api.Outcome.FULL:
            self.lost.append(self.now)
            engine.full_until = self.now + FULL_FOR  # pressure told outright; short ones get no more room
            if self.news:
                engine.load, engine.heard_at = 4 * JAMMED, self.now
                self._tell(engine)
        if end.closed or query.ended:
            self._end(query, gone=True)
        elif end.outcome is api.Outcome.TIMEOUT and self.now > query.deadline - 3 * TICK:
            # with news of others a lost answer must not look like a full engine
            self._end(query, api.EndReason.DEADLINE, counted=not self.news)
        elif self._tt(query) > 0 and self.live and self._may_repeat(query, query.ran_on or self.live[0]):
            self.held = {end.request: query, **self.held}  # it came before those that are held
            if self.thin:
                self._ask_some(query)
        else:
            self._end(query, api.EndReason.NO_FURTHER_ATTEMPT)

    def _learn(self, query: Query, engine: Engine, end: api.AttemptEnded) -> None:
        learned, ask = self.classes[query.ask.cls], query.ask
        failed = end.outcome in (api.Outcome.ERROR, api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
        if failed:  # the query's fault, or one connection's, more often than the engine's
            engine.strikes += 1
            if not self.set.may_probe or engine.strikes >= STRIKES or not self._probe(engine):
                self._eject(engine, end.outcome.value)
        elif end.outcome is api.Outcome.TIMEOUT:
            self._probe(engine)  # answers may be lost on the way while the engine works
        if self.sparse and (failed or end.outcome in (api.Outcome.TIMEOUT, api.Outcome.CANCELLED)):
            slow = FAULTY * self._slow(engine) if failed else end.latency / query.expected * self.ordinary
            engine.slow, engine.slow_at = min(SLOWEST, max(self._slow(engine), slow)), self.now
        if end.outcome is not api.Outcome.OK:
            return
        proved = query.afresh and end.latency <= OVERDUE * query.expected * self.ordinary
        learned.plans = min(PLANS, learned.plans + REPLAN + 2.0 * proved)  # the plan it was, not the query
        engine.penalty, engine.strikes = 0.0, 0
        engine.ejected_until *= not self.news  # its trial went well
        if end.report:
            self._hear(engine, end.report)
            if self.news:
                self._tell(engine)
        busy, slow = learned.answered(end.latency, ask.work, end.work)
        self.mix.update()
        weight = STEP * min(HEAVY, busy / self.mix.work) if self.sparse else STEP  # urgent work is never slow
        self.ordinary = max(1.0, blend(self.ordinary, slow, weight))
        if self.sparse:
            engine.slow, engine.slow_at = blend(self._slow(engine), slow, SLOW_STEP), self.now
        learned.step(query.spilled or (end.memory_mb or 0.0) > ask.memory_mb * learned.memory)

    def _on_note(self, query: Query, note: api.AttemptNote) -> None:
        if query.engine is None or note.attempt != len(query.attempts) - 1:
            return
        query.may_have_run(query.engine, True)  # it runs, whatever its end may say
        query.spilled |= note.kind is api.NoteKind.SPILLS
        learned, bad, still = self.classes[query.ask.cls], False, False
        if note.kind is api.NoteKind.PROGRESS and note.amount > 0:
            left = (self.now - query.sent_at) * (1 - note.amount) / note.amount
            once = not query.afresh and learned.plans >= 1.0 and learned.spec.effect is not api.Effect.UNSAFE
            bad = once and left > OVERDUE * query.expected * self.ordinary  # if as long again, it is so
        elif note.kind is api.NoteKind.WAITS and note.amount == FOR_LOAD:
            query.engine.hold(query.ask.data_set, self.now)
            first = len(query.attempts) == 1 and self._tt(query) > 0
            still = first and learned.spec.effect is api.Effect.SAFE
        if (bad or still) and self.set.may_cancel and self._may_repeat(query, query.engine):
            query.afresh, learned.plans = query.afresh or bad, learned.plans - bad
            self.actions.append(api.Cancel(note.request, note.attempt))  # afresh: a bad plan, or nothing done
