"""An origin's purges on their way down through this process, and what it says upward: messages, without
leases."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..interface import Place, View
from ..kept.store import Store
from .spread import Flow, Relay
from .tree import Tree
from .wire import BUILDING, MEMBER, ROOT, SITE, Heard, Message, Spread


class Flows:
    """`send` posts a message to a process, this one too."""

    def __init__(self, view: View, tree: Tree, store: Store, send: Callable[[str, Message], None]) -> None:
        self.view, self.tree, self.store, self.send = view, tree, store, send
        self.relay = Relay()

    def on_spread(self, sender: str, message: Spread) -> None:
        """A member applies them, then acknowledges; a relay passes them on, and acknowledges what it has
        heard."""
        level, origin, purges = message.level, message.origin, sorted(message.purges)
        if level == MEMBER:
            for item in self.relay.new(origin, purges):
                self.store.purge(item[2])
            self.send(sender, Heard(BUILDING, origin, self.relay.applied[origin], 1, 1, []))
        if level not in (BUILDING, SITE):
            return
        site = self.view.place.site
        if level == SITE:
            below = {name: len(self.tree.members(Place(site, name))) for name in self.tree.buildings(site)}
        else:
            below = {member.name: 1 for member in self.tree.members(self.view.place)}
        known = (level, origin) in self.relay.flows
        lacking = self.relay.came(level, origin, sender, purges, below)
        flow = self.relay.flows[level, origin]
        for branch in lacking:
            to: str | None = branch
            if level == SITE:
                to = self.tree.relay(site, branch, flow.branches[branch].tries - 1)
            if to is not None:
                self.send(to, Spread(level - 1, origin, flow.purges))
        if known or not lacking:
            self._sum_up(level, origin, flow)

    def on_heard(self, sender: str, message: Heard) -> bool:
        """An acknowledgement from below; True where it is for this process as the origin."""
        level, member = message.level, self.view.members().get(sender)
        if member is None or level == MEMBER:
            return False
        if level == ROOT:
            return message.origin == self.view.name
        branch = member.name if level == BUILDING else member.place.building
        flow = self.relay.heard(level, branch, message)
        if (
            flow is not None
            and flow.said < flow.last
            and all(known.position >= flow.last for known in flow.branches.values())
        ):
            self._sum_up(level, message.origin, flow)
        return False

    def _sum_up(self, level: int, origin: str, flow: Flow) -> None:
        names = {}
        if level == SITE:
            site = self.view.place.site
            names = {branch: self.tree.relay(site, branch) or branch for branch in flow.branches}
        sums = self.relay.sums(level, origin, names)
        flow.said = max(flow.said, sums.position)
        self.send(flow.above, msgspec.structs.replace(sums, level=level + 1))
