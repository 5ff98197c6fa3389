"""One node of the lease tree: grants leases to the nodes below it and holds a lease from above.

Hierarchical leases after Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed
file cache consistency" (1989): a granted lease ends before the node's own lease, and what a node reports as
clear is clear at all nodes below it. A holder counts its lease from when it sent the request. The grantor
records it until the holder must have stopped, whatever the drift of either clock (`MAX_CLOCK_DRIFT`).

A grant carries the serial up to which purges were known when it was given. Its holder applies those purges
before it uses the lease, so nothing older than that serial is served under it. A node is clear up to a serial
when each running lease that it has granted was granted under that serial or a later one, or its holder has
acknowledged that serial.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..interface import MAX_CLOCK_DRIFT
from .wire import MAX_NAME_LENGTH, MAX_NAMES

NEVER = float("-inf")
MARGIN = 0.05  # seconds for rounding and clock granularity
MIN_LEASE = 0.2  # seconds; a shorter lease is not worth its message
MAX_GRANTS = 16  # grants to one holder that are recorded separately
MAX_PENDING_REQUESTS = 16  # requests whose answers are accepted
MAX_HOLDERS = 2400  # over twice the peers: an old incarnation stays until its lease has expired


def longest(lease: float) -> float:
    """Seconds until a lease granted by a coordinator has expired by any process's clock."""
    return lease * (1 + MAX_CLOCK_DRIFT) + MARGIN


@dataclass(slots=True)
class Holder:
    """A holder of leases from this node: the end of each lease and the serial it was granted under."""

    grants: deque[tuple[float, int]] = field(default_factory=deque)
    acknowledged: int = 0  # serial up to which it is clear
    members: int = 1  # members at and below the holder
    not_clear: int = 0  # members of these that are not clear
    names: list[str] = field(default_factory=list)  # the first that are not clear
    pushed_at: float = NEVER  # when purges were last sent to it
    unacknowledged_pushes: int = 0  # repeats without an acknowledgement

    def floor(self, now: float) -> int | None:
        """The serial that all answers it serves are newer than; None if it has no running lease."""
        while self.grants and self.grants[0][0] <= now:
            self.grants.popleft()
        return max(self.acknowledged, self.grants[0][1]) if self.grants else None

    def grant(self, until: float, serial: int) -> None:
        """Records a lease."""
        last = self.grants[-1] if self.grants else None
        if last is not None and (last[1] == serial or len(self.grants) >= MAX_GRANTS):
            self.grants[-1] = max(until, last[0]), min(serial, last[1])
        else:
            self.grants.append((until if last is None else max(until, last[0]), serial))


class LeaseNode:
    """One level of the lease tree at one process. The caller sends its messages and drives it."""

    def __init__(self, level: int) -> None:
        self.level = level
        self.lease_end = NEVER  # of its own lease; the coordinator is bound by the authority's lease instead
        # by grantor: end of the lease, until which it needs acknowledgements
        self.grantors: dict[str, float] = {}
        self.pending_requests: dict[int, tuple[float, str]] = {}  # by sequence number: when sent, and to whom
        self.seq = 0
        self.unanswered = 0  # consecutive requests without an answer
        self.next_request_at = NEVER
        self.last_requested_at = NEVER  # when a node below last requested a lease
        self.holders: dict[tuple[str, int], Holder] = {}
        self.lagging: set[tuple[str, int]] = set()  # holders that are not known to have all purges seen here
        self.cleared = 0

    # ---- as a holder ----------------------------------------------------------------------------------

    def start_request(self, now: float, grantor: str) -> int:
        """Registers a request that is being sent; its sequence number."""
        self.seq += 1
        self.pending_requests[self.seq] = now, grantor
        if len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        return self.seq

    def on_grant(self, now: float, sender: str, seq: int, seconds: float) -> bool:
        """Takes a lease that counts from when its request was sent; False if there is no such request."""
        if self.pending_requests.get(seq, (0.0, ""))[1] != sender:
            return False
        sent_at = self.pending_requests.pop(seq)[0]
        end = sent_at + seconds
        self.lease_end = max(self.lease_end, end)
        self.unanswered = 0
        self.grantors[sender] = max(end, self.grantors.get(sender, NEVER))
        self.grantors = {name: until for name, until in self.grantors.items() if until > now}
        return True

    # ---- as a grantor ---------------------------------------------------------------------------------

    def grant(
        self, now: float, holder_id: tuple[str, int], serial: int, root_lease: float | None = None
    ) -> float:
        """Grants a lease; its seconds, 0 for none. `root_lease`: length of the coordinator's leases."""
        if root_lease is not None:
            seconds, until = root_lease, now + longest(root_lease)
        else:
            seconds, until = (self.lease_end - now) / (1 + MAX_CLOCK_DRIFT), self.lease_end
        if seconds < MIN_LEASE:
            return 0.0
        holder = self.holders.get(holder_id)
        if holder is None:
            if len(self.holders) >= MAX_HOLDERS:
                return 0.0
            holder = self.holders[holder_id] = Holder()
        holder.grant(until, serial)
        return seconds

    def on_acknowledged(
        self,
        holder_id: tuple[str, int],
        seen: int,
        cleared: int,
        members: int,
        not_clear: int,
        names: list[str],
    ) -> None:
        """A holder reports the serial up to which it and all below it are clear."""
        holder = self.holders.get(holder_id)
        if holder is None:
            return
        if cleared >= holder.acknowledged:
            holder.members, holder.not_clear, holder.names = members, not_clear, names
            if cleared > holder.acknowledged:
                holder.unacknowledged_pushes = 0
            holder.acknowledged = cleared
        if cleared >= seen:
            self.lagging.discard(holder_id)

    def mark_all_lagging(self) -> None:
        """New purges have been seen: no holder is known to have them."""
        self.lagging = set(self.holders)

    def remove(self, holder_id: tuple[str, int]) -> None:
        """Removes a holder that has returned its leases."""
        self.holders.pop(holder_id, None)
        self.lagging.discard(holder_id)

    def update_clear(self, now: float, seen: int) -> int:
        """The serial up to which this node and all below it serve no older answers, now or later."""
        lowest = seen
        for holder_id in list(self.lagging):
            floor = self.holders[holder_id].floor(now)
            if floor is None:
                self.remove(holder_id)
            elif floor >= seen:
                self.lagging.discard(holder_id)
            else:
                lowest = min(lowest, floor)
        self.cleared = max(self.cleared, lowest)
        return self.cleared

    def drop_expired(self, now: float) -> None:
        """Removes holders whose leases have expired."""
        for holder_id in [
            holder_id for holder_id, holder in self.holders.items() if holder.floor(now) is None
        ]:
            self.remove(holder_id)

    def not_clear_summary(self) -> tuple[int, int, list[str]]:
        """Number of members that hold leases below, number and first names of those that are not clear."""
        not_clear, names = 0, []
        for holder_id in sorted(self.lagging):
            holder = self.holders[holder_id]
            not_clear += max(1, holder.not_clear)
            if len(names) < MAX_NAMES:
                names += holder.names or [holder_id[0][:MAX_NAME_LENGTH]]
        return sum(holder.members for holder in self.holders.values()), not_clear, names[:MAX_NAMES]
