"""Forwarding of an origin's purges down the tree through this process, and their acknowledgement upward."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..interface import Place, View
from ..kept.store import AnswerStore
from .spread import Flow, Relay
from .tree import Tree
from .wire import BUILDING, MEMBER, ROOT, SITE, Message, Spread, SpreadAck


class Flows:
    """Handles purge messages. `send` sends a message to a process, which may be this one."""

    def __init__(
        self, view: View, tree: Tree, store: AnswerStore, send: Callable[[str, Message], None]
    ) -> None:
        self.view, self.tree, self.store, self.send = view, tree, store, send
        self.relay = Relay()

    def on_spread(self, sender: str, message: Spread) -> None:
        """A member applies the purges, then acknowledges them; a relay forwards them to its branches."""
        level, origin, purges = message.level, message.origin, sorted(message.purges)
        if level == MEMBER:
            for item in self.relay.take_new(origin, purges):
                self.store.purge(item[2])
            self.send(sender, SpreadAck(BUILDING, origin, self.relay.applied[origin], 1, 1, []))
        if level not in (BUILDING, SITE):
            return
        site = self.view.place.site
        if level == SITE:
            member_counts = {
                name: len(self.tree.members(Place(site, name))) for name in self.tree.buildings(site)
            }
        else:
            member_counts = {member.name: 1 for member in self.tree.members(self.view.place)}
        known_flow = (level, origin) in self.relay.flows
        pending = self.relay.on_purges(level, origin, sender, purges, member_counts)
        flow = self.relay.flows[level, origin]
        for branch in pending:
            target: str | None = branch
            if level == SITE:
                target = self.tree.relay(site, branch, flow.branches[branch].tries - 1)
            if target is not None:
                self.send(target, Spread(level - 1, origin, flow.purges))
        if known_flow or not pending:
            self._acknowledge_up(level, origin, flow)

    def on_ack(self, sender: str, message: SpreadAck) -> bool:
        """Takes an acknowledgement from below; whether it is meant for this process as the origin."""
        level, member = message.level, self.view.members().get(sender)
        if member is None or level == MEMBER:
            return False
        if level == ROOT:
            return message.origin == self.view.name
        branch = member.name if level == BUILDING else member.place.building
        flow = self.relay.on_ack(level, branch, message)
        if (
            flow is not None
            and flow.acknowledged < flow.last
            and all(branch_state.position >= flow.last for branch_state in flow.branches.values())
        ):
            self._acknowledge_up(level, message.origin, flow)
        return False

    def _acknowledge_up(self, level: int, origin: str, flow: Flow) -> None:
        names = {}
        if level == SITE:
            site = self.view.place.site
            names = {branch: self.tree.relay(site, branch) or branch for branch in flow.branches}
        summary = self.relay.summary(level, origin, names)
        flow.acknowledged = max(flow.acknowledged, summary.position)
        self.send(flow.sender, msgspec.structs.replace(summary, level=level + 1))
