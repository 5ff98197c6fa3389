"""A listening socket with one task per connection and a limit on the number of connections.

There are no idle time-outs. When the limit is nearly reached, the connection least likely to be needed is
evicted (see `eviction`). A connection with open requests is never evicted, except one whose client does not
read its answer. Evicted connections are closed in order by their own tasks and hold their descriptors until
then, so some slots are reserved for them and a new connection is accepted at once. If no slot is left, those
that their clients do not close are closed early.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from collections.abc import Callable

from .address import family_of
from .conn import Connection
from .eviction import eviction_candidate, longest_blocked
from .hub import READ, Closed, Hub, Signal, TimedOut

BACKLOG = 512
FAILURES_BEFORE_EVICTION = 3  # consecutive failures of accept after which descriptors count as exhausted
MAX_BACKLOG_ACCEPTS = 2 * BACKLOG  # accepts when emptying the backlog, before other tasks run
RETRY_DELAY = 0.05  # seconds until accept is retried after a failure
ACCEPT_BATCH = 16  # connections accepted before other tasks run
LINGER_TIMEOUT = 1.0  # seconds that the peer has to close a connection which this side has closed
MIN_LINGER = 0.1  # seconds of it even if the slot is needed: a request may be in flight for 0.05
PENDING_CONNECTION_ERRNOS = (
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
# errors of one pending connection, on which accept(2) says to try again
CLOSING_SLOTS_DIVISOR = 8  # 1 in 8 slots is for closing connections; by the protocol clients need a third


class Listener:
    """Accepts connections and runs `serve` for each in a task of its own."""

    def __init__(
        self,
        hub: Hub,
        address: tuple[str, int],
        serve: Callable[[Connection], None],
        max_connections: int,
        name: str,
    ) -> None:
        self.hub, self.serve, self.max_connections, self.name = hub, serve, max_connections, name
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
        self._connection_closed = Signal(hub)
        hub.spawn(self._accept, name=f"{name} listener")

    def close(self) -> None:
        """Closes the listening socket; open connections stay."""
        if self.open:
            self.open = False
            self.hub.forget_fd(self.sock.fileno())
            with contextlib.suppress(OSError):  # the descriptor is released all the same
                self.sock.close()

    def stop_accepting(self) -> None:
        """Accepts the connections in the backlog and then closes the socket; open connections stay in use."""
        if self.open and not self._accept_backlog():
            self.hub.spawn(self._drain_backlog, name=f"{self.name} backlog")

    def drain(self) -> None:
        """Stops accepting and closes each connection in order as soon as nothing is open or unread on it.

        `connections` is empty at most LINGER_TIMEOUT after the last answer.
        """
        self.draining = True
        for conn in list(self.connections):
            conn.draining = True
            conn.close_if_idle()  # otherwise its task or the writer of its last answer closes it
        self.stop_accepting()

    def close_all(self, reason: str) -> None:
        """Closes all connections at program exit and logs what each close lost."""
        for conn in list(self.connections):
            conn.closed_locally = conn.closed_locally or not conn.disconnected
            conn.end_reason = conn.end_reason or reason
            self._remove(conn)

    def _accept_backlog(self) -> bool:
        """Accepts the whole backlog and closes the socket; returns False if accept fails before that."""
        for _ in range(MAX_BACKLOG_ACCEPTS):
            try:
                self._add_connection(*self.sock.accept())
            except BlockingIOError:
                self.close()
                return True
            except OSError as why:
                if why.errno not in PENDING_CONNECTION_ERRNOS:
                    self._log_failure(why)
                    return False
        return False

    def _drain_backlog(self) -> None:
        while self.open:
            self.hub.sleep(RETRY_DELAY)
            if self.open and self._accept_backlog():
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
                if why.errno in PENDING_CONNECTION_ERRNOS:
                    self.hub.yield_now()
                    continue
                self._log_failure(why)
                failed += 1
                if why.errno in (errno.EMFILE, errno.ENFILE) and failed >= FAILURES_BEFORE_EVICTION:
                    self._evict(full=True)
                self.hub.sleep(RETRY_DELAY)
                continue
            failed = 0
            if len(self.connections) >= self.max_connections - self._closing_slots():
                self._evict()
            while self.open and len(self.connections) >= self.max_connections:
                self._wait_for_close()
                self._evict(full=True)
            self._add_connection(sock, peer)
            accepted += 1
            if accepted % ACCEPT_BATCH == 0:
                self.hub.yield_now()

    def _closing_slots(self) -> int:
        return max(1, self.max_connections // CLOSING_SLOTS_DIVISOR)

    def _wait_for_close(self) -> None:
        try:
            self._connection_closed.wait(RETRY_DELAY)
        except TimedOut:
            pass

    def _evict(self, full: bool = False) -> None:
        """Evicts the connection least likely to be needed, unless enough connections are closing already.

        `full`: no slot is left. Then the connection that has been closing longest is closed at once if it has
        lingered for MIN_LINGER; failing that, one whose client has not read its answer for long.
        """
        now = time.monotonic()
        ending = [conn for conn in self.connections if conn.write_shut]
        oldest = min(ending, key=lambda conn: conn.write_shut_at, default=None)
        if full and oldest is not None and now - oldest.write_shut_at >= MIN_LINGER:
            oldest.end_reason += ", cut short"
            self._remove(oldest)
            return
        found = eviction_candidate(self.connections, now) if len(ending) < self._closing_slots() else None
        if found is not None:
            found.evicted = True
            found.begin_close("room for another")
        elif full and not ending and (blocked := longest_blocked(self.connections, now)) is not None:
            blocked.end_reason = "its client takes no answer, room for another"
            blocked.closed_locally = True
            blocked.close()  # its own task logs what that lost

    def _remove(self, conn: Connection) -> None:
        if conn in self.connections:
            del self.connections[conn]
            self._log_close(conn)
            self._connection_closed.set()
        conn.close()

    def _log_close(self, conn: Connection) -> None:
        """Logs a close and what it lost, unless the client closed with nothing open."""
        if not (conn.end_reason or conn.unanswered or conn.discarded_bytes):
            return
        lossy = conn.closed_locally and (conn.unanswered or conn.discarded_bytes)
        log = self.hub.events.always if lossy else self.hub.events.event
        now = time.monotonic()
        log(
            "connection_closed",
            front=self.name,
            peer=conn.peer,
            by="front_end" if conn.closed_locally else "client",
            reason=conn.end_reason,
            age=now - conn.created_at,
            idle=now - conn.last_used_at,
            open=",".join(conn.unanswered),
            discarded=conn.discarded_bytes,
        )

    def _add_connection(self, sock: socket.socket, peer: tuple) -> None:
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
            conn.linger(LINGER_TIMEOUT)
        finally:
            self._remove(conn)
