"""Connections to engines: kept per engine, closed before the engine would, within a budget of descriptors."""
from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from greenlet import getcurrent

from ..core.books import Peer
from ..net.conn import Connection, Refused, connect
from ..net.hub import Closed, Hub, TimedOut
from ..wire import Malformed

MOST_DIALING = 16  # connections to one engine that come up at a time
SETTLE = 0.02  # seconds after an answer in which more than belongs to it may still come: others go first
AFTER_FAILURE = 0.1  # seconds without another try after one that did not come up


class Pools:
    """Takes and gives back connections; the idle ones lie with their engine's record."""

    def __init__(self, hub: Hub, most: int, idle_for: float, connect_for: float,
                 greet: Callable[[Connection, float], None] | None = None) -> None:
        self.greet = greet  # what a new connection needs before its first request
        self.hub, self.most, self.idle_for, self.connect_for = hub, most, idle_for, connect_for
        self.count = 0
        self.resting: dict[Connection, Peer] = {}  # idle ones, longest idle first
        self._sweeping = False  # a timer is set for the longest idle
        self.waiting: deque = deque()

    def take(self, peer: Peer, until: float, fresh: bool = False, sure: bool = True) -> Connection:
        """An idle connection that is still sound, or a new one; Refused where none comes up in time.

        Idle ones are watched, and go at the first news. `sure` looks once more: news may have come since the
        last look at all descriptors. A request that may run again goes without.
        """
        until = min(until, time.monotonic() + self.connect_for)
        while True:
            while peer.idle and not fresh:
                conn = peer.idle.pop(0 if time.monotonic() < peer.idle[-1].used + SETTLE else -1)
                self.hub.unidle(conn.fd)
                del self.resting[conn]
                if conn.open and (not sure or conn.quiet()):
                    conn.reused = True
                    return conn
                self.drop(conn)
            if peer.dialing < MOST_DIALING:
                break
            if not self._wait(peer.waiting, until):
                raise Refused("no connection in time")
        if time.monotonic() < peer.failed_at + AFTER_FAILURE:
            raise Refused("none came up just now")  # more of them would only lengthen its line
        self._room(until)
        return self._dial(peer, until)

    def _dial(self, peer: Peer, until: float) -> Connection:
        self.count += 1
        peer.dialing += 1
        try:
            conn = connect(self.hub, peer.address, until)
        except BaseException as why:
            self._left()
            if isinstance(why, Refused) and str(why) != "ECONNREFUSED" and not (why.scarce or why.broken):
                peer.failed_at = time.monotonic()
            raise
        finally:
            peer.dialing -= 1
            self._next(peer)
        if self.greet is not None:
            try:
                self.greet(conn, until)
            except (Closed, TimedOut, Malformed) as why:
                self.drop(conn)
                raise Refused(f"no session: {why}", broken=isinstance(why, Closed)) from None
            except BaseException:
                self.drop(conn)
                raise
        return conn

    def give(self, peer: Peer, conn: Connection) -> None:
        """Back after a whole call."""
        if not peer.takes_work or not conn.open or len(conn.incoming) or self.waiting:
            self.drop(conn)
            return
        conn.used = time.monotonic()
        peer.idle.append(conn)
        self._next(peer)
        self.resting[conn] = peer
        self.hub.watch(conn.fd, self._news, peer, conn)
        if not self._sweeping:
            self._sweeping = True
            self.hub.timers.after(self.idle_for, self._sweep)

    def drop(self, conn: Connection) -> None:
        """Close it."""
        if conn.open:
            conn.close()
            self._left()

    def retire(self, peer: Peer) -> None:
        """Close what lies idle: the engine takes no more work, or is another process now."""
        while peer.idle:
            self._tired(peer, peer.idle[-1])

    def _news(self, peer: Peer, conn: Connection) -> None:
        """An idle connection has ended, or brings what nobody asked for."""
        if conn.ended():
            peer.broke_at = time.monotonic()
        self._tired(peer, conn)

    def _tired(self, peer: Peer, conn: Connection) -> None:
        self.hub.unidle(conn.fd)
        peer.idle.remove(conn)
        del self.resting[conn]
        self.drop(conn)

    def _sweep(self) -> None:
        """Close what has been idle for long: one timer serves them all, set for the longest idle."""
        self._sweeping, before = False, time.monotonic() - self.idle_for + 0.001
        while self.resting:
            conn, peer = next(iter(self.resting.items()))
            if conn.used > before:
                self._sweeping = True
                self.hub.timers.after(conn.used - before, self._sweep)
                break
            self._tired(peer, conn)

    def _left(self) -> None:
        self.count -= 1
        if self.waiting:
            self.hub.wake(*self.waiting.popleft())

    def _room(self, until: float) -> None:
        while self.count >= self.most:
            if self.resting:
                conn = next(iter(self.resting))
                self._tired(self.resting[conn], conn)
                continue
            if not self._wait(self.waiting, until):
                raise Refused("no descriptor left for a connection", scarce=True)

    def _wait(self, line: deque, until: float) -> bool:
        """Wait in a line for a turn; False where none comes in time."""
        seconds = until - time.monotonic()
        if seconds <= 0:
            return False
        wait = (getcurrent(), self.hub.begin_wait())
        line.append(wait)
        try:
            self.hub.park(seconds)
        except TimedOut:
            return wait not in line  # a turn that came at the last moment is one
        finally:
            if wait in line:
                line.remove(wait)
        return True

    def _next(self, peer: Peer) -> None:
        """An idle connection, or a turn to dial, for who waits longest."""
        if peer.waiting:
            self.hub.wake(*peer.waiting.popleft())
