"""Splits as records of the agreed log: a step counts once its record is on the disks of a majority, not
before.

    proposed -> agreed -> warming -> (map) -> switched -> done
        '----------'---------'---> dropped

The record of the map is the point of no return: a split whose id stands in the map goes on to done, whoever
coordinates; one that is dropped never gets into it. Three rules keep it so:

- Only who coordinates, with its log settled, proposes, and it looks at its lease for each proposal.
- Within an epoch one proposal is open for a split, and one for the map; while it is, only the same may be
  proposed again. So what was sent and what is agreed never contradict each other.
- A step repeated is a record repeated, and changes nothing. Who takes over reads the log and goes on.

Time spent in a step is counted from when this process learned of it: a successor waits the whole time again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from ..interface import Agreed, Authority, Effect, Inform, Note
from .records import Shape, Split, Step, pack, read
from .route import Map, Router

MOST_OPEN = 16  # splits planned and not over
MOST_KEPT = 64  # splits remembered, those over among them


@dataclass(frozen=True, slots=True)
class SplitRules:
    """Seconds, where not said. `notice`: between planned and agreed, for an operator to look at it. `warm`:
    for new homes to fill. `spread`: until the old homes are no longer allowed, whoever has not told.
    `window`: hours. `rest`: after one was dropped, none of its group. `forget`: one that is over."""

    most_at_once: int = 2
    notice: float = 300.0
    warm: float = 600.0
    spread: float = 120.0
    window: int = 2
    rest: float = 6 * 3600.0
    forget: float = 86400.0
    again: float = 5.0
    fresh: float = 30.0


@dataclass(frozen=True, slots=True)
class Facts:
    """What the owner sees: whether there is a storm or an outage, and the engines that live."""

    storm: bool
    outage: bool
    engines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MapNews:
    """For the owner: requests from now on run under this map. `spreading` groups may still run under the
    old."""

    map: Map
    spreading: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WarmNews:
    """For the owner: this split's new homes are to be filled."""

    split: Split


@dataclass(frozen=True, slots=True)
class SplitNews:
    """For the driver, which writes the owner's file: all splits known, and the map."""

    splits: tuple[Split, ...]
    map: Map


class Open(NamedTuple):
    """A proposal of this process that is not agreed yet."""

    epoch: int
    at: float
    body: bytes


class Splits:
    """What the log says of splits and map, and what to propose next where this process coordinates."""

    def __init__(self, rules: SplitRules, authority: Authority, router: Router) -> None:
        self.rules, self.authority, self.router = rules, authority, router
        self.splits: dict[str, Split] = {}
        self.since: dict[str, float] = {}  # when this process learned of its step
        self.map = Map()
        self.open: dict[tuple[str, str], Open] = {}
        self.facts: Facts | None = None
        self.facts_at = 0.0

    # ---- what the log says ----------------------------------------------------------------------------

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """One record of kind split or map. A repeat changes nothing, and what is malformed neither."""
        self.agreed(record)
        return (self._map_agreed if record.kind == "map" else self._split_agreed)(now, record)

    def agreed(self, record: Agreed) -> None:
        """A proposal of this process is open no more."""
        mine = self.open.get((record.kind, record.key))
        if mine and mine.body == record.body:
            del self.open[record.kind, record.key]

    def _split_agreed(self, now: float, record: Agreed) -> list[Effect]:
        if not record.body:
            self.since.pop(record.key, None)
            return [self._news()] if self.splits.pop(record.key, None) else []
        split = read(record.body, Split)
        old = self.splits.get(record.key)
        if split is None or split.id != record.key or old and old.step >= split.step:
            return []
        if old is None and len(self.splits) >= MOST_KEPT * 2:
            return [Note(f"split {split.id} is not followed: more than {MOST_KEPT * 2} are known")]
        self.splits[split.id], self.since[split.id] = split, now
        effects: list[Effect] = [Note(line(split)), self._news()]
        if split.step == Step.WARMING:
            effects.append(Inform(WarmNews(split)))
        return effects + [self._map_news()] if split.step >= Step.SWITCHED else effects

    def _map_agreed(self, now: float, record: Agreed) -> list[Effect]:
        shape = read(record.body, Shape)
        if shape is None or str(shape.group) != record.key:
            return []
        before, self.map = self.map, self.map.with_shape(shape)
        if self.map is before:
            return []
        note = f"map {self.map.version}: group {shape.group} has {shape.parts} parts, by {shape.split}"
        return [Note(note), self._map_news(), self._news()]

    def _news(self) -> Inform:
        return Inform(SplitNews(tuple(sorted(self.splits.values(), key=lambda s: s.id)), self.map))

    def _map_news(self) -> Inform:
        return Inform(MapNews(self.map, tuple(sorted(s.group for s in self.spreading()))))

    def spreading(self) -> list[Split]:
        """Splits that are in the map and not done: old and new homes are both allowed."""
        return [s for s in self.splits.values() if not s.step.over and self.in_map(s)]

    def in_map(self, split: Split) -> bool:
        """Past the point of no return."""
        shape = self.map.shapes.get(split.group)
        return shape is not None and shape.split == split.id

    def allowed(self, group: int, key: bytes | None) -> tuple[str, ...]:
        """Homes that a request of now may have: new ones first, old ones too while the map spreads."""
        maps = [self.map]
        for split in self.spreading():
            if split.group == group:
                maps.insert(0, Map(0, {group: Shape(1, group, split.was, split.id)}))
        return self.router.allowed(maps, group, key)

    # ---- what to propose ------------------------------------------------------------------------------

    def tell(self, now: float, facts: Facts) -> None:
        """What the owner sees now. Without news of it no step is taken."""
        self.facts, self.facts_at = facts, now
        self.router.update(facts.engines)

    def acts(self, now: float) -> bool:
        """Whether this process may plan and take steps at this moment: with a majority, and its log whole."""
        return self.authority.coordinating(now) is not None and self.authority.settled(now)

    def quiet(self, now: float) -> bool:
        """No storm, no outage, and news of it is fresh."""
        fresh = self.facts is not None and 0 <= now - self.facts_at <= self.rules.fresh
        return fresh and bool(self.facts.engines) and not self.facts.storm and not self.facts.outage

    def free(self, group: int, now: float) -> bool:
        """Whether a split of this group may be planned: none is open, none was dropped of late."""
        ours = [s for s in self.splits.values() if s.group == group]
        resting = any(s.step == Step.DROPPED and now - self.since[s.id] < self.rules.rest for s in ours)
        waits = any(
            kind == "split" and (split := read(o.body, Split)) and split.group == group
            for (kind, _), o in self.open.items()
            if o.epoch == self.authority.coordinating(now)
        )
        return not resting and not waits and all(s.step.over for s in ours)

    def room(self) -> bool:
        """Whether one more may be planned."""
        return sum(not s.step.over for s in self.splits.values()) < MOST_OPEN

    def propose(self, now: float, split: Split) -> list[Effect]:
        """A new one, or an open one at its next step."""
        return self.propose_record(now, "split", split.id, pack(split))

    def propose_record(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """Any record of the groups' kinds. What is open already goes out again after a while, as it was."""
        epoch = self.authority.coordinating(now)
        if epoch is None or not self.authority.settled(now):
            return []
        before = self.open.get((kind, key))
        if before and before.epoch == epoch:
            if 0 <= now - before.at < self.rules.again:
                return []
            body = before.body  # something else might be agreed beside it
        self.open[kind, key] = Open(epoch, now, body)
        return self.authority.propose(now, kind, key, body)

    def tick(
        self,
        now: float,
        hour: int,
        off: Iterable[str],
        wanted: Callable[[Split], str | None],
        spread: Callable[[int], bool],
    ) -> list[Effect]:
        """The next steps. `off`: ids that an operator has called off. `wanted`: why a split is not wanted any
        more; None while it is. `spread`: whether all have told that they route by this version."""
        epoch = self.authority.coordinating(now)
        self.open = {at: o for at, o in self.open.items() if o.epoch == epoch}
        if not self.acts(now):
            return []
        effects: list[Effect] = []
        for (kind, key), waits in list(self.open.items()):
            effects += self.propose_record(now, kind, key, waits.body)
        off = set(off)
        for split in sorted(self.splits.values(), key=lambda s: (s.at, s.id)):
            if ("split", split.id) not in self.open and ("map", str(split.group)) not in self.open:
                effects += self._next(now, hour, split, split.id in off, wanted, spread)
        return effects + self._forget(now)

    def _next(
        self,
        now: float,
        hour: int,
        split: Split,
        off: bool,
        wanted: Callable[[Split], str | None],
        spread: Callable[[int], bool],
    ) -> list[Effect]:
        """The next step of one split, or none yet."""
        waited = now - self.since[split.id]
        if split.step.over:
            return []
        if self.in_map(split):
            if split.step != Step.SWITCHED:
                return self._step(now, split, Step.SWITCHED)
            if spread(self.map.shapes[split.group].version) or waited >= self.rules.spread:
                return self._step(now, split, Step.DONE)
            return []
        why = (
            "called off"
            if off
            else self._missed(hour, split) or (wanted(split) if split.step < Step.WARMING else None)
        )
        if why:
            return self._step(now, split, Step.DROPPED, why)
        if not self.quiet(now):
            return []
        if split.step == Step.PROPOSED and waited >= self.rules.notice:
            return self._step(now, split, Step.AGREED)
        if split.step == Step.AGREED and hour >= split.at and self._turn(split):
            return self._step(now, split, Step.WARMING)
        if split.step == Step.WARMING and waited >= self.rules.warm:
            return self._switch(now, split)
        return []

    def _missed(self, hour: int, split: Split) -> str | None:
        """Its window is over and it is not switched: trouble held it up."""
        return "its window is missed" if hour >= split.at + self.rules.window else None

    def _turn(self, split: Split) -> bool:
        """One per engine and a few at a time, those among them whose step is proposed and not yet agreed."""
        busy = [
            s
            for s in self.splits.values()
            if not s.step.over
            and s.id != split.id
            and (s.step >= Step.WARMING or ("split", s.id) in self.open and s.step == Step.AGREED)
        ]
        engines = {engine for s in busy for engine in s.engines}
        return len(busy) < self.rules.most_at_once and engines.isdisjoint(split.engines)

    def _switch(self, now: float, split: Split) -> list[Effect]:
        """Into the map, under its next version; one at a time, so that no two have the same."""
        if any(kind == "map" for kind, _ in self.open) or self.map.parts(split.group) != split.was:
            return []
        shape = Shape(self.map.version + 1, split.group, split.parts, split.id)
        return self.propose_record(now, "map", str(split.group), pack(shape))

    def _step(self, now: float, split: Split, step: Step, reason: str = "") -> list[Effect]:
        return self.propose(now, msgspec.structs.replace(split, step=step, reason=reason))

    def _forget(self, now: float) -> list[Effect]:
        """End the records of those long over, and the oldest where there are many."""
        over = sorted((s for s in self.splits.values() if s.step.over), key=lambda s: self.since[s.id])
        spare = len(self.splits) - MOST_KEPT
        effects: list[Effect] = []
        for at, split in enumerate(over):
            if at < spare or now - self.since[split.id] >= self.rules.forget:
                effects += self.propose_record(now, "split", split.id, b"")
        return effects


def line(split: Split) -> str:
    """For the log: one line a step."""
    reason = f": {split.reason}" if split.reason else ""
    return (
        f"split {split.id} of group {split.group} from {split.was} to {split.parts} parts: "
        f"{split.step.name.lower()}{reason}; window from hour {split.at}, limit in hour {split.before}"
    )
