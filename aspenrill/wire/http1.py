"""HTTP/1.1 as a client speaks it: request heads out, response heads in."""
from __future__ import annotations

import re
from dataclasses import dataclass

from . import Malformed

MOST_BODY = 65536
MOST_PAGE, MOST_PAGES = 6000, 1000
ROW, TEXT = b"\t\t\n", bytes(set(range(256)) - set(b"\t\n"))  # a row of three columns without its text
HEX = re.compile(rb"[0-9a-fA-F]{1,8}\Z")


@dataclass(frozen=True)
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


def request(method: str, path: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A whole request."""
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers.items():
        if "\r" in value or "\n" in value:
            raise Malformed(f"line break in {name}")
        text += f"{name}: {value}\r\n"
    if body or method in ("POST", "PUT"):
        text += f"Content-Length: {len(body)}\r\n"
    return f"{text}\r\n".encode() + body


def response_head(block: bytes) -> Head:
    """The head of a response, up to and with its empty line."""
    try:
        lines = block.decode("latin-1").split("\r\n")
        version, status, *_ = lines[0].split(" ", 2)
        code = int(status)
    except ValueError:
        raise Malformed(f"status line {block[:40]!r}") from None
    if not version.startswith("HTTP/1.") or not 100 <= code <= 599:
        raise Malformed(f"status line {lines[0][:40]!r}")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        if not line:
            continue
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise Malformed(f"header {line[:40]!r}")
        name = name.lower()
        if name == "content-length" and headers.get(name, value.strip()) != value.strip():
            raise Malformed("two lengths")
        headers[name] = value.strip()
    return Head(code, headers)


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
        body.decode("utf-8")
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
