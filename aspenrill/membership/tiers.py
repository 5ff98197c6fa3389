"""Tiers by SRV priority (RFC 2782): a lower tier serves only while those above it lack usable engines.

The tier with the lowest priority value is the first. The number of engines needed is the share `target_share`
of those listed in the first tier, at least `min_engines`. A lower tier opens when the tiers above it have
fewer usable engines than the share `open_below` of the first tier's size. It then admits one engine every
`step_interval` seconds, each as cold, until the need is met. It closes, one engine per step, once the tiers
above have met the need for `settle_for` seconds, which gives them time to warm up.

No I/O; times come in as arguments. A step is linear in the number of tiers, an update logarithmic in the size
of its tier.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class TierRules:
    """When a lower tier opens and closes.

    `open_below` and `target_share` are shares of the first tier's size, `min_engines` is a number of engines,
    and `step_interval` and `settle_for` are seconds.
    """

    open_below: float = 0.5
    target_share: float = 0.75
    min_engines: int = 1
    step_interval: float = 1.0
    settle_for: float = 15.0


class Tier:
    """The engines of one priority: listed, usable, admitted, and waiting for admission by weight."""

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.usable_by_address: dict[Address, bool] = {}  # every listed engine
        self.weights: dict[Address, float] = {}
        self.usable_count = 0
        self.admitted: dict[Address, None] = {}  # in order of admission
        self.admitted_usable_count = 0
        self.waiting: list[tuple[float, Address]] = []  # heap by descending weight; may hold stale entries
        self.open = False
        self.satisfied_since: float | None = None
        self.next_step_at = 0.0

    def update(self, address: Address, usable: bool, weight: float) -> None:
        """Adds an engine or updates its state."""
        before = self.usable_by_address.get(address)
        self.usable_by_address[address], self.weights[address] = usable, weight
        self.usable_count += usable - bool(before)
        if address in self.admitted:
            self.admitted_usable_count += usable - bool(before)
        elif before is None or usable and not before:
            heapq.heappush(self.waiting, (-weight, address))
            if len(self.waiting) > 2 * len(self.usable_by_address) + 16:  # most entries are stale
                self.waiting = [
                    (-self.weights[a], a) for a in self.usable_by_address if a not in self.admitted
                ]
                heapq.heapify(self.waiting)

    def remove(self, address: Address) -> None:
        """Removes an engine that is no longer listed in this tier."""
        usable = self.usable_by_address.pop(address)
        del self.weights[address]
        self.usable_count -= usable
        if address in self.admitted:
            del self.admitted[address]
            self.admitted_usable_count -= usable

    def admit(self, address: Address) -> None:
        """Admits an engine."""
        if address not in self.admitted:
            self.admitted[address] = None
            self.admitted_usable_count += self.usable_by_address[address]

    def evict_latest(self) -> Address:
        """Evicts the engine admitted last and returns its address."""
        address, _ = self.admitted.popitem()
        self.admitted_usable_count -= self.usable_by_address[address]
        heapq.heappush(self.waiting, (-self.weights[address], address))
        return address

    def pop_heaviest(self) -> Address | None:
        """Pops the usable waiting engine with the greatest weight; None if there is none."""
        while self.waiting:
            _, address = heapq.heappop(self.waiting)
            if self.usable_by_address.get(address) and address not in self.admitted:
                return address
        return None


class Tiers:
    """All tiers. Call `update` and `remove` when engines change, and `step` regularly to admit and evict
    engines.
    """

    def __init__(self, rules: TierRules) -> None:
        self.rules = rules
        self.tiers: dict[int, Tier] = {}
        self.priorities: list[int] = []
        self.tier_by_address: dict[Address, Tier] = {}
        self.log_lines: list[str] = []

    def update(
        self, now: float, address: Address, priority: int, usable: bool, weight: float, at_once: bool
    ) -> bool:
        """Adds an engine or updates its state. Returns whether it is admitted.

        `at_once`: the engine is in a source's first list, so it may have been serving before; in the first
        tier it is admitted without waiting for a step.
        """
        tier = self.tier_by_address.get(address)
        if tier is not None and tier.priority != priority:
            inside = address in tier.admitted
            self.remove(address)
            at_once, tier = at_once or inside, None
        if tier is None:
            tier = self.tiers.get(priority)
            if tier is None:
                tier = self.tiers[priority] = Tier(priority)
                self.priorities = sorted(self.tiers)
            self.tier_by_address[address] = tier
        tier.update(address, usable, weight)
        if self.priorities[0] == priority and (
            at_once or tier.open or len(self.priorities) == 1 and not tier.admitted
        ):
            tier.open = True
            tier.admit(address)
        return address in tier.admitted

    def remove(self, address: Address) -> None:
        """Removes an engine that is no longer listed."""
        tier = self.tier_by_address.pop(address, None)
        if tier is None:
            return
        tier.remove(address)
        if not tier.usable_by_address:
            del self.tiers[tier.priority]
            self.priorities = sorted(self.tiers)

    def inside(self, address: Address) -> bool:
        """Returns whether the engine is admitted."""
        tier = self.tier_by_address.get(address)
        return tier is not None and address in tier.admitted

    def step(self, now: float) -> Iterator[tuple[Address, bool]]:
        """Admits (True) and evicts (False) the engines whose step is due, at most one per tier."""
        rules, usable_above, needed, min_usable = self.rules, 0, 0, 0.0
        for position, priority in enumerate(self.priorities):
            tier = self.tiers[priority]
            if position == 0:
                size = max(rules.min_engines, len(tier.usable_by_address))
                needed = max(rules.min_engines, math.ceil(rules.target_share * size))
                min_usable = max(rules.min_engines, rules.open_below * size)
                target_size = len(tier.usable_by_address)
                tier.open, tier.satisfied_since = True, None
            else:
                target_size = self._target_size(now, tier, usable_above, needed, min_usable)
            if tier.open and now >= tier.next_step_at:
                change = self._admit_or_evict(tier, target_size, first=position == 0)
                if change is not None:
                    tier.next_step_at = now + rules.step_interval
                    yield change
            usable_above += tier.usable_count

    def _target_size(self, now: float, tier: Tier, usable_above: int, needed: int, min_usable: float) -> int:
        """Returns how many usable engines a lower tier should have admitted; opens or closes the tier."""
        if not tier.open and usable_above < min_usable:
            tier.open, tier.satisfied_since, tier.next_step_at = True, None, now
            self.log_lines.append(
                f"tier {tier.priority} opens: {usable_above} of {needed} engines above it are usable"
            )
        if not tier.open:
            return 0
        if usable_above >= needed:
            tier.satisfied_since = now if tier.satisfied_since is None else tier.satisfied_since
            if now >= tier.satisfied_since + self.rules.settle_for:
                if not tier.admitted:
                    tier.open = False
                    self.log_lines.append(
                        f"tier {tier.priority} is closed: {usable_above} engines above it are usable"
                    )
                return 0
            return tier.admitted_usable_count  # no change until the tiers above have settled
        tier.satisfied_since = None
        return max(tier.admitted_usable_count, needed - usable_above)

    @staticmethod
    def _admit_or_evict(tier: Tier, target_size: int, first: bool) -> tuple[Address, bool] | None:
        if tier.admitted_usable_count < target_size:
            address = tier.pop_heaviest()
            if address is not None:
                tier.admit(address)
                return address, True
        elif (
            not first
            and tier.admitted
            and target_size < tier.admitted_usable_count
            or not target_size
            and tier.admitted
        ):
            return tier.evict_latest(), False
        return None

    def due(self, now: float) -> float | None:
        """Returns when `step` should run next; None if there is one tier and all of it is admitted."""
        if len(self.priorities) < 2 and all(
            len(t.admitted) == len(t.usable_by_address) for t in self.tiers.values()
        ):
            return None
        return now + min(self.rules.step_interval, 0.5)
