"""A proxy for TCP connections that forwards bytes in pieces and may stall, half-close or reset between them.

    link = SlowLink(hub, address, lambda number: (shaper, shaper))
    connect(hub, link.address, until)

A shaper decides for one direction of one connection how the buffered bytes are forwarded. Bytes are lost only
by a reset and never reordered, as with TCP over a slow network: a sender that resets its connection takes
back what has not been forwarded yet.
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

MAX_CONNECTIONS = 1000  # open at a time
MAX_BUFFERED = 64 * 1024  # bytes of one direction
POLL_INTERVAL = 0.02  # seconds between two checks for an end or for buffer space
IO_TIMEOUT = 60.0  # seconds for connecting, and for a write
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, 0 seconds


class LinkFault(Enum):
    """A fault in place of the next piece of a direction."""

    RESET = "reset"  # both sides are reset
    HALF_CLOSE = "half-close"  # no more bytes in this direction


@dataclass(frozen=True)
class Piece:
    """The next `count` bytes, forwarded after `wait` seconds; or a fault."""

    count: int
    wait: float = 0.0
    end: LinkFault | None = None


Shaper = Callable[[int], Piece]  # maps the number of buffered bytes to the next piece


def unshaped(buffered: int) -> Piece:
    """Forward all bytes without delay."""
    return Piece(buffered)


def scripted(pieces: Sequence[Piece]) -> Shaper:
    """Return a shaper that forwards these pieces, then everything without delay."""
    left = list(pieces)

    def shaper(buffered: int) -> Piece:
        return left.pop(0) if left else Piece(buffered)

    return shaper


@dataclass(frozen=True)
class RandomShaping:
    """Random shaping: the probabilities for each piece, and the bounds of delays and stalls."""

    split_odds: float = 0.3  # that only a part of the buffered bytes is forwarded
    max_delay: float = 0.02  # seconds before a piece
    stall_odds: float = 0.01  # of a stall before a piece
    min_stall: float = 0.5
    max_stall: float = 4.0
    break_odds: float = 0.0  # of a reset or half-close
    first_stall_odds: float = 0.05  # of a stall before the first byte

    def shaper(self, rng: random.Random) -> Shaper:
        """Return the shaper of one direction of one connection, with its own random stream."""
        first = [True]

        def shaper(buffered: int) -> Piece:
            if self.break_odds and rng.random() < self.break_odds:
                return Piece(0, end=rng.choice(list(LinkFault)))
            split = rng.random() < self.split_odds and buffered > 1
            count = rng.randint(1, buffered - 1) if split else buffered
            wait = rng.random() * self.max_delay
            if rng.random() < (self.first_stall_odds if first[0] else self.stall_odds):
                wait += rng.uniform(self.min_stall, self.max_stall)
            first[0] = False
            return Piece(count, wait)

        return shaper


class Trace:
    """The history of one connection through the link; times are of the monotonic clock."""

    def __init__(self) -> None:
        self.delivered: list[tuple[int, float]] = []  # bytes so far accepted by the target's socket, and when
        self.target_ended_at: float | None = None  # the target's end or reset arrived
        self.reached = False  # the target accepted the connection
        self.address = ""  # as the target sees it
        self.client_ended_at: float | None = None  # the client's end was forwarded
        self.broken = False  # the link itself closed or reset it

    def delivered_at(self, offset: int) -> float | None:
        """When the bytes up to this offset had been delivered; None if they never were."""
        at = bisect.bisect_left(self.delivered, (offset, 0.0))
        return self.delivered[at][1] if at < len(self.delivered) else None


class SlowLink:
    """Listens, and forwards each connection to the target. `plan` returns the two shapers of the connection
    with that number: to the target, and back. `traces` holds each connection by its client's address."""

    def __init__(
        self,
        hub: Hub,
        target: tuple[str, int],
        plan: Callable[[int], tuple[Shaper, Shaper]],
    ) -> None:
        self.hub, self.target, self.plan = hub, target, plan
        self.connection_count = 0
        self.traces: dict[str, Trace] = {}
        self.listener = Listener(hub, ("127.0.0.1", 0), self._serve, MAX_CONNECTIONS, "link")
        self.address = self.listener.address

    def _serve(self, client_side: Connection) -> None:
        to_target, to_client = self.plan(self.connection_count)
        self.connection_count += 1
        trace = self.traces[client_side.peer] = Trace()
        client_side.busy = 1  # so that the listener does not evict it
        try:
            target_side = connect(self.hub, self.target, time.monotonic() + IO_TIMEOUT)
        except Refused:
            trace.broken = True
            _reset(client_side)
            return
        trace.reached = True
        trace.address = "{}:{}".format(*target_side.sock.getsockname())
        directions = [
            _Direction(self.hub, client_side, target_side, to_target, trace, True),
            _Direction(self.hub, target_side, client_side, to_client, trace, False),
        ]
        for direction in directions:
            self.hub.spawn(direction.read, name="link reader")
            self.hub.spawn(direction.forward, name="link")
        while client_side.open and not all(direction.finished for direction in directions):
            self.hub.sleep(POLL_INTERVAL)
        client_side.close()
        target_side.close()

    def close(self) -> None:
        """Accept no more connections and close the open ones."""
        self.listener.close()
        for conn in list(self.listener.connections):
            conn.close()


class _Direction:
    """One direction of one connection, with one task that reads, so that an end is noticed at once, and one
    that forwards."""

    def __init__(
        self, hub: Hub, source: Connection, sink: Connection, shaper: Shaper, trace: Trace, to_target: bool
    ) -> None:
        self.hub, self.source, self.sink, self.shaper = hub, source, sink, shaper
        self.trace, self.to_target = trace, to_target
        self.buffer = bytearray()
        self.source_ended = self.source_reset = self.finished = False
        self.bytes_sent = 0
        self.changed = Signal(hub)

    def read(self) -> None:
        """Read until the source ends, pausing while the buffer is full."""
        try:
            while True:
                while len(self.buffer) >= MAX_BUFFERED:
                    self.hub.sleep(POLL_INTERVAL)
                self.source.fill(None)
                self.buffer += self.source.incoming.pull(len(self.source.incoming))
                self.changed.set()
        except Closed as why:
            self.source_reset = "reset" in str(why).lower()
            if self.source_reset:
                self.buffer.clear()
        if not self.to_target:
            self.trace.target_ended_at = time.monotonic()
        self.source_ended = True
        self.changed.set()

    def forward(self) -> None:
        """Forward the buffered bytes as the shaper decides, then the source's end or reset."""
        try:
            while self.buffer or not self.source_ended:
                if self.buffer:
                    self._pass_on(self.shaper(len(self.buffer)))
                else:
                    self.changed.wait(None)
            if self.source_reset:
                self._reset_both()
            else:
                self._half_close()
        except _HalfClosed:
            self._half_close()
        except Closed:
            if not self.to_target:
                self._reset_both()  # else bytes that the target sent before are still to be forwarded
        except (ConnectionResetError, TimedOut):
            self._reset_both()
        finally:
            self.finished = True

    def _pass_on(self, piece: Piece) -> None:
        if piece.wait:
            self.hub.sleep(piece.wait)
        self.trace.broken = self.trace.broken or piece.end is not None
        if piece.end is LinkFault.RESET:
            raise ConnectionResetError
        if piece.end is LinkFault.HALF_CLOSE:
            raise _HalfClosed
        data = bytes(self.buffer[: piece.count])
        del self.buffer[: piece.count]
        self.sink.write(data, time.monotonic() + IO_TIMEOUT)
        self.bytes_sent += len(data)
        if self.to_target and data:
            self.trace.delivered.append((self.bytes_sent, time.monotonic()))

    def _half_close(self) -> None:
        if self.to_target:
            self.trace.client_ended_at = time.monotonic()
        with contextlib.suppress(OSError):
            self.sink.sock.shutdown(socket.SHUT_WR)

    def _reset_both(self) -> None:
        _reset(self.sink)
        _reset(self.source)


class _HalfClosed(Exception):
    """The shaper half-closes this direction."""


def _reset(conn: Connection) -> None:
    if conn.open:
        with contextlib.suppress(OSError):
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()
