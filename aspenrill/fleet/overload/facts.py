"""The overload component's output for the decision module: capacity share, fleet load and assigned probes.

A capacity share is a step function of time that falls where leases and loans end, so it is read at the moment
of use.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from .cold_slots import ColdSlot

FRACTION_PERIOD = 1.0  # seconds over which a fraction of a thread is averaged
StepFunction = tuple[tuple[float, float], ...]  # (end, amount until then); the last end is infinite


def step_function(pieces: list[tuple[float, float]], scale: float) -> StepFunction:
    """Sum pieces (end, amount) to a step function, times `scale`."""
    ends = sorted({end for end, _ in pieces} | {math.inf})
    found = [(end, scale * sum(a for e, a in pieces if e >= end)) for end in ends[-32:]]
    return tuple(found)


def value_at(capacity: StepFunction, now: float) -> float:
    """The amount at this moment."""
    return next((amount for until, amount in capacity if now < until), 0.0)


def integer_threads(capacity: float, now: float, phase: float) -> int:
    """A capacity share as whole threads: the fraction is one more thread for that share of each
    `FRACTION_PERIOD`. `phase` (0 to 1) differs by process, so that not all have the extra thread at once."""
    full = math.floor(capacity)
    return full + ((now / FRACTION_PERIOD + phase) % 1.0 < capacity - full)


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of another process's probe of an ejected engine."""

    engine: str
    recovered: bool
    origin: str


@dataclass(frozen=True, slots=True)
class Facts:
    """The state at `at`, seconds of CLOCK_BOOTTIME. Work is in core-seconds, worth as configured for
    classes."""

    at: float
    joined: bool = False  # leased by a majority of voters; otherwise only the floor share applies
    alone: bool = True  # no other process is known
    capacity: StepFunction = ()  # threads at warm engines
    slowdown: float = 1.0  # of the fleet, weighted by threads in use
    entry_gap_level: int = 0  # highest in the fleet
    shed_below: float = 0.0  # worth per work below which requests are shed; 0: none are
    admitted: float = 1.0  # served share of the work at the threshold
    probe_targets: frozenset[str] = frozenset()  # engines that this process must probe now
    cold_slots: Mapping[str, ColdSlot] = field(default_factory=dict)  # by cold engine
    # by tenant: (requested, refused) work a second
    tenants: Mapping[int, tuple[float, float]] = field(default_factory=dict)

    def threads(self, now: float) -> float:
        """The threads that this process may use at warm engines at this moment."""
        return value_at(self.capacity, now)

    def sheds(self, density: float) -> bool:
        """Whether a request of this worth per work is shed."""
        return density < self.shed_below
