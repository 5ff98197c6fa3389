"""Ledgers with one planted defect each, which the checks must detect."""

from __future__ import annotations

import math
from functools import partial

from aspenrill.fleet.overload.leases import LeaseHolder, Voter
from aspenrill.fleet.overload.ledger import Ledger
from aspenrill.fleet.overload.loans import BorrowedLoan, Borrower, Lender, normalized
from aspenrill.fleet.overload.rules import Rules
from aspenrill.fleet.overload.wire import Ack, LoanGrant


class LowersAfterGranting(Lender):
    """Lowers its own share shortly after granting, not before."""

    def lent(self, now, kind):
        last = now + self.rules.loan_timeout - 0.6
        return sum(
            max((a[kind] for a, end in account.grants.values() if now < end <= last), default=0.0)
            for account in self.accounts.values()
        )


class ForgetsFormerGrants(Lender):
    """Forgets the earlier grants of a borrower when it requests again."""

    def on_request(self, now, name, incarnation, request, available):
        if (name, incarnation) in self.accounts:
            self.accounts[name, incarnation].grants = {}
        return super().on_request(now, name, incarnation, request, available)


class AddsRepeatedGrants(Borrower):
    """Adds a repeated grant to the loan."""

    def on_grant(self, lender, grant):
        loan = self.loans.setdefault(lender, BorrowedLoan())
        loan.current_grant, loan.end = grant.number, loan.sent_at + self.rules.loan
        loan.amounts = tuple(a + b for a, b in zip(loan.amounts, normalized(grant.amounts), strict=True))


class LeaseNeverEnds(LeaseHolder):
    """Keeps its leased share for ever after one majority."""

    def lease_end(self):
        return math.inf if super().lease_end() > -math.inf else -math.inf


class VotesAfterStart(Voter):
    """Votes at once after a start."""

    def __init__(self, rules, now):
        super().__init__(rules, now)
        self.mute_until = -math.inf


class ShortSilenceTimeout(Rules):
    """T2 is shorter than T1."""

    silence_timeout = property(lambda self: 1.0)


class NoCertificateTimeout(Rules):
    """A voter acknowledges a process at once after certifying it as silent."""

    certificate_timeout = property(lambda self: 0.0)


class NoDrift(Rules):
    """Timeouts have no margin for clock drift."""

    loan_timeout = property(lambda self: self.loan)
    silence_timeout = property(lambda self: self.lease + self.loan)


def build_ledger(parts, rules, name, incarnation, now, sole):
    """Build a ledger with some classes replaced."""
    if "rules" in parts:
        rules = parts["rules"](
            rules.count,
            rules.voters,
            lease=rules.lease,
            loan=rules.loan,
            margin=rules.margin,
            beat=rules.beat,
        )
    ledger = parts.get("ledger", Ledger)(rules, name, incarnation, now, sole)
    for key in ("lender", "borrower", "lease_holder"):
        if key in parts:
            setattr(ledger, key, parts[key](rules))
    if "voter" in parts and ledger.voter is not None:
        ledger.voter = parts["voter"](rules, now)
    return ledger


def defective(**parts):
    """A factory of such ledgers."""
    return partial(build_ledger, parts)


class FromReceipt(Ledger):
    """The borrower counts a loan from the receipt of the grant."""

    def on_message(self, now, sender, incarnation, message):
        if isinstance(message, LoanGrant) and sender in self.borrower.loans:
            self.borrower.loans[sender].sent_at = now
        return super().on_message(now, sender, incarnation, message)


class AckFromReceipt(Ledger):
    """The lease counts from the receipt of the acknowledgement."""

    def on_message(self, now, sender, incarnation, message):
        if isinstance(message, Ack) and message.number in self.lease_holder.sent:
            self.lease_holder.sent[message.number] = (now, self.lease_holder.sent[message.number][1])
        return super().on_message(now, sender, incarnation, message)


class AlwaysSole(Ledger):
    """Assumes that no earlier process of its name exists."""

    def __init__(self, rules, name, incarnation, now, sole):
        super().__init__(rules, name, incarnation, now, True)


DEFECTS = {
    "the lender grants before it lowers its share": defective(lender=LowersAfterGranting),
    "the lender forgets earlier grants": defective(lender=ForgetsFormerGrants),
    "the borrower counts from receipt": defective(ledger=FromReceipt),
    "the lease counts from receipt": defective(ledger=AckFromReceipt),
    "a repeated grant counts twice": defective(borrower=AddsRepeatedGrants),
    "the lease never ends": defective(lease_holder=LeaseNeverEnds),
    "no margin for drift": defective(rules=NoDrift),
    "a voter votes after a start": defective(voter=VotesAfterStart),
    "T2 is shorter than T1": defective(rules=ShortSilenceTimeout),
    "a silent process is acknowledged at once": defective(rules=NoCertificateTimeout),
    "two processes of one name have two floor shares": defective(ledger=AlwaysSole),
}
