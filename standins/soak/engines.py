"""Engines of a soak day: they note each run of a query, and some of their queries end badly."""

from __future__ import annotations

import random
import time

from aspenrill.net.conn import Connection
from aspenrill.net.hub import Closed, Hub

from ..world import Act, HttpEngine
from .records import EngineAttempt

BAD_ENDS = ("error", "full", "reset", "hang", "garbage")
HANG_FOR = 30.0  # seconds without a word
LONG, SHORT = (0.3, 2.0), (0.002, 0.06)  # seconds of work
LONG_ODDS = 0.05
FILLER = "x" * 40


def statement_of(number: int, rows: int) -> str:
    """A statement whose result any engine knows."""
    return f"select {number} rows {rows}"


def result_of(statement: str) -> list[tuple[str, str, str]]:
    """The rows of such a statement."""
    return [(statement, str(row), FILLER) for row in range(int(statement.split()[-1]))]


def text_of(statement: str) -> bytes:
    """The same as a client reads it."""
    return "".join("\t".join(row) + "\n" for row in result_of(statement)).encode()


class SoakEngine(HttpEngine):
    """An engine that notes what runs. `trouble`: share of its queries that end badly."""

    def __init__(self, hub: Hub, name: str, rng: random.Random, trouble: float) -> None:
        super().__init__(hub, name)
        self.rng, self.trouble = rng, trouble
        self.notes: list[EngineAttempt] = []
        self._latest: dict[str, EngineAttempt] = {}  # by id
        self.act = self._draw

    def _draw(self, statement: str) -> Act:
        after = self.rng.uniform(*(LONG if self.rng.random() < LONG_ODDS else SHORT))
        end = self.rng.choice(BAD_ENDS) if self.rng.random() < self.trouble else "ok"
        return Act(after=0.0 if end == "full" else after, end=end, rows=result_of(statement))

    def posted(self, conn: Connection, fields: dict[str, str], statement: str) -> None:
        """See HttpEngine; the run is noted first."""
        now = time.monotonic()
        note = EngineAttempt(
            fields["x-ticket"],
            self.name,
            fields["x-queue"],
            fields.get("x-nonce", ""),
            now,
            int(fields["x-max-ms"]) / 1000,
            last_asked=now,
        )
        self.notes.append(note)
        self._latest[note.id] = note
        super().posted(conn, fields, statement)

    def deleted(self, ident: str) -> None:
        """See HttpEngine."""
        self._end(ident)
        super().deleted(ident)

    def news(self, conn: Connection, ident: str) -> None:
        """See HttpEngine; some never tell, or tell what cannot be read."""
        query = self.queries.get(ident)
        if query is None:
            return super().news(conn, ident)
        note = self._latest[ident]
        note.last_asked = time.monotonic()
        if query[2].end == "hang":
            self.hub.sleep(HANG_FOR)
            raise Closed("hangs")
        if query[2].end == "garbage":
            conn.write(bytes(self.rng.randrange(1, 9) for _ in range(64)) + b"\r\n\r\n", time.monotonic() + 5)
            raise Closed("garbage")
        try:
            super().news(conn, ident)
        finally:
            if time.monotonic() >= query[1] + query[2].after:
                note.refused = query[2].end == "full"
                self._end(ident)
        return None

    def _end(self, ident: str) -> None:
        note = self._latest.get(ident)
        if note is not None and note.ended is None:
            note.ended = time.monotonic()
