"""Settings of the answer cache and of purges, `[fleet.kept]` and `[fleet.purges]`.

[fleet.kept]
enabled = true
most_mb = 32
[[fleet.kept.class]]
name = "lookup"        # a class whose effect is repeatable, and no load
seconds = 5.0
tenants = ["shop"]     # empty or absent: all

[fleet.purges]
enabled = true
lease_s = 6.0
folder = "/var/lib/aspenrill/purges"
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ... import api
from ...reader import Reader, check_unique
from .store import Bounds


@dataclass(frozen=True, slots=True)
class Rule:
    """One class: its name, seconds an answer stays valid after its query was sent, and its tenants."""

    name: str
    seconds: float
    tenants: frozenset[int] | None = None  # None: all


@dataclass(frozen=True, slots=True)
class Policy:
    """Cache rules by class number.

    `loads` are the numbers of classes that write. Up to `max_joined` requests may wait for one fetch,
    each for up to `max_wait` seconds.
    """

    rules: dict[int, Rule] = field(default_factory=dict)
    loads: frozenset[int] = frozenset()
    bounds: Bounds = Bounds()
    max_joined: int = 64
    max_wait: float = 1.0

    def rule(self, cls: int, tenant: int) -> Rule | None:
        """The rule for a request; None if its answer is not cached."""
        rule = self.rules.get(cls)
        return rule if rule is not None and (rule.tenants is None or tenant in rule.tenants) else None


@dataclass(frozen=True, slots=True)
class PurgeSettings:
    """Settings of purges.

    `lease` is the length in seconds of the coordinator's leases, `folder` the folder for operators' purge
    files, `state` the state file. Empty paths disable the folder or file.
    """

    lease: float = 6.0
    folder: str = ""
    state: str = ""
    enabled: bool = False


def read_kept(
    fleet: Reader, names: Sequence[str], classes: Sequence[api.QueryClass], tenants: Sequence[str]
) -> Policy:
    """The policy of `[fleet.kept]`; without rules if absent or disabled. Faults go to the reader."""
    row = fleet.subtable("kept")
    enabled = row.flag("enabled", False)
    bounds = Bounds(
        int(row.number("most_entries", 10_000, 1, 10_000_000)),
        int(row.number("most_mb", 32, 1, 1 << 16) * (1 << 20)),
        int(row.number("most_answer_kb", 256, 1, 1 << 16) * 1024),
    )
    max_joined, max_wait = (
        int(row.number("joins", 64, 0, 10_000)),
        row.number("wait_ms", 1000, 1, 3_600_000) / 1000,
    )
    rules: dict[int, Rule] = {}
    listed = []
    for table in row.tables("class"):
        name, seconds = table.choice("name", tuple(names)), table.number("seconds", None, 0.05, 3600)
        allowed = table.strings("tenants")
        for tenant in allowed:
            if tenant not in tenants:
                table.fault("tenants", f"no such tenant: {tenant!r}")
        listed.append(name)
        if name in names:
            cls = names.index(name)
            if classes[cls].effect is not api.Effect.SAFE or classes[cls].is_load:
                table.fault(
                    "name", f"answers of {name} cannot be kept: its effect is not repeatable, or it is a load"
                )
            rules[cls] = Rule(
                name,
                seconds,
                frozenset(tenants.index(tenant) for tenant in allowed if tenant in tenants)
                if allowed
                else None,
            )
        table.reject_unknown_fields()
    check_unique(row, "class", listed)
    row.reject_unknown_fields()
    loads = frozenset(at for at, cls in enumerate(classes) if cls.is_load)
    return Policy(rules if enabled else {}, loads, bounds, max_joined, max_wait)


def read_purges(fleet: Reader) -> PurgeSettings:
    """The settings of `[fleet.purges]`. Faults go to the reader."""
    row = fleet.subtable("purges")
    found = PurgeSettings(
        row.number("lease_s", 6.0, 1.0, 60.0),
        row.text("folder", ""),
        row.text("state", ""),
        row.flag("enabled", False),
    )
    row.reject_unknown_fields()
    return found
