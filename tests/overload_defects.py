"""Planted defects of the ledger: each checker must find them."""

from __future__ import annotations

import math
from functools import partial

from aspenrill.fleet.overload.leases import Standing, Voter
from aspenrill.fleet.overload.ledger import Ledger
from aspenrill.fleet.overload.loans import Borrower, Held, Lender, whole
from aspenrill.fleet.overload.rules import Rules
from aspenrill.fleet.overload.wire import Ack, Grant


class GrantsFirst(Lender):
    """Lowers its own part a little after it has granted."""

    def lent(self, now, kind):
        last = now + self.rules.owed - 0.6
        return sum(
            max((a[kind] for a, end in owed.grants.values() if now < end <= last), default=0.0)
            for owed in self.owed.values()
        )


class Forgetful(Lender):
    """Forgets what it owes when the borrower asks anew."""

    def ask(self, now, name, incarnation, ask, free):
        if (name, incarnation) in self.owed:
            self.owed[name, incarnation].grants = {}
        return super().ask(now, name, incarnation, ask, free)


class Doubling(Borrower):
    """Adds what comes twice."""

    def grant(self, lender, grant):
        held = self.held.setdefault(lender, Held())
        held.have, held.end = grant.number, held.sent_at + self.rules.loan
        held.amounts = tuple(a + b for a, b in zip(held.amounts, whole(grant.amounts), strict=True))


class NeverFalls(Standing):
    """Keeps its part once it has had a majority."""

    def until(self):
        return math.inf if super().until() > -math.inf else -math.inf


class NotMute(Voter):
    """Votes at once after a start."""

    def __init__(self, rules, now):
        super().__init__(rules, now)
        self.mute_until = -math.inf


class Hasty(Rules):
    """T2 is shorter than T1."""

    silence = property(lambda self: 1.0)


class NoRegret(Rules):
    """A voter acknowledges at once whom it has called silent."""

    regret = property(lambda self: 0.0)


class NoDrift(Rules):
    """Nothing is waited for drift."""

    owed = property(lambda self: self.loan)
    silence = property(lambda self: self.lease + self.loan)


def made(parts, rules, name, incarnation, now, sole):
    """A ledger with some parts replaced."""
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
    for key in ("lender", "borrower", "standing"):
        if key in parts:
            setattr(ledger, key, parts[key](rules))
    if "voter" in parts and ledger.voter is not None:
        ledger.voter = parts["voter"](rules, now)
    return ledger


def with_(**parts):
    """A maker of such ledgers."""
    return partial(made, parts)


class FromReceipt(Ledger):
    """The holder counts from when the grant came."""

    def message(self, now, sender, incarnation, message):
        if isinstance(message, Grant) and sender in self.borrower.held:
            self.borrower.held[sender].sent_at = now
        return super().message(now, sender, incarnation, message)


class AckFromReceipt(Ledger):
    """The lease counts from when the acknowledgement came."""

    def message(self, now, sender, incarnation, message):
        if isinstance(message, Ack) and message.number in self.standing.sent:
            self.standing.sent[message.number] = (now, self.standing.sent[message.number][1])
        return super().message(now, sender, incarnation, message)


class Sole(Ledger):
    """Believes that no former process of its name exists."""

    def __init__(self, rules, name, incarnation, now, sole):
        super().__init__(rules, name, incarnation, now, True)


DEFECTS = {
    "the lender grants before it lowers": with_(lender=GrantsFirst),
    "the lender forgets the grant before": with_(lender=Forgetful),
    "the holder counts from receipt": with_(ledger=FromReceipt),
    "the lease counts from receipt": with_(ledger=AckFromReceipt),
    "a repeated grant counts twice": with_(borrower=Doubling),
    "no fall without a majority": with_(standing=NeverFalls),
    "no margin for drift": with_(rules=NoDrift),
    "a voter is not mute after a start": with_(voter=NotMute),
    "T2 is shorter than T1": with_(rules=Hasty),
    "who was called silent is acknowledged at once": with_(rules=NoRegret),
    "two of one name have two floors": with_(ledger=Sole),
}
