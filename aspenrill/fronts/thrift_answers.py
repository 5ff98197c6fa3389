"""Answers on their way to one Thrift client, at the pace at which it takes them."""

from __future__ import annotations

import time
from collections import deque

from ..net.conn import Connection
from ..net.hub import Closed, Hub, Signal
from ..wire import thrift

MOST_UNREAD = 8 * 1024 * 1024  # bytes of answers that clients of one front have not taken
SMALL = 512  # bytes of an answer that is queued at any load
NOT_READ = {"reason": "answers are not read"}
BEGUN = -1  # in place of a call's number: a part of it has gone out, so the rest has to


class UnreadBytes:
    """Bytes of answers that wait, over all connections of a front."""

    def __init__(self, most: int = MOST_UNREAD) -> None:
        self.most, self.total = most, 0
        self.writing = 0  # connections with answers on their way

    def fits(self, count: int) -> bool:
        """Whether so many more may wait."""
        return count <= SMALL or self.total + count <= self.most


class AnswerWriter:
    """Whole messages in the order in which they were said. What is said before the next look at descriptors
    goes out in one write; a task exists only while something of it is left. No clock ends it: a client on a
    slow link takes its time, and what waits is bounded.
    """

    def __init__(self, hub: Hub, conn: Connection, unread: UnreadBytes) -> None:
        self.hub, self.conn, self.unread = hub, conn, unread
        self._parts: list[bytes] = []  # of messages that go out together
        self._queue: deque[tuple[int, bytes]] = deque()  # messages that the client did not take at once
        self.busy = False
        self._done: Signal | None = None

    @property
    def queued(self) -> int:
        """Messages that the client has not taken."""
        return len(self._queue)

    def say(self, number: int, *parts: bytes) -> None:
        """Pass on a message that answers the call of this number."""
        if self.busy:
            self._wait_in_line(number, b"".join(parts))
            return
        if not self._parts:
            self.conn.busy += 1  # it must not give way to another before this has gone out
            self.hub.call_before_poll(self.flush)
        self._parts += parts

    def forget(self, number: int) -> None:
        """The client does not want that answer any more: it is dropped if nothing of it has gone out."""
        kept = deque(each for each in self._queue if each[0] != number)
        if len(kept) < len(self._queue):
            self.unread.total += sum(len(data) for _, data in kept) - self._bytes()
            self._queue = kept

    def flush(self) -> None:
        """Pass on what has been said since the last look."""
        parts, self._parts = self._parts, []
        if not parts:
            return
        self.conn.busy -= 1
        if not self.conn.open:
            return
        try:
            rest = self.conn.try_write_parts(parts)
        except Closed:
            self._break()
            return
        if rest:
            self._begin(parts, rest)
        elif self.conn.draining:
            self.conn.close_if_idle()

    def wait(self) -> None:
        """Until all is written, or the connection is closed."""
        while self.busy and self.conn.open:
            self._done = Signal(self.hub)
            self._done.wait(None)

    def _begin(self, parts: list[bytes], rest: bytes) -> None:
        """A task for what the system did not take; each message that has not begun waits by itself."""
        self.busy = True
        self.conn.busy += 1
        self.unread.writing += 1
        data = b"".join(parts)
        sent, at = len(data) - len(rest), 0
        while at < len(data):
            begin, at = at, at + thrift.frame_size(data, at)
            if begin >= sent:
                message = data[begin:at]
                self._wait_in_line(thrift.number_of(message), message)
            elif at > sent:
                self._wait_in_line(BEGUN, data[sent:at])
        self.hub.spawn(self._write, name="thrift writer")

    def _wait_in_line(self, number: int, data: bytes) -> None:
        if number != BEGUN and not self.unread.fits(len(data)):
            data = thrift.thrown("serve", number, 2, NOT_READ)
        self.unread.total += len(data)
        self._queue.append((number, data))

    def _write(self) -> None:
        try:
            while self._queue:
                _, data = self._queue.popleft()
                self.unread.total -= len(data)
                self.conn.write_started_at = time.monotonic()
                self.conn.write(data, None)
        except Closed:
            self._break()
        finally:
            self.unread.total -= self._bytes()
            self._queue.clear()
            self.busy, self.conn.write_started_at = False, 0.0
            self.conn.busy -= 1
            self.unread.writing -= 1
            if self.conn.draining:
                self.conn.close_if_idle()
            if self._done is not None:
                self._done.set()

    def _bytes(self) -> int:
        return sum(len(data) for _, data in self._queue)

    def _break(self) -> None:
        """The client can tell that the answer is not whole. Who reads the connection gets Closed."""
        self.conn.over = True
        self.conn.close()
