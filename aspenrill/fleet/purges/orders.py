"""Parser for an operator's purge in TOML; free of I/O.

what = "group"       # or "class", or "all"
group = 17           # with "group"
class = "lookup"     # with "class"
why = "prices of March were corrected"
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from ...errors import PurgeFileTrouble
from ...reader import Reader
from ..kept import scopes

MAX_REASON = 120  # characters


@dataclass(frozen=True, slots=True)
class Order:
    """A requested purge. `tag` is a hash of the file's name and content: the same file is the same purge."""

    scope: str
    reason: str
    tag: str


def parse(name: str, content: bytes, classes: Sequence[str]) -> Order:
    """The order in a file. Raises PurgeFileTrouble with all faults, by field."""
    faults: list[str] = []
    try:
        top = Reader(tomllib.loads(content.decode()), "", faults)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PurgeFileTrouble(f"{name}: {error}") from None
    what = top.choice("what", ("group", "class", "all"))
    scope = scopes.ALL
    if what == "group":
        scope = scopes.of_group(_group_number(top, "group"))
    elif what == "class":
        scope = scopes.of_class(top.choice("class", tuple(classes)))
    reason = top.text("why", "")[:MAX_REASON]
    top.reject_unknown_fields()
    if not faults and not scopes.valid(scope):
        top.fault("class", "a name of at most 64 characters is wanted")
    if faults:
        raise PurgeFileTrouble(f"{name}: {'; '.join(faults)}")
    return Order(
        scope,
        f"operator: {reason}" if reason else "operator",
        xxhash.xxh3_128_hexdigest(name.encode(errors="surrogateescape") + b"\0" + content),
    )


def _group_number(row: Reader, name: str) -> int:
    value = row.typed_value(name, int, None, "the number of a table group")
    if value is not None and not 0 <= value <= 999_999_999:
        row.fault(name, f"must be 0 to 999999999, got {value}")
        return 0
    return value or 0
