"""Engines by SRV records (RFC 2782): one for each address of each target."""

from __future__ import annotations

from ..api import EngineState
from ..members import Member
from ..net.hub import Hub
from ..resolver.client import Resolver
from ..wire import dns
from .follower import Follower, Sink


class Srv(Follower):
    """Follows the SRV records of one name. They tell neither kind nor zone: both are configured."""

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

    def look(self, anew: bool) -> tuple[list[Member], float, float]:
        """As `Follower.look`; a target of "." says that there is no engine (RFC 2782, Target)."""
        answer = self.main(dns.SRV, anew)
        rows = [record.data for record in answer.records if record.data[3] and record.data[2]]
        hosts, until = self.addresses([target for *_, target in rows])
        members = []
        for priority, weight, port, target in rows:
            text = dns.text_of(target).rstrip(".").lower() + f":{port}"
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
        return members, answer.learned, min(until, answer.refresh)
