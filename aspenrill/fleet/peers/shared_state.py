"""Shared state: the latest entry of each (origin, topic), spread by gossip.

Only the origin raises the version of its entries. An origin that receives a higher version under its own name
and incarnation publishes a version above it. The entries of an incarnation end with that incarnation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Raw

from ..interface import MAX_VALUE, Entry
from .gossip_queue import GossipQueue
from .table import Table
from .wire import EntryUpdate, encode

MAX_TOPICS = 16  # for each origin
MAX_GOSSIP_AGE = 30.0  # seconds for which an entry is gossiped


class SharedState:
    """The entries of this process and of every member in the table."""

    def __init__(self, table: Table, on_change: Callable[[Entry], None]) -> None:
        self.table, self._on_change = table, on_change
        self.by_origin: dict[str, dict[str, EntryUpdate]] = {}
        self.gossip = GossipQueue(MAX_GOSSIP_AGE)

    # ---- this process ---------------------------------------------------------------------------------

    def put(self, now: float, topic: str, value: bytes) -> None:
        """Publish a value of this process. ValueError if it is too large or there are too many topics."""
        me = self.table.me
        own = self.by_origin.setdefault(me.name, {})
        if len(value) > MAX_VALUE or topic not in own and len(own) >= MAX_TOPICS:
            raise ValueError(f"topic {topic!r}: cannot add {len(value)} bytes to {len(own)} topics")
        before = own.get(topic)
        self._store(
            now, EntryUpdate(me.name, me.incarnation, topic, before.version + 1 if before else 1, value)
        )

    def republish(self, now: float) -> None:
        """Republish every own entry under the new incarnation."""
        for topic, entry in list(self.by_origin.get(self.table.me.name, {}).items()):
            self.put(now, topic, entry.value)

    def _store(self, now: float, entry: EntryUpdate) -> None:
        self.by_origin.setdefault(entry.origin, {})[entry.topic] = entry
        self.gossip.add(now, (entry.origin, entry.topic), Raw(encode(entry)))

    # ---- others ---------------------------------------------------------------------------------------

    def merge(self, now: float, entry: EntryUpdate) -> bool:
        """Merge an entry received from a peer; False if it cannot be stored."""
        me = self.table.me
        if entry.origin == me.name:
            own = self.by_origin.get(me.name, {}).get(entry.topic)
            if entry.incarnation == me.incarnation and (own is None or entry.version > own.version):
                self._store(
                    now,
                    EntryUpdate(
                        me.name, me.incarnation, entry.topic, entry.version + 1, own.value if own else b""
                    ),
                )
            return True
        record = self.table.records.get(entry.origin)
        if record is None or not record.is_live:
            return False
        entries = self.by_origin.get(entry.origin, {})
        before = entries.get(entry.topic)
        if before is None and len(entries) >= MAX_TOPICS or entry.incarnation < record.latest.incarnation:
            return False
        if before is None or (entry.incarnation, entry.version) > (before.incarnation, before.version):
            self._store(now, entry)
            self._on_change(entry.as_entry())
        return True

    def remove_older(self, name: str, incarnation: int) -> None:
        """Remove the entries of a name's earlier incarnations."""
        entries = self.by_origin.get(name, {})
        for topic in [t for t, entry in entries.items() if entry.incarnation < incarnation]:
            del entries[topic]
            self.gossip.drop((name, topic))

    def forget(self, name: str) -> None:
        """Remove every entry of an origin."""
        for topic in self.by_origin.pop(name, {}):
            self.gossip.drop((name, topic))

    # ---- lookups --------------------------------------------------------------------------------------

    def entry(self, origin: str, topic: str) -> Entry | None:
        """The latest entry of an origin; None if there is none or its value is empty."""
        entry = self.by_origin.get(origin, {}).get(topic)
        return entry.as_entry() if entry is not None and entry.value else None

    def entries(self, topic: str) -> Iterable[Entry]:
        """The latest entry of each live origin."""
        for origin, topics in self.by_origin.items():
            entry = topics.get(topic)
            if entry is not None and entry.value:
                record = self.table.records.get(origin)
                if record is None or record.is_live:
                    yield entry.as_entry()
