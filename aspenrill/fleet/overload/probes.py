"""Guarantee 3: one process of those that know of each other probes an ejected engine, and all learn the
result.

Rendezvous hashing (Thaler and Ravishankar, 1998) orders the live processes for each engine; the k-th probes
once k + 1 intervals have passed without a result. So the next process takes over one interval after a death,
each side of a partition has its own prober, and the number of probes does not grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

from .rules import name_hash

MIN_INTERVAL = 1.0  # seconds between probes of one engine, doubled with each failure
MAX_INTERVAL = 8.0  # seconds
MAX_IN_ENTRY = 20  # engines, and answers, in an entry
MAX_OUT = 2000  # ejected engines tracked
MAX_SEEN = 8192  # latest answers remembered, by origin and engine

NameHash = Annotated[int, Meta(ge=0)]


class ProbeAnswer(Struct, array_like=True, frozen=True):
    """A probe result: the hash of the engine's name, the origin's number, and whether the engine
    recovered."""

    engine: NameHash
    number: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    recovered: bool


class ProbeEntry(Struct, array_like=True, frozen=True):
    """The entry: engines that the origin has ejected, and its latest probe results."""

    engines: Annotated[tuple[NameHash, ...], Meta(max_length=MAX_IN_ENTRY)] = ()
    answers: Annotated[tuple[ProbeAnswer, ...], Meta(max_length=MAX_IN_ENTRY)] = ()


_decoder = msgspec.msgpack.Decoder(ProbeEntry)


class EjectedEngine:
    """An ejected engine."""

    __slots__ = ("updated_at", "failures", "ejected_here")

    def __init__(self, now: float, ejected_here: bool) -> None:
        self.updated_at, self.failures, self.ejected_here = now, 0, ejected_here

    @property
    def interval(self) -> float:
        """Seconds between probes."""
        return min(MAX_INTERVAL, MIN_INTERVAL * 2.0 ** min(self.failures, 8))


class ProbeSchedule:
    """Decides which ejected engines this process probes, and when."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ejected: dict[int, EjectedEngine] = {}
        self.names: dict[int, str] = {}  # engines of the list, by name hash
        self.answers: dict[int, ProbeAnswer] = {}
        self.number = 0
        self.changed = False
        self._seen: dict[tuple[str, int], tuple[int, int]] = {}
        self._live: tuple[str, ...] = (name,)
        self._ranks: dict[int, int] = {}

    def set_engines(self, names: Iterable[str]) -> None:
        """Set the engine list; reports on other engines are ignored."""
        self.names = {name_hash(name): name for name in names}
        for engine in [e for e in self.ejected if e not in self.names]:
            del self.ejected[engine]

    def set_live(self, names: Iterable[str]) -> None:
        """Set the live processes."""
        live = tuple(sorted({*names, self.name}))
        if live != self._live:
            self._live = live
            self._ranks.clear()

    @property
    def alone(self) -> bool:
        """Whether no other process is known."""
        return len(self._live) < 2

    def on_ejected(self, now: float, engine: str) -> None:
        """This process has ejected an engine."""
        key = name_hash(engine)
        record = self.ejected.get(key)
        if record is None and len(self.ejected) < MAX_OUT and key in self.names:
            self.ejected[key] = EjectedEngine(now, True)
            self.changed = True
        elif record is not None and not record.ejected_here:
            record.ejected_here = True

    def on_answer(self, now: float, engine: str, recovered: bool) -> None:
        """Record the result of a probe of this process, or that an engine recovered by itself."""
        key = name_hash(engine)
        self.number += 1
        self.answers.pop(key, None)
        self.answers[key] = ProbeAnswer(key, self.number, recovered)
        while len(self.answers) > MAX_IN_ENTRY:
            del self.answers[next(iter(self.answers))]
        self.changed = True
        self._apply(now, key, recovered)

    def on_entry(self, now: float, origin: str, incarnation: int, value: bytes) -> list[tuple[str, bool]]:
        """Process another process's entry; returns (engine, recovered) of each new result."""
        try:
            entry = _decoder.decode(value) if value else ProbeEntry()
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return []
        results = []
        answered_engines = {answer.engine for answer in entry.answers}
        for engine in entry.engines:
            if (
                engine in self.names
                and engine not in self.ejected
                and len(self.ejected) < MAX_OUT
                and (engine not in answered_engines)
            ):
                self.ejected[engine] = EjectedEngine(now, False)
        for answer in entry.answers:
            key, stamp = (origin, answer.engine), (incarnation, answer.number)
            if answer.engine in self.names and stamp > self._seen.get(key, (-1, -1)):
                if key not in self._seen and len(self._seen) >= MAX_SEEN:
                    del self._seen[next(iter(self._seen))]
                self._seen[key] = stamp
                results.append((self.names[answer.engine], answer.recovered))
                if not answer.recovered and answer.engine not in self.ejected and len(self.ejected) < MAX_OUT:
                    self.ejected[answer.engine] = EjectedEngine(now, False)
                self._apply(now, answer.engine, answer.recovered)
        return results

    def due(self, now: float) -> list[str]:
        """The engines that this process must probe now; each counts as probed."""
        found = []
        for key, record in self.ejected.items():
            if now >= record.updated_at + record.interval * (1 + self.rank(key)):
                record.updated_at = now
                found.append(self.names[key])
        return found

    def rank(self, engine: int) -> int:
        """This process's rank for an engine: how many processes come before it."""
        if engine not in self._ranks:
            own = self._score(self.name, engine)
            self._ranks[engine] = sum(self._score(name, engine) > own for name in self._live)
        return self._ranks[engine]

    def entry(self) -> bytes:
        """Encode the entry to publish: newly ejected engines and the latest results."""
        own = [key for key, record in self.ejected.items() if record.ejected_here and key not in self.answers]
        return msgspec.msgpack.encode(ProbeEntry(tuple(own[-MAX_IN_ENTRY:]), tuple(self.answers.values())))

    def _apply(self, now: float, engine: int, recovered: bool) -> None:
        if recovered:
            self.ejected.pop(engine, None)
        elif engine in self.ejected:
            record = self.ejected[engine]
            record.updated_at, record.failures = now, record.failures + 1

    @staticmethod
    def _score(name: str, engine: int) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(name.encode(), engine), name
