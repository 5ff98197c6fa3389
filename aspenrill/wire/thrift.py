"""The strict binary protocol of Thrift, framed, as far as the front end needs it."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from . import Malformed

# message types
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# types of an application exception
UNKNOWN_METHOD = 1
BAD_SEQUENCE = 4
INTERNAL_ERROR = 6
PROTOCOL_ERROR = 7

# types of values
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15

VERSION = 0x8001
MAX_DEPTH = 8  # of nested values
MAX_VALUES = 1000  # of a message; a usual call has some 15
U32_STRUCT = struct.Struct(">I")
I8_STRUCT = struct.Struct(">b")
I16_STRUCT = struct.Struct(">h")
I32_STRUCT = struct.Struct(">i")
FIXED_SIZE_STRUCTS = {
    BOOL: I8_STRUCT,
    BYTE: I8_STRUCT,
    I16: I16_STRUCT,
    I32: I32_STRUCT,
    I64: struct.Struct(">q"),
    DOUBLE: struct.Struct(">d"),
}


@dataclass(frozen=True)
class Message:
    """A message: header, and arguments by field number (None if they cannot be parsed)."""

    kind: int
    name: str
    seqid: int
    args: dict[int, Any] | None


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.position, self.end = data, 0, len(data)
        self.values = 0  # that were met, each of which takes time and memory, however short it is

    def unpack(self, struct_format: struct.Struct) -> Any:
        at = self.position
        self.position = at + struct_format.size
        if self.position > self.end:
            raise Malformed(f"message ends within a value at byte {at}")
        return struct_format.unpack_from(self.data, at)[0]

    def binary(self) -> bytes:
        at = self.position + 4
        if at > self.end:
            raise Malformed(f"message ends within a length at byte {self.position}")
        size = int.from_bytes(self.data[at - 4 : at], "big", signed=True)
        self.position = at + size
        if size < 0 or self.position > self.end:
            raise Malformed(f"length {size} at byte {at - 4}")
        return self.data[at : self.position]

    def count(self, min_size: int) -> int:
        """Reads the number of elements, each of which takes at least `min_size` bytes."""
        count = self.unpack(I32_STRUCT)
        if not 0 <= count * min_size <= len(self.data) - self.position:
            raise Malformed(f"{count} elements at byte {self.position - 4}")
        self.add_values(count)
        return count

    def count_pairs(self, min_size: int) -> int:
        """Reads the number of entries of a map, of two values each."""
        count = self.count(min_size)
        self.add_values(count)
        return count

    def add_values(self, count: int) -> None:
        """Counts values before they are read. Raises Malformed if the message has too many."""
        self.values += count
        if self.values > MAX_VALUES:
            raise Malformed(f"over {MAX_VALUES} values")

    def value(self, kind: int, depth: int) -> Any:
        if kind in FIXED_SIZE_STRUCTS:
            value = self.unpack(FIXED_SIZE_STRUCTS[kind])
            return bool(value) if kind == BOOL else value
        if kind == STRING:
            return self.binary()
        if depth >= MAX_DEPTH:
            raise Malformed("nested too deeply")
        if kind == STRUCT:
            return self.struct(depth + 1)
        if kind == MAP:
            key, item = self.unpack(I8_STRUCT), self.unpack(I8_STRUCT)
            if key == item == STRING:
                binary = self.binary
                return {binary(): binary() for _ in range(self.count_pairs(8))}
            pairs = [
                (self.value(key, depth + 1), self.value(item, depth + 1)) for _ in range(self.count_pairs(2))
            ]
            if key in (STRUCT, MAP, SET, LIST):
                return pairs
            return dict(pairs)
        if kind in (SET, LIST):
            item = self.unpack(I8_STRUCT)
            return [self.value(item, depth + 1) for _ in range(self.count(1))]
        raise Malformed(f"no such type: {kind}")

    def struct(self, depth: int) -> dict[int, Any]:
        fields = {}
        while kind := self.unpack(I8_STRUCT):
            self.add_values(1)
            number = self.unpack(I16_STRUCT)
            fields[number] = self.value(kind, depth)
        return fields


def read_message(frame: bytes) -> Message:
    """Parses the message in a frame. Raises Malformed if its header is invalid, so that it cannot be
    answered.
    """
    reader = _Reader(frame)
    head = reader.unpack(U32_STRUCT)
    if head >> 16 != VERSION:
        raise Malformed("not the strict binary protocol")
    name = reader.binary().decode("utf-8", "replace")
    seqid = reader.unpack(I32_STRUCT)
    try:
        args = reader.struct(0)
        if reader.position != len(frame):
            args = None
    except Malformed:
        args = None
    return Message(head & 0xFF, name, seqid, args)


FORGET_HEAD = b"\x80\x01\x00\x04\x00\x00\x00\x06forget"  # the beginning of a `forget` message


def forgotten_calls(data: bytes) -> Iterator[Any]:
    """Yields the argument of each complete `forget` in a series of frames, up to one that cannot be read."""
    at = 0
    while at + 4 <= len(data):
        start = at + 4
        at += frame_size(data, at)
        if start < at <= len(data) and data.startswith(FORGET_HEAD, start):
            try:
                yield (read_message(data[start:at]).args or {}).get(1)
            except Malformed:
                return


def frame_size(data: bytes, at: int) -> int:
    """Returns the size of the frame that starts at `at`, including its length field."""
    return 4 + int.from_bytes(data[at : at + 4], "big")


def sequence_number(framed: bytes) -> int:
    """Returns the sequence number of a complete framed message that this module encoded."""
    name_end = 12 + int.from_bytes(framed[8:12], "big")
    return int.from_bytes(framed[name_end : name_end + 4], "big", signed=True)


def binary(data: bytes) -> bytes:
    """Encodes a string or binary value."""
    return struct.pack(">i", len(data)) + data


def field(kind: int, number: int, value: bytes) -> bytes:
    """Encodes a field of a struct."""
    return struct.pack(">bh", kind, number) + value


def text_map(fields: dict[str, str]) -> bytes:
    """Encodes a map<string,string>."""
    pairs = b"".join(binary(k.encode()) + binary(v.encode()) for k, v in fields.items())
    return struct.pack(">bbi", STRING, STRING, len(fields)) + pairs


def frame(kind: int, name: str, seqid: int, body: bytes) -> bytes:
    """Encodes a complete framed message; `body` holds the encoded fields of its struct."""
    head = struct.pack(">I", VERSION << 16 | kind) + binary(name.encode()) + struct.pack(">i", seqid)
    return struct.pack(">i", len(head) + len(body) + 1) + head + body + b"\0"


SERVE_HEAD = b"\x80\x01\x00\x01\x00\x00\x00\x05serve"
FIELDS_HEAD = b"\x0d\x00\x01\x0b\x0b\x00\x00\x00"  # field 1, a map<string,string> with fewer than 256 entries
BODY_HEAD = b"\x0b\x00\x02\x00"  # field 2, a binary of fewer than 2^24 bytes


def read_serve(data: bytes, at: int, end: int) -> tuple[int, dict[bytes, bytes], bytes] | None:
    """Parses a `serve` call in its usual encoding, without copying the frame.

    Returns sequence number, fields and body; None for any other encoding, which `read_message` may still
    parse.
    """
    if not data.startswith(SERVE_HEAD, at):
        return None
    at += len(SERVE_HEAD)
    try:
        seqid = int.from_bytes(data[at : at + 4], "big", signed=True)
        at += 4
        if not data.startswith(FIELDS_HEAD, at):
            return None
        at += len(FIELDS_HEAD)
        count, at, fields = data[at], at + 1, {}
        for _ in range(count):
            if data[at] or data[at + 1]:
                return None
            end_at = at + 4 + (data[at + 2] << 8 | data[at + 3])
            key, at = data[at + 4 : end_at], end_at
            if data[at] or data[at + 1]:
                return None
            end_at = at + 4 + (data[at + 2] << 8 | data[at + 3])
            fields[key], at = data[at + 4 : end_at], end_at
        if not data.startswith(BODY_HEAD, at):
            return None
        start = at + 7
        end_at = start + (data[at + 4] << 16 | data[at + 5] << 8 | data[at + 6])
        if end_at + 1 != end or data[end_at]:
            return None
        return seqid, fields, data[start:end_at]
    except IndexError:
        return None


REPLY_HEAD = struct.Struct(">iIi5sibhbhi")
REPLY_END = field(MAP, 2, text_map({})) + field(BOOL, 3, b"\1") + b"\0\0"


def answer_parts(seqid: int, pages: tuple[bytes, ...]) -> list[bytes]:
    """Encodes a successful reply to `serve` that holds the pages, in parts to avoid copying them."""
    size = sum(map(len, pages))
    head = REPLY_HEAD.pack(
        REPLY_HEAD.size - 4 + size + len(REPLY_END),
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
    return [head, *pages, REPLY_END]


def answer(name: str, seqid: int, body: bytes, fields: dict[str, str], good: bool) -> bytes:
    """Encodes a reply that holds an Answer struct."""
    inner = (
        field(STRING, 1, binary(body))
        + field(MAP, 2, text_map(fields))
        + field(BOOL, 3, b"\1" if good else b"\0")
        + b"\0"
    )
    return frame(REPLY, name, seqid, field(STRUCT, 0, inner))


def declared_exception(name: str, seqid: int, number: int, fields: dict[str, str]) -> bytes:
    """Encodes a reply that holds a declared exception: field 1 is Shed, 2 is Fault."""
    return frame(REPLY, name, seqid, field(STRUCT, number, field(MAP, 1, text_map(fields)) + b"\0"))


def application_exception(name: str, seqid: int, kind: int, text: str) -> bytes:
    """Encodes an application exception."""
    body = field(STRING, 1, binary(text.encode())) + field(I32, 2, struct.pack(">i", kind))
    return frame(EXCEPTION, name, seqid, body)
