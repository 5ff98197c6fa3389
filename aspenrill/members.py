"""Records of the list of engines, which sources report and the owner applies."""

from __future__ import annotations

from dataclasses import dataclass

from .api import EngineState


@dataclass(frozen=True, slots=True)
class Member:
    """An entry of the list of engines.

    `started` is 0 if the engine started long ago. Otherwise it is in Unix seconds, as sources report it;
    `starttimes.StartTimes` converts it to seconds of the monotonic clock.

    `priority` and `weight` come from its SRV record (RFC 2782); a weight of None means no stated share.
    """

    engine: str
    address: tuple[str, int]
    state: EngineState
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started: float = 0.0
    priority: int = 0
    weight: float | None = None


@dataclass(frozen=True, slots=True)
class EngineListUpdate:
    """A numbered list update; `complete`: it is the complete list, not a change."""

    number: int
    complete: bool
    members: tuple[Member, ...]
