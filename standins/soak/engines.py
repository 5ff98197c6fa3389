"""Engines of a soak run: they record each attempt, and a share of their attempts fails in some way."""

from __future__ import annotations

import random
import time

from aspenrill.net.conn import Connection
from aspenrill.net.hub import Closed, Hub

from ..world import EngineBehaviour, HttpEngine
from .records import EngineAttempt

FAULT_OUTCOMES = ("error", "full", "reset", "hang", "garbage")
DROPPED_AFTER = 2.25  # seconds since the last poll after which a query is dropped: 2, and 0.25 to answer it
HANG_DURATION = 30.0  # seconds without an answer
LONG_WORK = (0.3, 2.0)  # seconds, from and to
SHORT_WORK = (0.002, 0.06)  # seconds, from and to
LONG_WORK_ODDS = 0.05  # share of the queries
ROW_END_ODDS = 0.5  # share of the lengths that are too short and end behind a row
FILLER = "x" * 40  # a column of each row


def make_statement(number: int, rows: int) -> str:
    """Return a statement from which every engine can derive the result."""
    return f"select {number} rows {rows}"


def result_rows(statement: str) -> list[tuple[str, str, str]]:
    """Return the rows of such a statement."""
    return [(statement, str(row), FILLER) for row in range(int(statement.split()[-1]))]


def expected_text(statement: str) -> bytes:
    """Return the result as the client receives it."""
    return "".join("\t".join(row) + "\n" for row in result_rows(statement)).encode()


class SoakEngine(HttpEngine):
    """An engine that records its attempts. `engine_fault_share`: share of its queries that fail."""

    def __init__(self, hub: Hub, name: str, rng: random.Random, engine_fault_share: float) -> None:
        super().__init__(hub, name)
        self.rng, self.engine_fault_share = rng, engine_fault_share
        self.length_rng, self.short_length_share = rng, 0.0
        self.attempts: list[EngineAttempt] = []
        self._latest_attempts: dict[str, EngineAttempt] = {}  # by id
        self.behaviour = self._draw_outcome

    def state_short_lengths(self, rng: random.Random, share: float) -> None:
        """State a Content-Length that is too short for a share of the pages."""
        self.length_rng, self.short_length_share = rng, share

    def _draw_outcome(self, statement: str) -> EngineBehaviour:
        after = self.rng.uniform(*(LONG_WORK if self.rng.random() < LONG_WORK_ODDS else SHORT_WORK))
        end = self.rng.choice(FAULT_OUTCOMES) if self.rng.random() < self.engine_fault_share else "ok"
        return EngineBehaviour(after=0.0 if end == "full" else after, end=end, rows=result_rows(statement))

    def posted(self, conn: Connection, fields: dict[str, str], statement: str) -> None:
        """See HttpEngine; the attempt is recorded first."""
        now = time.monotonic()
        attempt = EngineAttempt(
            fields["x-ticket"],
            self.name,
            fields["x-queue"],
            fields.get("x-nonce", ""),
            now,
            int(fields["x-max-ms"]) / 1000,
            last_polled_at=now,
        )
        self.attempts.append(attempt)
        self._latest_attempts[attempt.id] = attempt
        super().posted(conn, fields, statement)

    def deleted(self, attempt_id: str) -> None:
        """See HttpEngine."""
        self._end(attempt_id)
        super().deleted(attempt_id)

    def answer_poll(self, conn: Connection, attempt_id: str) -> None:
        """See HttpEngine; some polls are never answered, or answered with garbage."""
        query = self.queries.get(attempt_id)
        if query is None:
            return super().answer_poll(conn, attempt_id)
        attempt, now = self._latest_attempts[attempt_id], time.monotonic()
        if now > attempt.last_polled_at + DROPPED_AFTER:
            super().deleted(attempt_id)
            return self.respond(conn, 500)
        attempt.last_polled_at = now
        if query[2].end == "hang":
            self.hub.sleep(HANG_DURATION)
            raise Closed("hangs")
        if query[2].end == "garbage":
            conn.write(bytes(self.rng.randrange(1, 9) for _ in range(64)) + b"\r\n\r\n", time.monotonic() + 5)
            raise Closed("garbage")
        try:
            super().answer_poll(conn, attempt_id)
        finally:
            if time.monotonic() >= query[1] + query[2].after:
                attempt.refused = query[2].end == "full"
                self._end(attempt_id)
        return None

    def respond(self, conn: Connection, status: int, fields: dict | None = None, body: bytes = b"") -> None:
        """See HttpEngine; some pages have a length that is too short. All of their bytes are sent."""
        if not self.short_length_share or status != 200 or not body:
            return super().respond(conn, status, fields, body)
        if self.length_rng.random() >= self.short_length_share:
            return super().respond(conn, status, fields, body)
        lines = "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
        head = f"HTTP/1.1 200 X\r\n{lines}Content-Length: {self._draw_short_length(body)}\r\n\r\n"
        conn.write(head.encode() + body, time.monotonic() + 5)
        return None

    def _draw_short_length(self, body: bytes) -> int:
        """Return a length from 0 to one less than that of the body."""
        length = self.length_rng.randrange(len(body))
        if self.length_rng.random() < ROW_END_ODDS:
            length = body.rfind(b"\n", 0, length) + 1
        return length

    def _end(self, attempt_id: str) -> None:
        attempt = self._latest_attempts.get(attempt_id)
        if attempt is not None and attempt.ended_at is None:
            attempt.ended_at = time.monotonic()
