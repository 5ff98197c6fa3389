"""Selection of name servers in their configured order, with a back-off after failures.

No I/O; times are passed as arguments.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

Address = tuple[str, int]
MIN_BACK_OFF = 0.5  # seconds after the first failure, doubled with each further one
MAX_BACK_OFF = 30.0  # seconds
BACK_OFF_JITTER = 0.25  # fraction added at random at most, so that front ends don't retry at the same time
RTT_GAIN = 0.125  # weight of a new round trip in the running mean (RFC 6298)
RTT_MULTIPLE = 4.0  # reply timeout in mean round trips, within the configured timeout
MIN_TIMEOUT = 0.15  # seconds


@dataclass(slots=True)
class Server:
    """One name server and its observed state."""

    address: Address
    failures: int = 0  # in a row
    back_off_until: float = 0.0
    round_trip: float | None = None  # seconds, running mean
    edns: bool = True  # False once it has rejected EDNS(0)
    last_failure: str = ""


class Servers:
    """Name servers in configured order; those in back-off come last, the one with the earliest end first."""

    def __init__(self, addresses: Sequence[Address], rng: random.Random) -> None:
        self.rng = rng
        self.all = [Server(address) for address in addresses]

    def choose(self, now: float, tried: Sequence[Server] = ()) -> Server:
        """Return the next server: among those least often tried in this look-up, preferably a healthy one."""
        fewest = min(tried.count(server) for server in self.all) if tried else 0
        candidates = [server for server in self.all if tried.count(server) == fewest]
        available = [server for server in candidates if now >= server.back_off_until]
        return available[0] if available else min(candidates, key=lambda server: server.back_off_until)

    def reply_timeout(self, server: Server, timeout: float) -> float:
        """Return the seconds to wait for its reply: several mean round trips, doubled with each failure."""
        if server.round_trip is None:
            return timeout
        return min(timeout, max(MIN_TIMEOUT, RTT_MULTIPLE * server.round_trip) * 2 ** min(server.failures, 8))

    def record_success(self, server: Server, now: float, elapsed_s: float) -> None:
        """Record a usable reply that took `elapsed_s` seconds."""
        server.failures, server.back_off_until, server.last_failure = 0, 0.0, ""
        mean = server.round_trip
        server.round_trip = elapsed_s if mean is None else mean + RTT_GAIN * (elapsed_s - mean)

    def record_failure(self, server: Server, now: float, reason: str) -> None:
        """Record that there was no reply, or an unusable one, and start a back-off."""
        back_off_s = min(MAX_BACK_OFF, MIN_BACK_OFF * 2 ** min(server.failures, 16))
        server.failures += 1
        server.back_off_until = now + back_off_s * (1 + BACK_OFF_JITTER * self.rng.random())
        server.last_failure = reason
