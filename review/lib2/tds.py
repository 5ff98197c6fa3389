"""A client and an engine that speak TDS, as MS-TDS 7.4 says: logins, batches, results of text columns."""

from __future__ import annotations

import contextlib
import re
import select
import socket
import struct
import threading
import time

from .record import Record

BATCH, REPLY, ATTENTION, LOGIN7, PRELOGIN = 1, 4, 6, 16, 18
HEAD = struct.Struct(">BBHHBB")
VERSION = 0x74000004
STREAMED = 0.8  # seconds between the first row of a long answer and the others
RESET = 0x18  # RESETCONNECTION, RESETCONNECTIONSKIPTRAN
ROW = b"\xd1"
ROWCOUNT = re.compile(r"set rowcount (\d+)")
PRELOGIN_BODY = struct.pack(">BHHBHHB", 0, 11, 6, 1, 17, 1, 0xFF) + struct.pack(">BBHH", 16, 0, 0, 0) + b"\2"


def _exactly(sock: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise ConnectionError("closed")
        data += part
    return data


def _read(sock: socket.socket) -> tuple[int, int, bytes]:
    """A message: its type, the status of its first packet, its content."""
    body, last, kind, first = b"", False, 0, -1
    while not last:
        kind, status, size, *_ = HEAD.unpack(_exactly(sock, 8))
        first = status if first < 0 else first
        body += _exactly(sock, size - 8)
        last = bool(status & 1)
    return kind, first, body


def _write(sock: socket.socket, kind: int, body: bytes, last: bool = True) -> None:
    sock.sendall(HEAD.pack(kind, int(last), 8 + len(body), 0, 1, 0) + body)


def _done(status: int = 0, rows: int = 0) -> bytes:
    return struct.pack("<BHHQ", 0xFD, status | (0x10 if rows else 0), 0xC1 if rows else 0, rows)


class TdsEngine:
    """An engine: each batch is answered with `rows` rows, the name of the engine and a number.

    A session has a ROWCOUNT, as Transact-SQL has it: it holds until it is set again, or until a message comes
    with RESETCONNECTION (MS-TDS 2.2.3.1.2). A batch that sets it and sets it back streams its
    answer for STREAMED seconds before its last statement runs; an Attention ends the batch where it is.
    """

    def __init__(self, name: str, record: Record, rows: int = 1) -> None:
        self.name, self.record, self.rows = name, record, rows
        self.statements: list[str] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        most = 0  # the ROWCOUNT of this session; 0: no limit
        with contextlib.suppress(OSError), sock:
            while True:
                kind, status, body = _read(sock)
                if kind == PRELOGIN:
                    _write(sock, REPLY, PRELOGIN_BODY)
                elif kind == LOGIN7:
                    name = self.name.encode("utf-16-le")
                    ack = b"\1" + struct.pack(">I", VERSION) + bytes([len(self.name)]) + name + b"\x10\0\0\0"
                    _write(sock, REPLY, b"\xad" + struct.pack("<H", len(ack)) + ack + _done())
                elif kind == ATTENTION:
                    _write(sock, REPLY, _done(0x20))
                else:
                    statement = body[struct.unpack_from("<I", body)[0] :].decode("utf-16-le")
                    self.statements.append(statement)
                    most = 0 if status & RESET else most
                    if found := ROWCOUNT.match(statement):
                        most = int(found[1])
                    count = min(self.rows, most or self.rows)
                    self.record(f"{self.name}: ran {statement!r}: {count} of {self.rows} rows")
                    if found and statement.endswith("set rowcount 0"):
                        columns_and_row = self._result(1)[: -len(_done())]
                        _write(sock, REPLY, columns_and_row, last=False)
                        if select.select([sock], [], [], STREAMED)[0] and _read(sock)[0] == ATTENTION:
                            self.record(f"{self.name}: an Attention ends the batch after 1 of {count} rows")
                            _write(sock, REPLY, _done(0x20))
                            continue
                        most = 0
                        first = len(columns_and_row)
                        _write(sock, REPLY, self._result(count)[first:])
                    else:
                        _write(sock, REPLY, self._result(count))

    def _result(self, count: int) -> bytes:
        columns = struct.pack("<BH", 0x81, 2)
        for name in ("engine", "row"):
            columns += struct.pack("<IHBH", 0, 1, 0xE7, 8000) + bytes.fromhex("0904d00034")
            columns += bytes([len(name)]) + name.encode("utf-16-le")
        rows = b""
        for number in range(count):
            rows += ROW
            for value in (self.name, f"bag {number}"):
                data = value.encode("utf-16-le")
                rows += struct.pack("<H", len(data)) + data
        return columns + rows + _done(rows=count)


class TdsClient:
    """A client with one login."""

    def __init__(self, address: tuple[str, int], user: str) -> None:
        self.sock = socket.create_connection(address, 30)
        _write(self.sock, PRELOGIN, PRELOGIN_BODY)
        _read(self.sock)
        texts = [b"", user.encode("utf-16-le"), b"", "clerk".encode("utf-16-le"), b"", b"", b"", b"", b""]
        table, data = b"", b""
        for text in texts:
            table += struct.pack("<HH", 94 + len(data), len(text) // 2)
            data += text
        end = 94 + len(data)
        table += b"\0" * 6 + struct.pack("<HHHHHHI", end, 0, end, 0, end, 0, 0)
        head = struct.pack("<IIIIIIBBBBII", end, VERSION, 4096, 7, 0, 0, 0xE0, 3, 0, 0, 0, 0)
        _write(self.sock, LOGIN7, head + table + data)
        _read(self.sock)

    def request(self, statement: str, cancel_after: float = 0.0) -> tuple[bool, int]:
        """Run a batch. Returns whether it was served, and the number of rows.

        `cancel_after`: seconds until an Attention; the answer is then its acknowledgement."""
        body = struct.pack("<IIHQI", 22, 18, 2, 0, 1) + statement.encode("utf-16-le")
        _write(self.sock, BATCH, body)
        if cancel_after:
            time.sleep(cancel_after)
            _write(self.sock, ATTENTION, b"")
        _, _, answer = _read(self.sock)
        return answer[:1] == b"\x81", struct.unpack("<Q", answer[-8:])[0]
