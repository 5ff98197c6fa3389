"""One post in the tree, as who gives leases to those below it and holds one from above.

After Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency" (1989), in levels: what a post grants ends before its own lease does, and what it calls clear is
clear at all below it. Who asks counts its lease from when it sent the request; who grants keeps it in its
books until the holder must have stopped, whatever the drift of either clock (`DRIFT`).

A grant says up to which serial purges were known when it was given: its holder has them before the lease, so
that nothing older than that serial is served under it. So a post is clear up to a serial when each lease
that it has given and that is not over was either granted under it or later, or has its holder's
acknowledgement.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..interface import DRIFT
from .wire import MOST_NAME, MOST_NAMES

NEVER = float("-inf")
MARGIN = 0.05  # seconds: what rounding and the granularity of clocks may come to
LEAST = 0.2  # seconds: a lease of less is not worth its message
MOST_GRANTS = 16  # of one holder, told apart
MOST_ASKED = 16  # requests that may still be answered
MOST_HOLDERS = 2400  # twice the peers, and a few: an old incarnation stays until its lease is over


def longest(lease: float) -> float:
    """Seconds after which a lease that a coordinator has granted is over, by anybody's clock."""
    return lease * (1 + DRIFT) + MARGIN


@dataclass(slots=True)
class Holder:
    """Who holds leases from this post: until when each lasts, and under which serial it was granted."""

    grants: deque[tuple[float, int]] = field(default_factory=deque)
    acked: int = 0
    holders: int = 1  # members at and below it
    late: int = 0
    names: list[str] = field(default_factory=list)
    pushed: float = NEVER  # when it was last told of purges
    pushes: int = 0  # without an acknowledgement since

    def floor(self, now: float) -> int | None:
        """It serves nothing that is older than this serial; None: it serves nothing at all."""
        while self.grants and self.grants[0][0] <= now:
            self.grants.popleft()
        return max(self.acked, self.grants[0][1]) if self.grants else None

    def grant(self, until: float, serial: int) -> None:
        """One more lease."""
        last = self.grants[-1] if self.grants else None
        if last is not None and (last[1] == serial or len(self.grants) >= MOST_GRANTS):
            self.grants[-1] = max(until, last[0]), min(serial, last[1])
        else:
            self.grants.append((until if last is None else max(until, last[0]), serial))


class Post:
    """One level of one process. The caller sends what it says and drives it in time."""

    def __init__(self, level: int) -> None:
        self.level = level
        self.end = NEVER  # of its own lease; the coordinator's post is bound by the authority instead
        self.above: dict[str, float] = {}  # who has granted it: until when they wait for its acknowledgement
        self.asked: dict[int, tuple[float, str]] = {}  # by sequence number: when and whom
        self.seq = 0
        self.misses = 0  # requests in a row without an answer
        self.next_ask = NEVER
        self.wanted = NEVER  # when somebody below last asked
        self.below: dict[tuple[str, int], Holder] = {}
        self.behind: set[tuple[str, int]] = set()  # of those, who is not known to have all that is seen
        self.cleared = 0

    # ---- as a holder ----------------------------------------------------------------------------------

    def ask(self, now: float, whom: str) -> int:
        """A request is being sent; gives its number."""
        self.seq += 1
        self.asked[self.seq] = now, whom
        if len(self.asked) > MOST_ASKED:
            del self.asked[next(iter(self.asked))]
        return self.seq

    def granted(self, now: float, sender: str, seq: int, seconds: float) -> bool:
        """The answer to a request: a lease from when that was sent. False where it answers none of them."""
        if self.asked.get(seq, (0.0, ""))[1] != sender:
            return False
        sent = self.asked.pop(seq)[0]
        end = sent + seconds
        self.end = max(self.end, end)
        self.misses = 0
        self.above[sender] = max(end, self.above.get(sender, NEVER))
        self.above = {name: until for name, until in self.above.items() if until > now}
        return True

    # ---- as who grants --------------------------------------------------------------------------------

    def grant(self, now: float, who: tuple[str, int], serial: int, root: float | None = None) -> float:
        """Seconds of a lease for a holder; 0: none. `root`: the coordinator's, which has none above it."""
        if root is not None:
            seconds, until = root, now + longest(root)
        else:
            seconds, until = (self.end - now) / (1 + DRIFT), self.end
        if seconds < LEAST:
            return 0.0
        holder = self.below.get(who)
        if holder is None:
            if len(self.below) >= MOST_HOLDERS:
                return 0.0
            holder = self.below[who] = Holder()
        holder.grant(until, serial)
        return seconds

    def acknowledged(
        self, who: tuple[str, int], seen: int, cleared: int, holders: int, late: int, names: list[str]
    ) -> None:
        """A holder says how far it and all below it are clear."""
        holder = self.below.get(who)
        if holder is None:
            return
        if cleared >= holder.acked:
            holder.holders, holder.late, holder.names = holders, late, names
            if cleared > holder.acked:
                holder.pushes = 0
            holder.acked = cleared
        if cleared >= seen:
            self.behind.discard(who)

    def advanced(self) -> None:
        """More purges have been seen: nobody below is known to have them yet."""
        self.behind = set(self.below)

    def forget(self, who: tuple[str, int]) -> None:
        """It has given back what it held."""
        self.below.pop(who, None)
        self.behind.discard(who)

    def clear(self, now: float, seen: int) -> int:
        """The serial up to which nothing older is served here or below, and never will be again."""
        lowest = seen
        for who in list(self.behind):
            floor = self.below[who].floor(now)
            if floor is None:
                self.forget(who)
            elif floor >= seen:
                self.behind.discard(who)
            else:
                lowest = min(lowest, floor)
        self.cleared = max(self.cleared, lowest)
        return self.cleared

    def sweep(self, now: float) -> None:
        """Forget those whose leases are over."""
        for who in [who for who, holder in self.below.items() if holder.floor(now) is None]:
            self.forget(who)

    def missing(self) -> tuple[int, int, list[str]]:
        """Members that hold leases below, how many of them are not clear, and the names of the first."""
        late, names = 0, []
        for who in sorted(self.behind):
            holder = self.below[who]
            late += max(1, holder.late)
            if len(names) < MOST_NAMES:
                names += holder.names or [who[0][:MOST_NAME]]
        return sum(holder.holders for holder in self.below.values()), late, names[:MOST_NAMES]
