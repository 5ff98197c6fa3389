"""What a purge covers, as a text that is also its key: `all`, `c:CLASS`, or `g` and the slot of a table
group.

Table groups fall into SLOTS by their number, so that versions and log keys are bounded whatever statements
name; two groups of one slot are purged together, which costs speed only.
"""

from __future__ import annotations

import re

from ...wire import sql

SLOTS = 1024
ALL = "all"
PATTERN = r"\A(?:all|g\d{1,4}|c:[^\x00-\x1f]{1,64})\Z"
READS = {"select", "with"}  # how a statement begins whose answer may be kept
WRITES = {
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
TABLES = {"from", "join", "using"}
OTHER = {
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
    rf"{sql.LITERAL}|\d[\w.]*|(?P<name>{sql.PART}(?:\s*\.\s*{sql.PART})*)|(?P<mark>[(),;])", re.S
)
_VALID = re.compile(PATTERN)


def of_group(group: int) -> str:
    """The scope of a table group."""
    return f"g{group % SLOTS}"


def of_class(name: str) -> str:
    """The scope of a class of requests."""
    return f"c:{name}"


def valid(scope: str) -> bool:
    """Of the form that goes over the wire."""
    return _VALID.match(scope) is not None


def _group(name: str) -> int | None:
    parts = sql.DOT.findall(name)
    found = sql.GROUP.search(parts[-2].strip('"[]`')) if len(parts) > 1 else None
    return int(found[1]) if found else None


def groups_read(statement: str) -> frozenset[int] | None:
    """The groups of all tables that a query reads; None where it is no plain query, or one of them is
    unknown.

    A name without a group where a table is wanted (a view, a function, a common table expression) makes the
    whole unknown: nothing would say when it has changed.
    """
    text = sql._bare(statement) if "/*" in statement else statement
    found: set[int] = set()
    wanted, listed = [False], [False]  # by depth of brackets: a table's name is next; more may follow a comma
    first, last = True, None
    for match in TOKEN.finditer(text):
        name, mark = match["name"], match["mark"]
        if last == ";" and (name or mark):
            return None  # a second statement
        last = mark or "name"
        if mark == "(":
            wanted.append(wanted[-1])
            listed.append(listed[-1])
            wanted[-2] = False
        elif mark == ")":
            if len(wanted) == 1:
                return None
            del wanted[-1], listed[-1]
        elif mark == ",":
            wanted[-1] = listed[-1]
        elif name is not None:
            word = name.lower()
            if first and word not in READS or word in WRITES:
                return None
            first = False
            if word in TABLES:
                wanted[-1] = listed[-1] = True
            elif word in OTHER:
                wanted[-1] = listed[-1] = False
            elif wanted[-1] and word not in ("lateral", "only", "as"):
                group = _group(name)
                if group is None or text[match.end() :].lstrip().startswith("("):
                    return None
                found.add(group)
                wanted[-1] = False
    return frozenset(found) or None


def groups_named(statement: str) -> frozenset[int]:
    """Every group that a statement names anywhere: more than a load writes, never less."""
    text = sql._bare(statement) if "/*" in statement else statement
    names = (match["name"] for match in TOKEN.finditer(text))
    return frozenset(group for name in names if name and (group := _group(name)) is not None)
