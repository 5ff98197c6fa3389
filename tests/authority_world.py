"""A simulated fleet of authority components with invariants checked after every step."""

from __future__ import annotations

import random

from aspenrill.fleet.authority import AuthorityPart, Rules
from aspenrill.fleet.interface import Agreed, Notify
from standins.cluster import Cluster


class World(Cluster):
    """Records all agreed records that any process reported.

    `kind` is the component class, so that tests can substitute a defective one.
    """

    def __init__(
        self, seed: int, size: int, voters: int, kind=AuthorityPart, rules: dict | None = None, **more
    ) -> None:
        self.rules = Rules(tuple(f"p{i}" for i in range(voters)), **(rules or {}))
        self.ledger: dict[int, Agreed] = {}
        self.last_reported: dict[tuple[str, int], int] = {}  # by process and incarnation
        self.agreed_at: dict[int, float] = {}
        names = [f"p{i}" for i in range(size)]
        super().__init__(seed, names, lambda name, rng: [kind(self.rules, rng)], checks=[World.check], **more)
        self.proposals = 0
        self.table_receiver = ""  # its tombstones are not compared, since it receives a complete table
        self.epoch_holders: dict[int, str] = {}

    def _effect(self, proc, part, effect) -> None:
        super()._effect(proc, part, effect)
        if isinstance(effect, Notify):
            record, life_id = effect.fact, (proc.name, proc.start_count)
            assert record.number > self.last_reported.get(life_id, 0), f"{proc.name}: {record.number} is late"
            self.last_reported[life_id] = record.number
            if record.body == b"" and proc.name == self.table_receiver:
                return
            known = self.ledger.setdefault(record.number, record)
            assert known == record, f"{known.number} of {known.epoch} is another one"
            self.agreed_at.setdefault(record.number, self.now)

    def check(self) -> None:
        coordinators = [
            (proc.name, epoch)
            for proc in self.running
            if (epoch := proc.parts[0].coordinating(proc.clock())) is not None
        ]
        assert len(coordinators) <= 1, f"two coordinate: {coordinators}"
        for name, epoch in coordinators:
            assert self.epoch_holders.setdefault(epoch, name) == name, f"epoch {epoch} is used twice"

    def coordinator(self):
        for proc in self.running:
            if not proc.paused and proc.parts[0].coordinating(proc.clock()) is not None:
                return proc
        return None

    def settled(self) -> bool:
        proc = self.coordinator()
        return proc is not None and proc.parts[0].settled(proc.clock())

    def ready(self) -> bool:
        """Settled, and no voter is blank."""
        return self.settled() and all(
            proc.parts[0].voter is None or proc.parts[0].voter.promise is not None for proc in self.running
        )

    def propose(self, key: str, body: bytes = b"x", kind: str = "k") -> bool:
        proc = self.coordinator()
        if proc is None:
            return False
        self.proposals += 1
        body = body and b"%d %s" % (self.proposals, body)
        self.call_component(proc.name, lambda p: p.parts[0].propose(p.clock(), kind, key, body))
        return True

    def demand(self, every: float, keys: int, seconds: float) -> None:
        """Proposes records at the current coordinator for some time."""
        rng = random.Random(f"{self.seed}/demand")
        end = self.now + seconds

        def propose_one() -> None:
            self.propose(f"key{rng.randrange(keys)}", b"x" * rng.choice((1, 100, 570)))
            if self.now < end:
                self._at(every * rng.uniform(0.5, 1.5), "", propose_one)

        self._at(every, "", propose_one)

    def converged(self) -> bool:
        """All processes have every agreed record that is not superseded."""
        latest = {}
        for record in sorted(self.ledger.values(), key=lambda record: record.number):
            latest[record.kind, record.key] = record.number
        last = max(self.ledger, default=0)
        return all(
            proc.parts[0].table.last >= last
            and all(
                (pair in proc.parts[0].table.latest and proc.parts[0].table.latest[pair].number >= number)
                for pair, number in latest.items()
            )
            for proc in self.running
        )
