"""Distribution of the log to all processes: pushed down a tree, and fetched where something was missed.

Each process sorts the running members by place and name. The voters are the roots, and each process has at
most FANOUT children. New records are forwarded at once. The coordinator's gossip entry announces the last
number to all. A process that is behind fetches from its parent, then from random voters and others, a bounded
number of messages each time. Each process also polls a random one now and then, so that no single message is
essential. Agreed records never change, so their source, delay and repetition do not matter.
"""

from __future__ import annotations

import random
from bisect import bisect_left

from ..interface import Effect, Post, View
from .rules import MAX_KEYS, MAX_TOMBSTONES, Rules
from .table import Change, Table
from .wire import Chunk, Fetch, Record, post

FANOUT = 8  # children of each process in the tree
MAX_CHUNKS_PER_REPLY = 8  # messages in answer to one fetch
MAX_REPLIES_PER_TICK = 32  # fetches answered between two ticks
# records of a complete table; some may be superseded during the transfer
MAX_TRANSFER_RECORDS = 4 * (MAX_KEYS + MAX_TOMBSTONES)
TRIES_BEFORE_BACKOFF = 6  # unanswered fetches before the interval grows
MAX_FETCH_INTERVAL = 2.0  # upper bound of the fetch interval, in seconds


class LogFollower:
    """Receives, fetches and forwards agreed records of the table."""

    def __init__(self, rules: Rules, table: Table, view: View, rng: random.Random, now: float) -> None:
        self.rules, self.table, self.view, self.rng = rules, table, view, rng
        self.highest_agreed = 0  # highest number reported as agreed
        self.highest_epoch = 0  # of any process
        self.fetch_interval = rules.retry_interval
        self.fetch_tries = 0
        self.fetch_at = now
        self.poll_at = now + rng.uniform(0, rules.poll_interval)
        self.answered = 0
        self._tree: list[str] | None = None
        # complete table in transfer: its sender, its floor, the number reached
        self._transfer: tuple[str, int, int] | None = None
        self._transferred: list[Record] = []

    def note_agreed(self, now: float, number: int) -> None:
        """A process reports that this number is agreed."""
        if self.highest_agreed <= self.table.last < number:
            self.fetch_tries, self.fetch_interval = 0, self.rules.retry_interval
            self.fetch_at = (
                now + self.rng.uniform(0.25, 0.75) * self.rules.retry_interval
            )  # it may be in transit
        self.highest_agreed = max(self.highest_agreed, number)

    def on_members_changed(self) -> None:
        """The set of running members has changed."""
        self._tree = None

    # ---- receiving ------------------------------------------------------------------------------------

    def on_chunk(self, now: float, sender: str, chunk: Chunk) -> Change | None:
        """Applies a chunk; None if it adds nothing or is a chunk of an incomplete table transfer."""
        numbers = [record.number for record in chunk.records]
        if any(a >= b for a, b in zip([chunk.after, *numbers], numbers, strict=False)):
            return None
        if (numbers and numbers[-1] > chunk.to) or chunk.to > chunk.number:
            return None
        self.note_agreed(now, chunk.number)
        if chunk.floor > self.table.last:
            return self._on_transfer_chunk(now, sender, chunk)
        if not chunk.after <= self.table.last < chunk.to:
            return None
        change = self.table.apply(chunk.records, chunk.to)
        self._transfer, self._transferred = None, []
        self._on_progress(now, sender, chunk)
        return change

    def _on_transfer_chunk(self, now: float, sender: str, chunk: Chunk) -> Change | None:
        if chunk.after == 0 and (self._transfer is None or self._transfer[:2] != (sender, chunk.floor)):
            self._transfer, self._transferred = (sender, chunk.floor, 0), []
        if self._transfer is None or self._transfer[:2] != (sender, chunk.floor):
            return None
        reached = self._transfer[2]
        if not chunk.after <= reached < chunk.to or len(self._transferred) > MAX_TRANSFER_RECORDS:
            return None
        self._transferred += [record for record in chunk.records if record.number > reached]
        self._transfer = (sender, chunk.floor, chunk.to)
        self._on_progress(now, sender, chunk)
        if chunk.to < chunk.number:
            return None
        latest = {(record.kind, record.key): record for record in self._transferred}
        self._transfer, self._transferred = None, []
        complete = sorted(latest.values(), key=lambda record: record.number)
        return self.table.replace(complete, chunk.to, chunk.floor)

    def _on_progress(self, now: float, sender: str, chunk: Chunk) -> None:
        """Delays the next fetch until the remaining chunks should have arrived."""
        self.fetch_tries, self.fetch_interval = 0, self.rules.retry_interval
        self.fetch_at = now + self.rules.retry_interval

    def tick(self, now: float) -> list[Effect]:
        """Sends fetches where records are missing or a poll is due."""
        self.answered = 0
        effects: list[Effect] = []
        if self.highest_agreed > self.table.last and now >= self.fetch_at:
            effects += [self._fetch(target) for target in self._fetch_targets()]
            self.fetch_tries += 1
            self.fetch_at = now + self.fetch_interval * self.rng.uniform(0.75, 1.25)
            if self.fetch_tries > TRIES_BEFORE_BACKOFF:
                self._transfer, self._transferred = None, []
                self.fetch_interval = min(2 * self.fetch_interval, MAX_FETCH_INTERVAL)
        if now >= self.poll_at:
            self.poll_at = now + self.rules.poll_interval * self.rng.uniform(0.75, 1.25)
            if target := self._random_other(self.tree()):
                effects.append(self._fetch(target))
        return effects

    def _fetch(self, to: str) -> Post:
        if self._transfer is not None and self._transfer[0] == to:
            return post(to, Fetch(self._transfer[2], self._transfer[1]))
        return post(to, Fetch(self.table.last, 0))

    def _fetch_targets(self) -> list[str]:
        """The parent first, then a random voter and any other; the sender of a table transfer in progress."""
        if self._transfer is not None:
            return [self._transfer[0]]
        tree, parent = self.tree(), self._parent()
        if self.fetch_tries == 0 and parent is not None:
            return [parent]
        names = (self._random_other(self._roots(tree)), self._random_other(tree))
        return list(dict.fromkeys(name for name in names if name is not None))

    def _random_other(self, names: list[str]) -> str | None:
        others = len(names) - (self.view.name in names)
        if others < 1:
            return None
        while (name := self.rng.choice(names)) == self.view.name:
            pass
        return name

    # ---- sending --------------------------------------------------------------------------------------

    def on_fetch(self, now: float, sender: str, fetch: Fetch) -> list[Effect]:
        """Sends what the requester lacks; nothing if there were too many fetches since the last tick."""
        if fetch.floor == 0:
            self.note_agreed(now, fetch.after)
        self.answered += 1
        after = fetch.after
        if after < self.table.floor and fetch.floor != self.table.floor:
            after = 0
        if self.answered > MAX_REPLIES_PER_TICK or after >= self.table.last:
            return []
        return self._chunks([sender], after)

    def forward(self, before: int) -> list[Effect]:
        """Forwards the records beyond `before` to the children."""
        children = self._children()
        return self._chunks(children, before) if children and before >= self.table.floor else []

    def _chunks(self, to: list[str], after: int) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(MAX_CHUNKS_PER_REPLY):
            chunk = self.table.chunk(after, self.highest_epoch)
            effects += [post(name, chunk) for name in to]
            after = chunk.to
            if after >= self.table.last:
                break
        return effects

    # ---- the tree -------------------------------------------------------------------------------------

    def tree(self) -> list[str]:
        """Running voters, then all other running members by place and name."""
        if self._tree is None:
            members = self.view.members()
            voters = self.rules.voters
            running = sorted(
                (m.place, m.name) for m in members.values() if m.is_live and m.name not in voters
            )
            roots = [name for name in voters if name in members and members[name].is_live]
            self._tree = roots + [name for _, name in running]
        return self._tree

    def _roots(self, tree: list[str]) -> list[str]:
        return tree[: sum(name in self.rules.voters for name in tree[: len(self.rules.voters)])]

    def _position(self) -> tuple[list[str], int, int] | None:
        """The tree, its number of roots, and the position of this process in it."""
        tree = self.tree()
        roots = len(self._roots(tree))
        if self.view.name in self.rules.voters:
            return (tree, roots, tree.index(self.view.name)) if self.view.name in tree else None
        members, own_key = self.view.members(), (self.view.place, self.view.name)
        at = bisect_left(range(roots, len(tree)), own_key, key=lambda i: (members[tree[i]].place, tree[i]))
        return (tree, roots, roots + at) if roots and roots + at < len(tree) else None

    def _parent(self) -> str | None:
        if (position := self._position()) is None or position[2] < position[1]:
            return None
        tree, roots, at = position
        return tree[(at - roots) // FANOUT]

    def _children(self) -> list[str]:
        if (position := self._position()) is None:
            return []
        tree, roots, at = position
        return tree[roots + at * FANOUT : roots + (at + 1) * FANOUT]
