"""One epoch of one process, from its first question to the end of its lease: who has granted, what was read,
who has acknowledged. Counting only; nothing is sent from here.

The lease of each voter counts from when the question was sent; that of the majority ends with its first to
end (Gray and Cheriton, "Leases", 1989). The log is read from a majority whose leases are running at that
moment.
"""

from __future__ import annotations

from .rules import Rules
from .wire import Accepted, Record, Tail, Vote

ROUNDS = 16  # questions of which the time of sending is remembered


class Tenure:
    """`won_at`: the log was read and the epoch's own records may follow; None before."""

    def __init__(self, rules: Rules, life: int, epoch: int, now: float) -> None:
        self.rules, self.life, self.epoch = rules, life, epoch
        self.asked_at = now  # for the first time in this epoch
        self.sounding = True
        self.won_at: float | None = None
        self.recovered = 0  # end of the log as it was read
        self.round = 0
        self.sent: dict[int, float] = {}  # by round
        self.ends: dict[str, float] = {}  # by voter: when its lease is over, by this process's clock
        self.said: dict[str, Vote] = {}  # by voter: its last answer
        self.cursors: dict[str, int] = {}  # by voter: up to where its log was read
        self.whole: set[str] = set()  # voters whose log was read to the end
        self.needs = 0  # agreed according to what was read
        self.best: dict[int, Accepted] = {}
        self.acked: dict[str, int] = {}
        self.least: dict[str, int] = {}  # by voter that lost its disk: the life from which on it counts

    def next_round(self, now: float) -> int:
        self.round += 1
        self.sent[self.round] = now
        self.sent.pop(self.round - ROUNDS, None)
        return self.round

    def voted(self, now: float, voter: str, vote: Vote) -> None:
        """An answer to a round of this epoch. `now` is when it came, and counts for nothing."""
        sent = self.sent.get(vote.round)
        if sent is None or (vote.epoch, vote.life, vote.sound) != (self.epoch, self.life, self.sounding):
            return
        self.said[voter] = vote
        if vote.granted:
            self.ends[voter] = max(self.ends.get(voter, sent), sent + self.rules.lease)

    def asking(self, now: float, epoch: int) -> None:
        """The majority would grant: from now on it is asked in earnest."""
        self.sounding, self.epoch, self.asked_at = False, epoch, now
        self.sent.clear()
        self.ends.clear()
        self.said.clear()

    @property
    def first(self) -> bool:
        """Nobody has coordinated before: an epoch is above all that anybody of a majority has promised."""
        return self.epoch == 1

    @property
    def granted(self) -> int:
        return sum(vote.granted for vote in self.said.values())

    @property
    def hopeless(self) -> bool:
        """So many have refused that no majority is left."""
        refused = sum(not vote.granted for vote in self.said.values())
        return refused > len(self.rules.voters) - self.rules.majority

    def end(self) -> float:
        """When the lease of the majority is over."""
        if self.sounding or len(self.ends) < self.rules.majority:
            return float("-inf")
        return sorted(self.ends.values(), reverse=True)[self.rules.majority - 1]

    def holds(self, now: float) -> bool:
        return now < self.end()

    # ---- reading the log ------------------------------------------------------------------------------

    def cursor(self, voter: str, last: int) -> int:
        return max(self.cursors.get(voter, 0), last)

    def read(self, voter: str, tail: Tail, last: int) -> None:
        """A voter's answer; it counts where its promise is to this process in this epoch. `last`: of the
        table."""
        if (tail.epoch, tail.life) != (self.epoch, self.life) or self.won_at is not None:
            return
        self.needs = max(self.needs, tail.number)
        cursor = max(self.cursor(voter, last), tail.number)
        for entry in tail.entries:
            number = entry.record.number
            if number > cursor + 1:
                return
            if number not in self.best or entry.ballot > self.best[number].ballot:
                self.best[number] = entry
            cursor = max(cursor, number)
        self.cursors[voter] = cursor
        if cursor >= tail.end:
            self.whole.add(voter)

    def complete(self, now: float, last: int) -> bool:
        """A majority with running leases was read to the end, and the table has all that they know as
        agreed."""
        read = sum(self.ends.get(voter, now) > now for voter in self.whole)
        return read >= self.rules.majority and last >= self.needs

    def win(self, now: float, last: int) -> list[Record]:
        """What may have been agreed beyond the table, to be sent again in this epoch."""
        records, number = [], last + 1
        while number in self.best:
            records.append(self.best[number].record)
            number += 1
        self.won_at, self.recovered = now, number - 1
        self.best.clear()
        return records

    # ---- the log of this epoch ------------------------------------------------------------------------

    def acknowledged(self, voter: str, upto: int) -> None:
        self.acked[voter] = max(self.acked.get(voter, 0), upto)

    def agreed(self) -> int:
        """Up to here it is on the disks of a majority."""
        if len(self.acked) < self.rules.majority:
            return 0
        return sorted(self.acked.values(), reverse=True)[self.rules.majority - 1]

    def lost_disk(self, voter: str, life: int) -> None:
        """What its former lives have granted and acknowledged counts no more."""
        if life > self.least.get(voter, -1):
            self.least[voter] = life
            self.whole.discard(voter)
            for kept in (self.ends, self.said, self.cursors, self.acked):
                kept.pop(voter, None)

    def counts(self, voter: str, life: int) -> bool:
        return life >= self.least.get(voter, 0)
