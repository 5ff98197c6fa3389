"""Checks the records of a run against the protocol page; of the program only the exit code is trusted."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from .plan import CLASS_NAMES, EFFECTS, FaultKind, RunPlan
from .records import ClientRequest, EngineAttempt, FrontProcessRecord, Reply, RunRecords

TIMING_SLACK = 0.05  # seconds that the protocol page adds to each time limit
CLOSE_RACE = 0.05  # seconds in which a request may cross the close of an idle connection
GONE_GRACE = 0.1  # seconds after a client has gone in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which a deadline passed on may exceed the client's remaining time
FORCED_CLOSE_WINDOW = 0.4  # seconds before SIGKILL in which a front end may close connections in use
POLL_TIMEOUT = 2.0  # seconds without a poll after which an engine drops a query
DRAIN_NOTICE = 7.0  # seconds after an engine is listed as draining in which it may get attempts
DRAIN_GRACE = 0.5  # seconds
MAX_MEMORY_MB = 96.0  # peak resident memory of a front end
MIN_SERVED_SHARE = 0.1  # of all requests; a run that serves less proves nothing
MIN_REQUESTS = 20  # likewise


@dataclass(frozen=True)
class Violation:
    """A violated rule with its evidence."""

    rule: str
    front: str
    subject: str  # request, connection or process
    detail: str
    log_words: tuple[str, ...] = ()  # texts that identify its lines in the front end's log


class Checker:
    """Checks all rules over the records of one run."""

    def __init__(self, plan: RunPlan, records: RunRecords) -> None:
        self.plan, self.records = plan, records
        self.effects = dict(zip(CLASS_NAMES, EFFECTS, strict=True))
        self.windows = dict(zip(CLASS_NAMES, plan.windows, strict=True))
        self.requests = {request.id: request for request in records.requests}
        self.attempts: dict[str, list[EngineAttempt]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda each: each.began_at):
            self.attempts[attempt.id].append(attempt)

    def violations(self) -> list[Violation]:
        """Return all violations, lost requests first."""
        return [
            *self._unanswered(),
            *self._wrong_answers(),
            *self._late_answers(),
            *self._duplicate_runs(),
            *self._attempts_after_cancel(),
            *self._extended_deadlines(),
            *self._attempts_after_drain(),
            *self._process_violations(),
            *self._served_share(),
        ]

    # ---- requests -------------------------------------------------------------------------------------

    def _delivered_at(self, request: ClientRequest) -> float | None:
        """When the front end's host had received the whole request; None if it never did."""
        trace = request.connection.trace
        return trace.delivered_at(request.end_offset) if trace is not None and trace.reached else None

    def _request_violation(self, rule: str, request: ClientRequest, detail: str) -> Violation:
        connection = request.connection
        text = f"{request.cls}, sent {request.sent_at:.3f}, timeout {request.timeout:.3f}: {detail}"
        address = connection.trace.address if connection.trace is not None else ""
        log_words = (request.id, f"peer={address} ")
        return Violation(rule, connection.front, f"request {request.id}", text, log_words)

    def _unanswered(self) -> Iterator[Violation]:
        for request in self.records.requests:
            connection = request.connection
            owed = request.reply is None and request.cancelled_at is None and connection.closed_at is None
            if not owed or connection.ended_at is None or connection.trace is None:
                continue
            delivered_at, ended = self._delivered_at(request), connection.trace.target_ended_at
            if delivered_at is None or connection.trace.broken or ended is None:
                continue
            if abs(delivered_at - ended) <= CLOSE_RACE or self._closed_without_answers(request):
                continue
            if delivered_at > ended and self._closed_before_kill(connection.front, ended):
                continue
            yield self._request_violation(
                "lost",
                request,
                f"delivered {delivered_at:.3f}, its connection ended {ended:.3f} without an answer",
            )

    def _closed_before_kill(self, front: str, ended: float) -> bool:
        """Whether it ended shortly before SIGKILL, when a shutdown has to close all open connections."""
        return any(
            record.front == front
            and record.terminated_at is not None
            and 0.0 <= record.terminated_at + self.plan.kill_after - ended <= FORCED_CLOSE_WINDOW
            for record in self.records.processes
        )

    def _closed_without_answers(self, request: ClientRequest) -> bool:
        """Out of descriptors, a front end may close new connections unread: whether that was the case."""
        if FaultKind.CROWD not in self.plan.kinds:
            return False
        same = [each for each in self.records.requests if each.connection is request.connection]
        return all(each.reply is None for each in same)

    def _wrong_answers(self) -> Iterator[Violation]:
        seen = set()
        for request in self.records.requests:
            connection = request.connection
            if request.wrong or request.reply is Reply.UNREADABLE:
                yield self._request_violation(
                    "lost", request, "served with a result that no engine produced for it"
                )
            if id(connection) not in seen:
                seen.add(id(connection))
                for fault in connection.faults:
                    yield Violation(
                        "lost", connection.front, f"connection {connection.peer}", fault, (connection.peer,)
                    )

    def _late_answers(self) -> Iterator[Violation]:
        """Clients on undelayed links cancel half a second after their timeout: by then an answer was due."""
        for request in self.records.requests:
            delivered_at, gone = self._delivered_at(request), request.cancelled_at
            if gone is None or delivered_at is None or gone < request.sent_at + request.timeout + 0.4:
                continue
            if self._front_stopped(request, gone) or self.records.driver_stalled(request.sent_at, gone):
                continue
            if request.connection.trace.broken or delivered_at > request.sent_at + TIMING_SLACK:
                continue
            yield self._request_violation(
                "lost", request, f"no answer by {gone:.3f}, half a second after its timeout"
            )

    def _front_stopped(self, request: ClientRequest, until: float) -> bool:
        """Whether its front end was stopped, or exited, between the send and `until`."""
        for record in self.records.processes:
            if record.front != request.connection.front:
                continue
            if any(begin < until and end > request.sent_at for begin, end in record.stopped_spans):
                return True
            exited_at = record.exited_at or record.killed_at
            if exited_at is not None and request.sent_at - TIMING_SLACK < exited_at < until:
                return True
        return False

    # ---- attempts -------------------------------------------------------------------------------------

    def _duplicate_runs(self) -> Iterator[Violation]:
        delayed = self.plan.engine_link is not None
        for request_id, attempts in self.attempts.items():
            request = self.requests.get(request_id)
            if request is None:
                continue
            ran = [attempt for attempt in attempts if not attempt.refused]
            effect = self.effects[request.cls]
            if effect == "once" and len(ran) > 1:
                yield self._request_violation("duplicate", request, f"ran {len(ran)} times")
            if effect == "by_key" and ran and not delayed:
                span = ran[-1].began_at - ran[0].began_at
                if span > self.windows[request.cls] + TIMING_SLACK:
                    yield self._request_violation(
                        "duplicate", request, f"repeated after {span:.3f}, outside its window"
                    )
            for before, after in zip(attempts, attempts[1:], strict=False):
                allowed_until = (
                    before.ended_at if before.ended_at is not None else before.last_polled_at + POLL_TIMEOUT
                )
                if after.began_at < allowed_until - TIMING_SLACK:
                    yield self._request_violation(
                        "duplicate",
                        request,
                        f"repeated {after.began_at:.3f}, while an attempt was out until {allowed_until:.3f}",
                    )

    def _attempts_after_cancel(self) -> Iterator[Violation]:
        """Attempts are recorded as they arrive: a stopped front end cannot withdraw one from a slow link."""
        delayed = self.plan.engine_link is not None
        for request_id, attempts in self.attempts.items():
            request = self.requests.get(request_id)
            trace = request.connection.trace if request else None
            if request is None or trace is None:
                continue
            gone_at = trace.client_ended_at
            if request.cancelled_at is not None and request.cancel_offset:
                gone_at = trace.delivered_at(request.cancel_offset)
            last = attempts[-1].began_at
            if (
                gone_at is None
                or last <= gone_at + GONE_GRACE + TIMING_SLACK
                or self.records.driver_stalled(gone_at, last)
                or (delayed and self._front_stopped(request, last))
            ):
                continue
            yield self._request_violation(
                "lost", request, f"client gone {gone_at:.3f}, an attempt began {last:.3f}"
            )

    def _extended_deadlines(self) -> Iterator[Violation]:
        for request_id, attempts in self.attempts.items():
            request = self.requests.get(request_id)
            delivered_at = self._delivered_at(request) if request else None
            if delivered_at is None:
                continue
            for attempt in attempts:
                excess = attempt.began_at + attempt.max_wait - (delivered_at + request.timeout)
                if excess > DEADLINE_SLACK and not self.records.driver_stalled(
                    delivered_at, attempt.began_at
                ):
                    if self.plan.engine_link is None:
                        yield self._request_violation(
                            "deadline", request, f"passed on {excess:.3f} s beyond its client's"
                        )

    def _attempts_after_drain(self) -> Iterator[Violation]:
        for attempt in self.records.attempts:
            announced_at = self.records.drains.get(attempt.engine)
            if (
                announced_at is not None
                and attempt.began_at > announced_at + DRAIN_NOTICE + DRAIN_GRACE + TIMING_SLACK
            ):
                yield Violation(
                    "drain",
                    "",
                    f"request {attempt.id}",
                    f"begun at {attempt.engine} {attempt.began_at - announced_at:.3f}",
                )

    # ---- processes ------------------------------------------------------------------------------------

    def _process_violations(self) -> Iterator[Violation]:
        for record in self.records.processes:
            yield from self._one_process(record)
        for front, log in self.records.logs.items():
            errors = [line for line in log.splitlines() if " error: " in line]
            if errors:
                yield Violation("error", front, "its log", errors[0], ("error: ", "Error"))

    def _one_process(self, record: FrontProcessRecord) -> Iterator[Violation]:
        subject = f"process started {record.started_at:.3f}"
        if record.ready_at is None:
            yield Violation("start", record.front, subject, "was never ready")
        if record.exited_at is not None and record.terminated_at is None:
            yield Violation(
                "crash",
                record.front,
                subject,
                f"ended {record.exited_at:.3f} with {record.exit_code}",
            )
        elif record.killed_at is not None:
            if not self.records.driver_stalled(record.terminated_at, record.killed_at):
                yield Violation(
                    "exit", record.front, subject, "still running at SIGKILL", ("leaving", "left")
                )
        elif record.exit_code not in (0, None):
            yield Violation("exit", record.front, subject, f"exit code {record.exit_code}")
        if record.descriptors > self.plan.sockets:
            yield Violation("limits", record.front, subject, f"{record.descriptors} descriptors")
        if record.memory_mb > MAX_MEMORY_MB:
            yield Violation("limits", record.front, subject, f"{record.memory_mb:.0f} MB")

    def _served_share(self) -> Iterator[Violation]:
        asked = len(self.records.requests)
        served = sum(request.reply is Reply.SERVED for request in self.records.requests)
        if asked < MIN_REQUESTS or served < MIN_SERVED_SHARE * asked:
            yield Violation("served", "", "the run", f"{served} of {asked} requests served")
