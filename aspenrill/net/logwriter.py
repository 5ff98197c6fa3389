"""Writes log lines to a descriptor, each with its time, and never waits for a reader that stands still."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable

from .wallclock import Timestamps

MOST_HELD = 64 * 1024  # bytes of lines that a full pipe or disk does not take yet


class LogWriter:
    """Lines that are not taken at once are held, up to a bound, and go out before the next one. How many were
    lost beyond it is told by a line of its own."""

    def __init__(self, descriptor: int, stamp: Callable[[], str] | None = None) -> None:
        self._descriptor, self._stamp = descriptor, stamp or Timestamps()
        self._held = bytearray()
        self._lost = 0

    def __call__(self, text: str) -> None:
        """Write one line, or hold or count it."""
        line = self._line(text)
        if not self._held and not self._lost:
            with contextlib.suppress(OSError):
                line = line[os.write(self._descriptor, line) :]
            if not line:
                return
        if self._lost:
            line = self._line(f"log_lines_lost count={self._lost}") + line
        if len(self._held) + len(line) > MOST_HELD:
            self.flush()
        if self._held and len(self._held) + len(line) > MOST_HELD:
            self._lost += 1
            return
        self._held += line
        self._lost = 0
        self.flush()

    def _line(self, text: str) -> bytes:
        return f"{self._stamp()} {text}\n".encode(errors="replace")

    def flush(self) -> None:
        """Pass on what is held, as far as it is taken now."""
        with contextlib.suppress(OSError):  # a full pipe or disk: it stays held
            while self._held:
                del self._held[: os.write(self._descriptor, self._held)]
