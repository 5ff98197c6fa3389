"""One source of engines: its settings, its current entries, and protection against lists that shrink much.

Where a list shrinks by more than a configured share at once, the missing entries are withdrawn only after a
second lookup also lacks them.

No I/O. Times are seconds of a monotonic clock and come in as arguments.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..api import EngineState
from ..members import Member

Address = tuple[str, int]
LIVE = EngineState.LIVE
DRAINING = EngineState.DRAINING
GONE = EngineState.GONE
STATE_RANK = {LIVE: 0, DRAINING: 1, GONE: 2}  # lower is preferred


@dataclass(frozen=True, slots=True)
class MergeSpec:
    """How the list of a configured source is merged.

    `has_engine_ids`: its ids are those of the engines, not made from host and port.
    `max_shrink`: the largest share of its list that may be missing at once without a second lookup; 1 for a
    source whose missing entries are always deliberate withdrawals.
    """

    name: str
    has_engine_ids: bool = True
    max_shrink: float = 1.0


class Source:
    """The current entries of one source by address, and its health."""

    def __init__(self, spec: MergeSpec, rank: int) -> None:
        self.spec, self.rank = spec, rank
        self.entries: dict[Address, Member] = {}
        self.address_by_id: dict[str, Address] = {}  # keyed by the ids that this source uses
        self.awaiting_list = True  # no list received yet
        self.removing = False  # no longer configured
        self.updated_at: float | None = None
        self.failure: str | None = None
        self.unconfirmed: set[Address] = set()  # missing from the last list; a second lookup is pending
        self.unconfirmed_since = 0.0

    def set_entry(self, address: Address, member: Member | None) -> None:
        """Sets the entry for an address; None removes it."""
        old = self.entries.pop(address, None)
        if old is not None and self.address_by_id.get(old.engine) == address:
            del self.address_by_id[old.engine]
        if member is not None:
            self.entries[address] = member
            self.address_by_id[member.engine] = address

    def confirm_missing(
        self, missing: list[Address], learned_at: float, confirm_after: float
    ) -> tuple[list[Address], str | None, bool]:
        """Decides which addresses missing from a new list are withdrawn.

        `learned_at` is when the data behind the list was obtained, `confirm_after` the seconds until a second
        lookup. Returns the withdrawn addresses, a log line or None, and whether a second lookup is needed.
        """
        name, unconfirmed = self.spec.name, self.unconfirmed
        if not missing or len(missing) <= self.spec.max_shrink * len(self.entries):
            self.unconfirmed = set()
            return missing, None, False
        confirmed: list[Address] = []
        if unconfirmed and learned_at >= self.unconfirmed_since + confirm_after:
            confirmed = [address for address in missing if address in unconfirmed]
        elif unconfirmed and unconfirmed.issuperset(missing):
            return [], None, False  # cached answer, or too early: the second lookup is still pending
        if len(confirmed) == len(missing):
            self.unconfirmed = set()
            return confirmed, f"source {name}: a second look finds the same {len(confirmed)} missing", False
        self.unconfirmed, self.unconfirmed_since = set(missing), learned_at
        return (
            confirmed,
            (
                f"source {name}: {len(missing)} of {len(self.entries)} missing at once, "
                f"to be confirmed by a second look"
            ),
            True,
        )


def precedence(member: Member) -> tuple[int, int, float, float]:
    """Sort key for entries of one list with the same address; the lowest is used.

    The live entry precedes, then the lower priority, then the greater weight, then the later start.
    """
    return STATE_RANK[member.state], member.priority, -(member.weight or 0.0), -member.started


def entries_by_address(members: Iterable[Member]) -> dict[Address, Member]:
    """Indexes a list by address. Of entries with the same address, the one with the lowest `precedence` is
    kept, and of equal ones the last.
    """
    found: dict[Address, Member] = {}
    for member in members:
        other = found.get(member.address)
        if other is None or precedence(member) <= precedence(other):
            found[member.address] = member
    return found
