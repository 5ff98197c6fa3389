"""Timers of the hub: heapq with lazy deletion.

The library's `sched` was measured first. Its cancel removes from a list and builds the heap anew, and nearly
every wait here is cancelled. One enter and cancel took 30 us among 300 pending timers, 99 us among 1,000 and
291 us among 3,000; a loaded front end does some thousands of them a second. Here it is about 1 us.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

SWEEP = 512  # timers set between two looks for cancelled ones, which go where they are the most


class Timer:
    """One pending call; `cancel` may be called at any time, also after it has fired."""

    __slots__ = ("call", "args", "timers")

    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...], timers: Timers) -> None:
        self.call: Callable[..., Any] | None = call
        self.args, self.timers = args, timers

    def cancel(self) -> None:
        """Never fire; what the call holds is let go now, the heap's entry in its time or in a sweep."""
        if self.call is not None:
            self.timers.cancelled += 1
            self.call, self.args = None, ()


class Timers:
    """Calls to be made at their times; those of one time in the order in which they were set."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._number = 0
        self.cancelled = 0  # that lie in the heap

    def at(self, due: float, call: Callable[..., Any], *args: Any) -> Timer:
        """Call once the clock has reached `due`."""
        timer = Timer(call, args, self)
        self._number += 1
        heapq.heappush(self._heap, (due, self._number, timer))
        if self._number % SWEEP == 0 and self.cancelled > len(self._heap) // 2:
            self._sweep()
        return timer

    def after(self, delay: float, call: Callable[..., Any], *args: Any) -> Timer:
        """Call once `delay` seconds have passed."""
        return self.at(self.clock() + delay, call, *args)

    def next_due(self) -> float | None:
        """When the earliest live timer is due."""
        heap = self._heap
        while heap and heap[0][2].call is None:
            heapq.heappop(heap)
            self.cancelled -= 1
        return heap[0][0] if heap else None

    def run_due(self) -> None:
        """Make the calls whose time has come; one that they set anew waits for the next round."""
        now, heap, due = self.clock(), self._heap, []
        while heap and heap[0][0] <= now:
            due.append(heapq.heappop(heap)[2])
        for timer in due:
            call, args = timer.call, timer.args
            timer.cancel()
            self.cancelled -= 1  # it lies there no more
            if call is not None:
                call(*args)

    def _sweep(self) -> None:
        """Drop cancelled entries: long time-outs must not pile up behind short waits."""
        self._heap = [entry for entry in self._heap if entry[2].call is not None]
        heapq.heapify(self._heap)
        self.cancelled = 0
