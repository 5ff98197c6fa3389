"""The component named "authority": election, log and distribution, as `interface.Authority`.

Its facts are for the driver: each `Agreed` goes to the components of the same process whose `kinds` list it.
Other components may call `propose` and `accept_epoch` during their own calls: the resulting messages and
records go out with this component's next call, within `period` seconds.

Every call ends in `_finish_call`. Newly agreed records are reported first, then stored, then acknowledged.
Reporting needs no local disk, since the records are on those of a majority, and a failed disk must not keep a
process from learning of them.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

import msgspec

from ...errors import DiskTrouble, StateTrouble
from ..interface import Effect, Entry, LogLine, Member, Notify, Post, Put, Store, View
from .election import Election
from .follow import LogFollower
from .rules import MAX_BODY_BYTES, MAX_KEY_BYTES, MAX_KIND_BYTES, MAX_PROPOSALS, MAX_UNAGREED, Rules
from .table import Change, Table
from .voter import Voter
from .wire import (
    Accept,
    Acknowledge,
    Admission,
    AdmissionRequest,
    Chunk,
    Fetch,
    LeaseRequest,
    LogPosition,
    LogTail,
    Message,
    NeverGranted,
    ReadLog,
    Record,
    Release,
    Vote,
    count_fitting,
    decode,
    decode_as,
    encode,
    post,
)

NAME = "authority"
SEEN_EPOCH_KEY = "seen"  # key on disk of the highest epoch seen
MAX_RECORD_MESSAGES = 4  # `Accept` messages with records to one voter in one call


class AuthorityPart:
    """Implements `interface.Authority` in every process. `rng` provides the random delays."""

    name = NAME
    topics = (NAME,)
    period = 0.1

    def __init__(self, rules: Rules, rng: random.Random) -> None:
        self.rules, self.rng = rules, rng
        self.proposals: deque[tuple[str, str, bytes]] = deque()
        self.voter: Voter | None = None
        self.election: Election | None = None
        self.disk_failed = False
        self.stored_epoch = 0
        self.position: LogPosition | None = None
        self.position_at = 0.0
        self.sent_numbers: dict[str, int] = {}  # by voter: the last number sent to it in this epoch
        self.resend_at = 0.0
        self.announced_number = 0
        self.unknown_voters: set[str] = set()

    # ---- interface of the authority -------------------------------------------------------------------

    def coordinating(self, now: float) -> int | None:
        """The epoch if the majority lease is running at this moment and the log is recovered, else None."""
        leadership = self.election.leadership if self.election is not None else None
        if (
            leadership is None
            or self.disk_failed
            or leadership.won_at is None
            or not leadership.holds_lease(now)
        ):
            return None
        return leadership.epoch

    def settled(self, now: float) -> bool:
        """Coordinating, the recovered log is agreed, and all leases of earlier epochs have expired."""
        if self.coordinating(now) is None:
            return False
        leadership = self.election.leadership
        leases_expired = leadership.is_first or now >= leadership.won_at + self.rules.grantor_duration(
            self.rules.longest
        )
        return leases_expired and self.table.last >= leadership.recovered_to

    def epoch(self) -> int:
        """The highest epoch seen."""
        return self.follow.highest_epoch

    def accept_epoch(self, epoch: int) -> bool:
        """Whether an order of this epoch is valid. If so, orders of lower epochs are refused from now on."""
        if epoch < self.follow.highest_epoch:
            return False
        self.follow.highest_epoch = epoch
        return True

    def propose(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """Queues a record, if this process coordinates. A log line if the record cannot be taken."""
        if self.coordinating(now) is None:
            return []
        if (
            len(kind.encode()) > MAX_KIND_BYTES
            or len(key.encode()) > MAX_KEY_BYTES
            or len(body) > MAX_BODY_BYTES
        ):
            return [
                LogLine(f"authority: a record of kind {kind[:MAX_KIND_BYTES]!r} is too large; it is dropped")
            ]
        if len(self.proposals) >= MAX_PROPOSALS or (self.table.full and (kind, key) not in self.table.latest):
            return [LogLine(f"authority: too many records; one of kind {kind!r} is dropped")]
        self.proposals.append((kind, key, body))
        return []

    # ---- calls of the driver --------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Restores the stored state. Raises StateTrouble if any of it is malformed."""
        self.view, self.table = view, Table()
        self.follow = LogFollower(self.rules, self.table, view, self.rng, now)
        effects: list[Effect] = []
        try:
            self.stored_epoch = decode_as(int, stored[SEEN_EPOCH_KEY]) if SEEN_EPOCH_KEY in stored else 0
            if view.name in self.rules.voters:
                self.voter = Voter(self.rules, self.table, now)
                effects = self.voter.load(now, stored)
        except (msgspec.DecodeError, ValueError) as error:
            raise StateTrouble(f"records of {NAME} of {view.name}: {error}") from None
        self.follow.highest_epoch = self.stored_epoch
        if self.voter is not None:
            self.election = Election(self.rules, view.name, view.incarnation, self.voter, self.rng, now)
            self._note_epoch(self.voter.promise.epoch if self.voter.promise is not None else 0)
        records = sorted(self.table.latest.values(), key=lambda record: record.number)
        return [Notify(record.to_agreed()) for record in records] + effects + self._finish_call(now)

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """A member has changed."""
        self.follow.regroup()
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """A coordinator has announced its log position."""
        if not entry.value or entry.origin not in self.rules.voters:
            return []
        try:
            position = decode_as(LogPosition, entry.value)
        except msgspec.DecodeError:
            return []
        self._note_epoch(position.epoch)
        self.follow.note_agreed(now, position.number)
        return self._finish_call(now)

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """A message from the authority of another process."""
        message = decode(body)
        if message is None:
            return []
        self._acknowledge_own()
        return self._handle(now, sender, incarnation, message) + self._finish_call(now)

    def on_tick(self, now: float) -> list[Effect]:
        """Runs fetches, election and renewals that are due."""
        self._acknowledge_own()
        effects = self.follow.tick(now)
        if self.election is not None and not self.disk_failed:
            effects += self.election.tick(now)
        return effects + self._finish_call(now)

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """Stops voting and coordinating in this incarnation; it still follows the log."""
        if self.disk_failed:
            return []
        self.disk_failed = True
        failure = DiskTrouble(f"{NAME}: {key} could not be written")
        return [LogLine(failure.line())] + self._step_down(now)

    def on_leave(self, now: float) -> list[Effect]:
        """Releases the lease before the process ends."""
        effects = self._step_down(now)
        # sent three times in all, since there is no later retry
        effects += [effect for effect in effects if isinstance(effect, Post)] * 2
        if self.election is not None:
            self.election.leaving = True
        return effects

    def _step_down(self, now: float) -> list[Effect]:
        if self.election is None:
            return []
        return self.election.release_lease(now, "") + self._withdraw_position()

    # ---- messages -------------------------------------------------------------------------------------

    def _handle(self, now: float, sender: str, incarnation: int, message: Message) -> list[Effect]:
        if isinstance(message, Fetch):
            return self.follow.on_fetch(now, sender, message)
        if isinstance(message, Chunk):
            self._note_epoch(message.epoch)
            before = self.table.last
            change = self.follow.on_chunk(now, sender, message)
            return self._after_change(now, before, change) if change is not None else []
        if self.voter is None or self.disk_failed or sender == self.view.name:
            return []
        if sender not in self.rules.voters:
            return self._report_unknown_voter(sender)
        return self._handle_voting(now, sender, incarnation, message)

    def _handle_voting(self, now: float, sender: str, incarnation: int, message: Message) -> list[Effect]:
        election = self.election
        match message:
            case LeaseRequest():
                effects = election.on_lease_request(now, sender, incarnation, message)
                if self.voter.promise is not None:
                    self._note_epoch(self.voter.promise.epoch)
                self.follow.note_agreed(now, message.number)
                return effects
            case Vote():
                return election.on_vote(now, sender, incarnation, message)
            case Release():
                return election.on_release(now, sender, incarnation, message)
            case ReadLog():
                return election.on_read_log(now, sender, incarnation, message)
            case LogTail():
                self.follow.note_agreed(now, message.number)
                return election.on_log_tail(now, sender, incarnation, message)
            case Accept():
                return self._on_accept(now, sender, incarnation, message)
            case Acknowledge():
                leadership = election.leadership
                if (
                    leadership is not None
                    and (message.epoch, message.incarnation) == (leadership.epoch, leadership.incarnation)
                    and leadership.is_valid_voter(sender, incarnation)
                ):
                    leadership.record_ack(sender, message.up_to)
            case AdmissionRequest():
                return election.on_admission_request(now, sender, incarnation, message)
            case NeverGranted():
                return election.on_never_granted(now, sender, message)
            case Admission():
                self.follow.note_agreed(now, message.number)
                return election.on_admission(now, sender, incarnation, message)
        return []

    def _report_unknown_voter(self, sender: str) -> list[Effect]:
        if sender in self.unknown_voters or len(self.unknown_voters) >= MAX_PROPOSALS:
            return []
        self.unknown_voters.add(sender)
        return [LogLine(f"authority: {sender} acts as a voter but is none here; compare its configuration")]

    def _on_accept(self, now: float, sender: str, incarnation: int, accept: Accept) -> list[Effect]:
        if accept.incarnation != incarnation:
            return []
        accepted, effects = self.voter.accept(sender, incarnation, accept)
        self.follow.note_agreed(now, accept.number)
        if not accepted:
            return []
        before = self.table.last
        records = self.voter.agreed_records(accept.number, accept.epoch)
        if records:
            effects += self._after_change(now, before, self.table.apply(records, records[-1].number))
        effects += self.voter.join_if_caught_up(now)
        if self.voter.promise is None:
            return effects
        return effects + [
            post(sender, Acknowledge(accept.epoch, incarnation, self.voter.accepted_to(accept.epoch)))
        ]

    def _after_change(self, now: float, before: int, change: Change) -> list[Effect]:
        """Reports, stores and forwards a change of the table."""
        effects: list[Effect] = [Notify(record.to_agreed()) for record in change.new_records]
        if self.voter is not None and not self.disk_failed:
            effects += self.voter.persist(change) + self.voter.join_if_caught_up(now)
        return effects + self.follow.forward(before)

    # ---- at the end of each call ----------------------------------------------------------------------

    def _acknowledge_own(self) -> None:
        """Counts its own acceptance: the previous call's records are on disk unless `disk_failed` is set."""
        leadership = self.election.leadership if self.election is not None else None
        if leadership is not None and leadership.won_at is not None and not self.disk_failed:
            leadership.record_ack(self.view.name, self.voter.accepted_to(leadership.epoch))

    def _note_epoch(self, epoch: int) -> None:
        self.follow.highest_epoch = max(self.follow.highest_epoch, epoch)

    def _finish_call(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self.follow.highest_epoch > self.stored_epoch and not self.disk_failed:
            self.stored_epoch = self.follow.highest_epoch
            effects.append(Store(SEEN_EPOCH_KEY, encode(self.stored_epoch)))
        leadership = self.election.leadership if self.election is not None and not self.disk_failed else None
        if leadership is None:
            self.proposals.clear()
            return effects + self._withdraw_position()
        self.election.highest_epoch = max(self.election.highest_epoch, self.follow.highest_epoch)
        if leadership.won_at is None:
            if not leadership.pre_voting and leadership.recovery_complete(now, self.table.last):
                effects += self._win(now)
            return effects
        return effects + self._coordinate(now)

    def _win(self, now: float) -> list[Effect]:
        leadership = self.election.leadership
        records = leadership.win(now, self.table.last)
        self.election.failed_elections = 0
        self._note_epoch(leadership.epoch)
        self.proposals.clear()
        self.sent_numbers = {other: self.table.last for other in self.election.others}
        self.resend_at, self.announced_number = now, 0
        self.election.next_round_at = now + self.rules.renew
        note = LogLine(
            f"authority: coordinates in epoch {leadership.epoch}, "
            f"log recovered up to {leadership.recovered_to}"
        )
        return [note] + self._accept_own(records)

    def _accept_own(self, records: list[Record]) -> list[Effect]:
        leadership = self.election.leadership
        accept = Accept(leadership.epoch, leadership.incarnation, self.table.last, records)
        return self.voter.accept(self.view.name, leadership.incarnation, accept)[1]

    def _coordinate(self, now: float) -> list[Effect]:
        leadership, before = self.election.leadership, self.table.last
        effects: list[Effect] = []
        if records := self.voter.agreed_records(leadership.agreed_number(), leadership.epoch):
            effects += self._after_change(now, before, self.table.apply(records, records[-1].number))
        if leadership.holds_lease(now):
            effects += self._assign_numbers()
        return effects + self._send(now) + self._publish_position(now)

    def _assign_numbers(self) -> list[Effect]:
        """Assigns numbers to queued proposals, as far as MAX_UNAGREED allows."""
        leadership, records, number = self.election.leadership, [], self.voter.last_accepted
        while self.proposals and number < self.table.last + MAX_UNAGREED:
            number += 1
            records.append(Record(number, leadership.epoch, *self.proposals.popleft()))
        return self._accept_own(records) if records else []

    def _send(self, now: float) -> list[Effect]:
        """Sends new records to each voter, and unacknowledged ones again every `retry_interval`."""
        resend = now >= self.resend_at
        if resend:
            self.resend_at = now + self.rules.retry_interval
        effects: list[Effect] = []
        for other in self.election.others:
            acknowledged = self.election.leadership.acknowledged_to.get(other, 0)
            if resend and acknowledged < self.voter.last_accepted:
                self.sent_numbers[other] = min(self.sent_numbers[other], acknowledged)
            effects += self._send_to(other, resend and acknowledged < self.table.last)
        self.announced_number = self.table.last
        return effects

    def _send_to(self, other: str, announce: bool) -> list[Effect]:
        leadership, effects = self.election.leadership, []
        after = max(self.sent_numbers[other], self.table.last)
        entries = [self.voter.tail[n].record for n in range(after + 1, self.voter.last_accepted + 1)]
        while entries and len(effects) < MAX_RECORD_MESSAGES:
            count = count_fitting(entries)
            effects.append(
                post(
                    other, Accept(leadership.epoch, leadership.incarnation, self.table.last, entries[:count])
                )
            )
            self.sent_numbers[other] = entries[count - 1].number
            entries = entries[count:]
        if not effects and (announce or self.announced_number < self.table.last):
            effects.append(post(other, Accept(leadership.epoch, leadership.incarnation, self.table.last, [])))
        return effects

    def _publish_position(self, now: float) -> list[Effect]:
        """Updates its gossip entry, at most every `retry_interval` seconds."""
        position = LogPosition(self.election.leadership.epoch, self.table.last)
        if position == self.position or now < self.position_at:
            return []
        self.position, self.position_at = position, now + self.rules.retry_interval
        return [Put(NAME, encode(position))]

    def _withdraw_position(self) -> list[Effect]:
        if self.position is None:
            return []
        self.position = None
        return [Put(NAME, b"")]
