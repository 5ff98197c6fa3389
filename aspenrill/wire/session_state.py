"""Tells whether a batch may leave something in its session that a reset of the session does not end.

RESETCONNECTION leaves the isolation level as it is, and comes only with the next batch: until then an open
transaction or an application lock would block others. Words are looked for in the whole text, also in
comments and literals, which may be run as statements: one word too many costs a new session, one too few a
wrong answer.
"""

from __future__ import annotations

import re

LASTING_STATE = re.compile(
    r"\b(?:"
    r"tran|transaction"  # opened, or its isolation level
    r"|implicit_transactions|ansi_defaults"  # options by which statements open one
    r"|sp_getapplock|sp_setapprole|sp_bindsession|execute\s+as|exec\s+as|setuser"
    r")\b"
)

PARTS_OF_WORDS = ("tran", "ansi_defaults", "sp_", "exec", "setuser")  # each word above has one of them


def leaves_session_state(statement: str) -> bool:
    """Whether the session of this batch must not be used for another one. Linear in the length."""
    text = statement.lower()
    return any(part in text for part in PARTS_OF_WORDS) and LASTING_STATE.search(text) is not None
