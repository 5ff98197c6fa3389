"""HTTP/1.1 for a client: encodes requests and parses response heads."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from . import Malformed

MAX_BODY_SIZE = 65536  # bytes
MAX_PAGE_SIZE = 6000  # bytes
MAX_PAGES = 1000  # of a result
ROW_SEPARATORS = b"\t\t\n"  # the separators in a row of three columns
NON_SEPARATORS = bytes(set(range(256)) - set(b"\t\n"))
MAX_CACHED_NAMES = 256  # cached header names
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}\Z")


class BadStatusLine(Malformed):
    """A response does not begin with a status line. `data`: its head as it came."""

    def __init__(self, text: str) -> None:
        super().__init__(f"status line {text[:40]!r}")
        self.data = text.encode("latin-1")


@dataclass(slots=True)
class Head:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]

    @property
    def keep_alive(self) -> bool:
        """Whether the connection can be reused."""
        return self.headers.get("connection", "").lower() != "close"

    @property
    def chunked(self) -> bool:
        """Whether the body uses chunked transfer coding."""
        return "chunked" in self.headers.get("transfer-encoding", "").lower()

    @property
    def length(self) -> int | None:
        """Size of the body in bytes; None if the header does not state it."""
        if self.status in (204, 304) or 100 <= self.status < 200:
            return 0
        text = self.headers.get("content-length")
        if text is None:
            return None
        if (
            self.chunked
            or len(text) > 9
            or not text.isascii()
            or not text.isdigit()
            or int(text) > MAX_BODY_SIZE
        ):
            raise Malformed(f"content-length {text[:40]!r}")
        return int(text)


def _request_head(method: str, path: str, host: str, headers: dict[str, str]) -> str:
    """Encodes request line and headers. Raises Malformed for a line break in a value (header injection)."""
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers.items():
        if "\r" in value or "\n" in value:
            raise Malformed(f"line break in {name}")
        text += f"{name}: {value}\r\n"
    return text


def request(method: str, path: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a complete request."""
    text = _request_head(method, path, host, headers)
    if body or method in ("POST", "PUT"):
        text += f"Content-Length: {len(body)}\r\n"
    return f"{text}\r\n".encode() + body


def post_head(path: str, host: str, headers: dict[str, str]) -> bytes:
    """Encodes the start of a POST head, common to requests with these headers; `post` encodes the rest."""
    return _request_head("POST", path, host, headers).encode()


def post(request_id: str, remaining_ms: int, priority: int, nonce: str | None, size: int) -> bytes:
    """Encodes the headers specific to one request and the end of the head."""
    nonce_header = ""
    if nonce is not None:
        if "\r" in nonce or "\n" in nonce:
            raise Malformed("line break in X-Nonce")
        nonce_header = f"X-Nonce: {nonce}\r\n"
    return (
        f"X-Ticket: {request_id}\r\nX-Max-Ms: {remaining_ms}\r\nX-Weight-Class: {priority}\r\n{nonce_header}"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


def _parse_name(raw_name: str) -> str:
    """Returns a header name in lower case and caches it. Raises Malformed if it is invalid."""
    if not raw_name or raw_name != raw_name.strip():
        raise Malformed(f"header {raw_name[:40]!r}")
    name = raw_name.lower()
    if len(_cached_names) < MAX_CACHED_NAMES and len(raw_name) <= 64:
        _cached_names[raw_name] = name
    return name


_cached_names: dict[str, str] = {}


def parse_response_head(text: str) -> Head:
    """Parses a response head, given as Latin-1 text up to and including the empty line."""
    lines = text.split("\r\n")
    status_line = lines[0]
    status = status_line[9:12]
    if (
        status_line[:7] != "HTTP/1."
        or status_line[8:9] != " "
        or status_line[12:13] not in (" ", "")
        or not (status.isascii() and status.isdigit())
        or not 100 <= int(status) <= 599
    ):
        raise BadStatusLine(text)
    headers: dict[str, str] = {}
    for line in lines[1:]:
        if not line:
            continue
        colon = line.find(":")
        if colon < 0:
            raise Malformed(f"header {line[:40]!r}")
        raw_name = line[:colon]
        name = _cached_names.get(raw_name) or _parse_name(raw_name)
        value = line[colon + 2 :] if line[colon + 1 : colon + 2] == " " else line[colon + 1 :]
        if value[:1].isspace() or value[-1:].isspace():
            value = value.strip()
        if name == "content-length" and headers.get(name, value) != value:
            raise Malformed("two lengths")
        headers[name] = value
    return Head(int(status), headers)


def page_count(head: Head) -> int:
    """Returns the number of pages of a successful result."""
    text = head.headers.get("x-batches", "")
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not 1 <= int(text) <= MAX_PAGES:
        raise Malformed(f"x-batches {text[:40]!r}")
    return int(text)


def check_page(head: Head, body: bytes, number: int) -> None:
    """Raises Malformed unless the body is page `number` of a result: complete rows of three text columns."""
    if number == 0:
        page_count(head)
    if head.headers.get("x-batch", "0") != str(number):
        raise Malformed(f"not page {number}")
    try:
        _ = body.isascii() or body.decode("utf-8")
    except UnicodeDecodeError:
        raise Malformed("a page that is not text") from None
    separators = body.translate(None, NON_SEPARATORS)
    complete = not body or body.endswith(b"\n")
    if (
        len(body) > MAX_PAGE_SIZE
        or not complete
        or separators != ROW_SEPARATORS * (len(separators) // len(ROW_SEPARATORS))
    ):
        raise Malformed(f"a page of {len(body)} bytes that is not whole rows")


class Trailing(Enum):
    """What the bytes behind a page tell of its length."""

    FOREIGN = "foreign"  # they begin with a line that is no row: the page ended where its length said
    ROWS = "rows"  # they are whole rows, as if the length had been too short
    UNCLEAR = "unclear"  # they may be the start of a row


def classify_trailing(data: bytes) -> Trailing:
    """Tells whether bytes behind a page, which ends with a row, can be further rows of that page."""
    line, end, _ = data.partition(b"\n")
    separators = line.translate(None, NON_SEPARATORS) + end
    if separators != ROW_SEPARATORS[: len(separators)] or end and len(separators) < len(ROW_SEPARATORS):
        return Trailing.FOREIGN
    return Trailing.ROWS if data.endswith(b"\n") else Trailing.UNCLEAR


def parse_chunk_size(line: bytes) -> int:
    """Parses a chunk-size line."""
    text = line.split(b";")[0].strip()
    if not CHUNK_SIZE.match(text) or int(text, 16) > MAX_BODY_SIZE:
        raise Malformed(f"chunk size {line[:20]!r}")
    return int(text, 16)
