"""How the log reaches every process: passed on down a tree, and fetched where something was missed.

Each process sorts those that are there by place and name; voters are the roots, and each has at most FAN
below it. What is new is passed on at once. The coordinator's board entry tells the last number to all; who
is behind asks its parent, then voters and others at random, a bounded number of messages each time. Now and
then each asks one other at random, so nothing rests on any single message. Records do not change once
agreed, so it does not matter whom they come from, how late or how often.
"""

from __future__ import annotations

import random
from bisect import bisect_left

from ..interface import Effect, Post, View
from .rules import MOST_ENDED, MOST_KEYS, Rules
from .table import Change, Table
from .wire import Chunk, Fetch, Record, post

FAN = 8
BURST = 8  # messages in answer to one question
MOST_ANSWERS = 32  # questions answered between two ticks
MOST_STAGED = 4 * (MOST_KEYS + MOST_ENDED)  # records of a whole table; some may be superseded while it comes
PATIENT = 6  # questions without an answer before they become rarer
SLOWEST = 2.0  # seconds between two questions by who stays behind


class Follow:
    """The table's ways in and out."""

    def __init__(self, rules: Rules, table: Table, view: View, rng: random.Random, now: float) -> None:
        self.rules, self.table, self.view, self.rng = rules, table, view, rng
        self.heard = 0  # highest number that somebody says is agreed
        self.seen = 0  # highest epoch
        self.pause = rules.retry
        self.tries = 0
        self.ask_at = now
        self.poll_at = now + rng.uniform(0, rules.poll)
        self.answers = 0
        self._tree: list[str] | None = None
        self._stage: tuple[str, int, int] | None = None  # whole table: from whom, its floor, up to where
        self._staged: list[Record] = []

    def hear(self, now: float, number: int) -> None:
        """Somebody says that it is agreed."""
        if self.heard <= self.table.last < number:
            self.tries, self.pause = 0, self.rules.retry
            self.ask_at = now + self.rng.uniform(0.25, 0.75) * self.rules.retry  # it may be on its way
        self.heard = max(self.heard, number)

    def regroup(self) -> None:
        """Who is there has changed."""
        self._tree = None

    # ---- in -------------------------------------------------------------------------------------------

    def chunk(self, now: float, sender: str, chunk: Chunk) -> Change | None:
        """What it adds; None: nothing, or a part of a whole table that is not complete yet."""
        numbers = [record.number for record in chunk.records]
        if any(a >= b for a, b in zip([chunk.after, *numbers], numbers, strict=False)):
            return None
        if (numbers and numbers[-1] > chunk.to) or chunk.to > chunk.number:
            return None
        self.hear(now, chunk.number)
        if chunk.floor > self.table.last:
            return self._whole(now, sender, chunk)
        if not chunk.after <= self.table.last < chunk.to:
            return None
        change = self.table.apply(chunk.records, chunk.to)
        self._stage, self._staged = None, []
        self._went_on(now, sender, chunk)
        return change

    def _whole(self, now: float, sender: str, chunk: Chunk) -> Change | None:
        if chunk.after == 0 and (self._stage is None or self._stage[:2] != (sender, chunk.floor)):
            self._stage, self._staged = (sender, chunk.floor, 0), []
        if self._stage is None or self._stage[:2] != (sender, chunk.floor):
            return None
        cursor = self._stage[2]
        if not chunk.after <= cursor < chunk.to or len(self._staged) > MOST_STAGED:
            return None
        self._staged += [record for record in chunk.records if record.number > cursor]
        self._stage = (sender, chunk.floor, chunk.to)
        self._went_on(now, sender, chunk)
        if chunk.to < chunk.number:
            return None
        latest = {(record.kind, record.key): record for record in self._staged}
        self._stage, self._staged = None, []
        whole = sorted(latest.values(), key=lambda record: record.number)
        return self.table.replace(whole, chunk.to, chunk.floor)

    def _went_on(self, now: float, sender: str, chunk: Chunk) -> None:
        """More is asked for when the rest of the burst should be here."""
        self.tries, self.pause = 0, self.rules.retry
        self.ask_at = now + self.rules.retry

    def due(self, now: float) -> list[Effect]:
        """Questions, where something is missing or it is time to look."""
        self.answers = 0
        effects: list[Effect] = []
        if self.heard > self.table.last and now >= self.ask_at:
            effects += [self._fetch(target) for target in self._sources()]
            self.tries += 1
            self.ask_at = now + self.pause * self.rng.uniform(0.75, 1.25)
            if self.tries > PATIENT:
                self._stage, self._staged = None, []
                self.pause = min(2 * self.pause, SLOWEST)
        if now >= self.poll_at:
            self.poll_at = now + self.rules.poll * self.rng.uniform(0.75, 1.25)
            if target := self._random(self.tree()):
                effects.append(self._fetch(target))
        return effects

    def _fetch(self, to: str) -> Post:
        if self._stage is not None and self._stage[0] == to:
            return post(to, Fetch(self._stage[2], self._stage[1]))
        return post(to, Fetch(self.table.last, 0))

    def _sources(self) -> list[str]:
        """The parent first, then a voter and any other; of a whole table, who has sent its start."""
        if self._stage is not None:
            return [self._stage[0]]
        tree, parent = self.tree(), self._parent()
        if self.tries == 0 and parent is not None:
            return [parent]
        names = (self._random(self._roots(tree)), self._random(tree))
        return list(dict.fromkeys(name for name in names if name is not None))

    def _random(self, names: list[str]) -> str | None:
        others = len(names) - (self.view.name in names)
        if others < 1:
            return None
        while (name := self.rng.choice(names)) == self.view.name:
            pass
        return name

    # ---- out ------------------------------------------------------------------------------------------

    def answer(self, now: float, sender: str, fetch: Fetch) -> list[Effect]:
        """What the asker has not got; nothing if that is nothing, or too many have asked since the last
        tick."""
        if fetch.floor == 0:
            self.hear(now, fetch.after)
        self.answers += 1
        after = fetch.after
        if after < self.table.floor and fetch.floor != self.table.floor:
            after = 0
        if self.answers > MOST_ANSWERS or after >= self.table.last:
            return []
        return self._chunks([sender], after)

    def pass_on(self, before: int) -> list[Effect]:
        """To those below, what has become known beyond `before`."""
        below = self._below()
        return self._chunks(below, before) if below and before >= self.table.floor else []

    def _chunks(self, to: list[str], after: int) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(BURST):
            chunk = self.table.chunk(after, self.seen)
            effects += [post(name, chunk) for name in to]
            after = chunk.to
            if after >= self.table.last:
                break
        return effects

    # ---- the tree -------------------------------------------------------------------------------------

    def tree(self) -> list[str]:
        """Voters that are there, then all others, by place and name."""
        if self._tree is None:
            members = self.view.members()
            voters = self.rules.voters
            there = sorted((m.place, m.name) for m in members.values() if m.there and m.name not in voters)
            roots = [name for name in voters if name in members and members[name].there]
            self._tree = roots + [name for _, name in there]
        return self._tree

    def _roots(self, tree: list[str]) -> list[str]:
        return tree[: sum(name in self.rules.voters for name in tree[: len(self.rules.voters)])]

    def _place(self) -> tuple[list[str], int, int] | None:
        """The tree, how many roots it has, and where this process is in it."""
        tree = self.tree()
        roots = len(self._roots(tree))
        if self.view.name in self.rules.voters:
            return (tree, roots, tree.index(self.view.name)) if self.view.name in tree else None
        members, mine = self.view.members(), (self.view.place, self.view.name)
        at = bisect_left(range(roots, len(tree)), mine, key=lambda i: (members[tree[i]].place, tree[i]))
        return (tree, roots, roots + at) if roots and roots + at < len(tree) else None

    def _parent(self) -> str | None:
        if (where := self._place()) is None or where[2] < where[1]:
            return None
        tree, roots, at = where
        return tree[(at - roots) // FAN]

    def _below(self) -> list[str]:
        if (where := self._place()) is None:
            return []
        tree, roots, at = where
        return tree[roots + at * FAN : roots + (at + 1) * FAN]
