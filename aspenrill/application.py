"""Reads an application's file: listener, classes, tenants, logins, engines and limits."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Any

from . import api, sources
from .fronts.tds import LoginMapping
from .reader import Reader, check_unique
from .wire import Malformed, dns

EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
KEY_SOURCES = ("none", "comment", "batch")
MAX_MS = 86_400_000  # one day in milliseconds; a longer time-out is taken for a mistake


@dataclass(frozen=True)
class Application:
    """A checked application file."""

    name: str
    enabled: bool
    listen: tuple[str, int]
    answer_bytes: int
    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    settings: api.Settings | None = None  # None: those of the platform
    logins: tuple[LoginMapping, ...] = ()
    source: str = "platform"
    sources: sources.Sources | None = None  # None: those of the platform
    domain: str = ""
    dns_host: str = ""
    user: str = "aspenrill"
    app: str = "aspenrill"
    kinds: tuple[str, ...] = ()
    idle_for: float = 30.0
    connect_for: float = 0.25
    memory_mb: int = 192
    sockets: int = 1024
    fleet: dict[str, Any] | None = None  # the unread table; None if disabled


def _read_class(row: Reader) -> tuple[str, api.QueryClass]:
    name = row.text("name")
    spec = api.QueryClass(
        latency_target=row.number("wanted_ms", None, 1, MAX_MS) / 1000,
        time_budget=row.number("give_up_ms", None, 1, MAX_MS) / 1000,
        effect=EFFECTS[row.choice("effect", tuple(EFFECTS), "repeatable")],
        worth=row.number("worth", 1.0, 0.001),
        late_worth=row.number("late_worth", 0.0, 0, 1),
        target_per_work=row.number("stretch", 0.0, 0, 1000),
        dedup_window=row.number("repeat_window_ms", 0, 0, MAX_MS) / 1000,
        threads=int(row.number("threads", 1, 1, 1024)),
        is_load=row.flag("load", False),
    )
    if spec.latency_target > spec.time_budget:
        row.fault("wanted_ms", "must not be beyond give_up_ms")
    if spec.effect is api.Effect.KEYED and not spec.dedup_window:
        row.fault("repeat_window_ms", "missing; expected the time for which engines drop a repeat of a key")
    row.reject_unknown_fields()
    return name, spec


def _read_login(
    row: Reader, classes: tuple[str, ...], keyed: list[bool], tenants: tuple[str, ...]
) -> LoginMapping:
    cls = row.choice("class", classes)
    key = row.choice("key", KEY_SOURCES, "none")
    if cls in classes and keyed[classes.index(cls)] and key == "none":
        row.fault("key", f"class {cls} repeats by key: expected comment or batch")
    tenant = row.choice("tenant", tenants) if tenants else ""
    mapping = LoginMapping(
        row.text("user").lower(),
        row.text("app", "*").lower(),
        classes.index(cls) if cls in classes else 0,
        tenants.index(tenant) if tenant in tenants else 0,
        row.number("timeout_ms", None, 1, MAX_MS) / 1000,
        key,
    )
    row.reject_unknown_fields()
    return mapping


def _read_engines(top: Reader, platform: bool) -> dict[str, Any]:
    """Read [engines]: login, time-outs, kinds and sources. `platform`: the platform may be the source."""
    row = top.subtable("engines")
    found: dict[str, Any] = {
        "user": row.text("user", "aspenrill"),
        "app": row.text("app", "aspenrill"),
        "idle_for": row.number("idle_s", 30, 2, 86400),
        "connect_for": row.number("connect_ms", 250, 1, 60000) / 1000,
    }
    kinds = []
    for kind in row.tables("kind"):
        kinds.append(
            (kind.text("name"), int(kind.number("cores", None, 1, 100000)), kind.number("memory_mb", 0, 0))
        )
        kind.reject_unknown_fields()
    names = tuple(k[0] for k in kinds)
    check_unique(row, "kind", list(names))
    if not kinds:
        row.fault("kind", "expected at least one [[engines.kind]]")
    if platform and "source" not in top.table and row.table.get("source") == "platform":
        row.seen.add("source")
        found["source"] = "platform"
    else:
        found["sources"] = sources.read(top, row, names)
        found["source"] = found["sources"].summary
    row.reject_unknown_fields()
    return {
        **found,
        "kinds": names,
        "cores": tuple(k[1] for k in kinds),
        "memory": tuple(k[2] for k in kinds),
    }


def read(
    text: str,
    platform: tuple[list[str], list[bool], list[str]] | None = None,
) -> tuple[Application | None, list[str]]:
    """Parse the text of a file. Returns the application, None if there are faults, and the faults by field.

    `platform`: if the file adds a listener to a platform node, its classes, which of them are keyed, and its
    tenants.
    """
    faults: list[str] = []
    try:
        top = Reader(tomllib.loads(text), "", faults)
    except tomllib.TOMLDecodeError as why:
        return None, [f"file: {why}"]
    name, enabled = top.text("name"), top.flag("enabled", False)
    listen = top.address("listen")
    answer_bytes = int(top.number("answer_bytes", 1 << 20, 1024, 1 << 24))
    domain, host = top.text("domain", "local"), top.text("host", "")
    for label, value in (("domain", domain), ("host", host)):
        try:
            _ = value and dns.parse_name(value)
        except Malformed as why:
            top.fault(label, str(why))
    classes = [_read_class(row) for row in top.tables("class")]
    tenants = []
    for row in top.tables("tenant"):
        tenants.append((row.text("name"), row.number("per_s", 1e9, 0.001)))
        row.reject_unknown_fields()
    names, tenant_names = tuple(c[0] for c in classes), tuple(t[0] for t in tenants)
    keyed = [c[1].effect is api.Effect.KEYED for c in classes]
    check_unique(top, "class", list(names))
    check_unique(top, "tenant", list(tenant_names))
    engine_settings: dict[str, Any] = {"source": "platform"}
    settings = None
    if "engines" in top.table or platform is None:
        engine_settings = _read_engines(top, platform is not None)
    if engine_settings["source"] == "platform":
        if classes or tenants:
            top.fault("class", "classes and tenants are defined by the platform")
        if platform is not None:
            names, keyed, tenant_names = tuple(platform[0]), platform[1], tuple(platform[2])
    elif not classes:
        top.fault("class", "expected at least one [[class]]")
    logins = [_read_login(row, names, keyed, tenant_names) for row in top.tables("login")]
    check_unique(top, "login", [(m.user, m.app) for m in logins])
    if not logins:
        top.fault("login", "expected at least one [[login]]")
    rules = top.subtable("rules")
    rule_settings = {
        "gateways": int(rules.number("front_ends", 1, 1, 65536)),
        "max_attempts": int(rules.number("most_attempts", 3, 1, 100)),
        "start_capacity": rules.number("start_capacity", 0.3, 0.01, 1),
        "cold_for": rules.number("cold_ms", 12000, 0, MAX_MS) / 1000,
        "fall_multiple": rules.number("fall_multiple", 2.5, 0.1, 100),
        "fall_window": rules.number("fall_ms", 1500, 0, MAX_MS) / 1000,
    }
    rule_settings["gateway_index"] = int(rules.number("front_end", 1, 1, rule_settings["gateways"])) - 1
    rules.reject_unknown_fields()
    limits = top.subtable("limits")
    memory, sockets = (
        int(limits.number("memory_mb", 192, 48, 1 << 20)),
        int(limits.number("sockets", 1024, 64, 1 << 20)),
    )
    limits.reject_unknown_fields()
    fleet = top.typed_value("fleet", dict, {}, "a table")
    top.reject_unknown_fields()
    if faults:
        return None, faults
    if engine_settings["source"] != "platform":
        settings = api.Settings(
            classes=tuple(c[1] for c in classes),
            cores_by_kind=engine_settings.pop("cores"),
            memory_by_kind=tuple(m or float("inf") for m in engine_settings.pop("memory")),
            may_cancel=True,
            may_probe=True,
            max_retry_after=2.0,
            tenant_quotas=tuple(t[1] for t in tenants),
            **rule_settings,
        )
    return Application(
        name,
        enabled,
        listen,
        answer_bytes,
        names,
        tenant_names,
        settings,
        tuple(logins),
        domain=domain,
        dns_host=host,
        memory_mb=memory,
        sockets=sockets,
        fleet=fleet if fleet.get("enabled") is True else None,
        **{k: v for k, v in engine_settings.items() if k not in ("cores", "memory")},
    ), []
