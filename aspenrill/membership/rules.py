"""Settings of the rules by which source lists are merged."""

from __future__ import annotations

from dataclasses import dataclass, field

from .flaps import Damping
from .tiers import TierRules


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds, and limits.

    `restart`: an engine that was down for this long may have restarted and counts as cold.
    `confirm`: delay before a list that shrank much is confirmed by a second lookup.
    `handover`: how long the entries of a removed source stay while new sources deliver their first list.
    `remember`: how long an engine that no source names is remembered.
    """

    restart: float = 1.0
    confirm: float = 2.0
    handover: float = 30.0
    remember: float = 600.0
    most_engines: int = 20000
    damping: Damping = field(default_factory=Damping)
    tiers: TierRules = field(default_factory=TierRules)
