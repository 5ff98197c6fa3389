"""A TCP connection with one bounded buffer for each direction; every blocking call takes a deadline."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from .hub import READ, WRITE, Closed, Hub, TimedOut
from .inbox import Inbox
from .partialbytes import PartialMessageBytes
from .ring import Ring
from .sendparts import join_unsent
from .socketerrors import NO_MEMORY_ERRNOS, UNREACHABLE_ERRNOS

DEFAULT_BUFFER_SIZE = 16384  # bytes of the buffer for each direction
MIN_READ_SIZE = 2048  # bytes; a read size grows while reads fill it and falls back to this after a small one
MAX_SEND_PARTS = 512  # buffers passed to one sendmsg, below IOV_MAX
WOULD_BLOCK = (BlockingIOError, InterruptedError)
ERROR_RETRY_DELAY = 0.005  # seconds until a call that failed with a transient error is repeated
MAX_PEEKS = 5  # attempts to peek at the next byte when the call fails
PEEK_FAILED = b"\0"  # result of a peek that kept failing: treated like an unread byte
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, 0 seconds
HANGUP_EVENTS = getattr(select, "POLLRDHUP", 0)  # also if unread data precedes the end; 0: not available


def time_left(until: float | None) -> float | None:
    """Returns the seconds until a deadline of the monotonic clock. Raises TimedOut if it has passed."""
    if until is None:
        return None
    seconds = until - time.monotonic()
    if seconds <= 0:
        raise TimedOut
    return seconds


class Connection:
    """A TCP connection. Calls raise Closed once it has ended and TimedOut when their deadline passes."""

    def __init__(self, hub: Hub, sock: socket.socket, ring: int = DEFAULT_BUFFER_SIZE) -> None:
        self.hub, self.sock, self.fd = hub, sock, sock.fileno()
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # only costs latency
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.incoming, self.outgoing = Inbox(ring), Ring(ring)
        self.open = True
        self.write_shut = False  # the write side is shut down; further input is discarded, never processed
        self.write_shut_at = 0.0
        self.closed_locally = False  # this side closed first
        self.disconnected = False  # end of stream was read, or the connection broke
        self.send_failed = False  # the last write failed with a transient error
        self.wait_before_read = False  # the last read emptied the socket, so wait before the next one
        self.read_size = min(MIN_READ_SIZE, ring)
        self.reused = False  # for a pool: has carried a request before
        self.mid_message = False  # a message has been read in part
        self.bytes_sent = 0  # bytes accepted by the kernel
        self.received_message = False  # for a listener: the peer has sent a complete message
        self.busy = 0  # for a listener: open requests and answers not yet written
        self.requests = 0  # requests received on it
        self.draining = False  # close it in order as soon as nothing is open on it
        self.last_used_at = time.monotonic()
        self.end_reason = ""  # why this side closes it, for the log
        self.peer = ""  # remote address, for the log
        self.created_at = self.last_used_at
        self.received_after = hub.arrivals_after  # the data read last arrived after this moment
        self.partial_bytes: PartialMessageBytes | None = None  # counts the bytes of incomplete messages
        self.read_stop_reason = ""  # why reading was stopped
        self.evicted = False  # closed to make a slot free for another connection
        self.write_started_at = 0.0  # start of the write in progress; 0: none
        self.unanswered: list[str] = []  # ids of requests that were unanswered when it ended
        self.discarded_bytes = 0  # bytes read but not processed because it is closing

    def close(self) -> None:
        """Closes the socket; tasks that wait on it get Closed. May be called twice."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.fd)
            with contextlib.suppress(OSError):  # EINTR, EIO: the descriptor is released all the same
                self.sock.close()
            self.incoming.clear()
            self.outgoing.clear()

    def abort(self) -> None:
        """Closes the socket with a reset: the kernel delivers no more of what was written."""
        if self.open:
            with contextlib.suppress(OSError):  # a plain close is then all that is left
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close()

    def begin_close(self, reason: str = "") -> None:
        """Begins the orderly close by shutting down the write side.

        A task that reads the connection gets Closed and should then call `linger`.
        """
        if self.open and not self.write_shut:
            self.end_reason = self.end_reason or reason
            self.write_shut, self.write_shut_at = True, time.monotonic()
            self.closed_locally = not self.disconnected
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.disconnected = True  # already reset
            self.hub.end_wait(self.fd, READ, Closed("ended here"))

    def close_if_idle(self) -> bool:
        """Begins the orderly close if nothing is open or unread, in the kernel either; whether it did."""
        idle = self.open and not (self.write_shut or self.busy or self.mid_message or len(self.incoming))
        if idle and (idle := self.peer_closed() is not None):
            self.begin_close("drained")
        return idle

    def linger(self, seconds: float) -> None:
        """Lingering close: shuts down the write side, discards input until the peer closes or a time-out.

        Closing with unread data would send a reset, and data the kernel has not delivered yet would be lost.
        An evicted connection on which nothing was ever written is closed at once.
        """
        self.begin_close()
        self.discard()
        until = time.monotonic() + (0.0 if self.evicted and not self.bytes_sent else seconds)
        try:
            while self.open and not self.disconnected:
                try:
                    count = len(self.sock.recv(DEFAULT_BUFFER_SIZE))
                    self.disconnected = not count
                    self.discarded_bytes += count
                except WOULD_BLOCK:
                    self.hub.wait_fd(self.fd, READ, time_left(until))
                    continue
                except OSError as why:
                    if not self._is_transient(why):
                        break
                    self._pause_after_error(until)
                    continue
                time_left(until)
                self.hub.yield_now()  # constant input must not starve other tasks
        except (Closed, TimedOut):
            pass
        finally:
            self.close()

    def stop_reading(self, reason: str) -> None:
        """Makes the reading task get Closed, now or at its next wait. Open requests can still be answered."""
        if self.open and not self.write_shut:
            self.read_stop_reason = reason
            self.hub.end_wait(self.fd, READ, Closed(reason))

    def discard(self) -> None:
        """Drops and counts the input that was read but not processed."""
        self.discarded_bytes += len(self.incoming)
        self.incoming.clear()

    # ---- reading --------------------------------------------------------------------------------------

    def fill(self, until: float | None) -> None:
        """Reads available data into the buffer, waiting for the first byte."""
        inbox = self.incoming
        while True:
            if not self.open:
                raise Closed("closed here")
            if self.write_shut:
                raise Closed("ended here")
            if self.read_stop_reason:
                raise Closed(self.read_stop_reason)
            if self.wait_before_read:
                self.wait_before_read = False
                inbox.release_buffer()
                self.hub.wait_fd(self.fd, READ, time_left(until))
                self.received_after = self.hub.arrivals_after
                continue
            try:
                if not len(inbox):
                    requested = self.read_size
                    data = self.sock.recv(requested)
                    count = len(data)
                    inbox.store(data)
                else:
                    space = inbox.space()
                    requested = len(space)
                    count = self.sock.recv_into(space) if requested else -2
                    inbox.commit(max(0, count))
            except WOULD_BLOCK:
                count = -1  # wait outside the handler, which would keep the exception and its frames alive
            except OSError as why:
                if not self._is_transient(why):
                    self.disconnected = True
                    raise Closed(str(why)) from None
                count = -3
            if count > 0:
                self.wait_before_read = count < requested
                if count == requested:
                    self.read_size = min(4 * self.read_size, inbox.capacity)
                elif count <= MIN_READ_SIZE and self.read_size > MIN_READ_SIZE:
                    self.read_size = MIN_READ_SIZE
                return
            if count == -3:
                self._pause_after_error(until)
                continue
            if count != -1:
                self.disconnected = not count
                raise Closed("more than fits" if count else "end of stream")
            self.wait_before_read = True

    def fill_at_once(self) -> None:
        """Reads what is available into the buffer, without waiting. Raises Closed."""
        self.wait_before_read = False
        with contextlib.suppress(TimedOut):
            self.fill(time.monotonic())

    def _pause_after_error(self, until: float | None) -> None:
        """Sleeps before a call that failed with a transient error is repeated."""
        seconds = time_left(until)
        self.hub.sleep(ERROR_RETRY_DELAY if seconds is None else min(ERROR_RETRY_DELAY, seconds))

    def _is_transient(self, why: OSError) -> bool:
        """Whether an error of a socket call is transient and leaves the connection usable."""
        return why.errno in NO_MEMORY_ERRNOS or why.errno in UNREACHABLE_ERRNOS and not self.hung_up()

    def read(self, count: int, until: float | None, held: int = 0) -> bytes:
        """Reads exactly `count` bytes, more than the buffer holds too; small pieces take no more memory.
        `held`: bytes of memory that the caller holds of the same message.
        """
        if len(self.incoming) >= count:
            return self.incoming.pull(count)
        message = bytearray()
        try:
            while len(message) < count:
                if not len(self.incoming):
                    self.fill(until)
                message += self.incoming.pull(count - len(message))
                if len(message) < count:
                    self._count_held(held + message.__alloc__())
        except BaseException:
            self._count_held(0)
            raise
        self._count_held(held)
        return bytes(message)

    def _count_held(self, count: int) -> None:
        if self.partial_bytes is not None:
            self.partial_bytes.set_bytes(self, count)

    def wait_for_bytes(self, count: int, until: float | None) -> None:
        """Waits until `count` bytes are buffered. An interrupted wait loses no data."""
        while len(self.incoming) < count:
            self.fill(until)

    def read_until(self, delimiter: bytes, until: float | None) -> bytes:
        """Reads up to and including the delimiter. Raises Closed if the buffer fills up without it."""
        return self.incoming.pull(self._size_through(delimiter, until))

    def read_head(self, until: float | None) -> str:
        """Reads an HTTP head including its empty line as Latin-1 text. Raises Closed as `read_until` does."""
        size, inbox = self._size_through(b"\r\n\r\n", until), self.incoming
        if not inbox.data:
            return inbox.pull(size).decode("latin-1")
        text = str(memoryview(inbox.data)[inbox.at : inbox.at + size], "latin-1")
        inbox.drop(size)
        return text

    def _size_through(self, delimiter: bytes, until: float | None) -> int:
        """Waits for the delimiter; returns the number of bytes up to and including it."""
        seen, inbox = 0, self.incoming
        while True:
            at = inbox.find(delimiter, max(0, seen - len(delimiter) + 1)) if len(inbox) else -1
            if at >= 0:
                return at + len(delimiter)
            if not inbox.free:
                raise Closed("line or head too long")
            seen = len(inbox)
            self.fill(until)

    def read_frame(self, max_size: int, until: float | None) -> tuple[bytes, int, int]:
        """Reads a message with a 4-byte length prefix; returns a buffer and the message's bounds in it.

        Raises Closed if the message is empty or longer than `max_size`. A completely buffered message is not
        copied.
        """
        inbox = self.incoming
        data, at = inbox.data, inbox.at
        if len(data) - at > 4:
            size = data[at] << 24 | data[at + 1] << 16 | data[at + 2] << 8 | data[at + 3]
            if 0 < size <= max_size and at + 4 + size <= len(data):
                inbox.drop(4 + size)
                return data, at + 4, at + 4 + size
        size = int.from_bytes(self.read(4, until), "big")
        if not 0 < size <= max_size:
            raise Closed(f"frame of {size} bytes")
        return self.read(size, until), 0, size

    def is_idle(self) -> bool:
        """Whether nothing is unread and the peer has not closed: usable for another request."""
        if not self.open or len(self.incoming):
            return False
        try:
            return self._peek() is None
        except OSError:
            return False

    def peer_closed(self) -> bool | None:
        """Whether the peer has closed, as far as is visible; None if data is unread."""
        try:
            seen = self._peek()
        except OSError:
            return True
        return False if seen is None else not seen or None

    def _peek(self) -> bytes | None:
        """Peeks at the next byte: b"" at end of stream, None if there is no data. Raises OSError."""
        for _ in range(MAX_PEEKS):
            try:
                return self.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return None
            except InterruptedError:
                continue
            except OSError as why:
                if not self._is_transient(why):
                    raise
        return PEEK_FAILED

    def hung_up(self) -> bool:
        """Whether the peer has closed or reset the connection, even if unread data precedes the FIN."""
        poller = select.poll()
        poller.register(self.fd, HANGUP_EVENTS)
        try:
            return bool(poller.poll(0))
        except OSError:
            return False  # no memory for the poll: a later read will find the end

    # ---- writing --------------------------------------------------------------------------------------

    def write(self, data: bytes, until: float | None) -> None:
        """Sends all of `data`, as fast as the peer accepts it."""
        done = self.try_write(data)
        while done < len(data) or len(self.outgoing):
            if done < len(data):
                done += self.outgoing.push(memoryview(data)[done:])
            count = self._send(self.outgoing.data())
            self.outgoing.drop(count)
            if not count:
                self._wait_to_write(until)
        self.outgoing.release_buffer()

    def _wait_to_write(self, until: float | None) -> None:
        if self.send_failed:
            self._pause_after_error(until)  # poll would report it writable at once
        else:
            self.hub.wait_fd(self.fd, WRITE, time_left(until))

    def write_parts(self, parts: list[bytes], until: float | None) -> None:
        """Like `write` for a list of buffers; copies nothing if the kernel accepts all of them at once."""
        unsent = self.try_write_parts(parts)
        if unsent:
            self.write(unsent, until)

    def try_write_parts(self, parts: list[bytes]) -> bytes:
        """Sends what the kernel accepts at once, if nothing is queued; returns the unsent data."""
        if len(self.outgoing):
            return b"".join(parts)
        at = 0
        while at < len(parts):
            some = parts[at : at + MAX_SEND_PARTS] if len(parts) > MAX_SEND_PARTS else parts
            count = self._send(some[0]) if len(some) == 1 else self._call_send(self.sock.sendmsg, some)
            if count < sum(map(len, some)):
                return join_unsent(parts[at:], count)
            at += len(some)
        return b""

    def try_write(self, data: bytes) -> int:
        """Sends what the kernel accepts at once, if nothing is queued; returns the number of bytes."""
        return 0 if len(self.outgoing) else self._send(data)

    def _send(self, data: bytes | memoryview) -> int:
        return self._call_send(self.sock.send, data)

    def _call_send(self, call: Callable[[Any], int], data: Any) -> int:
        """Calls a send function; returns the number of bytes accepted, 0 if it would block."""
        if not self.open:
            raise Closed("closed here")
        self.send_failed = False
        try:
            count = call(data)
        except WOULD_BLOCK:
            return 0
        except OSError as why:
            if not self._is_transient(why):
                raise Closed(str(why)) from None
            self.send_failed = True
            return 0
        self.bytes_sent += count
        return count
