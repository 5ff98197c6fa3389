"""Counts the messages of a client that cannot be used, and decides when it is disconnected."""

from __future__ import annotations

from ..net.conn import Connection
from ..net.hub import Closed

MAX_BAD = 16  # unusable messages after which a connection is closed
MAX_MALFORMED = 16  # messages that cannot even be answered after which the connection is closed


class MisuseCounter:
    """The unusable messages of one connection."""

    def __init__(self, conn: Connection) -> None:
        self.conn = conn
        self.bad_count = self.malformed_count = 0  # messages that are unusable, that cannot be answered
        self.refusing = False  # disconnecting: further calls are refused at once

    def count_bad(self) -> None:
        """Counts a message that was answered with an error."""
        self.bad_count += 1
        if self.bad_count >= MAX_BAD:
            self._disconnect()

    def count_malformed(self) -> None:
        """Counts a message without a sequence number. The framing is intact, so a request may follow.

        Raises Closed after too many.
        """
        self._disconnect()
        self.malformed_count += 1
        if self.malformed_count > MAX_MALFORMED:
            raise Closed("messages that cannot be read")

    def _disconnect(self) -> None:
        """Closes the connection after the last answer, as soon as nothing is unread."""
        self.refusing = self.conn.draining = True
        self.conn.end_reason = self.conn.end_reason or "messages that cannot be used"
