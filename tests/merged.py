"""A test world whose engines are discovered by sources, for tests of the merged list."""

from __future__ import annotations

from collections.abc import Callable

from aspenrill import api
from aspenrill import sources as config
from aspenrill.gathering import SourceSetup
from aspenrill.membership.flaps import Damping
from aspenrill.membership.rule import MergeSpec
from aspenrill.membership.rules import MergeRules
from aspenrill.membership.tiers import TierRules
from aspenrill.resolver.cache import Lifetimes
from aspenrill.resolver.lookup import LookupTimeouts
from standins.nameserver import NameServer
from standins.world import SETTINGS, World

SRV_SERVICE = "_data._tcp.x.example."
DNS_SD_SERVICE = "_tds._tcp.x.example."
BULLETIN_SOURCE = config.SourceSpec("roster", "bulletin", MergeSpec("roster"))
RULES = MergeRules(
    confirm_after=0.4,
    restart_after=0.5,
    damping=Damping(),
    tiers=TierRules(step_interval=0.1, settle_for=0.5),
)


class Merged:
    """A World whose engines are discovered by a bulletin, played by the test, and a simulated DNS server."""

    def __init__(
        self,
        protocol: str,
        engines: int = 2,
        types: str = "bulletin srv",
        host: str = "127.0.0.1",
        settings: api.Settings = SETTINGS,
        rules: MergeRules = RULES,
    ) -> None:
        self.world = World(protocol, engines, settings, listed=False, host=host)
        self.hub, self.engines = self.world.hub, self.world.engines
        self.server = NameServer(self.hub)
        self.resolver = config.ResolverSpec(
            "main",
            (self.server.address,),
            LookupTimeouts(0.2, 0.5),
            Lifetimes(min_ttl=0.1, refresh_window=(0.5, 0.6)),
        )
        rows = {
            "bulletin": BULLETIN_SOURCE,
            "srv": config.SourceSpec("records", "srv", MergeSpec("records", False, 0.5), "main", SRV_SERVICE),
            "dns-sd": config.SourceSpec(
                "instances", "dns-sd", MergeSpec("instances", True, 0.5), "main", DNS_SD_SERVICE
            ),
        }
        self.sources = config.Sources(tuple(rows[name] for name in types.split()), (self.resolver,), rules)
        self.source_setup: SourceSetup | None = None

    def begin(self) -> None:
        """Starts the sources."""
        self.source_setup = SourceSetup(self.hub, self.sources, ("std",), self.world.node.post)

    def roster(self, *rows, whole: bool = False) -> None:
        """Reports rows of the bulletin, as changes or as the complete list."""
        (self.source_setup.discovery.on_list if whole else self.source_setup.discovery.on_changes)(
            "roster", rows
        )

    def srv(self, *engines, ttl: int = 1, **more) -> None:
        """Replaces the SRV records of the service."""
        self.server.srv(
            SRV_SERVICE,
            *(
                (
                    more.get("priority", 0),
                    more.get("weight", 1),
                    e.listener.address[1],
                    f"{e.name}.example.",
                    e.listener.address[0],
                )
                for e in engines
            ),
            ttl=ttl,
        )

    def instance(self, name: str, engine, *texts: str) -> None:
        """Registers a DNS-SD instance with SRV, TXT and A records."""
        self.server.put(
            f"{name}.{DNS_SD_SERVICE}", "SRV", f"0 0 {engine.listener.address[1]} {engine.name}.example."
        )
        self.server.put(
            f"{name}.{DNS_SD_SERVICE}", "TXT", *(" ".join(f'"{text}"' for text in texts or ("v=1",)),)
        )
        self.server.put(f"{engine.name}.example.", "A", engine.listener.address[0])

    @property
    def live(self) -> set[int]:
        """The ports of the engines that take work."""
        return {p.address[1] for p in self.world.node.owner.peers.values() if p.takes_work}

    def listed(self, *engines, within: float = 8.0) -> None:
        """Waits until exactly these engines take work."""
        wanted = {e.listener.address[1] for e in engines}
        self.world.until(lambda: self.live == wanted, within)

    def run(self, play: Callable[[], None]) -> None:
        """Runs a test body in the world."""
        self.world.run(play)
