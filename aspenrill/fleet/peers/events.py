"""The identity of the local process and the events that the peer protocol emits."""

from __future__ import annotations

from dataclasses import dataclass

from ...errors import NameTrouble
from ..interface import Entry, Member, Place

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class LocalNode:
    """The identity and seeds of the local process."""

    name: str
    incarnation: int
    boot_id: bytes
    address: Address  # advertised to other members
    place: Place = Place()
    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Event: a message for a component."""

    component: str
    sender: str
    incarnation: int
    body: bytes


@dataclass(frozen=True, slots=True)
class IdentityChanged:
    """Event: the own incarnation changed, the name was lost to another process (`trouble`) or regained."""

    incarnation: int
    trouble: NameTrouble | None = None


Event = Member | Entry | MessageReceived | IdentityChanged
