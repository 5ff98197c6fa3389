"""What a process is told of itself, and the events that it tells."""

from __future__ import annotations

from dataclasses import dataclass

from ...errors import NameTrouble
from ..interface import Entry, Member, Place

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Self:
    """What a process is told of itself at its start."""

    name: str
    incarnation: int
    life: bytes
    address: Address  # at which others reach it
    place: Place = Place()
    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Posted:
    """Event: mail for a part."""

    part: str
    sender: str
    incarnation: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Renamed:
    """Event: this process's own incarnation has changed, or it has stepped back (`trouble`) or is back."""

    incarnation: int
    trouble: NameTrouble | None = None


Event = Member | Entry | Posted | Renamed
