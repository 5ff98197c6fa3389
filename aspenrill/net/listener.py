"""A listening socket: one task a connection, never more than its share of descriptors."""
from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from .conn import Connection
from .hub import READ, Closed, Hub, TimedOut

BACKLOG = 512
BREATH = 0.05  # seconds until a listener that had no descriptor left tries again


class Listener:
    """Accepts connections and hands each to `serve`, in a task of its own that ends with it."""

    def __init__(self, hub: Hub, address: tuple[str, int], serve: Callable[[Connection], None],
                 most: int, name: str) -> None:
        self.hub, self.serve, self.most, self.name = hub, serve, most, name
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.address = self.sock.getsockname()
        self.connections: set[Connection] = set()
        self.open = True
        hub.spawn(self._accept, name=f"{name} listener")

    def close(self) -> None:
        """No further connections; those that are open stay."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.sock.fileno())
            self.sock.close()

    def _accept(self) -> None:
        while self.open:
            if len(self.connections) >= self.most:
                self.hub.sleep(BREATH)
                continue
            try:
                sock = self.sock.accept()[0]
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                try:
                    self.hub.wait_fd(self.sock.fileno(), READ, None)
                except (Closed, TimedOut):
                    return
                continue
            except OSError as why:
                if why.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    raise
                self.hub.log(f"{self.name}: {why.strerror}; accepting again shortly")
                self.hub.sleep(BREATH)
                continue
            conn = Connection(self.hub, sock)
            self.connections.add(conn)
            self.hub.spawn(self._serve, conn, name=f"{self.name} connection")

    def _serve(self, conn: Connection) -> None:
        try:
            self.serve(conn)
        except (Closed, TimedOut):
            pass
        finally:
            self.connections.discard(conn)
            conn.close()
