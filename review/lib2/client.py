"""A client of the front ends: framed Thrift, strict binary protocol."""

from __future__ import annotations

import os
import socket
import struct
from dataclasses import dataclass
from typing import Any

VERSION = 0x80010000
CALL, REPLY, EXCEPTION = 1, 2, 3
BOOL, I32, STRING, STRUCT, MAP = 2, 8, 11, 12, 13


@dataclass
class Answer:
    """The end of a request as its client sees it. `kind`: served, refused, failed or broken."""

    kind: str
    text: str = ""


def _text(value: bytes) -> bytes:
    return struct.pack(">i", len(value)) + value


def _field(kind: int, number: int, value: bytes) -> bytes:
    return struct.pack(">bh", kind, number) + value


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def unpack(self, form: str) -> Any:
        value = struct.unpack_from(form, self.data, self.at)[0]
        self.at += struct.calcsize(form)
        return value

    def text(self) -> bytes:
        size = self.unpack(">i")
        self.at += size
        return self.data[self.at - size : self.at]

    def value(self, kind: int) -> Any:
        if kind == BOOL:
            return bool(self.unpack(">b"))
        if kind == I32:
            return self.unpack(">i")
        if kind == STRING:
            return self.text()
        if kind == STRUCT:
            found = {}
            while inner := self.unpack(">b"):
                number = self.unpack(">h")
                found[number] = self.value(inner)
            return found
        if kind == MAP:
            key, value = self.unpack(">b"), self.unpack(">b")
            return {self.value(key): self.value(value) for _ in range(self.unpack(">i"))}
        raise ValueError(f"type {kind}")


class Client:
    """One connection with one request at a time."""

    def __init__(self, address: tuple[str, int], seconds: float = 30.0) -> None:
        self.sock = socket.create_connection(address, seconds)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.seqid = 0

    def _call(self, name: str, arguments: bytes) -> tuple[int, dict[int, Any]]:
        self.seqid += 1
        body = struct.pack(">I", VERSION | CALL) + _text(name.encode()) + struct.pack(">i", self.seqid)
        body += arguments + b"\0"
        self.sock.sendall(struct.pack(">I", len(body)) + body)
        reader = _Reader(self._exactly(struct.unpack(">I", self._exactly(4))[0]))
        kind = reader.unpack(">I") & 0xFF
        reader.text()
        if reader.unpack(">i") != self.seqid:
            raise ValueError("the answer to another call")
        return kind, reader.value(STRUCT)

    def _exactly(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            part = self.sock.recv(count - len(data))
            if not part:
                raise ConnectionError("the front end closed the connection")
            data += part
        return data

    def request(self, cls: str, statement: str, timeout: float, **more: str) -> Answer:
        """Send a request and wait for its answer."""
        fields = {
            "kind": cls,
            "req": os.urandom(8).hex(),
            "timeout": str(int(timeout * 1000)),
            "owner": "core",
        } | more
        table = struct.pack(">bbi", STRING, STRING, len(fields))
        table += b"".join(_text(key.encode()) + _text(value.encode()) for key, value in fields.items())
        kind, found = self._call(
            "serve", _field(MAP, 1, table) + _field(STRING, 2, _text(statement.encode()))
        )
        if kind == EXCEPTION:
            return Answer("broken", repr(found))
        if 0 in found:
            return Answer("served", found[0][1].decode())
        return Answer("refused" if 1 in found else "failed", repr(found))

    def is_well(self) -> bool:
        """Whether the front end says that it is well."""
        _, found = self._call("isWell", _field(BOOL, 1, b"\1"))
        return bool(found.get(0, {}).get(3))

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def is_well(address: tuple[str, int]) -> bool:
    """Whether a front end accepts and says that it is well."""
    try:
        client = Client(address, 2.0)
        try:
            return client.is_well()
        finally:
            client.close()
    except (OSError, ValueError):
        return False
