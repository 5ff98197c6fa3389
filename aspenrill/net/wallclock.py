"""Notices steps of the machine's wall clock, for the people on call."""

from __future__ import annotations

import time

from .hub import Hub

LOOK_EVERY = 1.0  # seconds between two looks
LEAST_STEP = 0.05  # seconds between wall and monotonic clock that count as a step; slewing is slower


def watch_wall_clock(hub: Hub) -> None:
    """A task's work: one log line for each step."""
    offset = time.time() - time.monotonic()
    while True:
        hub.sleep(LOOK_EVERY)
        now = time.time() - time.monotonic()
        if abs(now - offset) >= LEAST_STEP:
            hub.events.event("wall_clock_stepped", by=now - offset)
        offset = now
