"""Settings of the rules by which source lists are merged."""

from __future__ import annotations

from dataclasses import dataclass, field

from .flaps import Damping
from .tiers import TierRules


@dataclass(frozen=True, slots=True)
class MergeRules:
    """Times in seconds, and limits.

    `restart_after`: an engine that was down for this long may have restarted and counts as cold.
    `confirm_after`: delay before a list that shrank much is confirmed by a second lookup.
    `handover_timeout`: how long the entries of a removed source stay while new ones deliver their first list.
    `remember_for`: how long an engine that no source names is remembered.
    """

    restart_after: float = 1.0
    confirm_after: float = 2.0
    handover_timeout: float = 30.0
    remember_for: float = 600.0
    max_engines: int = 20000
    damping: Damping = field(default_factory=Damping)
    tiers: TierRules = field(default_factory=TierRules)
