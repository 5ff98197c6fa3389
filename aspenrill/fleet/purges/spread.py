"""Purges on their way from their origin through relays to members, and the acknowledgements on their way
back.

A relay keeps no timers: the origin repeats what is not acknowledged, and each repeat goes on to those below
that have not answered. Repeats and disorder change nothing: positions only rise.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from .wire import MOST_NAMES, Heard, Item

MOST_FLOWS = 2400  # origins times levels that a relay keeps
START = (0, 0)
Pos = tuple[int, int]


@dataclass(slots=True)
class Branch:
    """What one relay or member below has said last."""

    position: Pos = START
    total: int = 1
    done: int = 0
    missing: list[str] = field(default_factory=list)
    tries: int = 0  # messages down since it last answered


@dataclass(slots=True)
class Flow:
    """One origin's purges at one relay."""

    above: str  # who has sent them last, and gets the sums
    purges: list[Item] = field(default_factory=list)
    branches: dict[str, Branch] = field(default_factory=dict)
    said: Pos = START  # up to where it has been acknowledged upward

    @property
    def last(self) -> Pos:
        """The position of the latest."""
        return self.purges[-1][:2] if self.purges else START


class Relay:
    """The flows through one process at levels 1 and 2, and how far it is itself with each origin."""

    def __init__(self) -> None:
        self.flows: OrderedDict[tuple[int, str], Flow] = OrderedDict()  # the least lately used first
        self.applied: OrderedDict[str, Pos] = OrderedDict()

    def new(self, origin: str, purges: list[Item]) -> list[Item]:
        """Those that a member has not applied yet, in their order; from now on it has."""
        position = self.applied.get(origin, START)
        found = []
        for item in purges:
            if item[:2] > position:
                position = item[:2]
                found.append(item)
        self.applied[origin] = position
        self.applied.move_to_end(origin)
        if len(self.applied) > MOST_FLOWS:
            self.applied.popitem(last=False)
        return found

    def came(
        self, level: int, origin: str, above: str, purges: list[Item], below: dict[str, int]
    ) -> list[str]:
        """Purges have come from above; `below`: members by branch. Gives the branches to be sent them."""
        flow = self.flows.get((level, origin))
        if flow is None:
            flow = self.flows[level, origin] = Flow(above)
            if len(self.flows) > MOST_FLOWS:
                self.flows.popitem(last=False)
        self.flows.move_to_end((level, origin))
        flow.above = above
        if purges[-1][:2] >= flow.last:
            flow.purges = purges
        flow.branches = {
            name: flow.branches.get(name) or Branch(total=count) for name, count in below.items()
        }
        lacking = [name for name, branch in flow.branches.items() if branch.position < flow.last]
        for name in lacking:
            flow.branches[name].tries += 1
        return lacking

    def heard(self, level: int, branch: str, heard: Heard) -> Flow | None:
        """An acknowledgement from below; gives the flow that it belongs to."""
        flow = self.flows.get((level, heard.origin))
        known = flow.branches.get(branch) if flow is not None else None
        if known is None:
            return None
        known.tries = 0
        if heard.position >= known.position:
            known.position = heard.position
            known.total, known.done, known.missing = heard.total, heard.done, heard.missing
        return flow

    def sums(self, level: int, origin: str, names: dict[str, str]) -> Heard | None:
        """What this relay says upward: only what all below it have said. `names`: whom to name for a branch
        that has said nothing."""
        flow = self.flows.get((level, origin))
        if flow is None:
            return None
        position, total, done, missing = flow.last, 0, 0, []
        for key, branch in flow.branches.items():
            position = min(position, branch.position)
            total += branch.total
            if branch.position >= flow.last:
                done += branch.total
            else:
                done += min(branch.done, branch.total - 1)
                missing += branch.missing or [names.get(key, key)]
        return Heard(level, origin, position, total, done, missing[:MOST_NAMES])
