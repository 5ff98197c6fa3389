"""Sources as configured, at work: resolvers, followers and the merged list, and how they change by SIGHUP."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from .core.owner import MAX_ENGINES
from .members import News
from .membership.rule import Membership
from .net.hub import Hub
from .resolver.client import Resolver
from .roster.discovery import EngineDiscovery
from .roster.dnssd import DnsSd
from .roster.srv import Srv
from .roster.watcher import DnsWatcher
from .sources import ResolverSpec, Sources, SourceSpec, policy_of


class Gathering:
    """Starts what the sources need, and changes it when they do."""

    def __init__(
        self,
        hub: Hub,
        sources: Sources,
        kinds: tuple[str, ...],
        post: Callable[[Any], None],
        most_engines: int = MAX_ENGINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.hub, self.kinds, self.sources = hub, kinds, sources
        self.membership = Membership(sources.rules, sources.specs, clock(), policy_of(sources))
        self.roster = EngineDiscovery(hub, clock, self.membership, post, most_engines)
        self.resolvers: dict[ResolverSpec, Resolver] = {}
        for source in sources.sources:
            self._begin(source)

    def bulletin(self, news: News) -> None:
        """What the bulletin tells, where it is one of the sources."""
        for source in self.sources.sources:
            if source.type == "bulletin":
                self.roster.bulletin_handler(source.name)(news)

    def change(self, sources: Sources) -> None:
        """Other sources, order, resolvers or rules: engines, and what runs there, stay as they are as long as
        somebody names them. A source that has not changed goes on, as does a resolver with what it knows."""
        before, self.sources = self.sources, sources
        old = {source.name: (source, self._resolver_of(before, source)) for source in before.sources}
        self.membership.configure(self.roster.clock(), sources.specs, sources.rules, policy_of(sources))
        names = {source.name for source in sources.sources}
        for source in before.sources:
            if source.name not in names:
                self.roster.stop_source(source.name)
        for source in sources.sources:
            if source.type == "list" or old.get(source.name) != (source, self._resolver_of(sources, source)):
                self._begin(source)
        used = {self._resolver_of(sources, source) for source in sources.sources}
        self.resolvers = {spec: one for spec, one in self.resolvers.items() if spec in used}
        self.roster.publish_changes()

    @staticmethod
    def _resolver_of(sources: Sources, source: SourceSpec) -> ResolverSpec | None:
        return sources.resolver(source.resolver) if source.resolver else None

    def _begin(self, source: SourceSpec) -> None:
        if source.type == "list":
            self.roster.stop_source(source.name)
            self.roster.on_list(source.name, source.engines)
        elif source.type != "bulletin":
            self.roster.start_source(source.name, self._new_watcher(source))

    def _new_watcher(self, source: SourceSpec) -> DnsWatcher:
        spec = self.sources.resolver(source.resolver)
        resolver = self.resolvers.get(spec)
        if resolver is None:
            resolver = self.resolvers[spec] = Resolver(self.hub, spec.servers, spec.timeouts, spec.lifetimes)
        if source.type == "srv":
            return Srv(
                self.hub,
                source.name,
                resolver,
                source.service,
                source.family,
                self.roster,
                source.kind,
                source.zone,
                source.tier,
            )
        return DnsSd(
            self.hub,
            source.name,
            resolver,
            source.service,
            source.family,
            self.roster,
            self.kinds,
            source.tier,
        )
