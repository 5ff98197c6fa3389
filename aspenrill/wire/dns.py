"""DNS messages (RFC 1035) as far as a stub resolver needs them: names, the usual records, EDNS(0) (RFC 6891).

Names are tuples of labels without the root; a label that is not UTF-8 is kept by surrogate escapes.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from . import Malformed

A, NS, CNAME, SOA, PTR, TXT, AAAA, SRV, OPT = 1, 2, 5, 6, 12, 16, 28, 33, 41
IN = 1
KINDS = {"A": A, "NS": NS, "CNAME": CNAME, "SOA": SOA, "PTR": PTR, "TXT": TXT, "AAAA": AAAA, "SRV": SRV}
NOERROR, FORMERR, SERVFAIL, NXDOMAIN, NOTIMP, REFUSED = range(6)
HEAD = struct.Struct(">HHHHHH")
FIXED = struct.Struct(">HHIH")  # of a record: type, class, time to live, size of its data
RESPONSE, AUTHORITATIVE, TRUNCATED, RECURSION, OPCODE = 0x8000, 0x0400, 0x0200, 0x0100, 0x7800
MOST_JUMPS = 32
MOST_NAME = 255  # bytes of a name as it stands in a message, RFC 1035, 2.3.4
MOST_TTL = 0x7FFFFFFF
PAYLOAD = 1232  # bytes of a datagram that passes nearly everywhere unbroken

Name = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Record:
    """A resource record. `data` by its type: an address as text, a name (CNAME, NS, PTR), texts (TXT),
    (priority, weight, port, host) of SRV, (serial, minimum) of SOA. `ttl` in seconds."""

    name: Name
    kind: int
    ttl: int
    data: object


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer: its number, code, flags, question, and the records of its sections.

    `records` are those of the answer section, `authority` those behind it; the additional section is read for
    its form only, and whether it held an OPT.
    """

    number: int
    code: int
    truncated: bool
    question: tuple[Name, int] | None
    records: tuple[Record, ...] = ()
    authority: tuple[Record, ...] = ()
    authoritative: bool = False
    edns: bool = False


def name_of(text: str) -> Name:
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
    if any(not 0 < len(_bytes(part)) < 64 for part in labels) or len(encode_name(tuple(labels))) > MOST_NAME:
        raise Malformed(f"name {text!r}")
    return tuple(labels)


def text_of(name: Name) -> str:
    """Labels as a dotted name that can be printed; `name_of` reads it back where it is UTF-8."""
    text = ".".join(part.replace("\\", "\\\\").replace(".", "\\.") for part in name) + "."
    return text.encode("utf-8", "backslashreplace").decode()


def fold(name: Name) -> Name:
    """Without case (RFC 4343: of ASCII letters only), for comparing."""
    return tuple(
        part.lower() if part.isascii() else "".join(c.lower() if c.isascii() else c for c in part)
        for part in name
    )


def _bytes(label: str) -> bytes:
    return label.encode("utf-8", "surrogateescape")


def encode_name(name: Name) -> bytes:
    """Labels as they stand in a message."""
    return b"".join(bytes([len(raw)]) + raw for raw in map(_bytes, name)) + b"\0"


def query(number: int, name: Name, kind: int, payload: int = 0) -> bytes:
    """A question for records of a kind under a name; with EDNS(0) where a payload size is given."""
    body = encode_name(name) + struct.pack(">HH", kind, IN)
    if payload:
        body += b"\0" + FIXED.pack(OPT, payload, 0, 0)
    return HEAD.pack(number, RECURSION, 1, 0, 0, bool(payload)) + body


class _Reader:
    """Reads one message from front to back. A name may point back only, so that none runs in a circle."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0
        self.names: dict[int, Name] = {}  # those that began at an offset: pointers to it cost nothing more

    def take(self, form: struct.Struct) -> tuple:
        """The next fields."""
        if self.at + form.size > len(self.data):
            raise Malformed("message ends within a record")
        self.at += form.size
        return form.unpack_from(self.data, self.at - form.size)

    def name(self) -> Name:
        """The next name."""
        data, start, at, after, jumps = self.data, self.at, self.at, None, 0
        labels: list[str] = []
        lowest, size_all = start, 1
        while True:
            if at >= len(data):
                raise Malformed("message ends within a name")
            size = data[at]
            if size >= 0xC0:
                if at + 1 >= len(data):
                    raise Malformed("message ends within a name")
                target = (size & 0x3F) << 8 | data[at + 1]
                after = at + 2 if after is None else after
                jumps += 1
                if target >= lowest or jumps > MOST_JUMPS:
                    raise Malformed("name that points in a circle")
                lowest = at = target
                known = self.names.get(target)
                if known is not None:
                    labels += known
                    size_all += sum(len(_bytes(part)) + 1 for part in known)
                    break
                continue
            if size > 63 or at + 1 + size > len(data):
                raise Malformed("label too long")
            at += 1 + size
            if not size:
                break
            labels.append(data[at - size : at].decode("utf-8", "surrogateescape"))
            size_all += size + 1
            if size_all > MOST_NAME:
                break
        if size_all > MOST_NAME:
            raise Malformed("name too long")
        self.at = at if after is None else after
        found = self.names[start] = tuple(labels)
        return found

    def record(self) -> tuple[Record | None, bool]:
        """The next record, None where its kind is not known here; and whether it is an OPT."""
        name = self.name()
        kind, family, ttl, size = self.take(FIXED)
        end = self.at + size
        if end > len(self.data):
            raise Malformed("record beyond the end")
        if kind == OPT:
            self.at = end
            return None, True
        data = self._data(kind, end) if family == IN else None
        if data is not None and self.at != end:
            raise Malformed("record whose data does not fit its size")
        self.at = end
        if data is None:
            return None, False
        return Record(name, kind, ttl if ttl <= MOST_TTL else 0, data), False  # RFC 2181, 8: beyond it is 0

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
            numbers = self.take(_THREE)
            return (*numbers, self.name())
        if kind == SOA:
            self.name()
            self.name()
            serial, _, _, _, minimum = self.take(_FIVE)
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


_THREE, _FIVE, _TWO = struct.Struct(">HHH"), struct.Struct(">IIIII"), struct.Struct(">HH")


def read_reply(data: bytes) -> Reply:
    """An answer; Malformed where any part of it cannot be read.

    One that is marked as truncated may end within a record: what it holds is not used.
    """
    reader = _Reader(data)
    number, flags, questions, answers, authorities, more = reader.take(HEAD)
    if not flags & RESPONSE or flags & OPCODE or questions > 1:
        raise Malformed("not an answer to a question")
    question = None
    for _ in range(questions):
        name = reader.name()
        kind, family = reader.take(_TWO)
        question = (name, kind) if family == IN else None
    code, cut = flags & 0xF, bool(flags & TRUNCATED)
    if cut:
        return Reply(number, code, True, question)
    sections: list[tuple[Record, ...]] = []
    edns = False
    for count in (answers, authorities, more):
        found = []
        for _ in range(count):
            record, is_opt = reader.record()
            edns |= is_opt
            if record is not None:
                found.append(record)
        sections.append(tuple(found))
    return Reply(number, code, False, question, sections[0], sections[1], bool(flags & AUTHORITATIVE), edns)
