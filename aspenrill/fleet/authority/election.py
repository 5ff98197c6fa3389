"""How a voter comes to coordinate: it stands once it knows of no lease, after a random delay, first sounds
out whether a majority would grant (Ongaro, "Consensus", 2014, 9.6: who cannot win disturbs nobody), then
asks in earnest, then reads the log of a majority. Who fails ends its own leases at once and waits a little
longer.
"""

from __future__ import annotations

import random

from ..interface import Effect, Note
from .rules import Rules
from .tenure import Tenure
from .voter import Voter
from .wire import Admit, Admitted, Ask, Nothing, Promise, Read, Release, Tail, Vote, post

HASTE = 0.3  # of the usual delay, where the coordinator has handed over
ASK_AGAIN = 1.0  # seconds between two questions of a voter without a record


class Election:
    """Of one voter. `tenure` is the epoch that it asks for or coordinates in."""

    def __init__(
        self, rules: Rules, name: str, life: int, voter: Voter, rng: random.Random, now: float
    ) -> None:
        self.rules, self.name, self.life, self.voter, self.rng = rules, name, life, voter, rng
        self.others = [other for other in rules.voters if other != name]
        self.tenure: Tenure | None = None
        self.stand_at: float | None = None
        self.failures = 0
        self.again_at = now  # next round, or next reading
        self.seen = 0  # highest epoch that anybody has promised
        self.ripe_at = now + rules.hold(rules.lease)  # what a former life may have granted is over
        self.blank: set[str] = set()  # voters that never granted anything, as they have told this life
        self.leaving = False

    # ---- standing -------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Effect]:
        """One step on, where one is due."""
        if self.voter.promise is None:
            return self._without_record(now)
        if self.tenure is None:
            return self._stand(now)
        tenure = self.tenure
        if tenure.won_at is not None and not tenure.holds(now):
            return self.end(now, f"authority: epoch {tenure.epoch}: the lease of the majority is over")
        if tenure.won_at is None and (now >= tenure.asked_at + self.rules.patience or tenure.hopeless):
            return self.fail(now)
        if now >= self.again_at:
            return self.ask(now)
        return []

    def _stand(self, now: float) -> list[Effect]:
        if self.leaving or not self.voter.free(now):
            self.stand_at = None
            return []
        if self.stand_at is None:
            self.stand_at = now + self.rng.uniform(0, self.rules.spread)
        if now < self.stand_at:
            return []
        self.campaign(now)
        return self.ask(now)

    def campaign(self, now: float) -> None:
        """From the start: sounding out."""
        self.tenure = Tenure(self.rules, self.life, self._above_all(), now)
        self.stand_at = None

    def _above_all(self) -> int:
        self.seen = max(self.seen, self.voter.promise.epoch, self.voter.released)
        return self.seen + 1

    def ask(self, now: float) -> list[Effect]:
        """One round to all voters, itself the first: its own promise is on disk before the others hear."""
        tenure, rules = self.tenure, self.rules
        self.again_at = now + (rules.retry if tenure.won_at is None else rules.renew)
        ask = Ask(
            tenure.epoch,
            self.life,
            tenure.next_round(now),
            rules.lease,
            tenure.sounding,
            self.voter.table.last,
        )
        effects = self._vote_for_itself(now, ask)
        if not tenure.said[self.name].granted:
            return self.fail(now)
        effects += [post(other, ask) for other in self.others]
        return effects + self._advance(now)

    def _vote_for_itself(self, now: float, ask: Ask) -> list[Effect]:
        before = self.voter.promise
        granted, effects = self.voter.ask(now, self.name, self.life, ask)
        vote = Vote(ask.epoch, self.life, ask.round, ask.sound, granted, before.epoch)
        self.tenure.voted(now, self.name, vote)
        if granted and not ask.sound and self.tenure.won_at is None:
            self._read_own()
        return effects

    def _read_own(self) -> None:
        voter, tenure = self.voter, self.tenure
        entries = [voter.tail[number] for number in sorted(voter.tail)]
        tenure.read(
            self.name, Tail(tenure.epoch, self.life, voter.table.last, voter.end, entries), voter.table.last
        )

    def _advance(self, now: float) -> list[Effect]:
        """From sounding to asking once a majority would grant; to those that have granted: what have they?"""
        tenure = self.tenure
        if tenure.sounding:
            if tenure.granted < self.rules.majority:
                return []
            tenure.asking(now, self._above_all())
            return self.ask(now)
        if tenure.won_at is not None:
            return []
        unread = [other for other in self.others if other in tenure.ends and other not in tenure.whole]
        return [self.question(other) for other in unread]

    def question(self, other: str) -> Effect:
        cursor = self.tenure.cursor(other, self.voter.table.last)
        return post(other, Read(self.tenure.epoch, self.life, cursor))

    def fail(self, now: float) -> list[Effect]:
        """No majority in time: nobody is to wait for what it was granted."""
        self.failures += 1
        effects = self.end(now, "")
        self.stand_at = now + self.rng.uniform(0, 1) * self.rules.spread * 2 ** min(self.failures, 3)
        return effects

    def end(self, now: float, why: str) -> list[Effect]:
        """It uses its lease no more, from this moment on, and then says so."""
        tenure, self.tenure = self.tenure, None
        if tenure is None:
            return []
        effects: list[Effect] = [Note(why)] if why else []
        if tenure.sounding:
            return effects
        release = Release(tenure.epoch, self.life)
        self.voter.release(now, self.name, self.life, release)
        return effects + [post(other, release) for other in self.others]

    # ---- messages -------------------------------------------------------------------------------------

    def on_ask(self, now: float, sender: str, incarnation: int, ask: Ask) -> list[Effect]:
        if ask.life != incarnation:
            return []
        given_up: list[Effect] = []
        mine = self.tenure
        if mine is not None and mine.won_at is None and not ask.sound and ask.epoch > mine.epoch:
            given_up = self.end(now, "")  # of two that stand at once, the higher epoch goes on
        promised = self.voter.promise.epoch if self.voter.promise is not None else 0
        granted, effects = self.voter.ask(now, sender, incarnation, ask)
        effects += given_up
        if granted and not ask.sound:
            self.stand_at, self.failures = None, 0
            effects += self.end(now, "")  # sounding, or long over: its own voter has promised another
        return effects + [post(sender, Vote(ask.epoch, ask.life, ask.round, ask.sound, granted, promised))]

    def on_vote(self, now: float, sender: str, incarnation: int, vote: Vote) -> list[Effect]:
        tenure = self.tenure
        if vote.life != self.life:
            return []
        self.seen = max(self.seen, vote.promised)
        if tenure is None or vote.epoch != tenure.epoch or not tenure.counts(sender, incarnation):
            return []
        tenure.voted(now, sender, vote)
        if not vote.granted and vote.promised >= tenure.epoch and not tenure.sounding:
            return self._deaf(now, vote)
        return self._advance(now)

    def _deaf(self, now: float, vote: Vote) -> list[Effect]:
        """A voter has promised as high an epoch to another process, and is deaf to this one: it takes one
        above that. Where it coordinates, the other has not won, so it may stand again at once."""
        if self.tenure.won_at is None:
            return self.fail(now)
        why = f"authority: epoch {self.tenure.epoch}: a voter has promised {vote.promised}"
        effects = self.end(now, why)
        self.stand_at = now
        return effects

    def on_release(self, now: float, sender: str, incarnation: int, release: Release) -> list[Effect]:
        if release.life == incarnation and self.voter.release(now, sender, incarnation, release):
            self.stand_at = now + self.rng.uniform(0, HASTE * self.rules.spread)
        return []

    def on_read(self, now: float, sender: str, incarnation: int, read: Read) -> list[Effect]:
        if read.life != incarnation or not self.voter.accepts(sender, incarnation, read.epoch):
            return []
        return [post(sender, self.voter.read(read.after))] if self.voter.promise is not None else []

    def on_tail(self, now: float, sender: str, incarnation: int, tail: Tail) -> list[Effect]:
        tenure = self.tenure
        if tenure is None or tenure.won_at is not None or not tenure.counts(sender, incarnation):
            return []
        before = tenure.cursor(sender, self.voter.table.last)
        tenure.read(sender, tail, self.voter.table.last)
        if sender in tenure.whole or tenure.cursor(sender, self.voter.table.last) == before:
            return []
        return [self.question(sender)]

    # ---- voters without a record of former lives ------------------------------------------------------

    def _without_record(self, now: float) -> list[Effect]:
        if len(self.blank) == len(self.others):
            return self.voter.begin()
        if now < self.again_at:
            return []
        self.again_at = now + (ASK_AGAIN if self.voter.joining is None else self.rules.lease)
        return [post(other, Admit(self.life, now >= self.ripe_at)) for other in self.others]

    def on_admit(self, now: float, sender: str, incarnation: int, admit: Admit) -> list[Effect]:
        if admit.life != incarnation:
            return []
        if self.voter.promise is None or self.voter.promise == Promise():
            return [post(sender, Nothing(admit.life))]
        tenure = self.tenure
        if tenure is None or not admit.ripe:
            return []
        tenure.lost_disk(sender, incarnation)
        if tenure.won_at is None or not tenure.holds(now):
            return []
        last, end = self.voter.table.last, self.voter.end
        return [post(sender, Admitted(admit.life, tenure.epoch, self.life, last, end))]

    def on_nothing(self, now: float, sender: str, nothing: Nothing) -> list[Effect]:
        if nothing.life == self.life and self.voter.promise is None:
            self.blank.add(sender)
            if len(self.blank) == len(self.others):
                return self.voter.begin()
        return []

    def on_admitted(self, now: float, sender: str, incarnation: int, admitted: Admitted) -> list[Effect]:
        if admitted.life != self.life or admitted.mine != incarnation or now < self.ripe_at:
            return []
        self.voter.admitted(sender, admitted)
        return self.voter.join(now)
