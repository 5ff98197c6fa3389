"""The kept answers of one process: versions by scope, a bound in entries and bytes, and the lease to serve
them.

An answer carries the versions that its query was sent under. A purge raises a version, and whatever was sent
under an older one is never served, nor kept if it comes later. No I/O. Times are seconds of CLOCK_BOOTTIME,
read by the caller at the moment of use: a process that was paused finds its lease over before it serves
anything.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .scopes import ALL

Key = tuple[int, int, bytes]  # tenant, class, statement: a dict hashes it with a secret and compares it whole
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much is kept, in entries and bytes; an answer of more than `most_answer` bytes is not."""

    most_entries: int = 10_000
    most_bytes: int = 32 << 20
    most_answer: int = 256 << 10


@dataclass(frozen=True, slots=True)
class Stamp:
    """The scopes that an answer falls under, and their versions when its query was sent."""

    scopes: tuple[str, ...]
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as it came, until when it may be served, and the bytes that it counts."""

    result: Any
    stamp: Stamp
    until: float
    size: int


class Store:
    """`purge` and `lease_end` are for the fleet's part, the rest for the requests' side of the same
    process."""

    def __init__(self, bounds: Bounds = Bounds()) -> None:  # noqa: B008 (it is frozen)
        self.bounds = bounds
        self.lease_end = NEVER
        self.versions: dict[str, int] = {}
        self.answers: OrderedDict[Key, Answer] = OrderedDict()  # the least lately used first
        self.bytes = 0
        self.hits = self.misses = self.outdated = 0

    # ---- versions and the lease -----------------------------------------------------------------------

    def purge(self, scope: str) -> None:
        """What was sent before this moment is never served again. The memory is freed when it is met, or
        pushed out by what is newer; for `all`, at once."""
        self.versions[scope] = self.versions.get(scope, 0) + 1
        if scope == ALL:
            self.answers.clear()
            self.bytes = 0

    def stamp(self, scopes: Iterable[str]) -> Stamp:
        """What a query that is sent now is sent under."""
        named = (ALL, *scopes)
        return Stamp(named, tuple(self.versions.get(scope, 0) for scope in named))

    def current(self, stamp: Stamp) -> bool:
        """No purge has come since."""
        return all(self.versions.get(s, 0) == v for s, v in zip(stamp.scopes, stamp.versions, strict=True))

    def serves(self, now: float) -> bool:
        """The lease holds at this moment."""
        return now < self.lease_end

    # ---- answers --------------------------------------------------------------------------------------

    def get(self, now: float, key: Key) -> Any | None:
        """A kept answer that may be served at this moment."""
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
        """Keep an answer that has come, unless a purge has come before it. True where it is kept."""
        size += len(key[2])
        if now >= until or size > self.bounds.most_answer or not self.current(stamp):
            return False
        if key in self.answers:
            self._drop(key)
        self.answers[key] = Answer(result, stamp, until, size)
        self.bytes += size
        while self.bytes > self.bounds.most_bytes or len(self.answers) > self.bounds.most_entries:
            self._drop(next(iter(self.answers)))
        return key in self.answers

    def _drop(self, key: Key) -> None:
        self.bytes -= self.answers.pop(key).size
