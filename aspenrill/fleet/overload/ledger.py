"""Promise 1: shares of the whole, of which all processes that exist never have more than one together.

A process has its floor (`alone`/N) whatever happens; above it, under a majority's lease, the rest of 1/N
less what it has lent; loans from others until they end; and, of who is silent by a majority's word, a
piece of what lies above the floor. Each use re-reads the clock by `share(now, kind)`. The proof is in
docs/design/together-overload.md.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from .leases import Standing, Voter
from .loans import MOST_LOANS, Borrower, Lender
from .rules import Rules, mark
from .wire import Ack, Ask, Beat, Bye, Grant, Message

Out = list[tuple[str, Message]]  # to whom, what


class Ledger:
    """One process's books. `sole`: no former process of this name can exist any more (the driver holds the
    lock of the name's state folder). Until then it has no floor, which may be the former one's, and does
    not vote."""

    def __init__(self, rules: Rules, name: str, incarnation: int, now: float, sole: bool = True) -> None:
        rules.check()
        self.rules, self.name, self.incarnation, self.sole = rules, name, incarnation, sole
        self.standing, self.lender, self.borrower = Standing(rules), Lender(rules), Borrower(rules)
        self.voter = Voter(rules, now) if sole and name in rules.voters else None
        self.over = False  # fenced by its successor, or has left: it may start nothing, for ever
        self.absent: Iterable[str] = ()  # names that are held to be gone, and may be asked after
        self.spare: Callable[[int], float] = lambda kind: 0.0  # would lend beyond what it lends
        self._asks: dict[tuple[str, int], Ask] = {}
        self._next_beat = now

    # ---- what it may use ------------------------------------------------------------------------------

    def share(self, now: float, kind: int) -> float:
        """The share of the whole within which this process may start work at this moment."""
        return sum(amount for end, amount in self.pieces(now, kind) if end > now)

    def pieces(self, now: float, kind: int) -> list[tuple[float, float]]:
        """(end, share): what it has now, and until when each piece lasts by itself."""
        if self.over:
            return []
        pieces = self.borrower.pieces(now, kind)
        if self.sole:
            pieces.append((math.inf, self.rules.floor))
        held = self.standing.until()
        if held > now:
            pieces.append((held, max(0.0, self.rules.upper - self.lender.lent(now, kind))))
            pieces += [(min(end, held), self.rules.piece) for end in self.standing.silent(now)]
        return pieces

    def joined(self, now: float) -> bool:
        """A majority acknowledges it."""
        return not self.over and self.standing.until() > now

    def own(self) -> float:
        """Its equal share."""
        return 1.0 / self.rules.count

    def _free(self, now: float, kind: int) -> float:
        """What of its own it may lend and is willing to; negative where it wants some back."""
        if not self.joined(now):
            return -1.0
        return min(self.rules.upper - self.lender.lent(now, kind), self.spare(kind))

    # ---- what happens ---------------------------------------------------------------------------------

    def tick(self, now: float) -> Out:
        """Beats when due; answers what was asked of it since the last call, the most worth first."""
        if self.over:
            return []
        out: Out = []
        if now >= self._next_beat:
            self._next_beat = now + self.rules.beat
            beat = self.standing.beat(now, self._doubted())
            out += [(voter, beat) for voter in self.rules.voters if voter != self.name]
            if self.voter is not None:
                self._on_ack(self.name, self.voter.beat(now, mark(self.name), self.incarnation, beat))
        asks, self._asks = self._asks, {}
        for (name, incarnation), ask in sorted(asks.items(), key=lambda item: (-item[1].worth, item[0])):
            grant = self.lender.ask(now, name, incarnation, ask, lambda kind: self._free(now, kind))
            if grant is not None:
                out.append((name, grant))
        self.borrower.sweep(now)
        self.lender.sweep(now)
        return out

    def message(self, now: float, sender: str, incarnation: int, message: Message) -> Out:
        """What another process has sent; whatever it is, nothing raises."""
        if self.over or sender == self.name:
            return []
        match message:
            case Beat() if self.voter is not None:
                ack = self.voter.beat(now, mark(sender), incarnation, message)
                return [(sender, ack)] if ack is not None else []
            case Bye() if self.voter is not None:
                self.voter.bye(now, mark(sender), incarnation, message.left)
            case Ack() if message.incarnation == self.incarnation:
                self._on_ack(sender, message)
            case Ask() if len(self._asks) < MOST_LOANS or (sender, incarnation) in self._asks:
                waiting = self._asks.get((sender, incarnation))
                if waiting is None or waiting.number < message.number:
                    self._asks[sender, incarnation] = message
            case Grant() if message.incarnation == self.incarnation:
                self.borrower.grant(sender, message)
        return []

    def ask(self, now: float, lender: str, amounts: tuple[float, ...], worth: float) -> Out:
        """Borrow so much in all from that process, or hand back what is above it."""
        if self.over or lender == self.name:
            return []
        ask = self.borrower.ask(now, lender, amounts, worth)
        return [(lender, ask)] if ask is not None else []

    def fence(self) -> None:
        """A later process has this name."""
        self.over, self.voter = True, None

    def claim(self, now: float) -> None:
        """The former process of this name is known to have ended: its floor and its vote are ours."""
        if not self.sole and not self.over:
            self.sole = True
            self.voter = Voter(self.rules, now) if self.name in self.rules.voters else None

    def leave(self, now: float) -> Out:
        """Ends in good order: from here on it may start nothing; lenders and voters are told at once."""
        if self.over:
            return []
        out: Out = []
        for lender in list(self.borrower.held):
            out += self.ask(now, lender, (), 0.0)
        left = max(0.0, self.lender.ends() - now) * (self.rules.owed / self.rules.loan)
        out += [(voter, Bye(left)) for voter in self.rules.voters if voter != self.name]
        self.over, self.voter = True, None
        return out

    def configure(self, now: float, rules: Rules) -> None:
        """Other rules, by SIGHUP. Falls to its floor until a majority goes by the same."""
        rules.check()
        if rules == self.rules:
            return
        self.rules = self.lender.rules = self.borrower.rules = rules
        self.standing.configure(rules)
        if self.name not in rules.voters:
            self.voter = None
        elif self.voter is not None:
            self.voter.configure(now, rules)
        elif self.sole:
            self.voter = Voter(rules, now)

    # ---- inside ---------------------------------------------------------------------------------------

    def _on_ack(self, voter: str, ack: Ack | None) -> None:
        if ack is None:
            return
        if ack.fenced and voter in self.rules.voters:
            self.fence()
        else:
            self.standing.ack(voter, ack)

    def _doubted(self) -> list[str]:
        """Whom to ask the voters after."""
        return [name for name in self.absent if name != self.name][: self.rules.count - 1]
