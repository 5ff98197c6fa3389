"""A membership on a clock of the tests' own, and the owner's list as what it was told makes it."""

from __future__ import annotations

from aspenrill.api import EngineState
from aspenrill.members import Member
from aspenrill.membership.rule import Membership, Spec
from aspenrill.membership.rules import Rules

LIVE, DRAINING, GONE = EngineState.LIVE, EngineState.DRAINING, EngineState.GONE
ROSTER, SRV = Spec("roster"), Spec("srv", names_ids=False, shrink=0.5)


def at(port: int, ident: str = "", state: EngineState = LIVE, **more) -> Member:
    return Member(ident or f"e{port}", ("10.0.0.1", port), state, **more)


def srv(port: int, priority: int = 0, weight: float = 1, ident: str = "") -> Member:
    return at(port, ident or f"h{port}:1", priority=priority, weight=weight)


class World:
    """A membership, and the owner's list as what it was told makes it."""

    def __init__(self, *specs: Spec, now: float = 1000.0, allows=lambda host: True, **rules) -> None:
        self.now = now
        self.m = Membership(Rules(**rules), specs or (ROSTER, SRV), now, allows)
        self.list: dict[str, Member] = {}
        self.heard: list[Member] = []

    def hear(self) -> list[Member]:
        news = list(self.m.take())
        for member in news:
            self.list[member.engine] = member
            if member.state is GONE:
                del self.list[member.engine]
        self.heard += news
        return news

    def whole(self, name: str, *members: Member, asked: float | None = None) -> list[Member]:
        self.m.whole(self.now, name, members, asked)
        return self.hear()

    def change(self, name: str, *members: Member) -> list[Member]:
        self.m.change(self.now, name, members)
        return self.hear()

    def wait(self, seconds: float, step: float = 0.25) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            self.m.tick(self.now)
            self.hear()

    @property
    def live(self) -> set[str]:
        return {name for name, member in self.list.items() if member.state is LIVE}

    def cold(self, name: str, within: float = 12.0) -> bool:
        return self.list[name].started > self.now - within

    def notes(self, text: str) -> int:
        return sum(text in note for note in self.m.notes)
