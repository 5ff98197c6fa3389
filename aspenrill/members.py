"""The list of engines as every source tells it and the owner hears it: plain records, no decisions."""

from __future__ import annotations

from dataclasses import dataclass

from .api import EngineState


@dataclass(frozen=True, slots=True)
class Member:
    """One engine as the list names it.

    `started` is 0 where it started long ago, else Unix seconds as a source stamps it, and seconds of the
    monotonic clock behind `starttimes.StartTimes`.

    `priority` and `weight` are those of its SRV record (RFC 2782); None says nothing of its share.
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
class News:
    """One numbered event; `whole` where it is the complete list."""

    number: int
    whole: bool
    members: tuple[Member, ...]
