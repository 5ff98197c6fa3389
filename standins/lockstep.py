"""Clients and engines in lockstep with the program: it gets its next input when it has become idle.

They use plain blocking sockets in a process of their own. Input that is to arrive together is written while
the program is stopped (SIGSTOP), so that a single poll returns all of it, in the same order each time.
"""

from __future__ import annotations

import os
import select
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from aspenrill.wire import tds, thrift

TIMEOUT = 20.0  # seconds to wait for expected data


def process_state(pid: int) -> str:
    """Return a process's state from /proc: S if it sleeps, T if it is stopped."""
    with open(f"/proc/{pid}/stat", "rb") as file:
        return file.read().rpartition(b")")[2].split()[0].decode()


class MissingData(Exception):
    """Expected data did not arrive."""


class BufferedSocket:
    """One connection with a receive buffer."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(TIMEOUT)

    def receive(self) -> bool:
        """Receive into the buffer; False at the end of the stream."""
        data = self.sock.recv(1 << 16)
        self.buffer += data
        return bool(data)

    def read(self, size: int) -> bytes:
        """Read exactly `size` bytes."""
        while len(self.buffer) < size:
            if not self.receive():
                raise MissingData("closed")
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data


class LockstepPeers:
    """The peers of one process of the program: an engine, a bulletin that sends nothing, and clients."""

    def __init__(self) -> None:
        self.pid = 0
        self.in_step = True  # False: no waiting for the program to become idle
        self.engine = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.bulletin = socket.create_server(("127.0.0.1", 0), backlog=8)
        self.connections: list[BufferedSocket] = []
        self.immediate_reply: Callable[[bytes], bytes | None] = lambda request: (
            None
        )  # immediate replies, None: queue the request

    # ---- lockstep -------------------------------------------------------------------------------------

    def wait_idle(self) -> None:
        """Wait until the program is idle."""
        if not self.in_step:
            return
        until, sleeping_checks = time.monotonic() + TIMEOUT, 0
        while sleeping_checks < 3:
            if time.monotonic() > until:
                raise MissingData("the program does not become idle")
            sleeping_checks = sleeping_checks + 1 if process_state(self.pid) == "S" else 0
            if sleeping_checks < 3:
                time.sleep(0.00005)

    @contextmanager
    def delivered_at_once(self) -> Iterator[None]:
        """Deliver everything that is written inside the block to the program at once."""
        if not self.in_step:
            yield
            return
        self.wait_idle()
        os.kill(self.pid, signal.SIGSTOP)
        until = time.monotonic() + TIMEOUT
        while process_state(self.pid) != "T":
            if time.monotonic() > until:
                raise MissingData("the program does not stop")
        try:
            yield
        finally:
            os.kill(self.pid, signal.SIGCONT)

    def requests(self, count: int, split: Callable[[bytes], int]) -> list[tuple[BufferedSocket, bytes]]:
        """Return the next requests at the engine, in the order of their connections. `split` returns the size
        of the first request in a buffer, 0 if it is incomplete."""
        found: list[tuple[BufferedSocket, bytes]] = []
        until = time.monotonic() + TIMEOUT
        while True:
            for wire in self.connections:
                while size := split(wire.buffer):
                    request, wire.buffer = wire.buffer[:size], wire.buffer[size:]
                    reply = self.immediate_reply(request)
                    if reply is not None:
                        self.wait_idle()
                        wire.sock.sendall(reply)
                    else:
                        found.append((wire, request))
            if len(found) >= count:
                return found
            if time.monotonic() > until:
                raise MissingData(f"{len(found)} of {count} requests at the engine")
            socks = {wire.sock: wire for wire in self.connections}
            for sock in select.select([self.engine, self.bulletin, *socks], [], [], 0.5)[0]:
                if sock in (self.engine, self.bulletin):
                    new = sock.accept()[0]
                    if sock is self.engine:
                        self.connections.append(BufferedSocket(new))
                    else:
                        self.silent = new
                elif not socks[sock].receive():
                    self.connections.remove(socks[sock])


# ---- HTTP engines -------------------------------------------------------------------------------------


def http_request_size(buffer: bytes) -> int:
    """Return the size of the first HTTP request, 0 if it is incomplete."""
    at = buffer.find(b"\r\n\r\n")
    if at < 0:
        return 0
    head = buffer[:at].lower()
    length = 0
    if (found := head.find(b"content-length:")) >= 0:
        length = int(head[found + 15 :].split(b"\r\n")[0])
    return at + 4 + length if len(buffer) >= at + 4 + length else 0


def http_response(body: bytes, fields: str, status: int = 200) -> bytes:
    """Return an HTTP response."""
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def first_page_response(body: bytes, pages: int = 1) -> bytes:
    """Return the response to a successful query with its first page."""
    return http_response(
        body, f"X-Batches: {pages}\r\nX-Spent: 120\r\nX-Wanted: 8\r\nX-Meter: inflight:1;util:0.1\r\n"
    )


def probe_response(request: bytes) -> bytes | None:
    """Return the response to a probe, a priority change or a deletion; None for other requests."""
    if request.startswith(b"GET /stats"):
        return http_response(b"", "X-Meter: util:0.1;queue:0;x0:0.1;x1:0.1\r\n")
    if request.startswith((b"PUT", b"DELETE")):
        return b"HTTP/1.1 204 X\r\n\r\n"
    return None


class ThriftClient:
    """A client whose calls have the sequence numbers 1, 2, 3, ..."""

    def __init__(self, address: tuple[str, int], serial: int = 0) -> None:
        self.connection = BufferedSocket(socket.create_connection(address, TIMEOUT))
        self.number, self.serial = 0, serial  # request ids are derived from both and repeat in each run

    def call(self, kind: str, statement: str, timeout: int = 20000) -> bytes:
        """Return the next call as bytes."""
        self.number += 1
        fields = {
            "kind": kind,
            "req": f"{self.serial & 0xFFFF:04x}{self.number:012x}",
            "owner": "main",
            "timeout": str(timeout),
            "opkey": "ab" * 16,
        }
        body = thrift.field(thrift.MAP, 1, thrift.text_map(fields)) + thrift.field(
            thrift.STRING, 2, thrift.binary(statement.encode())
        )
        return thrift.frame(thrift.CALL, "serve", self.number, body)

    def reply(self) -> thrift.Message:
        """Read the next answer."""
        return thrift.read_message(self.connection.read(struct.unpack(">I", self.connection.read(4))[0]))


# ---- TDS engines --------------------------------------------------------------------------------------


def tds_message_size(buffer: bytes) -> int:
    """Return the size of the first TDS message, 0 if it is incomplete."""
    at = 0
    while len(buffer) >= at + 8:
        size = int.from_bytes(buffer[at + 2 : at + 4], "big")
        if len(buffer) < at + size:
            return 0
        at += size
        if buffer[at - size + 1] & tds.END_OF_MESSAGE:
            return at
    return 0


def tds_payload(message: bytes) -> bytes:
    """Return the payload of the packets of a message."""
    at, parts = 0, []
    while at < len(message):
        size = int.from_bytes(message[at + 2 : at + 4], "big")
        parts.append(message[at + 8 : at + size])
        at += size
    return b"".join(parts)


def session_response(message: bytes) -> bytes | None:
    """Return the reply to a message that opens a session; None for a batch."""
    if message[0] == tds.PRELOGIN:
        return tds.packets(tds.REPLY, tds.prelogin())
    if message[0] == tds.LOGIN7:
        return tds.packets(tds.REPLY, tds.login_response(tds.read_login7(tds_payload(message)), "bench"))
    return None


class TdsClient:
    """A client with one session."""

    def __init__(self, address: tuple[str, int], user: str) -> None:
        self.connection = BufferedSocket(socket.create_connection(address, TIMEOUT))
        self.connection.sock.sendall(tds.packets(tds.PRELOGIN, tds.prelogin()))
        self.message()
        self.connection.sock.sendall(tds.packets(tds.LOGIN7, tds.login7(tds.Login(user, "bench"))))
        self.message()

    def message(self) -> bytes:
        """Read the next complete message."""
        while not (size := tds_message_size(self.connection.buffer)):
            if not self.connection.receive():
                raise MissingData("closed")
        return self.connection.read(size)
