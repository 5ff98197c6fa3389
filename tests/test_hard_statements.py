"""Statements that are hard to read: nothing in them is looked at again and again."""

from __future__ import annotations

import re

import pytest

from aspenrill.wire import sql

SIZE = 64_000  # characters, about the largest statement of a Thrift client
OPENERS = ["'", '"', "[", "`", "$$", "$tag$", "--"]
PATTERNS = {"token": sql.TOKEN, "comment": sql.COMMENT_OR_LITERAL}
UNITS = ["[", "a.[", "[ ", '"', 'a."', "`", "a.`", "'", "$$", "$a", "$a$", "/*", "/*[", "a . ", "a ", "."]
OPENER = re.compile(r"""['"`\[]""")


@pytest.mark.parametrize("name", list(PATTERNS))
@pytest.mark.parametrize("opener", OPENERS)
def test_a_quoted_text_without_its_end_takes_the_rest_of_the_statement(opener, name):
    # at each opening bracket the end was looked for through all of the rest: 3 s for one statement
    found = PATTERNS[name].match(opener + "x" * SIZE)
    assert found is not None and found.end() == len(opener) + SIZE


@pytest.mark.parametrize("name", list(PATTERNS))
@pytest.mark.parametrize("unit", UNITS)
def test_no_opener_is_left_behind_as_read(unit, name):
    # an opener outside of all matches is one whose end was looked for in vain
    text = (unit * SIZE)[:SIZE]
    gaps, position = 0, 0
    for found in PATTERNS[name].finditer(text):
        gaps += len(OPENER.findall(text, position, found.start()))
        position = found.end()
    assert gaps + len(OPENER.findall(text, position)) == 0


@pytest.mark.parametrize("unit", UNITS)
def test_a_statement_that_cannot_be_read_has_no_group(unit):
    assert sql.table_group(unit * (SIZE // len(unit))) is None


@pytest.mark.parametrize(
    "statement, group",
    [
        ("select * from [ops_2].[x", 2),  # the group stands before what has no end
        ('select * from "ops_2".x where y = "open', 2),
        ("select [open from ops_2.x", None),
        ("select `open from ops_2.x", None),
        ("select a[1] from ops_2.x", 2),
    ],
)
def test_a_quoted_name_without_its_end_hides_what_follows(statement, group):
    assert sql.table_group(statement) == group
