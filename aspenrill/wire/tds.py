"""TDS (MS-TDS 7.4), the subset that the gateway needs: packets, PRELOGIN, LOGIN7, SQLBatch and results."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from . import Malformed
from .tds_values import BYTE_LENGTH_TYPES, FIXED_SIZES, SHORT_LENGTH_TYPES, TEXT_TYPES, cell_text

# packet types
SQL_BATCH = 1
RPC = 3
REPLY = 4
ATTENTION = 6
LOGIN7 = 16
PRELOGIN = 18
# bits of a packet's status
END_OF_MESSAGE = 1
IGNORE = 2
PACKET_HEADER = struct.Struct(">BBHHBB")  # type, status, length with this header, SPID, packet number, window
# packet sizes in bytes
DEFAULT_PACKET_SIZE = 4096
MIN_PACKET_SIZE = 512
MAX_PACKET_SIZE = 32767
# token types
DONE = 0xFD
ERROR = 0xAA
INFO = 0xAB
LOGINACK = 0xAD
ENVCHANGE = 0xE3
COLMETADATA = 0x81
ROW = 0xD1
NBCROW = 0xD2
DONEPROC = 0xFE
DONEINPROC = 0xFF
ORDER = 0xA9
RETURNSTATUS = 0x79
# bits of the status of a DONE token
DONE_MORE = 0x1
DONE_ERROR = 0x2
DONE_COUNT = 0x10
DONE_ATTENTION = 0x20
DONE_SERVER_ERROR = 0x100
VERSION = 0x74000004  # TDS 7.4
NVARCHAR = 0xE7
COLLATION = bytes.fromhex("0904d00034")
NOT_SUPPORTED = 2  # the encryption option of PRELOGIN


def parse_packet_header(head: bytes) -> tuple[int, int, int]:
    """Parses a packet header into type, status and size of the payload."""
    kind, status, length, _, _, _ = PACKET_HEADER.unpack(head)
    if not PACKET_HEADER.size <= length <= MAX_PACKET_SIZE:
        raise Malformed(f"packet of {length} bytes")
    return kind, status, length - PACKET_HEADER.size


def packets(kind: int, body: bytes, size: int = DEFAULT_PACKET_SIZE) -> bytes:
    """Encodes a complete message, split into packets of at most `size` bytes."""
    payload_size = size - PACKET_HEADER.size
    parts = []
    for number, at in enumerate(range(0, max(1, len(body)), payload_size), 1):
        piece = body[at : at + payload_size]
        status = END_OF_MESSAGE if at + payload_size >= len(body) else 0
        parts += [
            PACKET_HEADER.pack(kind, status, PACKET_HEADER.size + len(piece), 0, number & 0xFF, 0),
            piece,
        ]
    return b"".join(parts)


def prelogin() -> bytes:
    """Returns the body of a PRELOGIN of client or server: version, and that encryption is not supported."""
    values = [(0, struct.pack(">BBHH", 16, 0, 0, 0)), (1, bytes([NOT_SUPPORTED])), (4, b"\0")]
    at, table, data = 5 * len(values) + 1, b"", b""
    for token, value in values:
        table += struct.pack(">BHH", token, at + len(data), len(value))
        data += value
    return table + b"\xff" + data


def read_prelogin(body: bytes) -> dict[int, bytes]:
    """Parses the options of a PRELOGIN."""
    options, at = {}, 0
    while at < len(body) and body[at] != 0xFF:
        if at + 5 > len(body):
            raise Malformed("PRELOGIN ends within an option")
        token, start, size = struct.unpack_from(">BHH", body, at)
        if start + size > len(body):
            raise Malformed("PRELOGIN option beyond its end")
        options[token] = body[start : start + size]
        at += 5
    if at >= len(body):
        raise Malformed("PRELOGIN without an end")
    return options


@dataclass(frozen=True)
class Login:
    """The fields of a LOGIN7. The password is not kept: access is controlled by the network."""

    user: str
    app: str
    host: str = ""
    database: str = ""
    packet_size: int = DEFAULT_PACKET_SIZE


def login7(login: Login, password: str = "") -> bytes:
    """Encodes the body of a LOGIN7."""
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
        "<IIIIIIBBBBII", fixed + len(data), VERSION, login.packet_size, 7, 0, 0, 0xE0, 3, 0, 0, 0, 0
    )
    return head + table + data


def read_login7(body: bytes) -> Login:
    """Parses the body of a LOGIN7."""
    if len(body) < 94 or struct.unpack_from("<I", body)[0] != len(body):
        raise Malformed("LOGIN7 of a wrong length")

    def text(at: int) -> str:
        start, count = struct.unpack_from("<HH", body, at)
        if start + 2 * count > len(body):
            raise Malformed("LOGIN7 field beyond its end")
        return body[start : start + 2 * count].decode("utf-16-le", "replace")

    size = struct.unpack_from("<I", body, 8)[0] or DEFAULT_PACKET_SIZE
    return Login(text(40), text(48), text(36), text(68), max(MIN_PACKET_SIZE, min(MAX_PACKET_SIZE, size)))


def short_text(text: str) -> bytes:
    """Encodes a text with a one-byte length in characters."""
    return bytes([len(text)]) + text.encode("utf-16-le")


def login_response(login: Login, name: str) -> bytes:
    """Encodes the tokens that accept a login."""
    ack = b"\1" + struct.pack(">I", VERSION) + short_text(name) + b"\x10\0\0\0"
    size = b"\4" + short_text(str(login.packet_size)) + short_text(str(DEFAULT_PACKET_SIZE))
    return (
        bytes([LOGINACK])
        + struct.pack("<H", len(ack))
        + ack
        + bytes([ENVCHANGE])
        + struct.pack("<H", len(size))
        + size
        + done()
    )


def sql_batch(statement: str) -> bytes:
    """Encodes the body of a SQLBatch: the headers that TDS 7.2 and later require, then the statement."""
    return struct.pack("<IIHQI", 22, 18, 2, 0, 1) + statement.encode("utf-16-le")


def read_sql_batch(body: bytes) -> str:
    """Parses the statement of a SQLBatch."""
    if len(body) < 4:
        raise Malformed("SQLBatch without headers")
    size = struct.unpack_from("<I", body)[0]
    if not 4 <= size <= len(body) or (len(body) - size) % 2:
        raise Malformed("SQLBatch with broken headers")
    return body[size:].decode("utf-16-le", "replace")


def done(status: int = 0, rows: int = 0) -> bytes:
    """Encodes a DONE token."""
    return struct.pack("<BHHQ", DONE, status | (DONE_COUNT if rows else 0), 0xC1 if rows else 0, rows)


def error(number: int, text: str, severity: int = 16, server: str = "aspenrill") -> bytes:
    """Encodes an ERROR token."""
    message = text.encode("utf-16-le")
    body = (
        struct.pack("<iBB", number, 1, severity)
        + struct.pack("<H", len(message) // 2)
        + message
        + short_text(server)
        + short_text("")
        + struct.pack("<i", 1)
    )
    return bytes([ERROR]) + struct.pack("<H", len(body)) + body


def text_columns(names: list[str]) -> bytes:
    """Encodes COLMETADATA for text columns."""
    columns = [struct.pack("<IHBH", 0, 1, NVARCHAR, 8000) + COLLATION + short_text(name) for name in names]
    return bytes([COLMETADATA]) + struct.pack("<H", len(names)) + b"".join(columns)


def text_row(values: list[str | None]) -> bytes:
    """Encodes a ROW of text columns."""
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
    """Name and type of a column; `plp` marks a partially length-prefixed type."""

    name: str
    kind: int
    plp: bool = False


@dataclass
class Answer:
    """A response, filled in while its tokens arrive."""

    columns: list[Column] | None = None
    tokens: tuple[bytes, ...] = ()  # COLMETADATA and rows, unchanged; set when the response has ended
    rows: int = 0
    error: tuple[int, str] | None = None
    ended: bool = False
    status: int = 0


class IncompleteToken(Exception):
    """The buffer ends within a token."""


class TokenReader:
    """Reads the tokens of a response from data split at any byte. An incomplete token stays in the buffer."""

    def __init__(self, max_size: int) -> None:
        self.max_size, self.buffer, self.position = max_size, bytearray(), 0
        self.answer = Answer()
        self.result_tokens: list[bytes] = []
        self.size = 0
        self.has_input = False  # something of the response has arrived
        self.infos: list[tuple[int, str]] = []

    def feed(self, data: bytes) -> None:
        """Processes more of the response. Raises Malformed if it is invalid or larger than allowed."""
        if self.answer.ended:
            raise Malformed("tokens after the end")
        self.has_input = True
        self.buffer += data
        self.position = 0
        try:
            while self.position < len(self.buffer) and not self.answer.ended:
                start = self.position
                part_of_result = self._read_token()
                if part_of_result:
                    self.size += self.position - start
                    if self.size > self.max_size:
                        raise Malformed(f"result of over {self.max_size} bytes")
                    self.result_tokens.append(bytes(self.buffer[start : self.position]))
                del self.buffer[: self.position]
                self.position = 0
        except IncompleteToken:
            if len(self.buffer) > self.max_size + MAX_PACKET_SIZE:
                raise Malformed("token without an end") from None
        if self.answer.ended:
            self.answer.tokens = tuple(self.result_tokens)

    def _read_bytes(self, count: int) -> bytes:
        end = self.position + count
        if end > len(self.buffer):
            raise IncompleteToken
        data = bytes(self.buffer[self.position : end])
        self.position = end
        return data

    def _read_number(self, form: str) -> int:
        return struct.unpack(form, self._read_bytes(struct.calcsize(form)))[0]

    def _read_text(self) -> str:
        return self._read_bytes(2 * self._read_number("<B")).decode("utf-16-le", "replace")

    def _read_token(self) -> bool:
        """Reads one token. Returns True if it belongs to the result."""
        kind = self._read_number("<B")
        answer = self.answer
        if kind == COLMETADATA:
            if answer.columns is not None:
                raise Malformed("two results in one answer")
            answer.columns = self._read_columns()
            return True
        if kind in (ROW, NBCROW):
            if answer.columns is None:
                raise Malformed("a row before its columns")
            self._skip_row(kind == NBCROW)
            answer.rows += 1
            return True
        if kind in (DONE, DONEPROC, DONEINPROC):
            status, _, _ = struct.unpack("<HHQ", self._read_bytes(12))
            answer.status = status
            answer.ended = kind != DONEINPROC and not status & DONE_MORE
        elif kind in (ERROR, INFO):
            body = self._read_bytes(self._read_number("<H"))
            number, text = self._parse_message(body)
            if kind == ERROR:
                answer.error = answer.error or (number, text)
            else:
                self.infos.append((number, text))
        elif kind in (LOGINACK, ENVCHANGE, ORDER):
            self._read_bytes(self._read_number("<H"))
        elif kind == RETURNSTATUS:
            self._read_bytes(4)
        else:
            raise Malformed(f"no such token: {kind:#x}")
        return False

    def _parse_message(self, body: bytes) -> tuple[int, str]:
        if len(body) < 8:
            raise Malformed("message token too short")
        number, _, _, count = struct.unpack_from("<iBBH", body)
        return number, body[8 : 8 + 2 * count].decode("utf-16-le", "replace")

    def _read_columns(self) -> list[Column]:
        count = self._read_number("<H")
        columns = []
        for _ in range(0 if count == 0xFFFF else count):
            self._read_bytes(6)
            kind, plp = self._read_number("<B"), False
            if kind in SHORT_LENGTH_TYPES:
                plp = self._read_number("<H") == 0xFFFF
                if kind in TEXT_TYPES:
                    self._read_bytes(5)
            elif kind in (0x6A, 0x6C):
                self._read_bytes(3)
            elif kind in BYTE_LENGTH_TYPES:
                if kind != 0x28:
                    self._read_bytes(1)
            elif kind not in FIXED_SIZES:
                raise Malformed(f"no such type: {kind:#x}")
            columns.append(Column(self._read_text(), kind, plp))
        return columns

    def _skip_row(self, bitmap: bool) -> None:
        columns = self.answer.columns
        nulls = self._read_bytes((len(columns) + 7) // 8) if bitmap else b""
        for at, column in enumerate(columns):
            if not (bitmap and nulls[at // 8] >> (at % 8) & 1):
                self._read_value(column)

    def _read_value(self, column: Column) -> bytes | None:
        if column.kind in FIXED_SIZES:
            return self._read_bytes(FIXED_SIZES[column.kind])
        if column.plp:
            if self._read_number("<Q") == 0xFFFFFFFFFFFFFFFF:
                return None
            parts = []
            while size := self._read_number("<I"):
                parts.append(self._read_bytes(size))
            return b"".join(parts)
        if column.kind in SHORT_LENGTH_TYPES:
            size = self._read_number("<H")
            return None if size == 0xFFFF else self._read_bytes(size)
        size = self._read_number("<B")
        return self._read_bytes(size) if size else None


def rows_as_text(data: bytes) -> list[list[str | None]]:
    """Converts COLMETADATA and ROW tokens to rows of texts."""
    reader = TokenReader(len(data) + 1)
    reader.buffer = bytearray(data)
    rows = []
    while reader.position < len(reader.buffer):
        kind = reader._read_number("<B")
        if kind == COLMETADATA:
            reader.answer.columns = reader._read_columns()
            continue
        columns = reader.answer.columns or []
        nulls = reader._read_bytes((len(columns) + 7) // 8) if kind == NBCROW else b""
        rows.append(
            [
                None if nulls and nulls[at // 8] >> (at % 8) & 1 else cell_text(c.kind, reader._read_value(c))
                for at, c in enumerate(columns)
            ]
        )
    return rows
