"""Tiers by SRV priority (RFC 2782): a lower one is let in only while those above it lack usable engines.

The tier named with the lowest priority is the first. It wants `need` engines: `full` of those named in it, at
least `least`. Once fewer than `lack` of that are usable in the tiers above another, that one opens, and lets
in one engine each `step` seconds until the need is met, each as cold. It closes, one engine a step, after the
tiers above have met the need for `settle` seconds: long enough for them to be warm.

No I/O; times come in as arguments. A step costs as much as there are tiers, a change the log of its tier.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class TierRules:
    """Shares of the first tier's size, a number of engines, and seconds."""

    lack: float = 0.5
    full: float = 0.75
    least: int = 1
    step: float = 1.0
    settle: float = 15.0


class Tier:
    """The engines of one priority: named, usable, let in, and waiting by weight."""

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.named: dict[Address, bool] = {}  # whether usable
        self.weights: dict[Address, float] = {}
        self.usable = 0
        self.inside: dict[Address, None] = {}  # let in, the last one last
        self.good_inside = 0  # of these usable
        self.queue: list[tuple[float, Address]] = []  # waiting; entries may be out of date
        self.open = False
        self.full_since: float | None = None
        self.next_step = 0.0

    def put(self, address: Address, usable: bool, weight: float) -> None:
        """An engine as it is now."""
        before = self.named.get(address)
        self.named[address], self.weights[address] = usable, weight
        self.usable += usable - bool(before)
        if address in self.inside:
            self.good_inside += usable - bool(before)
        elif before is None or usable and not before:
            heapq.heappush(self.queue, (-weight, address))
            if len(self.queue) > 2 * len(self.named) + 16:  # most are out of date
                self.queue = [(-self.weights[a], a) for a in self.named if a not in self.inside]
                heapq.heapify(self.queue)

    def remove(self, address: Address) -> None:
        """It is named here no more."""
        usable = self.named.pop(address)
        del self.weights[address]
        self.usable -= usable
        if address in self.inside:
            del self.inside[address]
            self.good_inside -= usable

    def admit(self, address: Address) -> None:
        """Let one in."""
        if address not in self.inside:
            self.inside[address] = None
            self.good_inside += self.named[address]

    def expel(self) -> Address:
        """Let the one out that came last."""
        address, _ = self.inside.popitem()
        self.good_inside -= self.named[address]
        heapq.heappush(self.queue, (-self.weights[address], address))
        return address

    def best(self) -> Address | None:
        """The usable one with the most weight that waits, off the queue."""
        while self.queue:
            _, address = heapq.heappop(self.queue)
            if self.named.get(address) and address not in self.inside:
                return address
        return None


class Tiers:
    """All tiers. `put` and `remove` as engines change, `step` in time; both tell who is let in and out."""

    def __init__(self, rules: TierRules) -> None:
        self.rules = rules
        self.tiers: dict[int, Tier] = {}
        self.order: list[int] = []
        self.places: dict[Address, Tier] = {}
        self.notes: list[str] = []

    def put(
        self, now: float, address: Address, priority: int, usable: bool, weight: float, at_once: bool
    ) -> bool:
        """An engine as it is now; whether it is inside. `at_once`: one of a source's first list, which may
        have been at work all along, or of the tier that is first."""
        tier = self.places.get(address)
        if tier is not None and tier.priority != priority:
            inside = address in tier.inside
            self.remove(address)
            at_once, tier = at_once or inside, None
        if tier is None:
            tier = self.tiers.get(priority)
            if tier is None:
                tier = self.tiers[priority] = Tier(priority)
                self.order = sorted(self.tiers)
            self.places[address] = tier
        tier.put(address, usable, weight)
        if self.order[0] == priority and (at_once or tier.open or len(self.order) == 1 and not tier.inside):
            tier.open = True
            tier.admit(address)
        return address in tier.inside

    def remove(self, address: Address) -> None:
        """It is named no more."""
        tier = self.places.pop(address, None)
        if tier is None:
            return
        tier.remove(address)
        if not tier.named:
            del self.tiers[tier.priority]
            self.order = sorted(self.tiers)

    def inside(self, address: Address) -> bool:
        """Whether it is let in."""
        tier = self.places.get(address)
        return tier is not None and address in tier.inside

    def step(self, now: float) -> Iterator[tuple[Address, bool]]:
        """Let engines in (True) and out (False), as far as it is time."""
        rules, above, need, lack = self.rules, 0, 0, 0.0
        for at, priority in enumerate(self.order):
            tier = self.tiers[priority]
            if at == 0:
                size = max(rules.least, len(tier.named))
                need = max(rules.least, math.ceil(rules.full * size))
                lack = max(rules.least, rules.lack * size)
                wanted = len(tier.named)
                tier.open, tier.full_since = True, None
            else:
                wanted = self._wanted(now, tier, above, need, lack)
            if tier.open and now >= tier.next_step:
                moved = self._move(tier, wanted, first=at == 0)
                if moved is not None:
                    tier.next_step = now + rules.step
                    yield moved
            above += tier.usable

    def _wanted(self, now: float, tier: Tier, above: int, need: int, lack: float) -> int:
        """How many usable engines a lower tier is to have inside."""
        if not tier.open and above < lack:
            tier.open, tier.full_since, tier.next_step = True, None, now
            self.notes.append(f"tier {tier.priority} opens: {above} of {need} engines above it are usable")
        if not tier.open:
            return 0
        if above >= need:
            tier.full_since = now if tier.full_since is None else tier.full_since
            if now >= tier.full_since + self.rules.settle:
                if not tier.inside:
                    tier.open = False
                    self.notes.append(f"tier {tier.priority} is closed: {above} engines above it are usable")
                return 0
            return tier.good_inside  # until these have settled, all stays as it is
        tier.full_since = None
        return max(tier.good_inside, need - above)

    @staticmethod
    def _move(tier: Tier, wanted: int, first: bool) -> tuple[Address, bool] | None:
        if tier.good_inside < wanted:
            address = tier.best()
            if address is not None:
                tier.admit(address)
                return address, True
        elif not first and tier.inside and wanted < tier.good_inside or not wanted and tier.inside:
            return tier.expel(), False
        return None

    def due(self, now: float) -> float | None:
        """When `step` has something to look at again; None where one tier is all there is."""
        if len(self.order) < 2 and all(len(t.inside) == len(t.named) for t in self.tiers.values()):
            return None
        return now + min(self.rules.step, 0.5)
