"""Source setup: starts resolvers and watchers for the configured sources, and changes them on SIGHUP."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from .core.owner import MAX_ENGINES
from .members import EngineListUpdate
from .membership.rule import Membership
from .net.hub import Hub
from .resolver.client import Resolver
from .roster.discovery import EngineDiscovery
from .roster.dnssd import DnsSd
from .roster.srv import Srv
from .roster.watcher import DnsWatcher
from .sources import ResolverSpec, Sources, SourceSpec, address_policy


class SourceSetup:
    """Starts the watchers and resolvers of the sources, and applies changes of their configuration."""

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
        self.membership = Membership(sources.rules, sources.specs, clock(), address_policy(sources))
        self.discovery = EngineDiscovery(hub, clock, self.membership, post, most_engines)
        self.resolvers: dict[ResolverSpec, Resolver] = {}
        for source in sources.sources:
            self._start(source)

    def on_bulletin_update(self, update: EngineListUpdate) -> None:
        """Apply an update of the bulletin if it is one of the sources."""
        for source in self.sources.sources:
            if source.type == "bulletin":
                self.discovery.bulletin_handler(source.name)(update)

    def reconfigure(self, sources: Sources) -> None:
        """Apply other sources, order, resolvers or rules.

        An engine and its running requests are kept while at least one source names it. A source that has not
        changed keeps its watcher, a resolver its cache.
        """
        previous, self.sources = self.sources, sources
        old = {source.name: (source, self._resolver_of(previous, source)) for source in previous.sources}
        self.membership.configure(
            self.discovery.clock(), sources.specs, sources.rules, address_policy(sources)
        )
        names = {source.name for source in sources.sources}
        for source in previous.sources:
            if source.name not in names:
                self.discovery.stop_source(source.name)
        for source in sources.sources:
            if source.type == "list" or old.get(source.name) != (source, self._resolver_of(sources, source)):
                self._start(source)
        used = {self._resolver_of(sources, source) for source in sources.sources}
        self.resolvers = {spec: resolver for spec, resolver in self.resolvers.items() if spec in used}
        self.discovery.publish_changes()

    @staticmethod
    def _resolver_of(sources: Sources, source: SourceSpec) -> ResolverSpec | None:
        return sources.resolver(source.resolver) if source.resolver else None

    def _start(self, source: SourceSpec) -> None:
        if source.type == "list":
            self.discovery.stop_source(source.name)
            self.discovery.on_list(source.name, source.engines)
        elif source.type != "bulletin":
            self.discovery.start_source(source.name, self._new_watcher(source))

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
                self.discovery,
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
            self.discovery,
            self.kinds,
            source.tier,
        )
