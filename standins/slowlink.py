"""A link for streams that passes bytes on in pieces and may stand still, end or break at any of them.

    link = SlowLink(hub, address, lambda number: (course, course))
    connect(hub, link.address, until)

A course decides for one direction of one connection what becomes of the bytes that lie there. Nothing is
lost or reordered but by a reset: as TCP over a network that delays.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from aspenrill.net.conn import Connection, Refused, connect
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.net.listener import Listener

MOST = 1000  # connections at a time
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


class SlowLink:
    """Listens, and carries each connection on to the target. `plan` gives the courses of the connection with
    that number: to the target, and back."""

    def __init__(
        self,
        hub: Hub,
        target: tuple[str, int],
        plan: Callable[[int], tuple[Course, Course]],
        delay: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.hub, self.target, self.plan, self.delay = hub, target, plan, delay
        self.made = 0
        self.listener = Listener(hub, ("127.0.0.1", 0), self._serve, MOST, "link")
        self.address = self.listener.address

    def _serve(self, near: Connection) -> None:
        there, back = self.plan(self.made)
        self.made += 1
        near.busy = 1  # the listener ends none for want of room
        try:
            far = connect(self.hub, self.target, time.monotonic() + PATIENCE)
        except Refused:
            _reset(near)
            return
        done = [0]
        self.hub.spawn(self._carry, far, near, back, done, name="link back")
        self._carry(near, far, there, done)
        while done[0] < 2 and near.open:
            self.hub.sleep(0.05)
        far.close()

    def _carry(self, source: Connection, sink: Connection, course: Course, done: list[int]) -> None:
        try:
            while True:
                source.fill(None)
                while len(source.incoming):
                    piece = course(len(source.incoming))
                    if piece.wait:
                        self.hub.sleep(piece.wait)
                    if piece.end is Break.RESET:
                        raise ConnectionResetError
                    if piece.end is Break.HALF_CLOSE:
                        raise Closed("half-close")
                    sink.write(
                        source.incoming.pull(min(piece.count, len(source.incoming))),
                        time.monotonic() + PATIENCE,
                    )
        except Closed as why:
            if "reset" in str(why).lower() or not sink.open:
                _reset(sink)
                _reset(source)
            else:
                with contextlib.suppress(OSError):
                    sink.sock.shutdown(socket.SHUT_WR)
        except (ConnectionResetError, TimedOut):
            _reset(sink)
            _reset(source)
        finally:
            done[0] += 1

    def close(self) -> None:
        """No more connections, and an end of those that are open."""
        self.listener.close()
        for conn in list(self.listener.connections):
            conn.close()


def _reset(conn: Connection) -> None:
    if conn.open:
        with contextlib.suppress(OSError):
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()
