"""A stand-in client: framed Thrift, strict binary protocol, one thread that reads the answers."""

from __future__ import annotations

import contextlib
import queue
import secrets
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

CALL, REPLY, ONEWAY = 1, 2, 4
STRING, STRUCT, MAP = 11, 12, 13


def text(data: bytes) -> bytes:
    """Encode a string."""
    return struct.pack(">i", len(data)) + data


def frame(name: str, seqid: int, body: bytes) -> bytes:
    """Encode a call; `body` holds the encoded fields of its arguments."""
    message = struct.pack(">I", 0x80010000 | CALL) + text(name.encode()) + struct.pack(">i", seqid)
    return text(message + body + b"\0")


def serve_call(seqid: int, fields: dict[str, str], statement: bytes, more: bytes = b"") -> bytes:
    """Encode a `serve` call. `more`: further encoded fields of its arguments."""
    pairs = b"".join(text(name.encode()) + text(value.encode()) for name, value in fields.items())
    body = struct.pack(">bhbbi", MAP, 1, STRING, STRING, len(fields)) + pairs
    return frame("serve", seqid, body + struct.pack(">bh", STRING, 2) + text(statement) + more)


@dataclass
class Sent:
    """A request and what became of it. Times are of the system's Unix clock."""

    ident: str
    cls: str
    statement: str
    timeout: float
    sent_at: float = 0.0
    answered_at: float = 0.0
    answer: str = "none"  # served, refused, failed or broken
    body: bytes = b""
    done: threading.Event = field(default_factory=threading.Event)


class Client:
    """One connection. Requests may be open side by side; `lost` is called where the connection ends."""

    def __init__(self, address: tuple[str, int], connect_for: float = 30.0) -> None:
        self.sock = socket.create_connection(address, connect_for)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.seqid, self.open, self.lock = 0, {}, threading.Lock()
        self.wells: queue.Queue[bool] = queue.Queue()
        self.ended = False
        threading.Thread(target=self._read, daemon=True).start()

    def is_well(self, within: float) -> bool:
        """Ask whether the front end is well."""
        self.seqid += 1
        self.sock.sendall(frame("isWell", self.seqid, struct.pack(">bhb", 2, 1, 1)))
        try:
            return self.wells.get(timeout=within)
        except queue.Empty:
            return False

    def send(self, cls: str, statement: str, timeout: float, key: str | None = None) -> Sent:
        """Send a request."""
        sent = Sent(secrets.token_hex(8), cls, statement, timeout)
        fields = {"kind": cls, "req": sent.ident, "timeout": str(int(timeout * 1000)), "owner": "core"}
        if key is not None:
            fields["opkey"] = key
        with self.lock:
            self.seqid += 1
            self.open[self.seqid] = sent
            data = serve_call(self.seqid, fields, statement.encode())
        try:
            self.sock.sendall(data)
        except OSError:
            self._end()
        sent.sent_at = time.time()
        return sent

    def forget(self, sent: Sent) -> None:
        """Stop waiting for a request: no answer is owed any more. A late one is still noted."""
        with self.lock:
            seqid = next((seqid for seqid, one in self.open.items() if one is sent), None)
        if seqid is not None:
            argument = struct.pack(">bhi", 8, 1, seqid)
            message = struct.pack(">I", 0x80010000 | ONEWAY) + text(b"forget") + struct.pack(">i", 0)
            with contextlib.suppress(OSError):
                self.sock.sendall(text(message + argument + b"\0"))

    def _read(self) -> None:
        try:
            while True:
                size = struct.unpack(">i", self._exactly(4))[0]
                self._answered(self._exactly(size))
        except (OSError, EOFError, struct.error):
            self._end()

    def _exactly(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            more = self.sock.recv(count - len(data))
            if not more:
                raise EOFError
            data += more
        return data

    def _answered(self, message: bytes) -> None:
        kind = message[3]
        size = struct.unpack_from(">i", message, 4)[0]
        name = message[8 : 8 + size].decode()
        seqid = struct.unpack_from(">i", message, 8 + size)[0]
        at = 12 + size
        if name == "isWell":
            self.wells.put(kind == REPLY and b"\2\0\3\1" in message[at:])
            return
        with self.lock:
            sent = self.open.pop(seqid, None)
        if sent is None:
            return
        sent.answered_at = time.time()
        if kind != REPLY:
            sent.answer = "failed"
        else:
            number = struct.unpack_from(">h", message, at + 1)[0]
            sent.answer = {0: "served", 1: "refused", 2: "failed"}[number]
            if number == 0:
                length = struct.unpack_from(">i", message, at + 6)[0]
                sent.body = message[at + 10 : at + 10 + length]
        sent.done.set()

    def _end(self) -> None:
        with self.lock:
            self.ended = True
            for sent in self.open.values():
                sent.answer, sent.answered_at = "broken", time.time()
                sent.done.set()
            self.open.clear()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
