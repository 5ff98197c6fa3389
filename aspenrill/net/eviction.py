"""Which connection of a listener is missed least, where another needs its place. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from .conn import Connection

MUTE_FOR = 0.1  # seconds after which a connection that has said nothing may have to go
REST_FOR = 4.5  # seconds of silence that usual clients don't reach: they close their connections sooner
STUCK_FOR = 10.0  # seconds for which an answer was not taken by its client


class Standing(IntEnum):
    """How likely a request comes on it, the least likely first."""

    RESTED = 0  # silent for longer than usual clients stay
    MUTE = 1  # has said nothing yet
    NEW = 2
    ASKED_NOTHING = 3  # has spoken, but never sent a request
    QUIET = 4
    UNFINISHED = 5  # half a message has come


def standing(conn: Connection, now: float) -> Standing:
    """Of a connection with nothing open on it."""
    silent = now - conn.used
    if conn.begun and conn.spoke:
        return Standing.UNFINISHED
    if silent > REST_FOR:
        return Standing.RESTED
    if conn.spoke:
        return Standing.QUIET if conn.requests else Standing.ASKED_NOTHING
    return Standing.MUTE if silent > MUTE_FOR else Standing.NEW


def least_missed(connections: Iterable[Connection], now: float) -> Connection | None:
    """Of those with nothing open and nothing unread; None where each may carry a request."""
    best, best_rank = None, (Standing.UNFINISHED + 1, 0.0)
    for conn in connections:
        if conn.shut or conn.busy or len(conn.incoming) and not conn.begun:
            continue
        rank = standing(conn, now), conn.used - now
        if rank < best_rank and conn.ended() is not None:  # else a message lies there
            best, best_rank = conn, rank
    return best


def longest_stuck(connections: Iterable[Connection], now: float) -> Connection | None:
    """The one whose client has not taken an answer for the longest time; None where none is stuck."""
    stuck = [conn for conn in connections if conn.writing_since and now - conn.writing_since >= STUCK_FOR]
    return min(stuck, key=lambda conn: conn.writing_since, default=None)
