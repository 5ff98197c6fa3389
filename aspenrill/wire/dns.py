"""DNS messages (RFC 1035) as far as service discovery by DNS-SD (RFC 6763) needs them."""
from __future__ import annotations

import struct
from dataclasses import dataclass, field

from . import Malformed

A, PTR, TXT, SRV, IN = 1, 12, 16, 33, 1
HEAD = struct.Struct(">HHHHHH")
RESPONSE, TRUNCATED, RECURSION = 0x8000, 0x0200, 0x0100
MOST_JUMPS = 32


@dataclass(frozen=True)
class Record:
    """A resource record; `data` by its type: an address, a name, texts, or (priority, weight, port, host)."""

    name: tuple[str, ...]
    kind: int
    ttl: int
    data: object


@dataclass(frozen=True)
class Reply:
    """An answer: its number, code, whether it was cut off, and all its records."""

    number: int
    code: int
    truncated: bool
    question: tuple[tuple[str, ...], int] | None
    records: tuple[Record, ...] = field(default=())


def name_of(text: str) -> tuple[str, ...]:
    """A dotted name as labels; a dot within a label is written with a backslash before it."""
    labels, label, escaped = [], "", False
    for char in text.rstrip(".") if not text.endswith("\\.") else text:
        if escaped:
            label, escaped = label + char, False
        elif char == "\\":
            escaped = True
        elif char == ".":
            labels.append(label)
            label = ""
        else:
            label += char
    labels.append(label)
    if any(not 0 < len(part.encode()) < 64 for part in labels):
        raise Malformed(f"name {text!r}")
    return tuple(labels)


def text_of(name: tuple[str, ...]) -> str:
    """Labels as a dotted name."""
    return ".".join(part.replace("\\", "\\\\").replace(".", "\\.") for part in name) + "."


def encode_name(name: tuple[str, ...]) -> bytes:
    """Labels as they stand in a message."""
    return b"".join(bytes([len(part.encode())]) + part.encode() for part in name) + b"\0"


def query(number: int, name: tuple[str, ...], kind: int) -> bytes:
    """A question for records of a kind under a name."""
    return HEAD.pack(number, RECURSION, 1, 0, 0, 0) + encode_name(name) + struct.pack(">HH", kind, IN)


def encode_record(record: Record) -> bytes:
    """A resource record as it stands in a message."""
    if record.kind == A:
        data = bytes(int(part) for part in str(record.data).split("."))
    elif record.kind == PTR:
        data = encode_name(record.data)
    elif record.kind == SRV:
        *numbers, host = record.data
        data = struct.pack(">HHH", *numbers) + encode_name(host)
    else:
        data = b"".join(bytes([len(t.encode())]) + t.encode() for t in record.data) or b"\0"
    return (encode_name(record.name) + struct.pack(">HHIH", record.kind, IN, record.ttl, len(data)) + data)


def response(number: int, name: tuple[str, ...], kind: int, answers: list[Record], more: list[Record] = (),
             code: int = 0, truncated: bool = False) -> bytes:
    """An answer to a question."""
    flags = RESPONSE | RECURSION | (TRUNCATED if truncated else 0) | code
    return (HEAD.pack(number, flags, 1, len(answers), 0, len(more)) + encode_name(name)
            + struct.pack(">HH", kind, IN) + b"".join(map(encode_record, [*answers, *more])))


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: str) -> tuple:
        size = struct.calcsize(form)
        if self.at + size > len(self.data):
            raise Malformed("message ends within a record")
        self.at += size
        return struct.unpack_from(form, self.data, self.at - size)

    def name(self) -> tuple[str, ...]:
        labels, at, after, jumps = [], self.at, None, 0
        while True:
            if at >= len(self.data):
                raise Malformed("message ends within a name")
            size = self.data[at]
            if size >= 0xC0:
                if at + 1 >= len(self.data) or jumps >= MOST_JUMPS:
                    raise Malformed("name that points in a circle")
                after = at + 2 if after is None else after
                at, jumps = (size & 0x3F) << 8 | self.data[at + 1], jumps + 1
                continue
            if size > 63 or at + 1 + size > len(self.data):
                raise Malformed("label too long")
            at += 1 + size
            if not size:
                break
            labels.append(self.data[at - size:at].decode("utf-8", "replace"))
            if sum(map(len, labels)) + len(labels) > 255:
                raise Malformed("name too long")
        self.at = at if after is None else after
        return tuple(labels)

    def record(self) -> Record | None:
        name = self.name()
        kind, family, ttl, size = self.take(">HHIH")
        end = self.at + size
        if end > len(self.data):
            raise Malformed("record beyond the end")
        data: object = None
        if family == IN and kind == A and size == 4:
            data = ".".join(map(str, self.data[self.at:end]))
        elif family == IN and kind == PTR:
            data = self.name()
        elif family == IN and kind == SRV:
            data = (*self.take(">HHH"), self.name())
        elif family == IN and kind == TXT:
            texts, at = [], self.at
            while at < end:
                texts.append(self.data[at + 1:at + 1 + self.data[at]].decode("utf-8", "replace"))
                at += 1 + self.data[at]
            data = tuple(texts)
        self.at = end
        return None if data is None else Record(name, kind, min(ttl, 0x7FFFFFFF), data)


def read_reply(data: bytes) -> Reply:
    """An answer; records of other kinds are passed over."""
    reader = _Reader(data)
    number, flags, questions, answers, authorities, more = reader.take(">HHHHHH")
    if not flags & RESPONSE:
        raise Malformed("not an answer")
    question = None
    for _ in range(questions):
        name = reader.name()
        question = (name, reader.take(">HH")[0])
    records = [reader.record() for _ in range(answers + authorities + more)]
    return Reply(number, flags & 0xF, bool(flags & TRUNCATED), question, tuple(r for r in records if r))
