"""Chooses the connection to evict when a listener runs out of slots. Does no I/O beyond a peek."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from .conn import Connection

SILENT_AFTER = 0.1  # seconds after which a new connection without a message ranks below fresh ones
IDLE_LONG_AFTER = 4.5  # seconds; well-behaved clients close an idle connection sooner than that
BLOCKED_AFTER = 10.0  # seconds of a blocked write after which the connection may be evicted


class EvictionRank(IntEnum):
    """How likely a request is to arrive on an idle connection, the least likely first."""

    IDLE_LONG = 0  # idle for longer than well-behaved clients stay
    SILENT = 1  # no message received yet
    NEW = 2  # no message received yet, but accepted just now
    NO_REQUESTS = 3  # messages received, but no request
    IDLE = 4  # has carried requests
    PARTIAL_MESSAGE = 5  # a message has been received in part


def eviction_rank(conn: Connection, now: float) -> EvictionRank:
    """Returns the rank of a connection on which nothing is open."""
    idle_s = now - conn.last_used_at
    if conn.mid_message and conn.received_message:
        return EvictionRank.PARTIAL_MESSAGE
    if idle_s > IDLE_LONG_AFTER:
        return EvictionRank.IDLE_LONG
    if conn.received_message:
        return EvictionRank.IDLE if conn.requests else EvictionRank.NO_REQUESTS
    return EvictionRank.SILENT if idle_s > SILENT_AFTER else EvictionRank.NEW


def eviction_candidate(connections: Iterable[Connection], now: float) -> Connection | None:
    """Returns the connection least likely to carry a request, None if each may carry one.

    Only connections with no open request and no unread data are considered.
    """
    best, best_rank = None, (EvictionRank.PARTIAL_MESSAGE + 1, 0.0)
    for conn in connections:
        if conn.write_shut or conn.busy or len(conn.incoming) and not conn.mid_message:
            continue
        rank = eviction_rank(conn, now), conn.last_used_at - now
        if rank < best_rank and conn.peer_closed() is not None:  # None: there is unread data
            best, best_rank = conn, rank
    return best


def longest_blocked(connections: Iterable[Connection], now: float) -> Connection | None:
    """Returns the connection whose write has been blocked longest, None if none exceeds BLOCKED_AFTER."""
    blocked = [
        conn for conn in connections if conn.write_started_at and now - conn.write_started_at >= BLOCKED_AFTER
    ]
    return min(blocked, key=lambda conn: conn.write_started_at, default=None)
