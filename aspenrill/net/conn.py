"""A TCP connection with one ring a direction; every wait on it has its time."""
from __future__ import annotations

import errno
import socket
import time

from .address import family_of
from .hub import READ, WRITE, Closed, Hub, TimedOut
from .ring import Ring

RING = 16384
AGAIN = (BlockingIOError, InterruptedError)


class Refused(Exception):
    """The connection never came up: nothing was sent on it.

    `scarce`: no descriptor was left for it. `broken`: it broke before it could be used.
    """

    def __init__(self, text: str, scarce: bool = False, broken: bool = False) -> None:
        super().__init__(text)
        self.scarce, self.broken = scarce, broken


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
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.incoming, self.outgoing = Ring(ring), Ring(ring)
        self.open = True
        self.reused, self.rest = False, None  # for a pool: carried a call before; timer of its idle time
        self.begun = False  # within a message, so that nobody else can read on
        self.written = 0  # bytes that the system has taken over
        self.spoke, self.busy = False, 0  # for a listener: sent a whole message; how much is open on it
        self.used = time.monotonic()  # when it was last of use

    def close(self) -> None:
        """Over; tasks that wait on it get Closed. May be called twice."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.fd)
            self.sock.close()
            self.incoming.clear()
            self.outgoing.clear()

    # ---- reading --------------------------------------------------------------------------------------

    def fill(self, until: float | None) -> None:
        """Read what has come, waiting for the first byte."""
        while True:
            if not self.open:
                raise Closed("closed here")
            try:
                count = self.sock.recv_into(self.incoming.space())
            except AGAIN:
                count = -1  # the wait is not within the handler: its error would hold this for as long
            except OSError as why:
                raise Closed(str(why)) from None
            if count > 0:
                self.incoming.added(count)
                return
            if count == 0:
                raise Closed("end of stream")
            self.incoming.rest()
            self.hub.wait_fd(self.fd, READ, left(until))

    def read(self, count: int, until: float | None) -> bytes:
        """Exactly so many bytes; they may be more than the ring holds."""
        if len(self.incoming) >= count:
            return self.incoming.pull(count)
        parts, missing = [], count
        while missing:
            if not len(self.incoming):
                self.fill(until)
            parts.append(self.incoming.pull(missing))
            missing -= len(parts[-1])
        return b"".join(parts)

    def need(self, count: int, until: float | None) -> None:
        """Wait until so many bytes lie in the ring; cut short, nothing of them is lost."""
        while len(self.incoming) < count:
            self.fill(until)

    def read_until(self, mark: bytes, until: float | None) -> bytes:
        """All up to and with the mark; Closed where the ring fills without it."""
        seen = 0
        while True:
            held = self.incoming.peek(len(self.incoming))
            at = held.find(mark, max(0, seen - len(mark) + 1))
            if at >= 0:
                return self.incoming.pull(at + len(mark))
            if not self.incoming.free:
                raise Closed("line or head too long")
            seen = len(held)
            self.fill(until)

    def quiet(self) -> bool:
        """Nothing has come, no end either: fit for another call."""
        if not self.open or len(self.incoming):
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except AGAIN:
            return True
        except OSError:
            return False
        return False

    def ended(self) -> bool | None:
        """Whether the other side has closed, as far as can be seen; None where something lies unread."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK) or None
        except AGAIN:
            return False
        except OSError:
            return True

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
                self.hub.wait_fd(self.fd, WRITE, left(until))
        self.outgoing.rest()

    def offer(self, data: bytes) -> int:
        """Pass on what the system takes at once, if nothing waits before it; how much that was."""
        return 0 if len(self.outgoing) else self._send(data)

    def _send(self, data: bytes | memoryview) -> int:
        if not self.open:
            raise Closed("closed here")
        try:
            count = self.sock.send(data)
        except AGAIN:
            return 0
        except OSError as why:
            raise Closed(str(why)) from None
        self.written += count
        return count


def connect(hub: Hub, address: tuple[str, int], until: float, ring: int = RING) -> Connection:
    """A new connection; Refused where none came up in time."""
    try:
        sock = socket.socket(family_of(address[0]), socket.SOCK_STREAM)
    except OSError as why:
        raise Refused(str(why), scarce=why.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)) from None
    conn = Connection(hub, sock, ring)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            hub.wait_fd(conn.fd, WRITE, left(until))
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise Refused(errno.errorcode.get(code, str(code)), scarce=code == errno.EADDRNOTAVAIL,
                          broken=code == errno.ECONNRESET)
    except (TimedOut, Closed):
        conn.close()
        raise Refused("no connection in time") from None
    except BaseException:
        conn.close()
        raise
    return conn
