"""A link for streams that passes bytes on in pieces and may stand still, end or break at any of them.

    link = SlowLink(hub, address, lambda number: (course, course))
    connect(hub, link.address, until)

A course decides for one direction of one connection what becomes of the bytes that lie there. Nothing is
lost or reordered but by a reset: as TCP over a network that delays.
"""

from __future__ import annotations

import bisect
import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused, connect
from aspenrill.net.hub import Closed, Hub, Signal, TimedOut
from aspenrill.net.listener import Listener

MOST = 1000  # connections at a time
MOST_HELD = 64 * 1024  # bytes of one direction on their way
LOOK = 0.02  # seconds between two looks for an end, or for room
PATIENCE = 60.0  # seconds that a side may take nothing
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER


class Break(Enum):
    """What may become of a direction in place of its next piece."""

    RESET = "reset"  # both sides are reset
    HALF_CLOSE = "half-close"  # no more bytes this way


@dataclass(frozen=True)
class Piece:
    """The next `count` bytes, `wait` seconds after the ones before; or an end."""

    count: int
    wait: float = 0.0
    end: Break | None = None


Course = Callable[[int], Piece]  # from the number of bytes that lie there


def straight(available: int) -> Piece:
    """At once and whole."""
    return Piece(available)


def scripted(pieces: Sequence[Piece]) -> Course:
    """These pieces, then straight on."""
    left = list(pieces)

    def course(available: int) -> Piece:
        return left.pop(0) if left else Piece(available)

    return course


@dataclass(frozen=True)
class Rough:
    """A link of chance: the odds for each piece, and the bounds of what is drawn."""

    pieces: float = 0.3  # that not all that lies there is passed on in one piece
    delay: float = 0.02  # seconds at most before a piece
    stall: float = 0.01  # that it stands still before a piece
    stall_least: float = 0.5
    stall_most: float = 4.0
    end: float = 0.0  # that it breaks
    first_stall: float = 0.05  # that it stands still before the first byte

    def course(self, rng: random.Random) -> Course:
        """One direction of one connection; the numbers are its own."""
        first = [True]

        def course(available: int) -> Piece:
            if self.end and rng.random() < self.end:
                return Piece(0, end=rng.choice(list(Break)))
            split = rng.random() < self.pieces and available > 1
            count = rng.randint(1, available - 1) if split else available
            wait = rng.random() * self.delay
            if rng.random() < (self.first_stall if first[0] else self.stall):
                wait += rng.uniform(self.stall_least, self.stall_most)
            first[0] = False
            return Piece(count, wait)

        return course


class Trace:
    """What a link did with one connection; times are of the monotonic clock."""

    def __init__(self) -> None:
        self.delivered: list[tuple[int, float]] = []  # bytes so far that the target's machine took, and when
        self.target_ended_at: float | None = None  # the target's end or reset came here
        self.reached = False  # the target accepted it
        self.address = ""  # as the target sees it
        self.client_ended_at: float | None = None  # the client's end was passed on
        self.broken = False  # the link itself ended or reset it

    def delivered_at(self, offset: int) -> float | None:
        """When the bytes up to this offset had been delivered; None where they never were."""
        at = bisect.bisect_left(self.delivered, (offset, 0.0))
        return self.delivered[at][1] if at < len(self.delivered) else None


class SlowLink:
    """Listens, and carries each connection on to the target. `plan` gives the courses of the connection with
    that number: to the target, and back. `traces` has each connection by its client's address."""

    def __init__(
        self,
        hub: Hub,
        target: tuple[str, int],
        plan: Callable[[int], tuple[Course, Course]],
    ) -> None:
        self.hub, self.target, self.plan = hub, target, plan
        self.made = 0
        self.traces: dict[str, Trace] = {}
        self.listener = Listener(hub, ("127.0.0.1", 0), self._serve, MOST, "link")
        self.address = self.listener.address

    def _serve(self, near: Connection) -> None:
        there, back = self.plan(self.made)
        self.made += 1
        trace = self.traces[near.peer] = Trace()
        near.busy = 1  # the listener ends none for want of room
        try:
            far = connect(self.hub, self.target, time.monotonic() + PATIENCE)
        except Refused:
            trace.broken = True
            _reset(near)
            return
        trace.reached = True
        trace.address = "{}:{}".format(*far.sock.getsockname())
        ways = [_Way(self.hub, near, far, there, trace, True), _Way(self.hub, far, near, back, trace, False)]
        for way in ways:
            self.hub.spawn(way.read, name="link reader")
            self.hub.spawn(way.carry, name="link")
        while near.open and not all(way.over for way in ways):
            self.hub.sleep(LOOK)
        near.close()
        far.close()

    def close(self) -> None:
        """No more connections, and an end of those that are open."""
        self.listener.close()
        for conn in list(self.listener.connections):
            conn.close()


class _Way:
    """One direction of one connection: a task that reads, so that an end is seen as it comes, and one that
    passes on."""

    def __init__(
        self, hub: Hub, source: Connection, sink: Connection, course: Course, trace: Trace, to_target: bool
    ) -> None:
        self.hub, self.source, self.sink, self.course = hub, source, sink, course
        self.trace, self.to_target = trace, to_target
        self.held = bytearray()
        self.ended = self.reset = self.over = False
        self.total = 0
        self.news = Signal(hub)

    def read(self) -> None:
        """Until the source ends, as far as there is room."""
        try:
            while True:
                while len(self.held) >= MOST_HELD:
                    self.hub.sleep(LOOK)
                self.source.fill(None)
                self.held += self.source.incoming.pull(len(self.source.incoming))
                self.news.set()
        except Closed as why:
            self.reset = "reset" in str(why).lower()
        if not self.to_target:
            self.trace.target_ended_at = time.monotonic()
        self.ended = True
        self.news.set()

    def carry(self) -> None:
        """Pass on what is held, as the course has it; then the end, or the reset that came behind it."""
        try:
            while self.held or not self.ended:
                if self.held:
                    self._pass_on(self.course(len(self.held)))
                else:
                    self.news.wait(None)
            if self.reset:
                self._break()
            else:
                self._end()
        except _HalfClosed:
            self._end()
        except Closed:
            if not self.to_target:
                self._break()  # else what the target has said before is still on its way
        except (ConnectionResetError, TimedOut):
            self._break()
        finally:
            self.over = True

    def _pass_on(self, piece: Piece) -> None:
        if piece.wait:
            self.hub.sleep(piece.wait)
        self.trace.broken = self.trace.broken or piece.end is not None
        if piece.end is Break.RESET:
            raise ConnectionResetError
        if piece.end is Break.HALF_CLOSE:
            raise _HalfClosed
        data = bytes(self.held[: piece.count])
        del self.held[: piece.count]
        self.sink.write(data, time.monotonic() + PATIENCE)
        self.total += len(data)
        if self.to_target and data:
            self.trace.delivered.append((self.total, time.monotonic()))

    def _end(self) -> None:
        if self.to_target:
            self.trace.client_ended_at = time.monotonic()
        with contextlib.suppress(OSError):
            self.sink.sock.shutdown(socket.SHUT_WR)

    def _break(self) -> None:
        _reset(self.sink)
        _reset(self.source)


class _HalfClosed(Exception):
    """The course ends this direction."""


def _reset(conn: Connection) -> None:
    if conn.open:
        with contextlib.suppress(OSError):
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()
