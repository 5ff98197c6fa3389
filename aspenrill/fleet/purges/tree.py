"""Selection of relays: the live member of a site or building that rendezvous hashing ranks first.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): processes that know the same
members agree without communication, and a failed member only changes the regions that it relayed for.
Suspected members are ranked last.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache

import xxhash

from ..interface import Member, Place, State


@lru_cache(maxsize=1 << 17)
def _weight(region: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{region}\0{name}".encode())


class Tree:
    """The members by place; recomputed on use after `invalidate`."""

    def __init__(self, members: Callable[[], Mapping[str, Member]]) -> None:
        self._members = members
        self._stale = True
        self._sites: dict[str, dict[str, list[Member]]] = {}
        self._ranked: dict[tuple[str, str | None], list[str]] = {}

    def invalidate(self) -> None:
        """The members, their states or places have changed."""
        self._stale = True

    def _current_sites(self) -> dict[str, dict[str, list[Member]]]:
        if self._stale:
            self._sites, self._ranked, self._stale = {}, {}, False
            for member in self._members().values():
                if member.is_live:
                    place = member.place
                    self._sites.setdefault(place.site, {}).setdefault(place.building, []).append(member)
        return self._sites

    def sites(self) -> list[str]:
        """Sites with a live member."""
        return sorted(self._current_sites())

    def buildings(self, site: str) -> list[str]:
        """Buildings of a site with a live member."""
        return sorted(self._current_sites().get(site, ()))

    def members(self, place: Place) -> list[Member]:
        """Live members in a building."""
        return self._current_sites().get(place.site, {}).get(place.building, [])

    def count(self, site: str) -> int:
        """Number of live members at a site."""
        return sum(map(len, self._current_sites().get(site, {}).values()))

    def relay(self, site: str, building: str | None = None, tries: int = 0) -> str | None:
        """The relay of a site, or of a building of it; None if there is no live member.

        `tries` counts unanswered messages: every second one selects the next of the first three members.
        """
        sites = self._current_sites()
        ranked = self._ranked.get((site, building))
        if ranked is None:
            buildings = sites.get(site, {})
            live = (
                buildings.get(building, [])
                if building is not None
                else [m for b in buildings.values() for m in b]
            )
            region = f"{site}\0{building}" if building is not None else site
            order = sorted(live, key=lambda m: (m.state is not State.ALIVE, -_weight(region, m.name), m.name))
            ranked = self._ranked[site, building] = [member.name for member in order[:3]]
        return ranked[tries // 2 % len(ranked)] if ranked else None
