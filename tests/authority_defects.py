"""Planted defects: each removes one of the mechanisms that the safety of the authority depends on."""

from __future__ import annotations

from aspenrill.fleet.authority import AuthorityComponent
from aspenrill.fleet.authority import election as election_module
from aspenrill.fleet.authority import part as part_module
from aspenrill.fleet.authority.leadership import Leadership
from aspenrill.fleet.authority.voter import Voter
from aspenrill.fleet.authority.wire import Promise
from aspenrill.fleet.interface import Store


class AnswersBeforeStoring(AuthorityComponent):
    def on_message(self, now, sender, incarnation, body):
        return sorted(super().on_message(now, sender, incarnation, body), key=lambda e: isinstance(e, Store))


class ForgetsPromise(Voter):
    def load(self, now, stored):
        effects = super().load(now, stored)
        self.promise, self.lease_until = Promise(), now
        return effects


class IgnoresLeaseAfterRestart(Voter):
    def load(self, now, stored):
        effects = super().load(now, stored)
        self.lease_until = now
        return effects


class VotesAfterDiskLoss(Voter):
    def load(self, now, stored):
        effects = super().load(now, stored)
        self.promise = self.promise or Promise()
        return effects


class EndsGrantsEarly(Voter):
    def request_lease(self, now, name, incarnation, request):
        granted = super().request_lease(now, name, incarnation, request)
        self.lease_until = min(self.lease_until, now + 0.5 * request.lease)
        return granted


class IgnoresEpochs(Voter):
    def has_promised_to(self, name, incarnation, epoch):
        return self.promise is not None


class CountsLeaseFromReceipt(Leadership):
    def record_vote(self, now, voter, vote):
        if vote.round in self.round_sent_at:
            self.round_sent_at[vote.round] = now
        super().record_vote(now, voter, vote)


class AgreesByMinority(Leadership):
    def agreed_number(self):
        return max(self.acknowledged_to.values(), default=0)


class RecoversWithoutMajority(Leadership):
    def recovery_complete(self, now, last):
        return self.holds_lease(now)


class KeepsExpiredLease(Leadership):
    def holds_lease(self, now):
        return self.lease_end() > float("-inf")


ALL = [
    AnswersBeforeStoring,
    ForgetsPromise,
    IgnoresLeaseAfterRestart,
    VotesAfterDiskLoss,
    EndsGrantsEarly,
    IgnoresEpochs,
    CountsLeaseFromReceipt,
    AgreesByMinority,
    RecoversWithoutMajority,
    KeepsExpiredLease,
]


def plant(monkeypatch, defect):
    """Installs the defect; returns the component class to use."""
    if issubclass(defect, Voter):
        monkeypatch.setattr(part_module, "Voter", defect)
    elif issubclass(defect, Leadership):
        monkeypatch.setattr(election_module, "Leadership", defect)
    return defect if issubclass(defect, AuthorityComponent) else AuthorityComponent
