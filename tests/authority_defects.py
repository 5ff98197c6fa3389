"""Planted defects: each takes away one of the things that the promises rest on."""

from __future__ import annotations

from aspenrill.fleet.authority import AuthorityPart
from aspenrill.fleet.authority import election as election_module
from aspenrill.fleet.authority import part as part_module
from aspenrill.fleet.authority.tenure import Tenure
from aspenrill.fleet.authority.voter import Voter
from aspenrill.fleet.authority.wire import Promise
from aspenrill.fleet.interface import Store


class AnswersBeforeTheDisk(AuthorityPart):
    def on_message(self, now, sender, incarnation, body):
        return sorted(super().on_message(now, sender, incarnation, body), key=lambda e: isinstance(e, Store))


class ForgetsItsPromise(Voter):
    def load(self, now, stored):
        effects = super().load(now, stored)
        self.promise, self.until = Promise(), now
        return effects


class WaitsForNothingAfterRestart(Voter):
    def load(self, now, stored):
        effects = super().load(now, stored)
        self.until = now
        return effects


class VotesWithoutItsDisk(Voter):
    def load(self, now, stored):
        effects = super().load(now, stored)
        self.promise = self.promise or Promise()
        return effects


class EndsItsGrantsEarly(Voter):
    def ask(self, now, who, life, ask):
        granted = super().ask(now, who, life, ask)
        self.until = min(self.until, now + 0.5 * ask.span)
        return granted


class ChecksNoEpoch(Voter):
    def accepts(self, who, life, epoch):
        return self.promise is not None


class CountsFromReceipt(Tenure):
    def voted(self, now, voter, vote):
        if vote.round in self.sent:
            self.sent[vote.round] = now
        super().voted(now, voter, vote)


class AgreesByAMinority(Tenure):
    def agreed(self):
        return max(self.acked.values(), default=0)


class ReadsNoMajority(Tenure):
    def complete(self, now, last):
        return self.holds(now)


class KeepsItsLease(Tenure):
    def holds(self, now):
        return self.end() > float("-inf")


ALL = [
    AnswersBeforeTheDisk,
    ForgetsItsPromise,
    WaitsForNothingAfterRestart,
    VotesWithoutItsDisk,
    EndsItsGrantsEarly,
    ChecksNoEpoch,
    CountsFromReceipt,
    AgreesByAMinority,
    ReadsNoMajority,
    KeepsItsLease,
]


def plant(monkeypatch, defect):
    """Puts it in place; the part's class to use."""
    if issubclass(defect, Voter):
        monkeypatch.setattr(part_module, "Voter", defect)
    elif issubclass(defect, Tenure):
        monkeypatch.setattr(election_module, "Tenure", defect)
    return defect if issubclass(defect, AuthorityPart) else AuthorityPart
