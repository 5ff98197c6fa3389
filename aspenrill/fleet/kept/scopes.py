"""Scopes of purges as strings, which are also their keys: `all`, `c:CLASS`, or `g` and a slot number.

Table groups are mapped to SLOTS by number, which bounds versions and log keys whatever statements name. Two
groups in one slot are purged together, which costs only cache hits.
"""

from __future__ import annotations

import re

from ...wire import sql

SLOTS = 1024
ALL = "all"
PATTERN = r"\A(?:all|g\d{1,4}|c:[^\x00-\x1f]{1,64})\Z"
READ_KEYWORDS = {"select", "with"}  # first keywords of statements whose answers may be cached
WRITE_KEYWORDS = {
    "insert",
    "update",
    "delete",
    "merge",
    "truncate",
    "copy",
    "into",
    "create",
    "drop",
    "alter",
    "exec",
    "execute",
    "call",
    "grant",
    "revoke",
    "declare",
    "lock",
}
TABLE_KEYWORDS = {"from", "join", "using"}
CLAUSE_KEYWORDS = {
    "where",
    "on",
    "select",
    "group",
    "order",
    "having",
    "limit",
    "union",
    "except",
    "intersect",
    "when",
    "window",
    "offset",
    "fetch",
    "option",
    "for",
}
TOKEN = re.compile(
    rf"{sql.LITERAL}|\d[\w.]*|(?P<name>{sql.IDENTIFIER}(?:\s*\.\s*{sql.IDENTIFIER})*)|(?P<mark>[(),;])", re.S
)
_VALID = re.compile(PATTERN)


def of_group(group: int) -> str:
    """The scope of a table group."""
    return f"g{group % SLOTS}"


def of_class(name: str) -> str:
    """The scope of a class of requests."""
    return f"c:{name}"


def valid(scope: str) -> bool:
    """Whether a scope is well formed."""
    return _VALID.match(scope) is not None


def _group(name: str) -> int | None:
    parts = sql.NAME_PART.findall(name)
    found = sql.GROUP_SUFFIX.search(parts[-2].strip('"[]`')) if len(parts) > 1 else None
    return int(found[1]) if found else None


def groups_read(statement: str) -> frozenset[int] | None:
    """The groups of all tables that a query reads; None if it is not a plain query or a group is unknown.

    A table name without a group (a view, a function, a common table expression) makes the result unknown,
    since no purge would report its changes.
    """
    text = sql.strip_block_comments(statement) if "/*" in statement else statement
    found: set[int] = set()
    # by nesting depth: a table name is expected; more may follow a comma
    expects_table, in_list = [False], [False]
    first, last = True, None
    for match in TOKEN.finditer(text):
        name, mark = match["name"], match["mark"]
        if last == ";" and (name or mark):
            return None  # a second statement
        last = mark or "name"
        if mark == "(":
            expects_table.append(expects_table[-1])
            in_list.append(in_list[-1])
            expects_table[-2] = False
        elif mark == ")":
            if len(expects_table) == 1:
                return None
            del expects_table[-1], in_list[-1]
        elif mark == ",":
            expects_table[-1] = in_list[-1]
        elif name is not None:
            word = name.lower()
            if first and word not in READ_KEYWORDS or word in WRITE_KEYWORDS:
                return None
            first = False
            if word in TABLE_KEYWORDS:
                expects_table[-1] = in_list[-1] = True
            elif word in CLAUSE_KEYWORDS:
                expects_table[-1] = in_list[-1] = False
            elif expects_table[-1] and word not in ("lateral", "only", "as"):
                group = _group(name)
                if group is None or text[match.end() :].lstrip().startswith("("):
                    return None
                found.add(group)
                expects_table[-1] = False
    return frozenset(found) or None


def groups_named(statement: str) -> frozenset[int]:
    """All groups that a statement names anywhere: a superset of those that a load writes."""
    text = sql.strip_block_comments(statement) if "/*" in statement else statement
    names = (match["name"] for match in TOKEN.finditer(text))
    return frozenset(group for name in names if name and (group := _group(name)) is not None)
