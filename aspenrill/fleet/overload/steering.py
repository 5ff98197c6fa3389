"""Where a process wants its part to be, and by whom it gets there: damped, with hysteresis, by loans.

Demand is what is asked, not what is served, so a part that moves does not move its own target. What is
left to swing are noise and late news: a part moves by at most `PACE` of itself in a second, and not at all
for little.
"""

from __future__ import annotations

from collections.abc import Mapping

from .demand import Told
from .ledger import Ledger, Out
from .rules import KINDS, mark

PACE = 0.25  # share of itself by which a part moves in a second
STILL, MOVING = 0.10, 0.02  # of the equal share: off target by more than that it sets out, by less it rests
LEAST = 0.02  # of the equal share: smaller loans are not worth a message
MOST_LENDERS = 32


class Steering:
    """One process's wishes: `want` by kind, as shares of the whole."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.want = [ledger.own()] * len(KINDS)
        self._goal = [ledger.own()] * len(KINDS)
        self._moving = [False] * len(KINDS)
        self._at: float | None = None
        self._now = 0.0
        ledger.spare = lambda kind: self.spare(self._now, kind)

    def aim(self, now: float, targets: tuple[float, ...]) -> None:
        """Move towards the targets."""
        self._now = now
        passed = min(1.0, max(0.0, now - self._at)) if self._at is not None else 0.0
        self._at = now
        own = self.ledger.own()
        for kind, target in enumerate(targets):
            off = abs(target - self.want[kind])
            if off > STILL * own or self._moving[kind]:
                self._goal[kind] = target
                self._moving[kind] = off > MOVING * own
            step = PACE * passed * max(self.want[kind], self.ledger.rules.floor, 1e-9)
            self.want[kind] += max(-step, min(step, self._goal[kind] - self.want[kind]))

    def spare(self, now: float, kind: int) -> float:
        """What it would lend beyond what it lends; negative where it wants some back."""
        keep = max(self.want[kind], self.ledger.rules.floor)
        return self.ledger.own() - keep - self.ledger.lender.promised(now, kind)

    def offers(self, now: float) -> tuple[float, ...]:
        """What it tells others that it would lend, by kind."""
        if not self.ledger.joined(now):
            return (0.0,) * len(KINDS)
        return tuple(round(min(1.0, max(0.0, self.spare(now, kind))), 9) for kind in range(len(KINDS)))

    def borrow(self, now: float, told: Mapping[str, Told], worth: float) -> Out:
        """Ask, renew and hand back: requests that are due now."""
        ledger, rules = self.ledger, self.ledger.rules
        held = ledger.borrower.held
        need = [self._need(now, kind) for kind in range(len(KINDS))]
        least = LEAST * ledger.own()
        out: Out = []
        known = sorted(held, key=lambda n: (-sum(held[n].amounts) * (held[n].end > now), n))
        offers = {
            name: t.spare
            for name, t in told.items()
            if name != ledger.name and name not in held and max(t.spare, default=0.0) > least
        }
        fresh = sorted(offers, key=lambda n: mark(f"{ledger.name}/{n}"))
        for name in known + fresh[: max(0, MOST_LENDERS - len(known))]:
            loan = held.get(name)
            have = loan.amounts if loan is not None and loan.end > now else (0.0,) * len(KINDS)
            spare = told[name].spare if name in told else ()
            want = []
            for kind in range(len(KINDS)):
                more = spare[kind] if kind < len(spare) else 0.0
                amount = max(0.0, min(have[kind] + more, need[kind]))
                want.append(amount if amount > least else 0.0)
                need[kind] -= want[kind]
            if loan is None and not any(want):
                continue
            if loan is not None:
                waited = now - loan.sent_at
                if waited < rules.loan / (3 if loan.answered else 2):
                    continue
                if not any(want) and not any(loan.amounts):
                    continue  # nothing held and nothing wanted: it is forgotten by itself
            out += ledger.ask(now, name, tuple(want), worth)
        return out

    def _need(self, now: float, kind: int) -> float:
        """What it wants from others: beyond its own part and what it has of the silent."""
        ledger = self.ledger
        borrowed = sum(amount for _, amount in ledger.borrower.pieces(now, kind))
        own = ledger.share(now, kind) - borrowed
        if not ledger.joined(now):
            own = max(own, ledger.own())  # without a majority nobody is asked for what is its own
        return max(0.0, self.want[kind] - own - ledger.lender.lent(now, kind))
