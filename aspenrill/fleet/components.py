"""Builds the enabled components of a process from its configuration.

Every process of a fleet has the same tables, except for file names. Faults are added to the configuration,
each with its field.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import api
from ..reader import Reader
from .authority import AuthorityComponent
from .authority import Rules as AuthorityRules
from .authority.rules import MAX_LEASE_S, MAX_VOTERS
from .config import Config
from .groups.part import GroupRules, Groups
from .groups.schedule import ScheduleRules
from .groups.splits import SplitRules
from .interface import Component
from .kept.front import AnswerCache, LoadUpdate
from .kept.policy import Policy, PurgeSettings, read_kept, read_purges
from .kept.store import AnswerStore
from .overload.part import OverloadComponent
from .overload.rules import Rules as OverloadRules
from .purges.part import Purges
from .service import boottime

MAX_GROUP = 2**31


@dataclass(frozen=True, slots=True)
class FrontEndNames:
    """The classes and tenants of this front end; a process without a front end has none."""

    classes: tuple[str, ...] = ()
    specs: tuple[api.QueryClass, ...] = ()
    tenants: tuple[str, ...] = ()


@dataclass(slots=True)
class Components:
    """The enabled components; None for a disabled one. `store`: the answer cache, `policy`: what is
    cached."""

    authority: AuthorityComponent | None = None
    purges: Purges | None = None
    groups: Groups | None = None
    overload: OverloadComponent | None = None
    store: AnswerStore = field(default_factory=AnswerStore)
    policy: Policy = field(default_factory=Policy)
    purge_settings: PurgeSettings = field(default_factory=PurgeSettings)
    splits_file: str = ""
    cancelled_splits: tuple[str, ...] = ()

    def all(self) -> tuple[Component, ...]:
        """The components in calling order: the authority before those that use it."""
        return tuple(
            component
            for component in (self.authority, self.purges, self.groups, self.overload)
            if component is not None
        )

    def answer_cache(self, on_load: Callable[[LoadUpdate], None]) -> AnswerCache | None:
        """The owner's interface to the answer cache, if purges are enabled; `on_load` receives loads."""
        return AnswerCache(self.store, self.policy, on_load, boottime) if self.purges is not None else None


def current_hour(now: float) -> int:
    """The hour of UTC since the epoch, by the wall clock."""
    return int(time.time() // 3600)


def build(config: Config, names: FrontEndNames, rng: random.Random) -> Components:
    """Build the components. FleetConfigTrouble with the first invalid field."""
    tables, components = config.tables, Components()
    overload = _overload(tables["overload"], config)
    kept = tables["kept"]
    purge_reader = Reader(
        {"kept": kept.table, "purges": tables["purges"].table}, kept.path.removesuffix("kept."), config.faults
    )
    components.policy = read_kept(purge_reader, names.classes, names.specs, names.tenants)
    components.purge_settings = read_purges(purge_reader)
    caches_answers = kept.table.get("enabled") is True
    authority = _authority(tables["authority"], config, components.purge_settings)
    groups = _groups(tables["groups"], config, components)
    for enabled, component, required, available in (
        (components.purge_settings.enabled, "purges", "authority", authority is not None),
        (groups is not None, "groups", "authority", authority is not None),
        (caches_answers, "kept", "purges", components.purge_settings.enabled),
    ):
        if enabled and not available:
            tables[component].fault("enabled", f"{required} must be enabled too")
    config.check()
    if overload is not None:
        components.overload = overload
    if authority is not None:
        components.authority = AuthorityComponent(authority, rng)
    if components.purge_settings.enabled:
        components.store = AnswerStore(components.policy.bounds)
        components.purges = Purges(
            rng, components.store, components.authority, components.purge_settings.lease, caches_answers
        )
    if groups is not None:
        components.groups = Groups(groups, components.authority, current_hour)
    return components


def _enabled(row: Reader, config: Config) -> bool:
    """Whether the component is enabled; this requires voters."""
    enabled = row.flag("enabled", False)
    if enabled and not 1 <= len(config.voters) <= MAX_VOTERS:
        row.fault("enabled", f"voters: 1 to {MAX_VOTERS} names are wanted, got {len(config.voters)}")
        return False
    return enabled


def _overload(row: Reader, config: Config) -> OverloadComponent | None:
    defaults = OverloadRules(1, ("",))
    enabled = _enabled(row, config)
    durations = {
        name: row.number(f"{name}_s", getattr(defaults, name), 0.01, 3600)
        for name in ("lease", "loan", "beat", "margin")
    }
    if durations["beat"] * 3 > durations["lease"]:
        row.fault("beat_s", "a third of lease_s at most")
    retry_window, retry_base = row.number("retry_span_s", 10.0, 0.1, 3600), row.number("retry_free", 0.0, 0)
    retry_ratio = row.number("retry_ratio", 0.1, 0, 10)
    row.reject_unknown_fields()
    if not enabled or config.faults:
        return None
    return OverloadComponent(
        OverloadRules(config.front_ends, config.voters, config.alone, **durations),
        retry_window,
        retry_base,
        retry_ratio,
    )


def _authority(row: Reader, config: Config, purge_settings: PurgeSettings) -> AuthorityRules | None:
    defaults = AuthorityRules(("any",))
    enabled = _enabled(row, config)
    lease = row.number("lease_s", defaults.lease, 0.3, MAX_LEASE_S)
    renew = row.number("renew_s", defaults.renew, 0.05, MAX_LEASE_S)
    margin = row.number("margin_s", defaults.margin, 0, MAX_LEASE_S)
    max_grant = row.number("longest_s", purge_settings.lease, 0, 3600)
    if renew * 3 > lease:
        row.fault("renew_s", "a third of lease_s at most")
    if max_grant < purge_settings.lease:
        row.fault(
            "longest_s", f"at least lease_s of purges, {purge_settings.lease:g}, is wanted, got {max_grant:g}"
        )
    row.reject_unknown_fields()
    if not enabled or config.faults:
        return None if not enabled else AuthorityRules(config.voters)
    return AuthorityRules(config.voters, lease, renew, margin, max_grant)


def _groups(row: Reader, config: Config, components: Components) -> GroupRules | None:
    enabled = _enabled(row, config)
    schedule, splits = row.subtable("schedule"), row.subtable("splits")
    defaults, split_defaults = ScheduleRules(1.0), SplitRules()
    window = int(schedule.number("window_h", defaults.window, 1, 24))
    rules = ScheduleRules(
        bytes=schedule.number("bytes", None if enabled else 1.0, 1, 1e18),
        work=schedule.number("core_ms", math.inf, 1, math.inf),
        lead=int(schedule.number("lead_h", defaults.lead, 1, 24 * 60)),
        notice=int(schedule.number("notice_h", defaults.notice, 0, 24 * 60)),
        margin=int(schedule.number("margin_h", defaults.margin, 0, 24 * 60)),
        window=window,
    )
    schedule.reject_unknown_fields()
    split_rules = SplitRules(
        max_concurrent=int(splits.number("most_at_once", split_defaults.max_concurrent, 1, 16)),
        notice=splits.number("notice_s", split_defaults.notice, 0, 7 * 86400),
        warm=splits.number("warm_s", split_defaults.warm, 0, 86400),
        spread=splits.number("spread_s", split_defaults.spread, 1, 86400),
        window=window,
    )
    splits.reject_unknown_fields()
    sizes = {}
    table = row.subtable("sizes")
    for name in table.table:
        size = table.number(name, None, 0, 1e18)
        if name.isascii() and name.isdigit() and int(name) <= MAX_GROUP:
            sizes[int(name)] = float(size)
        else:
            table.fault(name, "the number of a table group is wanted")
    components.splits_file, components.cancelled_splits = row.text("file", ""), tuple(row.strings("call_off"))
    homes = int(row.number("homes", 1, 1, 16))
    send_interval, store_interval = (
        row.number("tell_s", 60.0, 0.1, 3600),
        row.number("store_s", 300.0, 0.1, 3600),
    )
    row.reject_unknown_fields()
    return (
        GroupRules(config.voters, rules, homes, send_interval, store_interval, sizes, splits=split_rules)
        if enabled
        else None
    )
