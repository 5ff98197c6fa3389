"""Allocates a capacity to the fleet's demand: the highest worth per work first, with one threshold for all.

Demand is grouped into bands of worth per unit of work. Bands above the threshold are served in full; of the
band at the threshold all processes get the same amount, or their demand if it is less (max-min fairness by
water filling: Bertsekas and Gallager, Data Networks, 6.5.2). Unrequested capacity is split equally, so that
it is available before demand arrives.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

BAND_WIDTH = math.log(1.05)  # densities within 5% count as equal, as each process estimates its own


def water_fill(
    capacity: float, demands: Sequence[float], weights: Sequence[float] | None = None
) -> list[float]:
    """Weighted max-min fairness: each gets its demand, or a common level times its weight if that is less.
    The capacity is used up as far as there is demand."""
    weights = weights or [1.0] * len(demands)
    allocated = [0.0] * len(demands)
    order = sorted(
        (i for i in range(len(demands)) if weights[i] > 0 and demands[i] > 0),
        key=lambda i: demands[i] / weights[i],
    )
    remaining, weight = capacity, sum(weights[i] for i in order)
    for i in order:
        allocated[i] = min(demands[i], max(0.0, remaining) * weights[i] / weight)
        remaining, weight = remaining - allocated[i], max(1e-12, weight - weights[i])
    return allocated


def band(density: float) -> int:
    """The band of a worth per work."""
    return round(math.log(max(1e-9, density)) / BAND_WIDTH)


def band_worth(level: float) -> float:
    """The worth per work in the middle of a band."""
    return math.exp(level * BAND_WIDTH)


@dataclass(frozen=True, slots=True)
class Allocation:
    """`level`: the band at the threshold; None if all demand fits. `admitted`: served share of that band's
    demand. `targets`: each process's share of the capacity; they sum to at most 1."""

    level: int | None
    admitted: float
    targets: dict[str, float]


def allocate(capacity: float, demand: Mapping[str, Iterable[tuple[float, float]]]) -> Allocation:
    """Allocate `capacity` to `demand`: by process, (worth per work, work a second) of each class."""
    if capacity <= 0 or not demand:
        return Allocation(None, 1.0, dict.fromkeys(demand, 0.0))
    names = sorted(demand)
    bands: dict[int, dict[str, float]] = {}
    for name in names:
        for density, work in demand[name]:
            if work > 0 and density > 0:
                requested = bands.setdefault(band(density), {})
                requested[name] = requested.get(name, 0.0) + work
    allocated, remaining = dict.fromkeys(names, 0.0), capacity
    level, admitted = None, 1.0
    for number in sorted(bands, reverse=True):
        requested = bands[number]
        total = sum(requested.values())
        if total > remaining:
            order = sorted(requested)
            for name, amount in zip(order, water_fill(remaining, [requested[n] for n in order]), strict=True):
                allocated[name] += amount
            level, admitted, remaining = number, remaining / total, 0.0
            break
        for name, work in requested.items():
            allocated[name] += work
        remaining -= total
    surplus = remaining / len(names)
    return Allocation(level, admitted, {name: (allocated[name] + surplus) / capacity for name in names})


class SheddingThreshold:
    """The shedding threshold in use: the allocated one, smoothed so that single reports do not make it
    swing."""

    TIME_CONSTANT = 1.0  # seconds

    def __init__(self) -> None:
        self.level: float | None = None
        self.admitted = 1.0
        self._at = 0.0

    def update(self, now: float, allocation: Allocation, lowest: int) -> None:
        """Move towards an allocation. `lowest`: the lowest band with demand; if all fits, the threshold falls
        below it and is then removed."""
        weight = 1 - math.exp(-max(0.0, now - self._at) / self.TIME_CONSTANT)
        self._at = now
        target = allocation.level if allocation.level is not None else lowest - 1
        if self.level is None:
            self.level = None if allocation.level is None else lowest - 1.0
        if self.level is not None:
            self.level += weight * (target - self.level)
            if allocation.level is None and self.level < lowest - 0.5:
                self.level = None
        self.admitted += weight * (allocation.admitted - self.admitted)

    @property
    def worth(self) -> float:
        """Worth per work below which requests are shed; 0: none are."""
        return 0.0 if self.level is None else band_worth(self.level - 0.5)
