"""What attempts have in common whatever their engine speaks: one end each, the last look, the giving up."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ..api import Outcome
from ..core.books import Attempt, Ended, Peer
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, TimedOut
from .pool import Pools

SILENT = 1.0  # seconds for a request to be written
AFRESH = 3  # new connections that may break unused, until the engine counts as not reached


class Cancelled(Exception):
    """The attempt is no longer wanted."""


class Over(Exception):
    """The attempt has come to its end."""

    def __init__(self, outcome: Outcome, **more: Any) -> None:
        super().__init__(outcome)
        self.outcome, self.more = outcome, more


class Engines:
    """Attempts, cancels and probes; ends and notes go to `post`. A protocol fills in `_carry` and `_stop`."""

    def __init__(
        self, hub: Hub, pools: Pools, post: Callable[[Any], None], safe: frozenset[int] = frozenset()
    ) -> None:
        self.hub, self.pools, self.post = hub, pools, post
        self.safe = safe  # classes whose requests may run again

    def start(self, attempt: Attempt) -> None:
        """Carry it out in a task of its own; one Ended follows."""
        attempt.task = self.hub.spawn(self._run, attempt, name="attempt")

    def cancel(self, attempt: Attempt) -> None:
        """Give it up."""
        if not attempt.cancelled:
            attempt.cancelled = True
            attempt.task.interrupt(Cancelled())

    def rank(self, attempt: Attempt, priority: int) -> None:
        """A new priority for what is out, where the protocol has one."""

    def retire(self, peer: Peer) -> None:
        """No new work goes there."""
        self.pools.retire(peer)

    def _carry(self, attempt: Attempt) -> None:
        """From the first byte to the end, which is told by Over."""
        raise NotImplementedError

    def _stop(self, attempt: Attempt) -> None:
        """Return once the engine works on it no more."""
        raise NotImplementedError

    def _run(self, attempt: Attempt) -> None:
        end = Ended(attempt, Outcome.ERROR)
        try:
            self._carry(attempt)
        except Over as over:
            end = Ended(attempt, over.outcome, **over.more)
        except Cancelled:
            end = Ended(attempt, Outcome.MOOT if attempt.asked is None else Outcome.CANCELLED)
        except TimedOut:
            end = Ended(attempt, Outcome.TIMEOUT)
        finally:
            if end.outcome is Outcome.OK:
                self.post(end)
            else:
                self._give_up(attempt, end)

    def _give_up(self, attempt: Attempt, end: Ended) -> None:
        """Tell the end once the engine works on it no more, but of an open request at its deadline: no other
        attempt can follow then, and its client has waited long enough."""
        attempt.cancelled, attempt.task.pending = True, None  # nothing interrupts this
        if attempt.asked is None:
            self.post(end)
            return
        told: list[Ended] = []

        def tell(how: Ended) -> None:
            if not told and (how is end or attempt.call.open):
                told.append(how)
                self.post(how)

        timer = self.hub.timers.at(attempt.call.deadline, tell, Ended(attempt, Outcome.TIMEOUT))
        try:
            self._stop(attempt)
        finally:
            timer.cancel()
            tell(end)

    def _begin(self, attempt: Attempt, request: Callable[[], list[bytes]]) -> Connection | None:
        """A connection on which the request has been written, None where it broke on the way.

        Over where it is proven that nothing ran: no connection came up, or not a byte has gone out.
        """
        broken = 0
        while True:
            try:
                conn = self.pools.take(
                    attempt.peer, min(attempt.until, attempt.begin_by), sure=attempt.call.cls not in self.safe
                )
            except Refused as why:
                broken += why.broken
                if why.broken and broken < AFRESH:
                    continue
                late = time.monotonic() >= attempt.begin_by and str(why) != "ECONNREFUSED"  # not its fault
                blameless = why.exhausted or late or not attempt.peer.takes_work
                raise Over(Outcome.MOOT if blameless else Outcome.CONNECT_FAILED) from None
            if not attempt.wanted:  # the last look before the first byte
                self.pools.give(attempt.peer, conn)
                raise Over(Outcome.MOOT)
            before = conn.bytes_sent
            try:
                conn.write_parts(request(), min(attempt.until, time.monotonic() + SILENT))
            except (Closed, TimedOut) as why:
                self.pools.drop(conn)
                if conn.bytes_sent != before:
                    attempt.asked = attempt.heard = time.monotonic()
                    if isinstance(why, Closed):
                        attempt.peer.broke_at = attempt.heard
                    return None
                broken += not conn.reused
                if broken >= AFRESH:
                    raise Over(Outcome.CONNECT_FAILED) from None
                continue
            except BaseException:
                if conn.bytes_sent != before:
                    attempt.asked = time.monotonic()
                self.pools.drop(conn)
                raise
            attempt.asked = attempt.heard = time.monotonic()
            return conn
