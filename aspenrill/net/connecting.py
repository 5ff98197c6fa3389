"""Outgoing TCP connections."""

from __future__ import annotations

import errno
import socket

from .address import family_of
from .conn import DEFAULT_BUFFER_SIZE, Connection, time_left
from .hub import WRITE, Closed, Hub, TimedOut
from .socketerrors import NO_MEMORY_ERRNOS

EXHAUSTION_ERRNOS = (errno.EADDRNOTAVAIL, errno.EAGAIN, *NO_MEMORY_ERRNOS)  # no local port or memory
NO_DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE, *NO_MEMORY_ERRNOS)  # of socket()


class Refused(Exception):
    """No connection was established, so nothing was sent on it.

    `exhausted`: a local resource (descriptor, port, memory) was exhausted. `broken`: the peer reset the
    connection before it could be used.
    """

    def __init__(self, text: str, exhausted: bool = False, broken: bool = False) -> None:
        super().__init__(text)
        self.exhausted, self.broken = exhausted, broken


def connect(
    hub: Hub,
    address: tuple[str, int],
    until: float,
    ring: int = DEFAULT_BUFFER_SIZE,
    source: str | None = None,
) -> Connection:
    """Opens a connection, from the local host `source` if given. Raises Refused on failure or time-out."""
    try:
        sock = socket.socket(family_of(address[0]), socket.SOCK_STREAM)
    except OSError as why:
        raise Refused(str(why), exhausted=why.errno in NO_DESCRIPTOR_ERRNOS) from None
    conn = Connection(hub, sock, ring)
    conn.wait_before_read = True  # the server speaks second, so do not read before polling
    try:
        if source is not None:
            try:
                sock.bind((source, 0))
            except OSError as why:
                raise Refused(str(why), exhausted=why.errno == errno.EADDRINUSE) from None
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # an interrupted connect proceeds in the background
            hub.wait_fd(conn.fd, WRITE, time_left(until))
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise Refused(
                errno.errorcode.get(code, str(code)),
                exhausted=code in EXHAUSTION_ERRNOS,
                broken=code == errno.ECONNRESET,
            )
    except (TimedOut, Closed):
        conn.close()
        raise Refused("no connection in time") from None
    except BaseException:
        conn.close()
        raise
    return conn
