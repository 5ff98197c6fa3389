"""The sockets of the peer protocol: datagrams and streams on one port. Every wait has a timeout."""

from __future__ import annotations

import errno
import os
import socket
import traceback
from collections.abc import Callable

from ...errors import WireTrouble
from ...net.address import family_of
from ...net.conn import WOULD_BLOCK, Connection
from ...net.connecting import Refused, connect
from ...net.hub import READ, Closed, Hub, TimedOut
from ...net.listener import Listener
from .exchange import MAX_FRAME, NONCE_BYTES, Exchange
from .node import PeerNode
from .wire import MAX_DATAGRAM

Address = tuple[str, int]
PORT_TRIES = 32  # with port 0: attempts to find one port that is free for both UDP and TCP
DATAGRAM_BATCH = 64  # datagrams read before yielding to other tasks
RECEIVE_BUFFER = 1 << 20  # bytes, SO_RCVBUF
MAX_OUTGOING_EXCHANGES = 4  # concurrent
MAX_INCOMING_EXCHANGES = 16  # concurrent
EXCHANGE_TIMEOUT = 8.0  # seconds
ERROR_BACKOFF = 0.05  # seconds until the socket is read again after an error


class Link:
    """Sends and receives the datagrams and streams of `peers`, which must be set before `read` is called."""

    def __init__(
        self, hub: Hub, listen: Address, clock: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        self.hub, self.clock, self.on_change = hub, clock, on_change
        self.peers: PeerNode | None = None
        self.unsent = self.sent = self.received = self.exchanges = self.failed_exchanges = 0
        self.outgoing = 0
        self.open = True
        self._bind(listen)

    def _bind(self, listen: Address) -> None:
        for tries_left in reversed(range(PORT_TRIES if listen[1] == 0 else 1)):
            self.sock = socket.socket(family_of(listen[0]), socket.SOCK_DGRAM)
            try:
                self.sock.setblocking(False)
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
                self.sock.bind(listen)
                self.address: Address = self.sock.getsockname()[:2]
                self.listener = Listener(self.hub, self.address, self._serve, MAX_INCOMING_EXCHANGES, "fleet")
                return
            except OSError as why:
                self.sock.close()
                if why.errno != errno.EADDRINUSE or not tries_left:
                    raise

    def close(self) -> None:
        """Close the sockets and the open streams."""
        if self.open:
            self.open = False
            self.listener.close()
            for conn in list(self.listener.connections):
                conn.close()
            self.hub.forget_fd(self.sock.fileno())
            self.sock.close()

    # ---- datagrams ------------------------------------------------------------------------------------

    def read(self, timeout: float) -> None:
        """Wait up to `timeout` seconds for datagrams, then process a batch."""
        received = 0
        while received < DATAGRAM_BATCH:
            try:
                data, address = self.sock.recvfrom(MAX_DATAGRAM + 1)
            except WOULD_BLOCK:
                if received:
                    break
                try:
                    self.hub.wait_fd(self.sock.fileno(), READ, timeout)
                except TimedOut:
                    return
                received += 1
                continue
            except OSError:
                self.hub.sleep(ERROR_BACKOFF)
                return
            received += 1
            self.received += 1
            self.peers.on_datagram(self.clock(), address[:2], data)
        else:
            self.hub.yield_now()  # more may be waiting: yield, so that a flood does not starve other tasks

    def flush(self) -> None:
        """Send the pending datagrams and start the pending exchanges. A datagram that the kernel does not
        accept is dropped, as it may be by the network."""
        peers = self.peers
        for address, data in peers.take_datagrams():
            try:
                self.sock.sendto(data, address)
                self.sent += 1
            except OSError:
                self.unsent += 1
        for name, address, boot_id in peers.take_syncs():
            if self.outgoing < MAX_OUTGOING_EXCHANGES:
                self.outgoing += 1
                self.hub.spawn(self._initiate, name, address, boot_id, name="fleet exchange")

    # ---- streams --------------------------------------------------------------------------------------

    def _initiate(self, name: str, address: Address, boot_id: bytes) -> None:
        until = self.hub.timers.clock() + EXCHANGE_TIMEOUT
        conn: Connection | None = None
        exchange: Exchange | None = None
        try:
            conn = connect(self.hub, address, until, source=self.address[0])
            exchange = self.peers.start_exchange(boot_id, os.urandom(NONCE_BYTES))
            self._write(conn, exchange.start(), until)
            self._run(conn, exchange, until)
            conn.read(1, until)  # wait for the other side to close
        except Closed:
            pass
        except (Refused, TimedOut, WireTrouble) as why:
            if isinstance(why, WireTrouble):
                self.peers.refuse(why, address)
        finally:
            self.outgoing -= 1
            if conn is not None:
                conn.close()
            done = exchange is not None and exchange.done
            self.exchanges += done
            if not done:
                self.failed_exchanges += 1
                self.peers.sync_failed(self.clock())

    def _serve(self, conn: Connection) -> None:
        until = self.hub.timers.clock() + EXCHANGE_TIMEOUT
        try:
            self._run(conn, self.peers.accept_exchange(os.urandom(NONCE_BYTES)), until)
        except WireTrouble as why:
            try:
                address = conn.sock.getpeername()[:2]
            except OSError:
                address = "?", 0
            self.peers.refuse(why, address)

    def _run(self, conn: Connection, exchange: Exchange, until: float) -> None:
        conn.busy = 1
        while not exchange.done:
            data, start, end = conn.read_frame(MAX_FRAME, until)
            conn.received_message = True
            try:
                for frame in exchange.receive(self.clock(), bytes(data[start:end])):
                    self._write(conn, frame, until)
            except (WireTrouble, Closed, TimedOut):
                raise
            except Exception:
                self.hub.report_error("fleet exchange", traceback.format_exc())
                raise Closed("not understood") from None
            self.on_change()
            self.hub.yield_now()

    def _write(self, conn: Connection, frame: bytes, until: float) -> None:
        conn.write(len(frame).to_bytes(4, "big") + frame, until)
