"""Who may enter: the limit on what is held, the queue time-out, the entry gap on its ladder."""

import math

from .. import api
from ..state import STEP, Query, trim
from .figures import FULL_FOR, NEWS_COST, PROBES, TICK, WINDOW

LADDER, LOW, FEWEST = 1.3, 0.02, 10  # y: a rung's gap over the one below; r that leaves one; entries r wants
BESIDE = 8.0  # size (work for worth) that passes beside a gap on rung 0; the kept share squared of it above
TOP, DEEP, RENEW = 5, 9, 5.0  # highest rung, and where a jam feeds itself by a told load; d in waits
SPEND = 0.008  # most points of the result that messages may cost: by it requests earn bytes of news
CALM, PAGING = 0.9, 2 / 3  # the told load a gap aims at; part of it where pages


class Admission:
    def _on_request(self, ask: api.Request) -> None:
        self.queries[ask.request] = query = Query(ask, self.now, self.classes[ask.cls].spec)
        trim(self.taken, self.now - self.set.retry_span).append(self.now)
        learned = self.classes[ask.cls]
        self.mix.count(learned, STEP / FEWEST, ask.memory_mb)  # older ones fade: the mix may turn for good
        earned = SPEND * 256 / max(SPEND, self.set.tell_price) / self.set.gateways
        self.bytes = min(self.bytes + earned, 2 * NEWS_COST)
        if learned.spec.in_order and self.set.key_rest is not None:
            self.lines.join(query)
        if ask.waited > self.shed_after[ask.cls]:
            return self._end(query, api.EndReason.PROGRAM_BEHIND)  # what it takes on now would be late
        size = self._size(query)
        beside = max(BESIDE * LADDER ** (-2 * self.rung), self.sparse)  # few entries, of which r is rough
        if self.rung and (self.news or size > beside and self._credit(ask.cls) <= 0):  # else under its share
            small = self.news and size < LADDER**-self.rung
            if self.now < self.next_entry and not small or self.news and size > BESIDE:
                return self._end(query, api.EndReason.ENTRY_GAP)  # uncounted: r must not see the gap's work
            pays = self._work(query) / self.mix.work if self.news else size  # there small ones pay too
            self.next_entry = max(self.next_entry, self.now) + self.base_gap * LADDER**self.rung * pays
            self.next_entry = min(self.next_entry, self.now + WINDOW) if small else self.next_entry
        if self.news and self._tt(query) < 0 and learned.latency:
            return self._end(query, api.EndReason.TOO_LATE)  # it cannot be on time
        self.entered.append(self.now)
        self.probes = min(self.probes + self.earned, 8 * PROBES)
        if self.thin and ask.patience > 3 * TICK:
            self._ask_some(query)
        if (not query.asked or self.news) and self._start(query):
            return
        tt, rate = self._tt(query), len(trim(self.starts, self.now - WINDOW)) / WINDOW
        line = sum(q.ask.cls == ask.cls for q in self.held.values()) if self.sparse else len(self.held)
        if (query.asked or tt > 0) and line < max(FEWEST if self.thin else 1, rate * tt):
            self.held[ask.request] = query
        else:
            self._end(query, api.EndReason.QUEUE_FULL, counted=True)

    def _tt(self, query: Query) -> float:
        """Queue time-out: time left less the class's learned latency (its aim until learned)."""
        learned, spec = self.classes[query.ask.cls], self.classes[query.ask.cls].spec
        aim = query.came + spec.aim + spec.aim_stretch * self._work(query) / spec.threads
        needs = max(learned.latency or spec.aim, self.news * self._work(query) / spec.threads)
        return min(aim, query.deadline - 3 * TICK) - self.now - needs

    def _release(self, expire: bool) -> None:
        """First come, first out among those that could start; what is past its tt goes at once."""
        blocked = set()  # whose fresh queries no engine can take now
        for query in list(self.held.values()):
            kind = query.kind  # of the loads, only those of its own group can start where one has ended
            if not expire and (kind in blocked or kind[1] is not None and kind != self.freed):
                continue  # most that wait wait for the same: a look at each would cost more than it finds
            if self._tt(query) < 0 and self.now > query.asked_at + 2 * TICK:
                self._end(query, api.EndReason.QUEUE_TIMEOUT, counted=True)
            elif kind not in blocked and self._has_turn(query):
                waits = (
                    not self.news
                    and self.now < query.asked_at + TICK
                    and any(e.healthy and e.heard_at < query.asked_at for e in query.asked)
                )  # not for one that hangs
                if not waits and not self._start(query):
                    if self.thin and self.now >= query.asked_at + FULL_FOR:
                        self._ask_some(query)
                    elif not self.thin and not query.attempts:
                        blocked.add(kind)

    def _step_gap(self) -> None:
        """The ladder of the paper: up by as many rungs as r proves, down one, each after a wait."""
        while len(self.entered) > FEWEST and self.entered[0] <= self.now - WINDOW:
            self.entered.popleft()
        total, before = len(self.entered), self.rung
        tm = max(WINDOW, self.now - self.entered[0]) if total else WINDOW
        if self.now < self.look_at:
            return
        r = min(1.0, len(trim(self.lost, self.now - tm)) / total) if total >= FEWEST else 0.0
        if self.news and total:  # all gateways hear the same of the fleet: what it holds beyond is too much
            r = max(r, 1 - CALM * (PAGING if self.paging else 1) / max(1e-3, self.mean_load))
        if r > LOW:
            self.gap_until = self.now + RENEW * tm
        if r > 1 - 1 / LADDER:
            if not self.rung:
                self.base_gap, self.next_entry = tm / total, self.now
            rungs = math.floor(-math.log(max(1e-3, 1 - r)) / math.log(LADDER))  # most with r > 1 - y^-j
            self.rung = min(DEEP if self.paging else TOP, self.rung + max(1, rungs))
        elif self.rung and (r < LOW or self.now > self.gap_until):
            self.rung = self.rung - 1 if self.now <= self.gap_until else 0
        if self.rung != before:
            self.look_at = self.now + (tm / 2 if self.paging and self.rung > before else tm)
            self.actions.append(api.Log(f"entry gap on rung {self.rung}, r {r:.2f}"))
