"""Misbehaving clients of a soak run: idle connections in large numbers, and senders of unusable messages."""

from __future__ import annotations

import random
import struct
import time
from collections.abc import Callable

from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused, connect
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.wire import thrift

IS_WELL_CALL = thrift.frame(thrift.CALL, "isWell", 1, thrift.field(thrift.BOOL, 1, b"\0"))
UNKNOWN_CALLS = b"".join(thrift.frame(thrift.CALL, "nobody", number, b"") for number in range(1, 60))
CALLS_WITHOUT_ARGUMENTS = thrift.frame(thrift.CALL, "isWell", 7, b"") * 40
HTTP_REQUEST = b"\xc2\0\0\6GET / HTTP/1.1\r\n\r\n"
EMPTY_FRAMES = b"\0\0\0\0" * 50
HARD_STATEMENTS = (b"[" * 60_000, b"a.[" * 20_000, b'"a' * 30_000, b"/* " * 20_000, b"$a" * 30_000)
HARD_CALL_FIELDS = {"kind": "lookup", "req": "ba" * 8, "timeout": "50", "owner": "main"}  # never sent on
MANY_FIELDS = thrift.field(thrift.MAP, 1, thrift.text_map({str(number): "" for number in range(4000)}))
LONG_LIST = thrift.field(thrift.LIST, 1, struct.pack(">bi", thrift.BYTE, 50_000) + b"a" * 50_000)
HEAVY_MESSAGES = (MANY_FIELDS, LONG_LIST)
LONG_STATEMENT = b"a " * 30_000
OPENINGS = (b"", IS_WELL_CALL[:20], IS_WELL_CALL)  # nothing, half a message, one call


class BadClient:
    """A misbehaving client; its task is one of the public methods."""

    def __init__(
        self, hub: Hub, address: tuple[str, int], rng: random.Random, finished: Callable[[], bool]
    ) -> None:
        self.hub, self.address, self.rng, self.finished = hub, address, rng, finished

    def _connect(self) -> Connection | None:
        try:
            return connect(self.hub, self.address, time.monotonic() + 1.0)
        except Refused:
            return None

    def hold_connection(self) -> None:
        """Keep a connection open with little or nothing sent, and reconnect when it is ended."""
        self.hub.sleep(self.rng.uniform(0.0, 4.0))
        opening = self.rng.choice(OPENINGS)
        while not self.finished():
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

    def send_bad_messages(self) -> None:
        """Send unusable messages in bursts and close at once or after a while."""
        while not self.finished():
            conn = self._connect()
            if conn is not None:
                try:
                    conn.write(self._bad_message(), time.monotonic() + 5.0)
                    self.hub.sleep(self.rng.choice((0.0, 0.05, 1.0)))
                except (Closed, TimedOut):
                    pass
                conn.close()
            self.hub.sleep(self.rng.uniform(0.05, 0.5))

    def write_roughly(self) -> None:
        """Send messages that take memory or time: in small pieces, half of one, many values, many words."""
        while not self.finished():
            conn = self._connect()
            if conn is not None:
                try:
                    ways = (self._write_in_pieces, self._stop_half_way, self._write_heavy_messages)
                    self.rng.choice(ways)(conn)
                except (Closed, TimedOut):
                    pass
                conn.close()
            self.hub.sleep(self.rng.uniform(0.05, 0.5))

    def _write_in_pieces(self, conn: Connection) -> None:
        piece = self.rng.choice((1, 2, 20))
        call = self._hard_call(LONG_STATEMENT)[: 300 * piece]
        for at in range(0, len(call), piece):
            conn.write(call[at : at + piece], time.monotonic() + 5.0)
            self.hub.sleep(0.01)

    def _stop_half_way(self, conn: Connection) -> None:
        conn.write(self._hard_call(LONG_STATEMENT)[: self.rng.randrange(50_000)], time.monotonic() + 5.0)
        self.hub.sleep(self.rng.uniform(0.5, 3.0))

    def _write_heavy_messages(self, conn: Connection) -> None:
        for number in range(1, 9):
            fields = self.rng.choice(HEAVY_MESSAGES)
            conn.write(thrift.frame(thrift.CALL, "serve", number, fields), time.monotonic() + 5.0)
        conn.write(self._hard_call(LONG_STATEMENT), time.monotonic() + 5.0)
        self.hub.sleep(self.rng.uniform(0.0, 0.5))

    def _bad_message(self) -> bytes:
        noise = struct.pack(">I", self.rng.getrandbits(32)) + self.rng.randbytes(200)
        others = (
            UNKNOWN_CALLS,
            CALLS_WITHOUT_ARGUMENTS,
            HTTP_REQUEST,
            EMPTY_FRAMES,
            noise,
            IS_WELL_CALL[:30],
        )
        return self.rng.choice((*others, self._hard_call()))

    def _hard_call(self, text: bytes = b"") -> bytes:
        """A call whose statement is hard to read. Its time-out is too short to send it to an engine."""
        fields = thrift.field(thrift.MAP, 1, thrift.text_map(HARD_CALL_FIELDS))
        statement = thrift.binary(text or self.rng.choice(HARD_STATEMENTS))
        return thrift.frame(thrift.CALL, "serve", 1, fields + thrift.field(thrift.STRING, 2, statement))
