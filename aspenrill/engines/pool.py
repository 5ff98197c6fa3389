"""Connections to engines: pooled by engine, limited in number, closed before the engine's idle time-out."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from greenlet import getcurrent

from ..core.books import Peer
from ..net.conn import Connection
from ..net.connecting import Refused, connect
from ..net.hub import Closed, Hub, Task, TimedOut
from ..wire import Malformed

MAX_DIALS = 16  # connection attempts to one engine at a time
SETTLE_TIME = 0.02  # seconds after a response in which unexpected data may still arrive
UNEXPECTED_DATA_PERIOD = 60.0  # seconds after unexpected data in which more is expected
LATE_DIAL_TIMEOUT = 2.0  # seconds in which a connection attempt may still succeed for later use
CHECK_AGAIN = object()  # wake-up value: check again for a connection or a free slot
FAILURE_BACKOFF = 0.1  # seconds of back-off after a failed connection attempt


class Abandoned(Exception):
    """The connection attempt is no longer wanted."""


@dataclass(eq=False, slots=True)
class Waiter:
    """A task that waits in a queue or for a connection attempt, and for what."""

    peer: Peer
    fresh: bool  # accepts only a new connection
    worker: Any = None
    wait: int = 0
    found: Any = None  # a connection established after the task was woken for another reason


class Pools:
    """Hands out connections and takes them back; idle ones are kept in their engine's Peer."""

    def __init__(
        self,
        hub: Hub,
        max_connections: int,
        idle_for: float,
        connect_for: float,
        handshake: Callable[[Connection, float], None] | None = None,
    ) -> None:
        self.handshake = handshake  # run on each new connection
        self.hub, self.max_connections = hub, max_connections
        self.idle_for, self.connect_for = idle_for, connect_for
        self.count = 0
        self.idle_connections: dict[Connection, Peer] = {}  # idle connections, longest idle first
        self._expiry_timer_set = False  # the timer for the longest idle connection is set
        self.slot_waiters: deque = deque()
        self.reached_at: dict[Peer, float] = {}  # when each active engine was last reached
        self.unexpected_at = -1e9  # when unexpected data last arrived
        self.late_dials: dict[Waiter, Task] = {}  # dials whose task got another connection

    def acquire(self, peer: Peer, until: float, fresh: bool = False, recheck: bool = True) -> Connection:
        """Returns a usable idle connection or a new one. Raises Refused if none is available in time.

        Idle connections are watched and dropped at the first event. `recheck` checks once more, as an event
        may have occurred since the last poll; a request that may run twice does without.
        """
        now, last_queue = time.monotonic(), None
        until, latest = min(until, now + self.connect_for), min(until, now + 2 * self.connect_for)
        while True:
            conn = None if fresh else self._take_idle(peer, recheck, until)
            if conn is not None:
                if last_queue is not None:
                    self._wake_next(peer)  # pass the wake-up on, it was not needed
                return conn
            if peer.connecting >= MAX_DIALS:
                queue = peer.waiting
            elif self.reached_at.get(peer, 0.0) <= peer.failed_at > time.monotonic() - FAILURE_BACKOFF:
                self._wake_next(peer)
                raise Refused("none came up just now")  # more attempts would only lengthen its backlog
            elif self.count < self.max_connections:
                return self._dial(Waiter(peer, fresh), until, latest)
            elif self.idle_connections:
                conn = next(iter(self.idle_connections))
                self._drop_idle(self.idle_connections[conn], conn)
                continue
            else:
                queue = self.slot_waiters
            self._wake_next(peer)  # a wake-up that led to another queue is for the next waiter of this one
            got = self._wait_in_queue(queue, Waiter(peer, fresh), until, queue is last_queue)
            if got is None and queue is self.slot_waiters:
                raise Refused("no descriptor left for a connection", exhausted=True)
            if got is None:
                raise self._unreachable(peer, now)
            last_queue = queue
            if got is not CHECK_AGAIN:
                if self._usable(got, recheck):
                    return got
                self.close(got)

    def _take_idle(self, peer: Peer, recheck: bool, until: float) -> Connection | None:
        """Returns a usable idle connection, preferably the last used of those that have settled."""
        while peer.idle:
            if self.unexpected_recently:
                settled = peer.idle[0].last_used_at + SETTLE_TIME
                if settled > time.monotonic():
                    self._wait_to_settle(peer, min(settled, until))
                    if settled > until:
                        return None
                    continue
            conn = peer.idle.pop(0 if time.monotonic() < peer.idle[-1].last_used_at + SETTLE_TIME else -1)
            self.hub.unwatch_idle(conn.fd)
            del self.idle_connections[conn]
            if self._usable(conn, recheck):
                return conn
            self.close(conn)
        return None

    def _wait_to_settle(self, peer: Peer, until: float) -> None:
        try:
            self.hub.sleep(max(0.0, until - time.monotonic()))
        except BaseException:
            self._wake_next(peer)  # pass the wake-up on
            raise

    def _usable(self, conn: Connection, recheck: bool) -> bool:
        conn.reused = True
        if not conn.open or not (recheck or self.unexpected_recently) or conn.is_idle():
            return conn.open
        self.check_unexpected(conn)
        return False

    @property
    def unexpected_recently(self) -> bool:
        """Whether unexpected data has arrived recently.

        It could be taken for the response to the next call, so each connection is then left idle for
        SETTLE_TIME before it is used again.
        """
        return time.monotonic() < self.unexpected_at + UNEXPECTED_DATA_PERIOD

    def check_unexpected(self, conn: Connection) -> None:
        """Records unexpected data on a connection that became readable between two calls."""
        if conn.open and (len(conn.incoming) or conn.peer_closed() is None):
            self.unexpected_at = time.monotonic()

    def _dial(self, waiter: Waiter, first: float, until: float) -> Connection:
        """Opens a new connection. Raises Refused if that fails or times out.

        A slow dial proves little about an engine that others reach, as a packet may be lost: after `first` a
        second one runs in parallel, for `connect_for` seconds. Both count towards the limits, and the later
        connection becomes idle.
        """
        peer, dials, conn, began = waiter.peer, [], None, time.monotonic()
        first, waiter.worker = first if first > began else until, getcurrent()
        try:
            while conn is None:
                waiter.wait = self.hub.begin_wait()
                self.count += 1
                peer.connecting += 1
                dials.append(
                    self.hub.spawn(self._open, waiter, time.monotonic() + LATE_DIAL_TIMEOUT, name="dial")
                )
                try:
                    conn = self.hub.park(max(0.0, first - time.monotonic()))
                except TimedOut:
                    conn, now = waiter.found, time.monotonic()  # one established at this very moment
                    if conn is None and (len(dials) > 1 or not self._may_dial_again(peer, now, until)):
                        why = self._unreachable(peer, began)
                        if now >= began + self.connect_for and not why.exhausted:
                            peer.failed_at = now
                        raise why from None
                    first = min(until, now + self.connect_for)
                except Refused as why:
                    if str(why) != "ECONNREFUSED" and not (why.exhausted or why.broken):
                        peer.failed_at = time.monotonic()
                    raise
            for dial in dials:
                if not dial.done:
                    self.late_dials[waiter] = dial
            return conn
        except BaseException:
            for dial in dials:
                dial.interrupt(Abandoned())
            raise
        finally:
            waiter.worker = None
            if waiter.found is not None and waiter.found is not conn:
                self.release(peer, waiter.found)

    def _may_dial_again(self, peer: Peer, now: float, until: float) -> bool:
        """Whether a second parallel attempt is allowed: limits permit it, and the engine was reachable."""
        return (
            now < until
            and self.count < self.max_connections
            and peer.connecting < MAX_DIALS
            and self.reached_at.get(peer, 0.0) > peer.failed_at
        )

    def _unreachable(self, peer: Peer, since: float) -> Refused:
        """The error for an attempt that failed, which proves nothing if the engine was reached since."""
        return Refused("no connection in time", exhausted=self.reached_at.get(peer, since) > since)

    def _open(self, waiter: Waiter, until: float) -> None:
        """Task body: opens a connection for the waiting task, or else for later use."""
        peer, conn = waiter.peer, None
        try:
            found = conn = self._connect(peer, until)
            if peer.takes_work:
                self.reached_at[peer] = time.monotonic()
        except Refused as why:
            found = why
        except Abandoned:
            return
        finally:
            peer.connecting -= 1
            self.late_dials.pop(waiter, None)
            if conn is None:
                self._free_slot()
            self._wake_next(peer)
        if waiter.worker is not None and self.hub.wake(waiter.worker, waiter.wait, found) or conn is None:
            return
        if waiter.worker is not None and waiter.found is None:
            waiter.found = conn  # the task has been woken for another reason and has not run yet
        else:
            self.release(peer, conn)

    def _connect(self, peer: Peer, until: float) -> Connection:
        conn = connect(self.hub, peer.address, until)
        if self.handshake is not None:
            try:
                self.handshake(conn, until)
            except BaseException as why:
                conn.close()
                if isinstance(why, (Closed, TimedOut, Malformed)):
                    raise Refused(f"no session: {why}", broken=isinstance(why, Closed)) from None
                raise
        return conn

    def release(self, peer: Peer, conn: Connection) -> None:
        """Takes a connection back after a complete call."""
        if not peer.takes_work or not conn.open or len(conn.incoming):
            if conn.open:
                self.check_unexpected(conn)
            self.close(conn)
            return
        conn.last_used_at = self.reached_at[peer] = time.monotonic()
        for queue in (peer.waiting, self.slot_waiters):
            if (
                queue
                and not self.unexpected_recently
                and self._wake(queue, conn, lambda waiter: waiter.peer is peer and not waiter.fresh)
            ):
                return
        if self.slot_waiters:  # tasks wait for a slot for other engines
            self.close(conn)
            return
        peer.idle.append(conn)
        self.idle_connections[conn] = peer
        self.hub.watch_idle(conn.fd, self._handle_idle_event, peer, conn)
        if not self._expiry_timer_set:
            self._expiry_timer_set = True
            self.hub.timers.after(self.idle_for, self._close_expired)
        if peer.waiting:
            self._wake_next(peer)

    def close(self, conn: Connection) -> None:
        """Closes a connection and frees its slot."""
        if conn.open:
            conn.close()
            self._free_slot()

    def abort(self, conn: Connection) -> None:
        """Closes a connection with a reset, so that nothing more of it is delivered, and frees its slot."""
        if conn.open:
            conn.abort()
            self._free_slot()

    def retire(self, peer: Peer) -> None:
        """Closes idle connections of an engine that takes no more work or was replaced."""
        self.reached_at.pop(peer, None)
        for waiter, dial in list(self.late_dials.items()):
            if waiter.peer is peer:
                dial.interrupt(Abandoned())
        while peer.idle:
            self._drop_idle(peer, peer.idle[-1])

    def _handle_idle_event(self, peer: Peer, conn: Connection) -> None:
        """Handles an event on an idle connection: end of stream, or unexpected data."""
        if conn.peer_closed():
            peer.lost_at = time.monotonic()
        else:
            self.check_unexpected(conn)
        self._drop_idle(peer, conn)

    def _drop_idle(self, peer: Peer, conn: Connection) -> None:
        self.hub.unwatch_idle(conn.fd)
        peer.idle.remove(conn)
        del self.idle_connections[conn]
        self.close(conn)

    def _close_expired(self) -> None:
        """Closes connections idle for too long; one timer serves all, set for the longest idle."""
        self._expiry_timer_set, before = False, time.monotonic() - self.idle_for + 0.001
        while self.idle_connections:
            conn, peer = next(iter(self.idle_connections.items()))
            if conn.last_used_at > before:
                self._expiry_timer_set = True
                self.hub.timers.after(conn.last_used_at - before, self._close_expired)
                break
            self._drop_idle(peer, conn)

    def _free_slot(self) -> None:
        self.count -= 1
        self._wake_slot_waiter()

    def _wake_slot_waiter(self) -> None:
        """Wakes the longest waiting task if a slot is free."""
        if self.slot_waiters and self.count < self.max_connections:
            self._wake(self.slot_waiters, CHECK_AGAIN)

    def _wake_next(self, peer: Peer) -> None:
        """Passes an unused or new opportunity on to the longest waiting task."""
        if peer.waiting and peer.connecting < MAX_DIALS:
            self._wake(peer.waiting, CHECK_AGAIN)
        elif peer.waiting and peer.idle:
            self._wake(peer.waiting, CHECK_AGAIN, lambda waiter: not waiter.fresh)
        self._wake_slot_waiter()

    def _wait_in_queue(self, queue: deque, waiter: Waiter, until: float, first: bool) -> Any:
        """Waits in a queue; returns a connection or CHECK_AGAIN, None on time-out.

        `first`: at the head, for a task whose opportunity another one used up.
        """
        seconds = until - time.monotonic()
        if seconds <= 0:
            return None
        waiter.worker, waiter.wait = getcurrent(), self.hub.begin_wait()
        (queue.appendleft if first else queue.append)(waiter)
        try:
            return self.hub.park(seconds)
        except TimedOut:
            return None
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def _wake(self, queue: deque, value: Any, fits: Callable[[Waiter], bool] = lambda waiter: True) -> bool:
        """Wakes the first waiter that fits and still waits; returns whether there was one.

        An interrupted or timed-out task stays in the queue until it runs.
        """
        for waiter in list(queue):
            if fits(waiter):
                queue.remove(waiter)
                if self.hub.wake(waiter.worker, waiter.wait, value):
                    return True
        return False
