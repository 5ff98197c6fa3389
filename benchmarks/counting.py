"""Instrumentation of the program from outside: it has no hooks, so it costs nothing when not in use.

`wrap_sockets` wraps the socket calls before the program is imported; `wrap_program` wraps some of the
program's own functions. `install_stepped_clock` replaces the clock by one that advances with events and not
with real time, so that the same script of requests gives the same counts.
"""

from __future__ import annotations

import ctypes
import select
import socket
import time
from collections import Counter
from typing import Any

IDLE_POLL_MS = 1000  # milliseconds that a poll waits in real time before the clock skips to its timeout
CLOCK_STEP_S = 0.001  # seconds that the clock advances with each poll that returns events

counts: Counter[str] = Counter()


class SteppedClock:
    """A clock that is advanced by hand, so that each run of a script has the same times."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Replaces time.monotonic: seconds."""
        return self.now

    def time(self) -> float:
        """Replaces time.time: Unix seconds, far from any start time in a list of engines."""
        return self.now + 1.7e9


def install_stepped_clock(counting: bool) -> SteppedClock:
    """Replace the system's clock and select.poll; a poll waits for events, and its timeout is simulated."""
    clock, system_poll = SteppedClock(), select.poll

    class Poll:
        """Replaces select.poll and counts its calls.

        `register`, `modify` and `unregister` are no system calls, but the next poll rebuilds its table.
        """

        def __init__(self) -> None:
            self.poller, self.changed = system_poll(), False
            self.register = self._counted_change(self.poller.register)
            self.modify = self._counted_change(self.poller.modify)
            self.unregister = self._counted_change(self.poller.unregister)

        def _counted_change(self, call: Any) -> Any:
            if not counting:
                return call

            def register_change(*args: Any) -> None:
                counts["registration"] += 1
                call(*args)

            return register_change

        def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
            """Wait for events; without any, advance the clock by the timeout."""
            if counting:
                counts["poll"] += 1
            events = self.poller.poll(0 if timeout == 0 else IDLE_POLL_MS)
            if events:
                clock.now += CLOCK_STEP_S
            elif timeout:
                clock.now += timeout / 1000  # only timers are left: skip to the next one
            return events

    select.poll = Poll
    time.monotonic, time.time = clock.monotonic, clock.time
    return clock


def wrap_sockets() -> None:
    """Replace socket.socket by a subclass that counts calls and transferred bytes."""

    class Socket(socket.socket):
        """A socket that counts its calls and bytes."""

        __slots__ = ()

        def recv_into(self, *args: Any) -> int:
            counts["recv"] += 1
            size = super().recv_into(*args)
            counts["bytes socket to ring"] += size
            return size

        def recv(self, size: int, flags: int = 0) -> bytes:
            counts["peek" if flags & socket.MSG_PEEK else "recv"] += 1
            data = super().recv(size, flags)
            if not flags & socket.MSG_PEEK:
                counts["bytes socket to ring"] += len(data)
            return data

        def send(self, data: Any, *args: Any) -> int:
            counts["send"] += 1
            size = super().send(data, *args)
            counts["bytes to socket"] += size
            return size

        def sendmsg(self, *args: Any) -> int:
            counts["send"] += 1
            size = super().sendmsg(*args)
            counts["bytes to socket"] += size
            return size

        def accept(self) -> Any:
            counts["accept"] += 1
            return super().accept()

        def connect_ex(self, *args: Any) -> int:
            counts["connect"] += 1
            return super().connect_ex(*args)

    socket.socket = Socket


def count_calls(owner: Any, name: str, counter: str, size: Any = None) -> None:
    """Wrap a function of `owner` to add 1 to a counter per call, or size(result, *arguments) if given."""
    original = getattr(owner, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        result = original(*args, **kwargs)
        counts[counter] += 1 if size is None else size(result, *args)
        return result

    setattr(owner, name, call)


def count_buffered_bytes(owner: Any, name: str, counter: str) -> None:
    """Wrap a method of Inbox to count bytes that it takes from its read buffer.

    Bytes that it takes from its ring are counted by the wrapper of the ring.
    """
    original = getattr(owner, name)

    def call(self: Any, count: int) -> Any:
        has_buffer = bool(self.data)
        result = original(self, count)
        counts[counter] += len(result) if has_buffer else 0
        return result

    setattr(owner, name, call)


def wrap_program() -> None:
    """Count tasks, timers, wake-ups, calls of the decision module, and bytes copied between layers."""
    from aspenrill.control import Gateway
    from aspenrill.net import hub, ring, timers
    from aspenrill.wire import http1, thrift

    count_calls(hub.Hub, "spawn", "task")
    count_calls(timers.Timers, "at", "timer")
    count_calls(hub.Hub, "wake", "wake-up")
    count_calls(Gateway, "handle", "module call")
    count_calls(Gateway, "handle", "action", lambda result, *_: len(result))
    original_cancel = timers.Timer.cancel

    def counted_cancel(self: Any) -> None:
        counts["timer cancelled"] += self.call is not None
        original_cancel(self)

    timers.Timer.cancel = counted_cancel
    count_calls(ring.Ring, "peek", "bytes ring to message", lambda result, *_: len(result))
    try:
        from aspenrill.net import inbox
    except ImportError:
        pass  # an earlier revision without this module
    else:
        for name in ("peek", "pull"):
            count_buffered_bytes(inbox.Inbox, name, "bytes ring to message")
    count_calls(ring.Ring, "push", "bytes message to ring", lambda result, *_: result)
    for name in ("request", "post", "get"):
        if hasattr(http1, name):
            count_calls(http1, name, "bytes message to engine", lambda result, *_: len(result))
    if hasattr(thrift, "answer_parts"):
        count_calls(thrift, "answer_parts", "bytes page to answer", lambda result, *_: len(result[0]))
    if hasattr(thrift, "frame"):
        count_calls(thrift, "frame", "bytes page to answer", lambda result, *_: len(result))


class AllocationCounters:
    """The counters of allocs.c, which must be preloaded into this process."""

    def __init__(self) -> None:
        library = ctypes.CDLL(None)
        self.blocks = ctypes.c_ulonglong.in_dll(library, "bench_blocks")
        self.bytes = ctypes.c_ulonglong.in_dll(library, "bench_bytes")
