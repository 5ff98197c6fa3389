"""Who relays for a site and for a building: the live member there that rendezvous hashing puts first.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): all that know the same
members agree without a word, and a member that goes moves only what it did. Members that are suspected come
last.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache

import xxhash

from ..interface import Member, Place, State


@lru_cache(maxsize=1 << 17)
def _weight(post: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{post}\0{name}".encode())


class Tree:
    """The members by place, as of the last `changed`; worked out when it is asked for."""

    def __init__(self, members: Callable[[], Mapping[str, Member]]) -> None:
        self._members = members
        self._stale = True
        self._sites: dict[str, dict[str, list[Member]]] = {}
        self._ranked: dict[tuple[str, str | None], list[str]] = {}

    def changed(self) -> None:
        """A member is new, gone, or has another state or place."""
        self._stale = True

    def _fresh(self) -> dict[str, dict[str, list[Member]]]:
        if self._stale:
            self._sites, self._ranked, self._stale = {}, {}, False
            for member in self._members().values():
                if member.there:
                    place = member.place
                    self._sites.setdefault(place.site, {}).setdefault(place.building, []).append(member)
        return self._sites

    def sites(self) -> list[str]:
        """Those with a live member."""
        return sorted(self._fresh())

    def buildings(self, site: str) -> list[str]:
        """Those of a site with a live member."""
        return sorted(self._fresh().get(site, ()))

    def members(self, place: Place) -> list[Member]:
        """Who lives in a building."""
        return self._fresh().get(place.site, {}).get(place.building, [])

    def count(self, site: str) -> int:
        """How many live at a site."""
        return sum(map(len, self._fresh().get(site, {}).values()))

    def relay(self, site: str, building: str | None = None, turn: int = 0) -> str | None:
        """Who relays for a site, or for a building of it. `turn` counts tries without an answer: each second
        one goes to the next of the first three. None where nobody lives there."""
        sites = self._fresh()
        ranked = self._ranked.get((site, building))
        if ranked is None:
            here = sites.get(site, {})
            live = here.get(building, []) if building is not None else [m for b in here.values() for m in b]
            post = f"{site}\0{building}" if building is not None else site
            best = sorted(live, key=lambda m: (m.state is not State.ALIVE, -_weight(post, m.name), m.name))
            ranked = self._ranked[site, building] = [member.name for member in best[:3]]
        return ranked[turn // 2 % len(ranked)] if ranked else None
