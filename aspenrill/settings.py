"""Translates the settings object (simulator's first message, configuration) to api.Settings."""

from __future__ import annotations

from typing import Any

from . import api

NS = 1_000_000_000
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
REPORT_FIELDS = {"concurrent": "inflight", "depth": "queue", "load_share": "util"}


def settings_from(info: dict[str, Any]) -> api.Settings:
    """Translate the object of the start message. Unknown keys are ignored."""

    def seconds(owner: dict[str, Any], key: str, default: float = 0.0) -> float:
        return owner.get(key, default * NS) / NS

    family = info.get("family_info") or {}
    limits = info.get("limits") or {}
    rules = info.get("guarantees") or {}
    stats = info.get("stats") or {}
    prices = info.get("prices") or {}
    class_objects = info.get("classes") or []

    def per_class(key: str, default: Any) -> list[Any]:
        return list(family.get(key) or [default] * len(class_objects))

    def restriction(c: dict[str, Any], key: str) -> tuple[int, ...] | None:
        return tuple(c[key]) if c.get(key) is not None else None

    threads, is_load = per_class("dop", 1), per_class("is_load", False)
    waits_for_loads = per_class("waits_for_loads", False)
    classes = tuple(
        api.QueryClass(
            latency_target=seconds(c, "on_time_ns"),
            time_budget=seconds(c, "give_up_ns"),
            effect=EFFECTS[c["effect"]],
            worth=c.get("value", 1.0),
            late_worth=c.get("late_share", 0.0),
            target_per_work=c.get("aim_stretch", 0.0),
            dedup_scope=c.get("dedup_scope", "all"),
            dedup_window=seconds(c, "window_ns"),
            in_order=bool(c.get("in_order", False)),
            only_kinds=restriction(c, "served_on"),
            only_zones=restriction(c, "stays_in"),
            threads=threads[i],
            is_load=is_load[i],
            waits_for_loads=waits_for_loads[i],
        )
        for i, c in enumerate(class_objects)
    )
    has_retry_budget = "repeat_ratio" in rules or "budget_free" in rules
    return api.Settings(
        classes=classes,
        cores_by_kind=tuple(family.get("cores_by_kind") or [1] * len(info.get("kinds") or [1])),
        memory_by_kind=tuple(family.get("kind_memory_mb") or ()),
        gateways=info.get("group_size", 1),
        gateway_index=info.get("me", 0),
        max_attempts=limits.get("most_tries", 1),
        may_cancel=bool(limits.get("cancel")),
        may_probe=bool(limits.get("may_probe")),
        may_gossip=bool(limits.get("peers")),
        gossip_price=prices.get("peer", 0.0),
        probe_price=prices.get("probe", 0.0),
        shortage_pages=family.get("on_shortage") == "page",
        max_retry_after=seconds(limits, "max_retry_after_ns"),
        honors_grants=bool(family.get("grants_count")),
        max_grant=family.get("grant_cap", 1.0),
        honors_priorities=bool(family.get("lanes_count")),
        reports_work=bool(family.get("says_cost")),
        subscribe_to_list=info.get("discovery") == "ask",
        report_fields=tuple(REPORT_FIELDS.get(f, f) for f in stats.get("fields") or ()),
        start_capacity=rules.get("start_capacity", 1.0),
        cold_for=seconds(rules, "cold_ns"),
        fall_multiple=rules.get("fall_multiple", 0.0),
        fall_window=seconds(rules, "fall_ns"),
        key_backoff=seconds(rules, "turn_gap_ns") if "turn_gap_ns" in rules else None,
        retry_free=rules.get("budget_free", 0) if has_retry_budget else None,
        retry_ratio=rules.get("repeat_ratio", 0.0) if has_retry_budget else None,
        retry_span=seconds(rules, "ratio_span_ns"),
        over_share_worth=info.get("over_share_worth", 1.0),
        tenant_quotas=tuple(t.get("quota_per_s", 0.0) for t in info.get("tenants") or ()),
    )
