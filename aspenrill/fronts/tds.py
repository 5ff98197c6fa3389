"""The TDS front: one request at a time on a connection, cancelled by Attention.

There are no read or write time-outs, as a link may stall at any point, also within a message or an answer.
"""

from __future__ import annotations

import hashlib
import os
import re
import time
import traceback
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ..core.books import ClientLeft, ClientRequest, Failed, Final, Refused, RequestReceived, Result, Served
from ..net.conn import Connection
from ..net.hub import READ, Closed, Hub, Signal
from ..net.partialbytes import PartialMessageBytes
from ..net.turns import Turns
from ..wire import Malformed, tds
from .statements import StatementReader, TooManyLong, is_long

MAX_LOGIN = 16 * 1024  # bytes of a message before the login is complete
MAX_STATEMENT = 256 * 1024  # characters
MAX_MESSAGE = 2 * MAX_STATEMENT + 1024  # bytes
PACKETS_PER_TURN = 32  # packets of one client read before other tasks run
MAX_PARTIAL_BYTES = 8 * MAX_MESSAGE  # bytes of incomplete messages, over all connections
# Error numbers sent to clients.
ERROR_REFUSED = 50001
ERROR_FAILED = 50002
ERROR_UNUSABLE = 50003
ERROR_LOGIN = 18456  # the number SQL Server uses for a failed login
ERROR_UNSUPPORTED = 50004
KEY_COMMENT = re.compile(r"/\*\s*key:\s*([!-)+-~]{1,128})\s*\*/")


@dataclass(frozen=True)
class LoginMapping:
    """Maps a login and application name to a class, tenant and time-out. `*` matches any."""

    user: str
    app: str
    cls: int
    tenant: int
    timeout: float
    key: str = "none"  # where the idempotency key comes from: none, comment or batch

    def matches(self, login: tds.Login) -> bool:
        """Whether the entry applies to the login; names are compared case-insensitively."""
        return (self.user in ("*", login.user.lower())) and (self.app in ("*", login.app.lower()))

    def idempotency(self, login: tds.Login, statement: str) -> str | None:
        """Returns the idempotency key of a statement. Raises ValueError if it needs one and has none."""
        if self.key == "comment":
            found = KEY_COMMENT.search(statement)
            if found is None:
                raise ValueError("no comment of the form /* key: ... */ in the statement")
            return found[1]
        if self.key == "batch":
            text = "\0".join((login.user.lower(), login.app.lower(), statement))
            return hashlib.sha256(text.encode()).hexdigest()[:32]
        return None


class Service:
    """The state shared by all TDS connections."""

    def __init__(
        self, hub: Hub, mappings: Iterable[LoginMapping], post: Callable[[Any], None], name: str
    ) -> None:
        self.hub, self.mappings, self.post, self.name = hub, tuple(mappings), post, name
        self.writing = 0
        self.partial_bytes = PartialMessageBytes(MAX_PARTIAL_BYTES)
        self.turns = Turns(hub)
        self.statements = StatementReader(hub)

    def serve(self, conn: Connection) -> None:
        """Task body: serves a connection from PRELOGIN to its end."""
        Session(self, conn).run()


def result_tokens(result: Result) -> Iterator[bytes]:
    """Yields COLMETADATA and row tokens; a result in text form becomes text columns."""
    if result.form == "tds":
        yield from result.tokens
        return
    rows = [line.split("\t") for line in b"".join(result.pages).decode("utf-8").split("\n")[:-1]]
    width = max(map(len, rows), default=3)
    yield tds.text_columns([f"c{at + 1}" for at in range(width)])
    for row in rows:
        yield tds.text_row([*row, *[None] * (width - len(row))])


class Session:
    """One client connection: one task reads, another one writes an answer."""

    def __init__(self, service: Service, conn: Connection) -> None:
        self.service, self.conn = service, conn
        self.login: tds.Login | None = None
        self.mapping: LoginMapping | None = None
        self.request: ClientRequest | None = None
        self.writing = False  # an answer is being written
        self.attention = False  # the answer being written has been cancelled
        self.closing = False  # no further requests are accepted
        self.write_done = Signal(service.hub)
        self.packets_read = 0  # since other tasks ran
        conn.partial_bytes = service.partial_bytes

    def run(self) -> None:
        """Reads messages until the client closes; a request open at that point is abandoned."""
        try:
            self._log_in()
            while True:
                self._handle_message()
        except Malformed as why:
            self._drain()
            self._send_error(tds.error(ERROR_UNUSABLE, str(why), 20))
        except Closed as why:
            if self.conn.busy or not self.conn.disconnected:
                self.conn.end_reason = self.conn.end_reason or str(why)
            self._drain()
        except Exception:
            self.service.hub.report_error("a TDS connection", traceback.format_exc())
            self._drain()

    def _drain(self) -> None:
        """Stops accepting requests; discards input until the open one is answered or the client closes.

        If the client closes, its request is abandoned. The connection is left to its orderly close.
        """
        conn = self.conn
        self.closing, conn.mid_message, conn.read_stop_reason = True, False, ""
        try:
            while (self.request is not None or self.writing) and not conn.disconnected:
                conn.discard()
                conn.fill(None)  # returns at the latest when the request reaches its deadline
                self.service.hub.yield_now()
        except Closed:
            pass
        conn.discard()
        self._abandon_request()
        while self.writing and conn.open:
            self.write_done.wait(None)  # the writer sets it when it ends

    def _abandon_request(self) -> None:
        """Abandons the open request, whose client has gone or cancelled it."""
        call, self.request = self.request, None
        if call is not None:
            self.conn.busy -= 1
            call.gone = True
            self.conn.unanswered.append(call.id)
            self.service.post(ClientLeft(call))

    # ---- reading --------------------------------------------------------------------------------------

    def _read_message(self, max_size: int = MAX_MESSAGE) -> tuple[int, bytes]:
        """Reads a whole message. Raises Closed, or Malformed if it violates the protocol."""
        body, size, last, kind = bytearray(), 0, False, None
        try:
            while not last:
                self._give_way()
                held = body.__alloc__() if body else 0
                head = tds.parse_packet_header(self.conn.read(tds.PACKET_HEADER.size, None, held))
                self.conn.mid_message = True
                if kind not in (None, head[0]):
                    raise Malformed("a message of two types")
                kind = head[0]
                size += head[2]
                if size > max_size:
                    raise Malformed(f"message of over {max_size} bytes")
                body += self.conn.read(head[2], None, held)
                last = bool(head[1] & tds.END_OF_MESSAGE)
                if not last:
                    self.service.partial_bytes.set_bytes(self.conn, body.__alloc__() if body else 0)
        finally:
            self.service.partial_bytes.release(self.conn)
        if head[1] & tds.IGNORE:
            kind = 0
            body.clear()
        self.conn.mid_message = False
        return kind, bytes(body)

    def _give_way(self) -> None:
        """Lets other tasks run at times: constant input from one client must not starve the others."""
        self.packets_read += 1
        if self.conn.wait_before_read and not len(self.conn.incoming):
            self.packets_read = 0  # the next read waits, and they run
        elif self.packets_read >= self.service.turns.share(PACKETS_PER_TURN):
            self.packets_read = 0
            self.service.turns.give_way()

    def _log_in(self) -> None:
        kind, body = self._read_message(MAX_LOGIN)
        if kind == tds.PRELOGIN:
            tds.read_prelogin(body)
            self.conn.write(tds.packets(tds.REPLY, tds.prelogin()), None)
            kind, body = self._read_message(MAX_LOGIN)
        if kind != tds.LOGIN7:
            raise Malformed("no login")
        login = tds.read_login7(body)
        mapping = next((m for m in self.service.mappings if m.matches(login)), None)
        if mapping is None:
            text = f"login {login.user!r} with application {login.app!r} is not known here"
            self._send_error(tds.error(ERROR_LOGIN, text, 14))
            raise Closed("login refused")
        self.login, self.mapping = login, mapping
        self.conn.received_message, self.conn.last_used_at = True, time.monotonic()
        self.conn.write(tds.packets(tds.REPLY, tds.login_response(login, self.service.name)), None)

    def _handle_message(self) -> None:
        if self.conn.draining:
            self.conn.close_if_idle()
        kind, body = self._read_message()
        self.conn.last_used_at = arrived = time.monotonic()
        if kind == tds.ATTENTION:
            self._handle_attention()
        elif kind == 0:
            pass
        elif self.request is not None or self.writing:
            raise Malformed("a request while another is open")
        elif kind == tds.SQL_BATCH:
            self._handle_batch(tds.read_sql_batch(body), arrived)
        else:
            self._start_answer(
                [
                    tds.error(ERROR_UNSUPPORTED, f"messages of type {kind} are not taken here"),
                    tds.done(tds.DONE_ERROR),
                ]
            )

    def _handle_attention(self) -> None:
        """Handles Attention: abandons the open request or cuts its answer short, and acknowledges once."""
        self._abandon_request()
        if self.writing:
            self.attention = True  # the writer will end its message with the acknowledgement
            self.write_done.wait(None)
        else:
            self._start_answer([tds.done(tds.DONE_ATTENTION)])

    def _handle_batch(self, statement: str, arrived: float) -> None:
        mapping = self.mapping
        try:
            if not statement.strip():
                raise ValueError("no statement")
            if len(statement) > MAX_STATEMENT:
                raise ValueError(f"a statement of over {MAX_STATEMENT} characters")
            key = mapping.idempotency(self.login, statement)
        except ValueError as why:
            self._start_answer([tds.error(ERROR_UNUSABLE, str(why)), tds.done(tds.DONE_ERROR)])
            return
        spent = max(self.service.hub.lag(), arrived - self.conn.received_after)
        time_budget = max(0.0, mapping.timeout - spent)
        try:
            group = self._read_group(statement)
        except TooManyLong:
            self._answer_refused(0.0)
            return
        if is_long(statement) and self._cancelled_meanwhile():
            return
        self.request = ClientRequest(
            os.urandom(8).hex(),
            mapping.cls,
            mapping.tenant,
            statement.encode("utf-8"),
            key,
            group,
            arrived,
            time_budget,
            self._answer,
        )
        self.conn.busy += 1
        self.conn.requests += 1
        self.service.post(RequestReceived(self.request))

    def _read_group(self, statement: str) -> int | None:
        """Returns the table group of a statement. Raises TooManyLong."""
        self.conn.busy += 1  # not to be evicted while a long statement is read
        try:
            return self.service.statements.table_group(statement)
        finally:
            self.conn.busy -= 1

    def _cancelled_meanwhile(self) -> bool:
        """Whether an Attention came while a batch was read, and answers it. Raises Closed if the client has
        closed."""
        conn = self.conn
        if conn.hung_up():
            raise Closed("the client has gone")
        if conn.incoming.free and conn.peer_closed() is None:
            conn.fill_at_once()
        if len(conn.incoming) < tds.PACKET_HEADER.size:
            return False
        if self._read_message()[0] != tds.ATTENTION:
            raise Malformed("a request while another is open")
        self._handle_attention()
        return True

    # ---- writing --------------------------------------------------------------------------------------

    def _answer(self, call: ClientRequest, final: Final) -> None:
        if self.request is not call:
            return  # cancelled and acknowledged already
        self.request = None
        self.conn.busy -= 1
        match final:
            case Served(result):
                try:
                    tokens = list(result_tokens(result))
                except (Malformed, UnicodeDecodeError):
                    self._start_answer(
                        [tds.error(ERROR_FAILED, "the result does not fit"), tds.done(tds.DONE_ERROR)]
                    )
                    return
                rows = result.rows if result.form == "tds" else len(tokens) - 1
                self._start_answer([*tokens, tds.done(rows=rows)])
            case Refused(retry_after):
                self._answer_refused(retry_after)
            case Failed(reason):
                text = "failed, and may have run" + (f": {reason}" if reason else "")
                self._start_answer([tds.error(ERROR_FAILED, text), tds.done(tds.DONE_ERROR)])

    def _answer_refused(self, retry_after: float) -> None:
        later = f"; come back in {round(retry_after * 1000)} ms" if retry_after > 0 else ""
        self._start_answer(
            [
                tds.error(ERROR_REFUSED, f"refused, another try is harmless{later}"),
                tds.done(tds.DONE_ERROR),
            ]
        )

    def _start_answer(self, tokens: list[bytes]) -> None:
        """Starts a task that writes a message. As requests come one at a time, there is at most one."""
        self.writing = True
        self.conn.busy += 1
        self.service.writing += 1
        self.service.hub.spawn(self._write_answer, tokens, name="tds writer")

    def _write_answer(self, tokens: list[bytes]) -> None:
        """Writes the message packet by packet; after an Attention it ends behind a complete token."""
        capacity, buffer, number = self.login.packet_size - tds.PACKET_HEADER.size, bytearray(), 0

        def send(data: bytes, last: bool) -> None:
            nonlocal number
            number += 1
            head = tds.PACKET_HEADER.pack(
                tds.REPLY,
                tds.END_OF_MESSAGE if last else 0,
                tds.PACKET_HEADER.size + len(data),
                0,
                number & 0xFF,
                0,
            )
            self.conn.write_started_at = time.monotonic()
            self.conn.write(head + data, None)

        try:
            for token in tokens:
                if self.attention:
                    break
                buffer += token
                while len(buffer) > capacity:
                    send(bytes(buffer[:capacity]), False)
                    del buffer[:capacity]
            if self.attention:
                buffer += tds.done(tds.DONE_ATTENTION)
                while len(buffer) > capacity:
                    send(bytes(buffer[:capacity]), False)
                    del buffer[:capacity]
            send(bytes(buffer), True)
            acknowledgement_due = self.attention and not bytes(buffer).endswith(tds.done(tds.DONE_ATTENTION))
            if acknowledgement_due:  # the Attention arrived while the last packet was sent
                send(tds.done(tds.DONE_ATTENTION), True)
        except Closed:
            self.conn.disconnected = True
            self.conn.close()  # shows the client that the answer is incomplete
            self._abandon_request()
        finally:
            self.writing = self.attention = False
            self.conn.write_started_at = 0.0
            self.conn.busy -= 1
            self.conn.last_used_at = time.monotonic()
            self.service.writing -= 1
            self.write_done.set()
            if self.closing:
                self.service.hub.end_wait(self.conn.fd, READ, Closed("all is written"))
            elif self.conn.draining:
                self.conn.close_if_idle()

    def _send_error(self, token: bytes) -> None:
        """Sends a final error if it can be sent at once."""
        try:
            self.conn.try_write(tds.packets(tds.REPLY, token + tds.done(tds.DONE_ERROR)))
        except Closed:
            pass
