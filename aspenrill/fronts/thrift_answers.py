"""Encodes final answers, and writes them to one Thrift client as fast as it reads them."""

from __future__ import annotations

import time
from collections import deque

from ..core.books import Failed, Final, Refused, Served
from ..net.conn import Connection
from ..net.hub import Closed, Hub, Signal
from ..wire import thrift

MAX_UNREAD = 8 * 1024 * 1024  # bytes of unsent answers, over all connections
ALWAYS_QUEUED_SIZE = 512  # bytes; smaller answers are queued regardless of the limit
UNREAD_FIELDS = {"reason": "answers are not read"}
PARTLY_SENT = -1  # in place of a sequence number: partly sent, so the rest must follow


class UnreadBytes:
    """Counts the bytes of unsent answers, over all connections of a front."""

    def __init__(self, max_total: int = MAX_UNREAD) -> None:
        self.max_total, self.total = max_total, 0
        self.writing = 0  # connections with a writer task

    def fits(self, count: int) -> bool:
        """Whether `count` more bytes fit within the limit."""
        return count <= ALWAYS_QUEUED_SIZE or self.total + count <= self.max_total


class AnswerWriter:
    """Writes whole messages in order. Messages of one event loop round are sent with one call.

    A writer task exists only while unsent data remains. It has no time-out, as a client on a slow link may
    take long; the queue is bounded instead.
    """

    def __init__(self, hub: Hub, conn: Connection, unread: UnreadBytes) -> None:
        self.hub, self.conn, self.unread = hub, conn, unread
        self._parts: list[bytes] = []  # messages to be sent together
        self._queue: deque[tuple[int, bytes]] = deque()  # unsent messages
        self.writing = False
        self._done: Signal | None = None

    @property
    def queued(self) -> int:
        """The number of unsent messages."""
        return len(self._queue)

    def send(self, seqid: int, *parts: bytes) -> None:
        """Queues the message that answers a call."""
        if self.writing:
            self._enqueue(seqid, b"".join(parts))
            return
        if not self._parts:
            self.conn.busy += 1  # not to be evicted before this is sent
            self.hub.call_before_poll(self.flush)
        self._parts += parts

    def send_final(self, seqid: int, final: Final) -> None:
        """Queues the final answer to a call."""
        match final:
            case Served(result) if result.form != "text":
                fault = {"reason": "the result is not text"}
                self.send(seqid, thrift.declared_exception("serve", seqid, 2, fault))
            case Served(result):
                self.send(seqid, *thrift.answer_parts(seqid, result.pages))
            case Refused(retry_after):
                hint = {"holdoff": str(round(retry_after * 1000))} if retry_after > 0 else {}
                self.send(seqid, thrift.declared_exception("serve", seqid, 1, hint))
            case Failed(reason):
                fault = {"reason": reason} if reason else {}
                self.send(seqid, thrift.declared_exception("serve", seqid, 2, fault))

    def forget(self, seqid: int) -> None:
        """Drops a queued answer that the client has cancelled, unless it is partly sent."""
        remaining = deque(each for each in self._queue if each[0] != seqid)
        if len(remaining) < len(self._queue):
            self.unread.total += sum(len(data) for _, data in remaining) - self._queued_bytes()
            self._queue = remaining

    def flush(self) -> None:
        """Sends the messages queued since the last flush."""
        parts, self._parts = self._parts, []
        if not parts:
            return
        self.conn.busy -= 1
        if not self.conn.open:
            return
        try:
            unsent = self.conn.try_write_parts(parts)
        except Closed:
            self._abort()
            return
        if unsent:
            self._start_writer(parts, unsent)
        elif self.conn.draining:
            self.conn.close_if_idle()

    def wait(self) -> None:
        """Blocks until everything is written or the connection is closed."""
        while self.writing and self.conn.open:
            self._done = Signal(self.hub)
            self._done.wait(None)

    def _start_writer(self, parts: list[bytes], unsent: bytes) -> None:
        """Starts a writer task for unsent data, queueing each message that has not begun separately."""
        self.writing = True
        self.conn.busy += 1
        self.unread.writing += 1
        data = b"".join(parts)
        sent, at = len(data) - len(unsent), 0
        while at < len(data):
            begin, at = at, at + thrift.frame_size(data, at)
            if begin >= sent:
                message = data[begin:at]
                self._enqueue(thrift.sequence_number(message), message)
            elif at > sent:
                self._enqueue(PARTLY_SENT, data[sent:at])
        self.hub.spawn(self._write, name="thrift writer")

    def _enqueue(self, seqid: int, data: bytes) -> None:
        if seqid != PARTLY_SENT and not self.unread.fits(len(data)):
            data = thrift.declared_exception("serve", seqid, 2, UNREAD_FIELDS)
        self.unread.total += len(data)
        self._queue.append((seqid, data))

    def _write(self) -> None:
        try:
            while self._queue:
                _, data = self._queue.popleft()
                self.unread.total -= len(data)
                self.conn.write_started_at = time.monotonic()
                self.conn.write(data, None)
        except Closed:
            self._abort()
        finally:
            self.unread.total -= self._queued_bytes()
            self._queue.clear()
            self.writing, self.conn.write_started_at = False, 0.0
            self.conn.busy -= 1
            self.unread.writing -= 1
            if self.conn.draining:
                self.conn.close_if_idle()
            if self._done is not None:
                self._done.set()

    def _queued_bytes(self) -> int:
        return sum(len(data) for _, data in self._queue)

    def _abort(self) -> None:
        """Closes the connection, so that the client sees that an answer is incomplete."""
        self.conn.disconnected = True
        self.conn.close()
