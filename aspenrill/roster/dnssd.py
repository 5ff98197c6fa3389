"""Engines by DNS-SD (RFC 6763): instances by PTR, their addresses by SRV, their properties by TXT."""

from __future__ import annotations

from collections.abc import Iterable

from ..api import EngineState
from ..members import Member
from ..net.hub import Hub
from ..resolver.client import Resolver
from ..resolver.lookup import Failed
from ..wire import dns
from .watcher import DnsWatcher, Sink

STATES = {"draining": EngineState.DRAINING, "gone": EngineState.GONE}


def properties(texts: Iterable[str]) -> dict[str, str]:
    """Return the key/value pairs of a TXT record. Keys ignore case; the first occurrence of a key counts."""
    found: dict[str, str] = {}
    for text in texts:
        key, _, value = text.partition("=")
        if key:
            found.setdefault(key.lower(), value)
    return found


class DnsSd(DnsWatcher):
    """Watches the instances of one DNS-SD service type."""

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
        self.last_members: dict[dns.Name, list[Member]] = {}  # by instance

    def poll(self, bypass_cache: bool) -> tuple[list[Member], float, float]:
        """See `DnsWatcher.poll`. An instance whose records cannot be looked up keeps its last members."""
        answer = self.lookup_service(dns.PTR, bypass_cache)
        instances = sorted({record.data for record in answer.records})
        found = self.resolver.lookup_many(
            [(instance, kind) for instance in instances for kind in (dns.SRV, dns.TXT)]
        )
        refresh_times = [a.refresh_at for a in found if not isinstance(a, Failed) and not a.stale]
        refresh_at = min([answer.refresh_at, *refresh_times])
        endpoints: dict[dns.Name, tuple] = {}
        for instance, srv in zip(instances, found[::2], strict=True):
            if not isinstance(srv, Failed) and srv.records:
                endpoints[instance] = min((record.data for record in srv.records), key=lambda data: data[:2])
        hosts, hosts_refresh_at = self.resolve_targets(
            [endpoint[3] for endpoint in endpoints.values() if endpoint[3]]
        )
        last_members, self.last_members, members = self.last_members, {}, []
        for instance, srv, text in zip(instances, found[::2], found[1::2], strict=True):
            if isinstance(srv, Failed) or isinstance(text, Failed):
                rows = last_members.get(instance, [])
            elif instance not in endpoints:
                rows = []
            else:
                properties_found = properties(text.records[0].data if text.records else ())
                rows = self._members(
                    instance, endpoints[instance], hosts.get(endpoints[instance][3], ()), properties_found
                )
            if rows:
                self.last_members[instance] = rows
            members += rows
        return members, answer.learned_at, min(refresh_at, hosts_refresh_at)

    def _members(
        self, instance: dns.Name, endpoint: tuple, hosts: tuple[str, ...], properties_found: dict[str, str]
    ) -> list[Member]:
        """Return the member for an instance: one engine, at its first address."""

        def number(key: str, limit: int) -> int:
            value = properties_found.get(key, "0")
            return int(value) if value.isascii() and value.isdigit() and int(value) < limit else 0

        priority, weight, port, _ = endpoint
        if not hosts or not port:
            return []
        kind = self.kinds.index(properties_found["kind"]) if properties_found.get("kind") in self.kinds else 0
        return [
            Member(
                dns.format_name(instance).rstrip("."),
                (hosts[0], port),
                STATES.get(properties_found.get("state", ""), EngineState.LIVE),
                number("zone", 256),
                kind,
                number("cell", 65536),
                number("started", 1 << 53) / 1000,
                self.priority + priority,
                float(weight) if weight else None,
            )
        ]  # a weight of 0 means that no share is requested
