"""How a capacity is dealt over the fleet's demand: the most worth for its work first, one cut line for
all.

Demand comes in bands of worth per unit of work. Bands above the line are served whole; of the band at the
line all processes get the same amount, or what they ask where that is less (max-min, by water filling:
Bertsekas and Gallager, Data Networks, 6.5.2). What nobody asks for is dealt out equally, so that parts are
there before demand is.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

BAND = math.log(1.05)  # densities within a band of 5% count as equal: each process learns its own


def water_fill(
    capacity: float, demands: Sequence[float], weights: Sequence[float] | None = None
) -> list[float]:
    """Weighted max-min: each gets its demand, or `level` times its weight where that is less; all of
    `capacity` is dealt, as far as demand goes."""
    weights = weights or [1.0] * len(demands)
    given = [0.0] * len(demands)
    order = sorted(
        (i for i in range(len(demands)) if weights[i] > 0 and demands[i] > 0),
        key=lambda i: demands[i] / weights[i],
    )
    left, weight = capacity, sum(weights[i] for i in order)
    for i in order:
        given[i] = min(demands[i], max(0.0, left) * weights[i] / weight)
        left, weight = left - given[i], max(1e-12, weight - weights[i])
    return given


def band(density: float) -> int:
    """The band of a worth per work."""
    return round(math.log(max(1e-9, density)) / BAND)


def worth_of(level: float) -> float:
    """The worth per work in the middle of a band."""
    return math.exp(level * BAND)


@dataclass(frozen=True, slots=True)
class Deal:
    """`level`: the band at the line; None where all demand fits. `admitted`: share of that band's demand
    that is served. `targets`: by process, its share of the capacity; they sum to 1 at most."""

    level: int | None
    admitted: float
    targets: dict[str, float]


def deal(capacity: float, demand: Mapping[str, Iterable[tuple[float, float]]]) -> Deal:
    """`demand`: by process, (worth per work, work a second) of each class."""
    if capacity <= 0 or not demand:
        return Deal(None, 1.0, dict.fromkeys(demand, 0.0))
    names = sorted(demand)
    bands: dict[int, dict[str, float]] = {}
    for name in names:
        for density, work in demand[name]:
            if work > 0 and density > 0:
                asked = bands.setdefault(band(density), {})
                asked[name] = asked.get(name, 0.0) + work
    given, left = dict.fromkeys(names, 0.0), capacity
    level, admitted = None, 1.0
    for at in sorted(bands, reverse=True):
        asked = bands[at]
        total = sum(asked.values())
        if total > left:
            order = sorted(asked)
            for name, amount in zip(order, water_fill(left, [asked[n] for n in order]), strict=True):
                given[name] += amount
            level, admitted, left = at, left / total, 0.0
            break
        for name, work in asked.items():
            given[name] += work
        left -= total
    spare = left / len(names)
    return Deal(level, admitted, {name: (given[name] + spare) / capacity for name in names})


class Line:
    """The cut line in use: follows what is dealt with a delay, so that it does not swing with single news."""

    FOLLOW = 1.0  # seconds

    def __init__(self) -> None:
        self.level: float | None = None
        self.admitted = 1.0
        self._at = 0.0

    def follow(self, now: float, dealt: Deal, lowest: int) -> None:
        """`lowest`: the least band that is asked; with room for all the line goes below it, then away."""
        weight = 1 - math.exp(-max(0.0, now - self._at) / self.FOLLOW)
        self._at = now
        goal = dealt.level if dealt.level is not None else lowest - 1
        if self.level is None:
            self.level = None if dealt.level is None else lowest - 1.0
        if self.level is not None:
            self.level += weight * (goal - self.level)
            if dealt.level is None and self.level < lowest - 0.5:
                self.level = None
        self.admitted += weight * (dealt.admitted - self.admitted)

    @property
    def worth(self) -> float:
        """Worth per work under which work is shed; 0: none is."""
        return 0.0 if self.level is None else worth_of(self.level - 0.5)
