"""A listening socket: one task a connection, never more than its share of descriptors.

Where its share is used up, a new connection takes the place of a quiet one: first of one that has said
nothing yet, then of the one that has been quiet longest. What is open on a connection keeps it.
"""
from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable

from .address import family_of
from .conn import Connection
from .hub import READ, Closed, Hub, TimedOut

BACKLOG = 512
BREATH = 0.05  # seconds until a listener that had no descriptor left tries again
MUTE_FOR = 0.1  # seconds after which a connection that has said nothing may have to go
REST_FOR = 4.5  # seconds after which a quiet one goes before any fresh one: usual clients close theirs sooner
AT_ONCE = 16  # connections accepted before others have their turn
LINGER_FOR = 1.0  # seconds that the other side has to end a connection which we have ended


class Listener:
    """Accepts connections and hands each to `serve`, in a task of its own that ends with it."""

    def __init__(self, hub: Hub, address: tuple[str, int], serve: Callable[[Connection], None],
                 most: int, name: str) -> None:
        self.hub, self.serve, self.most, self.name = hub, serve, most, name
        self.sock = socket.socket(family_of(address[0]), socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.address = self.sock.getsockname()[:2]
        self.connections: dict[Connection, None] = {}
        self.open, self.draining = True, False
        hub.spawn(self._accept, name=f"{name} listener")

    def close(self) -> None:
        """No further connections; those that are open stay."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.sock.fileno())
            self.sock.close()

    def drain(self) -> None:
        """No further connections but those that the backlog holds; each ends in order once nothing is open on
        it and nothing lies unread: `connections` is empty LINGER_FOR after the last answer at the latest.
        """
        if not self.open:
            return
        self.draining = True
        for conn in list(self.connections):
            conn.draining = True
            conn.end_if_quiet()  # else its own task does, or who writes the last answer
        while True:
            try:
                self._take(self.sock.accept()[0])
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                break
            except OSError as why:
                self.hub.log(f"{self.name}: {why.strerror}; what waits to be accepted is left")
                break
        self.close()

    def _accept(self) -> None:
        accepted = 0
        while self.open:
            try:
                sock = self.sock.accept()[0]
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                try:
                    self.hub.wait_fd(self.sock.fileno(), READ, None)
                except (Closed, TimedOut):
                    return
                continue
            except OSError as why:
                self.hub.log(f"{self.name}: {why.strerror}; accepting again shortly")
                if why.errno in (errno.EMFILE, errno.ENFILE):
                    self._make_room()
                self.hub.sleep(BREATH)
                continue
            while self.open and len(self.connections) >= self.most and not self._make_room():
                self.hub.sleep(BREATH)
            self._take(sock)
            accepted += 1
            if accepted % AT_ONCE == 0:
                self.hub.give_way()

    def _make_room(self) -> bool:
        """Close the connection that is missed least; False where something is open on each."""
        now, best = time.monotonic(), None
        for conn in self.connections:
            if conn.busy or conn.spoke and conn.begun:
                continue
            age = now - conn.used
            rank = int(age <= REST_FOR) * 2 + 1 if conn.spoke else int(age <= MUTE_FOR) * 2
            if best is None or (rank, -age) < best[0]:
                if conn.ended() is None:
                    continue  # a message lies there
                best = (rank, -age), conn
        if best is None:
            return False
        self._forget(best[1])
        return True

    def _forget(self, conn: Connection) -> None:
        self.connections.pop(conn, None)
        conn.close()

    def _take(self, sock: socket.socket) -> None:
        conn = Connection(self.hub, sock)
        conn.draining = self.draining
        self.connections[conn] = None
        self.hub.spawn(self._serve, conn, name=f"{self.name} connection")

    def _serve(self, conn: Connection) -> None:
        try:
            try:
                self.serve(conn)
            except (Closed, TimedOut):
                pass
            conn.linger(LINGER_FOR)
        finally:
            self._forget(conn)
