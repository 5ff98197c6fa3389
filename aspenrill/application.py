"""An application's file: where its front listens, whom it serves as what, where its engines come from."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Any

from . import api, sources
from .fronts.tds import LoginMapping
from .reader import Reader, unique
from .wire import Malformed, dns

EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
KEYS = ("none", "comment", "batch")
LONGEST = 86_400_000  # a day in milliseconds: a time-out beyond is a slip


@dataclass(frozen=True)
class Application:
    """A file that has been checked."""

    name: str
    enabled: bool
    listen: tuple[str, int]
    answer_bytes: int
    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    settings: api.Settings | None = None  # None: the platform's
    logins: tuple[LoginMapping, ...] = ()
    source: str = "platform"
    sources: sources.Sources | None = None  # None: the platform's
    domain: str = ""
    instance_host: str = ""
    user: str = "aspenrill"
    app: str = "aspenrill"
    kinds: tuple[str, ...] = ()
    idle_for: float = 30.0
    connect_for: float = 0.25
    memory_mb: int = 192
    sockets: int = 1024
    fleet: dict[str, Any] | None = None  # the table, not read yet; None: off


def _class(row: Reader) -> tuple[str, api.QueryClass]:
    name = row.text("name")
    spec = api.QueryClass(
        latency_target=row.number("wanted_ms", None, 1, LONGEST) / 1000,
        time_budget=row.number("give_up_ms", None, 1, LONGEST) / 1000,
        effect=EFFECTS[row.choice("effect", tuple(EFFECTS), "repeatable")],
        worth=row.number("worth", 1.0, 0.001),
        late_worth=row.number("late_worth", 0.0, 0, 1),
        target_per_work=row.number("stretch", 0.0, 0, 1000),
        dedup_window=row.number("repeat_window_ms", 0, 0, LONGEST) / 1000,
        threads=int(row.number("threads", 1, 1, 1024)),
        is_load=row.flag("load", False),
    )
    if spec.latency_target > spec.time_budget:
        row.fault("wanted_ms", "must not be beyond give_up_ms")
    if spec.effect is api.Effect.KEYED and not spec.dedup_window:
        row.fault("repeat_window_ms", "missing; for how long engines drop a repeat of a key")
    row.end()
    return name, spec


def _login(
    row: Reader, classes: tuple[str, ...], keyed: list[bool], tenants: tuple[str, ...]
) -> LoginMapping:
    cls = row.choice("class", classes)
    key = row.choice("key", KEYS, "none")
    if cls in classes and keyed[classes.index(cls)] and key == "none":
        row.fault("key", f"class {cls} repeats by key: comment or batch is wanted")
    tenant = row.choice("tenant", tenants) if tenants else ""
    mapping = LoginMapping(
        row.text("user").lower(),
        row.text("app", "*").lower(),
        classes.index(cls) if cls in classes else 0,
        tenants.index(tenant) if tenant in tenants else 0,
        row.number("timeout_ms", None, 1, LONGEST) / 1000,
        key,
    )
    row.end()
    return mapping


def _engines(top: Reader, platform: bool) -> dict[str, Any]:
    """Where the engines come from, and how they are spoken to."""
    row = top.table_of("engines")
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
        kind.end()
    names = tuple(k[0] for k in kinds)
    unique(row, "kind", list(names))
    if not kinds:
        row.fault("kind", "at least one [[engines.kind]] is wanted")
    if platform and "source" not in top.table and row.table.get("source") == "platform":
        row.seen.add("source")
        found["source"] = "platform"
    else:
        found["sources"] = sources.read(top, row, names)
        found["source"] = found["sources"].summary
    row.end()
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
    """The application of a file's text, or None, and all that is wrong with it, each fault by its field.

    `platform` names classes, which of them are keyed, and tenants where the file adds a front to a node.
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
    classes = [_class(row) for row in top.tables("class")]
    tenants = []
    for row in top.tables("tenant"):
        tenants.append((row.text("name"), row.number("per_s", 1e9, 0.001)))
        row.end()
    names, tenant_names = tuple(c[0] for c in classes), tuple(t[0] for t in tenants)
    keyed = [c[1].effect is api.Effect.KEYED for c in classes]
    unique(top, "class", list(names))
    unique(top, "tenant", list(tenant_names))
    more: dict[str, Any] = {"source": "platform"}
    settings = None
    if "engines" in top.table or platform is None:
        more = _engines(top, platform is not None)
    if more["source"] == "platform":
        if classes or tenants:
            top.fault("class", "classes and tenants are the platform's")
        if platform is not None:
            names, keyed, tenant_names = tuple(platform[0]), platform[1], tuple(platform[2])
    elif not classes:
        top.fault("class", "at least one [[class]] is wanted")
    logins = [_login(row, names, keyed, tenant_names) for row in top.tables("login")]
    unique(top, "login", [(m.user, m.app) for m in logins])
    if not logins:
        top.fault("login", "at least one [[login]] is wanted")
    rules = top.table_of("rules")
    settings_more = {
        "gateways": int(rules.number("front_ends", 1, 1, 65536)),
        "max_attempts": int(rules.number("most_attempts", 3, 1, 100)),
        "start_capacity": rules.number("start_capacity", 0.3, 0.01, 1),
        "cold_for": rules.number("cold_ms", 12000, 0, LONGEST) / 1000,
        "fall_multiple": rules.number("fall_multiple", 2.5, 0.1, 100),
        "fall_window": rules.number("fall_ms", 1500, 0, LONGEST) / 1000,
    }
    settings_more["gateway_index"] = int(rules.number("front_end", 1, 1, settings_more["gateways"])) - 1
    rules.end()
    limits = top.table_of("limits")
    memory, sockets = (
        int(limits.number("memory_mb", 192, 48, 1 << 20)),
        int(limits.number("sockets", 1024, 64, 1 << 20)),
    )
    limits.end()
    fleet = top.raw("fleet", dict, {}, "a table")
    top.end()
    if faults:
        return None, faults
    if more["source"] != "platform":
        settings = api.Settings(
            classes=tuple(c[1] for c in classes),
            cores_by_kind=more.pop("cores"),
            memory_by_kind=tuple(m or float("inf") for m in more.pop("memory")),
            may_cancel=True,
            may_probe=True,
            max_retry_after=2.0,
            tenant_quotas=tuple(t[1] for t in tenants),
            **settings_more,
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
        instance_host=host,
        memory_mb=memory,
        sockets=sockets,
        fleet=fleet if fleet.get("enabled") is True else None,
        **{k: v for k, v in more.items() if k not in ("cores", "memory")},
    ), []
