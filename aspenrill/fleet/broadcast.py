"""Broadcasts between decision modules: the latest message of each front end, spread as a shared state
entry."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .interface import Effect, Entry, Member, Notify, Put, View

TOPIC = "tell"
MAX_MESSAGE = 256  # bytes, the limit of `api.SendGossip`


@dataclass(frozen=True, slots=True)
class BroadcastReceived:
    """Fact: a message of another decision module. `sender` is its rank among all known names."""

    sender: int
    data: bytes


class Broadcast:
    """A component. A message may be lost if the next one is sent before it has spread."""

    name = "tell"
    topics = (TOPIC,)
    period = 60.0

    def __init__(self) -> None:
        self._view: View | None = None

    def send(self, data: bytes) -> list[Effect]:
        """Send a message to all other front ends."""
        return [Put(TOPIC, data)] if 0 < len(data) <= MAX_MESSAGE else []

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """See interface.Component."""
        self._view = view
        return []

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """See interface.Component."""
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """Pass on a received message; an empty entry has none."""
        if not 0 < len(entry.value) <= MAX_MESSAGE:
            return []
        return [Notify(BroadcastReceived(sorted(self._view.members()).index(entry.origin), entry.value))]

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """See interface.Component. No messages are sent to this component."""
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """See interface.Component."""
        return []

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """See interface.Component. Nothing is stored."""
        return []

    def on_leave(self, now: float) -> list[Effect]:
        """See interface.Component."""
        return []
