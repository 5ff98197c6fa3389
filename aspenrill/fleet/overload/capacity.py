"""How much there is of each capacity, where processes do not agree yet: the smaller counts until they do."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..interface import MOST_PEERS

Size = Annotated[float, Meta(ge=0.0, le=1e9)]


class Whole(Struct, array_like=True, frozen=True):
    """A process's list of engines, as a hash, and the threads that warm ones take together."""

    version: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    threads: Size


_decoder = msgspec.msgpack.Decoder(Whole)


class Capacity:
    """Threads at warm engines. A rise counts once all that are there have told the same list, a fall at
    once."""

    def __init__(self) -> None:
        self.own = Whole(0, 0.0)
        self.told: dict[str, Whole] = {}
        self._agreed = 0.0  # the last that all had told

    def hear(self, origin: str, value: bytes) -> None:
        """A process's entry; what is malformed changes nothing."""
        if not value:
            self.told.pop(origin, None)
            return
        try:
            whole = _decoder.decode(value)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return
        if origin in self.told or len(self.told) < MOST_PEERS:
            self.told[origin] = whole

    def threads(self, live: Iterable[str]) -> float:
        """What counts now; `live`: the others that are there."""
        told = [self.told.get(name) for name in live]
        known = [whole.threads for whole in told if whole is not None]
        if all(whole is not None and whole.version == self.own.version for whole in told):
            self._agreed = min([self.own.threads, *known])
            return self._agreed
        return min([self.own.threads, *known, *([self._agreed] if self._agreed else [])])


def pack(whole: Whole) -> bytes:
    return msgspec.msgpack.encode(whole)
