"""A world of authority parts with the promises checked after every step."""

from __future__ import annotations

import random

from aspenrill.fleet.authority import AuthorityPart, Rules
from aspenrill.fleet.interface import Agreed, Inform
from standins.cluster import Cluster


class World(Cluster):
    """`kind` is the part's class, so that planted defects can take its place. Keeps the ledger of all that
    any process was ever told."""

    def __init__(
        self, seed: int, size: int, voters: int, kind=AuthorityPart, rules: dict | None = None, **more
    ) -> None:
        self.rules = Rules(tuple(f"p{i}" for i in range(voters)), **(rules or {}))
        self.ledger: dict[int, Agreed] = {}
        self.told: dict[tuple[str, int], int] = {}  # by process and life: the last number
        self.agreed_at: dict[int, float] = {}
        names = [f"p{i}" for i in range(size)]
        super().__init__(seed, names, lambda name, rng: [kind(self.rules, rng)], checks=[World.check], **more)
        self.asked = 0
        self.stands_in = ""  # whose endings are not compared: it is to take a whole table
        self.terms: dict[int, str] = {}

    def _effect(self, proc, part, effect) -> None:
        super()._effect(proc, part, effect)
        if isinstance(effect, Inform):
            record, life = effect.fact, (proc.name, proc.life)
            assert record.number > self.told.get(life, 0), f"{proc.name} was told {record.number} late"
            self.told[life] = record.number
            if record.body == b"" and proc.name == self.stands_in:
                return
            known = self.ledger.setdefault(record.number, record)
            assert known == record, f"{known.number} of {known.epoch} is another one"
            self.agreed_at.setdefault(record.number, self.now)

    def check(self) -> None:
        acting = [
            (proc.name, epoch)
            for proc in self.running
            if (epoch := proc.parts[0].coordinating(proc.clock())) is not None
        ]
        assert len(acting) <= 1, f"two coordinate: {acting}"
        for name, epoch in acting:
            assert self.terms.setdefault(epoch, name) == name, f"epoch {epoch} is used twice"

    def coordinator(self):
        for proc in self.running:
            if not proc.paused and proc.parts[0].coordinating(proc.clock()) is not None:
                return proc
        return None

    def settled(self) -> bool:
        proc = self.coordinator()
        return proc is not None and proc.parts[0].settled(proc.clock())

    def ready(self) -> bool:
        """Settled, and every voter may vote."""
        return self.settled() and all(
            proc.parts[0].voter is None or proc.parts[0].voter.promise is not None for proc in self.running
        )

    def propose(self, key: str, body: bytes = b"x", kind: str = "k") -> bool:
        proc = self.coordinator()
        if proc is None:
            return False
        self.asked += 1
        body = body and b"%d %s" % (self.asked, body)
        self.do(proc.name, lambda p: p.parts[0].propose(p.clock(), kind, key, body))
        return True

    def demand(self, every: float, keys: int, seconds: float) -> None:
        """Records are proposed at whoever coordinates, for some time."""
        rng = random.Random(f"{self.seed}/demand")
        end = self.now + seconds

        def one() -> None:
            self.propose(f"key{rng.randrange(keys)}", b"x" * rng.choice((1, 100, 570)))
            if self.now < end:
                self._at(every * rng.uniform(0.5, 1.5), "", one)

        self._at(every, "", one)

    def same(self) -> bool:
        """Everybody has the whole ledger, as far as it is not superseded."""
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
