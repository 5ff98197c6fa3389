"""Which group of tables a statement reads or writes."""

from __future__ import annotations

import re

PART = r"""(?:"[^"]*"|\[[^\]]*\]|`[^`]*`|[^\W\d][\w$\#@]*)"""
LITERAL = r"""--[^\n]*|'[^']*'?|\$(?P<tag>\w*)\$.*?(?:\$(?P=tag)\$|\Z)"""
TOKEN = re.compile(rf"{LITERAL}|\d[\w.]*|(?P<name>{PART}(?:\s*\.\s*{PART})*)", re.S)
COMMENT = re.compile(rf"{LITERAL}|{PART}|/\*", re.S)
EDGE = re.compile(r"/\*|\*/")
DOT = re.compile(rf"({PART})(?:\s*\.\s*)?")
BEFORE = {"from", "join", "into", "update", "table", "using", "merge", "delete", "truncate", "copy"}
AFTER = {"where", "set", "on", "select", "values", "group", "order", "having", "limit", "union", "when"}
ODD = re.compile(r"""['"`$\[#@]|--|/\*""")  # texts, quoted names, comments: then all is looked at
PLAIN = re.compile(r"(?<!\w)([^\W\d]\w*)\s*\.\s*[^\W\d]")
GROUP = re.compile(r"_(\d{1,9})\Z")


def _bare(text: str) -> str:
    """The statement without its block comments, which may nest."""
    parts, at = [], 0
    while match := COMMENT.search(text, at):
        if match.group() != "/*":
            parts.append(text[at : match.end()])
            at = match.end()
            continue
        parts.append(text[at : match.start()] + " ")
        at, depth = match.end(), 1
        while depth:
            edge = EDGE.search(text, at)
            if edge is None:
                return "".join(parts)
            depth += 1 if edge.group() == "/*" else -1
            at = edge.end()
    return "".join(parts) + text[at:]


def table_group(statement: str) -> int | None:
    """The number after the underscore in the first schema named after FROM and its like, or else anywhere."""
    if statement.count(".") == 1 and not ODD.search(statement):  # one name with a schema, and nothing odd
        match = PLAIN.search(statement)
        if match is not None:
            group = GROUP.search(match[1])
            return int(group[1]) if group and match[1].lower() != "staging" else None
    return _table_group(statement)


def _table_group(statement: str) -> int | None:
    if "/*" in statement:
        statement = _bare(statement)
    other, tables = None, False
    for match in TOKEN.finditer(statement):
        name = match["name"]
        if name is None:
            continue
        if "." not in name:
            word = name.lower()
            if word in BEFORE:
                tables = True
            elif word in AFTER:
                tables = False
            continue
        parts = DOT.findall(name)
        if len(parts) < 2:
            continue
        schema = parts[-2].strip('"[]`')
        group = GROUP.search(schema)
        if group and schema.lower() != "staging":
            if tables:
                return int(group[1])
            other = int(group[1]) if other is None else other
    return other
