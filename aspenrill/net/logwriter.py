"""Writes time-stamped log lines to a descriptor without ever blocking on a slow reader."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable

from .wallclock import Timestamps

MAX_BUFFERED = 64 * 1024  # bytes of lines kept while the pipe or disk is full


class LogWriter:
    """Buffers lines that cannot be written at once, up to a limit, and writes them before the next line.

    The number of lines dropped beyond the limit is logged in a line of its own.
    """

    def __init__(self, descriptor: int, timestamp: Callable[[], str] | None = None) -> None:
        self._descriptor, self._timestamp = descriptor, timestamp or Timestamps()
        self._buffered = bytearray()
        self._lost = 0

    def __call__(self, text: str) -> None:
        """Writes one line, or else buffers it or counts it as lost."""
        line = self._line(text)
        if not self._buffered and not self._lost:
            with contextlib.suppress(OSError):
                line = line[os.write(self._descriptor, line) :]
            if not line:
                return
        if self._lost:
            line = self._line(f"log_lines_lost count={self._lost}") + line
        if len(self._buffered) + len(line) > MAX_BUFFERED:
            self.flush()
        if self._buffered and len(self._buffered) + len(line) > MAX_BUFFERED:
            self._lost += 1
            return
        self._buffered += line
        self._lost = 0
        self.flush()

    def _line(self, text: str) -> bytes:
        return f"{self._timestamp()} {text}\n".encode(errors="replace")

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        with contextlib.suppress(OSError):  # a full pipe or disk: the lines stay buffered
            while self._buffered:
                del self._buffered[: os.write(self._descriptor, self._buffered)]
