"""A source of engines as configured, what it has said last, and when it may withdraw much at once.

A list that shrinks by more than a share at once counts only where a second look finds the same missing.

No I/O. Times are seconds of one clock that never goes back, and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..api import EngineState
from ..members import Member

Address = tuple[str, int]
LIVE, DRAINING, GONE = EngineState.LIVE, EngineState.DRAINING, EngineState.GONE
STANDING = {LIVE: 0, DRAINING: 1, GONE: 2}


@dataclass(frozen=True, slots=True)
class Spec:
    """A source as configured. `names_ids`: its ids are the engines' own. `shrink`: the share of its list that
    may go at once without a second look; 1 where a missing entry is a statement."""

    name: str
    names_ids: bool = True
    shrink: float = 1.0


class Source:
    """What one source has said last, by address, and how it does."""

    def __init__(self, spec: Spec, rank: int) -> None:
        self.spec, self.rank = spec, rank
        self.said: dict[Address, Member] = {}
        self.where: dict[str, Address] = {}  # by its own ids
        self.first = True  # has said nothing yet
        self.leaving = False  # not configured any more
        self.heard_at: float | None = None
        self.failing: str | None = None
        self.doubted: set[Address] = set()  # missing from the last list, until a second look
        self.doubted_at = 0.0

    def note(self, address: Address, member: Member | None) -> None:
        """Its word on an address; None: it names none there."""
        old = self.said.pop(address, None)
        if old is not None and self.where.get(old.engine) == address:
            del self.where[old.engine]
        if member is not None:
            self.said[address] = member
            self.where[member.engine] = address

    def withdraws(
        self, missing: list[Address], asked: float, confirm: float
    ) -> tuple[list[Address], str | None, bool]:
        """Which of those missing from a list it withdraws, a line for the log, and whether it must look
        again. `asked`: when what the list rests on was learned; `confirm`: seconds to a second look."""
        name, doubted = self.spec.name, self.doubted
        if not missing or len(missing) <= self.spec.shrink * len(self.said):
            self.doubted = set()
            return missing, None, False
        sure: list[Address] = []
        if doubted and asked >= self.doubted_at + confirm:
            sure = [address for address in missing if address in doubted]
        elif doubted and doubted.issuperset(missing):
            return [], None, False  # the same answer again, or too soon: the second look is still to come
        if len(sure) == len(missing):
            self.doubted = set()
            return sure, f"source {name}: a second look finds the same {len(sure)} missing", False
        self.doubted, self.doubted_at = set(missing), asked
        return (
            sure,
            (
                f"source {name}: {len(missing)} of {len(self.said)} missing at once, "
                f"to be confirmed by a second look"
            ),
            True,
        )


def precedence(member: Member) -> tuple[int, int, float, float]:
    """Of two at one address in one list the lower one counts: the live one, then the lower priority, then the
    heavier, then the later start."""
    return STANDING[member.state], member.priority, -(member.weight or 0.0), -member.started


def places(members: Iterable[Member]) -> dict[Address, Member]:
    """A list by address; of two at one address the live one counts, then the lower priority, then the later
    start, then the later in the list."""
    found: dict[Address, Member] = {}
    for member in members:
        other = found.get(member.address)
        if other is None or precedence(member) <= precedence(other):
            found[member.address] = member
    return found
