"""Which group of tables a statement reads or writes."""
from __future__ import annotations

import re

TOKEN = re.compile(r"""
    (?P<skip> --[^\n]* | '(?:[^']|'')*'? | \$(?P<tag>\w*)\$.*?(?:\$(?P=tag)\$|\Z) | \s+ )
  | (?P<comment> /\* )
  | (?P<quoted> "(?:[^"]|"")*"? | \[[^\]]*\]? | `[^`]*`? )
  | (?P<word> [^\W\d][\w$\#@]* )
  | (?P<other> \d[\w.]* | . )
""", re.X | re.S)
BEFORE = {"from", "join", "into", "update", "table", "using", "merge", "delete", "truncate", "copy", "only",
          "exists"}
GROUP = re.compile(r"_(\d{1,9})\Z")


def _tokens(text: str) -> list[tuple[str, bool]]:
    """Words, quoted names (True) and signs; strings and comments, which may nest, left out."""
    found, at = [], 0
    while at < len(text):
        match = TOKEN.match(text, at)
        at = match.end()
        if match["comment"]:
            depth = 1
            while depth and (mark := re.compile(r"/\*|\*/").search(text, at)):
                depth += 1 if mark.group() == "/*" else -1
                at = mark.end()
            if depth:
                break
        elif match["quoted"]:
            found.append((match["quoted"].strip('"[]`'), True))
        elif not match["skip"]:
            found.append((match.group(), False))
    return found


def table_group(statement: str) -> int | None:
    """The number after the underscore in the first schema named; one in FROM and its like goes before."""
    tokens, other = _tokens(statement), None
    tables = False  # within a list of tables
    at = 0
    while at < len(tokens):
        word, quoted = tokens[at]
        named = quoted or word[0].isalpha() or word[0] == "_"
        if not named:
            tables = tables and word in (",", "(")
            at += 1
            continue
        parts = [word]
        while at + 2 < len(tokens) and tokens[at + 1] == (".", False):
            parts.append(tokens[at + 2][0])
            at += 2
        at += 1
        if len(parts) == 1:
            if not quoted and word.lower() in BEFORE:
                tables = True
            elif not tables or quoted is False and word.lower() in ("where", "set", "on", "select", "values"):
                tables = False
            continue
        schema = parts[-2]
        group = GROUP.search(schema)
        if group and schema.lower() != "staging":
            if tables:
                return int(group[1])
            other = int(group[1]) if other is None else other
    return other
