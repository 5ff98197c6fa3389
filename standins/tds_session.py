"""The state that a session of a TDS engine keeps between batches, as Transact-SQL and MS-TDS have it."""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass, field

from aspenrill.wire import tds

COMMAND = re.compile(
    r"(?P<rowcount>set rowcount (?P<rows>\d+))"
    r"|set transaction isolation level (?P<isolation>\w+)"
    r"|set implicit_transactions (?P<implicit>on|off)"
    r"|(?P<begin>begin tran)"
    r"|(?P<end>commit|rollback)"
    r"|create table (?P<table>#\w+)"
    r"|sp_getapplock (?P<lock>\w+)",
    re.IGNORECASE,
)
DEFAULT_ISOLATION = "committed"
STATE_STATEMENT = "select session"  # is answered with one row for each thing that the session keeps


@dataclass
class TdsSession:
    """Options, transaction, temporary tables and application locks of one session."""

    rowcount: int = 0  # most rows of a result; 0: no limit
    isolation: str = DEFAULT_ISOLATION
    implicit_transactions: bool = False
    in_transaction: bool = False
    tables: set[str] = field(default_factory=set)
    locks: set[str] = field(default_factory=set)
    batches: int = 0
    resets: int = 0
    acknowledgement: bytes = b""  # the tokens that acknowledge the reset of the current batch

    def begin_batch(self, status: int) -> None:
        """Note a batch, whose first packet has this status."""
        self.batches += 1
        self.acknowledgement = b""
        if not status & tds.RESET_CONNECTION:
            return
        self.resets += 1
        self.rowcount, self.implicit_transactions, self.in_transaction = 0, False, False
        self.tables.clear()
        self.locks.clear()
        self.acknowledgement = environment_change(tds.RESET_ACKNOWLEDGED)

    def execute(self, commands: str) -> bytes:
        """Apply the commands in a text. Returns the ENVCHANGE tokens that tell of transactions."""
        tokens = b""
        for command in COMMAND.finditer(commands):
            if command["rowcount"]:
                self.rowcount = int(command["rows"])
            elif command["isolation"]:
                self.isolation = command["isolation"].lower()
            elif command["implicit"]:
                self.implicit_transactions = command["implicit"].lower() == "on"
            elif command["begin"]:
                self.in_transaction = True
                tokens += environment_change(tds.TRANSACTION_BEGUN)
            elif command["end"]:
                self.in_transaction = False
                tokens += environment_change(tds.TRANSACTION_COMMITTED)
            elif command["table"]:
                self.tables.add(command["table"])
            else:
                self.locks.add(command["lock"])
        return tokens

    def rows(self, statement: str, rows: list) -> list:
        """Return the rows of a statement's result in this session."""
        if STATE_STATEMENT in statement:
            rows = [(word, "", "") for word in self.leftovers()]
        return rows[: self.rowcount] if self.rowcount else rows

    def leftovers(self) -> list[str]:
        """Return what a new session would not have."""
        options = [
            ("rowcount", self.rowcount),
            ("isolation", self.isolation != DEFAULT_ISOLATION),
            ("implicit_transactions", self.implicit_transactions),
            ("transaction", self.in_transaction),
        ]
        return [name for name, kept in options if kept] + sorted(self.tables | self.locks)


def environment_change(kind: int) -> bytes:
    """Encode an ENVCHANGE token without old and new value."""
    return struct.pack("<BHBBB", tds.ENVCHANGE, 3, kind, 0, 0)


def split_batch(statement: str) -> tuple[str, str]:
    """Split a batch into the commands up to its last query, and those behind the query's first word."""
    before, query, behind = statement.rpartition("select")
    return (before, query + behind) if query else (statement, "")
