"""Structured log lines on requests, attempts, connections and clocks: `name key=value ...`.

Their number is bounded, so that a flood costs little and hides nothing else.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MOST_PER_SECOND = 20  # lines of one name; what is beyond is counted, and told with the next line of that name


class EventLog:
    """Writes events through `write`. A flood of one name hides no other, and its cost is bounded."""

    def __init__(
        self,
        write: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
        most: int = MOST_PER_SECOND,
    ) -> None:
        self._write, self._clock, self._most = write, clock, most
        self._windows: dict[str, _Window] = {}

    def event(self, name: str, **fields: object) -> None:
        """One line, unless too many of this name came within a second. Floats are seconds."""
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = _Window()
        now = self._clock()
        if now >= window.ends_at:
            window.ends_at = now + 1.0
            window.written = 0
        if window.written >= self._most:
            window.suppressed += 1
            return
        window.written += 1
        if window.suppressed:
            fields["suppressed"] = window.suppressed
            window.suppressed = 0
        self._tell(name, fields)

    def always(self, name: str, **fields: object) -> None:
        """One line, whatever else came: for what is bounded by itself and must not be missed."""
        self._tell(name, fields)

    def _tell(self, name: str, fields: dict[str, object]) -> None:
        self._write(" ".join([name, *(f"{key}={_text(value)}" for key, value in fields.items())]))


class _Window:
    """What was written of one name in the present second."""

    __slots__ = ("ends_at", "written", "suppressed")

    def __init__(self) -> None:
        self.ends_at, self.written, self.suppressed = 0.0, 0, 0


def _text(value: object) -> str:
    """One word, in quotes where it has spaces."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return f'"{text}"' if " " in text or not text else text
