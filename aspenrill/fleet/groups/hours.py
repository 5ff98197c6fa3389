"""One hour of the counters: what each origin told of it, and what is missing. Hours of UTC, since 1970."""

from __future__ import annotations

from dataclasses import dataclass, field

Origin = tuple[str, int]  # name, incarnation; a name of "" is a keeper's total
Key = tuple[str, int, int, int]  # origin, incarnation, group or SEAL, hour
Value = tuple[int, int, int]  # rows, bytes, work
NONE: Value = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class CountRules:
    """Bounds, and times in hours. `tolerated`: the share of the usual bytes that may be missing in an
    hour."""

    most_groups: int = 512
    most_cells: int = 200_000
    most_origins: int = 2_200  # of one hour
    kept: int = 8 * 168
    late: int = 72  # until then a later value is a revision
    closing: int = 24
    detail: int = 2  # closed for that long, what is sealed is folded
    tolerated: float = 0.02


def plus(a: Value, b: Value) -> Value:
    """The sum of two counters."""
    return a[0] + b[0], a[1] + b[1], a[2] + b[2]


def larger(a: Value, b: Value) -> Value:
    """The merge of two states of one counter."""
    return max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2])


@dataclass(slots=True)
class Told:
    """What one origin has told of one hour."""

    groups: dict[int, Value] = field(default_factory=dict)
    seal: Value | None = None

    def whole(self) -> bool:
        """Sealed, and all that the seal counts is here."""
        return self.seal is not None and self.seal == self.sums()

    def sums(self) -> Value:
        """What seals it: how many cells there are, and their bytes and work."""
        values = self.groups.values()
        return len(values), sum(v[1] for v in values), sum(v[2] for v in values)


@dataclass(slots=True)
class HourBook:
    """One hour: parts in detail, and the total of those folded."""

    told: dict[Origin, Told] = field(default_factory=dict)
    folded: set[Origin] = field(default_factory=set)
    total: dict[int, Value] = field(default_factory=dict)  # of those folded
    expected: set[Origin] = field(default_factory=set)  # alive in it, as far as this process saw
    adopted: int = 0  # parts of the total taken from another keeper; own parts are not counted then
    closed: bool = False
    lack: float = 0.0  # when it was closed: the share missing, by the usual bytes of those that did not tell
    revision: int = 0  # changes since it was first closed
    sums: dict[int, Value] | None = None  # of all, until something changes

    def missing(self) -> set[Origin]:
        """Origins that were alive and have not told all."""
        if self.adopted:
            return self.expected
        seen = self.expected | {o for o in self.told if o[0]}
        return {o for o in seen - self.folded if o not in self.told or not self.told[o].whole()}

    def parts(self) -> int:
        """How many origins have told all of it."""
        return self.adopted or len(self.folded) + sum(t.whole() for o, t in self.told.items() if o[0])

    def totals(self) -> dict[int, Value]:
        """By group, over all that was told."""
        if self.sums is None:
            self.sums = dict(self.total)
            for origin, told in self.told.items():
                if origin[0]:
                    for group, value in told.groups.items():
                        self.sums[group] = plus(self.sums.get(group, NONE), value)
        return self.sums
