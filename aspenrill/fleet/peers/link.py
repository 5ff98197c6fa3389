"""The sockets of a process's peers: datagrams and streams on one port, every wait with its time."""

from __future__ import annotations

import errno
import os
import socket
import traceback
from collections.abc import Callable

from ...errors import WireTrouble
from ...net.address import family_of
from ...net.conn import AGAIN, Connection
from ...net.connecting import Refused, connect
from ...net.hub import READ, Closed, Hub, TimedOut
from ...net.listener import Listener
from .exchange import MOST_FRAME, NONCE, Exchange
from .node import Peers
from .wire import MOST_DATAGRAM

Address = tuple[str, int]
PORT_TRIES = 32  # where the kernel chooses: until one is free for datagrams and for streams
AT_ONCE = 64  # datagrams taken before others have their turn
BUFFER = 1 << 20  # bytes that the kernel keeps for us
MOST_CALLS, MOST_CALLED = 4, 16  # exchanges at a time, begun here and begun elsewhere
LONGEST = 8.0  # seconds for one exchange
BREATH = 0.05  # seconds until a socket that gave an error is read again


class Link:
    """Carries the datagrams and streams of `peers`, which is set before `read` is called."""

    def __init__(
        self, hub: Hub, listen: Address, clock: Callable[[], float], changed: Callable[[], None]
    ) -> None:
        self.hub, self.clock, self.changed = hub, clock, changed
        self.peers: Peers | None = None
        self.unsent = self.sent = self.got = self.exchanges = self.failed_exchanges = 0
        self.calls = 0
        self.open = True
        self._bind(listen)

    def _bind(self, listen: Address) -> None:
        for left in reversed(range(PORT_TRIES if listen[1] == 0 else 1)):
            self.sock = socket.socket(family_of(listen[0]), socket.SOCK_DGRAM)
            try:
                self.sock.setblocking(False)
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
                self.sock.bind(listen)
                self.address: Address = self.sock.getsockname()[:2]
                self.listener = Listener(self.hub, self.address, self._serve, MOST_CALLED, "fleet")
                return
            except OSError as why:
                self.sock.close()
                if why.errno != errno.EADDRINUSE or not left:
                    raise

    def close(self) -> None:
        """No more datagrams and streams."""
        if self.open:
            self.open = False
            self.listener.close()
            for conn in list(self.listener.connections):
                conn.close()
            self.hub.forget_fd(self.sock.fileno())
            self.sock.close()

    # ---- datagrams ------------------------------------------------------------------------------------

    def read(self, timeout: float) -> None:
        """Wait so long at most for datagrams, and take some."""
        taken = 0
        while taken < AT_ONCE:
            try:
                data, address = self.sock.recvfrom(MOST_DATAGRAM + 1)
            except AGAIN:
                if taken:
                    break
                try:
                    self.hub.wait_fd(self.sock.fileno(), READ, timeout)
                except TimedOut:
                    return
                taken += 1
                continue
            except OSError:
                self.hub.sleep(BREATH)
                return
            taken += 1
            self.got += 1
            self.peers.on_datagram(self.clock(), address[:2], data)
        else:
            self.hub.give_way()  # there may be more: in a flood, too, others have their turn

    def flush(self) -> None:
        """Send what has piled up, and begin the exchanges that are wanted. What the system does not take now
        is lost, as it may be on the way."""
        peers = self.peers
        for address, data in peers.take_out():
            try:
                self.sock.sendto(data, address)
                self.sent += 1
            except OSError:
                self.unsent += 1
        for name, address, life in peers.take_syncs():
            if self.calls < MOST_CALLS:
                self.calls += 1
                self.hub.spawn(self._call, name, address, life, name="fleet exchange")

    # ---- streams --------------------------------------------------------------------------------------

    def _call(self, name: str, address: Address, life: bytes) -> None:
        until = self.hub.timers.clock() + LONGEST
        conn: Connection | None = None
        exchange: Exchange | None = None
        try:
            conn = connect(self.hub, address, until, source=self.address[0])
            exchange = self.peers.calling(life, os.urandom(NONCE))
            self._write(conn, exchange.greet(), until)
            self._run(conn, exchange, until)
            conn.read(1, until)  # the other side closes once it has all
        except Closed:
            pass
        except (Refused, TimedOut, WireTrouble) as why:
            if isinstance(why, WireTrouble):
                self.peers.refuse(why, address)
        finally:
            self.calls -= 1
            if conn is not None:
                conn.close()
            done = exchange is not None and exchange.over
            self.exchanges += done
            if not done:
                self.failed_exchanges += 1
                self.peers.sync_failed(self.clock())

    def _serve(self, conn: Connection) -> None:
        until = self.hub.timers.clock() + LONGEST
        try:
            self._run(conn, self.peers.called(os.urandom(NONCE)), until)
        except WireTrouble as why:
            try:
                address = conn.sock.getpeername()[:2]
            except OSError:
                address = "?", 0
            self.peers.refuse(why, address)

    def _run(self, conn: Connection, exchange: Exchange, until: float) -> None:
        conn.busy = 1
        while not exchange.over:
            data, start, end = conn.frame(MOST_FRAME, until)
            conn.spoke = True
            try:
                for frame in exchange.take(self.clock(), bytes(data[start:end])):
                    self._write(conn, frame, until)
            except (WireTrouble, Closed, TimedOut):
                raise
            except Exception:
                self.hub.report("fleet exchange", traceback.format_exc())
                raise Closed("not understood") from None
            self.changed()
            self.hub.give_way()

    def _write(self, conn: Connection, frame: bytes, until: float) -> None:
        conn.write(len(frame).to_bytes(4, "big") + frame, until)
