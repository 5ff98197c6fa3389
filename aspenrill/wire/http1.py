"""HTTP/1.1 as a client speaks it: request heads out, response heads in."""

from __future__ import annotations

import re
from dataclasses import dataclass

from . import Malformed

MOST_BODY = 65536
MOST_PAGE, MOST_PAGES = 6000, 1000
ROW, TEXT = b"\t\t\n", bytes(set(range(256)) - set(b"\t\n"))  # a row of three columns without its text
MOST_NAMES = 256  # names of headers that are remembered
HEX = re.compile(rb"[0-9a-fA-F]{1,8}\Z")


@dataclass(slots=True)
class Head:
    """Status and headers (names in lower case) of a response."""

    status: int
    headers: dict[str, str]

    @property
    def stays(self) -> bool:
        """Whether the connection may carry another call."""
        return self.headers.get("connection", "").lower() != "close"

    @property
    def chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return "chunked" in self.headers.get("transfer-encoding", "").lower()

    @property
    def length(self) -> int | None:
        """Bytes of the body; None where only the end of the connection tells."""
        if self.status in (204, 304) or 100 <= self.status < 200:
            return 0
        text = self.headers.get("content-length")
        if text is None:
            return None
        if self.chunked or len(text) > 9 or not text.isascii() or not text.isdigit() or int(text) > MOST_BODY:
            raise Malformed(f"content-length {text[:40]!r}")
        return int(text)


def _start(method: str, path: str, host: str, headers: dict[str, str]) -> str:
    """The first lines of a request; Malformed where a header would begin another line."""
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers.items():
        if "\r" in value or "\n" in value:
            raise Malformed(f"line break in {name}")
        text += f"{name}: {value}\r\n"
    return text


def request(method: str, path: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A whole request."""
    text = _start(method, path, host, headers)
    if body or method in ("POST", "PUT"):
        text += f"Content-Length: {len(body)}\r\n"
    return f"{text}\r\n".encode() + body


def post_head(path: str, host: str, headers: dict[str, str]) -> bytes:
    """How POSTs begin that have these headers in common; `post` goes on."""
    return _start("POST", path, host, headers).encode()


def post(ticket: str, left_ms: int, priority: int, key: str | None, size: int) -> bytes:
    """What is a query's own in the head of its POST, and the end of that head."""
    nonce = ""
    if key is not None:
        if "\r" in key or "\n" in key:
            raise Malformed("line break in X-Nonce")
        nonce = f"X-Nonce: {key}\r\n"
    return (
        f"X-Ticket: {ticket}\r\nX-Max-Ms: {left_ms}\r\nX-Weight-Class: {priority}\r\n{nonce}"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


def _name(raw: str) -> str:
    """A header's name in lower case; Malformed where it is none. Those met are remembered, some of them."""
    if not raw or raw != raw.strip():
        raise Malformed(f"header {raw[:40]!r}")
    name = raw.lower()
    if len(_names) < MOST_NAMES and len(raw) <= 64:
        _names[raw] = name
    return name


_names: dict[str, str] = {}


def response_head(text: str) -> Head:
    """The head of a response as Latin-1 text, up to and with its empty line."""
    lines = text.split("\r\n")
    first = lines[0]
    status = first[9:12]
    if (
        first[:7] != "HTTP/1."
        or first[8:9] != " "
        or first[12:13] not in (" ", "")
        or not (status.isascii() and status.isdigit())
        or not 100 <= int(status) <= 599
    ):
        raise Malformed(f"status line {first[:40]!r}")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        if not line:
            continue
        at = line.find(":")
        if at < 0:
            raise Malformed(f"header {line[:40]!r}")
        raw = line[:at]
        name = _names.get(raw) or _name(raw)
        value = line[at + 2 :] if line[at + 1 : at + 2] == " " else line[at + 1 :]
        if value[:1].isspace() or value[-1:].isspace():
            value = value.strip()
        if name == "content-length" and headers.get(name, value) != value:
            raise Malformed("two lengths")
        headers[name] = value
    return Head(int(status), headers)


def pages(head: Head) -> int:
    """Number of pages that a good end announces."""
    text = head.headers.get("x-batches", "")
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not 1 <= int(text) <= MOST_PAGES:
        raise Malformed(f"x-batches {text[:40]!r}")
    return int(text)


def check_page(head: Head, body: bytes, number: int) -> None:
    """Malformed where this can't be that page of a result: whole rows of three columns of text, in bounds."""
    if number == 0:
        pages(head)
    if head.headers.get("x-batch", "0") != str(number):
        raise Malformed(f"not page {number}")
    try:
        _ = body.isascii() or body.decode("utf-8")
    except UnicodeDecodeError:
        raise Malformed("a page that is not text") from None
    shape = body.translate(None, TEXT)
    whole = not body or body.endswith(b"\n")
    if len(body) > MOST_PAGE or not whole or shape != ROW * (len(shape) // len(ROW)):
        raise Malformed(f"a page of {len(body)} bytes that is not whole rows")


def chunk_size(line: bytes) -> int:
    """Size of the chunk that a line announces."""
    text = line.split(b";")[0].strip()
    if not HEX.match(text) or int(text, 16) > MOST_BODY:
        raise Malformed(f"chunk size {line[:20]!r}")
    return int(text, 16)
