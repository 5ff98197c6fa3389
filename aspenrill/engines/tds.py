"""Engines that speak TDS: an attempt is one SQLBatch on a connection of its own while it runs."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

from ..api import Outcome
from ..core.books import Attempt, Peer, Probed, Result
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, TimedOut
from ..wire import Malformed, tds
from .base import AFRESH, Engines, Over
from .pool import Pools

ATTEND_FOR = 0.6  # seconds for an Attention to be acknowledged
PROBE_FOR = 1.0
NEVER_RAN = frozenset({10928, 10929, 17809})  # errors that turn a request away unseen: full


def read_packet(conn: Connection, until: float) -> tuple[int, bool, bytes]:
    """Type, whether it ends its message, and content. A wait that is cut short loses nothing of it."""
    conn.wait_for_bytes(tds.HEAD.size, until)
    kind, status, size = tds.packet_head(conn.incoming.peek(tds.HEAD.size))
    if size + tds.HEAD.size > tds.PACKET:
        raise Malformed(f"packet of {size} bytes, larger than agreed")
    conn.wait_for_bytes(tds.HEAD.size + size, until)
    conn.incoming.drop(tds.HEAD.size)
    return kind, bool(status & tds.END_OF_MESSAGE), conn.incoming.pull(size)


def read_tokens(conn: Connection, reader: tds.TokenReader, until: float) -> int | None:
    """The rest of a message into the reader; the kind of its first token."""
    last, first = False, None
    while not last:
        kind, last, data = read_packet(conn, until)
        if kind != tds.REPLY:
            raise Malformed(f"packet of type {kind}")
        if first is None and data:
            first = data[0]
        reader.take(data)
    if not reader.answer.ended:
        raise Malformed("a message without its DONE")
    return first


def logging_in(user: str, app: str) -> Callable[[Connection, float], None]:
    """Opens a session on a new connection: PRELOGIN and LOGIN7, each answered in time."""

    def greet(conn: Connection, until: float) -> None:
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
        reader = tds.TokenReader(tds.PACKET)
        read_tokens(conn, reader, until)
        if reader.answer.error or reader.answer.status & tds.BAD:
            raise Malformed(f"login refused: {reader.answer.error}")

    return greet


class TdsEngines(Engines):
    """Attempts and probes at TDS engines. `most` bounds the bytes of one result."""

    def __init__(self, hub: Hub, pools: Pools, post: Callable[[Any], None], most: int) -> None:
        super().__init__(hub, pools, post)
        self.most = most

    def probe(self, peer: Peer) -> None:
        """Whether it takes a session; one Probed follows."""
        self.hub.spawn(self._probe, peer, name="probe")

    def _carry(self, attempt: Attempt) -> None:
        statement = attempt.call.statement.decode("utf-8")
        conn = self._begin(attempt, lambda: [tds.packets(tds.SQL_BATCH, tds.sql_batch(statement))])
        if conn is None:
            attempt.asked = None  # a session ends with its connection, and its batch with it
            raise Over(Outcome.RESET)
        reader = tds.TokenReader(self.most)
        attempt.state = (conn, reader)
        try:
            first = read_tokens(conn, reader, attempt.until)
        except Closed:
            self._drop(attempt)
            raise Over(Outcome.RESET) from None
        except Malformed:
            self._drop(attempt)
            raise Over(Outcome.ERROR) from None
        attempt.asked = attempt.state = None
        self.pools.give(attempt.peer, conn)
        answer = reader.answer
        if answer.error or answer.status & (tds.BAD | tds.SERVER_ERROR):
            full = first == tds.ERROR and answer.error[0] in NEVER_RAN  # what comes before it has run
            raise Over(Outcome.FULL if full else Outcome.ERROR)
        raise Over(Outcome.OK, result=Result("tds", (), answer.tokens, answer.rows))

    def _drop(self, attempt: Attempt) -> None:
        conn, _ = attempt.state
        attempt.asked = attempt.state = None
        self.pools.drop(conn)

    def _stop(self, attempt: Attempt) -> None:
        """An Attention, acknowledged; else the connection goes, and the session with it."""
        if attempt.state is None:
            return
        conn, reader = attempt.state
        until = time.monotonic() + ATTEND_FOR
        try:
            conn.write(tds.packets(tds.ATTENTION, b""), until)
            while True:
                if reader.answer.ended:
                    reader = tds.TokenReader(self.most)
                read_tokens(conn, reader, until)
                if reader.answer.status & tds.ACKNOWLEDGED:
                    break
            self.pools.give(attempt.peer, conn)
        except (Closed, TimedOut, Malformed):
            self.pools.drop(conn)
        attempt.asked = attempt.state = None

    def _probe(self, peer: Peer) -> None:
        began, outcome = time.monotonic(), Outcome.OK
        for again in range(AFRESH):
            try:
                self.pools.give(peer, self.pools.take(peer, began + PROBE_FOR, fresh=True))
                break
            except Refused as why:
                if why.broken and again < AFRESH - 1:
                    continue
                outcome = Outcome.OK if why.exhausted else Outcome.CONNECT_FAILED
                break
        self.post(Probed(peer, outcome, time.monotonic() - began, None))
