"""The wall clock, for the people on call: the time of a log line, and a line for each step of the clock."""

from __future__ import annotations

import time
from datetime import UTC, datetime

from .hub import Hub

LOOK_EVERY = 1.0  # seconds between two looks
LEAST_STEP = 0.05  # seconds between wall and monotonic clock that count as a step; slewing is slower


def timestamp() -> str:
    """Now in UTC with milliseconds, as at the head of a log line."""
    now = datetime.fromtimestamp(time.time(), UTC)
    return now.strftime("%Y-%m-%dT%H:%M:%S.") + f"{now.microsecond // 1000:03d}Z"


def watch_wall_clock(hub: Hub) -> None:
    """A task's work: one log line for each step."""
    offset = time.time() - time.monotonic()
    while True:
        hub.sleep(LOOK_EVERY)
        now = time.time() - time.monotonic()
        if abs(now - offset) >= LEAST_STEP:
            hub.events.event("wall_clock_stepped", by=now - offset)
        offset = now
