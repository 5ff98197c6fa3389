"""Connects the owner, which runs the decision module, to the overload component: calls in, facts out.

Both run in one thread. Calls take microseconds and hold bounded state. Without a fleet there is no bridge,
and the decision module uses its own settings.
"""

from __future__ import annotations

from collections.abc import Iterable

from .facts import Facts, integer_threads
from .part import OverloadComponent
from .rules import name_hash


class Bridge:
    """`now` is CLOCK_BOOTTIME throughout; work is in core-seconds."""

    def __init__(self, part: OverloadComponent) -> None:
        self.part = part
        self.phase = 0.0  # when this process uses its fraction of a thread; set by `started`

    def started(self) -> None:
        """Call once the component has started, when its name is known."""
        self.phase = name_hash(self.part.view.name) / 2**64

    # ---- reported by the owner ------------------------------------------------------------------------

    def on_request(self, now: float, cls: int, tenant: int, work: float, worth: float) -> None:
        """Count an arriving request: its expected work and its total worth."""
        self.part.meter.on_request(now, cls, tenant, work, worth)

    def on_refused(self, now: float, cls: int, tenant: int, work: float) -> None:
        """Count a refused request."""
        self.part.meter.on_refused(now, cls, tenant, work)

    def set_load(self, threads: float, slowdown: float, entry_gap_level: int, waiting: float) -> None:
        """Set the threads in use, the slowdown, the entry gap level, and the highest worth per work in the
        queue."""
        meter = self.part.meter
        meter.threads = threads
        meter.slowdown = slowdown
        meter.entry_gap_level = entry_gap_level
        meter.waiting = waiting

    def set_engines(self, warm: Iterable[tuple[str, float]], cold: Iterable[str]) -> None:
        """Set the engine list, after a change or when an engine is no longer cold. `warm`: name and
        threads."""
        warm, cold = sorted(warm), sorted(cold)
        version = name_hash(repr((warm, cold))) >> 1
        names = [name for name, _ in warm] + cold
        self.part.set_engines(version, sum(threads for _, threads in warm), names, cold)

    def on_ejected(self, now: float, engine: str) -> None:
        """The decision module has ejected an engine."""
        self.part.probes.on_ejected(now, engine)

    def on_probed(self, now: float, engine: str, recovered: bool) -> None:
        """A probe of an ejected engine has ended."""
        self.part.probes.on_answer(now, engine, recovered)

    # ---- read by the owner -----------------------------------------------------------------------

    def facts(self) -> Facts:
        """The facts as of the last tick. Its capacity share must be read at the time of use."""
        return self.part.facts

    def threads(self, now: float) -> float:
        """The threads that this process may use at warm engines now."""
        return self.part.threads(now)

    def slots(self, now: float) -> int:
        """`threads` as an integer: the fraction is one more thread for that fraction of the time."""
        return integer_threads(self.part.threads(now), now, self.phase)

    def may_retry(self, now: float) -> bool:
        """Take a retry from the budget; False if none is left."""
        return self.part.may_retry(now)

    def probes_locally(self) -> bool:
        """Whether no other process is known, so that this one probes ejected engines as it would without a
        fleet."""
        return self.part.probes.alone
