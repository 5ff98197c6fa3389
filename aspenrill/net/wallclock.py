"""The wall clock, for the people on call: the time of a log line, and a line for each step of the clock."""

from __future__ import annotations

import time

from .hub import Hub

LOOK_EVERY = 1.0  # seconds between two looks
LEAST_STEP = 0.05  # seconds between wall and monotonic clock that count as a step; slewing is slower


class Timestamps:
    """Times in UTC with milliseconds, as at the head of log lines. The text of a second is made once."""

    def __init__(self) -> None:
        self._second, self._text = -1, ""

    def __call__(self) -> str:
        """Now."""
        milliseconds = time.time_ns() // 1_000_000
        second = milliseconds // 1000
        if second != self._second:
            self._second, self._text = second, time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        return f"{self._text}.{milliseconds % 1000:03d}Z"


def watch_wall_clock(hub: Hub) -> None:
    """A task's work: one log line for each step."""
    offset = time.time() - time.monotonic()
    while True:
        hub.sleep(LOOK_EVERY)
        now = time.time() - time.monotonic()
        if abs(now - offset) >= LEAST_STEP:
            hub.events.event("wall_clock_stepped", by=now - offset)
        offset = now
