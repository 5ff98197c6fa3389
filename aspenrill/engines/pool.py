"""Connections to engines: kept per engine, closed before the engine would, within a budget of descriptors."""

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

MOST_DIALING = 16  # connections to one engine that come up at a time
SETTLE = 0.02  # seconds after an answer in which more than belongs to it may still come: others go first
WARY_FOR = 60.0  # seconds after an answer that nobody asked for in which another is expected
UP_LATEST = 2.0  # seconds in which a connection may still come up beside others, to lie idle
LOOK = object()  # what a wait brings whose turn it is to look again for what there is
AFTER_FAILURE = 0.1  # seconds without another try after one that did not come up


class Abandoned(Exception):
    """Nobody wants what comes up there any more."""


@dataclass(eq=False, slots=True)
class Turn:
    """Who waits, in a line or for a dial, and for what."""

    peer: Peer
    fresh: bool  # for a new connection only
    worker: Any = None
    wait: int = 0
    found: Any = None  # a connection that came up while its taker was about to run


class Pools:
    """Takes and gives back connections; the idle ones lie with their engine's record."""

    def __init__(
        self,
        hub: Hub,
        most: int,
        idle_for: float,
        connect_for: float,
        greet: Callable[[Connection, float], None] | None = None,
    ) -> None:
        self.greet = greet  # what a new connection needs before its first request
        self.hub, self.most, self.idle_for, self.connect_for = hub, most, idle_for, connect_for
        self.count = 0
        self.resting: dict[Connection, Peer] = {}  # idle ones, longest idle first
        self._sweeping = False  # a timer is set for the longest idle
        self.waiting: deque = deque()
        self.well_at: dict[Peer, float] = {}  # when an engine was last reached, of those that take work
        self.odd_at = -1e9  # when one last brought what nobody asked for
        self.late: dict[Turn, Task] = {}  # dials whose taker has got another

    def take(self, peer: Peer, until: float, fresh: bool = False, sure: bool = True) -> Connection:
        """An idle connection that is still sound, or a new one; Refused where none comes up in time.

        Idle ones are watched, and go at the first news. `sure` looks once more: news may have come since the
        last look at all descriptors. A request that may run again goes without.
        """
        now, waited = time.monotonic(), None
        until, latest = min(until, now + self.connect_for), min(until, now + 2 * self.connect_for)
        while True:
            conn = None if fresh else self._rested(peer, sure, until)
            if conn is not None:
                if waited is not None:
                    self._next(peer)  # its turn was not for this one
                return conn
            if peer.dialing >= MOST_DIALING:
                line = peer.waiting
            elif self.well_at.get(peer, 0.0) <= peer.failed_at > time.monotonic() - AFTER_FAILURE:
                self._next(peer)
                raise Refused("none came up just now")  # more of them would only lengthen its line
            elif self.count < self.most:
                return self._dial(Turn(peer, fresh), until, latest)
            elif self.resting:
                conn = next(iter(self.resting))
                self._tired(self.resting[conn], conn)
                continue
            else:
                line = self.waiting
            self._next(peer)  # a turn that led only to another line is for the next in its own
            got = self._wait(line, Turn(peer, fresh), until, line is waited)
            if got is None and line is self.waiting:
                raise Refused("no descriptor left for a connection", exhausted=True)
            if got is None:
                raise self._unreached(peer, now)
            waited = line
            if got is not LOOK:
                if self._sound(got, sure):
                    return got
                self.drop(got)

    def _rested(self, peer: Peer, sure: bool, until: float) -> Connection | None:
        """An idle connection that is still sound, of those that have settled the latest used."""
        while peer.idle:
            if self.wary:
                settled = peer.idle[0].last_used_at + SETTLE
                if settled > time.monotonic():
                    self._settle(peer, min(settled, until))
                    if settled > until:
                        return None
                    continue
            conn = peer.idle.pop(0 if time.monotonic() < peer.idle[-1].last_used_at + SETTLE else -1)
            self.hub.unwatch_idle(conn.fd)
            del self.resting[conn]
            if self._sound(conn, sure):
                return conn
            self.drop(conn)
        return None

    def _settle(self, peer: Peer, until: float) -> None:
        try:
            self.hub.sleep(max(0.0, until - time.monotonic()))
        except BaseException:
            self._next(peer)  # what it waited for is for another
            raise

    def _sound(self, conn: Connection, sure: bool) -> bool:
        conn.reused = True
        if not conn.open or not (sure or self.wary) or conn.is_idle():
            return conn.open
        self.look_at(conn)
        return False

    @property
    def wary(self) -> bool:
        """Whether answers that nobody asked for have come of late. One could be taken for the next call's: a
        connection rests then for `SETTLE` seconds before that, whoever waits."""
        return time.monotonic() < self.odd_at + WARY_FOR

    def look_at(self, conn: Connection) -> None:
        """A connection on which something came between two calls: more than was asked for, or its end."""
        if conn.open and (len(conn.incoming) or conn.peer_closed() is None):
            self.odd_at = time.monotonic()

    def _dial(self, turn: Turn, first: float, until: float) -> Connection:
        """A new connection; Refused where none comes up in time.

        One that is slow says little of an engine that others reach (a packet may be lost): once `first` has
        passed another is tried beside it, for `connect_for` seconds. Both count while they come up, and the
        later of them lies idle then.
        """
        peer, dials, conn, began = turn.peer, [], None, time.monotonic()
        first, turn.worker = first if first > began else until, getcurrent()
        try:
            while conn is None:
                turn.wait = self.hub.begin_wait()
                self.count += 1
                peer.dialing += 1
                dials.append(self.hub.spawn(self._bring, turn, time.monotonic() + UP_LATEST, name="dial"))
                try:
                    conn = self.hub.park(max(0.0, first - time.monotonic()))
                except TimedOut:
                    conn, now = turn.found, time.monotonic()  # one that came up in this very moment
                    if conn is None and (len(dials) > 1 or not self._another(peer, now, until)):
                        why = self._unreached(peer, began)
                        if now >= began + self.connect_for and not why.exhausted:
                            peer.failed_at = now
                        raise why from None
                    first = min(until, now + self.connect_for)
                except Refused as why:
                    if str(why) != "ECONNREFUSED" and not (why.exhausted or why.broken):
                        peer.failed_at = time.monotonic()
                    raise
            for dial in dials:
                if not dial.dead:
                    self.late[turn] = dial
            return conn
        except BaseException:
            for dial in dials:
                dial.interrupt(Abandoned())
            raise
        finally:
            turn.worker = None
            if turn.found is not None and turn.found is not conn:
                self.give(peer, turn.found)

    def _another(self, peer: Peer, now: float, until: float) -> bool:
        """Whether to try another beside a slow one: there is room, and the last that was known is good."""
        return (
            now < until
            and self.count < self.most
            and peer.dialing < MOST_DIALING
            and self.well_at.get(peer, 0.0) > peer.failed_at
        )

    def _unreached(self, peer: Peer, since: float) -> Refused:
        """None came up. That proves nothing of an engine that has been reached since."""
        return Refused("no connection in time", exhausted=self.well_at.get(peer, since) > since)

    def _bring(self, turn: Turn, until: float) -> None:
        """A task's work: bring one up for who waits, or else for whoever comes next."""
        peer, conn = turn.peer, None
        try:
            found = conn = self._connect(peer, until)
            if peer.takes_work:
                self.well_at[peer] = time.monotonic()
        except Refused as why:
            found = why
        except Abandoned:
            return
        finally:
            peer.dialing -= 1
            self.late.pop(turn, None)
            if conn is None:
                self._left()
            self._next(peer)
        if turn.worker is not None and self.hub.wake(turn.worker, turn.wait, found) or conn is None:
            return
        if turn.worker is not None and turn.found is None:
            turn.found = conn  # its taker has been woken otherwise, and not run yet
        else:
            self.give(peer, conn)

    def _connect(self, peer: Peer, until: float) -> Connection:
        conn = connect(self.hub, peer.address, until)
        if self.greet is not None:
            try:
                self.greet(conn, until)
            except BaseException as why:
                conn.close()
                if isinstance(why, (Closed, TimedOut, Malformed)):
                    raise Refused(f"no session: {why}", broken=isinstance(why, Closed)) from None
                raise
        return conn

    def give(self, peer: Peer, conn: Connection) -> None:
        """Back after a whole call."""
        if not peer.takes_work or not conn.open or len(conn.incoming):
            if conn.open:
                self.look_at(conn)
            self.drop(conn)
            return
        conn.last_used_at = self.well_at[peer] = time.monotonic()
        for line in (peer.waiting, self.waiting):
            if (
                line
                and not self.wary
                and self._wake(line, conn, lambda turn: turn.peer is peer and not turn.fresh)
            ):
                return
        if self.waiting:  # for a descriptor, to reach other engines
            self.drop(conn)
            return
        peer.idle.append(conn)
        self.resting[conn] = peer
        self.hub.watch_idle(conn.fd, self._news, peer, conn)
        if not self._sweeping:
            self._sweeping = True
            self.hub.timers.after(self.idle_for, self._sweep)
        if peer.waiting:
            self._next(peer)

    def drop(self, conn: Connection) -> None:
        """Close it."""
        if conn.open:
            conn.close()
            self._left()

    def retire(self, peer: Peer) -> None:
        """Close what lies idle: the engine takes no more work, or is another process now."""
        self.well_at.pop(peer, None)
        for turn, dial in list(self.late.items()):
            if turn.peer is peer:
                dial.interrupt(Abandoned())
        while peer.idle:
            self._tired(peer, peer.idle[-1])

    def _news(self, peer: Peer, conn: Connection) -> None:
        """An idle connection has ended, or brings what nobody asked for."""
        if conn.peer_closed():
            peer.broke_at = time.monotonic()
        else:
            self.look_at(conn)
        self._tired(peer, conn)

    def _tired(self, peer: Peer, conn: Connection) -> None:
        self.hub.unwatch_idle(conn.fd)
        peer.idle.remove(conn)
        del self.resting[conn]
        self.drop(conn)

    def _sweep(self) -> None:
        """Close what has been idle for long: one timer serves them all, set for the longest idle."""
        self._sweeping, before = False, time.monotonic() - self.idle_for + 0.001
        while self.resting:
            conn, peer = next(iter(self.resting.items()))
            if conn.last_used_at > before:
                self._sweeping = True
                self.hub.timers.after(conn.last_used_at - before, self._sweep)
                break
            self._tired(peer, conn)

    def _left(self) -> None:
        self.count -= 1
        self._freed()

    def _freed(self) -> None:
        """Room for a connection: for who waits longest."""
        if self.waiting and self.count < self.most:
            self._wake(self.waiting, LOOK)

    def _next(self, peer: Peer) -> None:
        """A turn that its owner did not use, or one more, goes on to who waits longest."""
        if peer.waiting and peer.dialing < MOST_DIALING:
            self._wake(peer.waiting, LOOK)
        elif peer.waiting and peer.idle:
            self._wake(peer.waiting, LOOK, lambda turn: not turn.fresh)
        self._freed()

    def _wait(self, line: deque, turn: Turn, until: float, first: bool) -> Any:
        """Wait in a line: a connection or LOOK, None where no turn comes in time. Whose turn another has used
        up waits `first` in it."""
        seconds = until - time.monotonic()
        if seconds <= 0:
            return None
        turn.worker, turn.wait = getcurrent(), self.hub.begin_wait()
        (line.appendleft if first else line.append)(turn)
        try:
            return self.hub.park(seconds)
        except TimedOut:
            return None
        finally:
            if turn in line:
                line.remove(turn)

    def _wake(self, line: deque, what: Any, fits: Callable[[Turn], bool] = lambda turn: True) -> bool:
        """Pass it to the first that fits and still waits; whether there was one. A task that was interrupted,
        or whose time is up, stands in line until it runs."""
        for turn in list(line):
            if fits(turn):
                line.remove(turn)
                if self.hub.wake(turn.worker, turn.wait, what):
                    return True
        return False
