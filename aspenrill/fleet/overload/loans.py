"""Capacity loans between two processes: the lender lowers its share first, and the borrower stops using it
first.

There is one loan at a time between a lender and a borrower; each request names the total amounts wanted. A
borrower uses only the grant to its latest request, and names the grant in use in the next request. So the
lender owes at most the larger of two grants, and lost, late, repeated or reordered messages change nothing
else.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from .rules import KINDS, Rules
from .wire import LoanGrant, LoanRequest

MAX_LOANS = 64  # borrowers of a lender, and lenders of a borrower
NO_AMOUNTS = (0.0,) * len(KINDS)


def normalized(amounts: tuple[float, ...]) -> tuple[float, ...]:
    """One amount for each kind; kinds that the other side does not know are 0."""
    return (amounts + NO_AMOUNTS)[: len(KINDS)]


class LoanAccount:
    """The grants of a lender to one incarnation of a borrower, by number: amounts and end."""

    __slots__ = ("number", "grants")

    def __init__(self) -> None:
        self.number = 0
        self.grants: dict[int, tuple[tuple[float, ...], float]] = {}


class Lender:
    """The loans that a process has granted."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.accounts: dict[tuple[str, int], LoanAccount] = {}

    def lent(self, now: float, kind: int) -> float:
        """Share of the total capacity that is lent, or may still be in use by a borrower."""
        return sum(
            max((a[kind] for a, end in account.grants.values() if end > now), default=0.0)
            for account in self.accounts.values()
        )

    def committed(self, now: float, kind: int) -> float:
        """Share of the total capacity that the latest grants lend, once all borrowers have received them."""
        latest = (account.grants.get(account.number) for account in self.accounts.values())
        return sum(grant[0][kind] for grant in latest if grant is not None and grant[1] > now)

    def last_end(self) -> float:
        """When the last loan ends."""
        return max(
            (end for account in self.accounts.values() for _, end in account.grants.values()),
            default=-math.inf,
        )

    def on_request(
        self, now: float, name: str, incarnation: int, request: LoanRequest, available: Callable[[int], float]
    ) -> LoanGrant | None:
        """Grant up to what `available` returns for each kind. Where it is negative, less is granted than
        before, but the former grant counts until the borrower has named the new one. None: an old or repeated
        request."""
        self.sweep(now)
        account = self.accounts.get((name, incarnation))
        if account is None:
            if len(self.accounts) >= MAX_LOANS:
                return None
            account = self.accounts[name, incarnation] = LoanAccount()
        if request.number <= account.number:
            return None
        wanted = normalized(request.amounts)
        account.number = request.number
        current = account.grants.get(request.current_grant)
        account.grants = {}
        retained = NO_AMOUNTS
        if current is not None and current[1] > now:  # in use by the borrower until it has our answer
            retained = tuple(map(min, current[0], wanted))
            account.grants[request.current_grant] = (retained, current[1])
        granted = tuple(max(0.0, min(wanted[i], retained[i] + available(i))) for i in range(len(KINDS)))
        if any(granted):
            account.grants[request.number] = (granted, now + self.rules.loan_timeout)
        return LoanGrant(incarnation, request.number, granted)

    def sweep(self, now: float) -> None:
        """Remove loans that have ended. A late request from before is granted anew: its sender no longer uses
        the old grant."""
        for key in [
            k for k, account in self.accounts.items() if all(end <= now for _, end in account.grants.values())
        ]:
            del self.accounts[key]


class BorrowedLoan:
    """A loan as its borrower sees it."""

    __slots__ = ("number", "sent_at", "answered", "wanted", "current_grant", "amounts", "end")

    def __init__(self) -> None:
        self.number, self.sent_at, self.answered = 0, -math.inf, True  # the latest request
        self.wanted = NO_AMOUNTS
        self.current_grant, self.amounts, self.end = 0, NO_AMOUNTS, -math.inf  # the grant in use


class Borrower:
    """The loans that a process has received. They are never lent on."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.number = 0
        self.loans: dict[str, BorrowedLoan] = {}

    def pieces(self, now: float, kind: int) -> list[tuple[float, float]]:
        """(end, share of the total capacity) of each loan in force."""
        return [
            (loan.end, loan.amounts[kind])
            for loan in self.loans.values()
            if loan.end > now and loan.amounts[kind]
        ]

    def request(
        self, now: float, lender: str, amounts: tuple[float, ...], worth: float
    ) -> LoanRequest | None:
        """Build a request for these total amounts; what exceeds them is no longer used from now on."""
        loan = self.loans.get(lender)
        if loan is None:
            if len(self.loans) >= MAX_LOANS:
                return None
            loan = self.loans[lender] = BorrowedLoan()
        self.number += 1
        loan.number, loan.sent_at, loan.answered = self.number, now, False
        loan.wanted = normalized(amounts)
        loan.amounts = tuple(map(min, loan.amounts, loan.wanted))
        return LoanRequest(loan.number, loan.current_grant, loan.wanted, worth)

    def on_grant(self, lender: str, grant: LoanGrant) -> None:
        """Process a grant. It counts from when the request was sent, and only if that was the latest
        request."""
        loan = self.loans.get(lender)
        if loan is None or loan.answered or grant.number != loan.number:
            return
        loan.answered = True
        loan.current_grant = grant.number
        loan.amounts = tuple(map(min, normalized(grant.amounts), loan.wanted))
        loan.end = loan.sent_at + self.rules.loan

    def sweep(self, now: float) -> None:
        """Remove loans that have ended and are not requested again."""
        for name in [
            n for n, loan in self.loans.items() if loan.end <= now and loan.sent_at + self.rules.loan <= now
        ]:
            del self.loans[name]
