"""Finds the table group that a SQL statement reads or writes.

The time is linear in the length of the statement: a quoted text without its end takes the rest of the
statement, as a comment without its end does, so that nothing is searched again for an end that never comes.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Iterator

MATCHES_PER_SLICE = 256  # words, literals and comments looked at before the caller may let others run
IDENTIFIER = r"""(?:"[^"]*(?:"|\Z)|\[[^\]]*(?:\]|\Z)|`[^`]*(?:`|\Z)|[^\W\d][\w$\#@]*)"""
LITERAL = r"""--[^\n]*|'[^']*'?|\$(?P<tag>\w*)\$.*?(?:\$(?P=tag)\$|\Z)"""
TOKEN = re.compile(rf"{LITERAL}|\d[\w.]*|(?P<name>{IDENTIFIER}(?:\s*\.\s*{IDENTIFIER})*)", re.S)
COMMENT_OR_LITERAL = re.compile(rf"{LITERAL}|{IDENTIFIER}|/\*", re.S)
COMMENT_DELIMITER = re.compile(r"/\*|\*/")
NAME_PART = re.compile(rf"({IDENTIFIER})(?:\s*\.\s*)?")
TABLE_KEYWORDS = {"from", "join", "into", "update", "table", "using", "merge", "delete", "truncate", "copy"}
CLAUSE_KEYWORDS = {
    "where",
    "set",
    "on",
    "select",
    "values",
    "group",
    "order",
    "having",
    "limit",
    "union",
    "when",
}
SPECIAL = re.compile(r"""['"`$\[#@]|--|/\*""")  # literals, quoted names or comments need the full scan
QUALIFIED_NAME = re.compile(r"(?<!\w)([^\W\d]\w*)\s*\.\s*[^\W\d]")
GROUP_SUFFIX = re.compile(r"_(\d{1,9})\Z")


def _no_pause() -> None:
    """For callers that read a statement at once."""


def _sliced(matches: Iterator[re.Match[str]], pause: Callable[[], None]) -> Iterator[re.Match[str]]:
    """Yields the matches and calls `pause` behind each slice of them."""
    for count, match in enumerate(matches, 1):
        yield match
        if count % MATCHES_PER_SLICE == 0:
            pause()


def strip_block_comments(text: str, pause: Callable[[], None] = _no_pause) -> str:
    """Returns the statement without its block comments, which may be nested."""
    parts, position, count = [], 0, 0
    while match := COMMENT_OR_LITERAL.search(text, position):
        count += 1
        if count % MATCHES_PER_SLICE == 0:
            pause()
        if match.group() != "/*":
            parts.append(text[position : match.end()])
            position = match.end()
            continue
        parts.append(text[position : match.start()] + " ")
        position, depth = match.end(), 1
        while depth:
            count += 1
            if count % MATCHES_PER_SLICE == 0:
                pause()
            delimiter = COMMENT_DELIMITER.search(text, position)
            if delimiter is None:
                return "".join(parts)
            depth += 1 if delimiter.group() == "/*" else -1
            position = delimiter.end()
    return "".join(parts) + text[position:]


def table_group(statement: str, pause: Callable[[], None] = _no_pause) -> int | None:
    """Returns the number that ends a schema name: of the first table after FROM and similar keywords, else of
    the first qualified name; None if there is none. The schema `staging` does not count.

    `pause` is called after each slice of the work, so that other tasks can run.
    """
    if statement.count(".") == 1 and not SPECIAL.search(statement):  # fast path: a single qualified name
        match = QUALIFIED_NAME.search(statement)
        if match is not None:
            group = GROUP_SUFFIX.search(match[1])
            return int(group[1]) if group and match[1].lower() != "staging" else None
    return _table_group(statement, pause)


def _table_group(statement: str, pause: Callable[[], None] = _no_pause) -> int | None:
    if "/*" in statement:
        statement = strip_block_comments(statement, pause)
    fallback, expect_table = None, False
    for match in _sliced(TOKEN.finditer(statement), pause):
        name = match["name"]
        if name is None:
            continue
        if "." not in name:
            word = name.lower()
            if word in TABLE_KEYWORDS:
                expect_table = True
            elif word in CLAUSE_KEYWORDS:
                expect_table = False
            continue
        last_parts = deque(_sliced(NAME_PART.finditer(name), pause), maxlen=2)
        if len(last_parts) < 2:
            continue
        schema = last_parts[0][1].strip('"[]`')
        group = GROUP_SUFFIX.search(schema)
        if group and schema.lower() != "staging":
            if expect_table:
                return int(group[1])
            fallback = int(group[1]) if fallback is None else fallback
    return fallback
