"""Reads the tokens of a TDS response (MS-TDS 7.4), as far as the gateway needs them."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from . import Malformed
from .tds import (
    COLMETADATA,
    DISTRIBUTED_TRANSACTION_DEFECTED,
    DISTRIBUTED_TRANSACTION_ENLISTED,
    DONE,
    DONE_IN_TRANSACTION,
    DONE_MORE,
    DONEINPROC,
    DONEPROC,
    ENVCHANGE,
    ERROR,
    INFO,
    LOGINACK,
    MAX_PACKET_SIZE,
    NBCROW,
    ORDER,
    RESET_ACKNOWLEDGED,
    RETURNSTATUS,
    ROW,
    TRANSACTION_BEGUN,
    TRANSACTION_COMMITTED,
    TRANSACTION_ENDED,
    TRANSACTION_ROLLED_BACK,
)
from .tds_values import BYTE_LENGTH_TYPES, FIXED_SIZES, SHORT_LENGTH_TYPES, TEXT_TYPES, cell_text

TRANSACTION_OPENINGS = frozenset({TRANSACTION_BEGUN, DISTRIBUTED_TRANSACTION_ENLISTED})
TRANSACTION_ENDS = frozenset(
    {
        TRANSACTION_COMMITTED,
        TRANSACTION_ROLLED_BACK,
        TRANSACTION_ENDED,
        DISTRIBUTED_TRANSACTION_DEFECTED,
    }
)


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
    first_token: int | None = None  # type of the first one, an acknowledged reset aside
    transaction_begun: bool = False  # a transaction has begun and not ended, by the ENVCHANGE tokens

    @property
    def transaction_open(self) -> bool:
        """Whether the session has told that a transaction is open at the end of the response."""
        return self.transaction_begun or bool(self.status & DONE_IN_TRANSACTION)


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
            if self.buffer:
                raise Malformed("tokens behind the end")
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
        if kind == ENVCHANGE:
            change = self._read_bytes(self._read_number("<H"))[:1]
            self._note_change(change[0] if change else None)
            return False
        if answer.first_token is None:
            answer.first_token = kind
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
        elif kind in (LOGINACK, ORDER):
            self._read_bytes(self._read_number("<H"))
        elif kind == RETURNSTATUS:
            self._read_bytes(4)
        else:
            raise Malformed(f"no such token: {kind:#x}")
        return False

    def _note_change(self, kind: int | None) -> None:
        """Notes what an ENVCHANGE tells of transactions."""
        answer = self.answer
        if kind in TRANSACTION_OPENINGS:
            answer.transaction_begun = True
        elif kind in TRANSACTION_ENDS:
            answer.transaction_begun = False
        if answer.first_token is None and kind != RESET_ACKNOWLEDGED:
            answer.first_token = ENVCHANGE

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
