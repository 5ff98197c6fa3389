"""New connections to others."""

from __future__ import annotations

import errno
import socket

from .address import family_of
from .conn import NO_MEMORY, RING, Connection, left
from .hub import WRITE, Closed, Hub, TimedOut

SCARCE = (errno.EADDRNOTAVAIL, errno.EAGAIN, *NO_MEMORY)  # no port or room for a connection just now
NO_SOCKET = (errno.EMFILE, errno.ENFILE, *NO_MEMORY)  # none is to be had just now


class Refused(Exception):
    """The connection never came up: nothing was sent on it.

    `scarce`: no descriptor was left for it. `broken`: it broke before it could be used.
    """

    def __init__(self, text: str, scarce: bool = False, broken: bool = False) -> None:
        super().__init__(text)
        self.scarce, self.broken = scarce, broken


def connect(
    hub: Hub, address: tuple[str, int], until: float, ring: int = RING, source: str | None = None
) -> Connection:
    """A new connection, from the host `source` where it is given; Refused where none came up in time."""
    try:
        sock = socket.socket(family_of(address[0]), socket.SOCK_STREAM)
    except OSError as why:
        raise Refused(str(why), scarce=why.errno in NO_SOCKET) from None
    conn = Connection(hub, sock, ring)
    conn.dry = True  # who is called speaks after we have
    try:
        if source is not None:
            try:
                sock.bind((source, 0))
            except OSError as why:
                raise Refused(str(why), scarce=why.errno == errno.EADDRINUSE) from None
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # interrupted, it comes up all the same
            hub.wait_fd(conn.fd, WRITE, left(until))
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise Refused(
                errno.errorcode.get(code, str(code)), scarce=code in SCARCE, broken=code == errno.ECONNRESET
            )
    except (TimedOut, Closed):
        conn.close()
        raise Refused("no connection in time") from None
    except BaseException:
        conn.close()
        raise
    return conn
