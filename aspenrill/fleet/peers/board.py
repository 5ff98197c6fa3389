"""What each process tells of itself, by origin and topic; of each the latest, told on some times.

Only an origin raises its own versions. Where it hears of higher ones under its name and incarnation, it goes
over them. What an earlier incarnation has told ends with it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Raw

from ..interface import MOST_VALUE, Entry
from .rumours import Rumours
from .table import Table
from .wire import Told, encode

MOST_TOPICS = 16  # of one origin
LASTS = 30.0  # seconds for which an entry is passed on, at most


class Board:
    """Entries of this process and of all members of the table."""

    def __init__(self, table: Table, changed: Callable[[Entry], None]) -> None:
        self.table, self._changed = table, changed
        self.told: dict[str, dict[str, Told]] = {}
        self.rumours = Rumours(LASTS)

    # ---- this process ---------------------------------------------------------------------------------

    def put(self, now: float, topic: str, value: bytes) -> None:
        """Tell this from now on. ValueError where it is too large, or one topic too many."""
        me = self.table.me
        mine = self.told.setdefault(me.name, {})
        if len(value) > MOST_VALUE or topic not in mine and len(mine) >= MOST_TOPICS:
            raise ValueError(f"{topic}: {len(value)} bytes, under {len(mine)} topics")
        before = mine.get(topic)
        self._keep(now, Told(me.name, me.incarnation, topic, before.version + 1 if before else 1, value))

    def renew(self, now: float) -> None:
        """The incarnation has changed: all is told anew under it."""
        for topic, told in list(self.told.get(self.table.me.name, {}).items()):
            self.put(now, topic, told.value)

    def _keep(self, now: float, told: Told) -> None:
        self.told.setdefault(told.origin, {})[told.topic] = told
        self.rumours.add(now, (told.origin, told.topic), Raw(encode(told)))

    # ---- others ---------------------------------------------------------------------------------------

    def hear(self, now: float, told: Told) -> bool:
        """Take an entry that somebody passes on; False where it is none that can be kept."""
        me = self.table.me
        if told.origin == me.name:
            mine = self.told.get(me.name, {}).get(told.topic)
            if told.incarnation == me.incarnation and (mine is None or told.version > mine.version):
                self._keep(
                    now,
                    Told(me.name, me.incarnation, told.topic, told.version + 1, mine.value if mine else b""),
                )
            return True
        record = self.table.records.get(told.origin)
        if record is None or not record.there:
            return False
        known = self.told.get(told.origin, {})
        before = known.get(told.topic)
        if before is None and len(known) >= MOST_TOPICS or told.incarnation < record.news.incarnation:
            return False
        if before is None or (told.incarnation, told.version) > (before.incarnation, before.version):
            self._keep(now, told)
            self._changed(told.entry())
        return True

    def ended(self, name: str, incarnation: int) -> None:
        """What earlier incarnations of a name have told is over."""
        known = self.told.get(name, {})
        for topic in [t for t, told in known.items() if told.incarnation < incarnation]:
            del known[topic]
            self.rumours.drop((name, topic))

    def forget(self, name: str) -> None:
        """Nothing is kept of this origin."""
        for topic in self.told.pop(name, {}):
            self.rumours.drop((name, topic))

    # ---- looking --------------------------------------------------------------------------------------

    def entry(self, origin: str, topic: str) -> Entry | None:
        """The latest of an origin; None where it has ended."""
        told = self.told.get(origin, {}).get(topic)
        return told.entry() if told is not None and told.value else None

    def entries(self, topic: str) -> Iterable[Entry]:
        """The latest of each origin that is there."""
        for origin, topics in self.told.items():
            told = topics.get(topic)
            if told is not None and told.value:
                record = self.table.records.get(origin)
                if record is None or record.there:
                    yield told.entry()
