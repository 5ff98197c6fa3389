"""A listening socket: one task a connection, never more than its share of descriptors.

Nothing is ended by a clock. Where its share is nearly used up, the connection that is missed least is ended
(`eviction`). What is open on a connection keeps it, but for one whose client takes no answer. They end in
order, each by its own task, and hold their descriptors meanwhile: a part of the share is kept for these, so
that a new connection finds room at once. Those that clients never close are cut short where it does not.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from collections.abc import Callable

from .address import family_of
from .conn import Connection
from .eviction import least_missed, longest_stuck
from .hub import READ, Closed, Hub, Signal, TimedOut

BACKLOG = 512
FAILED_FULL = 3  # tries in a row that failed, from which no descriptor is held to be left
MOST_ACCEPTED = 2 * BACKLOG  # tries to empty the backlog before others have their turn
BREATH = 0.05  # seconds until a listener that had no descriptor left tries again
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

    def stop_accepting(self) -> None:
        """No further connections but those that the backlog holds; those that are open stay in use."""
        if self.open and not self._empty_backlog():
            self.hub.spawn(self._drain_backlog, name=f"{self.name} backlog")

    def drain(self) -> None:
        """No further connections, and each ends in order once nothing is open on it and nothing lies unread:
        `connections` is empty LINGER_FOR after the last answer at the latest."""
        self.draining = True
        for conn in list(self.connections):
            conn.draining = True
            conn.end_if_quiet()  # else its own task does, or who writes the last answer
        self.stop_accepting()

    def close_all(self, reason: str) -> None:
        """The end of the program: what is still open is closed, and the log tells of each what that cost."""
        for conn in list(self.connections):
            conn.ended_here = conn.ended_here or not conn.over
            conn.end_reason = conn.end_reason or reason
            self._forget(conn)

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
        accepted = failed = 0
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
                failed += 1
                if why.errno in (errno.EMFILE, errno.ENFILE) and failed >= FAILED_FULL:
                    self._make_room(full=True)
                self.hub.sleep(BREATH)
                continue
            failed = 0
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
        one that has been ending longest is cut short, once it has had LEAST_LINGER, or one whose client has
        taken no answer for long is closed."""
        now = time.monotonic()
        ending = [conn for conn in self.connections if conn.shut]
        oldest = min(ending, key=lambda conn: conn.shut_at, default=None)
        if full and oldest is not None and now - oldest.shut_at >= LEAST_LINGER:
            oldest.end_reason += ", cut short"
            self._forget(oldest)
            return
        found = least_missed(self.connections, now) if len(ending) < self._ending_places() else None
        if found is not None:
            found.evicted = True
            found.end("room for another")
        elif full and not ending and (stuck := longest_stuck(self.connections, now)) is not None:
            stuck.end_reason = "its client takes no answer, room for another"
            stuck.ended_here = True
            stuck.close()  # its own task tells the log what that cost

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
