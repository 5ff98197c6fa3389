"""An operator's purge as a TOML file says it; free of I/O.

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

MOST_WHY = 120  # characters


@dataclass(frozen=True, slots=True)
class Order:
    """What is to be purged. `tag` comes of the file's name and content: the same file again is the same
    purge."""

    scope: str
    why: str
    tag: str


def parse(name: str, content: bytes, classes: Sequence[str]) -> Order:
    """The order that a file holds. Raises PurgeFileTrouble with all that is wrong with it, by field."""
    faults: list[str] = []
    try:
        top = Reader(tomllib.loads(content.decode()), "", faults)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as why:
        raise PurgeFileTrouble(f"{name}: {why}") from None
    what = top.choice("what", ("group", "class", "all"))
    scope = scopes.ALL
    if what == "group":
        scope = scopes.of_group(_whole(top, "group"))
    elif what == "class":
        scope = scopes.of_class(top.choice("class", tuple(classes)))
    why = top.text("why", "")[:MOST_WHY]
    top.end()
    if not faults and not scopes.valid(scope):
        top.fault("class", "a name of at most 64 characters is wanted")
    if faults:
        raise PurgeFileTrouble(f"{name}: {'; '.join(faults)}")
    return Order(
        scope,
        f"operator: {why}" if why else "operator",
        xxhash.xxh3_128_hexdigest(name.encode(errors="surrogateescape") + b"\0" + content),
    )


def _whole(row: Reader, name: str) -> int:
    value = row.raw(name, int, None, "the number of a table group")
    if value is not None and not 0 <= value <= 999_999_999:
        row.fault(name, f"must be 0 to 999999999, got {value}")
        return 0
    return value or 0
