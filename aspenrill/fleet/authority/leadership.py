"""Bookkeeping of one epoch of one process: votes, log recovery and acknowledgements. Sends nothing.

The lease of each voter counts from when the request was sent. The majority lease ends when the remaining
leases are no longer a majority (Gray and Cheriton, "Leases", 1989). The log is recovered from a majority
whose leases are running at that moment.
"""

from __future__ import annotations

from .rules import Rules
from .wire import Accepted, LogTail, Record, Vote

MAX_TRACKED_ROUNDS = 16  # rounds whose sending time is remembered


class Leadership:
    """An epoch from its pre-vote to the end of its lease. `won_at` is None until the log is recovered."""

    def __init__(self, rules: Rules, incarnation: int, epoch: int, now: float) -> None:
        self.rules, self.incarnation, self.epoch = rules, incarnation, epoch
        self.requested_at = now  # when the epoch's first request was sent
        self.pre_voting = True
        self.won_at: float | None = None
        self.recovered_to = 0  # last number of the recovered log
        self.round = 0
        self.round_sent_at: dict[int, float] = {}  # by round, for lease arithmetic
        self.lease_ends: dict[str, float] = {}  # by voter: end of its lease by this process's clock
        self.votes: dict[str, Vote] = {}  # by voter: its last answer in this phase
        self.read_numbers: dict[str, int] = {}  # by voter: number up to which its log was read
        self.fully_read: set[str] = set()  # voters whose log was read completely
        self.required_number = 0  # highest number that a voter reported as agreed
        self.recovered_entries: dict[int, Accepted] = {}
        self.acknowledged_to: dict[str, int] = {}
        # by voter that lost its disk: its first incarnation after that
        self.min_incarnations: dict[str, int] = {}

    def next_round(self, now: float) -> int:
        """Starts a round of requests; its number."""
        self.round += 1
        self.round_sent_at[self.round] = now
        self.round_sent_at.pop(self.round - MAX_TRACKED_ROUNDS, None)
        return self.round

    def record_vote(self, now: float, voter: str, vote: Vote) -> None:
        """Records an answer. The lease counts from when the round was sent, not from `now`."""
        sent_at = self.round_sent_at.get(vote.round)
        if sent_at is None or (vote.epoch, vote.incarnation, vote.pre_vote) != (
            self.epoch,
            self.incarnation,
            self.pre_voting,
        ):
            return
        self.votes[voter] = vote
        if vote.granted:
            self.lease_ends[voter] = max(self.lease_ends.get(voter, sent_at), sent_at + self.rules.lease)

    def start_lease_requests(self, now: float, epoch: int) -> None:
        """The pre-vote was won: leases are requested from now on."""
        self.pre_voting, self.epoch, self.requested_at = False, epoch, now
        self.round_sent_at.clear()
        self.lease_ends.clear()
        self.votes.clear()

    @property
    def is_first(self) -> bool:
        """No process has coordinated before: an epoch is higher than all that a majority has promised."""
        return self.epoch == 1

    @property
    def granted_count(self) -> int:
        """How many voters have granted."""
        return sum(vote.granted for vote in self.votes.values())

    @property
    def cannot_win(self) -> bool:
        """Too many voters have refused for a majority."""
        refused = sum(not vote.granted for vote in self.votes.values())
        return refused > len(self.rules.voters) - self.rules.majority

    def lease_end(self) -> float:
        """When the majority lease ends; -inf if there is none."""
        if self.pre_voting or len(self.lease_ends) < self.rules.majority:
            return float("-inf")
        return sorted(self.lease_ends.values(), reverse=True)[self.rules.majority - 1]

    def holds_lease(self, now: float) -> bool:
        """Whether the majority lease is running."""
        return now < self.lease_end()

    # ---- reading the log ------------------------------------------------------------------------------

    def read_to(self, voter: str, last: int) -> int:
        """The number up to which a voter's log needs no reading; `last` is that of the table."""
        return max(self.read_numbers.get(voter, 0), last)

    def record_tail(self, voter: str, tail: LogTail, last: int) -> None:
        """Records a voter's log tail, if its promise is to this process in this epoch.

        `last` is the last number of the table.
        """
        if (tail.epoch, tail.incarnation) != (self.epoch, self.incarnation) or self.won_at is not None:
            return
        self.required_number = max(self.required_number, tail.number)
        reached = max(self.read_to(voter, last), tail.number)
        for entry in tail.entries:
            number = entry.record.number
            if number > reached + 1:
                return
            if number not in self.recovered_entries or entry.ballot > self.recovered_entries[number].ballot:
                self.recovered_entries[number] = entry
            reached = max(reached, number)
        self.read_numbers[voter] = reached
        if reached >= tail.end:
            self.fully_read.add(voter)

    def recovery_complete(self, now: float, last: int) -> bool:
        """Whether a majority with running leases was read completely and the table has all agreed records."""
        read = sum(self.lease_ends.get(voter, now) > now for voter in self.fully_read)
        return read >= self.rules.majority and last >= self.required_number

    def win(self, now: float, last: int) -> list[Record]:
        """The records beyond the table that may have been agreed, to be resent in this epoch."""
        records, number = [], last + 1
        while number in self.recovered_entries:
            records.append(self.recovered_entries[number].record)
            number += 1
        self.won_at, self.recovered_to = now, number - 1
        self.recovered_entries.clear()
        return records

    # ---- the log of this epoch ------------------------------------------------------------------------

    def record_ack(self, voter: str, up_to: int) -> None:
        """A voter has stored all records up to this number."""
        self.acknowledged_to[voter] = max(self.acknowledged_to.get(voter, 0), up_to)

    def agreed_number(self) -> int:
        """The number up to which records are on the disks of a majority."""
        if len(self.acknowledged_to) < self.rules.majority:
            return 0
        return sorted(self.acknowledged_to.values(), reverse=True)[self.rules.majority - 1]

    def forget_voter(self, voter: str, incarnation: int) -> None:
        """Discards what earlier incarnations of a voter have granted and acknowledged."""
        if incarnation > self.min_incarnations.get(voter, -1):
            self.min_incarnations[voter] = incarnation
            self.fully_read.discard(voter)
            for by_voter in (self.lease_ends, self.votes, self.read_numbers, self.acknowledged_to):
                by_voter.pop(voter, None)

    def is_valid_voter(self, voter: str, incarnation: int) -> bool:
        """Whether this incarnation of the voter did not lose its disk since."""
        return incarnation >= self.min_incarnations.get(voter, 0)
