"""DNS messages (RFC 1035) as a stub resolver needs them: names, common record types, EDNS(0) (RFC 6891).

Names are tuples of labels without the root. Bytes that are not UTF-8 are kept as surrogate escapes.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from . import Malformed

# record types
A = 1
NS = 2
CNAME = 5
SOA = 6
PTR = 12
TXT = 16
AAAA = 28
SRV = 33
OPT = 41
IN = 1  # class
RECORD_TYPES = {
    "A": A,
    "NS": NS,
    "CNAME": CNAME,
    "SOA": SOA,
    "PTR": PTR,
    "TXT": TXT,
    "AAAA": AAAA,
    "SRV": SRV,
}
# response codes
NOERROR = 0
FORMERR = 1
SERVFAIL = 2
NXDOMAIN = 3
NOTIMP = 4
REFUSED = 5
HEADER = struct.Struct(">HHHHHH")  # id, flags, and the number of entries in each of four sections
RECORD_HEADER = struct.Struct(">HHIH")  # of a record: type, class, time to live, size of the data
FLAG_RESPONSE = 0x8000
FLAG_AUTHORITATIVE = 0x0400
FLAG_TRUNCATED = 0x0200
FLAG_RECURSION_DESIRED = 0x0100
OPCODE_MASK = 0x7800
MAX_POINTERS = 32  # compression pointers followed in one name
MAX_NAME_SIZE = 255  # bytes of an encoded name, RFC 1035, 2.3.4
MAX_TTL = 0x7FFFFFFF  # seconds
EDNS_PAYLOAD_SIZE = 1232  # bytes of a UDP response that is unlikely to be fragmented

Name = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Record:
    """A resource record; `ttl` is in seconds.

    `data` depends on the type: the address as text (A, AAAA), a name (CNAME, NS, PTR), a tuple of texts
    (TXT), (priority, weight, port, host) for SRV or (serial, minimum) for SOA.
    """

    name: Name
    kind: int
    ttl: int
    data: object


@dataclass(frozen=True, slots=True)
class Reply:
    """A response message: id, response code, flags, question and records.

    `records` is the answer section and `authority` the authority section. The additional section is only
    validated; `edns` tells whether it holds an OPT record.
    """

    number: int
    code: int
    truncated: bool
    question: tuple[Name, int] | None
    records: tuple[Record, ...] = ()
    authority: tuple[Record, ...] = ()
    authoritative: bool = False
    edns: bool = False


def parse_name(text: str) -> Name:
    """Parses a dotted name into labels; a backslash escapes a dot within a label."""
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
    if (
        any(not 0 < len(_label_bytes(part)) < 64 for part in labels)
        or len(encode_name(tuple(labels))) > MAX_NAME_SIZE
    ):
        raise Malformed(f"name {text!r}")
    return tuple(labels)


def format_name(name: Name) -> str:
    """Formats labels as a printable dotted name, which `parse_name` parses back if it is UTF-8."""
    text = ".".join(part.replace("\\", "\\\\").replace(".", "\\.") for part in name) + "."
    return text.encode("utf-8", "backslashreplace").decode()


def fold_case(name: Name) -> Name:
    """Lower-cases the ASCII letters of a name for comparison (RFC 4343)."""
    return tuple(
        part.lower() if part.isascii() else "".join(c.lower() if c.isascii() else c for c in part)
        for part in name
    )


def _label_bytes(label: str) -> bytes:
    return label.encode("utf-8", "surrogateescape")


def encode_name(name: Name) -> bytes:
    """Encodes labels without compression."""
    return b"".join(bytes([len(raw)]) + raw for raw in map(_label_bytes, name)) + b"\0"


def encode_query(number: int, name: Name, kind: int, payload: int = 0) -> bytes:
    """Encodes a query for records of a type; with EDNS(0) if a payload size is given."""
    body = encode_name(name) + struct.pack(">HH", kind, IN)
    if payload:
        body += b"\0" + RECORD_HEADER.pack(OPT, payload, 0, 0)
    return HEADER.pack(number, FLAG_RECURSION_DESIRED, 1, 0, 0, bool(payload)) + body


class _Reader:
    """Reads one message. Compression pointers must point backwards, so that a name cannot loop."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0
        self.names: dict[int, Name] = {}  # by offset, so that following a pointer to a known name is cheap

    def take(self, form: struct.Struct) -> tuple:
        """Reads the fields of a struct."""
        if self.at + form.size > len(self.data):
            raise Malformed("message ends within a record")
        self.at += form.size
        return form.unpack_from(self.data, self.at - form.size)

    def name(self) -> Name:
        """Reads a name and follows its compression pointers."""
        data, start, at, end_at, jumps = self.data, self.at, self.at, None, 0
        labels: list[str] = []
        lowest_target, name_size = start, 1
        while True:
            if at >= len(data):
                raise Malformed("message ends within a name")
            size = data[at]
            if size >= 0xC0:
                if at + 1 >= len(data):
                    raise Malformed("message ends within a name")
                target = (size & 0x3F) << 8 | data[at + 1]
                end_at = at + 2 if end_at is None else end_at
                jumps += 1
                if target >= lowest_target or jumps > MAX_POINTERS:
                    raise Malformed("name that points in a circle")
                lowest_target = at = target
                known = self.names.get(target)
                if known is not None:
                    labels += known
                    name_size += sum(len(_label_bytes(part)) + 1 for part in known)
                    break
                continue
            if size > 63 or at + 1 + size > len(data):
                raise Malformed("label too long")
            at += 1 + size
            if not size:
                break
            labels.append(data[at - size : at].decode("utf-8", "surrogateescape"))
            name_size += size + 1
            if name_size > MAX_NAME_SIZE:
                break
        if name_size > MAX_NAME_SIZE:
            raise Malformed("name too long")
        self.at = at if end_at is None else end_at
        found = self.names[start] = tuple(labels)
        return found

    def record(self) -> tuple[Record | None, bool]:
        """Reads a record, None if its type is not supported; and whether it is an OPT record."""
        name = self.name()
        kind, record_class, ttl, size = self.take(RECORD_HEADER)
        end = self.at + size
        if end > len(self.data):
            raise Malformed("record beyond the end")
        if kind == OPT:
            self.at = end
            return None, True
        data = self._data(kind, end) if record_class == IN else None
        if data is not None and self.at != end:
            raise Malformed("record whose data does not fit its size")
        self.at = end
        if data is None:
            return None, False
        return Record(
            name, kind, ttl if ttl <= MAX_TTL else 0, data
        ), False  # RFC 2181, 8: larger values count as 0

    def _data(self, kind: int, end: int) -> object:
        if kind in (A, AAAA):
            size, family = (4, socket.AF_INET) if kind == A else (16, socket.AF_INET6)
            if end - self.at != size:
                raise Malformed("address of another size")
            self.at = end
            return socket.inet_ntop(family, self.data[end - size : end])
        if kind in (PTR, CNAME, NS):
            return self.name()
        if kind == SRV:
            numbers = self.take(_SRV_FIELDS)
            return (*numbers, self.name())
        if kind == SOA:
            self.name()
            self.name()
            serial, _, _, _, minimum = self.take(_SOA_FIELDS)
            return serial, minimum
        if kind == TXT:
            texts = []
            while self.at < end:
                size = self.data[self.at]
                if self.at + 1 + size > end:
                    raise Malformed("text beyond its record")
                texts.append(self.data[self.at + 1 : self.at + 1 + size].decode("utf-8", "surrogateescape"))
                self.at += 1 + size
            return tuple(texts)
        return None


_SRV_FIELDS = struct.Struct(">HHH")
_SOA_FIELDS = struct.Struct(">IIIII")
_QUESTION_FIELDS = struct.Struct(">HH")


def parse_reply(data: bytes) -> Reply:
    """Parses a response. Raises Malformed if any part of it is invalid.

    The records of a truncated response are ignored, since it may end within a record.
    """
    reader = _Reader(data)
    number, flags, questions, answers, authorities, additional = reader.take(HEADER)
    if not flags & FLAG_RESPONSE or flags & OPCODE_MASK or questions > 1:
        raise Malformed("not an answer to a question")
    question = None
    for _ in range(questions):
        name = reader.name()
        kind, record_class = reader.take(_QUESTION_FIELDS)
        question = (name, kind) if record_class == IN else None
    code, truncated = flags & 0xF, bool(flags & FLAG_TRUNCATED)
    if truncated:
        return Reply(number, code, True, question)
    sections: list[tuple[Record, ...]] = []
    edns = False
    for count in (answers, authorities, additional):
        found = []
        for _ in range(count):
            record, is_opt = reader.record()
            edns |= is_opt
            if record is not None:
                found.append(record)
        sections.append(tuple(found))
    return Reply(
        number, code, False, question, sections[0], sections[1], bool(flags & FLAG_AUTHORITATIVE), edns
    )
