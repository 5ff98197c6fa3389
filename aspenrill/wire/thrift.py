"""Thrift's strict binary protocol, as far as the front needs it."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any

from . import Malformed

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
UNKNOWN_METHOD, BAD_SEQUENCE, INTERNAL, PROTOCOL = 1, 4, 6, 7  # types of an application exception
BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15
VERSION = 0x8001
DEEPEST = 8
WORD, BYTE_, SHORT, INT = (struct.Struct(form) for form in (">I", ">b", ">h", ">i"))
FIXED = {
    BOOL: BYTE_,
    BYTE: BYTE_,
    I16: SHORT,
    I32: INT,
    I64: struct.Struct(">q"),
    DOUBLE: struct.Struct(">d"),
}


@dataclass(frozen=True)
class Message:
    """A message's head, and its arguments by field number (None where they cannot be read)."""

    kind: int
    name: str
    seqid: int
    args: dict[int, Any] | None


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at, self.end = data, 0, len(data)

    def unpack(self, form: struct.Struct) -> Any:
        at = self.at
        self.at = at + form.size
        if self.at > self.end:
            raise Malformed(f"message ends within a value at byte {at}")
        return form.unpack_from(self.data, at)[0]

    def blob(self) -> bytes:
        at = self.at + 4
        if at > self.end:
            raise Malformed(f"message ends within a length at byte {self.at}")
        size = int.from_bytes(self.data[at - 4 : at], "big", signed=True)
        self.at = at + size
        if size < 0 or self.at > self.end:
            raise Malformed(f"length {size} at byte {at - 4}")
        return self.data[at : self.at]

    def count(self, least: int) -> int:
        """Number of elements, each of at least so many bytes."""
        count = self.unpack(INT)
        if not 0 <= count * least <= len(self.data) - self.at:
            raise Malformed(f"{count} elements at byte {self.at - 4}")
        return count

    def value(self, kind: int, depth: int) -> Any:
        if kind in FIXED:
            value = self.unpack(FIXED[kind])
            return bool(value) if kind == BOOL else value
        if kind == STRING:
            return self.blob()
        if depth >= DEEPEST:
            raise Malformed("nested too deeply")
        if kind == STRUCT:
            return self.struct(depth + 1)
        if kind == MAP:
            key, item = self.unpack(BYTE_), self.unpack(BYTE_)
            if key == item == STRING:
                blob = self.blob
                return {blob(): blob() for _ in range(self.count(8))}
            pairs = [(self.value(key, depth + 1), self.value(item, depth + 1)) for _ in range(self.count(2))]
            if key in (STRUCT, MAP, SET, LIST):
                return pairs
            return dict(pairs)
        if kind in (SET, LIST):
            item = self.unpack(BYTE_)
            return [self.value(item, depth + 1) for _ in range(self.count(1))]
        raise Malformed(f"no such type: {kind}")

    def struct(self, depth: int) -> dict[int, Any]:
        found = {}
        while kind := self.unpack(BYTE_):
            number = self.unpack(SHORT)
            found[number] = self.value(kind, depth)
        return found


def read_message(frame: bytes) -> Message:
    """The message of a frame. Malformed where not even its head can be read, so that none can answer it."""
    reader = _Reader(frame)
    head = reader.unpack(WORD)
    if head >> 16 != VERSION:
        raise Malformed("not the strict binary protocol")
    name = reader.blob().decode("utf-8", "replace")
    seqid = reader.unpack(INT)
    try:
        args = reader.struct(0)
        if reader.at != len(frame):
            args = None
    except Malformed:
        args = None
    return Message(head & 0xFF, name, seqid, args)


def frame_size(data: bytes, at: int) -> int:
    """Bytes of the frame that begins there, with its length."""
    return 4 + int.from_bytes(data[at : at + 4], "big")


def number_of(framed: bytes) -> int:
    """The sequence number of a whole framed message of ours."""
    behind_name = 12 + int.from_bytes(framed[8:12], "big")
    return int.from_bytes(framed[behind_name : behind_name + 4], "big", signed=True)


def blob(data: bytes) -> bytes:
    """A string or binary value."""
    return struct.pack(">i", len(data)) + data


def field(kind: int, number: int, value: bytes) -> bytes:
    """A field of a struct."""
    return struct.pack(">bh", kind, number) + value


def text_map(fields: dict[str, str]) -> bytes:
    """A value of type map<string,string>."""
    pairs = b"".join(blob(k.encode()) + blob(v.encode()) for k, v in fields.items())
    return struct.pack(">bbi", STRING, STRING, len(fields)) + pairs


def frame(kind: int, name: str, seqid: int, body: bytes) -> bytes:
    """A whole framed message; the body is the fields of its struct."""
    head = struct.pack(">I", VERSION << 16 | kind) + blob(name.encode()) + struct.pack(">i", seqid)
    return struct.pack(">i", len(head) + len(body) + 1) + head + body + b"\0"


SERVE = b"\x80\x01\x00\x01\x00\x00\x00\x05serve"
FIELDS = b"\x0d\x00\x01\x0b\x0b\x00\x00\x00"  # field 1, a map of texts with fewer than 256 entries
BODY = b"\x0b\x00\x02\x00"  # field 2, of fewer than 2^24 bytes


def read_serve(data: bytes, at: int, end: int) -> tuple[int, dict[bytes, bytes], bytes] | None:
    """Sequence number, fields and body of a call of `serve` as usual clients write it, without a copy of the
    whole; None where it is written in any other way, which `read_message` may still understand."""
    if not data.startswith(SERVE, at):
        return None
    at += len(SERVE)
    try:
        seqid = int.from_bytes(data[at : at + 4], "big", signed=True)
        at += 4
        if not data.startswith(FIELDS, at):
            return None
        at += len(FIELDS)
        count, at, fields = data[at], at + 1, {}
        for _ in range(count):
            if data[at] or data[at + 1]:
                return None
            stop = at + 4 + (data[at + 2] << 8 | data[at + 3])
            key, at = data[at + 4 : stop], stop
            if data[at] or data[at + 1]:
                return None
            stop = at + 4 + (data[at + 2] << 8 | data[at + 3])
            fields[key], at = data[at + 4 : stop], stop
        if not data.startswith(BODY, at):
            return None
        start = at + 7
        stop = start + (data[at + 4] << 16 | data[at + 5] << 8 | data[at + 6])
        if stop + 1 != end or data[stop]:
            return None
        return seqid, fields, data[start:stop]
    except IndexError:
        return None


SERVED = struct.Struct(">iIi5sibhbhi")
SERVED_END = field(MAP, 2, text_map({})) + field(BOOL, 3, b"\1") + b"\0\0"


def answer_parts(seqid: int, pages: tuple[bytes, ...]) -> list[bytes]:
    """A good reply to `serve` that holds these pages one behind the other, in parts that need no joining."""
    size = sum(map(len, pages))
    head = SERVED.pack(
        SERVED.size - 4 + size + len(SERVED_END),
        VERSION << 16 | REPLY,
        5,
        b"serve",
        seqid,
        STRUCT,
        0,
        STRING,
        1,
        size,
    )
    return [head, *pages, SERVED_END]


def answer(name: str, seqid: int, body: bytes, fields: dict[str, str], good: bool) -> bytes:
    """A reply that holds an Answer."""
    inner = (
        field(STRING, 1, blob(body))
        + field(MAP, 2, text_map(fields))
        + field(BOOL, 3, b"\1" if good else b"\0")
        + b"\0"
    )
    return frame(REPLY, name, seqid, field(STRUCT, 0, inner))


def thrown(name: str, seqid: int, number: int, fields: dict[str, str]) -> bytes:
    """A reply that holds a declared exception: field 1 is Shed, 2 is Fault."""
    return frame(REPLY, name, seqid, field(STRUCT, number, field(MAP, 1, text_map(fields)) + b"\0"))


def broken(name: str, seqid: int, kind: int, text: str) -> bytes:
    """An application exception."""
    body = field(STRING, 1, blob(text.encode())) + field(I32, 2, struct.pack(">i", kind))
    return frame(EXCEPTION, name, seqid, body)
