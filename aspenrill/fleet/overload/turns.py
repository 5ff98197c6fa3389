"""Turns at cold engines, dealt over who is there, by shares that never sum to more than one.

Each process tells which engines it holds to be cold. One that is there and does not tell of an engine may
not have been told of its start and send as to a warm one: an equal part is kept free for it. Who is held
to be dead may be cut off instead, and untold too: its floor is kept free while it is remembered.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

from ..interface import MOST_PEERS
from .rules import mark

MOST_TOLD = 60  # cold engines in an entry; one with more waits until some are warm


class Cold(Struct, array_like=True, frozen=True):
    """Marks of the engines that the origin holds to be cold."""

    engines: Annotated[tuple[Annotated[int, Meta(ge=0)], ...], Meta(max_length=MOST_TOLD)] = ()


_decoder = msgspec.msgpack.Decoder(Cold)


@dataclass(frozen=True, slots=True)
class Turn:
    """This process's turns at one cold engine: `index` of `count` that take turns, so that they do not
    heap up; `share` of its capacity; `kept` is the part of it, as if warm, that is left to those not told."""

    index: int
    count: int
    share: float
    kept: float

    def part(self, able: float) -> float:
        """Part of the engine's cores that this process may use while `able` of them work."""
        return max(0.0, able - self.kept) * self.share


class Turns:
    """Who knows of which cold engine."""

    def __init__(self, name: str, count: int) -> None:
        self.name, self.count = name, count
        self.own: tuple[str, ...] = ()
        self.told: dict[str, frozenset[int]] = {}

    def cold(self, engines: Iterable[str]) -> bool:
        """The engines that this process holds to be cold; True if that has changed."""
        own = tuple(sorted(engines))[:MOST_TOLD]
        changed, self.own = own != self.own, own
        return changed

    def hear(self, origin: str, value: bytes) -> None:
        """Another's entry; what is malformed changes nothing."""
        if not value:
            self.told.pop(origin, None)
            return
        try:
            cold = _decoder.decode(value)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return
        if origin in self.told or len(self.told) < MOST_PEERS:
            self.told[origin] = frozenset(cold.engines)

    def entry(self) -> bytes:
        return msgspec.msgpack.encode(Cold(tuple(mark(engine) for engine in self.own)))

    def deal(self, live: Iterable[str], share: float, gone: float = 0.0) -> dict[str, Turn]:
        """By engine. `live`: the others that are there; `share`: this process's share of the whole;
        `gone`: equal parts of those that are dead and may be cut off instead."""
        others = list(live)
        turns = {}
        for engine in self.own:
            key = mark(engine)
            told = [name for name in others if key in self.told.get(name, ())]
            own = xxhash.xxh64_intdigest(self.name.encode(), key)
            index = sum(xxhash.xxh64_intdigest(name.encode(), key) > own for name in told)
            turns[engine] = Turn(index, len(told) + 1, share, (len(others) - len(told) + gone) / self.count)
        return turns
