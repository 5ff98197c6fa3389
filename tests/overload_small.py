"""Every schedule of a small model: three real ledgers, time in rounds, breadth first, states seen before
merged.

In a round an adversary chooses which links are cut, whether answers come a round late, and one thing that
happens: a loan asked for or handed back, a process killed and started anew. The sum is checked five times
in each round.
"""

from __future__ import annotations

import pickle
from itertools import product

from aspenrill.fleet.overload.ledger import Ledger
from aspenrill.fleet.overload.rules import Rules

ROUND, NAMES = 1.5, ("p0", "p1", "p2")
LINKS = tuple(frozenset(pair) for pair in (("p0", "p1"), ("p0", "p2"), ("p1", "p2")))
CUTS = ((), *((link,) for link in LINKS), *(tuple(link for link in LINKS if n in link) for n in NAMES), LINKS)
OPS = ("nothing", "p0 borrows", "p2 borrows", "p0 returns", "p1 restarts", "p2 restarts")
CHOICES = tuple(product(CUTS, (False, True), OPS))
FEW = tuple(product((CUTS[0], CUTS[3], CUTS[4], CUTS[6]), (False, True), ("nothing", "p0 borrows", *OPS[4:])))
AWAY = (CUTS[6], False, "nothing")  # p2 is cut off
STARTS = ((), *((AWAY,) * n for n in (1, 2, 3, 4)), ((CUTS[0], False, "p0 borrows"),))


def willing(kind: int) -> float:
    return 1.0


class Small:
    def __init__(self, make) -> None:
        self.time, self.make = 0.0, make
        self.rules = Rules(3, NAMES, lease=3.0, loan=1.0, beat=1.0)
        self.ledgers = {name: self.started(name, 1) for name in NAMES}
        self.late: list = []

    def started(self, name: str, incarnation: int) -> Ledger:
        ledger = self.make(self.rules, name, incarnation, self.time, True)
        ledger.absent, ledger.spare = [n for n in NAMES if n != name], willing
        return ledger

    def pass_on(self, letters: list, cuts) -> list:
        answers = []
        for sender, incarnation, to, message in letters:
            if frozenset((sender, to)) not in cuts:
                ledger = self.ledgers[to]
                for back, answer in ledger.message(self.time, sender, incarnation, message):
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
        letters = []
        if op.endswith("restarts"):
            self.ledgers[who] = self.started(who, ledger.incarnation + 1)
        elif ledger is not None:
            amount = 1.0 if op.endswith("borrows") else 0.0
            letters = [
                (who, ledger.incarnation, to, message)
                for to, message in ledger.ask(self.time, "p1", (amount, 0.0), 1.0)
            ]
        answers = self.pass_on(letters + self.tick(), cuts)
        self.time = start + 0.2
        before, self.late = self.late, []
        self.pass_on(before, ())
        answers += self.tick()  # lenders answer
        self.time = start + 0.4
        if late:
            self.late = answers
        else:
            self.pass_on(answers, cuts)
        for at in (0.4, 0.8, 1.2, 1.45):
            self.time = start + at
            self.check()
        self.time = start + ROUND

    def check(self) -> None:
        total = sum(ledger.share(self.time, 0) for ledger in self.ledgers.values())
        assert total <= 1 + 1e-9, {n: ledger.pieces(self.time, 0) for n, ledger in self.ledgers.items()}

    def key(self) -> tuple:
        """What can still matter: times that are over are left out."""
        now, rules = self.time, self.rules
        out = [tuple((s, i, t, m) for s, i, t, m in self.late)]
        for ledger in self.ledgers.values():
            standing, old = ledger.standing, now - rules.lease
            voter = ledger.voter
            out.append(
                (
                    ledger.incarnation,
                    ledger.over,
                    standing.number,
                    ledger.borrower.number,
                    tuple(sorted((v, at) for v, at in standing.acked.items() if at > old)),
                    tuple(
                        sorted(
                            (n, v, at)
                            for n, told in standing.certs.items()
                            for v, at in told.items()
                            if at > old
                        )
                    ),
                    tuple(
                        (who, owed.number, tuple((n, a, e) for n, (a, e) in owed.grants.items() if e > now))
                        for who, owed in ledger.lender.owed.items()
                    ),
                    tuple(
                        (n, h.number, h.answered, h.have, h.amounts, h.end)
                        for n, h in ledger.borrower.held.items()
                        if max(h.end, h.sent_at + rules.loan) > now
                    ),
                    max(now, voter.mute_until),
                    tuple(
                        sorted(
                            (
                                n,
                                r.incarnation,
                                r.granted,
                                max(now, r.held_until),
                                max(now, r.doubted_until),
                                max(now - rules.silence, r.heard_at),
                            )
                            for n, r in voter.records.items()
                        )
                    ),
                )
            )
        return tuple(out)


def search(make=Ledger, depth: int = 2, choices=FEW, start=()) -> tuple[int, int]:
    """(states, transitions) of all schedules of so many rounds, from a fleet that has joined and then
    `start`."""
    first = Small(make)
    for choice in ((CUTS[0], False, "nothing"),) * 6 + start:
        first.round(*choice)
    layer, states, transitions = [pickle.dumps(first)], 1, 0
    for left in reversed(range(depth)):
        seen, following = set(), []
        for state in layer:
            for choice in choices:
                world = pickle.loads(state)
                world.round(*choice)
                transitions += 1
                key = world.key()
                if key not in seen:
                    seen.add(key)
                    if left:
                        following.append(pickle.dumps(world))
        layer, states = following, states + len(seen)
    return states, transitions


def main() -> None:
    """`PYTHONPATH=. python tests/overload_small.py DEPTH`: a deeper search than the tests', with its
    counts."""
    import sys

    counts = [search(depth=int(sys.argv[1]), start=start) for start in STARTS]
    states, transitions = map(sum, zip(*counts, strict=True))
    print(f"{states} states, {transitions} transitions, no sum above the whole")


if __name__ == "__main__":
    main()
