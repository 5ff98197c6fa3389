"""TDS engines: an attempt is one SQLBatch, with a connection of its own while it runs."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

from ..api import Outcome
from ..core.books import Attempt, Peer, ProbeFinished, Result
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, TimedOut
from ..wire import Malformed, tds, tds_tokens
from ..wire.session_state import leaves_session_state
from .base import MAX_BROKEN_CONNECTIONS, WITHDRAW_DELAY, AttemptEnded, Engines
from .pool import Pools

ATTENTION_TIMEOUT = 0.6  # seconds for an Attention to be acknowledged
PROBE_TIMEOUT = 1.0  # seconds for a probe
REJECTED_ERRORS = frozenset(
    {10928, 10929, 17809}
)  # error numbers of a full engine, which did not run the request


def read_packet(conn: Connection, until: float) -> tuple[int, bool, bytes]:
    """Reads a packet: type, whether it ends its message, content. An interrupted wait loses no data."""
    conn.wait_for_bytes(tds.PACKET_HEADER.size, until)
    kind, status, size = tds.parse_packet_header(conn.incoming.peek(tds.PACKET_HEADER.size))
    if size + tds.PACKET_HEADER.size > tds.DEFAULT_PACKET_SIZE:
        raise Malformed(f"packet of {size} bytes, larger than agreed")
    conn.wait_for_bytes(tds.PACKET_HEADER.size + size, until)
    conn.incoming.drop(tds.PACKET_HEADER.size)
    return kind, bool(status & tds.END_OF_MESSAGE), conn.incoming.pull(size)


def read_tokens(conn: Connection, reader: tds_tokens.TokenReader, until: float) -> None:
    """Reads the rest of a message into the reader."""
    last = False
    while not last:
        kind, last, data = read_packet(conn, until)
        if kind != tds.REPLY:
            raise Malformed(f"packet of type {kind}")
        reader.feed(data)
    if not reader.answer.ended:
        raise Malformed("a message without its DONE")


def _encode_batch(statement: str, reset: bool) -> bytes:
    return tds.packets(tds.SQL_BATCH, tds.sql_batch(statement), reset=reset)


def login_handshake(user: str, app: str) -> Callable[[Connection, float], None]:
    """Returns the handshake of a new connection: PRELOGIN and LOGIN7."""

    def handshake(conn: Connection, until: float) -> None:
        keepalive = ((socket.SO_KEEPALIVE, 1),)
        for option, value in keepalive:
            conn.sock.setsockopt(socket.SOL_SOCKET, option, value)
        for option, value in ((socket.TCP_KEEPIDLE, 1), (socket.TCP_KEEPINTVL, 1), (socket.TCP_KEEPCNT, 2)):
            conn.sock.setsockopt(socket.IPPROTO_TCP, option, value)
        conn.write(tds.packets(tds.PRELOGIN, tds.prelogin()), until)
        last = False
        body = b""
        while not last:
            _, last, data = read_packet(conn, until)
            body += data
        tds.read_prelogin(body)
        conn.write(tds.packets(tds.LOGIN7, tds.login7(tds.Login(user, app))), until)
        reader = tds_tokens.TokenReader(tds.DEFAULT_PACKET_SIZE)
        read_tokens(conn, reader, until)
        if reader.answer.error or reader.answer.status & tds.DONE_ERROR:
            raise Malformed(f"login refused: {reader.answer.error}")

    return handshake


class TdsEngines(Engines):
    """Runs attempts and probes on TDS engines. `max_result_bytes`: the limit for one result.

    A session serves one batch after another, of any client, and each has to find it as new: a batch on a
    used session resets it first. A session that may keep what a reset leaves, or locks meanwhile, is ended.
    """

    def __init__(self, hub: Hub, pools: Pools, post: Callable[[Any], None], max_result_bytes: int) -> None:
        super().__init__(hub, pools, post)
        self.max_result_bytes = max_result_bytes

    def probe(self, peer: Peer) -> None:
        """Tests whether the engine accepts a session, in a task of its own, which posts one Probed."""
        self.hub.spawn(self._probe, peer, name="probe")

    def _execute(self, attempt: Attempt) -> None:
        statement = attempt.client_request.statement.decode("utf-8")
        conn = self._send_request(attempt, lambda conn: [_encode_batch(statement, conn.reused)])
        if conn is None:
            attempt.sent_at = None  # the session and its batch end with the connection
            raise AttemptEnded(Outcome.RESET)
        reader = tds_tokens.TokenReader(self.max_result_bytes)
        attempt.state = (conn, reader)
        try:
            read_tokens(conn, reader, attempt.until)
        except Closed:
            self._drop_connection(attempt)
            raise AttemptEnded(Outcome.RESET) from None
        except Malformed:
            self._drop_connection(attempt)
            raise AttemptEnded(Outcome.ERROR) from None
        attempt.sent_at = attempt.state = attempt.unanswered = None
        answer = reader.answer
        if answer.transaction_open or leaves_session_state(statement):
            self.pools.close(conn)
        else:
            self.pools.release(attempt.peer, conn)
        if answer.error or answer.status & (tds.DONE_ERROR | tds.DONE_SERVER_ERROR):
            full = (
                answer.first_token == tds.ERROR and answer.error[0] in REJECTED_ERRORS
            )  # anything before the error means that it ran
            raise AttemptEnded(Outcome.FULL if full else Outcome.ERROR)
        raise AttemptEnded(Outcome.OK, result=Result("tds", (), answer.tokens, answer.rows))

    def _drop_connection(self, attempt: Attempt) -> None:
        self.withdraw(attempt)
        attempt.sent_at = attempt.state = None  # the session and its batch end with the connection

    def _stop_at_engine(self, attempt: Attempt) -> None:
        """Sends an Attention, then ends the session: what the batch has left behind is not known. Resets the
        connection if the Attention is not acknowledged.

        Until a byte of its answer has come, the batch may still be on its way: less time is left for that.
        """
        if attempt.state is None:
            return
        conn, reader = attempt.state
        begun = len(conn.incoming) or reader.has_input
        until = time.monotonic() + (ATTENTION_TIMEOUT if begun else WITHDRAW_DELAY)
        try:
            conn.write(tds.packets(tds.ATTENTION, b""), until)
            while True:
                if reader.answer.ended:
                    reader = tds_tokens.TokenReader(self.max_result_bytes)
                read_tokens(conn, reader, until)
                if reader.answer.status & tds.DONE_ATTENTION:
                    break
            attempt.unanswered = None
            self.pools.close(conn)
        except (Closed, TimedOut, Malformed):
            self.withdraw(attempt)
        attempt.sent_at = attempt.state = None

    def _probe(self, peer: Peer) -> None:
        began, outcome = time.monotonic(), Outcome.OK
        for again in range(MAX_BROKEN_CONNECTIONS):
            try:
                self.pools.release(peer, self.pools.acquire(peer, began + PROBE_TIMEOUT, fresh=True))
                break
            except Refused as why:
                if why.broken and again < MAX_BROKEN_CONNECTIONS - 1:
                    continue
                outcome = Outcome.OK if why.exhausted else Outcome.CONNECT_FAILED
                break
        self.post(ProbeFinished(peer, outcome, time.monotonic() - began, None))
