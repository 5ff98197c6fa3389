"""A TCP connection with one bounded buffer a direction; every wait on it has its time."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import time
from collections.abc import Callable
from typing import Any

from .heldbytes import HeldBytes
from .hub import READ, WRITE, Closed, Hub, TimedOut
from .inbox import Inbox
from .ring import Ring

RING = 16384
LEAST_READ = 2048  # bytes asked for in one read; more after one that was filled, until few come
MOST_PARTS = 512  # that one vectored write takes, well under IOV_MAX
AGAIN = (BlockingIOError, InterruptedError)
NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)  # of the system, for a moment: the connection is as it was
UNREACHED = (  # the way there is broken, for a moment unless the system has given the connection up
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EPROTO,
    errno.ENOPROTOOPT,
)
ERROR_PAUSE = 0.005  # seconds until a call that failed by such an error is tried again
PEEKS = 5  # tries of a look at what has come
UNSEEN = b"\0"  # what a look brings that cannot be had: as if something lay there
ENDS = getattr(select, "POLLRDHUP", 0)  # also with bytes unread before the end; 0 where the system lacks it


def left(until: float | None) -> float | None:
    """Seconds until a moment of the monotonic clock; TimedOut once it has passed."""
    if until is None:
        return None
    seconds = until - time.monotonic()
    if seconds <= 0:
        raise TimedOut
    return seconds


class Connection:
    """Reads and writes through its rings; Closed when it is over, TimedOut when a wait is."""

    def __init__(self, hub: Hub, sock: socket.socket, ring: int = RING) -> None:
        self.hub, self.sock, self.fd = hub, sock, sock.fileno()
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # slower without, but as good
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.incoming, self.outgoing = Inbox(ring), Ring(ring)
        self.open = True
        self.shut = False  # our write side is: what still comes is discarded, never taken
        self.shut_at = 0.0
        self.ended_here = False  # this side ended it first
        self.over = False  # the other side's end has been read, or it broke
        self.starved = False  # the last write failed by an error that passes
        self.dry = False  # the last read took all there was: the next waits first
        self.grab = min(LEAST_READ, ring)
        self.reused = False  # for a pool: carried a call before
        self.begun = False  # within a message, so that nobody else can read on
        self.written = 0  # bytes that the system has taken over
        self.spoke, self.busy = False, 0  # for a listener: sent a whole message; how much is open on it
        self.requests = 0  # that have come on it
        self.draining = False  # to end, in order, once nothing is open on it
        self.used = time.monotonic()  # when it was last of use
        self.end_reason = ""  # why this side ends it, for the log
        self.peer = ""  # the other side's address, for the log
        self.made_at = self.used
        self.came_after = hub.news_since  # what has been read came later than that
        self.held: HeldBytes | None = None  # where bytes of messages in parts are counted
        self.stopped_for = ""  # why nothing more is read
        self.evicted = False  # ended for another's place
        self.writing_since = 0.0  # when the answer that is being written began; 0: none
        self.abandoned: list[str] = []  # ids of requests that had no answer when it ended
        self.discarded = 0  # bytes read and not taken, since this side ends it

    def close(self) -> None:
        """Over; tasks that wait on it get Closed. May be called twice."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.fd)
            with contextlib.suppress(OSError):  # EINTR, EIO: the descriptor is free all the same
                self.sock.close()
            self.incoming.clear()
            self.outgoing.clear()

    def end(self, reason: str = "") -> None:
        """Begin the orderly close: shut the write side. A task that reads gets Closed and is to `linger`."""
        if self.open and not self.shut:
            self.end_reason = self.end_reason or reason
            self.shut, self.shut_at, self.ended_here = True, time.monotonic(), not self.over
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.over = True  # reset meanwhile
            self.hub.end_wait(self.fd, READ, Closed("ended here"))

    def end_if_quiet(self) -> bool:
        """`end` it where nothing is open on it and nothing lies unread, in the system neither."""
        quiet = self.open and not (self.shut or self.busy or self.begun or len(self.incoming))
        if quiet and (quiet := self.ended() is not None):
            self.end("drained")
        return quiet

    def linger(self, seconds: float) -> None:
        """The orderly close: `end` it, discard what comes until the other side's end or for so long, close.

        A close over unread bytes would reset it, and what the system has still to pass on be lost with that.
        One that was ended for another's place, and on which nothing was ever written, is closed at once.
        """
        self.end()
        self.discard()
        until = time.monotonic() + (0.0 if self.evicted and not self.written else seconds)
        try:
            while self.open and not self.over:
                try:
                    count = len(self.sock.recv(RING))
                    self.over = not count
                    self.discarded += count
                except AGAIN:
                    self.hub.wait_fd(self.fd, READ, left(until))
                    continue
                except OSError as why:
                    if not self._passes(why):
                        break
                    self._pause(until)
                    continue
                left(until)
                self.hub.give_way()  # a flood is not to starve the others
        except (Closed, TimedOut):
            pass
        finally:
            self.close()

    def stop_reading(self, reason: str) -> None:
        """Its reader gets Closed, now or at its next wait: what is open can still be answered."""
        if self.open and not self.shut:
            self.stopped_for = reason
            self.hub.end_wait(self.fd, READ, Closed(reason))

    def discard(self) -> None:
        """Drop what has been read and not taken; it is counted."""
        self.discarded += len(self.incoming)
        self.incoming.clear()

    # ---- reading --------------------------------------------------------------------------------------

    def fill(self, until: float | None) -> None:
        """Read what has come, waiting for the first byte."""
        inbox = self.incoming
        while True:
            if not self.open:
                raise Closed("closed here")
            if self.shut:
                raise Closed("ended here")
            if self.stopped_for:
                raise Closed(self.stopped_for)
            if self.dry:
                self.dry = False
                inbox.rest()
                self.hub.wait_fd(self.fd, READ, left(until))
                self.came_after = self.hub.news_since
                continue
            try:
                if not len(inbox):
                    asked = self.grab
                    data = self.sock.recv(asked)
                    count = len(data)
                    inbox.took(data)
                else:
                    space = inbox.space()
                    asked = len(space)
                    count = self.sock.recv_into(space) if asked else -2
                    inbox.added(max(0, count))
            except AGAIN:
                count = -1  # the wait is not within the handler: its error would hold this for as long
            except OSError as why:
                if not self._passes(why):
                    self.over = True
                    raise Closed(str(why)) from None
                count = -3
            if count > 0:
                self.dry = count < asked
                if count == asked:
                    self.grab = min(4 * self.grab, inbox.capacity)
                elif count <= LEAST_READ and self.grab > LEAST_READ:
                    self.grab = LEAST_READ
                return
            if count == -3:
                self._pause(until)
                continue
            if count != -1:
                self.over = not count
                raise Closed("more than fits" if count else "end of stream")
            self.dry = True

    def _pause(self, until: float | None) -> None:
        """A call failed by an error that passes: until it is tried again."""
        seconds = left(until)
        self.hub.sleep(ERROR_PAUSE if seconds is None else min(ERROR_PAUSE, seconds))

    def _passes(self, why: OSError) -> bool:
        """Whether the connection is as it was, behind an error of a call."""
        return why.errno in NO_MEMORY or why.errno in UNREACHED and not self.hung_up()

    def read(self, count: int, until: float | None) -> bytes:
        """Exactly so many bytes; also more than the ring holds."""
        if len(self.incoming) >= count:
            return self.incoming.pull(count)
        parts, missing = [], count
        try:
            while missing:
                if not len(self.incoming):
                    self.fill(until)
                parts.append(self.incoming.pull(missing))
                missing -= len(parts[-1])
                if self.held is not None and missing:
                    self.held.hold(self, count - missing)
        finally:
            if self.held is not None:
                self.held.release(self)
        return b"".join(parts)

    def need(self, count: int, until: float | None) -> None:
        """Wait until so many bytes lie in the ring; cut short, nothing of them is lost."""
        while len(self.incoming) < count:
            self.fill(until)

    def read_until(self, mark: bytes, until: float | None) -> bytes:
        """All up to and with the mark; Closed where the ring fills without it."""
        return self.incoming.pull(self._up_to(mark, until))

    def read_head(self, until: float | None) -> str:
        """A head of lines up to and with its empty line, as Latin-1 text; Closed as above."""
        size, inbox = self._up_to(b"\r\n\r\n", until), self.incoming
        if not inbox.data:
            return inbox.pull(size).decode("latin-1")
        text = str(memoryview(inbox.data)[inbox.at : inbox.at + size], "latin-1")
        inbox.drop(size)
        return text

    def _up_to(self, mark: bytes, until: float | None) -> int:
        """How many bytes there are up to and with the mark, once it has come."""
        seen, inbox = 0, self.incoming
        while True:
            at = inbox.find(mark, max(0, seen - len(mark) + 1)) if len(inbox) else -1
            if at >= 0:
                return at + len(mark)
            if not inbox.free:
                raise Closed("line or head too long")
            seen = len(inbox)
            self.fill(until)

    def frame(self, most: int, until: float | None) -> tuple[bytes, int, int]:
        """A message behind its length of 4 bytes, as bytes with its start and end there; Closed where it is
        empty or longer than `most`. One that came whole is not copied."""
        inbox = self.incoming
        data, at = inbox.data, inbox.at
        if len(data) - at > 4:
            size = data[at] << 24 | data[at + 1] << 16 | data[at + 2] << 8 | data[at + 3]
            if 0 < size <= most and at + 4 + size <= len(data):
                inbox.drop(4 + size)
                return data, at + 4, at + 4 + size
        size = int.from_bytes(self.read(4, until), "big")
        if not 0 < size <= most:
            raise Closed(f"frame of {size} bytes")
        return self.read(size, until), 0, size

    def quiet(self) -> bool:
        """Nothing has come, no end either: fit for another call."""
        if not self.open or len(self.incoming):
            return False
        try:
            return self._peek() is None
        except OSError:
            return False

    def ended(self) -> bool | None:
        """Whether the other side has closed, as far as can be seen; None where something lies unread."""
        try:
            seen = self._peek()
        except OSError:
            return True
        return False if seen is None else not seen or None

    def _peek(self) -> bytes | None:
        """The next byte, which stays; b"" at the end, None where nothing has come; OSError where it broke."""
        for _ in range(PEEKS):
            try:
                return self.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return None
            except InterruptedError:
                continue
            except OSError as why:
                if not self._passes(why):
                    raise
        return UNSEEN

    def hung_up(self) -> bool:
        """Whether the other side has ended or reset it, also where bytes lie unread before its end."""
        look = select.poll()
        look.register(self.fd, ENDS)
        try:
            return bool(look.poll(0))
        except OSError:
            return False  # no memory for the look: its end will be read

    # ---- writing --------------------------------------------------------------------------------------

    def write(self, data: bytes, until: float | None) -> None:
        """Pass all of it to the system, at the pace at which the other side takes it."""
        done = self.offer(data)
        while done < len(data) or len(self.outgoing):
            if done < len(data):
                done += self.outgoing.push(memoryview(data)[done:])
            count = self._send(self.outgoing.data())
            self.outgoing.drop(count)
            if not count:
                self._wait_to_write(until)
        self.outgoing.rest()

    def _wait_to_write(self, until: float | None) -> None:
        if self.starved:
            self._pause(until)  # poll would say at once that it can be written
        else:
            self.hub.wait_fd(self.fd, WRITE, left(until))

    def write_parts(self, parts: list[bytes], until: float | None) -> None:
        """As `write`, for parts that need not be joined: where the system takes all, none is copied."""
        rest = self.offer_parts(parts)
        if rest:
            self.write(rest, until)

    def offer_parts(self, parts: list[bytes]) -> bytes:
        """Pass on what the system takes at once, if nothing waits before it; what is left of them."""
        if len(self.outgoing):
            return b"".join(parts)
        at = 0
        while at < len(parts):
            some = parts[at : at + MOST_PARTS] if len(parts) > MOST_PARTS else parts
            count = self._send(some[0]) if len(some) == 1 else self._pass(self.sock.sendmsg, some)
            if count < sum(map(len, some)):
                return _beyond(parts[at:], count)
            at += len(some)
        return b""

    def offer(self, data: bytes) -> int:
        """Pass on what the system takes at once, if nothing waits before it; how much that was."""
        return 0 if len(self.outgoing) else self._send(data)

    def _send(self, data: bytes | memoryview) -> int:
        return self._pass(self.sock.send, data)

    def _pass(self, call: Callable[[Any], int], data: Any) -> int:
        """Hand it to the system; how many bytes it took, 0 where it takes none just now."""
        if not self.open:
            raise Closed("closed here")
        self.starved = False
        try:
            count = call(data)
        except AGAIN:
            return 0
        except OSError as why:
            if not self._passes(why):
                raise Closed(str(why)) from None
            self.starved = True
            return 0
        self.written += count
        return count


def _beyond(parts: list[bytes], count: int) -> bytes:
    """What lies behind the first bytes of some parts."""
    for at, part in enumerate(parts):
        if count < len(part):
            return b"".join([part[count:], *parts[at + 1 :]])
        count -= len(part)
    return b""
