"""The answer cache of one process: versions by scope, bounds in entries and bytes, and the lease to serve.

An answer carries the versions under which its query was sent. A purge raises a version; answers of queries
sent under an older one are neither served nor cached. No I/O. Times are seconds of CLOCK_BOOTTIME, read by
the caller at the moment of use, so that a process that was paused notices that its lease has expired.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .scopes import ALL

Key = tuple[int, int, bytes]  # tenant, class, statement; dict hashes are salted and keys compared in full
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the cache in entries and bytes; larger answers than `max_answer_bytes` are not cached."""

    max_entries: int = 10_000
    max_bytes: int = 32 << 20
    max_answer_bytes: int = 256 << 10


@dataclass(frozen=True, slots=True)
class Stamp:
    """The scopes of an answer, and their versions when its query was sent."""

    scopes: tuple[str, ...]
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """A cached answer, the time until which it may be served, and its size in bytes."""

    result: Any
    stamp: Stamp
    until: float
    size: int


class AnswerStore:
    """The cached answers.

    `purge` and `lease_end` are used by the purges component, all else by the request path.
    """

    def __init__(self, bounds: Bounds = Bounds()) -> None:  # noqa: B008 (it is frozen)
        self.bounds = bounds
        self.lease_end = NEVER
        self.versions: dict[str, int] = {}
        self.answers: OrderedDict[Key, Answer] = OrderedDict()  # least recently used first
        self.bytes = 0
        self.hits = self.misses = self.outdated = 0

    # ---- versions and the lease -----------------------------------------------------------------------

    def purge(self, scope: str) -> None:
        """Invalidates answers of queries sent before this moment.

        Their memory is freed on lookup or eviction; for `all`, at once.
        """
        self.versions[scope] = self.versions.get(scope, 0) + 1
        if scope == ALL:
            self.answers.clear()
            self.bytes = 0

    def stamp(self, scopes: Iterable[str]) -> Stamp:
        """The stamp for a query that is sent now."""
        all_scopes = (ALL, *scopes)
        return Stamp(all_scopes, tuple(self.versions.get(scope, 0) for scope in all_scopes))

    def current(self, stamp: Stamp) -> bool:
        """Whether no purge of its scopes has occurred since."""
        return all(self.versions.get(s, 0) == v for s, v in zip(stamp.scopes, stamp.versions, strict=True))

    def serves(self, now: float) -> bool:
        """Whether the lease is running."""
        return now < self.lease_end

    # ---- answers --------------------------------------------------------------------------------------

    def get(self, now: float, key: Key) -> Any | None:
        """A cached answer that may be served now, else None."""
        answer = self.answers.get(key)
        if answer is not None and (now >= answer.until or not self.current(answer.stamp)):
            self._drop(key)
            self.outdated += 1
            answer = None
        if answer is None or not self.serves(now):
            self.misses += 1
            return None
        self.answers.move_to_end(key)
        self.hits += 1
        return answer.result

    def put(self, now: float, key: Key, result: Any, size: int, stamp: Stamp, until: float) -> bool:
        """Caches an answer unless a purge has invalidated it; whether it was cached."""
        size += len(key[2])
        if now >= until or size > self.bounds.max_answer_bytes or not self.current(stamp):
            return False
        if key in self.answers:
            self._drop(key)
        self.answers[key] = Answer(result, stamp, until, size)
        self.bytes += size
        while self.bytes > self.bounds.max_bytes or len(self.answers) > self.bounds.max_entries:
            self._drop(next(iter(self.answers)))
        return key in self.answers

    def _drop(self, key: Key) -> None:
        self.bytes -= self.answers.pop(key).size
