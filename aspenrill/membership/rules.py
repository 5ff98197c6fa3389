"""The figures of the rule by which sources make a list."""

from __future__ import annotations

from dataclasses import dataclass, field

from .flaps import Damping
from .tiers import TierRules


@dataclass(frozen=True, slots=True)
class Rules:
    """Seconds, and bounds. `restart`: out for that long, an engine may have restarted. `confirm`: until
    the second look. `handover`: for how long a source that is configured no more is believed while new ones
    come up."""

    restart: float = 1.0
    confirm: float = 2.0
    handover: float = 30.0
    remember: float = 600.0
    most_engines: int = 20000
    damping: Damping = field(default_factory=Damping)
    tiers: TierRules = field(default_factory=TierRules)
