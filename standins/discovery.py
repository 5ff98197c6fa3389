"""A stand-in for the bulletin, and the forms in which engines are listed."""

from __future__ import annotations

import struct
import time

from aspenrill.net.conn import Connection
from aspenrill.net.hub import Hub
from aspenrill.net.listener import Listener
from aspenrill.wire import bulletin as wire

LIVE, DRAINING, GONE = range(3)  # states as the bulletin writes them


class Feed:
    """A bulletin: events from the first, to each that asks for what comes after its last."""

    def __init__(self, hub: Hub, events: list[tuple[int, int, bytes]]) -> None:
        self.hub, self.events, self.tells = hub, events, True
        self.cut: int | None = None  # bytes after which a connection breaks off
        self.late = 0.0  # seconds between two looks at what is new
        self.listener = Listener(hub, ("127.0.0.1", 0), self.serve, 500, "feed")

    def serve(self, conn: Connection) -> None:
        last, said = struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0], 0.0
        while True:
            out = b""
            for number, kind, payload in self.events if self.tells else ():
                if number > last:
                    out, last = out + wire.HEAD.pack(len(payload) + 9, number, kind) + payload, number
            if not out and time.monotonic() > said + 1:
                out = wire.HEAD.pack(9, last, wire.NOTHING)
            if out:
                conn.write(out[: self.cut], time.monotonic() + 5)
                said = time.monotonic()
                if self.cut is not None:
                    return  # it breaks off in the middle of what it tells
            self.hub.sleep(self.late or 0.03)

    def tell(self, name: str, port: int, state: int, born_ms: int = 0) -> None:
        """One more event: a change of one engine."""
        record = change(name, port, state, born_ms)
        self.events.append((len(self.events) + 1, wire.CHANGES, record))


def change(name: str, port: int, state: int, born_ms: int = 0) -> bytes:
    """A record of the bulletin for an engine on this machine."""
    return wire.RECORD.pack(int(name[2:], 16), b"\x7f\0\0\1", port, state, 0, 0, 0, 1000, born_ms)


def host(name: str, port: int, born_ms: int = 0) -> dict[str, object]:
    """An engine as the configuration's `known` lists it."""
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
