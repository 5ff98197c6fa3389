"""Reads the bulletin: receives every event after the last one, over a connection that is never idle for long.

An event counts as known 7 s after it at the latest, whether it was received or not, and an attempt may begin
until half a second later. The time between an event and the last attempt sent to a draining engine consists
at most of these delays, each occurring once; each dial may meet one connection that is never established and
one that is established late:

    the open connection falls silent                    READ_TIMEOUT                1.3 s
    one dial is lost, the next one succeeds late        SECOND_DIAL_DELAY + 1.5 s   2.0
    the new connection sends nothing                    READ_TIMEOUT                1.3
    one dial is lost, the next one succeeds late        SECOND_DIAL_DELAY + 1.5 s   2.0
    the event is read and waits for the owner           event loop lag              0.9 remain of 7.5

A change of address (SIGHUP) ends whichever of these is in progress and begins with a dial, so it takes the
place of a silence. A frame that is half read at that moment is sent again, because the request names the
number of the last complete event. An event repeated as the first one on a new connection causes no reconnect
if the next number follows. Updates wait in the owner's queue behind at most those that arrived in the same
round of the event loop, which is part of the event loop lag. If discovery is down, it may return between two
dials: RECONNECT_INTERVAL if it refuses connections, CONNECT_TIMEOUT if it does not respond.
"""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable

from ..api import EngineState
from ..members import EngineListUpdate
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, Task, TimedOut
from ..wire import Malformed
from ..wire import bulletin as wire
from .dial import Dialer

# Seconds. The bulletin sends a frame each second, the remaining time covers the network. A stall of this
# program's own event loop does not count as silence (`Hub.round`).
READ_TIMEOUT = 1.3
# Multiple of READ_TIMEOUT for the connection after one that sent nothing: every first frame may be late.
SLOW_START_FACTOR = 2
CHUNK_BYTES = 128 * wire.ENGINE_RECORD.size  # read at a time of a list that is too long to keep
RECONNECT_INTERVAL = 0.1  # seconds between connection attempts


class BulletinWatcher:
    """Passes each event of the bulletin to `on_update`, once and in order."""

    def __init__(
        self,
        hub: Hub,
        address: tuple[str, int],
        last_event: int,
        on_update: Callable[[EngineListUpdate], None],
        max_engines: int = 100_000,
    ) -> None:
        self.hub, self.address, self.last_event, self.on_update = hub, address, last_event, on_update
        self.max_engines = max_engines  # in a list; of a longer one only draining and gone engines are used
        self.task: Task | None = None
        self.dialer = Dialer(hub)
        self.first_read_timeout = READ_TIMEOUT  # seconds, of the next connection
        self.rechecked_event = -1  # the last event when a repetition of it last caused a reconnect

    def start(self) -> None:
        """Start a task that receives the events."""
        self.task = self.hub.spawn(self.run, name="bulletin")

    def move(self, address: tuple[str, int]) -> None:
        """Switch to a bulletin at another address, and request the events after the last one from it."""
        if address != self.address:
            self.address, self.first_read_timeout = address, READ_TIMEOUT
            self.task.interrupt(Closed("its address has changed"))

    def run(self) -> None:
        """Connect and read events; reconnect after an error, a silence, a repeated event or a new address."""
        self.dialer.reserve()
        while True:
            started_at, address = time.monotonic(), self.address
            try:
                try:
                    self._follow()
                except (Closed, TimedOut, Refused, Malformed) as why:
                    self.hub.log(
                        f"bulletin: {type(why).__name__} {why}; reconnecting after event {self.last_event}"
                    )
                except Exception:
                    self.hub.report_error("bulletin, reconnecting", traceback.format_exc())
                if address == self.address and time.monotonic() < started_at + RECONNECT_INTERVAL:
                    self.hub.sleep(RECONNECT_INTERVAL)
            except Closed:  # the address changed while no connection was established
                continue

    def _publish_leaving(self, conn: Connection, size: int, number: int, kind: int) -> None:
        """Publish the draining and gone engines of a list too long to keep: they must get no new attempts."""
        while size:
            chunk = conn.read(min(size, CHUNK_BYTES), time.monotonic() + READ_TIMEOUT)
            size -= len(chunk)
            members = wire.decode_update(number, kind, chunk).members
            if leaving := tuple(m for m in members if m.state is not EngineState.LIVE):
                self.on_update(EngineListUpdate(number, False, leaving))

    def _follow(self) -> None:
        conn = self.dialer.dial(self.address)
        first_read_timeout, received_any, no_new_event, repeated = self.first_read_timeout, False, True, False
        try:
            conn.write(wire.greeting(self.last_event), time.monotonic() + READ_TIMEOUT)
            while True:
                deadline = time.monotonic() + first_read_timeout
                size, number, kind = wire.parse_frame_header(conn.read(wire.FRAME_HEADER.size, deadline))
                if (count := wire.record_count(size)) > self.max_engines:
                    self.hub.log(
                        f"bulletin: a list of {count} engines refused, memory allows {self.max_engines}; "
                        "the previous list stays in use"
                    )
                    self._publish_leaving(conn, size, number, kind)
                    self.last_event = max(self.last_event, number)
                    continue
                update = wire.decode_update(number, kind, conn.read(size, deadline))
                first_read_timeout = self.first_read_timeout = READ_TIMEOUT
                received_any = True
                if update is None:
                    if repeated and self.rechecked_event != self.last_event:
                        # Reconnect once only: some bulletins begin with the requested event.
                        self.rechecked_event = self.last_event
                        raise Malformed(f"only event {self.last_event} again, nothing after it")
                    continue
                if number <= self.last_event:
                    if not no_new_event:
                        raise Malformed(f"event {number} again")  # the next event may be missing: reconnect
                    repeated = True  # reconnect unless the next event follows
                    continue
                if number != self.last_event + 1 and not update.complete:
                    raise Malformed(f"event {number} after {self.last_event}")
                self.last_event, no_new_event, repeated = number, False, False
                self.on_update(update)
        except TimedOut:
            if not received_any:
                self.first_read_timeout = SLOW_START_FACTOR * READ_TIMEOUT
            raise
        finally:
            conn.close()
            self.dialer.reserve()
