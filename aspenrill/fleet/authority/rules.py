"""What is configured of the authority, checked once; every process of a fleet is given the same."""

from __future__ import annotations

from dataclasses import dataclass

from ...errors import FleetConfigTrouble
from ..interface import DRIFT

MOST_VOTERS = 9
LONGEST_SPAN = 60.0  # seconds; no lease of a coordinator is longer
WINDOW = 32  # records sent to the voters and not yet agreed, at most
MOST_KEYS = 4096  # (kind, key) pairs in use
MOST_ENDED = 1024  # pairs of which it is remembered that they have ended
MOST_KIND, MOST_KEY, MOST_RECORD = 24, 160, 600  # bytes in UTF-8; of a body
MOST_WAITING = 256  # proposals that have no number yet


@dataclass(frozen=True, slots=True)
class Rules:
    """`voters` by name. Times in seconds: `lease` of the coordinator, asked for again each `renew`; `margin`
    is added wherever another's lease is waited for; `longest` lease that any part grants as coordinator;
    `spread` of the random delay before a voter stands; `patience` with the answers of an election; `retry`
    of what got no answer; `poll` between two questions for what was missed."""

    voters: tuple[str, ...]
    lease: float = 3.0
    renew: float = 0.6
    margin: float = 0.05
    longest: float = 10.0
    spread: float = 0.5
    patience: float = 1.5
    retry: float = 0.4
    poll: float = 5.0

    def __post_init__(self) -> None:
        if not self.voters or len(self.voters) > MOST_VOTERS:
            raise FleetConfigTrouble(f"voters: {len(self.voters)} named, 1 to {MOST_VOTERS} can be")
        if len(set(self.voters)) != len(self.voters) or not all(self.voters):
            raise FleetConfigTrouble("voters: a name is empty or comes twice")
        if not 0 < self.renew * 3 <= self.lease <= LONGEST_SPAN:
            raise FleetConfigTrouble(f"lease: {self.lease} s, but 3 x renew to {LONGEST_SPAN} s can be")
        if min(self.margin, self.longest) < 0 or min(self.spread, self.patience, self.retry, self.poll) <= 0:
            raise FleetConfigTrouble("margin, longest, spread, patience, retry, poll: a time is too small")

    @property
    def majority(self) -> int:
        """How many voters it takes: any two such sets have one in common."""
        return len(self.voters) // 2 + 1

    def hold(self, span: float) -> float:
        """For how long who granted a lease of `span` counts it as running: longer than its holder does."""
        return span * (1 + DRIFT) + self.margin
