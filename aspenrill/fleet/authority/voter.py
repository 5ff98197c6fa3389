"""State of one voter: its promise, the lease it has granted, the records it has accepted.

The promise is on disk before anything is granted under it (Lamport, "Paxos made simple", 2001, for promise
and accept; Lampson, "How to build a highly available system using consensus", 1996, for the lease on top).
The lease's end is not stored. After a restart the voter waits for the longest lease that it ever granted,
except that the process of its last promise may continue: any other lease had expired before that promise was
made.

A voter without a stored promise is blank: new, or its disk was lost. It grants and accepts nothing until it
has received the coordinator's log, or until every other voter has reported that it never granted a lease.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..interface import Effect, LogLine, Store
from .rules import MAX_UNAGREED, Rules
from .table import Change, Table
from .wire import (
    AGREED_BALLOT,
    Accept,
    Accepted,
    Admission,
    Commit,
    LeaseRequest,
    LogTail,
    Promise,
    Record,
    Release,
    count_fitting,
    decode_as,
    encode,
)

PROMISE_KEY = "promise"  # key of the stored promise
COMMIT_KEY = "commit"  # key of the stored commit point
RECORD_PREFIX = "r"  # prefix of a stored record's key, followed by its number


class Voter:
    """Decisions of one voter. Returned effects must be carried out before any answer is sent."""

    def __init__(self, rules: Rules, table: Table, now: float) -> None:
        self.rules, self.table = rules, table
        self.promise: Promise | None = None  # None: blank voter
        # of a blank voter; takes effect once it has the log up to `join_target`
        self.pending_promise: Promise | None = None
        self.join_target = 0
        self.lease_until = now  # end of the granted lease by this voter's clock
        self.released_epoch = 0
        self.tail: dict[int, Accepted] = {}  # records beyond the table's last, without gaps

    def load(self, now: float, stored: Mapping[str, bytes]) -> list[Effect]:
        """Restores the state from disk and removes stale records there.

        Raises msgspec.DecodeError or ValueError if any of it is malformed.
        """
        promise = decode_as(Promise, stored[PROMISE_KEY]) if PROMISE_KEY in stored else None
        commit = decode_as(Commit, stored[COMMIT_KEY]) if COMMIT_KEY in stored else Commit()
        stored_records = {
            int(key[1:]): decode_as(Accepted, value)
            for key, value in stored.items()
            if key.startswith(RECORD_PREFIX)
        }
        if any(number != entry.record.number for number, entry in stored_records.items()):
            raise ValueError("a record is stored under the wrong number")
        invalid = set(commit.invalid_numbers)
        agreed = [
            stored_records[number].record
            for number in sorted(stored_records)
            if number <= commit.number and number not in invalid
        ]
        self.table.apply(agreed, commit.number)
        self.table.floor = max(self.table.floor, commit.floor)
        number = commit.number + 1
        while promise is not None and number in stored_records:
            self.tail[number] = stored_records[number]
            number += 1
        self.promise = promise
        if promise is not None and promise.epoch:
            self.lease_until = now + self.rules.grantor_duration(promise.max_lease)
        current = {record.number for record in self.table.latest.values()} | self.tail.keys()
        return [Store(f"{RECORD_PREFIX}{number}", None) for number in stored_records if number not in current]

    # ---- the lease ------------------------------------------------------------------------------------

    def is_holder(self, name: str, incarnation: int) -> bool:
        """Whether the last promise was made to this incarnation of the process."""
        return self.promise is not None and (self.promise.name, self.promise.incarnation) == (
            name,
            incarnation,
        )

    def is_unleased(self, now: float) -> bool:
        """Whether no granted lease is running."""
        return self.promise is not None and now >= self.lease_until

    def request_lease(
        self, now: float, name: str, incarnation: int, request: LeaseRequest
    ) -> tuple[bool, list[Effect]]:
        """Whether the lease is granted. A pre-vote changes nothing."""
        same = self.is_holder(name, incarnation)
        if (
            self.promise is None
            or request.epoch <= self.released_epoch
            or not (same or self.is_unleased(now))
        ):
            return False, []
        if request.epoch < self.promise.epoch or (request.epoch == self.promise.epoch and not same):
            return False, []
        if request.pre_vote:
            return True, []
        effects = self._promise(
            Promise(request.epoch, name, incarnation, max(request.lease, self.promise.max_lease))
        )
        end = now + self.rules.grantor_duration(request.lease)
        self.lease_until = max(self.lease_until, end) if same else end
        return True, effects

    def release(self, now: float, name: str, incarnation: int, release: Release) -> bool:
        """The holder has released its lease: no candidate needs to wait for it."""
        if not self.is_holder(name, incarnation) or release.epoch != self.promise.epoch:
            return False
        self.released_epoch, self.lease_until = release.epoch, now
        return True

    def _promise(self, promise: Promise) -> list[Effect]:
        if promise == self.promise:
            return []
        self.promise = promise
        return [Store(PROMISE_KEY, encode(promise))]

    # ---- the log --------------------------------------------------------------------------------------

    @property
    def last_accepted(self) -> int:
        """The last accepted number."""
        return self.table.last + len(self.tail)

    def accepted_to(self, epoch: int) -> int:
        """The number up to which all records are agreed or were accepted in this epoch."""
        number = self.table.last
        while number + 1 in self.tail and self.tail[number + 1].ballot in (epoch, AGREED_BALLOT):
            number += 1
        return number

    def has_promised_to(self, name: str, incarnation: int, epoch: int) -> bool:
        """Whether its promise is to this process in this epoch."""
        promise = self.promise or self.pending_promise
        return promise is not None and (promise.epoch, promise.name, promise.incarnation) == (
            epoch,
            name,
            incarnation,
        )

    def accept(self, name: str, incarnation: int, accept: Accept) -> tuple[bool, list[Effect]]:
        """Whether the message is of the promised epoch. Records beyond a gap are ignored until resent."""
        if not self.has_promised_to(name, incarnation, accept.epoch):
            return False, []
        effects: list[Effect] = []
        for record in accept.records:
            if record.number <= self.table.last:
                continue
            if record.number > min(self.last_accepted + 1, self.table.last + MAX_UNAGREED):
                break
            entry = Accepted(accept.epoch, record)
            if self.tail.get(record.number) != entry:
                self.tail[record.number] = entry
                effects.append(Store(f"{RECORD_PREFIX}{record.number}", encode(entry)))
        return True, effects

    def read_tail(self, after: int) -> LogTail:
        """Records accepted beyond `after`, as many as fit into one message, with the current promise."""
        start = max(after, self.table.last) + 1
        entries = [self.tail[number] for number in range(start, self.last_accepted + 1)]
        entries = entries[: count_fitting(entries, lambda entry: entry.record.size + 10)]
        return LogTail(
            self.promise.epoch, self.promise.incarnation, self.table.last, self.last_accepted, entries
        )

    def agreed_records(self, number: int, epoch: int) -> list[Record]:
        """Accepted records that are agreed, as the coordinator of `epoch` has agreed up to `number`."""
        return [
            self.tail[n].record for n in range(self.table.last + 1, min(number, self.accepted_to(epoch)) + 1)
        ]

    def persist(self, change: Change) -> list[Effect]:
        """Stores a change of the table, in an order that is safe against a crash between any two effects."""
        new = {record.number: record for record in change.new_records}
        removed = set(change.removed)
        stores: list[Effect] = []
        for number, record in new.items():
            stored_entry = self.tail.get(number)
            if number not in removed and (stored_entry is None or stored_entry.record != record):
                stores.append(Store(f"{RECORD_PREFIX}{number}", encode(Accepted(AGREED_BALLOT, record))))
        passed = [number for number in self.tail if number <= self.table.last]
        invalid = {number for number in passed if self.tail.pop(number).record != new.get(number)}
        if change.complete:
            invalid |= removed
        invalid -= {record.number for record in self.table.latest.values()}
        stores.append(Store(COMMIT_KEY, encode(Commit(self.table.last, self.table.floor, sorted(invalid)))))
        return stores + [Store(f"{RECORD_PREFIX}{number}", None) for number in sorted(removed | invalid)]

    # ---- without stored state -------------------------------------------------------------------------

    def start_blank(self) -> list[Effect]:
        """No other voter has stored state either: the fleet starts for the first time."""
        return [
            *self._promise(Promise()),
            LogLine("authority: a voter from now on, as no voter has stored state"),
        ]

    def on_admission(self, name: str, admission: Admission) -> None:
        """Admitted by the coordinator; takes effect with `join_if_caught_up`."""
        if self.promise is None:
            self.pending_promise = Promise(
                admission.epoch, name, admission.coordinator_incarnation, self.rules.lease
            )
            self.join_target = admission.end

    def join_if_caught_up(self, now: float) -> list[Effect]:
        """Starts voting once it has the coordinator's log."""
        if (
            self.promise is not None
            or self.pending_promise is None
            or self.accepted_to(self.pending_promise.epoch) < self.join_target
        ):
            return []
        self.lease_until = now + self.rules.grantor_duration(self.rules.lease)
        note = LogLine(f"authority: a voter from now on, admitted in epoch {self.pending_promise.epoch}")
        return [*self._promise(self.pending_promise), note]
