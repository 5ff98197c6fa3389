"""What a call of `serve` asks for: its fields checked, as a request for the owner."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from ..core.books import Call, Final
from ..wire.sql import table_group

MARGIN = 0.1  # seconds of a client's time kept back for the way of the answer
MOST_TIMEOUT_DIGITS = 9
MOST_KEY = 256  # bytes
IDENT_SIZE = 16
HEX, PRINTABLE = b"0123456789abcdefABCDEF", re.compile(rb"[!-~]+")


class RequestReader:
    """Knows the names of classes and tenants as the settings have them."""

    def __init__(self, classes: list[str], keyed: list[bool], tenants: list[str]) -> None:
        self.keyed, self.tenants = keyed, tenants
        self.class_of = {name.encode(): at for at, name in enumerate(classes)}
        self.tenant_of = {name.encode(): at for at, name in enumerate(tenants)}

    def read(
        self,
        fields: dict[bytes, bytes] | None,
        statement: Any,
        arrived: float,
        spent: float,
        reply: Callable[[Call, Final], None],
        tag: int,
    ) -> Call:
        """The request, of whose time `spent` seconds are over; ValueError names the field that is wrong."""
        if fields is None or not isinstance(statement, bytes):
            raise ValueError("fields or body missing")
        cls = self.class_of.get(fields.get(b"kind", b""))
        if cls is None:
            raise ValueError("kind: no such class")
        ident = fields.get(b"req", b"")
        if len(ident) != IDENT_SIZE or ident.strip(HEX):
            raise ValueError("req: 16 hex digits are wanted")
        wait = fields.get(b"timeout", b"")
        if not wait.isdigit() or len(wait) > MOST_TIMEOUT_DIGITS:
            raise ValueError("timeout: milliseconds are wanted")
        tenant = self.tenant_of.get(fields.get(b"owner", b"")) if self.tenants else 0
        if tenant is None:
            raise ValueError("owner: no such tenant")
        key = fields.get(b"opkey") or None
        if self.keyed[cls] and key is None:
            raise ValueError("opkey: missing")
        if key is not None and (len(key) > MOST_KEY or not PRINTABLE.fullmatch(key)):
            raise ValueError("opkey: cannot be passed on")
        if not statement.strip():
            raise ValueError("body: no statement")
        return Call(
            ident.decode("ascii"),
            cls,
            tenant,
            statement,
            key and key.decode("ascii"),
            table_group(statement.decode("utf-8", "replace")),
            arrived,
            max(0.0, int(wait) / 1000 - MARGIN - spent),
            reply,
            tag=tag,
        )
