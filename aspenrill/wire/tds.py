"""TDS (MS-TDS 7.4) as far as a front and engines need it: packets, PRELOGIN, LOGIN7, SQLBatch, results."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from . import Malformed
from .tds_values import BYTE_LENGTH, FIXED, SHORT_LENGTH, TEXT, cell_text

SQL_BATCH, RPC, REPLY, ATTENTION, LOGIN7, PRELOGIN = 1, 3, 4, 6, 16, 18
END_OF_MESSAGE, IGNORE = 1, 2
HEAD = struct.Struct(">BBHHBB")  # type, status, length with this head, spid, packet number, window
PACKET = 4096
LEAST_PACKET, MOST_PACKET = 512, 32767
DONE, ERROR, INFO, LOGINACK, ENVCHANGE, COLMETADATA, ROW, NBCROW = (
    0xFD,
    0xAA,
    0xAB,
    0xAD,
    0xE3,
    0x81,
    0xD1,
    0xD2,
)
DONEPROC, DONEINPROC, ORDER, RETURNSTATUS = 0xFE, 0xFF, 0xA9, 0x79
MORE, BAD, COUNT, ACKNOWLEDGED, SERVER_ERROR = 0x1, 0x2, 0x10, 0x20, 0x100  # bits of a DONE's status
VERSION = 0x74000004
NVARCHAR = 0xE7
COLLATION = bytes.fromhex("0904d00034")
NOT_SUPPORTED = 2  # encryption, as PRELOGIN has it


# ---- packets ------------------------------------------------------------------------------------------


def packet_head(head: bytes) -> tuple[int, int, int]:
    """Type, status and size of what follows the head of a packet."""
    kind, status, length, _, _, _ = HEAD.unpack(head)
    if not HEAD.size <= length <= MOST_PACKET:
        raise Malformed(f"packet of {length} bytes")
    return kind, status, length - HEAD.size


def packets(kind: int, body: bytes, size: int = PACKET) -> bytes:
    """A whole message, cut into packets."""
    room = size - HEAD.size
    parts = []
    for number, at in enumerate(range(0, max(1, len(body)), room), 1):
        piece = body[at : at + room]
        status = END_OF_MESSAGE if at + room >= len(body) else 0
        parts += [HEAD.pack(kind, status, HEAD.size + len(piece), 0, number & 0xFF, 0), piece]
    return b"".join(parts)


# ---- opening a connection -----------------------------------------------------------------------------


def prelogin() -> bytes:
    """The body of a PRELOGIN, the same from both sides: our version, and that encryption is not supported."""
    values = [(0, struct.pack(">BBHH", 16, 0, 0, 0)), (1, bytes([NOT_SUPPORTED])), (4, b"\0")]
    at, table, data = 5 * len(values) + 1, b"", b""
    for token, value in values:
        table += struct.pack(">BHH", token, at + len(data), len(value))
        data += value
    return table + b"\xff" + data


def read_prelogin(body: bytes) -> dict[int, bytes]:
    """The options of a PRELOGIN."""
    found, at = {}, 0
    while at < len(body) and body[at] != 0xFF:
        if at + 5 > len(body):
            raise Malformed("PRELOGIN ends within an option")
        token, start, size = struct.unpack_from(">BHH", body, at)
        if start + size > len(body):
            raise Malformed("PRELOGIN option beyond its end")
        found[token] = body[start : start + size]
        at += 5
    if at >= len(body):
        raise Malformed("PRELOGIN without an end")
    return found


@dataclass(frozen=True)
class Login:
    """What a client says of itself. Passwords are read past: the network says who may connect."""

    user: str
    app: str
    host: str = ""
    database: str = ""
    packet: int = PACKET


def login7(login: Login, password: str = "") -> bytes:
    """The body of a LOGIN7."""
    scrambled = bytes(((b << 4 | b >> 4) & 0xFF) ^ 0xA5 for b in password.encode("utf-16-le"))
    texts = [
        login.host.encode("utf-16-le"),
        login.user.encode("utf-16-le"),
        scrambled,
        login.app.encode("utf-16-le"),
        b"",
        b"",
        b"",
        b"",
        login.database.encode("utf-16-le"),
    ]
    fixed, at, table, data = 94, 94, b"", b""
    for text in texts:
        table += struct.pack("<HH", at + len(data), len(text) // 2)
        data += text
    table += b"\0" * 6 + struct.pack("<HHHHHHI", at + len(data), 0, at + len(data), 0, at + len(data), 0, 0)
    head = struct.pack(
        "<IIIIIIBBBBII", fixed + len(data), VERSION, login.packet, 7, 0, 0, 0xE0, 3, 0, 0, 0, 0
    )
    return head + table + data


def read_login7(body: bytes) -> Login:
    """Who logs in, as what application."""
    if len(body) < 94 or struct.unpack_from("<I", body)[0] != len(body):
        raise Malformed("LOGIN7 of a wrong length")

    def text(at: int) -> str:
        start, count = struct.unpack_from("<HH", body, at)
        if start + 2 * count > len(body):
            raise Malformed("LOGIN7 field beyond its end")
        return body[start : start + 2 * count].decode("utf-16-le", "replace")

    size = struct.unpack_from("<I", body, 8)[0] or PACKET
    return Login(text(40), text(48), text(36), text(68), max(LEAST_PACKET, min(MOST_PACKET, size)))


def short_text(text: str) -> bytes:
    """A text after one byte with its length in characters."""
    return bytes([len(text)]) + text.encode("utf-16-le")


def login_answer(login: Login, name: str) -> bytes:
    """The tokens that take a client in."""
    ack = b"\1" + struct.pack(">I", VERSION) + short_text(name) + b"\x10\0\0\0"
    size = b"\4" + short_text(str(login.packet)) + short_text(str(PACKET))
    return (
        bytes([LOGINACK])
        + struct.pack("<H", len(ack))
        + ack
        + bytes([ENVCHANGE])
        + struct.pack("<H", len(size))
        + size
        + done()
    )


# ---- requests -----------------------------------------------------------------------------------------


def sql_batch(statement: str) -> bytes:
    """The body of a SQLBatch: the headers that 7.2 and later want, then the statement."""
    return struct.pack("<IIHQI", 22, 18, 2, 0, 1) + statement.encode("utf-16-le")


def read_sql_batch(body: bytes) -> str:
    """The statement of a SQLBatch."""
    if len(body) < 4:
        raise Malformed("SQLBatch without headers")
    size = struct.unpack_from("<I", body)[0]
    if not 4 <= size <= len(body) or (len(body) - size) % 2:
        raise Malformed("SQLBatch with broken headers")
    return body[size:].decode("utf-16-le", "replace")


# ---- tokens of an answer ------------------------------------------------------------------------------


def done(status: int = 0, rows: int = 0) -> bytes:
    """A DONE token."""
    return struct.pack("<BHHQ", DONE, status | (COUNT if rows else 0), 0xC1 if rows else 0, rows)


def error(number: int, text: str, severity: int = 16, server: str = "aspenrill") -> bytes:
    """An ERROR token."""
    said = text.encode("utf-16-le")
    body = (
        struct.pack("<iBB", number, 1, severity)
        + struct.pack("<H", len(said) // 2)
        + said
        + short_text(server)
        + short_text("")
        + struct.pack("<i", 1)
    )
    return bytes([ERROR]) + struct.pack("<H", len(body)) + body


def text_columns(names: list[str]) -> bytes:
    """COLMETADATA for columns of text."""
    columns = [struct.pack("<IHBH", 0, 1, NVARCHAR, 8000) + COLLATION + short_text(name) for name in names]
    return bytes([COLMETADATA]) + struct.pack("<H", len(names)) + b"".join(columns)


def text_row(values: list[str | None]) -> bytes:
    """A ROW for such columns."""
    parts = [bytes([ROW])]
    for value in values:
        if value is None:
            parts.append(b"\xff\xff")
        else:
            data = value.encode("utf-16-le")
            if len(data) > 8000:
                raise Malformed("value too long for its column")
            parts.append(struct.pack("<H", len(data)) + data)
    return b"".join(parts)


@dataclass(frozen=True)
class Column:
    """Name and type of a column."""

    name: str
    kind: int
    plp: bool = False


@dataclass
class Answer:
    """An answer that is coming in: its tokens are taken as they become whole."""

    columns: list[Column] | None = None
    tokens: tuple[bytes, ...] = ()  # COLMETADATA and rows, unchanged, once it has ended
    rows: int = 0
    error: tuple[int, str] | None = None
    ended: bool = False
    status: int = 0


class Short(Exception):
    """A token is not whole yet."""


class TokenReader:
    """Reads tokens from what comes, in any split. `take` keeps what is not whole for the next time."""

    def __init__(self, most: int) -> None:
        self.most, self.rest, self.at = most, bytearray(), 0
        self.answer = Answer()
        self.kept: list[bytes] = []
        self.size = 0
        self.infos: list[tuple[int, str]] = []

    def take(self, data: bytes) -> None:
        """More of the answer. Malformed where it breaks the protocol or is larger than allowed."""
        if self.answer.ended:
            raise Malformed("tokens after the end")
        self.rest += data
        self.at = 0
        try:
            while self.at < len(self.rest) and not self.answer.ended:
                start = self.at
                kept = self._token()
                if kept:
                    self.size += self.at - start
                    if self.size > self.most:
                        raise Malformed(f"result of over {self.most} bytes")
                    self.kept.append(bytes(self.rest[start : self.at]))
                del self.rest[: self.at]
                self.at = 0
        except Short:
            if len(self.rest) > self.most + MOST_PACKET:
                raise Malformed("token without an end") from None
        if self.answer.ended:
            self.answer.tokens = tuple(self.kept)

    def _bytes(self, count: int) -> bytes:
        end = self.at + count
        if end > len(self.rest):
            raise Short
        data = bytes(self.rest[self.at : end])
        self.at = end
        return data

    def _number(self, form: str) -> int:
        return struct.unpack(form, self._bytes(struct.calcsize(form)))[0]

    def _text(self) -> str:
        return self._bytes(2 * self._number("<B")).decode("utf-16-le", "replace")

    def _token(self) -> bool:
        """One token; True where it belongs to the result."""
        kind = self._number("<B")
        answer = self.answer
        if kind == COLMETADATA:
            if answer.columns is not None:
                raise Malformed("two results in one answer")
            answer.columns = self._columns()
            return True
        if kind in (ROW, NBCROW):
            if answer.columns is None:
                raise Malformed("a row before its columns")
            self._row(kind == NBCROW)
            answer.rows += 1
            return True
        if kind in (DONE, DONEPROC, DONEINPROC):
            status, _, _ = struct.unpack("<HHQ", self._bytes(12))
            answer.status = status
            answer.ended = kind != DONEINPROC and not status & MORE
        elif kind in (ERROR, INFO):
            body = self._bytes(self._number("<H"))
            number, text = self._message(body)
            if kind == ERROR:
                answer.error = answer.error or (number, text)
            else:
                self.infos.append((number, text))
        elif kind in (LOGINACK, ENVCHANGE, ORDER):
            self._bytes(self._number("<H"))
        elif kind == RETURNSTATUS:
            self._bytes(4)
        else:
            raise Malformed(f"no such token: {kind:#x}")
        return False

    def _message(self, body: bytes) -> tuple[int, str]:
        if len(body) < 8:
            raise Malformed("message token too short")
        number, _, _, count = struct.unpack_from("<iBBH", body)
        return number, body[8 : 8 + 2 * count].decode("utf-16-le", "replace")

    def _columns(self) -> list[Column]:
        count = self._number("<H")
        columns = []
        for _ in range(0 if count == 0xFFFF else count):
            self._bytes(6)
            kind, plp = self._number("<B"), False
            if kind in SHORT_LENGTH:
                plp = self._number("<H") == 0xFFFF
                if kind in TEXT:
                    self._bytes(5)
            elif kind in (0x6A, 0x6C):
                self._bytes(3)
            elif kind in BYTE_LENGTH:
                if kind != 0x28:
                    self._bytes(1)
            elif kind not in FIXED:
                raise Malformed(f"no such type: {kind:#x}")
            columns.append(Column(self._text(), kind, plp))
        return columns

    def _row(self, bitmap: bool) -> None:
        columns = self.answer.columns
        nulls = self._bytes((len(columns) + 7) // 8) if bitmap else b""
        for at, column in enumerate(columns):
            if not (bitmap and nulls[at // 8] >> (at % 8) & 1):
                self._value(column)

    def _value(self, column: Column) -> bytes | None:
        if column.kind in FIXED:
            return self._bytes(FIXED[column.kind])
        if column.plp:
            if self._number("<Q") == 0xFFFFFFFFFFFFFFFF:
                return None
            parts = []
            while size := self._number("<I"):
                parts.append(self._bytes(size))
            return b"".join(parts)
        if column.kind in SHORT_LENGTH:
            size = self._number("<H")
            return None if size == 0xFFFF else self._bytes(size)
        size = self._number("<B")
        return self._bytes(size) if size else None


def rows_as_text(data: bytes) -> list[list[str | None]]:
    """The rows of COLMETADATA and ROW tokens as texts."""
    reader = TokenReader(len(data) + 1)
    reader.rest = bytearray(data)
    rows = []
    while reader.at < len(reader.rest):
        kind = reader._number("<B")
        if kind == COLMETADATA:
            reader.answer.columns = reader._columns()
            continue
        columns = reader.answer.columns or []
        nulls = reader._bytes((len(columns) + 7) // 8) if kind == NBCROW else b""
        rows.append(
            [
                None if nulls and nulls[at // 8] >> (at % 8) & 1 else cell_text(c.kind, reader._value(c))
                for at, c in enumerate(columns)
            ]
        )
    return rows
