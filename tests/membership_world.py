"""A Membership on a simulated clock, with the engine list that its updates produce."""

from __future__ import annotations

from aspenrill.api import EngineState
from aspenrill.members import Member
from aspenrill.membership.rule import Membership, MergeSpec
from aspenrill.membership.rules import MergeRules

LIVE = EngineState.LIVE
DRAINING = EngineState.DRAINING
GONE = EngineState.GONE
ROSTER = MergeSpec("roster")
SRV = MergeSpec("srv", has_engine_ids=False, max_shrink=0.5)


def entry(port: int, engine_id: str = "", state: EngineState = LIVE, **more) -> Member:
    return Member(engine_id or f"e{port}", ("10.0.0.1", port), state, **more)


def srv_entry(port: int, priority: int = 0, weight: float = 1, engine_id: str = "") -> Member:
    return entry(port, engine_id or f"h{port}:1", priority=priority, weight=weight)


class MembershipWorld:
    """A Membership and the owner's engine list, built from the updates that the Membership publishes."""

    def __init__(self, *specs: MergeSpec, now: float = 1000.0, allows=lambda host: True, **rules) -> None:
        self.now = now
        self.membership = Membership(MergeRules(**rules), specs or (ROSTER, SRV), now, allows)
        self.listed: dict[str, Member] = {}
        self.received: list[Member] = []

    def drain_updates(self) -> list[Member]:
        """Applies the pending updates to `listed` and returns them."""
        updates = list(self.membership.take_updates())
        for member in updates:
            self.listed[member.engine] = member
            if member.state is GONE:
                del self.listed[member.engine]
        self.received += updates
        return updates

    def replace_list(self, name: str, *members: Member, learned_at: float | None = None) -> list[Member]:
        """A complete list of one source; returns the updates."""
        self.membership.replace_list(self.now, name, members, learned_at)
        return self.drain_updates()

    def apply_changes(self, name: str, *members: Member) -> list[Member]:
        """Changes to the list of one source; returns the updates."""
        self.membership.apply_changes(self.now, name, members)
        return self.drain_updates()

    def advance(self, seconds: float, step: float = 0.25) -> None:
        """Advances the clock in steps, with a tick after each."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            self.membership.tick(self.now)
            self.drain_updates()

    @property
    def live(self) -> set[str]:
        """The ids of the live engines."""
        return {name for name, member in self.listed.items() if member.state is LIVE}

    def is_cold(self, name: str, within: float = 12.0) -> bool:
        """Whether the engine started within the last seconds."""
        return self.listed[name].started > self.now - within

    def count_logged(self, text: str) -> int:
        """Counts the log lines that contain a text."""
        return sum(text in note for note in self.membership.log_lines)
