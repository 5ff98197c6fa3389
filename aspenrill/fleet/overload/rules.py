"""What must be the same in all processes for parts never to sum to more than the whole."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from ...errors import FleetConfigTrouble
from ..interface import DRIFT, MOST_PEERS

KINDS = ("threads", "tries")  # the capacities that are dealt: threads at warm engines, tries beyond the first


def mark(text: str) -> int:
    """64 bits that stand for a name in messages: xxh64 of its UTF-8 bytes."""
    return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class Rules:
    """Seconds, and shares of one. `count`: front ends configured, N; each owns 1/N of every capacity.

    `alone`: the share of 1/N that a process keeps without a majority of `voters`. `lease`: for how long a
    voter's acknowledgement lasts (T1), counted by the holder from when it sent its beat. `loan`: for how
    long a loan lasts, counted by its holder from when it sent the request. `margin`: what is waited beyond
    drift.
    """

    count: int
    voters: tuple[str, ...]
    alone: float = 0.5
    lease: float = 3.0
    loan: float = 3.0
    beat: float = 0.75
    margin: float = 0.2

    def check(self) -> None:
        """Raise FleetConfigTrouble naming the first field that cannot be used."""
        if not 1 <= self.count <= MOST_PEERS:
            raise FleetConfigTrouble(f"overload.count: 1 to {MOST_PEERS}, got {self.count}")
        if not self.voters or len(set(self.voters)) != len(self.voters):
            raise FleetConfigTrouble("overload.voters: one name or more, none of them twice")
        if not 0.0 <= self.alone <= 1.0:
            raise FleetConfigTrouble(f"overload.alone: 0 to 1, got {self.alone}")
        for name in ("lease", "loan", "beat", "margin"):
            if not 0.0 < getattr(self, name) <= 3600.0:
                raise FleetConfigTrouble(f"overload.{name}: seconds above 0, 3600 at most")
        if self.beat * 3 > self.lease:
            raise FleetConfigTrouble("overload.beat: a third of overload.lease at most")

    @property
    def silence(self) -> float:
        """T2: from a voter's last acknowledgement of a process until that one's lease, and every loan that it
        may have granted under it, is surely over."""
        return (self.lease + self.loan) * (1 + DRIFT) + self.margin

    @property
    def regret(self) -> float:
        """From a voter's word that a process is silent until whoever uses it has surely stopped."""
        return self.lease * (1 + DRIFT) + self.margin

    @property
    def owed(self) -> float:
        """From a grant until its holder has surely stopped, on the lender's clock."""
        return self.loan * (1 + DRIFT) + self.margin

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def floor(self) -> float:
        """Share of the whole that a process keeps whatever happens. It is never lent."""
        return self.alone / self.count

    @property
    def upper(self) -> float:
        """Share of the whole that a process has beyond it while a majority acknowledges it."""
        return (1 - self.alone) / self.count

    @property
    def piece(self) -> float:
        """Each other's piece of what a silent process has above its floor."""
        return self.upper / max(1, self.count - 1)

    @property
    def config(self) -> int:
        """Voters acknowledge only who goes by the same rules: of two sets of rules one has a majority at
        most."""
        same = self.count, sorted(self.voters), self.alone, self.lease, self.loan, self.margin
        return mark(repr(same)) >> 1
