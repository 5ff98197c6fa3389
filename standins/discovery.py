"""A test double for the bulletin, and the formats in which engines are listed."""

from __future__ import annotations

import struct
import time

from aspenrill.net.conn import Connection
from aspenrill.net.hub import Hub
from aspenrill.net.listener import Listener
from aspenrill.wire import bulletin as wire

LIVE = 0  # engine states as encoded in bulletin records: in service
DRAINING = 1  # terminating: takes no new work
GONE = 2  # terminated


class BulletinServer:
    """A bulletin server: sends each connection the events after the number that it names."""

    def __init__(self, hub: Hub, events: list[tuple[int, int, bytes]]) -> None:
        self.hub, self.events, self.sending = hub, events, True
        self.close_after: int | None = None  # bytes of a write after which the connection is closed
        self.poll_interval = 0.0  # seconds between two checks for new events; 0: the default
        self.listener = Listener(hub, ("127.0.0.1", 0), self.serve, 500, "feed")

    def serve(self, conn: Connection) -> None:
        """Handle one connection: send the missing events, and a keep-alive every second."""
        last, sent_at = struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0], 0.0
        while True:
            out = b""
            for number, kind, payload in self.events if self.sending else ():
                if number > last:
                    out, last = out + wire.FRAME_HEADER.pack(len(payload) + 9, number, kind) + payload, number
            if not out and time.monotonic() > sent_at + 1:
                out = wire.FRAME_HEADER.pack(9, last, wire.UNCHANGED)
            if out:
                conn.write(out[: self.close_after], time.monotonic() + 5)
                sent_at = time.monotonic()
                if self.close_after is not None:
                    return  # closes in the middle of an event
            self.hub.sleep(self.poll_interval or 0.03)

    def publish(self, name: str, port: int, state: int, born_ms: int = 0) -> None:
        """Append an event: the state of one engine changed."""
        record = change_record(name, port, state, born_ms)
        self.events.append((len(self.events) + 1, wire.CHANGES, record))


def change_record(name: str, port: int, state: int, born_ms: int = 0) -> bytes:
    """Return a bulletin record for an engine on this host."""
    return wire.ENGINE_RECORD.pack(int(name[2:], 16), b"\x7f\0\0\1", port, state, 0, 0, 0, 1000, born_ms)


def engine_entry(name: str, port: int, born_ms: int = 0) -> dict[str, object]:
    """Return an engine in the format of the configuration's `known` list."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": "z",
        "class": "k",
        "block": 0,
        "health": "in_service",
        "share": 4,
        "born_ms": born_ms,
    }
