"""Engines by DNS-SD (RFC 6763): instances by PTR, their addresses by SRV, their properties by TXT."""

from __future__ import annotations

from collections.abc import Iterable

from ..api import EngineState
from ..members import Member
from ..net.hub import Hub
from ..resolver.client import Resolver
from ..resolver.lookup import Failed
from ..wire import dns
from .follower import Follower, Sink

STATES = {"draining": EngineState.DRAINING, "gone": EngineState.GONE}


def properties(texts: Iterable[str]) -> dict[str, str]:
    """Key and value pairs of a TXT record: keys without case, and the first of each counts."""
    found: dict[str, str] = {}
    for text in texts:
        key, _, value = text.partition("=")
        if key:
            found.setdefault(key.lower(), value)
    return found


class DnsSd(Follower):
    """Follows the instances of one service type."""

    def __init__(
        self,
        hub: Hub,
        name: str,
        resolver: Resolver,
        service: str,
        family: str,
        sink: Sink,
        kinds: tuple[str, ...] = (),
        priority: int = 0,
    ) -> None:
        super().__init__(hub, name, resolver, service, family, sink)
        self.kinds, self.priority = kinds, priority
        self.last: dict[dns.Name, list[Member]] = {}  # by instance

    def look(self, anew: bool) -> tuple[list[Member], float, float]:
        """As `Follower.look`. An instance whose records cannot be had stays as it was."""
        answer = self.main(dns.PTR, anew)
        instances = sorted({record.data for record in answer.records})
        found = self.resolver.many([(one, kind) for one in instances for kind in (dns.SRV, dns.TXT)])
        lives = [a.refresh for a in found if not isinstance(a, Failed) and not a.stale]
        until = min([answer.refresh, *lives])
        places: dict[dns.Name, tuple] = {}
        for one, srv in zip(instances, found[::2], strict=True):
            if not isinstance(srv, Failed) and srv.records:
                places[one] = min((record.data for record in srv.records), key=lambda data: data[:2])
        hosts, next_look = self.addresses([place[3] for place in places.values() if place[3]])
        last, self.last, members = self.last, {}, []
        for one, srv, text in zip(instances, found[::2], found[1::2], strict=True):
            if isinstance(srv, Failed) or isinstance(text, Failed):
                rows = last.get(one, [])
            elif one not in places:
                rows = []
            else:
                told = properties(text.records[0].data if text.records else ())
                rows = self._members(one, places[one], hosts.get(places[one][3], ()), told)
            if rows:
                self.last[one] = rows
            members += rows
        return members, answer.learned, min(until, next_look)

    def _members(
        self, instance: dns.Name, place: tuple, hosts: tuple[str, ...], told: dict[str, str]
    ) -> list[Member]:
        """An instance is one engine, at the first of its addresses."""

        def whole(key: str, most: int) -> int:
            value = told.get(key, "0")
            return int(value) if value.isascii() and value.isdigit() and int(value) < most else 0

        priority, weight, port, _ = place
        if not hosts or not port:
            return []
        kind = self.kinds.index(told["kind"]) if told.get("kind") in self.kinds else 0
        return [
            Member(
                dns.text_of(instance).rstrip("."),
                (hosts[0], port),
                STATES.get(told.get("state", ""), EngineState.LIVE),
                whole("zone", 256),
                kind,
                whole("cell", 65536),
                whole("started", 1 << 53) / 1000,
                self.priority + priority,
                float(weight) if weight else None,
            )
        ]  # 0 is written where no choice is meant
