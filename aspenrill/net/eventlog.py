"""Structured log lines on requests, attempts, connections and clocks: `name key=value ...`.

Lines are rate-limited by event name, so that a frequent event costs little and hides no others.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_PER_SECOND = 20  # lines of one name; the next line after that tells how many were suppressed


class EventLog:
    """Formats events and passes them to `write`, rate-limited by event name."""

    def __init__(
        self,
        write: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
        max_per_second: int = MAX_PER_SECOND,
    ) -> None:
        self._write, self._clock, self._max_per_second = write, clock, max_per_second
        self._windows: dict[str, _Window] = {}

    def event(self, name: str, **fields: object) -> None:
        """Writes one line unless the rate limit of this name is reached. Floats get 3 decimals."""
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = _Window()
        now = self._clock()
        if now >= window.ends_at:
            window.ends_at = now + 1.0
            window.written = 0
        if window.written >= self._max_per_second:
            window.suppressed += 1
            return
        window.written += 1
        if window.suppressed:
            fields["suppressed"] = window.suppressed
            window.suppressed = 0
        self._write_line(name, fields)

    def always(self, name: str, **fields: object) -> None:
        """Writes one line regardless of the rate limit, for rare events that must not be lost."""
        self._write_line(name, fields)

    def _write_line(self, name: str, fields: dict[str, object]) -> None:
        self._write(" ".join([name, *(f"{key}={_text(value)}" for key, value in fields.items())]))


class _Window:
    """Counts the lines of one name in the current second."""

    __slots__ = ("ends_at", "written", "suppressed")

    def __init__(self) -> None:
        self.ends_at, self.written, self.suppressed = 0.0, 0, 0


def _text(value: object) -> str:
    """Formats a value, in quotes if it is empty or contains spaces."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return f'"{text}"' if " " in text or not text else text
