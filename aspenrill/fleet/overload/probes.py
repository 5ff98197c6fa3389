"""Promise 3: who asks after an engine that is out. One of those that know of each other; all hear the
answer.

Rendezvous hashing (Thaler and Ravishankar, 1998) puts the live processes in an order for each engine; the
k-th in it asks once k + 1 intervals have passed without news. So a death moves the duty after one
interval, each side of a partition has its own asker, and probes are bounded whatever the number of
processes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

from .rules import mark

FIRST, MOST = 1.0, 8.0  # seconds between probes at one engine: doubled with each that fails
MOST_TOLD = 20  # engines and answers in an entry
MOST_OUT = 2000  # engines kept
MOST_HEARD = 8192  # last answers kept, by origin and engine

Mark = Annotated[int, Meta(ge=0)]


class Answer(Struct, array_like=True, frozen=True):
    """An answer: the engine as its mark, the origin's number of it, and whether the engine is back."""

    engine: Mark
    number: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    back: bool


class Outs(Struct, array_like=True, frozen=True):
    """Engines that the origin has found out, and the last answers that it has had."""

    engines: Annotated[tuple[Mark, ...], Meta(max_length=MOST_TOLD)] = ()
    answers: Annotated[tuple[Answer, ...], Meta(max_length=MOST_TOLD)] = ()


_decoder = msgspec.msgpack.Decoder(Outs)


class Out:
    """An engine that is out, as this process knows it."""

    __slots__ = ("news_at", "failed", "own")

    def __init__(self, now: float, own: bool) -> None:
        self.news_at, self.failed, self.own = now, 0, own

    @property
    def interval(self) -> float:
        return min(MOST, FIRST * 2.0 ** min(self.failed, 8))


class Probes:
    """One process's share of the asking."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.out: dict[int, Out] = {}
        self.names: dict[int, str] = {}  # engines of the list, by mark
        self.answers: dict[int, Answer] = {}
        self.number = 0
        self.changed = False
        self._heard: dict[tuple[str, int], tuple[int, int]] = {}
        self._live: tuple[str, ...] = (name,)
        self._ranks: dict[int, int] = {}

    def engines(self, names: Iterable[str]) -> None:
        """The engines of the list; what is told of others is passed by."""
        self.names = {mark(name): name for name in names}
        for engine in [e for e in self.out if e not in self.names]:
            del self.out[engine]

    def live(self, names: Iterable[str]) -> None:
        """The processes that are there, this one among them."""
        live = tuple(sorted({*names, self.name}))
        if live != self._live:
            self._live = live
            self._ranks.clear()

    @property
    def alone(self) -> bool:
        """Nobody else is known: it asks for itself, as it would without a fleet."""
        return len(self._live) < 2

    def eject(self, now: float, engine: str) -> None:
        """This process has found an engine out."""
        key = mark(engine)
        out = self.out.get(key)
        if out is None and len(self.out) < MOST_OUT and key in self.names:
            self.out[key] = Out(now, True)
            self.changed = True
        elif out is not None and not out.own:
            out.own = True

    def answered(self, now: float, engine: str, back: bool) -> None:
        """This process has asked, and this is what came of it; also news that an engine is well again."""
        key = mark(engine)
        self.number += 1
        self.answers.pop(key, None)
        self.answers[key] = Answer(key, self.number, back)
        while len(self.answers) > MOST_TOLD:
            del self.answers[next(iter(self.answers))]
        self.changed = True
        self._news(now, key, back)

    def hear(self, now: float, origin: str, incarnation: int, value: bytes) -> list[tuple[str, bool]]:
        """What another has told: (engine, whether it is back) of each answer that is new here."""
        try:
            told = _decoder.decode(value) if value else Outs()
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return []
        news = []
        answered = {answer.engine for answer in told.answers}
        for engine in told.engines:
            if (
                engine in self.names
                and engine not in self.out
                and len(self.out) < MOST_OUT
                and (engine not in answered)
            ):
                self.out[engine] = Out(now, False)
        for answer in told.answers:
            key, stamp = (origin, answer.engine), (incarnation, answer.number)
            if answer.engine in self.names and stamp > self._heard.get(key, (-1, -1)):
                if key not in self._heard and len(self._heard) >= MOST_HEARD:
                    del self._heard[next(iter(self._heard))]
                self._heard[key] = stamp
                news.append((self.names[answer.engine], answer.back))
                if not answer.back and answer.engine not in self.out and len(self.out) < MOST_OUT:
                    self.out[answer.engine] = Out(now, False)
                self._news(now, answer.engine, answer.back)
        return news

    def due(self, now: float) -> list[str]:
        """Engines after which this process is to ask now; each counts as asked from here on."""
        found = []
        for key, out in self.out.items():
            if now >= out.news_at + out.interval * (1 + self.rank(key)):
                out.news_at = now
                found.append(self.names[key])
        return found

    def rank(self, engine: int) -> int:
        """This process's place in the order for an engine: how many are before it."""
        if engine not in self._ranks:
            own = self._score(self.name, engine)
            self._ranks[engine] = sum(self._score(name, engine) > own for name in self._live)
        return self._ranks[engine]

    def entry(self) -> bytes:
        """What to tell: engines newly found out, and the last answers."""
        own = [key for key, out in self.out.items() if out.own and key not in self.answers]
        return msgspec.msgpack.encode(Outs(tuple(own[-MOST_TOLD:]), tuple(self.answers.values())))

    def _news(self, now: float, engine: int, back: bool) -> None:
        if back:
            self.out.pop(engine, None)
        elif engine in self.out:
            out = self.out[engine]
            out.news_at, out.failed = now, out.failed + 1

    @staticmethod
    def _score(name: str, engine: int) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(name.encode(), engine), name
