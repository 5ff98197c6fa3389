"""The identity of the local process and the events that the peer protocol emits."""

from __future__ import annotations

from dataclasses import dataclass

from ...errors import NameTrouble
from ..interface import Entry, Member, Place

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Self:
    """The identity and seeds of the local process."""

    name: str
    incarnation: int
    boot_id: bytes
    address: Address  # advertised to other members
    place: Place = Place()
    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Posted:
    """Event: a message for a component."""

    part: str
    sender: str
    incarnation: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Renamed:
    """Event: the own incarnation changed, the name was lost to another process (`trouble`) or regained."""

    incarnation: int
    trouble: NameTrouble | None = None


Event = Member | Entry | Posted | Renamed
