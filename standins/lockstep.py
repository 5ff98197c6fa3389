"""Clients and engines that move in step with the program: it gets the next thing when it has come to rest.

Plain blocking sockets in a process of their own. What is to reach the program together is written while the
program is stopped (SIGSTOP), so that one look brings all of it, in the same order each time.
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

PATIENCE = 20.0  # seconds until something that should come is given up


def state_of(pid: int) -> str:
    """A process's state as the system has it: S where it sleeps."""
    with open(f"/proc/{pid}/stat", "rb") as file:
        return file.read().rpartition(b")")[2].split()[0].decode()


class Gone(Exception):
    """What should have come did not."""


class Wire:
    """One connection with a buffer of what has come."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.held = sock, b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(PATIENCE)

    def more(self) -> bool:
        """Take what has come; False at the end."""
        data = self.sock.recv(1 << 16)
        self.held += data
        return bool(data)

    def pull(self, size: int) -> bytes:
        """So many bytes."""
        while len(self.held) < size:
            if not self.more():
                raise Gone("closed")
        data, self.held = self.held[:size], self.held[size:]
        return data


class Peers:
    """All that the program of one process speaks to: an engine, a bulletin that is silent, clients."""

    def __init__(self) -> None:
        self.pid = 0
        self.in_step = True  # False: everything goes as fast as it can
        self.engine = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.bulletin = socket.create_server(("127.0.0.1", 0), backlog=8)
        self.wires: list[Wire] = []
        self.answer: Callable[[bytes], bytes | None] = lambda request: None  # what comes off the cuff

    # ---- in step --------------------------------------------------------------------------------------

    def rest(self) -> None:
        """Wait until the program waits."""
        if not self.in_step:
            return
        until, calm = time.monotonic() + PATIENCE, 0
        while calm < 3:
            if time.monotonic() > until:
                raise Gone("the program does not come to rest")
            calm = calm + 1 if state_of(self.pid) == "S" else 0
            if calm < 3:
                time.sleep(0.00005)

    @contextmanager
    def together(self) -> Iterator[None]:
        """What is written within reaches the program as one."""
        if not self.in_step:
            yield
            return
        self.rest()
        os.kill(self.pid, signal.SIGSTOP)
        until = time.monotonic() + PATIENCE
        while state_of(self.pid) != "T":
            if time.monotonic() > until:
                raise Gone("the program does not stop")
        try:
            yield
        finally:
            os.kill(self.pid, signal.SIGCONT)

    def requests(self, count: int, split: Callable[[bytes], int]) -> list[tuple[Wire, bytes]]:
        """The next requests at the engine, in the order of their connections. `split` tells how many bytes of
        a buffer are one request, 0 where it is not whole."""
        found: list[tuple[Wire, bytes]] = []
        until = time.monotonic() + PATIENCE
        while True:
            for wire in self.wires:
                while size := split(wire.held):
                    request, wire.held = wire.held[:size], wire.held[size:]
                    reply = self.answer(request)
                    if reply is not None:
                        self.rest()
                        wire.sock.sendall(reply)
                    else:
                        found.append((wire, request))
            if len(found) >= count:
                return found
            if time.monotonic() > until:
                raise Gone(f"{len(found)} of {count} requests at the engine")
            socks = {wire.sock: wire for wire in self.wires}
            for sock in select.select([self.engine, self.bulletin, *socks], [], [], 0.5)[0]:
                if sock in (self.engine, self.bulletin):
                    new = sock.accept()[0]
                    if sock is self.engine:
                        self.wires.append(Wire(new))
                    else:
                        self.silent = new
                elif not socks[sock].more():
                    self.wires.remove(socks[sock])


# ---- HTTP engines -------------------------------------------------------------------------------------


def http_split(held: bytes) -> int:
    """The size of the first HTTP request, 0 where it is not whole."""
    at = held.find(b"\r\n\r\n")
    if at < 0:
        return 0
    head = held[:at].lower()
    length = 0
    if (found := head.find(b"content-length:")) >= 0:
        length = int(head[found + 15 :].split(b"\r\n")[0])
    return at + 4 + length if len(held) >= at + 4 + length else 0


def http_answer(body: bytes, fields: str, status: int = 200) -> bytes:
    """A response."""
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def first_page(body: bytes, pages: int = 1) -> bytes:
    """A good end."""
    return http_answer(
        body, f"X-Batches: {pages}\r\nX-Spent: 120\r\nX-Wanted: 8\r\nX-Meter: inflight:1;util:0.1\r\n"
    )


def probe_answer(request: bytes) -> bytes | None:
    """What a probe or a priority gets; None where the request is another."""
    if request.startswith(b"GET /stats"):
        return http_answer(b"", "X-Meter: util:0.1;queue:0;x0:0.1;x1:0.1\r\n")
    if request.startswith((b"PUT", b"DELETE")):
        return b"HTTP/1.1 204 X\r\n\r\n"
    return None


class ThriftClient:
    """A client whose calls number 1, 2, 3."""

    def __init__(self, address: tuple[str, int], serial: int = 0) -> None:
        self.wire = Wire(socket.create_connection(address, PATIENCE))
        self.number, self.serial = 0, serial  # ids are made of both: the same in each run

    def call(self, kind: str, statement: str, timeout: int = 20000) -> bytes:
        """The next call as bytes."""
        self.number += 1
        fields = {
            "kind": kind,
            "req": f"{self.serial & 0xFFFF:04x}{self.number:012x}",
            "owner": "main",
            "timeout": str(timeout),
            "opkey": "ab" * 16,
        }
        body = thrift.field(thrift.MAP, 1, thrift.text_map(fields)) + thrift.field(
            thrift.STRING, 2, thrift.blob(statement.encode())
        )
        return thrift.frame(thrift.CALL, "serve", self.number, body)

    def reply(self) -> thrift.Message:
        """The next answer."""
        return thrift.read_message(self.wire.pull(struct.unpack(">I", self.wire.pull(4))[0]))


# ---- TDS engines --------------------------------------------------------------------------------------


def tds_split(held: bytes) -> int:
    """The size of the first TDS message, 0 where it is not whole."""
    at = 0
    while len(held) >= at + 8:
        size = int.from_bytes(held[at + 2 : at + 4], "big")
        if len(held) < at + size:
            return 0
        at += size
        if held[at - size + 1] & tds.END_OF_MESSAGE:
            return at
    return 0


def tds_body(message: bytes) -> bytes:
    """What the packets of a message hold."""
    at, parts = 0, []
    while at < len(message):
        size = int.from_bytes(message[at + 2 : at + 4], "big")
        parts.append(message[at + 8 : at + size])
        at += size
    return b"".join(parts)


def session_answer(message: bytes) -> bytes | None:
    """What opens a session; None for a batch."""
    if message[0] == tds.PRELOGIN:
        return tds.packets(tds.REPLY, tds.prelogin())
    if message[0] == tds.LOGIN7:
        return tds.packets(tds.REPLY, tds.login_answer(tds.read_login7(tds_body(message)), "bench"))
    return None


class TdsClient:
    """A client with one session."""

    def __init__(self, address: tuple[str, int], user: str) -> None:
        self.wire = Wire(socket.create_connection(address, PATIENCE))
        self.wire.sock.sendall(tds.packets(tds.PRELOGIN, tds.prelogin()))
        self.message()
        self.wire.sock.sendall(tds.packets(tds.LOGIN7, tds.login7(tds.Login(user, "bench"))))
        self.message()

    def message(self) -> bytes:
        """The next whole message."""
        while not (size := tds_split(self.wire.held)):
            if not self.wire.more():
                raise Gone("closed")
        return self.wire.pull(size)
