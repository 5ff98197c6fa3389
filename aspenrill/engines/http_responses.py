"""Reads HTTP responses from the connection to an engine, bounded in time and size."""

from __future__ import annotations

from ..net.conn import Connection
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


def _read_sized(conn: Connection, head: http1.Head, until: float) -> bytes:
    length = head.length
    if length is None:
        raise Malformed("no length")
    return conn.read(length, until)


def _read_chunks(conn: Connection, until: float) -> bytes:
    parts, size = [], 0
    while count := http1.parse_chunk_size(conn.read_until(b"\r\n", until)):
        size += count
        if size > http1.MAX_BODY_SIZE:
            raise Malformed("body too long")
        parts.append(conn.read(count, until))
        if conn.read(2, until) != b"\r\n":
            raise Malformed("a chunk longer than it says")
    for _ in range(MAX_EXTRA):
        if conn.read_until(b"\r\n", until) == b"\r\n":
            return b"".join(parts)
    raise Malformed("trailers without end")
