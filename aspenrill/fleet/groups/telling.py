"""How counters get to the keepers: deltas by messages, sent again until they are acknowledged.

Keepers are the voters: one of them coordinates, and forecasts from what it holds. Each process tells one
keeper, the first in its own order that is alive; keepers tell each other. What has changed twice before it
was sent goes once. (Delta states with acknowledgements: Almeida, Shoker, Baquero, "Delta state replicated
data types", 2018.) With the board instead, each process would hold and pass on what a handful need: 1,100
times the traffic.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from ..interface import MOST_BODY, Effect, Member, Post
from .counts import Counts
from .hours import Key
from .records import Ask, Cell, Heard, Tell, pack


@dataclass(frozen=True, slots=True)
class TellRules:
    """Seconds until a message is sent again, and how many may be out to one keeper."""

    again: float = 3.0
    window: int = 8


@dataclass(slots=True)
class Neighbour:
    """A keeper that this process tells: what it lacks, and what is on its way."""

    incarnation: int
    lacks: dict[Key, None] = field(default_factory=dict)  # in the order of their change
    out: dict[int, tuple[float, tuple[Key, ...]]] = field(default_factory=dict)  # by number: sent at, what

    def again(self, number: int) -> None:
        """What was in a message is lacking, since no answer came."""
        for key in self.out.pop(number)[1]:
            self.lacks[key] = None


class Telling:
    """One process's side. `keepers` are names; those configured, in any order."""

    def __init__(self, rules: TellRules, keepers: Iterable[str], counts: Counts) -> None:
        self.rules, self.counts, self.me = rules, counts, counts.me[0]
        self.keepers = tuple(
            sorted(
                keepers, key=lambda keeper: (xxhash.xxh3_64_intdigest(f"{self.me}/{keeper}".encode()), keeper)
            )
        )
        self.keeps = self.me in self.keepers
        self.near: dict[str, Neighbour] = {}
        self.asked: set[tuple[str, int]] = set()
        self.number = 0

    def changed(self, keys: Iterable[Key], but: str = "") -> None:
        """News, for all neighbours but the one that told it."""
        for name, near in self.near.items():
            if name != but:
                near.lacks.update(dict.fromkeys(keys))

    def held(self) -> frozenset[int]:
        """Hours of which a neighbour still lacks something."""
        return frozenset(
            key[3]
            for near in self.near.values()
            for keys in (near.lacks, *(sent for _, sent in near.out.values()))
            for key in keys
        )

    def tick(self, now: float, members: Mapping[str, Member]) -> list[Effect]:
        """Who is to be told, what goes out, and what goes out again."""
        there = [k for k in self.keepers if k != self.me and k in members and members[k].there]
        wanted = there if self.keeps else there[:1]
        for name in [n for n in self.near if n not in wanted]:
            del self.near[name]
        effects: list[Effect] = []
        for name in wanted:
            near, incarnation = self.near.get(name), members[name].incarnation
            if near is None or near.incarnation != incarnation:
                near = self.near[name] = Neighbour(incarnation, dict.fromkeys(self._all()))
                effects += self._ask(name, incarnation)
            for number in [n for n, (at, _) in near.out.items() if not now - self.rules.again < at <= now]:
                near.again(number)
            effects += self._send(now, name, near)
        return effects

    def _all(self) -> list[Key]:
        """What one that is new to this process is told: all in detail, by others than keepers only their
        own."""
        return [key for key in self.counts.keys() if self.keeps or key[0] == self.me]

    def _ask(self, name: str, incarnation: int) -> list[Effect]:
        """A keeper asks each other one, once in its life, for the totals of hours that it may not know."""
        if not self.keeps or (name, incarnation) in self.asked:
            return []
        self.asked = {(n, i) for n, i in self.asked if n != name} | {(name, incarnation)}
        known = [hour for hour in self.counts.hours if self.counts.heard(hour)]
        gap = min(
            (h for h in range(self.counts.hour - self.counts.rules.kept, self.counts.hour) if h not in known),
            default=self.counts.hour,
        )
        return [Post(name, pack(Ask(gap)))]

    def _send(self, now: float, name: str, near: Neighbour) -> list[Effect]:
        """As many messages as may be out."""
        effects: list[Effect] = []
        while near.lacks and len(near.out) < self.rules.window:
            cells: list[Cell] = []
            keys: list[Key] = []
            size = 24  # of the rest of the message
            for key in near.lacks:
                cell = self.counts.cell(key)
                weight = len(pack(cell)) if cell else 0
                if size + weight > MOST_BODY or len(cells) == 64:
                    break
                size += weight
                keys.append(key)
                if cell:
                    cells.append(cell)
            for key in keys:
                del near.lacks[key]
            if cells:
                self.number += 1
                near.out[self.number] = now, tuple(keys)
                effects.append(Post(name, pack(Tell(self.number, tuple(cells)))))
        return effects

    def on_tell(self, sender: str, told: Tell) -> list[Effect]:
        """Merge, pass on what was news where this is a keeper, acknowledge."""
        if not self.keeps:
            return []
        news = [key for cell in told.cells if (key := self.counts.merge(cell))]
        self.changed([key for key in news if key[0]], but=sender)
        return [Post(sender, pack(Heard(told.number)))]

    def on_heard(self, now: float, sender: str, heard: Heard) -> list[Effect]:
        """It has them: room for more."""
        near = self.near.get(sender)
        if near is None or near.out.pop(heard.number, None) is None:
            return []
        return self._send(now, sender, near)

    def on_ask(self, sender: str, ask: Ask) -> None:
        """Another keeper was away."""
        near = self.near.get(sender)
        if self.keeps and near is not None:
            hours = sorted((hour for hour in self.counts.hours if hour >= ask.since), reverse=True)
            near.lacks.update(dict.fromkeys(self.counts.total_keys(hours)))

    def revised(self, hours: Iterable[int]) -> None:
        """Closed anew: other keepers may have taken the sum from here. Those that sum up themselves ignore
        it."""
        if self.keeps:
            self.changed(self.counts.total_keys(h for h in hours if self.counts.hours[h].revision))
