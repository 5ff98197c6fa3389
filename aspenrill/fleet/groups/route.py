"""Where the keys of a table group are at home, under one version of the map. Pure, and cheap: one hash a
request.

A group of several parts is cut by the hash of a request's key. Part 0 stays where the whole group was, and
each other part has an order of engines of its own: rendezvous hashing (Thaler, Ravishankar, "Using
name-based mappings to increase hit rates", 1998), by the same figures as `state.Fleet.order`, so that a
group never split is at home where it is without the fleet. A request keeps the map that it was sent under.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from .records import Shape

MOST_ORDERS = 1024  # of engines, kept by group and part


def part_of(group: int, key: bytes | None, parts: int) -> int:
    """The part that holds a key. Where the number of parts doubles, each key stays or moves to part + old
    number. Without a key, part 0."""
    return 0 if key is None or parts == 1 else xxhash.xxh3_64_intdigest(key, group) % parts


def order(group: int, part: int, engines: Sequence[str]) -> tuple[str, ...]:
    """Engines in the order of a part of a group, the same at every process: ties go by name."""
    label = f"{group}" if part == 0 else f"{group}.{part}"
    return tuple(
        sorted(engines, key=lambda e: (zlib.crc32(f"{label}/{e}".encode()) * 2654435761 >> 7 & 1023, e))
    )


@dataclass(frozen=True, slots=True)
class Map:
    """One version: the number of parts of each group that has been split, and by which split."""

    version: int = 0
    shapes: Mapping[int, Shape] = field(default_factory=dict)

    def parts(self, group: int) -> int:
        """Of a group, 1 where it was never split."""
        shape = self.shapes.get(group)
        return shape.parts if shape else 1

    def with_shape(self, shape: Shape) -> Map:
        """The next version. What is older than what is known of the group changes nothing."""
        old = self.shapes.get(shape.group)
        if old is not None and old.version >= shape.version:
            return self
        return Map(max(self.version, shape.version), {**self.shapes, shape.group: shape})


class Router:
    """Homes by map and engines now; orders are kept until the engines change."""

    def __init__(self, engines: Sequence[str] = (), homes: int = 1) -> None:
        self.engines, self.homes = tuple(engines), homes
        self.orders: dict[tuple[int, int], tuple[str, ...]] = {}

    def update(self, engines: Sequence[str]) -> None:
        """The live engines."""
        if tuple(engines) != self.engines:
            self.engines, self.orders = tuple(engines), {}

    def order(self, map_: Map, group: int, key: bytes | None) -> tuple[str, ...]:
        """All engines, the homes of this key first."""
        return self.part_order(group, part_of(group, key, map_.parts(group)))

    def part_order(self, group: int, part: int) -> tuple[str, ...]:
        """All engines, the homes of this part first."""
        at = group, part
        if at not in self.orders:
            if len(self.orders) >= MOST_ORDERS:
                self.orders.clear()
            self.orders[at] = order(group, part, self.engines)
        return self.orders[at]

    def allowed(self, maps: Sequence[Map], group: int, key: bytes | None) -> tuple[str, ...]:
        """Homes under any of these versions, the last one's first: while a version spreads, old and new."""
        return tuple(
            dict.fromkeys(e for m in reversed(maps) for e in self.order(m, group, key)[: self.homes])
        )
