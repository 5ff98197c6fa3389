"""Rules that must be the same in all processes, so that capacity shares never sum to more than one."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from ...errors import FleetConfigTrouble
from ..interface import MAX_CLOCK_DRIFT, MAX_PEERS

KINDS = ("threads", "tries")  # the capacities that are shared: threads at warm engines, and retries


def name_hash(text: str) -> int:
    """The 64-bit hash of a name in messages: xxh64 of its UTF-8 bytes."""
    return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class Rules:
    """Durations in seconds, and shares of one. `count`: configured front ends, N; each owns 1/N of every
    capacity.

    `alone`: the fraction of 1/N that a process keeps without a majority of `voters`. `lease`: how long a
    voter's acknowledgement lasts (T1), counted by the holder from when it sent its heartbeat. `loan`: how
    long a loan lasts, counted by its borrower from when it sent the request. `beat`: the heartbeat interval.
    `margin`: added to timeouts beyond clock drift.
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
        if not 1 <= self.count <= MAX_PEERS:
            raise FleetConfigTrouble(f"overload.count: 1 to {MAX_PEERS}, got {self.count}")
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
    def silence_timeout(self) -> float:
        """T2: from a voter's last acknowledgement of a process until its lease, and every loan that it may
        have granted under it, has ended for certain."""
        return (self.lease + self.loan) * (1 + MAX_CLOCK_DRIFT) + self.margin

    @property
    def certificate_timeout(self) -> float:
        """From a voter's certificate of silence until its users have stopped for certain."""
        return self.lease * (1 + MAX_CLOCK_DRIFT) + self.margin

    @property
    def loan_timeout(self) -> float:
        """From a grant until its borrower has stopped for certain, on the lender's clock."""
        return self.loan * (1 + MAX_CLOCK_DRIFT) + self.margin

    @property
    def majority(self) -> int:
        """Voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def floor(self) -> float:
        """Share of the total capacity that a process always has. It is never lent."""
        return self.alone / self.count

    @property
    def leased_share(self) -> float:
        """Further share that a process has while a majority of voters leases it."""
        return (1 - self.alone) / self.count

    @property
    def silent_share(self) -> float:
        """The share that each other process gets of a silent process's leased share."""
        return self.leased_share / max(1, self.count - 1)

    @property
    def config_hash(self) -> int:
        """Hash of the rules. Voters acknowledge only processes with the same rules, so at most one of two
        sets of rules has a majority."""
        fields = self.count, sorted(self.voters), self.alone, self.lease, self.loan, self.margin
        return name_hash(repr(fields)) >> 1
