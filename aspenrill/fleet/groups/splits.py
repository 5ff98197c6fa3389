"""Splits as records of the agreed log: a step is taken once its record is on the disks of a majority.

    proposed -> agreed -> warming -> (map) -> switched -> done
        '----------'---------'---> dropped

The map record is the point of no return: a split whose id is in the map goes on to done under any
coordinator, and a dropped split never enters the map. Three rules ensure this:

- Only a settled coordinator proposes, and it checks its lease for each proposal.
- Within an epoch, one proposal is pending for a split and one for the map. Until it is agreed, only the same
  record may be proposed again, so that proposed and agreed records never contradict each other.
- Repeating a step repeats its record and has no effect. A new coordinator continues from the log.

The time in a step counts from when this process learned of it; a new coordinator waits the full time again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from ..interface import Agreed, Authority, Effect, LogLine, Notify
from .records import Shape, Split, Step, pack, read
from .route import Map, Router

MAX_OPEN_SPLITS = 16  # planned splits that are not finished
MAX_REMEMBERED = 64  # remembered splits, finished ones included


@dataclass(frozen=True, slots=True)
class SplitRules:
    """Limits of splits; times in seconds, `window` in hours.

    `notice` is the time between proposed and agreed, in which an operator may cancel, `warm` the time for new
    homes to warm up. After `spread` the old homes are no longer allowed, even if some process has not
    announced the new map. After a dropped split no other of its group is planned for `rest`. Finished splits
    are removed after `forget`. A pending proposal is repeated after `again`. No step is taken unless the
    owner's state is at most `fresh` old.
    """

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
    """The owner's state: whether there is a storm or an outage, and the live engines."""

    storm: bool
    outage: bool
    engines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MapNews:
    """For the owner: route requests by this map. Groups in `spreading` may still be routed by the old one."""

    map: Map
    spreading: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WarmNews:
    """For the owner: warm up the new home engines of this split."""

    split: Split


@dataclass(frozen=True, slots=True)
class SplitNews:
    """For the driver, which writes the owner's file: all known splits, and the map."""

    splits: tuple[Split, ...]
    map: Map


class PendingProposal(NamedTuple):
    """A proposal of this process that is not agreed yet; `at` is when it was last sent."""

    epoch: int
    at: float
    body: bytes


class Splits:
    """Splits and map according to the log, and the next proposals if this process coordinates."""

    def __init__(self, rules: SplitRules, authority: Authority, router: Router) -> None:
        self.rules, self.authority, self.router = rules, authority, router
        self.splits: dict[str, Split] = {}
        self.step_since: dict[str, float] = {}  # when this process learned of its current step
        self.map = Map()
        self.pending: dict[tuple[str, str], PendingProposal] = {}
        self.facts: Facts | None = None
        self.facts_at = 0.0

    # ---- records of the log ---------------------------------------------------------------------------

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """Takes a record of kind split or map. Repeated and malformed records have no effect."""
        self.settle_proposal(record)
        return (self._map_agreed if record.kind == "map" else self._split_agreed)(now, record)

    def settle_proposal(self, record: Agreed) -> None:
        """Removes the pending proposal of a record that is agreed now."""
        proposal = self.pending.get((record.kind, record.key))
        if proposal and proposal.body == record.body:
            del self.pending[record.kind, record.key]

    def _split_agreed(self, now: float, record: Agreed) -> list[Effect]:
        if not record.body:
            self.step_since.pop(record.key, None)
            return [self._splits_update()] if self.splits.pop(record.key, None) else []
        split = read(record.body, Split)
        old = self.splits.get(record.key)
        if split is None or split.id != record.key or old and old.step >= split.step:
            return []
        if old is None and len(self.splits) >= MAX_REMEMBERED * 2:
            return [LogLine(f"split {split.id} is ignored: more than {MAX_REMEMBERED * 2} are known")]
        self.splits[split.id], self.step_since[split.id] = split, now
        effects: list[Effect] = [LogLine(log_line(split)), self._splits_update()]
        if split.step == Step.WARMING:
            effects.append(Notify(WarmNews(split)))
        return effects + [self._map_update()] if split.step >= Step.SWITCHED else effects

    def _map_agreed(self, now: float, record: Agreed) -> list[Effect]:
        shape = read(record.body, Shape)
        if shape is None or str(shape.group) != record.key:
            return []
        before, self.map = self.map, self.map.with_shape(shape)
        if self.map is before:
            return []
        note = f"map {self.map.version}: group {shape.group} has {shape.parts} parts, by {shape.split}"
        return [LogLine(note), self._map_update(), self._splits_update()]

    def _splits_update(self) -> Notify:
        return Notify(SplitNews(tuple(sorted(self.splits.values(), key=lambda s: s.id)), self.map))

    def _map_update(self) -> Notify:
        return Notify(MapNews(self.map, tuple(sorted(s.group for s in self.spreading()))))

    def spreading(self) -> list[Split]:
        """Splits that are in the map and not done: old and new home engines are both allowed."""
        return [s for s in self.splits.values() if not s.step.over and self.in_map(s)]

    def in_map(self, split: Split) -> bool:
        """Whether the split is past the point of no return."""
        shape = self.map.shapes.get(split.group)
        return shape is not None and shape.split == split.id

    def allowed(self, group: int, key: bytes | None) -> tuple[str, ...]:
        """Home engines that a request may use: new ones first, then old ones while the map spreads."""
        maps = [self.map]
        for split in self.spreading():
            if split.group == group:
                maps.insert(0, Map(0, {group: Shape(1, group, split.was, split.id)}))
        return self.router.allowed(maps, group, key)

    # ---- proposals ------------------------------------------------------------------------------------

    def update_owner(self, now: float, facts: Facts) -> None:
        """Takes the owner's state. Without recent updates no step is taken."""
        self.facts, self.facts_at = facts, now
        self.router.update(facts.engines)

    def may_act(self, now: float) -> bool:
        """Whether this process may plan and take steps: it coordinates and its log is settled."""
        return self.authority.coordinating(now) is not None and self.authority.settled(now)

    def is_calm(self, now: float) -> bool:
        """No storm, no outage, and the owner's state is recent."""
        recent = self.facts is not None and 0 <= now - self.facts_at <= self.rules.fresh
        return recent and bool(self.facts.engines) and not self.facts.storm and not self.facts.outage

    def may_plan(self, group: int, now: float) -> bool:
        """Whether a split of this group may be planned: none is open, none was dropped recently."""
        group_splits = [s for s in self.splits.values() if s.group == group]
        backing_off = any(
            s.step == Step.DROPPED and now - self.step_since[s.id] < self.rules.rest for s in group_splits
        )
        proposed = any(
            kind == "split" and (split := read(o.body, Split)) and split.group == group
            for (kind, _), o in self.pending.items()
            if o.epoch == self.authority.coordinating(now)
        )
        return not backing_off and not proposed and all(s.step.over for s in group_splits)

    def has_capacity(self) -> bool:
        """Whether the number of open splits is below its limit."""
        return sum(not s.step.over for s in self.splits.values()) < MAX_OPEN_SPLITS

    def propose(self, now: float, split: Split) -> list[Effect]:
        """Proposes a new split, or the next step of an open one."""
        return self.propose_record(now, "split", split.id, pack(split))

    def propose_record(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """Proposes a record. One that is pending is repeated unchanged after a while."""
        epoch = self.authority.coordinating(now)
        if epoch is None or not self.authority.settled(now):
            return []
        before = self.pending.get((kind, key))
        if before and before.epoch == epoch:
            if 0 <= now - before.at < self.rules.again:
                return []
            body = before.body  # a different record might be agreed besides it
        self.pending[kind, key] = PendingProposal(epoch, now, body)
        return self.authority.propose(now, kind, key, body)

    def tick(
        self,
        now: float,
        hour: int,
        cancelled: Iterable[str],
        drop_reason: Callable[[Split], str | None],
        all_route_by: Callable[[int], bool],
    ) -> list[Effect]:
        """Proposes the next steps.

        `cancelled` holds the ids that an operator has cancelled, `drop_reason` tells reason a split should be
        dropped (None: it should not), `all_route_by` whether all processes route by a version of the map.
        """
        epoch = self.authority.coordinating(now)
        self.pending = {at: o for at, o in self.pending.items() if o.epoch == epoch}
        if not self.may_act(now):
            return []
        effects: list[Effect] = []
        for (kind, key), proposal in list(self.pending.items()):
            effects += self.propose_record(now, kind, key, proposal.body)
        cancelled = set(cancelled)
        for split in sorted(self.splits.values(), key=lambda s: (s.at, s.id)):
            if ("split", split.id) not in self.pending and ("map", str(split.group)) not in self.pending:
                effects += self._next(now, hour, split, split.id in cancelled, drop_reason, all_route_by)
        return effects + self._delete_finished(now)

    def _next(
        self,
        now: float,
        hour: int,
        split: Split,
        cancelled: bool,
        drop_reason: Callable[[Split], str | None],
        all_route_by: Callable[[int], bool],
    ) -> list[Effect]:
        """Proposes the next step of a split, if it is due."""
        waited = now - self.step_since[split.id]
        if split.step.over:
            return []
        if self.in_map(split):
            if split.step != Step.SWITCHED:
                return self._step(now, split, Step.SWITCHED)
            if all_route_by(self.map.shapes[split.group].version) or waited >= self.rules.spread:
                return self._step(now, split, Step.DONE)
            return []
        reason = (
            "called off"
            if cancelled
            else self._missed_window(hour, split)
            or (drop_reason(split) if split.step < Step.WARMING else None)
        )
        if reason:
            return self._step(now, split, Step.DROPPED, reason)
        if not self.is_calm(now):
            return []
        if split.step == Step.PROPOSED and waited >= self.rules.notice:
            return self._step(now, split, Step.AGREED)
        if split.step == Step.AGREED and hour >= split.at and self._may_start(split):
            return self._step(now, split, Step.WARMING)
        if split.step == Step.WARMING and waited >= self.rules.warm:
            return self._switch(now, split)
        return []

    def _missed_window(self, hour: int, split: Split) -> str | None:
        """The reason to drop a split whose window has passed before it was switched."""
        return "its window is missed" if hour >= split.at + self.rules.window else None

    def _may_start(self, split: Split) -> bool:
        """Whether a split may start: one per engine and few at a time, counting those with a pending step."""
        active = [
            s
            for s in self.splits.values()
            if not s.step.over
            and s.id != split.id
            and (s.step >= Step.WARMING or ("split", s.id) in self.pending and s.step == Step.AGREED)
        ]
        engines = {engine for s in active for engine in s.engines}
        return len(active) < self.rules.most_at_once and engines.isdisjoint(split.engines)

    def _switch(self, now: float, split: Split) -> list[Effect]:
        """Proposes the next version of the map; one at a time, so that no version is used twice."""
        if any(kind == "map" for kind, _ in self.pending) or self.map.parts(split.group) != split.was:
            return []
        shape = Shape(self.map.version + 1, split.group, split.parts, split.id)
        return self.propose_record(now, "map", str(split.group), pack(shape))

    def _step(self, now: float, split: Split, step: Step, reason: str = "") -> list[Effect]:
        return self.propose(now, msgspec.structs.replace(split, step=step, reason=reason))

    def _delete_finished(self, now: float) -> list[Effect]:
        """Deletes records of splits finished long ago, and the oldest finished ones if there are too many."""
        finished = sorted(
            (s for s in self.splits.values() if s.step.over), key=lambda s: self.step_since[s.id]
        )
        excess = len(self.splits) - MAX_REMEMBERED
        effects: list[Effect] = []
        for at, split in enumerate(finished):
            if at < excess or now - self.step_since[split.id] >= self.rules.forget:
                effects += self.propose_record(now, "split", split.id, b"")
        return effects


def log_line(split: Split) -> str:
    """Log line for a step of a split."""
    reason = f": {split.reason}" if split.reason else ""
    return (
        f"split {split.id} of group {split.group} from {split.was} to {split.parts} parts: "
        f"{split.step.name.lower()}{reason}; window from hour {split.at}, limit in hour {split.before}"
    )
