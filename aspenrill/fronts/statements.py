"""Reads the table groups of statements, so that long ones do not hold the event loop.

A short statement is read at once. Of the long ones a front reads one at a time, in slices between which other
tasks run: however many come, a round of the event loop has one slice of one of them. A statement whose turn
does not come in time is refused.
"""

from __future__ import annotations

import time

from ..net.hub import Hub, Signal, TimedOut
from ..wire.sql import table_group

MAX_SHORT = 2048  # characters of a statement that is read at once
SLICE_TIME = 0.001  # seconds of reading after which other tasks run
MAX_WAIT = 0.1  # seconds for the turn of a long statement


class TooManyLong(Exception):
    """Other long statements are being read; this one was not looked at."""


class StatementReader:
    """Reads the statements of all connections of a front."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self._reading = False
        self._released = Signal(hub)
        self._slice_began = 0.0

    def table_group(self, statement: str) -> int | None:
        """Returns the table group of a statement. Raises TooManyLong. Other tasks run if it is long."""
        if not is_long(statement):
            return table_group(statement)
        self._wait_for_turn()
        self._reading, self._slice_began = True, time.monotonic()
        try:
            return table_group(statement, self._pause)
        finally:
            self._reading = False
            self._released.set()

    def _wait_for_turn(self) -> None:
        until = time.monotonic() + MAX_WAIT
        while self._reading:
            try:
                self._released.wait(max(0.0, until - time.monotonic()))
            except TimedOut:
                raise TooManyLong from None

    def _pause(self) -> None:
        if time.monotonic() - self._slice_began > SLICE_TIME:
            self.hub.yield_now()
            self._slice_began = time.monotonic()


def is_long(statement: str | bytes) -> bool:
    """Whether a statement is read in slices."""
    return len(statement) > MAX_SHORT
