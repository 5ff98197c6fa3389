"""Reads the records of a day by the protocol page. Nothing of the program is trusted but its exit code."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from .plan import CLASS_NAMES, EFFECTS, DayPlan, Kind
from .records import ClientRequest, DayRecords, EngineAttempt, FrontLife, Reply

SLACK = 0.05  # seconds that the page adds to each time limit
CROSSING = 0.05  # seconds in which a request may cross the end of a connection with nothing open
GONE_WITHIN = 0.1  # seconds after a client has gone in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which a deadline passed on may exceed what the client has left
LAST_STAGE = 0.4  # seconds before the earliest SIGKILL in which a front end may end connections in use
UNASKED = 2.0  # seconds unasked after which an engine drops a query
DRAIN_TOLD, DRAIN_GRACE = 7.0, 0.5  # seconds
MOST_MEMORY_MB = 96.0
LEAST_SERVED = 0.1  # share of all requests that a day is to serve: else it proves nothing
LEAST_ASKED = 20


@dataclass(frozen=True)
class Verdict:
    """A broken rule, with what shows it."""

    rule: str
    front: str
    subject: str  # request, connection or process
    detail: str
    search: tuple[str, ...] = ()  # what names it in the front end's log


class Judge:
    """All rules over the records of one day."""

    def __init__(self, plan: DayPlan, records: DayRecords) -> None:
        self.plan, self.records = plan, records
        self.effects = dict(zip(CLASS_NAMES, EFFECTS, strict=True))
        self.windows = dict(zip(CLASS_NAMES, plan.windows, strict=True))
        self.requests = {request.id: request for request in records.requests}
        self.attempts: dict[str, list[EngineAttempt]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda each: each.began):
            self.attempts[attempt.id].append(attempt)

    def verdicts(self) -> list[Verdict]:
        """Every broken rule, lost requests first."""
        return [
            *self._lost(),
            *self._wrong_answers(),
            *self._late(),
            *self._repeats(),
            *self._gone(),
            *self._deadlines(),
            *self._drains(),
            *self._processes(),
            *self._served(),
        ]

    # ---- requests -------------------------------------------------------------------------------------

    def _taken_at(self, request: ClientRequest) -> float | None:
        """When the front end's machine had all of it; None where that was never so."""
        trace = request.connection.trace
        return trace.delivered_at(request.offset) if trace is not None and trace.reached else None

    def _verdict(self, rule: str, request: ClientRequest, detail: str) -> Verdict:
        connection = request.connection
        text = f"{request.cls}, sent {request.sent:.3f}, would wait {request.timeout:.3f}: {detail}"
        address = connection.trace.address if connection.trace is not None else ""
        search = (request.id, f"peer={address} ")
        return Verdict(rule, connection.front, f"request {request.id}", text, search)

    def _lost(self) -> Iterator[Verdict]:
        for request in self.records.requests:
            connection = request.connection
            owed = request.reply is None and request.forgotten_at is None and connection.closed_at is None
            if not owed or connection.ended_at is None or connection.trace is None:
                continue
            taken, ended = self._taken_at(request), connection.trace.target_ended_at
            if taken is None or connection.trace.broken or ended is None:
                continue
            if abs(taken - ended) <= CROSSING or self._shut_unread(request):
                continue
            if taken > ended and self._at_the_kill(connection.front, ended):
                continue
            yield self._verdict(
                "lost", request, f"taken {taken:.3f}, its connection ended {ended:.3f} with no answer"
            )

    def _at_the_kill(self, front: str, ended: float) -> bool:
        """A shutdown has to end what is still open before SIGKILL: who is told late then has no remedy."""
        return any(
            life.front == front
            and life.terminated is not None
            and 0.0 <= life.terminated + self.plan.kill_after - ended <= LAST_STAGE
            for life in self.records.lives
        )

    def _shut_unread(self, request: ClientRequest) -> bool:
        """In a crowd new connections may be shut unread: nothing was answered on it, the time is short."""
        if Kind.CROWD not in self.plan.kinds:
            return False
        same = [each for each in self.records.requests if each.connection is request.connection]
        return all(each.reply is None for each in same)

    def _wrong_answers(self) -> Iterator[Verdict]:
        seen = set()
        for request in self.records.requests:
            connection = request.connection
            if request.wrong or request.reply is Reply.UNREADABLE:
                yield self._verdict("lost", request, "served with what no engine made for it")
            if id(connection) not in seen:
                seen.add(id(connection))
                for fault in connection.faults:
                    yield Verdict(
                        "lost", connection.front, f"connection {connection.peer}", fault, (connection.peer,)
                    )

    def _late(self) -> Iterator[Verdict]:
        """Clients on straight links give up half a second past their time: by then each has its answer."""
        for request in self.records.requests:
            taken, gone = self._taken_at(request), request.forgotten_at
            if gone is None or taken is None or gone < request.sent + request.timeout + 0.4:
                continue
            if self._front_stopped(request, gone) or self.records.stalled(request.sent, gone):
                continue
            if request.connection.trace.broken or taken > request.sent + SLACK:
                continue
            yield self._verdict("lost", request, f"no answer by {gone:.3f}, half a second past its time")

    def _front_stopped(self, request: ClientRequest, until: float) -> bool:
        """Whether its front end was stopped, ended or absent meanwhile."""
        for life in self.records.lives:
            if life.front != request.connection.front:
                continue
            if any(begin < until and end > request.sent for begin, end in life.stops):
                return True
            over = life.exited or life.killed
            if over is not None and request.sent - SLACK < over < until:
                return True
        return False

    # ---- attempts -------------------------------------------------------------------------------------

    def _repeats(self) -> Iterator[Verdict]:
        delayed = self.plan.engine_link is not None
        for ident, attempts in self.attempts.items():
            request = self.requests.get(ident)
            if request is None:
                continue
            ran = [attempt for attempt in attempts if not attempt.refused]
            effect = self.effects[request.cls]
            if effect == "once" and len(ran) > 1:
                yield self._verdict("duplicate", request, f"ran {len(ran)} times")
            if effect == "by_key" and ran and not delayed:
                span = ran[-1].began - ran[0].began
                if span > self.windows[request.cls] + SLACK:
                    yield self._verdict("duplicate", request, f"again after {span:.3f}, outside its window")
            for before, after in zip(attempts, attempts[1:], strict=False):
                over = before.ended if before.ended is not None else before.last_asked + UNASKED
                if not delayed and after.began < over - SLACK:
                    yield self._verdict(
                        "duplicate", request, f"again {after.began:.3f}, while one was out until {over:.3f}"
                    )

    def _gone(self) -> Iterator[Verdict]:
        if self.plan.engine_link is not None:
            return
        for ident, attempts in self.attempts.items():
            request = self.requests.get(ident)
            trace = request.connection.trace if request else None
            if request is None or trace is None:
                continue
            told = trace.client_ended_at
            if request.forgotten_at is not None and request.forget_offset:
                told = trace.delivered_at(request.forget_offset)
            last = attempts[-1].began
            if told is None or last <= told + GONE_WITHIN + SLACK or self.records.stalled(told, last):
                continue
            yield self._verdict("lost", request, f"client gone {told:.3f}, an attempt began {last:.3f}")

    def _deadlines(self) -> Iterator[Verdict]:
        for ident, attempts in self.attempts.items():
            request = self.requests.get(ident)
            taken = self._taken_at(request) if request else None
            if taken is None:
                continue
            for attempt in attempts:
                over = attempt.began + attempt.max_wait - (taken + request.timeout)
                if over > DEADLINE_SLACK and not self.records.stalled(taken, attempt.began):
                    if self.plan.engine_link is None:
                        yield self._verdict("deadline", request, f"passed on {over:.3f} beyond its client's")

    def _drains(self) -> Iterator[Verdict]:
        for attempt in self.records.attempts:
            told = self.records.drains.get(attempt.engine)
            if told is not None and attempt.began > told + DRAIN_TOLD + DRAIN_GRACE + SLACK:
                yield Verdict(
                    "drain",
                    "",
                    f"request {attempt.id}",
                    f"begun at {attempt.engine} {attempt.began - told:.3f}",
                )

    # ---- processes ------------------------------------------------------------------------------------

    def _processes(self) -> Iterator[Verdict]:
        for life in self.records.lives:
            yield from self._process(life)
        for front, log in self.records.logs.items():
            errors = [line for line in log.splitlines() if " error: " in line]
            if errors:
                yield Verdict("error", front, "its log", errors[0], ("error: ", "Error"))

    def _process(self, life: FrontLife) -> Iterator[Verdict]:
        subject = f"process started {life.started:.3f}"
        if life.ready is None:
            yield Verdict("start", life.front, subject, "was never ready")
        if life.exited is not None and life.terminated is None:
            yield Verdict("crash", life.front, subject, f"ended {life.exited:.3f} with {life.exit_code}")
        elif life.killed is not None:
            if not self.records.stalled(life.terminated, life.killed):
                yield Verdict("exit", life.front, subject, "still there at SIGKILL", ("leaving", "left"))
        elif life.exit_code not in (0, None):
            yield Verdict("exit", life.front, subject, f"exit code {life.exit_code}")
        if life.descriptors > self.plan.sockets:
            yield Verdict("limits", life.front, subject, f"{life.descriptors} descriptors")
        if life.memory_mb > MOST_MEMORY_MB:
            yield Verdict("limits", life.front, subject, f"{life.memory_mb:.0f} MB")

    def _served(self) -> Iterator[Verdict]:
        asked = len(self.records.requests)
        served = sum(request.reply is Reply.SERVED for request in self.records.requests)
        if asked < LEAST_ASKED or served < LEAST_SERVED * asked:
            yield Verdict("served", "", "the day", f"{served} of {asked} requests served")
