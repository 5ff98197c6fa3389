"""A voter: what it has promised, which lease it has granted, which records it has accepted.

The promise is on disk before anything is granted under it (Lamport, "Paxos made simple", 2001, for promise
and accept; Lampson, "How to build a highly available system using consensus", 1996, for the lease on top).
The lease's end is not: after a restart the voter lets the longest that it ever granted run out first, except
that the process of its last promise may go on, since any other's was over before that promise was made.

A voter without a record of a promise is blank: new, or its disk was lost. It grants and accepts nothing until
the coordinator has handed it the log, or until every other voter has said that it never granted anything
either.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..interface import Effect, Note, Store
from .rules import WINDOW, Rules
from .table import Change, Table
from .wire import (
    AGREED,
    Accept,
    Accepted,
    Admitted,
    Ask,
    Commit,
    Promise,
    Record,
    Release,
    Tail,
    decode_as,
    encode,
    fitting,
)

PROMISE, COMMIT, RECORD = "promise", "commit", "r"  # keys on disk; a record's is followed by its number


class Voter:
    """Decisions of one voter; the effects that it returns are to be carried out before any answer is sent."""

    def __init__(self, rules: Rules, table: Table, now: float) -> None:
        self.rules, self.table = rules, table
        self.promise: Promise | None = None  # None: blank
        self.joining: Promise | None = None  # a blank one's, to take effect with the log up to `goal`
        self.goal = 0
        self.until = now  # end of the lease granted, by this voter's clock
        self.released = 0  # epoch
        self.tail: dict[int, Accepted] = {}  # beyond the table's last, without gaps

    def load(self, now: float, stored: Mapping[str, bytes]) -> list[Effect]:
        """From disk; what was left over there is removed. Raises msgspec.DecodeError or ValueError, by which
        the state is refused whole."""
        promise = decode_as(Promise, stored[PROMISE]) if PROMISE in stored else None
        commit = decode_as(Commit, stored[COMMIT]) if COMMIT in stored else Commit()
        held = {
            int(key[1:]): decode_as(Accepted, value)
            for key, value in stored.items()
            if key.startswith(RECORD)
        }
        if any(number != entry.record.number for number, entry in held.items()):
            raise ValueError("a record is kept under another's number")
        void = set(commit.void)
        agreed = [
            held[number].record for number in sorted(held) if number <= commit.number and number not in void
        ]
        self.table.apply(agreed, commit.number)
        self.table.floor = max(self.table.floor, commit.floor)
        number = commit.number + 1
        while promise is not None and number in held:
            self.tail[number] = held[number]
            number += 1
        self.promise = promise
        if promise is not None and promise.epoch:
            self.until = now + self.rules.hold(promise.span)
        kept = {record.number for record in self.table.latest.values()} | self.tail.keys()
        return [Store(f"{RECORD}{number}", None) for number in held if number not in kept]

    # ---- the lease ------------------------------------------------------------------------------------

    def holder(self, who: str, life: int) -> bool:
        return self.promise is not None and (self.promise.name, self.promise.life) == (who, life)

    def free(self, now: float) -> bool:
        """Bound by no lease."""
        return self.promise is not None and now >= self.until

    def ask(self, now: float, who: str, life: int, ask: Ask) -> tuple[bool, list[Effect]]:
        """Whether it is granted. Only sounded, nothing changes."""
        same = self.holder(who, life)
        if self.promise is None or ask.epoch <= self.released or not (same or self.free(now)):
            return False, []
        if ask.epoch < self.promise.epoch or (ask.epoch == self.promise.epoch and not same):
            return False, []
        if ask.sound:
            return True, []
        effects = self._promise(Promise(ask.epoch, who, life, max(ask.span, self.promise.span)))
        end = now + self.rules.hold(ask.span)
        self.until = max(self.until, end) if same else end
        return True, effects

    def release(self, now: float, who: str, life: int, release: Release) -> bool:
        """The holder has ended its lease itself: nobody needs to wait for it."""
        if not self.holder(who, life) or release.epoch != self.promise.epoch:
            return False
        self.released, self.until = release.epoch, now
        return True

    def _promise(self, promise: Promise) -> list[Effect]:
        if promise == self.promise:
            return []
        self.promise = promise
        return [Store(PROMISE, encode(promise))]

    # ---- the log --------------------------------------------------------------------------------------

    @property
    def end(self) -> int:
        """The last number accepted."""
        return self.table.last + len(self.tail)

    def upto(self, epoch: int) -> int:
        """Everything up to this number is agreed or was accepted in the epoch."""
        number = self.table.last
        while number + 1 in self.tail and self.tail[number + 1].ballot in (epoch, AGREED):
            number += 1
        return number

    def accepts(self, who: str, life: int, epoch: int) -> bool:
        """Promised to this process in this epoch, and to nobody in a higher one."""
        promise = self.promise or self.joining
        return promise is not None and (promise.epoch, promise.name, promise.life) == (epoch, who, life)

    def accept(self, who: str, life: int, accept: Accept) -> tuple[bool, list[Effect]]:
        """Whether its epoch is the promised one. Records behind a gap are left for when they come again."""
        if not self.accepts(who, life, accept.epoch):
            return False, []
        effects: list[Effect] = []
        for record in accept.records:
            if record.number <= self.table.last:
                continue
            if record.number > min(self.end + 1, self.table.last + WINDOW):
                break
            entry = Accepted(accept.epoch, record)
            if self.tail.get(record.number) != entry:
                self.tail[record.number] = entry
                effects.append(Store(f"{RECORD}{record.number}", encode(entry)))
        return True, effects

    def read(self, after: int) -> Tail:
        """What is accepted beyond `after`, as much as one message holds, under the promise as it is."""
        start = max(after, self.table.last) + 1
        entries = [self.tail[number] for number in range(start, self.end + 1)]
        entries = entries[: fitting(entries, lambda entry: entry.record.size + 10)]
        return Tail(self.promise.epoch, self.promise.life, self.table.last, self.end, entries)

    def agreed(self, number: int, epoch: int) -> list[Record]:
        """Records that are agreed now that the coordinator of the epoch says so up to `number`."""
        return [self.tail[n].record for n in range(self.table.last + 1, min(number, self.upto(epoch)) + 1)]

    def keep(self, change: Change) -> list[Effect]:
        """After the table went on: on disk, so that a crash between any two of the effects does no harm."""
        new = {record.number: record for record in change.news}
        gone = set(change.gone)
        stores: list[Effect] = []
        for number, record in new.items():
            held = self.tail.get(number)
            if number not in gone and (held is None or held.record != record):
                stores.append(Store(f"{RECORD}{number}", encode(Accepted(AGREED, record))))
        passed = [number for number in self.tail if number <= self.table.last]
        void = {number for number in passed if self.tail.pop(number).record != new.get(number)}
        if change.whole:
            void |= gone
        void -= {record.number for record in self.table.latest.values()}
        stores.append(Store(COMMIT, encode(Commit(self.table.last, self.table.floor, sorted(void)))))
        return stores + [Store(f"{RECORD}{number}", None) for number in sorted(gone | void)]

    # ---- without a record of former lives -------------------------------------------------------------

    def begin(self) -> list[Effect]:
        """Every other voter is without one too: the first start of all."""
        return [*self._promise(Promise()), Note("authority: a voter from now on, as no other has a record")]

    def admitted(self, who: str, admitted: Admitted) -> None:
        """By the coordinator; it takes effect with `join`."""
        if self.promise is None:
            self.joining = Promise(admitted.epoch, who, admitted.mine, self.rules.lease)
            self.goal = admitted.end

    def join(self, now: float) -> list[Effect]:
        """Once it has the coordinator's log."""
        if self.promise is not None or self.joining is None or self.upto(self.joining.epoch) < self.goal:
            return []
        self.until = now + self.rules.hold(self.rules.lease)
        note = Note(f"authority: a voter from now on, admitted in epoch {self.joining.epoch}")
        return [*self._promise(self.joining), note]
