"""Clients of a soak day that keep to no rule: crowds that stay, and senders of what cannot be used."""

from __future__ import annotations

import random
import struct
import time
from collections.abc import Callable

from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused, connect
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.wire import thrift

IS_WELL = thrift.frame(thrift.CALL, "isWell", 1, thrift.field(thrift.BOOL, 1, b"\0"))
UNKNOWN = b"".join(thrift.frame(thrift.CALL, "nobody", number, b"") for number in range(1, 60))
WRONG_NUMBERS = thrift.frame(thrift.CALL, "isWell", 7, b"") * 40
NO_FRAME = b"\xc2\0\0\6GET / HTTP/1.1\r\n\r\n"
EMPTY_FRAMES = b"\0\0\0\0" * 50
OPENINGS = (b"", IS_WELL[:20], IS_WELL)  # mute, half a message, one question


class Stranger:
    """A place to meet for what these clients share."""

    def __init__(
        self, hub: Hub, address: tuple[str, int], rng: random.Random, over: Callable[[], bool]
    ) -> None:
        self.hub, self.address, self.rng, self.over = hub, address, rng, over

    def _connect(self) -> Connection | None:
        try:
            return connect(self.hub, self.address, time.monotonic() + 1.0)
        except Refused:
            return None

    def stay(self) -> None:
        """One of a crowd: says little or nothing, and comes again where it is ended."""
        self.hub.sleep(self.rng.uniform(0.0, 4.0))
        opening = self.rng.choice(OPENINGS)
        while not self.over():
            conn = self._connect()
            if conn is not None:
                try:
                    if opening:
                        conn.write(opening, time.monotonic() + 5.0)
                    while True:
                        conn.fill(time.monotonic() + 60.0)
                        conn.incoming.clear()
                except (Closed, TimedOut):
                    conn.close()
            self.hub.sleep(self.rng.uniform(0.2, 2.0))

    def misbehave(self) -> None:
        """Sends what cannot be used, in bursts, and leaves or stays a while."""
        while not self.over():
            conn = self._connect()
            if conn is not None:
                try:
                    conn.write(self._nonsense(), time.monotonic() + 5.0)
                    self.hub.sleep(self.rng.choice((0.0, 0.05, 1.0)))
                except (Closed, TimedOut):
                    pass
                conn.close()
            self.hub.sleep(self.rng.uniform(0.05, 0.5))

    def _nonsense(self) -> bytes:
        noise = struct.pack(">I", self.rng.getrandbits(32)) + self.rng.randbytes(200)
        return self.rng.choice((UNKNOWN, WRONG_NUMBERS, NO_FRAME, EMPTY_FRAMES, noise, IS_WELL[:30]))
