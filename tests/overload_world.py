"""Simulates the ledgers of a few processes with drifting clocks and a network that loses, repeats, delays and
reorders messages."""

from __future__ import annotations

import random
from collections.abc import Callable

from aspenrill.fleet.overload.ledger import Ledger
from aspenrill.fleet.overload.rules import KINDS, Rules
from aspenrill.fleet.overload.wire import pack, unpack

EPSILON = 1e-9


class Process:
    def __init__(self, ledger: Ledger, rate: float, offset: float, world: World) -> None:
        self.ledger, self.rate, self.offset, self.world = ledger, rate, offset, world
        self.paused = False
        self.inbox: list[tuple[str, int, bytes]] = []  # messages received while paused

    @property
    def now(self) -> float:
        return self.offset + self.world.time * self.rate


class World:
    """`make` builds a ledger; tests pass one with a planted defect."""

    def __init__(self, count: int, seed: int, make: Callable[..., Ledger] = Ledger, **rules) -> None:
        self.random, self.time = random.Random(seed), 0.0
        self.names = tuple(f"p{i}" for i in range(count))
        self.rules = Rules(count, rules.pop("voters", self.names[: 3 if count < 5 else 5]), **rules)
        self.make = make
        self.processes: list[Process] = []  # all that exist, including fenced and paused ones
        self.net: list[tuple[float, str, str, int, bytes]] = []
        self.cut: set[frozenset[str]] = set()
        self.loss = self.repeat = 0.0
        self.lendable_choices = (1.0,)  # further shares that lenders offer, chosen at random
        self.delay = (0.0, 0.05)
        self.incarnations = dict.fromkeys(self.names, 0)
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnations[name] += 1
        sole = not any(p.ledger.name == name for p in self.processes)
        rate, offset = self.random.uniform(0.995, 1.0049), self.random.uniform(0, 1e4)
        process = Process(None, rate, offset, self)
        process.ledger = self.make(self.rules, name, self.incarnations[name], process.now, sole)
        process.ledger.absent = [n for n in self.names if n != name]
        process.ledger.lendable = lambda kind: self.random.choice(self.lendable_choices)
        self.processes.append(process)

    def end(self, process: Process) -> None:
        self.processes.remove(process)
        others = [p for p in self.processes if p.ledger.name == process.ledger.name]
        if len(others) == 1:
            others[0].ledger.become_sole(others[0].now)

    def post(self, process: Process, out) -> None:
        for to, message in out:
            for _ in range(1 + (self.random.random() < self.repeat)):
                if self.random.random() >= self.loss and frozenset((process.ledger.name, to)) not in self.cut:
                    self.net.append(
                        (
                            self.time + self.random.uniform(*self.delay),
                            process.ledger.name,
                            to,
                            process.ledger.incarnation,
                            pack(message),
                        )
                    )

    def run(self, seconds: float, step: float = 0.25, check: bool = True) -> None:
        end = self.time + seconds
        while self.time < end - 1e-9:
            self.time += step
            due = [m for m in self.net if m[0] <= self.time]
            self.net = [m for m in self.net if m[0] > self.time]
            self.random.shuffle(due)
            for _, sender, to, incarnation, body in due:
                for process in [p for p in self.processes if p.ledger.name == to]:
                    self.hand(process, sender, incarnation, body)
                    if check:
                        self.check()
            for process in self.processes:
                if not process.paused:
                    self.post(process, process.ledger.tick(process.now))
            if check:
                self.check()

    def hand(self, process: Process, sender: str, incarnation: int, body: bytes) -> None:
        if process.paused:
            process.inbox.append((sender, incarnation, body))
        elif (message := unpack(body)) is not None:
            self.post(process, process.ledger.on_message(process.now, sender, incarnation, message))

    def resume(self, process: Process) -> None:
        process.paused = False
        inbox, process.inbox = process.inbox, []
        for sender, incarnation, body in inbox:
            self.hand(process, sender, incarnation, body)
            self.check()

    def borrow(self, process: Process, lender: str, amounts: tuple[float, ...], worth: float = 1.0) -> None:
        self.post(process, process.ledger.request_loan(process.now, lender, amounts, worth))

    def total(self, kind: int = 0) -> float:
        return sum(p.ledger.share(p.now, kind) for p in self.processes)

    def check(self) -> None:
        """Guarantee 1: the shares of all existing processes, also paused, fenced or cut off, sum to at most
        one."""
        for kind in range(len(KINDS)):
            assert self.total(kind) <= 1 + EPSILON, (
                self.time,
                [
                    (p.ledger.name, p.ledger.incarnation, p.paused, p.ledger.pieces(p.now, kind))
                    for p in self.processes
                ],
            )
