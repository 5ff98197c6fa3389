"""Connects to discovery when some connections are established late or never, or file descriptors run out.

A dial times out after CONNECT_TIMEOUT. One that has not succeeded after SECOND_DIAL_DELAY gets a second one
in parallel, and the first to succeed is kept. So a late connection (up to 1.5 s) is waited for, a lost one
costs SECOND_DIAL_DELAY, and there are never more than two dials, however long discovery is down. While there
is no connection, one descriptor is reserved for the next dial: clients and engines may use up all others.
"""

from __future__ import annotations

import contextlib
import os
import time

from ..net.conn import Connection
from ..net.connecting import Refused, connect
from ..net.hub import Closed, Hub, Queue, TimedOut

CONNECT_TIMEOUT = 1.6  # seconds; the slowest successful connection takes 1.5
SECOND_DIAL_DELAY = 0.5  # seconds


class Dialer:
    """Establishes one connection at a time, with up to two parallel dials and a reserved file descriptor."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self._reserved_fd: int | None = None

    def reserve(self) -> None:
        """Reserve a descriptor if one is free; directly after a close there is one."""
        if self._reserved_fd is None:
            with contextlib.suppress(OSError):
                self._reserved_fd = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def release(self) -> None:
        """Close the reserved descriptor."""
        if self._reserved_fd is not None:
            reserved_fd, self._reserved_fd = self._reserved_fd, None
            os.close(reserved_fd)

    def dial(self, address: tuple[str, int]) -> Connection:
        """Return a connection within SECOND_DIAL_DELAY + CONNECT_TIMEOUT seconds, or raise Refused.

        The other dial is closed. Raises whatever interrupts the calling task (Closed).
        """
        results, tasks, finished = Queue(self.hub), [], False

        def connect_once() -> None:
            self.release()  # for the socket of this dial; no other task runs in between
            try:
                result = connect(self.hub, address, time.monotonic() + CONNECT_TIMEOUT)
            except Refused as why:
                result = why
                if not finished:
                    self.reserve()
            except Exception as why:  # an error of the operating system must not end the watch
                result = Refused(str(why))
            if not finished:
                results.put(result)
            elif isinstance(result, Connection):
                result.close()

        try:
            tasks.append(self.hub.spawn(connect_once, name="dial"))
            try:
                result = results.get(SECOND_DIAL_DELAY)
            except TimedOut:
                tasks.append(self.hub.spawn(connect_once, name="dial"))
                result = results.get()
                if isinstance(result, Refused):
                    result = results.get()
            if isinstance(result, Refused):
                raise result
            self.release()
            return result
        finally:
            finished = True
            for task in tasks:
                task.interrupt(Closed("no longer needed"))
            for leftover in results.items:
                if isinstance(leftover, Connection):
                    leftover.close()
