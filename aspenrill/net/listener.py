"""A listening socket: one task a connection, never more than its share of descriptors.

Where its share is nearly used up, quiet connections are ended: first one that has said nothing yet, then
the one that has been quiet longest, last one with half a message. What is open on a connection keeps it.
They end in order, each by its own task, and hold their descriptors meanwhile: a part of the share is kept
for these, so that a new connection finds room at once. Those that clients never close are cut short where
it does not.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from collections.abc import Callable

from .address import family_of
from .conn import Connection
from .hub import READ, Closed, Hub, Signal, TimedOut

BACKLOG = 512
MOST_ACCEPTED = 2 * BACKLOG  # tries to empty the backlog before others have their turn
BREATH = 0.05  # seconds until a listener that had no descriptor left tries again
MUTE_FOR = 0.1  # seconds after which a connection that has said nothing may have to go
REST_FOR = 4.5  # seconds after which a quiet one goes before any fresh one: usual clients close theirs sooner
AT_ONCE = 16  # connections accepted before others have their turn
LINGER_FOR = 1.0  # seconds that the other side has to end a connection which we have ended
LEAST_LINGER = 0.1  # of them, where another connection needs the place: a request may cross the end for 0.05
NEXT_ONE = (
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.EPERM,
)
# what befell one connection that waited: accept(2) wants these treated as if there had been none
ENDING_SHARE = 8  # one place in so many is for those that end: clients want a third of all, by the protocol


class Listener:
    """Accepts connections and hands each to `serve`, in a task of its own that ends with it."""

    def __init__(
        self, hub: Hub, address: tuple[str, int], serve: Callable[[Connection], None], most: int, name: str
    ) -> None:
        self.hub, self.serve, self.most, self.name = hub, serve, most, name
        self.sock = socket.socket(family_of(address[0]), socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.address = self.sock.getsockname()[:2]
        self.connections: dict[Connection, None] = {}
        self.open, self.draining = True, False
        self._one_left = Signal(hub)
        hub.spawn(self._accept, name=f"{name} listener")

    def close(self) -> None:
        """No further connections; those that are open stay."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.sock.fileno())
            with contextlib.suppress(OSError):  # the descriptor is free all the same
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
        if not self._empty_backlog():
            self.hub.spawn(self._drain_backlog, name=f"{self.name} backlog")

    def _empty_backlog(self) -> bool:
        """Accept all that wait, and close; False where the system gives none just now."""
        for _ in range(MOST_ACCEPTED):
            try:
                self._take(*self.sock.accept())
            except BlockingIOError:
                self.close()
                return True
            except OSError as why:
                if why.errno not in NEXT_ONE:
                    self._log_failure(why)
                    return False
        return False

    def _drain_backlog(self) -> None:
        while self.open:
            self.hub.sleep(BREATH)
            if self.open and self._empty_backlog():
                return

    def _log_failure(self, why: OSError) -> None:
        self.hub.events.event("accept_failed", front=self.name, reason=why.strerror)

    def _accept(self) -> None:
        accepted = 0
        while self.open:
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                try:
                    self.hub.wait_fd(self.sock.fileno(), READ, None)
                except (Closed, TimedOut):
                    return
                continue
            except OSError as why:
                if why.errno in NEXT_ONE:
                    self.hub.give_way()
                    continue
                self._log_failure(why)
                if why.errno in (errno.EMFILE, errno.ENFILE):
                    self._make_room(full=True)
                self.hub.sleep(BREATH)
                continue
            if len(self.connections) >= self.most - self._ending_places():
                self._make_room()
            while self.open and len(self.connections) >= self.most:
                self._wait()
                self._make_room(full=True)
            self._take(sock, peer)
            accepted += 1
            if accepted % AT_ONCE == 0:
                self.hub.give_way()

    def _ending_places(self) -> int:
        return max(1, self.most // ENDING_SHARE)

    def _wait(self) -> None:
        try:
            self._one_left.wait(BREATH)
        except TimedOut:
            pass

    def _make_room(self, full: bool = False) -> None:
        """End the connection that is missed least, unless enough of them end. `full`: nothing is left; the
        one that has been ending longest is cut short, once it has had LEAST_LINGER."""
        now, best, ending, oldest = time.monotonic(), None, 0, None
        for conn in self.connections:
            if conn.shut:
                ending += 1
                if oldest is None or conn.shut_at < oldest.shut_at:
                    oldest = conn
                continue
            if conn.busy or len(conn.incoming) and not conn.begun:
                continue
            age = now - conn.used
            rank = int(age <= REST_FOR) * 2 + 1 if conn.spoke else int(age <= MUTE_FOR) * 2
            if conn.spoke and conn.begun:
                rank = 4
            if best is None or (rank, -age) < best[0]:
                if conn.ended() is None:
                    continue  # a message lies there
                best = (rank, -age), conn
        if full and oldest is not None and now - oldest.shut_at >= LEAST_LINGER:
            oldest.end_reason += ", cut short"
            self._forget(oldest)
        elif best is not None and ending < self._ending_places():
            best[1].end("room for another")

    def _forget(self, conn: Connection) -> None:
        if conn in self.connections:
            del self.connections[conn]
            self._log_end(conn)
            self._one_left.set()
        conn.close()

    def _log_end(self, conn: Connection) -> None:
        """Each end that is not the ordinary one, the client's with nothing open; with what it cost."""
        if not (conn.end_reason or conn.abandoned or conn.discarded):
            return
        costly = conn.ended_here and (conn.abandoned or conn.discarded)
        tell = self.hub.events.always if costly else self.hub.events.event
        now = time.monotonic()
        tell(
            "connection_closed",
            front=self.name,
            peer=conn.peer,
            by="front_end" if conn.ended_here else "client",
            reason=conn.end_reason,
            age=now - conn.made_at,
            idle=now - conn.used,
            open=",".join(conn.abandoned),
            discarded=conn.discarded,
        )

    def _take(self, sock: socket.socket, peer: tuple) -> None:
        conn = Connection(self.hub, sock)
        conn.peer = f"{peer[0]}:{peer[1]}" if peer else ""
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
