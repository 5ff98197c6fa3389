"""Idempotent calls to HTTP engines, repeated where no usable response comes, and the reuse of connections."""

from __future__ import annotations

from ..core.books import Peer
from ..net.address import format_address
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed
from ..wire import Malformed, http1
from .http_responses import read_response
from .pool import Pools

MAX_TRIES = 4  # connections tried for an idempotent call


def host_of(peer: Peer) -> str:
    """Returns the Host header of calls to an engine."""
    return format_address(peer.address)


class HttpCalls:
    """Makes idempotent calls over pooled connections."""

    def __init__(self, pools: Pools) -> None:
        self.pools = pools

    def call(
        self, peer: Peer, method: str, path: str, until: float, body: bytes = b"", valid: tuple[int, ...] = ()
    ) -> http1.Head:
        """Makes a call; repeats it after a broken or unreadable response or an invalid status.

        Raises Refused, Closed, Malformed, or TimedOut at `until`.
        """
        for again in range(MAX_TRIES):
            try:
                conn = self.pools.acquire(peer, until, fresh=again > 0)
            except Refused as why:
                if why.broken and again < MAX_TRIES - 1:
                    continue
                raise
            try:
                conn.write(http1.request(method, path, host_of(peer), {}, body), until)
                head = read_response(conn, until)[0]
                if valid and head.status not in valid:  # the response to another call
                    raise Malformed(f"status {head.status}")
            except (Closed, Malformed):
                self.pools.close(conn)
                if again == MAX_TRIES - 1:
                    raise
                continue
            except BaseException:
                self.pools.close(conn)
                raise
            self.return_connection(peer, conn, head)
            return head

    def return_connection(self, peer: Peer, conn: Connection, head: http1.Head) -> None:
        """Returns a connection to the pool after a complete response."""
        if head.keep_alive:
            self.pools.release(peer, conn)
        else:
            self.pools.close(conn)
