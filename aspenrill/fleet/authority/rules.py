"""Validated configuration of the authority; every process of a fleet has the same."""

from __future__ import annotations

from dataclasses import dataclass

from ...errors import FleetConfigTrouble
from ..interface import MAX_CLOCK_DRIFT

MOST_VOTERS = 9
LONGEST_SPAN = 60.0  # seconds; upper bound of the coordinator's lease
MAX_UNAGREED = 32  # records sent to the voters and not yet agreed
MAX_KEYS = 4096  # live (kind, key) pairs
MAX_TOMBSTONES = 1024  # (kind, key) pairs remembered as deleted
MAX_KIND_BYTES = 24  # bytes of a record's kind in UTF-8
MAX_KEY_BYTES = 160  # bytes of a record's key in UTF-8
MAX_BODY_BYTES = 600  # bytes of a record's body
MAX_PROPOSALS = 256  # proposals without a log number


@dataclass(frozen=True, slots=True)
class Rules:
    """Names of the voters, and times in seconds.

    The coordinator holds a `lease` and requests it again every `renew` seconds. `margin` is added wherever a
    process waits for another's lease to expire. `longest` is the longest lease that any component grants
    while it coordinates. A candidate waits a random time of up to `election_delay` and gives an election up
    after `election_timeout`. Unanswered messages are repeated after `retry_interval`; each process checks
    for missed records every `poll_interval`.
    """

    voters: tuple[str, ...]
    lease: float = 3.0
    renew: float = 0.6
    margin: float = 0.05
    longest: float = 10.0
    election_delay: float = 0.5
    election_timeout: float = 1.5
    retry_interval: float = 0.4
    poll_interval: float = 5.0

    def __post_init__(self) -> None:
        if not self.voters or len(self.voters) > MOST_VOTERS:
            raise FleetConfigTrouble(f"voters: {len(self.voters)} named, 1 to {MOST_VOTERS} can be")
        if len(set(self.voters)) != len(self.voters) or not all(self.voters):
            raise FleetConfigTrouble("voters: a name is empty or comes twice")
        if not 0 < self.renew * 3 <= self.lease <= LONGEST_SPAN:
            raise FleetConfigTrouble(f"lease: {self.lease} s, but 3 x renew to {LONGEST_SPAN} s can be")
        if (
            min(self.margin, self.longest) < 0
            or min(self.election_delay, self.election_timeout, self.retry_interval, self.poll_interval) <= 0
        ):
            raise FleetConfigTrouble(
                "margin, longest, election_delay, election_timeout, retry_interval, poll_interval: "
                "a time is too small"
            )

    @property
    def majority(self) -> int:
        """Quorum size: any two quorums have a voter in common."""
        return len(self.voters) // 2 + 1

    def grantor_duration(self, lease: float) -> float:
        """How long the grantor treats a lease as running: longer than the holder, by drift and margin."""
        return lease * (1 + MAX_CLOCK_DRIFT) + self.margin
