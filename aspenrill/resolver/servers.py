"""Name servers in their order: whom to ask next, and for how long one that fails is passed by.

No I/O; times come in as arguments.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

Address = tuple[str, int]
BACK_OFF, BACK_OFF_MOST = 0.5, 30.0  # seconds passed by after a failure, doubled up to the most
SPREAD = 0.25  # share of that by which it is drawn out, so that front ends don't come back in step
SMOOTH = 0.125  # weight of a new round trip in the running mean (RFC 6298)
SLOWEST = 4.0  # times the usual round trip that a question waits, within the configured bound
LEAST_WAIT = 0.15


@dataclass(slots=True)
class Server:
    """One name server as it has shown itself."""

    address: Address
    failures: int = 0  # in a row
    rest_until: float = 0.0
    round_trip: float | None = None  # seconds, running mean
    edns: bool = True  # False once it has turned EDNS(0) away
    why: str = ""  # its last failure


class Servers:
    """Asked in the order given; those that rest after a failure come last, the soonest to be back first."""

    def __init__(self, addresses: Sequence[Address], rng: random.Random) -> None:
        self.rng = rng
        self.all = [Server(address) for address in addresses]

    def next(self, now: float, tried: Sequence[Server] = ()) -> Server:
        """Whom to ask: one not yet tried in this look-up if there is any, and of these a healthy one."""
        fewest = min(tried.count(server) for server in self.all) if tried else 0
        some = [server for server in self.all if tried.count(server) == fewest]
        awake = [server for server in some if now >= server.rest_until]
        return awake[0] if awake else min(some, key=lambda server: server.rest_until)

    def wait(self, server: Server, most: float) -> float:
        """Seconds to wait for its answer: several usual round trips, more after failures."""
        if server.round_trip is None:
            return most
        return min(most, max(LEAST_WAIT, SLOWEST * server.round_trip) * 2 ** min(server.failures, 8))

    def good(self, server: Server, now: float, took: float) -> None:
        """It has answered, after so many seconds."""
        server.failures, server.rest_until, server.why = 0, 0.0, ""
        mean = server.round_trip
        server.round_trip = took if mean is None else mean + SMOOTH * (took - mean)

    def bad(self, server: Server, now: float, why: str) -> None:
        """It has not, or with nothing of use."""
        rest = min(BACK_OFF_MOST, BACK_OFF * 2 ** min(server.failures, 16))
        server.failures += 1
        server.rest_until = now + rest * (1 + SPREAD * self.rng.random())
        server.why = why
