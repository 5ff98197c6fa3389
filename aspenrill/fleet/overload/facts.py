"""What the decision module is given: this process's parts, what is told of the fleet, and what falls to it.

A part is kept as steps that end by themselves, so that it is read with the clock at the moment of use.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from .turns import Turn

TURN = 1.0  # seconds
Steps = tuple[tuple[float, float], ...]  # (until when, what there is until then); the last until for ever


def steps(pieces: list[tuple[float, float]], scale: float) -> Steps:
    """Of pieces (end, amount), what there is in all until each end, times `scale`."""
    ends = sorted({end for end, _ in pieces} | {math.inf})
    found = [(end, scale * sum(a for e, a in pieces if e >= end)) for end in ends[-32:]]
    return tuple(found)


def read(part: Steps, now: float) -> float:
    """What there is at this moment."""
    return next((amount for until, amount in part if now < until), 0.0)


def slots(part: float, now: float, phase: float) -> int:
    """A part as whole threads: its fraction is one more for that share of each `TURN` seconds. `phase`: 0
    to 1, another one for each process, so that not all have it at once."""
    full = math.floor(part)
    return full + ((now / TURN + phase) % 1.0 < part - full)


@dataclass(frozen=True, slots=True)
class ProbeNews:
    """Another process has asked an engine: `back`, or still out."""

    engine: str
    back: bool
    origin: str


@dataclass(frozen=True, slots=True)
class Facts:
    """As of `at`, seconds of CLOCK_BOOTTIME. Work in core-seconds, worth as the classes have it."""

    at: float
    joined: bool = False  # a majority acknowledges this process; else it has its floor alone
    alone: bool = True  # no other process is known
    part: Steps = ()  # threads at warm engines
    slowdown: float = 1.0  # of the fleet, by threads out
    rung: int = 0  # highest in the fleet
    cut: float = 0.0  # worth per work under which work is shed; 0: none is
    admitted: float = 1.0  # of work just at the cut, the share that is served
    asks: frozenset[str] = frozenset()  # engines after which this process asks now
    turns: Mapping[str, Turn] = field(default_factory=dict)  # by cold engine
    tenants: Mapping[int, tuple[float, float]] = field(default_factory=dict)  # (asked, refused) work a second

    def threads(self, now: float) -> float:
        """Threads that this process may have out at warm engines, as of this moment."""
        return read(self.part, now)

    def sheds(self, density: float) -> bool:
        """Whether work of so much worth per work is under the line."""
        return density < self.cut
