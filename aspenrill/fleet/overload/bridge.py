"""Between the owner, which has the decision module, and the fleet's part: plain calls in, facts out.

Both live in one thread. Calls take microseconds and keep nothing that is not bounded. Without a fleet
there is no bridge, and the module goes by its own settings as before.
"""

from __future__ import annotations

from collections.abc import Iterable

from .facts import Facts, slots
from .part import OverloadPart
from .rules import mark


class Bridge:
    """`now` is CLOCK_BOOTTIME throughout. Work in core-seconds."""

    def __init__(self, part: OverloadPart) -> None:
        self.part = part
        self.phase = 0.0  # of this process's turn at a fraction of a thread; see `started`

    def started(self) -> None:
        """Once the part has started and its name is known."""
        self.phase = mark(self.part.view.name) / 2**64

    # ---- what the module knows ------------------------------------------------------------------------

    def asked(self, now: float, cls: int, tenant: int, work: float, worth: float) -> None:
        """A request came: what it is expected to take, and what it is worth in all."""
        self.part.meter.ask(now, cls, tenant, work, worth)

    def refused(self, now: float, cls: int, tenant: int, work: float) -> None:
        """A request was refused, here or for want of room at engines."""
        self.part.meter.refuse(now, cls, tenant, work)

    def state(self, threads: float, slowdown: float, rung: int, waiting: float) -> None:
        """Own threads out, own slowdown, rung of the entry gap, worth per work of the best that waits."""
        meter = self.part.meter
        meter.threads, meter.slowdown, meter.rung, meter.waiting = threads, slowdown, rung, waiting

    def engines(self, warm: Iterable[tuple[str, float]], cold: Iterable[str]) -> None:
        """The list has changed, or an engine is no longer cold. `warm`: name and the threads that it
        takes."""
        warm, cold = sorted(warm), sorted(cold)
        version = mark(repr((warm, cold))) >> 1
        names = [name for name, _ in warm] + cold
        self.part.engines(version, sum(threads for _, threads in warm), names, cold)

    def ejected(self, now: float, engine: str) -> None:
        """The module has put an engine out."""
        self.part.probes.eject(now, engine)

    def probed(self, now: float, engine: str, back: bool) -> None:
        """A probe at an engine that was out has ended."""
        self.part.probes.answered(now, engine, back)

    # ---- what the module may do -----------------------------------------------------------------------

    def facts(self) -> Facts:
        """As of the last tick; read its part with the time of use."""
        return self.part.facts

    def threads(self, now: float) -> float:
        """Threads that this process may have out at warm engines now."""
        return self.part.threads(now)

    def slots(self, now: float) -> int:
        """The same as whole threads, of which a fraction is one more for a share of the time."""
        return slots(self.part.threads(now), now, self.phase)

    def may_retry(self, now: float) -> bool:
        """Whether a try beyond the first may be made; spent if so."""
        return self.part.may_retry(now)

    def asks_itself(self) -> bool:
        """Nobody else is known: the module asks after engines that are out as it would without a fleet."""
        return self.part.probes.alone
