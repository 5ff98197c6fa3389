"""Reads HTTP responses from the connection to an engine, bounded in time and size, and what they prove."""

from __future__ import annotations

import contextlib

from ..api import Outcome
from ..core.books import Attempt
from ..net.conn import Connection
from ..net.hub import Closed
from ..wire import Malformed, http1

MAX_EXTRA = 8  # 1xx responses before the final one, and trailer lines after the last chunk


def read_response(conn: Connection, until: float) -> tuple[http1.Head, bytes]:
    """Reads the final response to a call: head and body. `conn.mid_message` tells whether it has begun.

    Raises Malformed, Closed, or TimedOut at `until`.
    """
    conn.mid_message = False
    for _ in range(MAX_EXTRA):
        head = http1.parse_response_head(conn.read_head(until))
        conn.mid_message = True
        if head.status >= 200:
            break
    else:
        raise Malformed("1xx without end")
    body = _read_chunks(conn, until) if head.chunked else _read_sized(conn, head, until)
    conn.mid_message = False
    return head, body


def bytes_behind(conn: Connection) -> bytes:
    """Returns what lies behind the response that was read last; bytes that arrive later are not seen.

    A read that filled its buffer may have left bytes in the kernel; any other one has emptied the socket.
    """
    if not len(conn.incoming) and not conn.wait_before_read:
        return unread_bytes(conn)
    return conn.incoming.peek(len(conn.incoming))


def unread_bytes(conn: Connection) -> bytes:
    """Returns what is unread on a connection, in the kernel too, as far as one read returns it."""
    if not len(conn.incoming) and conn.peer_closed() is None:
        with contextlib.suppress(Closed):
            conn.fill_at_once()
    return conn.incoming.peek(len(conn.incoming))


def check_trailing(attempt: Attempt, page: int, body: bytes, data: bytes) -> None:
    """Raises Malformed if `data`, found behind a page, may be rows that its length left out.

    The engine is asked for the page again then. If it gives the same once more, with bytes behind it that
    are no rows, the page is whole.
    """
    trailing = http1.classify_trailing(data)
    if trailing is http1.Trailing.FOREIGN:
        return
    if trailing is http1.Trailing.UNCLEAR and attempt.doubted == (page, body):
        attempt.doubted = None
        attempt.malformed -= 1  # the doubted response was good
        return
    attempt.doubted = (page, body) if trailing is http1.Trailing.UNCLEAR else None
    raise Malformed("bytes behind a page")


def error_outcome(head: http1.Head) -> Outcome:
    """Returns the outcome of an error response; only X-Shed proves that nothing ran."""
    shed = head.headers.get("x-shed") == "1"
    if head.status == 504:
        return Outcome.NOT_STARTED if shed else Outcome.TIMEOUT
    return Outcome.FULL if head.status == 503 and shed else Outcome.ERROR


def _read_sized(conn: Connection, head: http1.Head, until: float) -> bytes:
    length = head.length
    if length is None:
        raise Malformed("no length")
    return conn.read(length, until)


def _read_chunks(conn: Connection, until: float) -> bytes:
    body = bytearray()
    while count := http1.parse_chunk_size(conn.read_until(b"\r\n", until)):
        if len(body) + count > http1.MAX_BODY_SIZE:
            raise Malformed("body too long")
        body += conn.read(count, until)
        if conn.read(2, until) != b"\r\n":
            raise Malformed("a chunk longer than it says")
    for _ in range(MAX_EXTRA):
        if conn.read_until(b"\r\n", until) == b"\r\n":
            return bytes(body)
    raise Malformed("trailers without end")
