"""Sending under the guards of the rules, and the one final answer."""

import math
import zlib

from .. import api
from ..state import Engine, Query, trim
from .figures import OVERDUE, PRESSURE, TICK, WATCH, WINDOW

AMPLE, SAFETY = 4.0, 0.6  # times the estimate granted where a shortage pages; most of the cold budget used
SOON = 0.1  # of the window in which a cold engine falls: how late a turn may begin, lest several come at once


class Sending:
    def _allowed(self, query: Query, engine: Engine) -> bool:
        """Every rule that a send must keep, each where its settings are present."""
        spec, entry = self.classes[query.ask.cls].spec, engine.entry
        return (
            not query.ended
            and query.engine is None
            and self.now < query.deadline  # one answer, one out
            and entry.state is api.EngineState.LIVE  # drains
            and (spec.only_kinds is None or entry.kind in spec.only_kinds)  # placement
            and (spec.only_zones is None or entry.zone in spec.only_zones)
            and (not query.attempts or self._may_repeat(query, engine))  # effects, retry budget
            and self._has_turn(query)  # order
            and (self.now >= engine.cold_until or self.now >= self._cold_turn(engine, query.ask.cls))
        )

    def _may_repeat(self, query: Query, engine: Engine) -> bool:
        spec = self.classes[query.ask.cls].spec
        if query.ran_at is not None and spec.effect is not api.Effect.SAFE:
            here, there = (getattr(e.entry, spec.dedup_scope, "all") for e in (engine, query.ran_on))
            if spec.effect is api.Effect.UNSAFE or here != there or self.now >= query.known_until:
                return False
        span, ratio = self.set.retry_span, self.set.retry_ratio  # both its ends on the safe side
        free = (self.set.retry_free or 0) + (ratio or 0) * len(trim(self.taken, self.now - span + TICK))
        within = ratio is None or len(trim(self.extra, self.now - span - TICK)) + 1 <= free
        return within and len(query.attempts) < self.set.most_attempts

    def _has_turn(self, query: Query) -> bool:
        return not query.in_line or bool(
            self.lines.first(query) and (query.attempts or self.now >= self.key_rest.get(query.ask.key, 0.0))
        )

    def _cold_turn(self, engine: Engine, cls: int, after: bool = False) -> float:
        """When this class may next go to a cold engine, whose capacity is dealt out in turns of one query."""
        rules, learned = self.set, self.classes[cls]
        least, age = rules.start_capacity, max(0.0, self.now - engine.entry.started)
        able = min(least + (1 - least) * age / rules.cold_for, least * SAFETY * rules.fall_multiple)
        share = learned.asked / sum(c.asked for c in self.classes)
        wait = learned.careful_work() * rules.gateways / (share * able * engine.cores)
        place = (rules.me + zlib.crc32(engine.entry.engine.encode()) + cls) % rules.gateways + 0.5
        due = engine.turns.get(cls, engine.told_at + wait * place / rules.gateways)
        due += max(0.0, due - self.now) * (wait / engine.waits.get(cls, wait) - 1)  # the rest, as learned
        if after or self.now > due + rules.fall_window:  # one not used is lost: saved up, all come at once
            due = self.now + wait * (1 if after else self.random.random())
        engine.turns[cls], engine.waits[cls] = due, wait
        return due

    def _count(self, query: Query, engine: Engine, step: int) -> None:
        """One more attempt out (1), or one fewer (-1)."""
        learned = self.classes[query.ask.cls]
        self._credit(query.ask.cls)
        learned.threads += step * learned.spec.threads
        engine.count(learned.spec, query.ask.data_set, step)

    def _send(self, query: Query, engine: Engine) -> bool:
        """The one place that sends."""
        if not self._allowed(query, engine):
            return False
        ask, learned = query.ask, self.classes[query.ask.cls]
        self.held.pop(ask.request, None)
        grant = ask.memory_mb * (learned.memory, AMPLE)[self.set.shortage_pages] * self.set.grants_heeded
        if self.set.priorities_heeded or grant:
            self.actions.append(api.SetTerms(ask.request, grant, self._priority(query)))
        trim(self.extra, self.now - self.set.retry_span - TICK).extend([self.now] * bool(query.attempts))
        query.sent(engine, self.now)
        query.expected = max(self._work(query) / learned.spec.threads, learned.latency or learned.spec.aim)
        limit = OVERDUE * query.expected * self.ordinary  # an answer may be lost; a cancel frees the work
        limit = min(limit, max(limit / 2, self._tt(query)))  # in time for another, but a fair one first
        slow = self.thin and self.set.costs_told and self.ordinary > PRESSURE  # told costs prove it
        slow |= bool(self.rung) and not self.thin and not self.set.priorities_heeded  # it is in the way
        again = self.set.may_cancel and len(query.attempts) < self.set.most_attempts
        limit *= slow and again and learned.spec.effect is not api.Effect.UNSAFE
        engine.out[ask.request] = self.out[ask.request] = query
        self._count(query, engine, 1)
        if self.now < engine.cold_until:
            self._cold_turn(engine, ask.cls, after=True)
            query.begin_by = min(query.begin_by, self.now + SOON * self.set.fall_window)
        trim(self.starts, self.now - WINDOW).append(self.now)
        self.actions.append(api.Send(ask.request, engine.entry.engine, limit, query.within(self.now)))
        return True

    def _priority(self, query: Query) -> int:
        """Short and worthy work first; a load that others wait for must not linger under them."""
        size = 0.0 if self.classes[query.ask.cls].spec.is_load else self._size(query)
        return max(0, min(3, round(1.5 - math.log2(max(1e-6, size)))))

    def _end(
        self, query: Query, reason: api.EndReason | None = None, gone: bool = False, counted: bool = False
    ) -> None:
        """The one place that ends a request: refused where that is harmless, failed otherwise."""
        ask, spec = query.ask, self.classes[query.ask.cls].spec
        query.ended = True
        self.lost += [self.now] * counted
        self.held.pop(ask.request, None)
        self.queries.pop(ask.request, None)
        if gone and query.engine is not None and self.set.may_cancel:
            self.actions.append(api.Cancel(ask.request, len(query.attempts) - 1))
        elif not gone:
            shared = spec.effect is api.Effect.KEYED and spec.dedup_scope == "all"
            harmless = query.ran_at is None or spec.effect is api.Effect.SAFE or shared
            hint = min(max(WATCH, (self.next_entry - self.now) * (self.rung > 0)), self.set.longest_come_back)
            self.actions.append(
                api.Refuse(ask.request, hint, reason) if harmless else api.Fail(ask.request, reason)
            )
        if query.engine is None:  # else its key waits for what is out
            self.lines.leave(query)
