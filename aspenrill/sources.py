"""Reads sources of engines from a file: [[source]], [[resolver]], [membership], [tiers] and [addresses].

An application's file has these tables, or the older form with one source in [engines]. A platform node has a
separate file under deploy/.
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
from .reader import Reader, check_unique
from .resolver.cache import Lifetimes
from .resolver.lookup import LookupTimeouts
from .wire import Malformed, dns

SOURCE_TYPES = ("list", "dns-sd", "srv")
ADDRESS_FAMILIES = ("ipv4-first", "ipv6-first", "ipv4", "ipv6")
DAY_S = 86400


@dataclass(frozen=True)
class ResolverSpec:
    """Name servers in order of preference, with the time-outs and cache lifetimes of their queries."""

    name: str
    servers: tuple[tuple[str, int], ...]
    timeouts: LookupTimeouts
    lifetimes: Lifetimes


@dataclass(frozen=True)
class SourceSpec:
    """One source. A list has `engines`; dns-sd and srv have `service` and `resolver`; a bulletin has none."""

    name: str
    type: str
    spec: MergeSpec
    resolver: str = ""
    service: str = ""
    family: str = ADDRESS_FAMILIES[0]
    kind: int = 0
    zone: int = 0
    tier: int = 0
    engines: tuple[Member, ...] = ()


@dataclass(frozen=True)
class Sources:
    """All checked tables. `allow` and `deny` are networks as written in the file."""

    sources: tuple[SourceSpec, ...]
    resolvers: tuple[ResolverSpec, ...] = ()
    rules: MergeRules = MergeRules()
    allow: tuple[str, ...] = ()
    deny: tuple[str, ...] = ()

    @property
    def summary(self) -> str:
        """The types of the sources in order, separated by commas."""
        return ", ".join(source.type for source in self.sources)

    @property
    def specs(self) -> tuple[MergeSpec, ...]:
        """The specifications of the sources for the membership."""
        return tuple(source.spec for source in self.sources)

    def resolver(self, name: str) -> ResolverSpec:
        """The resolver with that name."""
        return next(spec for spec in self.resolvers if spec.name == name)


def _read_resolver(row: Reader) -> ResolverSpec:
    name, servers = row.text("name", "default"), []
    for index, text in enumerate(row.strings("servers")):
        servers.append(Reader({"at": text}, "", []).address("at"))
        if not servers[-1][1]:
            row.fault(f"servers[{index}]", f"expected ADDRESS:PORT with a numeric address, got {text!r}")
    if not servers:
        row.fault("servers", "expected at least one ADDRESS:PORT")
    check_unique(row, "servers", servers)
    query_timeout = row.number("question_ms", 1000, 10, 60000) / 1000
    lookup_timeout = row.number("lookup_ms", 5000, 10, 600000) / 1000
    if lookup_timeout < query_timeout:
        row.fault("lookup_ms", "must not be below question_ms")
    min_ttl, max_ttl = (
        row.number("least_ttl_s", 1, 0.1, DAY_S),
        row.number("most_ttl_s", 3600, 0.1, 7 * DAY_S),
    )
    if max_ttl < min_ttl:
        row.fault("most_ttl_s", "must not be below least_ttl_s")
    lifetimes = Lifetimes(
        min_ttl,
        max_ttl,
        row.number("negative_ttl_s", 300, 0.1, DAY_S),
        row.number("stale_s", DAY_S, 0, 30 * DAY_S),
        max_entries=int(row.number("entries", 8192, 16, 1 << 20)),
    )
    row.reject_unknown_fields()
    return ResolverSpec(name, tuple(servers), LookupTimeouts(query_timeout, lookup_timeout), lifetimes)


def read_service(row: Reader) -> str:
    """Read the DNS name of a source's service and check it."""
    text = row.text("service")
    try:
        if text and len(dns.parse_name(text)) < 3:
            row.fault("service", "expected a name like _tds._tcp.billing.example")
    except Malformed as why:
        row.fault("service", str(why))
    return text


def _read_members(
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
        engine.reject_unknown_fields()
    check_unique(row, "engine", [m.engine for m in members])
    check_unique(row, "engine", [m.address for m in members])
    return tuple(members)


def _read_source(
    row: Reader, kinds: tuple[str, ...], resolvers: tuple[str, ...], types: tuple[str, ...]
) -> SourceSpec:
    name, source_type = row.text("name"), row.choice("type", types)
    tier, zone = int(row.number("tier", 0, 0, 65535)), int(row.number("zone", 0, 0, 255))
    shrink = row.number("shrink", 0.5 if source_type in ("dns-sd", "srv") else 1.0, 0, 1)
    spec = MergeSpec(name, has_engine_ids=source_type != "srv", max_shrink=shrink)
    if source_type == "bulletin":
        row.reject_unknown_fields()
        return SourceSpec(name, source_type, spec)
    if source_type == "list":
        weight = row.number("weight", 0, 0, 65535) if "weight" in row.table else None
        engines = _read_members(row, kinds, tier, weight, zone)
        if not engines:
            row.fault("engine", "expected at least one engine table, as type is list")
        row.reject_unknown_fields()
        return SourceSpec(name, source_type, spec, zone=zone, tier=tier, engines=engines)
    service = read_service(row)
    resolver = ""
    if resolvers:
        resolver = row.choice("resolver", resolvers, resolvers[0])
    else:
        row.seen.add("resolver")
        row.fault("resolver", "expected at least one [[resolver]]")
    kind = kinds.index(row.choice("kind", kinds, kinds[0])) if source_type == "srv" and kinds else 0
    family = row.choice("family", ADDRESS_FAMILIES, ADDRESS_FAMILIES[0])
    row.reject_unknown_fields()
    return SourceSpec(name, source_type, spec, resolver, service, family, kind, zone, tier)


def _read_legacy_source(row: Reader, kinds: tuple[str, ...]) -> tuple[list[SourceSpec], list[ResolverSpec]]:
    """Read the older form of a file, with a single source in [engines]."""
    source_type = row.choice("source", ("list", "dns-sd"))
    engines = _read_members(row, kinds, 0, None, 0)
    if source_type == "list":
        row.seen |= {"resolver", "service"}
        if not engines:
            row.fault("engine", "expected at least one [[engines.engine]], as source is list")
        return [SourceSpec("engines", "list", MergeSpec("engines"), engines=engines)], []
    server, service = row.address("resolver"), read_service(row)
    resolver = ResolverSpec("default", (server,), LookupTimeouts(), Lifetimes())
    return [SourceSpec("engines", "dns-sd", MergeSpec("engines", max_shrink=0.5), "default", service)], [
        resolver
    ]


def _read_rules(top: Reader) -> MergeRules:
    row, tiers = top.subtable("membership"), top.subtable("tiers")
    first_hold, max_hold = row.number("hold_s", 5, 0.1, DAY_S), row.number("hold_most_s", 300, 0.1, DAY_S)
    if max_hold < first_hold:
        row.fault("hold_most_s", "must not be below hold_s")
    damping = Damping(
        int(row.number("flaps", 3, 2, 1000)),
        row.number("flap_window_s", 10, 0.1, DAY_S),
        first_hold,
        max_hold,
        row.number("calm_s", 60, 0.1, DAY_S),
    )
    open_below, target_share = tiers.number("lack", 0.5, 0, 1), tiers.number("full", 0.75, 0, 1)
    if target_share < open_below:
        tiers.fault("full", "must not be below lack: a tier would open and close repeatedly")
    tier_rules = TierRules(
        open_below,
        target_share,
        int(tiers.number("least", 1, 1, 20000)),
        tiers.number("step_ms", 1000, 10, 600000) / 1000,
        tiers.number("settle_s", 15, 0, DAY_S),
    )
    rules = MergeRules(
        row.number("restart_ms", 1000, 0, 600000) / 1000,
        row.number("confirm_ms", 2000, 100, 600000) / 1000,
        row.number("handover_s", 30, 0, DAY_S),
        max_engines=int(row.number("most_engines", 20000, 1, 100000)),
        damping=damping,
        tiers=tier_rules,
    )
    row.reject_unknown_fields()
    tiers.reject_unknown_fields()
    return rules


def _read_networks(row: Reader, name: str) -> tuple[str, ...]:
    texts = row.strings(name)
    if texts:
        try:
            from .membership.addresses import parse_networks
        except ImportError:
            row.fault(name, "needs the package netaddr: pip install 'aspenrill[sources]'")
            return ()
        for index, text in enumerate(texts):
            try:
                parse_networks([text])
            except ValueError as why:
                row.fault(f"{name}[{index}]", str(why))
    return tuple(texts)


def read(
    top: Reader, engines: Reader, kinds: tuple[str, ...], types: tuple[str, ...] = SOURCE_TYPES
) -> Sources:
    """Read the sources of a file. Faults are recorded in `top`. `engines`: the table of the older form."""
    rows = top.tables("source")
    resolvers = tuple(_read_resolver(row) for row in top.tables("resolver"))
    check_unique(top, "resolver", [spec.name for spec in resolvers])
    if rows:
        for name in ("source", "resolver", "service", "engine"):
            if name in engines.table:
                engines.fault(name, "must be in a [[source]] table, as the file has some")
            engines.seen.add(name)
        found = [_read_source(row, kinds, tuple(spec.name for spec in resolvers), types) for row in rows]
        check_unique(top, "source", [spec.name for spec in found])
    else:
        if resolvers:
            top.fault("resolver", "needs [[source]] tables, and there are none")
        found, legacy_resolvers = _read_legacy_source(engines, kinds)
        resolvers = tuple(legacy_resolvers) or resolvers
    rules = _read_rules(top)
    row = top.subtable("addresses")
    allow, deny = _read_networks(row, "allow"), _read_networks(row, "deny")
    row.reject_unknown_fields()
    sources = Sources(tuple(found), resolvers, rules, allow, deny)
    _check_listed_addresses(top, sources)
    return sources


def read_file(text: str, kinds: tuple[str, ...]) -> tuple[Sources | None, list[str]]:
    """Read a platform node's file of sources, one of them the bulletin. Returns None if there are faults."""
    faults: list[str] = []
    try:
        top = Reader(tomllib.loads(text), "", faults)
    except tomllib.TOMLDecodeError as why:
        return None, [f"file: {why}"]
    top.flag("enabled", False)
    if not top.table.get("source"):
        top.fault("source", "expected at least one [[source]]")
        return None, faults
    found = read(top, Reader({}, "engines.", faults), kinds, (*SOURCE_TYPES, "bulletin"))
    if sum(source.type == "bulletin" for source in found.sources) != 1:
        top.fault("source", "expected exactly one of type bulletin")
    top.reject_unknown_fields()
    return (None if faults else found), faults


def _check_listed_addresses(top: Reader, sources: Sources) -> None:
    """Record a fault for each listed engine whose address the file does not allow."""
    try:
        allows = address_policy(sources)
    except (ImportError, ValueError):
        return  # already recorded as a fault
    for index, source in enumerate(sources.sources):
        for engine_index, member in enumerate(source.engines):
            if not allows(member.address[0]):
                top.fault(
                    f"source[{index}].engine[{engine_index}].address",
                    f"{member.address[0]} is not an allowed address",
                )


def address_policy(sources: Sources) -> Callable[[str], bool]:
    """Return the check of engine addresses. netaddr is imported only if the file names networks."""
    if not sources.allow and not sources.deny:
        return _is_valid_host
    from .membership.addresses import AddressPolicy

    return AddressPolicy(sources.allow, sources.deny).allows


def _is_valid_host(host: str) -> bool:
    """Whether a server can listen at the address, for files without networks."""
    return (
        host not in ("0.0.0.0", "::", "255.255.255.255")
        and not host.lower().startswith("ff")
        and not (host.count(".") == 3 and ":" not in host and 224 <= int(host.split(".")[0]) < 240)
    )
