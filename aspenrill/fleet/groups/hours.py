"""Counters of one hour by origin, and which origins are missing. Hours are UTC, counted from 1970."""

from __future__ import annotations

from dataclasses import dataclass, field

Origin = tuple[str, int]  # name, incarnation; the name "" marks a collector's total
Key = tuple[str, int, int, int]  # origin, incarnation, group or SEAL, hour
Value = tuple[int, int, int]  # rows, bytes, work
ZERO: Value = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class CountRules:
    """Bounds, and times in hours.

    An hour is closed after `close_after` at the latest, folded once it is `fold_after` old, accepts later
    values until `accept_for`, and is dropped after `retention`. An hour counts as known if at most
    `max_missing_share` of the usual bytes is missing.
    """

    max_groups: int = 512
    max_cells: int = 200_000
    max_origins: int = 2_200  # in one hour
    retention: int = 8 * 168
    accept_for: int = 72  # later values in that time are revisions
    close_after: int = 24
    fold_after: int = 2  # complete origins of a closed hour are folded from that age on
    max_missing_share: float = 0.02


def add_values(a: Value, b: Value) -> Value:
    """The sum of two counters."""
    return a[0] + b[0], a[1] + b[1], a[2] + b[2]


def merge_values(a: Value, b: Value) -> Value:
    """Merges two states of one counter by the larger value."""
    return max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2])


@dataclass(slots=True)
class OriginCounters:
    """Counters of one origin in one hour, by group."""

    groups: dict[int, Value] = field(default_factory=dict)
    seal: Value | None = None

    def is_complete(self) -> bool:
        """Whether the hour is sealed and all cells that the seal counts are present."""
        return self.seal is not None and self.seal == self.seal_value()

    def seal_value(self) -> Value:
        """The value of the seal: number of cells, and sums of their bytes and work."""
        values = self.groups.values()
        return len(values), sum(v[1] for v in values), sum(v[2] for v in values)


@dataclass(slots=True)
class HourCounters:
    """One hour: counters by origin, and the total of the folded origins."""

    origins: dict[Origin, OriginCounters] = field(default_factory=dict)
    folded: set[Origin] = field(default_factory=set)
    total: dict[int, Value] = field(default_factory=dict)  # of the folded origins
    expected: set[Origin] = field(default_factory=set)  # alive in this hour, as seen by this process
    adopted_count: int = 0  # origins in a total taken over from another collector; 0 for none
    closed: bool = False
    missing_share: float = 0.0  # share of usual bytes missing when it was closed
    revision: int = 0  # number of changes after it was closed
    cached_totals: dict[int, Value] | None = None  # cache of `totals`

    def missing_origins(self) -> set[Origin]:
        """Origins that were alive and whose counters are incomplete."""
        if self.adopted_count:
            return self.expected
        seen = self.expected | {o for o in self.origins if o[0]}
        return {o for o in seen - self.folded if o not in self.origins or not self.origins[o].is_complete()}

    def origin_count(self) -> int:
        """How many origins are complete."""
        return self.adopted_count or len(self.folded) + sum(
            t.is_complete() for o, t in self.origins.items() if o[0]
        )

    def totals(self) -> dict[int, Value]:
        """Sums by group over all origins."""
        if self.cached_totals is None:
            self.cached_totals = dict(self.total)
            for origin, counters in self.origins.items():
                if origin[0]:
                    for group, value in counters.groups.items():
                        self.cached_totals[group] = add_values(self.cached_totals.get(group, ZERO), value)
        return self.cached_totals
