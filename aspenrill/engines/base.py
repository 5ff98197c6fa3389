"""The protocol-independent part of attempts: sending the request, the single end, and cancellation."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ..api import Outcome
from ..core.books import Attempt, AttemptFinished, Peer
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, TimedOut
from .pool import Pools

WRITE_TIMEOUT = 1.0  # seconds for writing a request
WITHDRAW_DELAY = 0.05  # seconds for the engine to show that it received a request, from the end of an attempt
MAX_BROKEN_CONNECTIONS = 3  # new connections that may break unused before the engine counts as unreachable


class Cancelled(Exception):
    """The attempt has been cancelled."""


class AttemptEnded(Exception):
    """The attempt has ended with an outcome."""

    def __init__(self, outcome: Outcome, **details: Any) -> None:
        super().__init__(outcome)
        self.outcome, self.details = outcome, details


class Engines:
    """Runs attempts, cancels and probes, and posts their ends and notes.

    Subclasses implement the protocol in `_execute` and `_stop_at_engine`.
    """

    def __init__(
        self, hub: Hub, pools: Pools, post: Callable[[Any], None], safe: frozenset[int] = frozenset()
    ) -> None:
        self.hub, self.pools, self.post = hub, pools, post
        self.safe = safe  # indexes of the classes whose requests may run twice
        self.running: set[Attempt] = set()  # attempts whose tasks have not ended

    def start(self, attempt: Attempt) -> None:
        """Runs an attempt in a task of its own, which posts one Ended."""
        self.running.add(attempt)
        attempt.task = self.hub.spawn(self._run, attempt, name="attempt")

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        if not attempt.cancelled:
            attempt.cancelled = True
            attempt.task.interrupt(Cancelled())

    def set_priority(self, attempt: Attempt, priority: int) -> None:
        """Changes the priority of an attempt in flight, if the protocol supports it."""

    def withdraw(self, attempt: Attempt) -> None:
        """Resets the connection of an unanswered call: what the engine has not received never arrives."""
        conn, attempt.unanswered = attempt.unanswered, None
        if conn is not None and conn.open:
            self.pools.abort(conn)
            attempt.sent_at = time.monotonic()  # the call may have been received until now
            self.hub.events.event(
                "call_withdrawn",
                id=attempt.client_request.id,
                engine=attempt.peer.engine,
                confirmed=attempt.confirmed,
            )

    def withdraw_all(self) -> None:
        """Withdraws all unanswered calls, as the process exits: the kernel would go on delivering them."""
        for attempt in self.running:
            self.withdraw(attempt)

    def retire(self, peer: Peer) -> None:
        """Stops sending work to an engine."""
        self.pools.retire(peer)

    def _execute(self, attempt: Attempt) -> None:
        """Executes an attempt from its first byte to its end, which is raised as AttemptEnded."""
        raise NotImplementedError

    def _stop_at_engine(self, attempt: Attempt) -> None:
        """Makes the engine stop the attempt; returns once it has, and cannot begin it any more."""
        raise NotImplementedError

    def _run(self, attempt: Attempt) -> None:
        end = AttemptFinished(attempt, Outcome.ERROR)
        try:
            self._execute(attempt)
        except AttemptEnded as ended:
            end = AttemptFinished(attempt, ended.outcome, **ended.details)
        except Cancelled:
            end = AttemptFinished(
                attempt, Outcome.NOT_STARTED if attempt.sent_at is None else Outcome.CANCELLED
            )
        except TimedOut:
            end = AttemptFinished(attempt, Outcome.TIMEOUT)
        finally:
            try:
                if end.outcome is Outcome.OK:
                    self.post(end)
                else:
                    self._finish_failed(attempt, end)
            finally:
                self.running.discard(attempt)

    def _finish_failed(self, attempt: Attempt, end: AttemptFinished) -> None:
        """Stops a failed attempt and posts its end once the engine no longer works on it.

        The end is posted at the request's deadline at the latest: no other attempt can follow then, and the
        client must not wait longer.
        """
        attempt.cancelled, attempt.task.pending = True, None  # no further interrupts
        if attempt.sent_at is None:
            self.post(end)
            return
        posted: list[AttemptFinished] = []

        def post_once(event: AttemptFinished) -> None:
            if not posted and (event is end or attempt.client_request.open):
                posted.append(event)
                self.post(event)

        timer = self.hub.timers.at(
            attempt.client_request.deadline, post_once, AttemptFinished(attempt, Outcome.TIMEOUT)
        )
        try:
            self._stop_at_engine(attempt)
        finally:
            timer.cancel()
            post_once(end)

    def _send_request(
        self, attempt: Attempt, request: Callable[[Connection], list[bytes]]
    ) -> Connection | None:
        """Writes the request; returns its connection, None if it broke after part of the request was sent.

        `request` encodes it for a connection that was acquired.
        Raises AttemptEnded if it is proven that nothing ran: no connection was established, or no byte sent.
        """
        broken = 0
        while True:
            try:
                conn = self.pools.acquire(
                    attempt.peer,
                    min(attempt.until, attempt.begin_by),
                    recheck=attempt.client_request.cls not in self.safe,
                )
            except Refused as why:
                broken += why.broken
                if why.broken and broken < MAX_BROKEN_CONNECTIONS:
                    continue
                too_late = time.monotonic() >= attempt.begin_by and str(why) != "ECONNREFUSED"
                not_at_fault = why.exhausted or too_late or not attempt.peer.takes_work
                raise AttemptEnded(Outcome.NOT_STARTED if not_at_fault else Outcome.CONNECT_FAILED) from None
            if not attempt.wanted:  # the last check before the first byte
                self.pools.release(attempt.peer, conn)
                raise AttemptEnded(Outcome.NOT_STARTED)
            before = conn.bytes_sent
            try:
                conn.write_parts(request(conn), min(attempt.until, time.monotonic() + WRITE_TIMEOUT))
            except (Closed, TimedOut) as why:
                self.pools.abort(conn)
                if conn.bytes_sent != before:
                    attempt.sent_at = attempt.received_at = time.monotonic()
                    if isinstance(why, Closed):
                        attempt.peer.lost_at = attempt.received_at
                    return None
                broken += not conn.reused
                if broken >= MAX_BROKEN_CONNECTIONS:
                    raise AttemptEnded(Outcome.CONNECT_FAILED) from None
                continue
            except BaseException:
                if conn.bytes_sent != before:
                    attempt.sent_at = time.monotonic()
                self.pools.abort(conn)
                raise
            attempt.sent_at = attempt.received_at = time.monotonic()
            attempt.unanswered = conn
            return conn
