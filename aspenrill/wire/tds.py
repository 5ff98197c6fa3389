"""TDS (MS-TDS 7.4), the subset that the gateway needs: packets, logins, SQLBatch, encoded tokens."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from . import Malformed

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
RESET_CONNECTION = 8  # in the first packet of a batch: the session begins anew before it
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
DONE_IN_TRANSACTION = 0x4
DONE_COUNT = 0x10
DONE_ATTENTION = 0x20
DONE_SERVER_ERROR = 0x100
# types of ENVCHANGE
TRANSACTION_BEGUN = 8
TRANSACTION_COMMITTED = 9
TRANSACTION_ROLLED_BACK = 10
DISTRIBUTED_TRANSACTION_ENLISTED = 11
DISTRIBUTED_TRANSACTION_DEFECTED = 12
TRANSACTION_ENDED = 17
RESET_ACKNOWLEDGED = 18
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


def packets(kind: int, body: bytes, size: int = DEFAULT_PACKET_SIZE, reset: bool = False) -> bytes:
    """Encodes a complete message, split into packets of at most `size` bytes.

    `reset`: the server is to reset the session first (MS-TDS 2.2.3.1.2), which rolls back what is open in it,
    drops its temporary tables and sets its options back, all but the isolation level.
    """
    payload_size = size - PACKET_HEADER.size
    parts = []
    for number, at in enumerate(range(0, max(1, len(body)), payload_size), 1):
        piece = body[at : at + payload_size]
        status = END_OF_MESSAGE if at + payload_size >= len(body) else 0
        if reset and not at:
            status |= RESET_CONNECTION
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
