"""Bounds the memory of incomplete messages, over all connections of a front.

Slow messages are not timed out. Memory is bounded instead: if the total exceeds the limit, a connection is no
longer read. Those that have never sent a whole request go first, those with open requests last, as they are
needed for the answers; among equals the one that holds the most.
"""

from __future__ import annotations

from typing import Protocol


class PartialReader(Protocol):
    """The part of a connection that PartialMessageBytes uses."""

    busy: int  # open requests, and answers that are being written
    requests: int  # requests received so far

    def stop_reading(self, reason: str) -> None:
        """Makes the task that reads the connection get Closed with this reason."""


class PartialMessageBytes:
    """Counts the memory that each connection holds, the one whose message began first in front."""

    def __init__(self, max_total: int) -> None:
        self.max_total, self.total = max_total, 0
        self._bytes_by_reader: dict[PartialReader, int] = {}

    def set_bytes(self, reader: PartialReader, count: int) -> None:
        """Sets the memory that a connection holds; 0: none. Stops reading others if the total is too much."""
        if not count:
            self.release(reader)
            return
        self.total += count - self._bytes_by_reader.get(reader, 0)
        self._bytes_by_reader[reader] = count
        while self.total > self.max_total:
            found = self._first_to_stop()
            self.release(found)
            found.stop_reading("too many bytes of unfinished messages")

    def release(self, reader: PartialReader) -> None:
        """Removes a connection whose message is complete or which has ended."""
        self.total -= self._bytes_by_reader.pop(reader, 0)

    def _first_to_stop(self) -> PartialReader:
        def rank(reader: PartialReader) -> tuple[bool, bool, int]:
            return reader.busy > 0, reader.requests > 0, -self._bytes_by_reader[reader]

        return min(self._bytes_by_reader, key=rank)
