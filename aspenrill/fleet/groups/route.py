"""Affinity of the keys of a table group under one version of the map: one hash per request.

A group of several parts is partitioned by the hash of a request's key. Part 0 keeps the affinity of the
unsplit group, and each other part has an order of engines of its own: rendezvous hashing (Thaler,
Ravishankar, "Using name-based mappings to increase hit rates", 1998). The weights are those of
`state.Fleet.order`, so that the affinity of a group that was never split is the same without the fleet. A
request keeps the map that it was sent under.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from .records import Layout

MAX_CACHED_ORDERS = 1024  # cached orders of engines, by group and part


def part_for_key(group: int, key: bytes | None, parts: int) -> int:
    """The part that holds a key; part 0 without a key.

    When the number of parts doubles, each key stays or moves to its part + the old number.
    """
    return 0 if key is None or parts == 1 else xxhash.xxh3_64_intdigest(key, group) % parts


def engine_order(group: int, part: int, engines: Sequence[str]) -> tuple[str, ...]:
    """Engines in the affinity order of a part, the same at every process; ties are broken by name."""
    label = f"{group}" if part == 0 else f"{group}.{part}"
    return tuple(
        sorted(engines, key=lambda e: (zlib.crc32(f"{label}/{e}".encode()) * 2654435761 >> 7 & 1023, e))
    )


@dataclass(frozen=True, slots=True)
class Map:
    """One version of the map: the layout of each group that was ever split."""

    version: int = 0
    layouts: Mapping[int, Layout] = field(default_factory=dict)

    def parts(self, group: int) -> int:
        """Number of parts of a group; 1 if it was never split."""
        layout = self.layouts.get(group)
        return layout.parts if layout else 1

    def with_layout(self, layout: Layout) -> Map:
        """The map with this layout; unchanged if a layout as new is known of the group."""
        old = self.layouts.get(layout.group)
        if old is not None and old.version >= layout.version:
            return self
        return Map(max(self.version, layout.version), {**self.layouts, layout.group: layout})


class Router:
    """Affinity orders by map and current engines, cached until the engines change."""

    def __init__(self, engines: Sequence[str] = (), homes: int = 1) -> None:
        self.engines, self.homes = tuple(engines), homes
        self.cached_orders: dict[tuple[int, int], tuple[str, ...]] = {}

    def update(self, engines: Sequence[str]) -> None:
        """Sets the live engines."""
        if tuple(engines) != self.engines:
            self.engines, self.cached_orders = tuple(engines), {}

    def key_order(self, map_: Map, group: int, key: bytes | None) -> tuple[str, ...]:
        """All engines, the home engines of this key first."""
        return self.part_order(group, part_for_key(group, key, map_.parts(group)))

    def part_order(self, group: int, part: int) -> tuple[str, ...]:
        """All engines, the home engines of this part first."""
        pair = group, part
        if pair not in self.cached_orders:
            if len(self.cached_orders) >= MAX_CACHED_ORDERS:
                self.cached_orders.clear()
            self.cached_orders[pair] = engine_order(group, part, self.engines)
        return self.cached_orders[pair]

    def allowed(self, maps: Sequence[Map], group: int, key: bytes | None) -> tuple[str, ...]:
        """Home engines under any of these versions, the last version's first."""
        return tuple(
            dict.fromkeys(e for m in reversed(maps) for e in self.key_order(m, group, key)[: self.homes])
        )
