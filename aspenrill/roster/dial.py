"""A connection to discovery although some come up late and some never, and although descriptors run out.

A dial ends after CONNECT_FOR; one that is not up after BESIDE gets a second beside it, and the first to come
up is kept. So one that comes up late (up to 1.5 s) is waited for, one that never does costs BESIDE, and there
are never more than two, however long discovery is down. While none is up one descriptor is kept back, and a
dial has it: clients and engines may hold all others.
"""

from __future__ import annotations

import contextlib
import os
import time

from ..net.conn import Connection
from ..net.connecting import Refused, connect
from ..net.hub import Closed, Hub, Queue, TimedOut

CONNECT_FOR = 1.6  # seconds; the latest connection that does come up takes 1.5
BESIDE = 0.5  # seconds after which a second dial begins


class Dialer:
    """Dials for one task at a time."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self._spare: int | None = None

    def reserve(self) -> None:
        """Keep a descriptor back, where one is left; at once when one has been closed it is."""
        if self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def release(self) -> None:
        """Let it go."""
        if self._spare is not None:
            spare, self._spare = self._spare, None
            os.close(spare)

    def up(self, address: tuple[str, int]) -> Connection:
        """A connection within BESIDE + CONNECT_FOR seconds, or Refused; nothing else of it stays open.

        Raises what interrupts the calling task (Closed).
        """
        came, tasks, over = Queue(self.hub), [], False

        def one() -> None:
            self.release()  # the socket of this dial takes its place: nobody runs in between
            try:
                end = connect(self.hub, address, time.monotonic() + CONNECT_FOR)
            except Refused as why:
                end = why
                if not over:
                    self.reserve()
            except Exception as why:  # what the system says of a socket is no reason to stop for good
                end = Refused(str(why))
            if not over:
                came.put(end)
            elif isinstance(end, Connection):
                end.close()

        try:
            tasks.append(self.hub.spawn(one, name="dial"))
            try:
                end = came.get(BESIDE)
            except TimedOut:
                tasks.append(self.hub.spawn(one, name="dial"))
                end = came.get()
                if isinstance(end, Refused):
                    end = came.get()
            if isinstance(end, Refused):
                raise end
            self.release()
            return end
        finally:
            over = True
            for task in tasks:
                task.interrupt(Closed("no longer wanted"))
            for left in came.items:
                if isinstance(left, Connection):
                    left.close()
