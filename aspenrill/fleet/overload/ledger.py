"""Guarantee 1: the capacity shares of all processes that exist never sum to more than one.

A process always has its floor share (`alone`/N). Above it, it has the rest of 1/N less what it has lent while
a majority of voters leases it; loans from others until they end; and a part of the leased share of each
process that a majority certifies as silent. Each use reads the clock through `share(now, kind)`. The proof is
in docs/design/together-overload.md.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from .leases import LeaseHolder, Voter
from .loans import MAX_LOANS, Borrower, Lender
from .rules import Rules, name_hash
from .wire import Ack, Goodbye, Heartbeat, LoanGrant, LoanRequest, Message

Out = list[tuple[str, Message]]  # (receiver, message)


class Ledger:
    """The capacity shares of one process. `sole`: no earlier process of this name can exist any more (the
    driver holds the lock of the name's state folder). Until then this one has no floor share, which may still
    be in use by the earlier one, and does not vote."""

    def __init__(self, rules: Rules, name: str, incarnation: int, now: float, sole: bool = True) -> None:
        rules.check()
        self.rules, self.name, self.incarnation, self.sole = rules, name, incarnation, sole
        self.lease_holder, self.lender, self.borrower = LeaseHolder(rules), Lender(rules), Borrower(rules)
        self.voter = Voter(rules, now) if sole and name in rules.voters else None
        self.ended = False  # fenced by its successor, or has left: it may start nothing any more
        self.absent: Iterable[str] = ()  # names that may be silent, to query the voters about
        self.lendable: Callable[[int], float] = lambda kind: 0.0  # further share that it is willing to lend
        self._loan_requests: dict[tuple[str, int], LoanRequest] = {}
        self._next_heartbeat_at = now

    # ---- capacity in use ------------------------------------------------------------------------------

    def share(self, now: float, kind: int) -> float:
        """The share of the total capacity that this process may use at this moment."""
        return sum(amount for end, amount in self.pieces(now, kind) if end > now)

    def pieces(self, now: float, kind: int) -> list[tuple[float, float]]:
        """The parts of the share as (end, amount)."""
        if self.ended:
            return []
        pieces = self.borrower.pieces(now, kind)
        if self.sole:
            pieces.append((math.inf, self.rules.floor))
        lease_end = self.lease_holder.lease_end()
        if lease_end > now:
            pieces.append((lease_end, max(0.0, self.rules.leased_share - self.lender.lent(now, kind))))
            pieces += [
                (min(end, lease_end), self.rules.silent_share) for end in self.lease_holder.silent_until(now)
            ]
        return pieces

    def joined(self, now: float) -> bool:
        """Whether a majority of voters leases this process."""
        return not self.ended and self.lease_holder.lease_end() > now

    def equal_share(self) -> float:
        """The equal share, 1/N."""
        return 1.0 / self.rules.count

    def _available(self, now: float, kind: int) -> float:
        """What it can and is willing to lend; negative if it wants some back."""
        if not self.joined(now):
            return -1.0
        return min(self.rules.leased_share - self.lender.lent(now, kind), self.lendable(kind))

    # ---- events ---------------------------------------------------------------------------------

    def tick(self, now: float) -> Out:
        """Send heartbeats when due and answer the loan requests since the last call, the highest worth
        first."""
        if self.ended:
            return []
        out: Out = []
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self.rules.beat
            heartbeat = self.lease_holder.next_heartbeat(now, self._names_to_query())
            out += [(voter, heartbeat) for voter in self.rules.voters if voter != self.name]
            if self.voter is not None:
                self._on_ack(
                    self.name, self.voter.on_heartbeat(now, name_hash(self.name), self.incarnation, heartbeat)
                )
        requests, self._loan_requests = self._loan_requests, {}
        for (name, incarnation), request in sorted(
            requests.items(), key=lambda item: (-item[1].worth, item[0])
        ):
            grant = self.lender.on_request(
                now, name, incarnation, request, lambda kind: self._available(now, kind)
            )
            if grant is not None:
                out.append((name, grant))
        self.borrower.sweep(now)
        self.lender.sweep(now)
        return out

    def on_message(self, now: float, sender: str, incarnation: int, message: Message) -> Out:
        """Process a message of another process. Never raises."""
        if self.ended or sender == self.name:
            return []
        match message:
            case Heartbeat() if self.voter is not None:
                ack = self.voter.on_heartbeat(now, name_hash(sender), incarnation, message)
                return [(sender, ack)] if ack is not None else []
            case Goodbye() if self.voter is not None:
                self.voter.on_goodbye(now, name_hash(sender), incarnation, message.left)
            case Ack() if message.incarnation == self.incarnation:
                self._on_ack(sender, message)
            case LoanRequest() if (
                len(self._loan_requests) < MAX_LOANS or (sender, incarnation) in self._loan_requests
            ):
                pending = self._loan_requests.get((sender, incarnation))
                if pending is None or pending.number < message.number:
                    self._loan_requests[sender, incarnation] = message
            case LoanGrant() if message.incarnation == self.incarnation:
                self.borrower.on_grant(sender, message)
        return []

    def request_loan(self, now: float, lender: str, amounts: tuple[float, ...], worth: float) -> Out:
        """Request a loan of these total amounts, or return what exceeds them."""
        if self.ended or lender == self.name:
            return []
        request = self.borrower.request(now, lender, amounts, worth)
        return [(lender, request)] if request is not None else []

    def fence(self) -> None:
        """Stop, as a later process has this name."""
        self.ended, self.voter = True, None

    def become_sole(self, now: float) -> None:
        """Take over the floor share and the vote after the earlier process of this name has ended."""
        if not self.sole and not self.ended:
            self.sole = True
            self.voter = Voter(self.rules, now) if self.name in self.rules.voters else None

    def leave(self, now: float) -> Out:
        """Leave: use nothing any more, return the loans and notify the voters."""
        if self.ended:
            return []
        out: Out = []
        for lender in list(self.borrower.loans):
            out += self.request_loan(now, lender, (), 0.0)
        left = max(0.0, self.lender.last_end() - now) * (self.rules.loan_timeout / self.rules.loan)
        out += [(voter, Goodbye(left)) for voter in self.rules.voters if voter != self.name]
        self.ended, self.voter = True, None
        return out

    def configure(self, now: float, rules: Rules) -> None:
        """Apply other rules after SIGHUP. The share falls to the floor until a majority has the same
        rules."""
        rules.check()
        if rules == self.rules:
            return
        self.rules = self.lender.rules = self.borrower.rules = rules
        self.lease_holder.configure(rules)
        if self.name not in rules.voters:
            self.voter = None
        elif self.voter is not None:
            self.voter.configure(now, rules)
        elif self.sole:
            self.voter = Voter(rules, now)

    # ---- internal ---------------------------------------------------------------------------------------

    def _on_ack(self, voter: str, ack: Ack | None) -> None:
        if ack is None:
            return
        if ack.fenced and voter in self.rules.voters:
            self.fence()
        else:
            self.lease_holder.on_ack(voter, ack)

    def _names_to_query(self) -> list[str]:
        """The names to query the voters about."""
        return [name for name in self.absent if name != self.name][: self.rules.count - 1]
