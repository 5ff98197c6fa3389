"""Validates the fields of a `serve` call and builds the request for the owner."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from ..core.books import ClientRequest, Final

REPLY_MARGIN = 0.1  # seconds of the client's time-out reserved for the delivery of the answer
MAX_TIMEOUT_DIGITS = 9  # of milliseconds
MAX_KEY_LENGTH = 256  # bytes
ID_LENGTH = 16  # hex digits
HEX_DIGITS = b"0123456789abcdefABCDEF"
PRINTABLE = re.compile(rb"[!-~]+")


class RequestReader:
    """Builds requests, resolving the names of classes and tenants from the settings."""

    def __init__(
        self,
        classes: list[str],
        keyed: list[bool],
        tenants: list[str],
        table_group: Callable[[str], int | None],
    ) -> None:
        self.keyed, self.tenants, self.table_group = keyed, tenants, table_group
        self.class_of = {name.encode(): at for at, name in enumerate(classes)}
        self.tenant_of = {name.encode(): at for at, name in enumerate(tenants)}

    def read(
        self,
        fields: dict[bytes, bytes] | None,
        statement: Any,
        arrived: float,
        spent: float,
        reply: Callable[[ClientRequest, Final], None],
        tag: int,
    ) -> ClientRequest:
        """Returns the request. Raises ValueError that names the invalid field, or what `table_group` raises.

        `spent`: seconds of its time-out that have passed already.
        """
        if fields is None or not isinstance(statement, bytes):
            raise ValueError("fields or body missing")
        cls = self.class_of.get(fields.get(b"kind", b""))
        if cls is None:
            raise ValueError("kind: no such class")
        request_id = fields.get(b"req", b"")
        if len(request_id) != ID_LENGTH or request_id.strip(HEX_DIGITS):
            raise ValueError("req: 16 hex digits are wanted")
        timeout_ms = fields.get(b"timeout", b"")
        if not timeout_ms.isdigit() or len(timeout_ms) > MAX_TIMEOUT_DIGITS:
            raise ValueError("timeout: milliseconds are wanted")
        tenant = self.tenant_of.get(fields.get(b"owner", b"")) if self.tenants else 0
        if tenant is None:
            raise ValueError("owner: no such tenant")
        key = fields.get(b"opkey") or None
        if self.keyed[cls] and key is None:
            raise ValueError("opkey: missing")
        if key is not None and (len(key) > MAX_KEY_LENGTH or not PRINTABLE.fullmatch(key)):
            raise ValueError("opkey: cannot be passed on")
        if not statement.strip():
            raise ValueError("body: no statement")
        return ClientRequest(
            request_id.decode("ascii"),
            cls,
            tenant,
            statement,
            key and key.decode("ascii"),
            self.table_group(statement.decode("utf-8", "replace")),
            arrived,
            max(0.0, int(timeout_ms) / 1000 - REPLY_MARGIN - spent),
            reply,
            tag=tag,
        )


def string_map(fields: Any) -> dict[bytes, bytes] | None:
    """Returns the string entries of a map, None if the value is not a map."""
    if not isinstance(fields, dict):
        return None
    return {
        key: value for key, value in fields.items() if isinstance(key, bytes) and isinstance(value, bytes)
    }
