"""Engines that speak HTTP/1.1: an attempt from its first byte to its last page."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ..api import Effect, NoteKind, Outcome, Settings
from ..core.books import Attempt, Noted, Peer, Probed, Result
from ..net.address import show
from ..net.conn import Connection, time_left
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, TimedOut
from ..wire import Malformed, http1
from .base import Engines, Over
from .headers import meter, number
from .pool import Pools

SILENT = 1.5  # seconds for a request to be written
HUSH = 0.8  # seconds without an answer, due after 0.25, until it is asked for anew on another connection
SPOILT = 3  # answers of an attempt that cannot be read, after which it has failed
MOST_AHEAD = 8  # 1xx answers before the one that counts, and lines behind the last chunk
DEAF = 2.2  # seconds without a word at all, after which the attempt is given up
UNASKED = 2.6  # seconds after which an engine has dropped a query that nobody asks for: 2 s after it has
# answered the last call, which it holds for 0.25 s, and may have read late
PROBE_FOR = 1.0
PAUSE, PAUSE_LEAST, PAUSE_MOST = 0.5, 0.06, 1.0  # part of the time left that passes unasked, and its bounds
PAUSE_LOAD = 0.1  # the most for a load: others wait for its end
DELETE_FOR, DELETE_AGAIN = 0.6, 0.2  # seconds for a DELETE, and between two
TRIES = 4  # connections for a call that may be made twice
MOST_RESULT = 48000
ENDS = (202, 500, 503, 504), (500, 503, 504)  # what a query and a page of it are answered with, but for 200
TOLD = 204, 500  # what a DELETE or a PUT is answered with: 500 where the query is not known any more
NOTES = {"frac": NoteKind.PROGRESS, "missing": NoteKind.SPILLS, "parked": NoteKind.WAITS}


class Lost(Exception):
    """A call broke or stayed silent on its connection; the engine may have had it."""


class HttpEngines(Engines):
    """Attempts, cancels, priorities and probes at HTTP engines."""

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

    def rank(self, attempt: Attempt, priority: int) -> None:
        """A new priority for what is out."""
        self.hub.spawn(self._rank, attempt, priority, name="priority")

    def probe(self, peer: Peer) -> None:
        """Ask for its load; one Probed follows."""
        self.hub.spawn(self._probe, peer, name="probe")

    # ---- an attempt -----------------------------------------------------------------------------------

    def _carry(self, attempt: Attempt) -> None:
        conn, begun = self._begin(attempt, lambda: self._post(attempt)), False
        while True:
            try:
                if conn is None:
                    conn = self._again(attempt)
                    self._ask(attempt, conn, "GET", f"/data/{attempt.call.id}/0")
                head, body = self._hear(attempt, conn)
                while head.status == 202:
                    share = self._note(attempt, head)
                    begun = begun or bool(share) or head.headers.get("x-remark") == "missing"
                    conn = self._pause(attempt, conn, head, share)
                    self._ask(attempt, conn, "GET", f"/data/{attempt.call.id}/0")
                    head, body = self._hear(attempt, conn)
            except Lost:
                conn = None
                continue
            break
        if head.status != 200:
            self._back(attempt.peer, conn, head)
            outcome = self._refusal(head)
            if outcome.never_ran and begun:  # the one or the other is not true: it may have run
                outcome = Outcome.ERROR
            elif outcome.never_ran or head.status == 500:
                attempt.asked = None  # its end is written: there is nothing to give up
            raise Over(outcome)
        result = self._pages(attempt, conn, head, body)
        work, memory = number(head.headers, "x-spent"), number(head.headers, "x-wanted")
        raise Over(
            Outcome.OK,
            result=result,
            work=None if work is None else work / 1000,
            memory_mb=memory,
            report=meter(head.headers.get("x-meter"), self.settings.report_fields),
        )

    def _spoilt(self, attempt: Attempt, why: Malformed) -> None:
        """Its answer cannot be read. The engine has it still, and is asked for it again."""
        attempt.spoilt += 1
        attempt.heard = time.monotonic()  # it was not silent
        if attempt.spoilt > SPOILT:
            raise Over(Outcome.ERROR) from None
        raise Lost from why

    def _post(self, attempt: Attempt) -> list[bytes]:
        """The request in parts: what all of a class begin with there, what is its own, and the statement."""
        call, peer = attempt.call, attempt.peer
        head = peer.heads.get(call.cls)
        if head is None:
            head = peer.heads[call.cls] = http1.post_head(
                "/data", self._host(peer), {"X-Queue": self.classes[call.cls]}
            )
        left_ms = max(1, int((attempt.until - time.monotonic()) * 1000))
        return [
            head,
            http1.post(call.id, left_ms, attempt.priority, call.key, len(call.statement)),
            call.statement,
        ]

    def _again(self, attempt: Attempt) -> Connection:
        """Another connection, to ask for what is out there; Over where the engine is dead or deaf."""
        while True:
            if time.monotonic() - attempt.heard > DEAF:
                raise Over(Outcome.RESET)
            time_left(attempt.until)
            try:
                return self.pools.take(attempt.peer, attempt.until, fresh=True)
            except Refused as why:
                if self._gone(attempt, why):
                    attempt.asked = None  # and the query with it
                    raise Over(Outcome.RESET) from None
                self.hub.sleep(0.02)

    @staticmethod
    def _gone(attempt: Attempt, why: Refused) -> bool:
        """Whether its process is. A refusal alone may come of a full table of connections, beside which the
        query goes on; of a process that has ended, all connections have broken too."""
        peer = attempt.peer
        return str(why) == "ECONNREFUSED" and peer.broke_at >= attempt.heard and not peer.idle

    def _host(self, peer: Peer) -> str:
        return show(peer.address)

    def _ask(self, attempt: Attempt, conn: Connection, method: str, path: str) -> None:
        if not conn.is_idle():  # more came than belongs to the last answer, or an end
            if conn.open and conn.peer_closed():
                attempt.peer.broke_at = time.monotonic()
            self.pools.look_at(conn)
            self.pools.drop(conn)
            raise Lost
        try:
            conn.write(
                http1.request(method, path, self._host(attempt.peer), {}),
                min(attempt.until, time.monotonic() + SILENT),
            )
            attempt.asked = time.monotonic()
        except (Closed, TimedOut) as why:
            self._log_lost(attempt, why)
            if isinstance(why, Closed):
                attempt.peer.broke_at = time.monotonic()
            self.pools.drop(conn)
            time_left(attempt.until)
            raise Lost from None
        except BaseException:
            self.pools.drop(conn)
            raise

    def _hear(self, attempt: Attempt, conn: Connection, page: int = 0) -> tuple[http1.Head, bytes]:
        try:
            head, body = self._response(conn, min(attempt.until, time.monotonic() + HUSH))
            if head.status == 200:
                http1.check_page(head, body, page)
            elif head.status not in ENDS[page > 0]:  # the answer to another kind of call
                raise Malformed(f"status {head.status}")
        except (Closed, TimedOut, Malformed) as why:
            self._log_lost(attempt, why)
            if isinstance(why, TimedOut):
                self._leave(attempt.peer, conn)
            else:
                if isinstance(why, Closed):
                    attempt.peer.broke_at = time.monotonic()
                self.pools.drop(conn)
            time_left(attempt.until)
            if isinstance(why, Malformed):
                self._spoilt(attempt, why)
            raise Lost from None
        except BaseException:
            self._leave(attempt.peer, conn)
            raise
        attempt.heard = time.monotonic()
        return head, body

    def _log_lost(self, attempt: Attempt, why: Exception) -> None:
        self.hub.events.event(
            "engine_connection_lost",
            id=attempt.call.id,
            engine=attempt.peer.engine,
            reason=str(why) or type(why).__name__,
        )

    def _leave(self, peer: Peer, conn: Connection) -> None:
        """Nobody waits for its answer any more; once that has come, the connection is good for another."""
        if conn.mid_message:
            self.pools.drop(conn)
        else:
            self.hub.spawn(self._drain, peer, conn, name="drain")

    def _drain(self, peer: Peer, conn: Connection) -> None:
        try:
            head = self._response(conn, time.monotonic() + SILENT)[0]
        except (Closed, TimedOut, Malformed):
            self.pools.drop(conn)
            return
        self._back(peer, conn, head)

    def _response(self, conn: Connection, until: float) -> tuple[http1.Head, bytes]:
        conn.mid_message = False
        for _ in range(MOST_AHEAD):
            head = http1.response_head(conn.read_head(until))
            conn.mid_message = True
            if head.status >= 200:
                break
        else:
            raise Malformed("1xx without end")
        found = head, self._body(conn, head, until)
        conn.mid_message = False
        return found

    def _body(self, conn: Connection, head: http1.Head, until: float) -> bytes:
        if head.chunked:
            parts, size = [], 0
            while count := http1.chunk_size(conn.read_until(b"\r\n", until)):
                size += count
                if size > http1.MOST_BODY:
                    raise Malformed("body too long")
                parts.append(conn.read(count, until))
                if conn.read(2, until) != b"\r\n":
                    raise Malformed("a chunk longer than it says")
            for _ in range(MOST_AHEAD):
                if conn.read_until(b"\r\n", until) == b"\r\n":
                    return b"".join(parts)
            raise Malformed("trailers without end")
        length = head.length
        if length is None:
            raise Malformed("no length")
        return conn.read(length, until)

    def _back(self, peer: Peer, conn: Connection, head: http1.Head) -> None:
        """After a whole answer."""
        if head.stays:
            self.pools.give(peer, conn)
        else:
            self.pools.drop(conn)

    def _note(self, attempt: Attempt, head: http1.Head) -> float | None:
        """Pass a note on; the share done, if that is what it tells."""
        kind, amount = NOTES.get(head.headers.get("x-remark", "")), number(head.headers, "x-num")
        if kind is None or amount is None:
            return None
        self.post(Noted(attempt, kind, amount))
        if kind is NoteKind.WAITS:
            attempt.state = (time.monotonic(), 0.0)  # it gets nowhere: progress counts from here
        return amount if kind is NoteKind.PROGRESS else None

    def _pause(self, attempt: Attempt, conn: Connection, head: http1.Head, share: float | None) -> Connection:
        """Ask a long query less often: not before a part of what its note leaves has passed."""
        if not share:
            return conn
        now = time.monotonic()
        since, before = attempt.state or (attempt.began, 0.0)
        attempt.state = (now, share)
        if share <= before:
            return conn
        most = PAUSE_LOAD if self.settings.classes[attempt.call.cls].is_load else PAUSE_MOST
        pause = min(most, PAUSE * (now - since) * (1 - share) / (share - before), attempt.until - now)
        if pause < PAUSE_LEAST:
            return conn
        self._back(attempt.peer, conn, head)
        self.hub.sleep(pause)
        try:
            return self.pools.take(attempt.peer, attempt.until)
        except Refused:
            raise Lost from None

    def _refusal(self, head: http1.Head) -> Outcome:
        """What a bad end proves: only with X-Shed did nothing run."""
        shed = head.headers.get("x-shed") == "1"
        if head.status == 504:
            return Outcome.MOOT if shed else Outcome.TIMEOUT
        return Outcome.FULL if head.status == 503 and shed else Outcome.ERROR

    def _pages(self, attempt: Attempt, conn: Connection, head: http1.Head, body: bytes) -> Result:
        """All pages, whole and in order, or the attempt has failed."""
        count, parts, size = http1.pages(head), [body], len(body)
        while len(parts) < count:
            try:
                if conn is None:
                    conn = self._again(attempt)
                self._ask(attempt, conn, "GET", f"/data/{attempt.call.id}/{len(parts)}")
                head, body = self._hear(attempt, conn, len(parts))
            except Lost:
                conn = None
                continue
            size += len(body)
            if head.status != 200 or size > MOST_RESULT:
                self._back(attempt.peer, conn, head)
                raise Over(Outcome.ERROR)
            parts.append(body)
        self._back(attempt.peer, conn, head)
        return Result("text", tuple(parts))

    def _stop(self, attempt: Attempt) -> None:
        """Told so, or dead, or unasked for long enough."""
        gone_at = attempt.asked + UNASKED
        while True:
            try:
                self._one(
                    attempt.peer,
                    "DELETE",
                    f"/data/{attempt.call.id}",
                    time.monotonic() + DELETE_FOR,
                    ends=TOLD,
                )
                return
            except Refused as why:
                if self._gone(attempt, why):
                    return
            except (Closed, TimedOut, Malformed):
                pass
            wait = gone_at - time.monotonic()
            if wait <= 0:
                return
            self.hub.sleep(min(wait, DELETE_AGAIN))

    # ---- single calls ---------------------------------------------------------------------------------

    def _one(
        self, peer: Peer, method: str, path: str, until: float, body: bytes = b"", ends: tuple[int, ...] = ()
    ) -> http1.Head:
        """A call that does no harm if made twice: again on a new connection where one breaks or is spoilt, or
        brings the answer to another call, which is none of `ends`."""
        for again in range(TRIES):
            try:
                conn = self.pools.take(peer, until, fresh=again > 0)
            except Refused as why:
                if why.broken and again < TRIES - 1:
                    continue
                raise
            try:
                conn.write(http1.request(method, path, self._host(peer), {}, body), until)
                head = self._response(conn, until)[0]
                if ends and head.status not in ends:
                    raise Malformed(f"status {head.status}")
            except (Closed, Malformed):
                self.pools.drop(conn)
                if again == TRIES - 1:
                    raise
                continue
            except BaseException:
                self.pools.drop(conn)
                raise
            self._back(peer, conn, head)
            return head

    def _rank(self, attempt: Attempt, priority: int) -> None:
        if attempt.asked is None or attempt.cancelled:
            return  # its request will say so, or nobody cares any more
        try:
            self._one(
                attempt.peer,
                "PUT",
                f"/data/{attempt.call.id}",
                time.monotonic() + PROBE_FOR,
                str(priority).encode(),
                TOLD,
            )
        except (Refused, Closed, TimedOut, Malformed):
            pass  # it keeps the priority it has

    def _probe(self, peer: Peer) -> None:
        began, outcome, report = time.monotonic(), Outcome.ERROR, None
        try:
            head = self._one(peer, "GET", "/stats", began + PROBE_FOR)
            outcome = {200: Outcome.OK, 503: Outcome.FULL}.get(head.status, Outcome.ERROR)
            report = meter(head.headers.get("x-meter"), self.settings.report_fields)
        except Refused as why:
            outcome = Outcome.OK if why.exhausted else Outcome.CONNECT_FAILED
        except TimedOut:
            outcome = Outcome.TIMEOUT
        except Closed:
            outcome = Outcome.RESET
        except Malformed:
            pass
        self.post(Probed(peer, outcome, time.monotonic() - began, report))
