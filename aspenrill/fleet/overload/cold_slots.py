"""Slots at cold engines, allocated over the live processes by shares that never sum to more than one.

Each process publishes which engines it holds to be cold. A live process that does not publish an engine may
not know of its start and send as to a warm one: an equal share is reserved for it. A process held to be dead
may be cut off and equally unaware: its floor share is reserved while it is remembered.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

from ..interface import MAX_PEERS
from .rules import name_hash

MAX_IN_ENTRY = 60  # cold engines in an entry; further ones wait until some are warm


class ColdEntry(Struct, array_like=True, frozen=True):
    """The entry: name hashes of the engines that the origin holds to be cold."""

    engines: Annotated[tuple[Annotated[int, Meta(ge=0)], ...], Meta(max_length=MAX_IN_ENTRY)] = ()


_decoder = msgspec.msgpack.Decoder(ColdEntry)


@dataclass(frozen=True, slots=True)
class ColdSlot:
    """This process's slot at one cold engine: `index` of `count` processes that send in turn, so that their
    requests do not coincide; `share` of its capacity; `reserved`: what is left to processes that hold it to
    be warm."""

    index: int
    count: int
    share: float
    reserved: float

    def usable_cores(self, working_cores: float) -> float:
        """The share of the engine's cores that this process may use while `working_cores` of them are in
        service."""
        return max(0.0, working_cores - self.reserved) * self.share


class ColdSlots:
    """Tracks which process knows of which cold engine."""

    def __init__(self, name: str, count: int) -> None:
        self.name, self.count = name, count
        self.own: tuple[str, ...] = ()
        self.reports: dict[str, frozenset[int]] = {}

    def set_cold(self, engines: Iterable[str]) -> bool:
        """Set the engines that this process holds to be cold; True if that has changed."""
        own = tuple(sorted(engines))[:MAX_IN_ENTRY]
        changed, self.own = own != self.own, own
        return changed

    def on_entry(self, origin: str, value: bytes) -> None:
        """Process an entry of another process. A malformed one is ignored."""
        if not value:
            self.reports.pop(origin, None)
            return
        try:
            cold = _decoder.decode(value)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return
        if origin in self.reports or len(self.reports) < MAX_PEERS:
            self.reports[origin] = frozenset(cold.engines)

    def entry(self) -> bytes:
        """Encode the entry to publish."""
        return msgspec.msgpack.encode(ColdEntry(tuple(name_hash(engine) for engine in self.own)))

    def allocate(self, live: Iterable[str], share: float, dead_shares: float = 0.0) -> dict[str, ColdSlot]:
        """The slots by engine. `live`: the other live processes; `share`: this process's capacity share;
        `dead_shares`: how many equal shares are reserved for dead processes, which may only be cut off."""
        others = list(live)
        slots = {}
        for engine in self.own:
            key = name_hash(engine)
            aware = [name for name in others if key in self.reports.get(name, ())]
            own = xxhash.xxh64_intdigest(self.name.encode(), key)
            index = sum(xxhash.xxh64_intdigest(name.encode(), key) > own for name in aware)
            slots[engine] = ColdSlot(
                index, len(aware) + 1, share, (len(others) - len(aware) + dead_shares) / self.count
            )
        return slots
