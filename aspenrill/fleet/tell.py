"""What the decision modules tell each other: the latest of each front end, as an entry that spreads."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .interface import Effect, Entry, Inform, Member, Put, View

TOPIC = "tell"
MOST = 256  # bytes, by `api.Tell`


@dataclass(frozen=True, slots=True)
class Heard:
    """Fact: a message of another module, its sender by rank among all names known."""

    sender: int
    data: bytes


class Tell:
    """A part. A message is lost where the next one comes before it has spread: they may be."""

    name = "tell"
    topics = (TOPIC,)
    period = 60.0

    def __init__(self) -> None:
        self._view: View | None = None

    def tell(self, data: bytes) -> list[Effect]:
        """To all others."""
        return [Put(TOPIC, data)] if 0 < len(data) <= MOST else []

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """See Part."""
        self._view = view
        return []

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """See Part."""
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """A message, unless it has none."""
        if not 0 < len(entry.value) <= MOST:
            return []
        return [Inform(Heard(sorted(self._view.members()).index(entry.origin), entry.value))]

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """See Part: it gets no mail."""
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """See Part."""
        return []

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """See Part: it keeps nothing."""
        return []

    def on_leave(self, now: float) -> list[Effect]:
        """See Part."""
        return []
