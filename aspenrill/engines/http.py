"""HTTP/1.1 engines: an attempt from its first byte to its last page."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ..api import Effect, NoteKind, Outcome, Settings
from ..core.books import Attempt, AttemptNoted, Peer, ProbeFinished, Result
from ..net.conn import Connection, time_left
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, TimedOut
from ..wire import Malformed, http1
from .base import WITHDRAW_DELAY, AttemptEnded, Engines
from .headers import header_number, parse_load_report
from .http_calls import HttpCalls, host_of
from .http_responses import bytes_behind, check_trailing, error_outcome, read_response, unread_bytes
from .pool import Pools

WRITE_TIMEOUT = 1.5  # seconds for writing a call, or reading a response that nobody waits for
RESPONSE_TIMEOUT = 0.8  # seconds without a response, due after 0.25, until it is requested again
MAX_UNREADABLE = 3  # unreadable responses after which an attempt has failed
SILENCE_TIMEOUT = 2.2  # seconds without any response after which an attempt is given up
QUERY_DROPPED_AFTER = 2.6  # seconds; engines: 2 after a response, held for 0.25 after a call read late
PROBE_TIMEOUT = 1.0  # seconds for a probe, or a change of priority
PAUSE_SHARE = 0.5  # share of the estimated remaining time for which a query is not polled
MIN_PAUSE = 0.06  # seconds; shorter pauses are left out
MAX_PAUSE = 1.0  # seconds
MAX_LOAD_PAUSE = 0.1  # seconds; the limit for a load, as others wait for its end
DELETE_TIMEOUT = 0.6  # seconds for a DELETE
DELETE_INTERVAL = 0.2  # seconds between two of them
MAX_RESULT = 48000  # bytes
ERROR_STATUSES = (202, 500, 503, 504), (500, 503, 504)  # statuses besides 200: for a query, for a page of it
QUERY_STATUSES = 200, 202  # statuses by which an engine confirms that it has received the request
ACK_STATUSES = 204, 500  # statuses for a DELETE or PUT; 500: the query is not known any more
NOTE_KINDS = {"frac": NoteKind.PROGRESS, "missing": NoteKind.SPILLS, "parked": NoteKind.WAITS}


class Lost(Exception):
    """The connection of a call broke or timed out; the engine may have received the call."""


class UnexpectedData(Lost):
    """Bytes that begin no response lay behind the last one on the connection.

    `counted`: they have been counted as an unreadable response.
    """

    def __init__(self, data: bytes, counted: bool = False) -> None:
        super().__init__(f"{len(data)} bytes behind a response")
        self.data, self.counted = data, counted


class HttpEngines(Engines):
    """Runs attempts, cancels, priority changes and probes on HTTP engines."""

    def __init__(
        self, hub: Hub, pools: Pools, settings: Settings, classes: list[str], post: Callable[[Any], None]
    ) -> None:
        super().__init__(
            hub,
            pools,
            post,
            frozenset(at for at, spec in enumerate(settings.classes) if spec.effect is Effect.SAFE),
        )
        self.settings, self.classes = settings, classes
        self.calls = HttpCalls(pools)

    def set_priority(self, attempt: Attempt, priority: int) -> None:
        """Changes the priority of an attempt in flight."""
        self.hub.spawn(self._send_priority, attempt, priority, name="priority")

    def probe(self, peer: Peer) -> None:
        """Requests a load report in a task of its own, which posts one Probed."""
        self.hub.spawn(self._probe, peer, name="probe")

    # ---- an attempt -----------------------------------------------------------------------------------

    def _execute(self, attempt: Attempt) -> None:
        conn, started = self._send_request(attempt, lambda _: self._request_parts(attempt)), False
        while True:
            try:
                if conn is None:
                    conn = self._reconnect(attempt)
                    self._send_call(attempt, conn, "GET", f"/data/{attempt.client_request.id}/0")
                head, body = self._receive(attempt, conn)
                while head.status == 202:
                    share = self._post_note(attempt, head)
                    started = started or bool(share) or head.headers.get("x-remark") == "missing"
                    conn = self._pause(attempt, conn, head, share)
                    self._send_call(attempt, conn, "GET", f"/data/{attempt.client_request.id}/0")
                    head, body = self._receive(attempt, conn)
            except Lost:
                conn = None
                continue
            break
        if head.status != 200:
            self.calls.return_connection(attempt.peer, conn, head)
            outcome = error_outcome(head)
            if outcome.never_ran and started:  # contradictory responses: it may have run
                outcome = Outcome.ERROR
            elif outcome.never_ran or head.status == 500:
                attempt.sent_at = None  # the engine has ended it: there is nothing to cancel
            raise AttemptEnded(outcome)
        result = self._read_pages(attempt, conn, head, body)
        work, memory = header_number(head.headers, "x-spent"), header_number(head.headers, "x-wanted")
        raise AttemptEnded(
            Outcome.OK,
            result=result,
            work=None if work is None else work / 1000,
            memory_mb=memory,
            report=parse_load_report(head.headers.get("x-meter"), self.settings.report_fields),
        )

    def _count_unreadable(self, attempt: Attempt, why: Malformed) -> None:
        """Counts an unreadable response. The engine still has the result, so it is requested again.

        Raises AttemptEnded after too many.
        """
        attempt.malformed += 1
        attempt.received_at = time.monotonic()  # it did respond
        if attempt.malformed > MAX_UNREADABLE:
            raise AttemptEnded(Outcome.ERROR) from why

    def _request_parts(self, attempt: Attempt) -> list[bytes]:
        """Returns the request in parts: the head shared by its class, its own headers, and the statement."""
        call, peer = attempt.client_request, attempt.peer
        head = peer.request_heads.get(call.cls)
        if head is None:
            head = peer.request_heads[call.cls] = http1.post_head(
                "/data", host_of(peer), {"X-Queue": self.classes[call.cls]}
            )
        remaining_ms = max(1, int((attempt.until - time.monotonic()) * 1000))
        return [
            head,
            http1.post(call.id, remaining_ms, attempt.priority, call.key, len(call.statement)),
            call.statement,
        ]

    def _reconnect(self, attempt: Attempt) -> Connection:
        """Opens another connection for an attempt in flight. Raises AttemptEnded if the engine is gone."""
        while True:
            if time.monotonic() - attempt.received_at > SILENCE_TIMEOUT:
                raise AttemptEnded(Outcome.RESET)
            time_left(attempt.until)
            try:
                return self.pools.acquire(attempt.peer, attempt.until, fresh=True)
            except Refused as why:
                if self._process_ended(attempt, why):
                    attempt.sent_at = None  # the query has ended with its process
                    raise AttemptEnded(Outcome.RESET) from None
                self.hub.sleep(0.02)

    @staticmethod
    def _process_ended(attempt: Attempt, why: Refused) -> bool:
        """Whether the engine's process has ended. A refusal alone may come from a full backlog while the
        query goes on; if the process has ended, all its connections have broken too."""
        peer = attempt.peer
        return str(why) == "ECONNREFUSED" and peer.lost_at >= attempt.received_at and not peer.idle

    def _send_call(self, attempt: Attempt, conn: Connection, method: str, path: str) -> None:
        if not conn.is_idle():  # unexpected data after the last response, or end of stream
            if conn.open and conn.peer_closed():
                attempt.peer.lost_at = time.monotonic()
            self.pools.check_unexpected(conn)
            data = unread_bytes(conn) if conn.open else b""
            self.pools.close(conn)
            raise UnexpectedData(data) if data else Lost
        try:
            conn.write(
                http1.request(method, path, host_of(attempt.peer), {}),
                min(attempt.until, time.monotonic() + WRITE_TIMEOUT),
            )
            attempt.sent_at, attempt.unanswered = time.monotonic(), conn
        except (Closed, TimedOut) as why:
            self._log_lost(attempt, why)
            if isinstance(why, Closed):
                attempt.peer.lost_at = time.monotonic()
            self.pools.abort(conn)
            time_left(attempt.until)
            raise Lost from None
        except BaseException:
            self.pools.abort(conn)
            raise

    def _receive(self, attempt: Attempt, conn: Connection, page: int = 0) -> tuple[http1.Head, bytes]:
        """Reads the response to the last call. Withdraws the call and raises Lost if none arrives in time.

        An interrupt, or the end of the attempt's time, leaves the call unanswered.
        """
        try:
            head, body = read_response(conn, min(attempt.until, time.monotonic() + RESPONSE_TIMEOUT))
            if head.status == 200:
                http1.check_page(head, body, page)
                self._check_end(attempt, conn, page, body)
            elif head.status not in ERROR_STATUSES[page > 0]:  # the response to another kind of call
                raise Malformed(f"status {head.status}")
        except (Closed, TimedOut, Malformed) as why:
            self._log_lost(attempt, why)
            if isinstance(why, TimedOut):
                time_left(attempt.until)
            elif isinstance(why, Closed):
                attempt.peer.lost_at = time.monotonic()
            self.withdraw(attempt)
            time_left(attempt.until)
            if isinstance(why, Malformed):
                self._count_unreadable(attempt, why)
                if isinstance(why, http1.BadStatusLine):
                    raise UnexpectedData(why.data, counted=True) from None
            raise Lost from None
        attempt.unanswered = None
        attempt.received_at = time.monotonic()
        if head.status in QUERY_STATUSES:
            attempt.confirmed = True
        return head, body

    def _check_end(self, attempt: Attempt, conn: Connection, page: int, body: bytes) -> None:
        """Raises Malformed if the bytes behind a page leave it in doubt whether it is whole."""
        if data := bytes_behind(conn):
            self.pools.check_unexpected(conn)
            check_trailing(attempt, page, body, data)
            self.pools.close(conn)

    def _log_lost(self, attempt: Attempt, why: Exception) -> None:
        self.hub.events.event(
            "engine_connection_lost",
            id=attempt.client_request.id,
            engine=attempt.peer.engine,
            reason=str(why) or type(why).__name__,
        )

    def _read_abandoned(self, peer: Peer, conn: Connection) -> None:
        """Reads a response that nobody waits for, so that its connection can be used again."""
        try:
            head = read_response(conn, time.monotonic() + WRITE_TIMEOUT)[0]
        except (Closed, TimedOut, Malformed):
            self.pools.close(conn)
            return
        self.calls.return_connection(peer, conn, head)

    def _post_note(self, attempt: Attempt, head: http1.Head) -> float | None:
        """Posts a progress note; returns the share done if the note reports that."""
        kind, amount = NOTE_KINDS.get(head.headers.get("x-remark", "")), header_number(head.headers, "x-num")
        if kind is None or amount is None:
            return None
        self.post(AttemptNoted(attempt, kind, amount))
        if kind is NoteKind.WAITS:
            attempt.state = (time.monotonic(), 0.0)  # the query is waiting: progress counts from here
        return amount if kind is NoteKind.PROGRESS else None

    def _pause(self, attempt: Attempt, conn: Connection, head: http1.Head, share: float | None) -> Connection:
        """Polls a long query less often: waits for a share of its estimated remaining time."""
        if not share:
            return conn
        now = time.monotonic()
        since, before = attempt.state or (attempt.began_at, 0.0)
        attempt.state = (now, share)
        if share <= before:
            return conn
        limit = MAX_LOAD_PAUSE if self.settings.classes[attempt.client_request.cls].is_load else MAX_PAUSE
        pause = min(limit, PAUSE_SHARE * (now - since) * (1 - share) / (share - before), attempt.until - now)
        if pause < MIN_PAUSE:
            return conn
        self.calls.return_connection(attempt.peer, conn, head)
        self.hub.sleep(pause)
        try:
            return self.pools.acquire(attempt.peer, attempt.until)
        except Refused:
            raise Lost from None

    def _read_pages(self, attempt: Attempt, conn: Connection, head: http1.Head, body: bytes) -> Result:
        """Reads all pages in order; the attempt fails if one is missing.

        A page is read again if rows turn up behind it later, also in front of the next response on its
        connection: its length may have left them out.
        """
        count, parts, size = http1.page_count(head), [body], len(body)
        while len(parts) < count:
            try:
                if conn is None:
                    conn = self._reconnect(attempt)
                self._send_call(attempt, conn, "GET", f"/data/{attempt.client_request.id}/{len(parts)}")
                head, body = self._receive(attempt, conn, len(parts))
            except UnexpectedData as why:
                conn = None
                try:
                    check_trailing(attempt, len(parts) - 1, parts[-1], why.data)
                except Malformed as doubt:
                    if not why.counted:
                        self._count_unreadable(attempt, doubt)
                    size -= len(parts.pop())
                continue
            except Lost:
                conn = None
                continue
            size += len(body)
            if head.status != 200 or size > MAX_RESULT:
                self.calls.return_connection(attempt.peer, conn, head)
                raise AttemptEnded(Outcome.ERROR)
            parts.append(body)
        self.calls.return_connection(attempt.peer, conn, head)
        return Result("text", tuple(parts))

    def _stop_at_engine(self, attempt: Attempt) -> None:
        """Sends DELETE until it is proven that the query has ended and cannot begin any more."""
        if attempt.unanswered is not None and attempt.unanswered.mid_message:
            self.withdraw(attempt)  # the rest of its response could not be told from the next one
        withdraw_at = time.monotonic() + WITHDRAW_DELAY
        timer = self.hub.timers.at(withdraw_at, self.withdraw, attempt)
        try:
            while not self._delete(attempt, withdraw_at):
                pass
        finally:
            timer.cancel()
        conn, attempt.unanswered = attempt.unanswered, None
        if conn is not None:
            self.hub.spawn(self._read_abandoned, attempt.peer, conn, name="drain")

    def _delete(self, attempt: Attempt, withdraw_at: float) -> bool:
        """Sends one DELETE; returns whether the query has ended: the engine has confirmed it, its process has
        ended, or it must have dropped the query.

        A DELETE proves nothing while the request may still be on its way: it may be received before it.
        """
        on_its_way = attempt.unanswered is not None and not attempt.confirmed
        until = time.monotonic() + DELETE_TIMEOUT
        try:
            path = f"/data/{attempt.client_request.id}"
            self.calls.call(attempt.peer, "DELETE", path, until, valid=ACK_STATUSES)
            if on_its_way:
                self._await_receipt(attempt, withdraw_at)
            return not on_its_way
        except Refused as why:
            if self._process_ended(attempt, why):
                return True
        except (Closed, TimedOut, Malformed):
            pass
        wait = attempt.sent_at + QUERY_DROPPED_AFTER - time.monotonic()
        if wait > 0:
            self.hub.sleep(min(wait, DELETE_INTERVAL))
        return wait <= 0

    def _await_receipt(self, attempt: Attempt, until: float) -> None:
        """Waits for the response to the request, which shows that the engine has received it; withdraws the
        request if none arrives in time."""
        conn = attempt.unanswered
        if conn is None:
            return
        try:
            head = read_response(conn, until)[0]
        except (Closed, TimedOut, Malformed):
            self.withdraw(attempt)
            return
        attempt.unanswered, attempt.confirmed = None, True
        self.calls.return_connection(attempt.peer, conn, head)

    # ---- single calls ---------------------------------------------------------------------------------

    def _send_priority(self, attempt: Attempt, priority: int) -> None:
        if attempt.sent_at is None or attempt.cancelled:
            return  # its request will carry the priority, or it is no longer wanted
        try:
            self.calls.call(
                attempt.peer,
                "PUT",
                f"/data/{attempt.client_request.id}",
                time.monotonic() + PROBE_TIMEOUT,
                str(priority).encode(),
                ACK_STATUSES,
            )
        except (Refused, Closed, TimedOut, Malformed):
            pass  # the attempt keeps its priority

    def _probe(self, peer: Peer) -> None:
        began, outcome, report = time.monotonic(), Outcome.ERROR, None
        try:
            head = self.calls.call(peer, "GET", "/stats", began + PROBE_TIMEOUT)
            outcome = {200: Outcome.OK, 503: Outcome.FULL}.get(head.status, Outcome.ERROR)
            report = parse_load_report(head.headers.get("x-meter"), self.settings.report_fields)
        except Refused as why:
            outcome = Outcome.OK if why.exhausted else Outcome.CONNECT_FAILED
        except TimedOut:
            outcome = Outcome.TIMEOUT
        except Closed:
            outcome = Outcome.RESET
        except Malformed:
            pass
        self.post(ProbeFinished(peer, outcome, time.monotonic() - began, report))
