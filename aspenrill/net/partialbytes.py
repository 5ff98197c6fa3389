"""Bounds the buffered bytes of incomplete messages, over all connections of a front.

Slow messages are not timed out. Memory is bounded instead: if the total exceeds the limit, the connection
that has been silent longest is no longer read.
"""

from __future__ import annotations

from typing import Protocol


class PartialReader(Protocol):
    """The part of a connection that PartialMessageBytes uses."""

    busy: int

    def stop_reading(self, reason: str) -> None:
        """Makes the task that reads the connection get Closed with this reason."""


class PartialMessageBytes:
    """Counts the buffered bytes of each connection, least recently updated first."""

    def __init__(self, max_total: int) -> None:
        self.max_total, self.total = max_total, 0
        self._bytes_by_reader: dict[PartialReader, int] = {}

    def set_bytes(self, reader: PartialReader, count: int) -> None:
        """Sets the bytes buffered for a connection; stops reading others if the total exceeds the limit."""
        self.total += count - self._bytes_by_reader.pop(reader, 0)
        self._bytes_by_reader[reader] = count
        while self.total > self.max_total:
            longest = self._longest_silent()
            self.release(longest)
            longest.stop_reading("too many bytes of unfinished messages")

    def release(self, reader: PartialReader) -> None:
        """Removes a connection whose message is complete or which has ended."""
        self.total -= self._bytes_by_reader.pop(reader, 0)

    def _longest_silent(self) -> PartialReader:
        """Prefers connections without open requests: the others are needed for their answers."""
        return next(
            (reader for reader in self._bytes_by_reader if not reader.busy), next(iter(self._bytes_by_reader))
        )
