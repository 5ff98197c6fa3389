"""Coordinator election of one voter.

A voter that knows of no running lease becomes a candidate after a random delay. It runs a pre-vote first
(Ongaro, "Consensus", 2014, 9.6: a candidate that cannot win disturbs nobody), then requests leases, then
reads the log of a majority. A failed candidate releases its leases at once and waits longer next time.
"""

from __future__ import annotations

import random

from ..interface import Effect, LogLine
from .leadership import Leadership
from .rules import Rules
from .voter import Voter
from .wire import (
    Admission,
    AdmissionRequest,
    LeaseRequest,
    LogTail,
    NeverGranted,
    Promise,
    ReadLog,
    Release,
    Vote,
    post,
)

HANDOVER_DELAY_FACTOR = 0.3  # fraction of the candidacy delay after a coordinator released its lease
ADMISSION_RETRY = 1.0  # seconds between admission requests of a voter without stored state


class Election:
    """Election state of one voter. `leadership` is the epoch that it runs for or coordinates in."""

    def __init__(
        self, rules: Rules, name: str, incarnation: int, voter: Voter, rng: random.Random, now: float
    ) -> None:
        self.rules, self.name, self.incarnation, self.voter, self.rng = rules, name, incarnation, voter, rng
        self.others = [other for other in rules.voters if other != name]
        self.leadership: Leadership | None = None
        self.candidacy_at: float | None = None
        self.failed_elections = 0
        self.next_round_at = now  # when the next round of requests is due
        self.highest_epoch = 0  # highest epoch that anybody has promised
        # when leases granted by an earlier incarnation have expired
        self.grants_expired_at = now + rules.grantor_duration(rules.lease)
        # voters that reported to this incarnation that they never granted a lease
        self.blank_voters: set[str] = set()
        self.leaving = False

    # ---- candidacy ------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Effect]:
        """Takes the next step of the election or of the leadership, if one is due."""
        if self.voter.promise is None:
            return self._tick_blank(now)
        if self.leadership is None:
            return self._consider_candidacy(now)
        leadership = self.leadership
        if leadership.won_at is not None and not leadership.holds_lease(now):
            return self.release_lease(
                now, f"authority: epoch {leadership.epoch}: the majority lease has expired"
            )
        if leadership.won_at is None and (
            now >= leadership.requested_at + self.rules.election_timeout or leadership.cannot_win
        ):
            return self.fail(now)
        if now >= self.next_round_at:
            return self.send_round(now)
        return []

    def _consider_candidacy(self, now: float) -> list[Effect]:
        if self.leaving or not self.voter.is_unleased(now):
            self.candidacy_at = None
            return []
        if self.candidacy_at is None:
            self.candidacy_at = now + self.rng.uniform(0, self.rules.election_delay)
        if now < self.candidacy_at:
            return []
        self.campaign(now)
        return self.send_round(now)

    def campaign(self, now: float) -> None:
        """Starts a pre-vote."""
        self.leadership = Leadership(self.rules, self.incarnation, self._next_epoch(), now)
        self.candidacy_at = None

    def _next_epoch(self) -> int:
        self.highest_epoch = max(self.highest_epoch, self.voter.promise.epoch, self.voter.released_epoch)
        return self.highest_epoch + 1

    def send_round(self, now: float) -> list[Effect]:
        """Sends one round of lease requests to all voters.

        Its own vote comes first, so its promise is on disk before the requests go out.
        """
        leadership, rules = self.leadership, self.rules
        self.next_round_at = now + (rules.retry_interval if leadership.won_at is None else rules.renew)
        request = LeaseRequest(
            leadership.epoch,
            self.incarnation,
            leadership.next_round(now),
            rules.lease,
            leadership.pre_voting,
            self.voter.table.last,
        )
        effects = self._vote_for_self(now, request)
        if not leadership.votes[self.name].granted:
            return self.fail(now)
        effects += [post(other, request) for other in self.others]
        return effects + self._advance(now)

    def _vote_for_self(self, now: float, request: LeaseRequest) -> list[Effect]:
        before = self.voter.promise
        granted, effects = self.voter.request_lease(now, self.name, self.incarnation, request)
        vote = Vote(request.epoch, self.incarnation, request.round, request.pre_vote, granted, before.epoch)
        self.leadership.record_vote(now, self.name, vote)
        if granted and not request.pre_vote and self.leadership.won_at is None:
            self._record_own_tail()
        return effects

    def _record_own_tail(self) -> None:
        voter, leadership = self.voter, self.leadership
        entries = [voter.tail[number] for number in sorted(voter.tail)]
        leadership.record_tail(
            self.name,
            LogTail(leadership.epoch, self.incarnation, voter.table.last, voter.last_accepted, entries),
            voter.table.last,
        )

    def _advance(self, now: float) -> list[Effect]:
        """Goes from the pre-vote to lease requests once a majority would grant.

        After that, reads the logs of the voters that have granted.
        """
        leadership = self.leadership
        if leadership.pre_voting:
            if leadership.granted_count < self.rules.majority:
                return []
            leadership.start_lease_requests(now, self._next_epoch())
            return self.send_round(now)
        if leadership.won_at is not None:
            return []
        unread = [
            other
            for other in self.others
            if other in leadership.lease_ends and other not in leadership.fully_read
        ]
        return [self.read_request(other) for other in unread]

    def read_request(self, other: str) -> Effect:
        """Requests the part of a voter's log that was not read yet."""
        after = self.leadership.read_to(other, self.voter.table.last)
        return post(other, ReadLog(self.leadership.epoch, self.incarnation, after))

    def fail(self, now: float) -> list[Effect]:
        """Gives up the election; releases granted leases so that no voter waits for them."""
        self.failed_elections += 1
        effects = self.release_lease(now, "")
        self.candidacy_at = now + self.rng.uniform(0, 1) * self.rules.election_delay * 2 ** min(
            self.failed_elections, 3
        )
        return effects

    def release_lease(self, now: float, reason: str) -> list[Effect]:
        """Stops using the lease from this moment on, and announces the release."""
        leadership, self.leadership = self.leadership, None
        if leadership is None:
            return []
        effects: list[Effect] = [LogLine(reason)] if reason else []
        if leadership.pre_voting:
            return effects
        release = Release(leadership.epoch, self.incarnation)
        self.voter.release(now, self.name, self.incarnation, release)
        return effects + [post(other, release) for other in self.others]

    # ---- messages -------------------------------------------------------------------------------------

    def on_lease_request(
        self, now: float, sender: str, incarnation: int, request: LeaseRequest
    ) -> list[Effect]:
        """Answers a lease request; if it is granted, this process stops its own candidacy."""
        if request.incarnation != incarnation:
            return []
        given_up: list[Effect] = []
        current = self.leadership
        if (
            current is not None
            and current.won_at is None
            and not request.pre_vote
            and request.epoch > current.epoch
        ):
            given_up = self.release_lease(now, "")  # of two candidates, the higher epoch continues
        promised = self.voter.promise.epoch if self.voter.promise is not None else 0
        granted, effects = self.voter.request_lease(now, sender, incarnation, request)
        effects += given_up
        if granted and not request.pre_vote:
            self.candidacy_at, self.failed_elections = None, 0
            # a pre-vote or an expired leadership: its own voter has promised another process
            effects += self.release_lease(now, "")
        return effects + [
            post(
                sender,
                Vote(request.epoch, request.incarnation, request.round, request.pre_vote, granted, promised),
            )
        ]

    def on_vote(self, now: float, sender: str, incarnation: int, vote: Vote) -> list[Effect]:
        """Records a vote for this epoch and takes the next step of the election."""
        leadership = self.leadership
        if vote.incarnation != self.incarnation:
            return []
        self.highest_epoch = max(self.highest_epoch, vote.promised)
        if (
            leadership is None
            or vote.epoch != leadership.epoch
            or not leadership.is_valid_voter(sender, incarnation)
        ):
            return []
        leadership.record_vote(now, sender, vote)
        if not vote.granted and vote.promised >= leadership.epoch and not leadership.pre_voting:
            return self._on_higher_promise(now, vote)
        return self._advance(now)

    def _on_higher_promise(self, now: float, vote: Vote) -> list[Effect]:
        """A voter has promised an equal or higher epoch to another process and ignores this one.

        Only a higher epoch helps. If this process coordinates, the other has not won, so it may become a
        candidate again at once.
        """
        if self.leadership.won_at is None:
            return self.fail(now)
        reason = f"authority: epoch {self.leadership.epoch}: a voter has promised epoch {vote.promised}"
        effects = self.release_lease(now, reason)
        self.candidacy_at = now
        return effects

    def on_release(self, now: float, sender: str, incarnation: int, release: Release) -> list[Effect]:
        """Releases the lease that the sender held; a candidacy here starts after a short delay."""
        if release.incarnation == incarnation and self.voter.release(now, sender, incarnation, release):
            self.candidacy_at = now + self.rng.uniform(0, HANDOVER_DELAY_FACTOR * self.rules.election_delay)
        return []

    def on_read_log(self, now: float, sender: str, incarnation: int, read: ReadLog) -> list[Effect]:
        """Sends the requested part of the log to the process that holds the promise of this voter."""
        if read.incarnation != incarnation or not self.voter.has_promised_to(sender, incarnation, read.epoch):
            return []
        return [post(sender, self.voter.read_tail(read.after))] if self.voter.promise is not None else []

    def on_log_tail(self, now: float, sender: str, incarnation: int, tail: LogTail) -> list[Effect]:
        """Records a part of a voter's log, and requests the next part if one is missing."""
        leadership = self.leadership
        if (
            leadership is None
            or leadership.won_at is not None
            or not leadership.is_valid_voter(sender, incarnation)
        ):
            return []
        before = leadership.read_to(sender, self.voter.table.last)
        leadership.record_tail(sender, tail, self.voter.table.last)
        if sender in leadership.fully_read or leadership.read_to(sender, self.voter.table.last) == before:
            return []
        return [self.read_request(sender)]

    # ---- voters without stored state ------------------------------------------------------------------

    def _tick_blank(self, now: float) -> list[Effect]:
        if len(self.blank_voters) == len(self.others):
            return self.voter.start_blank()
        if now < self.next_round_at:
            return []
        self.next_round_at = now + (
            ADMISSION_RETRY if self.voter.pending_promise is None else self.rules.lease
        )
        return [
            post(other, AdmissionRequest(self.incarnation, now >= self.grants_expired_at))
            for other in self.others
        ]

    def on_admission_request(
        self, now: float, sender: str, incarnation: int, request: AdmissionRequest
    ) -> list[Effect]:
        """Answers a voter without stored state: never granted, or the state it may start from."""
        if request.incarnation != incarnation:
            return []
        if self.voter.promise is None or self.voter.promise == Promise():
            return [post(sender, NeverGranted(request.incarnation))]
        leadership = self.leadership
        if leadership is None or not request.grants_expired:
            return []
        leadership.forget_voter(sender, incarnation)
        if leadership.won_at is None or not leadership.holds_lease(now):
            return []
        last, end = self.voter.table.last, self.voter.last_accepted
        return [post(sender, Admission(request.incarnation, leadership.epoch, self.incarnation, last, end))]

    def on_never_granted(self, now: float, sender: str, answer: NeverGranted) -> list[Effect]:
        """Starts the voter with blank state once all other voters report that they never granted."""
        if answer.incarnation == self.incarnation and self.voter.promise is None:
            self.blank_voters.add(sender)
            if len(self.blank_voters) == len(self.others):
                return self.voter.start_blank()
        return []

    def on_admission(self, now: float, sender: str, incarnation: int, admission: Admission) -> list[Effect]:
        """Records an admission by the coordinator; the voter joins once its log has caught up."""
        if (
            admission.incarnation != self.incarnation
            or admission.coordinator_incarnation != incarnation
            or now < self.grants_expired_at
        ):
            return []
        self.voter.on_admission(sender, admission)
        return self.voter.join_if_caught_up(now)
