"""Wall clock time for logs: the timestamp of each line, and an event for each step of the clock."""

from __future__ import annotations

import time

from .hub import Hub

CHECK_INTERVAL = 1.0  # seconds between two checks
MIN_STEP = 0.05  # seconds of change against the monotonic clock that count as a step; slewing is slower


class Timestamps:
    """Formats the current UTC time with milliseconds; the text of each second is cached."""

    def __init__(self) -> None:
        self._second, self._text = -1, ""

    def __call__(self) -> str:
        """Returns the current time."""
        milliseconds = time.time_ns() // 1_000_000
        second = milliseconds // 1000
        if second != self._second:
            self._second, self._text = second, time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        return f"{self._text}.{milliseconds % 1000:03d}Z"


def watch_wall_clock(hub: Hub) -> None:
    """Task body: logs each step of the wall clock."""
    offset = time.time() - time.monotonic()
    while True:
        hub.sleep(CHECK_INTERVAL)
        now = time.time() - time.monotonic()
        if abs(now - offset) >= MIN_STEP:
            hub.events.event("wall_clock_stepped", by=now - offset)
        offset = now
