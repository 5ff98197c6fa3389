"""State of purges at a relay between their origin and the members, and of acknowledgements on the way back.

A relay has no timers: the origin repeats unacknowledged purges, and the relay forwards each repeat to the
branches that have not answered. Repetition and reordering are harmless, since positions only rise.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from .wire import MAX_NAMES, Item, SpreadAck

MAX_FLOWS = 2400  # pairs of origin and level stored by a relay
START = (0, 0)
Position = tuple[int, int]


@dataclass(slots=True)
class Branch:
    """The last acknowledgement of one relay or member below."""

    position: Position = START
    total: int = 1
    done: int = 0
    missing: list[str] = field(default_factory=list)
    tries: int = 0  # messages sent to it since its last answer


@dataclass(slots=True)
class Flow:
    """One origin's purges at one relay."""

    sender: str  # the last sender of the purges, which gets the acknowledgements
    purges: list[Item] = field(default_factory=list)
    branches: dict[str, Branch] = field(default_factory=dict)
    acknowledged: Position = START  # position acknowledged upward

    @property
    def last(self) -> Position:
        """The position of the latest purge."""
        return self.purges[-1][:2] if self.purges else START


class Relay:
    """The flows through one process as a relay, and the positions that it has applied as a member."""

    def __init__(self) -> None:
        self.flows: OrderedDict[tuple[int, str], Flow] = OrderedDict()  # least recently used first
        self.applied: OrderedDict[str, Position] = OrderedDict()

    def take_new(self, origin: str, purges: list[Item]) -> list[Item]:
        """The purges that this member has not applied, in order; marks them as applied."""
        position = self.applied.get(origin, START)
        new = []
        for item in purges:
            if item[:2] > position:
                position = item[:2]
                new.append(item)
        self.applied[origin] = position
        self.applied.move_to_end(origin)
        if len(self.applied) > MAX_FLOWS:
            self.applied.popitem(last=False)
        return new

    def on_purges(
        self, level: int, origin: str, sender: str, purges: list[Item], member_counts: dict[str, int]
    ) -> list[str]:
        """Takes purges from above; the branches to forward them to. `member_counts` is by branch."""
        flow = self.flows.get((level, origin))
        if flow is None:
            flow = self.flows[level, origin] = Flow(sender)
            if len(self.flows) > MAX_FLOWS:
                self.flows.popitem(last=False)
        self.flows.move_to_end((level, origin))
        flow.sender = sender
        if purges[-1][:2] >= flow.last:
            flow.purges = purges
        flow.branches = {
            name: flow.branches.get(name) or Branch(total=count) for name, count in member_counts.items()
        }
        pending = [name for name, branch in flow.branches.items() if branch.position < flow.last]
        for name in pending:
            flow.branches[name].tries += 1
        return pending

    def on_ack(self, level: int, branch: str, ack: SpreadAck) -> Flow | None:
        """Takes an acknowledgement from below; the flow that it belongs to."""
        flow = self.flows.get((level, ack.origin))
        state = flow.branches.get(branch) if flow is not None else None
        if state is None:
            return None
        state.tries = 0
        if ack.position >= state.position:
            state.position = ack.position
            state.total, state.done, state.missing = ack.total, ack.done, ack.missing
        return flow

    def summary(self, level: int, origin: str, names: dict[str, str]) -> SpreadAck | None:
        """The acknowledgement to send upward: the position that all branches have acknowledged.

        `names` gives the process to report for a branch that has not answered.
        """
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
        return SpreadAck(level, origin, position, total, done, missing[:MAX_NAMES])
