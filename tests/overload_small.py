"""Exhaustive breadth-first search over all schedules of a small model: three ledgers, time in rounds.

In each round an adversary chooses which links are cut, whether answers arrive a round late, and one event: a
loan requested or returned, or a process restarted. Equal states are merged. The sum of the shares is checked
five times in each round.
"""

from __future__ import annotations

import pickle
from itertools import product

from aspenrill.fleet.overload.ledger import Ledger
from aspenrill.fleet.overload.rules import Rules

ROUND = 1.5  # seconds
NAMES = ("p0", "p1", "p2")
LINKS = tuple(frozenset(pair) for pair in (("p0", "p1"), ("p0", "p2"), ("p1", "p2")))
CUTS = ((), *((link,) for link in LINKS), *(tuple(link for link in LINKS if n in link) for n in NAMES), LINKS)
OPS = ("nothing", "p0 borrows", "p2 borrows", "p0 returns", "p1 restarts", "p2 restarts")
CHOICES = tuple(product(CUTS, (False, True), OPS))
REDUCED_CHOICES = tuple(
    product((CUTS[0], CUTS[3], CUTS[4], CUTS[6]), (False, True), ("nothing", "p0 borrows", *OPS[4:]))
)
P2_CUT_OFF = (CUTS[6], False, "nothing")  # no event, p2 cut off
STARTS = ((), *((P2_CUT_OFF,) * n for n in (1, 2, 3, 4)), ((CUTS[0], False, "p0 borrows"),))


def willing(kind: int) -> float:
    return 1.0


class SmallModel:
    def __init__(self, make) -> None:
        self.time, self.make = 0.0, make
        self.rules = Rules(3, NAMES, lease=3.0, loan=1.0, beat=1.0)
        self.ledgers = {name: self.start_ledger(name, 1) for name in NAMES}
        self.late: list = []

    def start_ledger(self, name: str, incarnation: int) -> Ledger:
        ledger = self.make(self.rules, name, incarnation, self.time, True)
        ledger.absent, ledger.lendable = [n for n in NAMES if n != name], willing
        return ledger

    def deliver(self, messages: list, cuts) -> list:
        answers = []
        for sender, incarnation, to, message in messages:
            if frozenset((sender, to)) not in cuts:
                ledger = self.ledgers[to]
                for back, answer in ledger.on_message(self.time, sender, incarnation, message):
                    answers.append((to, ledger.incarnation, back, answer))
                self.check()
        return answers

    def tick(self) -> list:
        return [
            (ledger.name, ledger.incarnation, to, message)
            for ledger in self.ledgers.values()
            for to, message in ledger.tick(self.time)
        ]

    def round(self, cuts, late: bool, op: str) -> None:
        start = self.time
        who = op.split()[0]
        ledger = self.ledgers.get(who)
        messages = []
        if op.endswith("restarts"):
            self.ledgers[who] = self.start_ledger(who, ledger.incarnation + 1)
        elif ledger is not None:
            amount = 1.0 if op.endswith("borrows") else 0.0
            messages = [
                (who, ledger.incarnation, to, message)
                for to, message in ledger.request_loan(self.time, "p1", (amount, 0.0), 1.0)
            ]
        answers = self.deliver(messages + self.tick(), cuts)
        self.time = start + 0.2
        before, self.late = self.late, []
        self.deliver(before, ())
        answers += self.tick()  # lenders answer requests
        self.time = start + 0.4
        if late:
            self.late = answers
        else:
            self.deliver(answers, cuts)
        for at in (0.4, 0.8, 1.2, 1.45):
            self.time = start + at
            self.check()
        self.time = start + ROUND

    def check(self) -> None:
        total = sum(ledger.share(self.time, 0) for ledger in self.ledgers.values())
        assert total <= 1 + 1e-9, {n: ledger.pieces(self.time, 0) for n, ledger in self.ledgers.items()}

    def key(self) -> tuple:
        """The state without expired times, so that equivalent states compare equal."""
        now, rules = self.time, self.rules
        out = [tuple((s, i, t, m) for s, i, t, m in self.late)]
        for ledger in self.ledgers.values():
            lease_holder, old = ledger.lease_holder, now - rules.lease
            voter = ledger.voter
            out.append(
                (
                    ledger.incarnation,
                    ledger.ended,
                    lease_holder.number,
                    ledger.borrower.number,
                    tuple(sorted((v, at) for v, at in lease_holder.acked.items() if at > old)),
                    tuple(
                        sorted(
                            (n, v, at)
                            for n, by_voter in lease_holder.certificates.items()
                            for v, at in by_voter.items()
                            if at > old
                        )
                    ),
                    tuple(
                        (
                            who,
                            account.number,
                            tuple((n, a, e) for n, (a, e) in account.grants.items() if e > now),
                        )
                        for who, account in ledger.lender.accounts.items()
                    ),
                    tuple(
                        (n, h.number, h.answered, h.current_grant, h.amounts, h.end)
                        for n, h in ledger.borrower.loans.items()
                        if max(h.end, h.sent_at + rules.loan) > now
                    ),
                    max(now, voter.mute_until),
                    tuple(
                        sorted(
                            (
                                n,
                                r.incarnation,
                                r.granted,
                                max(now, r.in_force_until),
                                max(now, r.certified_until),
                                max(now - rules.silence_timeout, r.last_heartbeat_at),
                            )
                            for n, r in voter.records.items()
                        )
                    ),
                )
            )
        return tuple(out)


def search(make=Ledger, depth: int = 2, choices=REDUCED_CHOICES, start=()) -> tuple[int, int]:
    """(states, transitions) of all schedules of `depth` rounds after a fleet has joined and played
    `start`."""
    first = SmallModel(make)
    for choice in ((CUTS[0], False, "nothing"),) * 6 + start:
        first.round(*choice)
    layer, states, transitions = [pickle.dumps(first)], 1, 0
    for remaining in reversed(range(depth)):
        seen, following = set(), []
        for state in layer:
            for choice in choices:
                world = pickle.loads(state)
                world.round(*choice)
                transitions += 1
                key = world.key()
                if key not in seen:
                    seen.add(key)
                    if remaining:
                        following.append(pickle.dumps(world))
        layer, states = following, states + len(seen)
    return states, transitions


def main() -> None:
    """`PYTHONPATH=. python tests/overload_small.py DEPTH`: search deeper than the tests and print the
    counts."""
    import sys

    counts = [search(depth=int(sys.argv[1]), start=start) for start in STARTS]
    states, transitions = map(sum, zip(*counts, strict=True))
    print(f"{states} states, {transitions} transitions, no sum above one")


if __name__ == "__main__":
    main()
