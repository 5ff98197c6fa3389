"""Steers a process's capacity share to its target through loans, with damping and hysteresis.

Demand is what is requested, not what is served, so a change of the share does not change its own target. To
damp noise and late reports, a share changes by at most `MAX_RATE` of itself in a second, and not for small
differences.
"""

from __future__ import annotations

from collections.abc import Mapping

from .demand import DemandReport
from .ledger import Ledger, Out
from .rules import KINDS, name_hash

MAX_RATE = 0.25  # relative change of a share in a second
START_THRESHOLD = 0.10  # of the equal share: difference to the target above which a move starts
STOP_THRESHOLD = 0.02  # of the equal share: difference below which a move ends
MIN_LOAN = 0.02  # of the equal share: smaller loans are not worth a message
MAX_LENDERS = 32


class Steering:
    """The desired shares of one process: `desired` by kind, as shares of the total capacity."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.desired = [ledger.equal_share()] * len(KINDS)
        self._goal = [ledger.equal_share()] * len(KINDS)
        self._moving = [False] * len(KINDS)
        self._at: float | None = None
        self._now = 0.0
        ledger.lendable = lambda kind: self.lendable(self._now, kind)

    def set_targets(self, now: float, targets: tuple[float, ...]) -> None:
        """Move the desired shares towards the targets."""
        self._now = now
        elapsed = min(1.0, max(0.0, now - self._at)) if self._at is not None else 0.0
        self._at = now
        own = self.ledger.equal_share()
        for kind, target in enumerate(targets):
            difference = abs(target - self.desired[kind])
            if difference > START_THRESHOLD * own or self._moving[kind]:
                self._goal[kind] = target
                self._moving[kind] = difference > STOP_THRESHOLD * own
            step = MAX_RATE * elapsed * max(self.desired[kind], self.ledger.rules.floor, 1e-9)
            self.desired[kind] += max(-step, min(step, self._goal[kind] - self.desired[kind]))

    def lendable(self, now: float, kind: int) -> float:
        """The further share that it is willing to lend; negative if it wants some back."""
        keep = max(self.desired[kind], self.ledger.rules.floor)
        return self.ledger.equal_share() - keep - self.ledger.lender.committed(now, kind)

    def offers(self, now: float) -> tuple[float, ...]:
        """The shares to offer to others in the report, by kind."""
        if not self.ledger.joined(now):
            return (0.0,) * len(KINDS)
        return tuple(round(min(1.0, max(0.0, self.lendable(now, kind))), 9) for kind in range(len(KINDS)))

    def borrow(self, now: float, reports: Mapping[str, DemandReport], worth: float) -> Out:
        """The loan requests that are due: new ones, renewals and returns."""
        ledger, rules = self.ledger, self.ledger.rules
        loans = ledger.borrower.loans
        need = [self._need(now, kind) for kind in range(len(KINDS))]
        minimum = MIN_LOAN * ledger.equal_share()
        out: Out = []
        current_lenders = sorted(loans, key=lambda n: (-sum(loans[n].amounts) * (loans[n].end > now), n))
        offers = {
            name: report.lendable
            for name, report in reports.items()
            if name != ledger.name and name not in loans and max(report.lendable, default=0.0) > minimum
        }
        new_lenders = sorted(offers, key=lambda n: name_hash(f"{ledger.name}/{n}"))
        for name in current_lenders + new_lenders[: max(0, MAX_LENDERS - len(current_lenders))]:
            loan = loans.get(name)
            held_amounts = loan.amounts if loan is not None and loan.end > now else (0.0,) * len(KINDS)
            lendable = reports[name].lendable if name in reports else ()
            wanted = []
            for kind in range(len(KINDS)):
                more = lendable[kind] if kind < len(lendable) else 0.0
                amount = max(0.0, min(held_amounts[kind] + more, need[kind]))
                wanted.append(amount if amount > minimum else 0.0)
                need[kind] -= wanted[kind]
            if loan is None and not any(wanted):
                continue
            if loan is not None:
                waited = now - loan.sent_at
                if waited < rules.loan / (3 if loan.answered else 2):
                    continue
                if not any(wanted) and not any(loan.amounts):
                    continue  # nothing borrowed and nothing wanted: it expires by itself
            out += ledger.request_loan(now, name, tuple(wanted), worth)
        return out

    def _need(self, now: float, kind: int) -> float:
        """The share to borrow: beyond its own and what it has of silent processes."""
        ledger = self.ledger
        borrowed = sum(amount for _, amount in ledger.borrower.pieces(now, kind))
        own = ledger.share(now, kind) - borrowed
        if not ledger.joined(now):
            own = max(own, ledger.equal_share())  # without a lease its own share is not borrowed
        return max(0.0, self.desired[kind] - own - ledger.lender.lent(now, kind))
