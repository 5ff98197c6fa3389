"""Loans between two processes: what the lender gave up first, for a time that its holder ends first.

One loan at a time runs between a lender and a borrower; each request names the whole of what is wanted. A
borrower heeds only the grant to its latest request, and tells with the next one which grant it goes by. So
the lender owes the larger of two grants at most, and a message lost, late, twice or out of order changes
nothing else.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from .rules import KINDS, Rules
from .wire import Ask, Grant

MOST_LOANS = 64  # that a lender has out, and lenders that a borrower asks
NOTHING = (0.0,) * len(KINDS)


def whole(amounts: tuple[float, ...]) -> tuple[float, ...]:
    """One amount for each kind; kinds that the other side does not know are nothing."""
    return (amounts + NOTHING)[: len(KINDS)]


class Owed:
    """What a lender owes one incarnation of a borrower: grants by number, each with its amounts and end."""

    __slots__ = ("number", "grants")

    def __init__(self) -> None:
        self.number = 0
        self.grants: dict[int, tuple[tuple[float, ...], float]] = {}


class Lender:
    """The loans that a process has out."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.owed: dict[tuple[str, int], Owed] = {}

    def lent(self, now: float, kind: int) -> float:
        """Share of the whole that is lent out, or may still be."""
        return sum(
            max((a[kind] for a, end in owed.grants.values() if end > now), default=0.0)
            for owed in self.owed.values()
        )

    def promised(self, now: float, kind: int) -> float:
        """Share of the whole that stays lent out by the latest grants, once all have heard of them."""
        latest = (owed.grants.get(owed.number) for owed in self.owed.values())
        return sum(grant[0][kind] for grant in latest if grant is not None and grant[1] > now)

    def ends(self) -> float:
        """When the last loan is over."""
        return max((end for owed in self.owed.values() for _, end in owed.grants.values()), default=-math.inf)

    def ask(
        self, now: float, name: str, incarnation: int, ask: Ask, free: Callable[[int], float]
    ) -> Grant | None:
        """Lower by what `free` gives for a kind, then grant; where it is negative, less is granted than
        before, but the former grant counts until its holder has told that it goes by this one. None: a
        request that is old or was seen before."""
        self.sweep(now)
        owed = self.owed.get((name, incarnation))
        if owed is None:
            if len(self.owed) >= MOST_LOANS:
                return None
            owed = self.owed[name, incarnation] = Owed()
        if ask.number <= owed.number:
            return None
        wanted = whole(ask.amounts)
        owed.number = ask.number
        held = owed.grants.get(ask.have)
        owed.grants = {}
        kept = NOTHING
        if held is not None and held[1] > now:  # it goes by this one until it has our answer, and by no other
            kept = tuple(map(min, held[0], wanted))
            owed.grants[ask.have] = (kept, held[1])
        given = tuple(max(0.0, min(wanted[i], kept[i] + free(i))) for i in range(len(KINDS)))
        if any(given):
            owed.grants[ask.number] = (given, now + self.rules.owed)
        return Grant(incarnation, ask.number, given)

    def sweep(self, now: float) -> None:
        """Forget what is over. A request from before that comes late is granted anew: its sender has
        stopped."""
        for key in [k for k, owed in self.owed.items() if all(end <= now for _, end in owed.grants.values())]:
            del self.owed[key]


class Held:
    """What a borrower has from one lender."""

    __slots__ = ("number", "sent_at", "answered", "wanted", "have", "amounts", "end")

    def __init__(self) -> None:
        self.number, self.sent_at, self.answered = 0, -math.inf, True  # the latest request
        self.wanted = NOTHING
        self.have, self.amounts, self.end = 0, NOTHING, -math.inf  # the grant that it goes by


class Borrower:
    """The loans that a process has from others. They are never lent on."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.number = 0
        self.held: dict[str, Held] = {}

    def pieces(self, now: float, kind: int) -> list[tuple[float, float]]:
        """(end, share of the whole) of each loan in force."""
        return [(h.end, h.amounts[kind]) for h in self.held.values() if h.end > now and h.amounts[kind]]

    def ask(self, now: float, lender: str, amounts: tuple[float, ...], worth: float) -> Ask | None:
        """A request for so much in all; what is above it is used no more from now on."""
        held = self.held.get(lender)
        if held is None:
            if len(self.held) >= MOST_LOANS:
                return None
            held = self.held[lender] = Held()
        self.number += 1
        held.number, held.sent_at, held.answered = self.number, now, False
        held.wanted = whole(amounts)
        held.amounts = tuple(map(min, held.amounts, held.wanted))
        return Ask(held.number, held.have, held.wanted, worth)

    def grant(self, lender: str, grant: Grant) -> None:
        """It counts from when the request was sent; only the latest request's counts at all."""
        held = self.held.get(lender)
        if held is None or held.answered or grant.number != held.number:
            return
        held.answered = True
        held.have = grant.number
        held.amounts = tuple(map(min, whole(grant.amounts), held.wanted))
        held.end = held.sent_at + self.rules.loan

    def sweep(self, now: float) -> None:
        """Forget loans that are over and no longer asked for."""
        for name in [n for n, h in self.held.items() if h.end <= now and h.sent_at + self.rules.loan <= now]:
            del self.held[name]
