"""The sources of engines in a file: [[source]], [[resolver]], [membership], [tiers] and [addresses].

An application's file has them, or the older form with one source in [engines]; a platform node has a file of
its own under deploy/.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass

from .api import EngineState
from .members import Member
from .membership.flaps import Damping
from .membership.rule import MergeRules, MergeSpec
from .membership.tiers import TierRules
from .reader import Reader, unique
from .resolver.cache import Lifetimes
from .resolver.lookup import Patience
from .wire import Malformed, dns

TYPES = ("list", "dns-sd", "srv")
FAMILIES = ("ipv4-first", "ipv6-first", "ipv4", "ipv6")
DAY = 86400


@dataclass(frozen=True)
class ResolverSpec:
    """Name servers in their order, and how patiently they are asked."""

    name: str
    servers: tuple[tuple[str, int], ...]
    timeouts: Patience
    lifetimes: Lifetimes


@dataclass(frozen=True)
class SourceSpec:
    """One source. `engines` for a list; `service` and `resolver` for the others but the bulletin."""

    name: str
    type: str
    spec: MergeSpec
    resolver: str = ""
    service: str = ""
    family: str = FAMILIES[0]
    kind: int = 0
    zone: int = 0
    tier: int = 0
    engines: tuple[Member, ...] = ()


@dataclass(frozen=True)
class Sources:
    """All of it, checked. `allow` and `deny` are networks as written."""

    sources: tuple[SourceSpec, ...]
    resolvers: tuple[ResolverSpec, ...] = ()
    rules: MergeRules = MergeRules()
    allow: tuple[str, ...] = ()
    deny: tuple[str, ...] = ()

    @property
    def summary(self) -> str:
        """The types of the sources in their order, for one line."""
        return ", ".join(source.type for source in self.sources)

    @property
    def specs(self) -> tuple[MergeSpec, ...]:
        """What the membership is told of them."""
        return tuple(source.spec for source in self.sources)

    def resolver(self, name: str) -> ResolverSpec:
        """The resolver of a name."""
        return next(one for one in self.resolvers if one.name == name)


def _resolver(row: Reader) -> ResolverSpec:
    name, servers = row.text("name", "default"), []
    for at, text in enumerate(row.texts("servers")):
        servers.append(Reader({"at": text}, "", []).address("at"))
        if not servers[-1][1]:
            row.fault(f"servers[{at}]", f"ADDRESS:PORT with a numeric address is wanted, got {text!r}")
    if not servers:
        row.fault("servers", "at least one ADDRESS:PORT is wanted")
    unique(row, "servers", servers)
    question = row.number("question_ms", 1000, 10, 60000) / 1000
    lookup = row.number("lookup_ms", 5000, 10, 600000) / 1000
    if lookup < question:
        row.fault("lookup_ms", "must not be below question_ms")
    least, most = row.number("least_ttl_s", 1, 0.1, DAY), row.number("most_ttl_s", 3600, 0.1, 7 * DAY)
    if most < least:
        row.fault("most_ttl_s", "must not be below least_ttl_s")
    lifetimes = Lifetimes(
        least,
        most,
        row.number("negative_ttl_s", 300, 0.1, DAY),
        row.number("stale_s", DAY, 0, 30 * DAY),
        max_entries=int(row.number("entries", 8192, 16, 1 << 20)),
    )
    row.end()
    return ResolverSpec(name, tuple(servers), Patience(question, lookup), lifetimes)


def service_of(row: Reader) -> str:
    """The name that a source asks for, checked."""
    text = row.text("service")
    try:
        if text and len(dns.parse_name(text)) < 3:
            row.fault("service", "a name like _tds._tcp.billing.example is wanted")
    except Malformed as why:
        row.fault("service", str(why))
    return text


def _listed(
    row: Reader, kinds: tuple[str, ...], tier: int, weight: float | None, zone: int
) -> tuple[Member, ...]:
    members = []
    for engine in row.tables("engine"):
        members.append(
            Member(
                engine.text("name"),
                engine.address("address"),
                EngineState.DRAINING
                if engine.choice("state", ("live", "draining"), "live") == "draining"
                else EngineState.LIVE,
                zone,
                kinds.index(engine.choice("kind", kinds, kinds[0])) if kinds else 0,
                priority=tier,
                weight=weight,
            )
        )
        engine.end()
    unique(row, "engine", [m.engine for m in members])
    unique(row, "engine", [m.address for m in members])
    return tuple(members)


def _source(
    row: Reader, kinds: tuple[str, ...], resolvers: tuple[str, ...], types: tuple[str, ...]
) -> SourceSpec:
    name, kind_of = row.text("name"), row.choice("type", types)
    tier, zone = int(row.number("tier", 0, 0, 65535)), int(row.number("zone", 0, 0, 255))
    shrink = row.number("shrink", 0.5 if kind_of in ("dns-sd", "srv") else 1.0, 0, 1)
    spec = MergeSpec(name, has_engine_ids=kind_of != "srv", max_shrink=shrink)
    if kind_of == "bulletin":
        row.end()
        return SourceSpec(name, kind_of, spec)
    if kind_of == "list":
        weight = row.number("weight", 0, 0, 65535) if "weight" in row.table else None
        engines = _listed(row, kinds, tier, weight, zone)
        if not engines:
            row.fault("engine", "a list: at least one engine table is wanted")
        row.end()
        return SourceSpec(name, kind_of, spec, zone=zone, tier=tier, engines=engines)
    service = service_of(row)
    resolver = ""
    if resolvers:
        resolver = row.choice("resolver", resolvers, resolvers[0])
    else:
        row.seen.add("resolver")
        row.fault("resolver", "at least one [[resolver]] is wanted")
    kind = kinds.index(row.choice("kind", kinds, kinds[0])) if kind_of == "srv" and kinds else 0
    family = row.choice("family", FAMILIES, FAMILIES[0])
    row.end()
    return SourceSpec(name, kind_of, spec, resolver, service, family, kind, zone, tier)


def _older(row: Reader, kinds: tuple[str, ...]) -> tuple[list[SourceSpec], list[ResolverSpec]]:
    """One source within [engines], as files had it before there were several."""
    kind_of = row.choice("source", ("list", "dns-sd"))
    engines = _listed(row, kinds, 0, None, 0)
    if kind_of == "list":
        row.seen |= {"resolver", "service"}
        if not engines:
            row.fault("engine", "source is list: at least one [[engines.engine]] is wanted")
        return [SourceSpec("engines", "list", MergeSpec("engines"), engines=engines)], []
    server, service = row.address("resolver"), service_of(row)
    resolver = ResolverSpec("default", (server,), Patience(), Lifetimes())
    return [SourceSpec("engines", "dns-sd", MergeSpec("engines", max_shrink=0.5), "default", service)], [
        resolver
    ]


def _rules(top: Reader) -> MergeRules:
    row, tiers = top.table_of("membership"), top.table_of("tiers")
    first, most = row.number("hold_s", 5, 0.1, DAY), row.number("hold_most_s", 300, 0.1, DAY)
    if most < first:
        row.fault("hold_most_s", "must not be below hold_s")
    damping = Damping(
        int(row.number("flaps", 3, 2, 1000)),
        row.number("flap_window_s", 10, 0.1, DAY),
        first,
        most,
        row.number("calm_s", 60, 0.1, DAY),
    )
    lack, full = tiers.number("lack", 0.5, 0, 1), tiers.number("full", 0.75, 0, 1)
    if full < lack:
        tiers.fault("full", "must not be below lack: a tier would open and close in turns")
    ladder = TierRules(
        lack,
        full,
        int(tiers.number("least", 1, 1, 20000)),
        tiers.number("step_ms", 1000, 10, 600000) / 1000,
        tiers.number("settle_s", 15, 0, DAY),
    )
    rules = MergeRules(
        row.number("restart_ms", 1000, 0, 600000) / 1000,
        row.number("confirm_ms", 2000, 100, 600000) / 1000,
        row.number("handover_s", 30, 0, DAY),
        max_engines=int(row.number("most_engines", 20000, 1, 100000)),
        damping=damping,
        tiers=ladder,
    )
    row.end()
    tiers.end()
    return rules


def _networks(row: Reader, name: str) -> tuple[str, ...]:
    texts = row.texts(name)
    if texts:
        try:
            from .membership.addresses import parse_networks
        except ImportError:
            row.fault(name, "needs the library netaddr: pip install 'aspenrill[sources]'")
            return ()
        for at, text in enumerate(texts):
            try:
                parse_networks([text])
            except ValueError as why:
                row.fault(f"{name}[{at}]", str(why))
    return tuple(texts)


def read(top: Reader, engines: Reader, kinds: tuple[str, ...], types: tuple[str, ...] = TYPES) -> Sources:
    """The sources of a file; faults are noted with `top`. `engines` is the table of the older form."""
    rows = top.tables("source")
    resolvers = tuple(_resolver(row) for row in top.tables("resolver"))
    unique(top, "resolver", [one.name for one in resolvers])
    if rows:
        for name in ("source", "resolver", "service", "engine"):
            if name in engines.table:
                engines.fault(name, "there are [[source]] tables: it belongs into one of them")
            engines.seen.add(name)
        found = [_source(row, kinds, tuple(one.name for one in resolvers), types) for row in rows]
        unique(top, "source", [one.name for one in found])
    else:
        if resolvers:
            top.fault("resolver", "is for [[source]] tables, and there are none")
        found, more = _older(engines, kinds)
        resolvers = tuple(more) or resolvers
    rules = _rules(top)
    row = top.table_of("addresses")
    allow, deny = _networks(row, "allow"), _networks(row, "deny")
    row.end()
    sources = Sources(tuple(found), resolvers, rules, allow, deny)
    _reachable(top, sources)
    return sources


def read_file(text: str, kinds: tuple[str, ...]) -> tuple[Sources | None, list[str]]:
    """A platform node's file of sources: they and the bulletin, or None, and all that is wrong with it."""
    faults: list[str] = []
    try:
        top = Reader(tomllib.loads(text), "", faults)
    except tomllib.TOMLDecodeError as why:
        return None, [f"file: {why}"]
    top.flag("enabled", False)
    if not top.table.get("source"):
        top.fault("source", "at least one [[source]] is wanted")
        return None, faults
    found = read(top, Reader({}, "engines.", faults), kinds, (*TYPES, "bulletin"))
    if sum(source.type == "bulletin" for source in found.sources) != 1:
        top.fault("source", "one of type bulletin is wanted")
    top.end()
    return (None if faults else found), faults


def _reachable(top: Reader, sources: Sources) -> None:
    """An engine that the file itself lists at an address that it forbids is a slip."""
    try:
        allows = policy_of(sources)
    except (ImportError, ValueError):
        return  # a fault already
    for at, source in enumerate(sources.sources):
        for place, member in enumerate(source.engines):
            if not allows(member.address[0]):
                top.fault(
                    f"source[{at}].engine[{place}].address",
                    f"{member.address[0]} is not among the addresses allowed",
                )


def policy_of(sources: Sources) -> Callable[[str], bool]:
    """Which addresses engines may have. The library for networks is needed where the file names any."""
    if not sources.allow and not sources.deny:
        return _possible
    from .membership.addresses import AddressPolicy

    return AddressPolicy(sources.allow, sources.deny).allows


def _possible(host: str) -> bool:
    """Without a policy: any address at which a server can listen."""
    return (
        host not in ("0.0.0.0", "::", "255.255.255.255")
        and not host.lower().startswith("ff")
        and not (host.count(".") == 3 and ":" not in host and 224 <= int(host.split(".")[0]) < 240)
    )
