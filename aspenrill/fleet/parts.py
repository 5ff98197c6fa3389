"""The parts of one process, made from its configuration: each only where its table has it on.

Every process of a fleet has the same tables but for what names files. Faults go to the configuration, each by
its field.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import api
from ..reader import Reader
from .authority import AuthorityPart
from .authority import Rules as AuthorityRules
from .authority.rules import LONGEST_SPAN, MOST_VOTERS
from .config import Config
from .groups.part import GroupRules, Groups
from .groups.schedule import ScheduleRules
from .groups.splits import SplitRules
from .interface import Part
from .kept.front import Kept, LoadNews
from .kept.policy import Policy, PurgeSettings, read_kept, read_purges
from .kept.store import Store
from .overload.part import OverloadPart
from .overload.rules import Rules as OverloadRules
from .purges.part import Purges
from .service import boottime

MOST_GROUP = 2**31


@dataclass(frozen=True, slots=True)
class Names:
    """Classes and tenants of this front end; a bare process has none."""

    classes: tuple[str, ...] = ()
    specs: tuple[api.QueryClass, ...] = ()
    tenants: tuple[str, ...] = ()


@dataclass(slots=True)
class Parts:
    """Those that are on; None where one is off. `store`: what is kept, `policy`: of what."""

    authority: AuthorityPart | None = None
    purges: Purges | None = None
    groups: Groups | None = None
    overload: OverloadPart | None = None
    store: Store = field(default_factory=Store)
    policy: Policy = field(default_factory=Policy)
    purging: PurgeSettings = field(default_factory=PurgeSettings)
    splits_file: str = ""
    called_off: tuple[str, ...] = ()

    def all(self) -> tuple[Part, ...]:
        """In the order in which they are called: the authority before those that ask it."""
        return tuple(
            part for part in (self.authority, self.purges, self.groups, self.overload) if part is not None
        )

    def front(self, tell: Callable[[LoadNews], None]) -> Kept | None:
        """What the owner asks for kept answers and tells of loads: wherever there are purges."""
        return Kept(self.store, self.policy, tell, boottime) if self.purges is not None else None


def hour_of(now: float) -> int:
    """The hour of UTC, by the wall clock."""
    return int(time.time() // 3600)


def build(config: Config, names: Names, rng: random.Random) -> Parts:
    """The parts. FleetConfigTrouble with the first field that cannot be used."""
    tables, found = config.tables, Parts()
    overload = _overload(tables["overload"], config)
    kept = tables["kept"]
    outer = Reader(
        {"kept": kept.table, "purges": tables["purges"].table}, kept.path.removesuffix("kept."), config.faults
    )
    found.policy = read_kept(outer, names.classes, names.specs, names.tenants)
    found.purging = read_purges(outer)
    keeps = kept.table.get("enabled") is True
    authority = _authority(tables["authority"], config, found.purging)
    groups = _groups(tables["groups"], config, found)
    for on, part, wanted, there in (
        (found.purging.enabled, "purges", "authority", authority is not None),
        (groups is not None, "groups", "authority", authority is not None),
        (keeps, "kept", "purges", found.purging.enabled),
    ):
        if on and not there:
            tables[part].fault("enabled", f"{wanted} must be enabled too")
    config.check()
    if overload is not None:
        found.overload = overload
    if authority is not None:
        found.authority = AuthorityPart(authority, rng)
    if found.purging.enabled:
        found.store = Store(found.policy.bounds)
        found.purges = Purges(rng, found.store, found.authority, found.purging.lease, keeps)
    if groups is not None:
        found.groups = Groups(groups, found.authority, hour_of)
    return found


def _on(row: Reader, config: Config) -> bool:
    """Whether the part is on; it wants voters then."""
    on = row.flag("enabled", False)
    if on and not 1 <= len(config.voters) <= MOST_VOTERS:
        row.fault("enabled", f"voters: 1 to {MOST_VOTERS} names are wanted, got {len(config.voters)}")
        return False
    return on


def _overload(row: Reader, config: Config) -> OverloadPart | None:
    usual = OverloadRules(1, ("",))
    on = _on(row, config)
    spans = {
        name: row.number(f"{name}_s", getattr(usual, name), 0.01, 3600)
        for name in ("lease", "loan", "beat", "margin")
    }
    if spans["beat"] * 3 > spans["lease"]:
        row.fault("beat_s", "a third of lease_s at most")
    span, free = row.number("retry_span_s", 10.0, 0.1, 3600), row.number("retry_free", 0.0, 0)
    ratio = row.number("retry_ratio", 0.1, 0, 10)
    row.end()
    if not on or config.faults:
        return None
    return OverloadPart(
        OverloadRules(config.front_ends, config.voters, config.alone, **spans), span, free, ratio
    )


def _authority(row: Reader, config: Config, purging: PurgeSettings) -> AuthorityRules | None:
    usual = AuthorityRules(("any",))
    on = _on(row, config)
    lease = row.number("lease_s", usual.lease, 0.3, LONGEST_SPAN)
    renew = row.number("renew_s", usual.renew, 0.05, LONGEST_SPAN)
    margin = row.number("margin_s", usual.margin, 0, LONGEST_SPAN)
    longest = row.number("longest_s", purging.lease, 0, 3600)
    if renew * 3 > lease:
        row.fault("renew_s", "a third of lease_s at most")
    if longest < purging.lease:
        row.fault("longest_s", f"at least lease_s of purges, {purging.lease:g}, is wanted, got {longest:g}")
    row.end()
    if not on or config.faults:
        return None if not on else AuthorityRules(config.voters)
    return AuthorityRules(config.voters, lease, renew, margin, longest)


def _groups(row: Reader, config: Config, found: Parts) -> GroupRules | None:
    on = _on(row, config)
    schedule, splits = row.table_of("schedule"), row.table_of("splits")
    usual, steps = ScheduleRules(1.0), SplitRules()
    window = int(schedule.number("window_h", usual.window, 1, 24))
    rules = ScheduleRules(
        bytes=schedule.number("bytes", None if on else 1.0, 1, 1e18),
        work=schedule.number("core_ms", math.inf, 1, math.inf),
        lead=int(schedule.number("lead_h", usual.lead, 1, 24 * 60)),
        notice=int(schedule.number("notice_h", usual.notice, 0, 24 * 60)),
        margin=int(schedule.number("margin_h", usual.margin, 0, 24 * 60)),
        window=window,
    )
    schedule.end()
    how = SplitRules(
        most_at_once=int(splits.number("most_at_once", steps.most_at_once, 1, 16)),
        notice=splits.number("notice_s", steps.notice, 0, 7 * 86400),
        warm=splits.number("warm_s", steps.warm, 0, 86400),
        spread=splits.number("spread_s", steps.spread, 1, 86400),
        window=window,
    )
    splits.end()
    sizes = {}
    table = row.table_of("sizes")
    for name in table.table:
        size = table.number(name, None, 0, 1e18)
        if name.isascii() and name.isdigit() and int(name) <= MOST_GROUP:
            sizes[int(name)] = float(size)
        else:
            table.fault(name, "the number of a table group is wanted")
    found.splits_file, found.called_off = row.text("file", ""), tuple(row.texts("call_off"))
    homes = int(row.number("homes", 1, 1, 16))
    tell, store = row.number("tell_s", 60.0, 0.1, 3600), row.number("store_s", 300.0, 0.1, 3600)
    row.end()
    return GroupRules(config.voters, rules, homes, tell, store, sizes, splits=how) if on else None
