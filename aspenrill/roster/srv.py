"""Engines by SRV records (RFC 2782): one engine for each address of each target."""

from __future__ import annotations

from ..api import EngineState
from ..members import Member
from ..net.hub import Hub
from ..resolver.client import Resolver
from ..wire import dns
from .watcher import DnsWatcher, Sink


class Srv(DnsWatcher):
    """Watches the SRV records of one name. They carry neither kind nor zone: both are configured."""

    def __init__(
        self,
        hub: Hub,
        name: str,
        resolver: Resolver,
        service: str,
        family: str,
        sink: Sink,
        kind: int = 0,
        zone: int = 0,
        priority: int = 0,
    ) -> None:
        super().__init__(hub, name, resolver, service, family, sink)
        self.kind, self.zone, self.priority = kind, zone, priority

    def poll(self, bypass_cache: bool) -> tuple[list[Member], float, float]:
        """See `DnsWatcher.poll`. A target of "." means that there is no engine (RFC 2782, Target)."""
        answer = self.lookup_service(dns.SRV, bypass_cache)
        records = [record.data for record in answer.records if record.data[3] and record.data[2]]
        hosts, refresh_at = self.resolve_targets([target for *_, target in records])
        members = []
        for priority, weight, port, target in records:
            text = dns.format_name(target).rstrip(".").lower() + f":{port}"
            several = len(hosts.get(target, ())) > 1
            for host in hosts.get(target, ()):
                members.append(
                    Member(
                        f"{text}/{host}" if several else text,
                        (host, port),
                        EngineState.LIVE,
                        self.zone,
                        self.kind,
                        priority=self.priority + priority,
                        weight=float(weight),
                    )
                )
        return members, answer.learned_at, min(refresh_at, answer.refresh_at)
