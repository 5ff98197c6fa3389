"""Counts what the program does, from outside it: nothing in the program knows of it, so off it costs nothing.

`install` wraps the system's calls and a few of the program's own functions, before the program is imported.
The clock then steps with events, not with time, so that the same script gives the same counts.
"""

from __future__ import annotations

import ctypes
import select
import socket
import time
from collections import Counter
from typing import Any

STUCK = 1000  # milliseconds without an event after which time passes after all
STEP = 0.001  # seconds that each look with news counts for

counts: Counter[str] = Counter()


class Clock:
    """Time as steps: the same script sees the same times."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Seconds."""
        return self.now

    def time(self) -> float:
        """Unix seconds, far from any start time that a list could tell."""
        return self.now + 1.7e9


def step_clock(counting: bool) -> Clock:
    """Put the stepping clock in the system's place; idle waits wait for events alone."""
    clock, real = Clock(), select.poll

    class Poll:
        """select.poll, counted. `register` and the like are no calls of the system, but make the next look
        build its table anew."""

        def __init__(self) -> None:
            self.inner, self.changed = real(), False
            self.register = self._changing(self.inner.register)
            self.modify = self._changing(self.inner.modify)
            self.unregister = self._changing(self.inner.unregister)

        def _changing(self, call: Any) -> Any:
            if not counting:
                return call

            def change(*args: Any) -> None:
                counts["registration"] += 1
                call(*args)

            return change

        def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
            """Wait for events, never for a time."""
            if counting:
                counts["poll"] += 1
            found = self.inner.poll(0 if timeout == 0 else STUCK)
            if found:
                clock.now += STEP
            elif timeout:
                clock.now += timeout / 1000  # all wait for a time: it comes, once nothing else does
            return found

    select.poll = Poll
    time.monotonic, time.time = clock.monotonic, clock.time
    return clock


def wrap_sockets() -> None:
    """Count calls on sockets, and the bytes that pass."""

    class Socket(socket.socket):
        """A socket whose calls are counted."""

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


def counted(owner: Any, name: str, what: str, size: Any = None) -> None:
    """Count the calls of a function; `size` of its result and arguments is added where given."""
    inner = getattr(owner, name)

    def call(*args: Any, **more: Any) -> Any:
        result = inner(*args, **more)
        counts[what] += 1 if size is None else size(result, *args)
        return result

    setattr(owner, name, call)


def counted_before(owner: Any, name: str, what: str) -> None:
    """Count the bytes that an inbox gives of a read; what it gives of its ring is counted there."""
    inner = getattr(owner, name)

    def call(self: Any, count: int) -> Any:
        held = bool(self.data)
        result = inner(self, count)
        counts[what] += len(result) if held else 0
        return result

    setattr(owner, name, call)


def wrap_program() -> None:
    """Count tasks, timers, wake-ups, the module's work, and bytes copied from layer to layer."""
    from aspenrill.control import Gateway
    from aspenrill.net import hub, ring, timers
    from aspenrill.wire import http1, thrift

    counted(hub.Hub, "spawn", "task")
    counted(timers.Timers, "at", "timer")
    counted(hub.Hub, "wake", "wake-up")
    counted(Gateway, "handle", "module call")
    counted(Gateway, "handle", "action", lambda result, *_: len(result))
    cancel = timers.Timer.cancel

    def cancelled(self: Any) -> None:
        counts["timer cancelled"] += self.call is not None
        cancel(self)

    timers.Timer.cancel = cancelled
    counted(ring.Ring, "peek", "bytes ring to message", lambda result, *_: len(result))
    try:
        from aspenrill.net import inbox
    except ImportError:
        pass  # a revision without it
    else:
        for name in ("peek", "pull"):
            counted_before(inbox.Inbox, name, "bytes ring to message")
    counted(ring.Ring, "push", "bytes message to ring", lambda result, *_: result)
    for name in ("request", "post", "get"):
        if hasattr(http1, name):
            counted(http1, name, "bytes message to engine", lambda result, *_: len(result))
    if hasattr(thrift, "answer_parts"):
        counted(thrift, "answer_parts", "bytes page to answer", lambda result, *_: len(result[0]))
    if hasattr(thrift, "frame"):
        counted(thrift, "frame", "bytes page to answer", lambda result, *_: len(result))


class Blocks:
    """The counters of allocs.c, where that is loaded."""

    def __init__(self) -> None:
        library = ctypes.CDLL(None)
        self.blocks = ctypes.c_ulonglong.in_dll(library, "bench_blocks")
        self.bytes = ctypes.c_ulonglong.in_dll(library, "bench_bytes")
