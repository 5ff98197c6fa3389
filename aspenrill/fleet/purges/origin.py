"""Purges that began at this process: storage, repetition and progress until they are complete.

States of a purge: accepted (on this disk), acknowledged (by each site, then by all), agreed (on the disks of
a majority, under a serial), complete (no lease is left under which an older answer could be served). An
incomplete purge is repeated, and continues after a restart under its id.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..interface import Effect, LogLine, Notify, Store
from ..kept.scopes import ALL
from . import wire
from .spread import START, Position
from .wire import Item, Saved, SpreadAck, Told

PURGE_PREFIX = "purge/"  # key prefix of stored purges
LOAD_PREFIX = "load/"  # key prefix of stored open loads
HISTORY = 32  # complete purges that stay in the report
FIRST_REPEAT = 0.4  # seconds until the first repeat
MAX_REPEAT = 3.0  # upper bound of the repeat interval, in seconds


@dataclass(frozen=True, slots=True)
class Complete:
    """A fact for the driver: no process serves answers from before this purge."""

    origin: str
    incarnation: int
    number: int
    scope: str
    tag: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A fact for the driver: the purge of the file with this tag is on disk."""

    tag: str


@dataclass(slots=True)
class SiteProgress:
    """Progress of a site with the purges of this origin."""

    position: Position = START
    total: int = 0
    done: int = 0
    missing: list[str] = field(default_factory=list)
    next_send_at: float = 0.0
    interval: float = FIRST_REPEAT
    tries: int = 0  # since its last acknowledgement


@dataclass(slots=True)
class Purge:
    """One purge. Times are by this process's clock; it begins when accepted or restored from disk."""

    item: Item
    reason: str
    tag: str
    began: float
    # by site: when all its members had acknowledged
    acknowledged: dict[str, float] = field(default_factory=dict)
    everywhere: float | None = None
    serial: int = 0
    agreed_at: float | None = None
    complete: float | None = None
    durable: bool = True

    @property
    def position(self) -> Position:
        """Its position in the order of its origin's purges."""
        return self.item[:2]


class Origin:
    """The purges of this process. The caller applies a purge locally, then carries out the effects."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self.number = 0
        self.out: dict[Position, Purge] = {}  # incomplete purges, in order
        self.completed: deque[Purge] = deque(maxlen=HISTORY)
        self.sites: dict[str, SiteProgress] = {}
        self.open_loads: dict[str, int] = {}  # number of open loads by scope
        self.next_request_at = 0.0
        self.request_interval = FIRST_REPEAT

    # ---- start ----------------------------------------------------------------------------------------

    def start(self, now: float, stored: Mapping[str, bytes]) -> tuple[list[Effect], list[str]]:
        """Restores the state of the previous incarnation.

        Returns effects and the scopes to purge again: those of loads whose end was not seen, and everything
        if a record is damaged.
        """
        effects: list[Effect] = []
        scopes = []
        for key in sorted(stored):
            if key.startswith(LOAD_PREFIX):
                scope = key.removeprefix(LOAD_PREFIX)
                scopes.append(scope)
                effects.append(Store(key, None))
            elif key.startswith(PURGE_PREFIX):
                saved = wire.saved(stored[key])
                if saved is None or saved.incarnation > self.incarnation:
                    effects += [
                        LogLine(
                            f"fleet-state: record {key} is damaged and was ignored; "
                            "everything is purged instead"
                        ),
                        Store(key, None),
                    ]
                    scopes.append(ALL)
                    continue
                item = (saved.incarnation, saved.number, saved.scope)
                self.out[item[:2]] = Purge(item, saved.reason, saved.tag, now)
                if saved.incarnation == self.incarnation:
                    self.number = max(self.number, saved.number)
        self.out = dict(sorted(self.out.items()))
        return effects, scopes

    def accept(self, now: float, scope: str, reason: str, tag: str = "") -> tuple[Purge | None, list[Effect]]:
        """Begins a purge; None if one with this tag is under way.

        If the incomplete purges no longer fit into a message, one purge of everything replaces them all.
        """
        if tag and any(purge.tag == tag for purge in self.out.values()):
            return None, [Notify(Accepted(tag))]
        replaced: list[Purge] = []
        if sum(map(wire.size, self.items)) + wire.size((0, 0, scope)) > wire.MAX_LIST_BYTES:
            scope, replaced = ALL, list(self.out.values())
            reason = f"{reason}; stands for {len(replaced)} before it that are not complete"[:200]
            self.out.clear()
        self.number += 1
        purge = Purge((self.incarnation, self.number, scope), reason, tag, now)
        self.out[purge.position] = purge
        self.next_request_at, self.request_interval = now, FIRST_REPEAT
        for site in self.sites.values():
            site.next_send_at, site.interval = now, FIRST_REPEAT
        effects: list[Effect] = [_store(purge)]
        effects += [Store(_key(old.position), None) for old in replaced]
        if replaced:
            effects.append(
                LogLine(
                    f"purges: {len(replaced)} from here are incomplete; replaced by a purge of everything"
                )
            )
        if tag:
            effects.append(Notify(Accepted(tag)))
        return purge, effects

    def on_load(self, scope: str, ended: bool) -> list[Effect]:
        """Stores that a load is open or has ended, so that a restart purges what it may have written."""
        count = self.open_loads.get(scope, 0)
        if ended:
            if count > 1:
                self.open_loads[scope] = count - 1
            elif self.open_loads.pop(scope, None) is not None:
                return [Store(LOAD_PREFIX + scope, None)]
            return []
        self.open_loads[scope] = count + 1
        return [Store(LOAD_PREFIX + scope, b"1")] if not count else []

    def on_disk(self) -> None:
        """A record and those after it in the same call were not written: all are tried again.

        The purges continue meanwhile.
        """
        for purge in self.out.values():
            purge.durable = False

    # ---- repetition -----------------------------------------------------------------------------------

    def due_sites(self, now: float, sites: list[str]) -> list[str]:
        """The sites to which the incomplete purges are due to be sent."""
        self.sites = {name: self.sites.get(name) or SiteProgress() for name in sites}
        last = self.last
        found = []
        for name, site in self.sites.items():
            if self.out and site.position < last and site.next_send_at <= now:
                site.next_send_at = now + site.interval
                site.interval = min(MAX_REPEAT, site.interval * 1.5)
                site.tries += 1
                found.append(name)
        return found

    def due_requests(self, now: float) -> list[Item]:
        """The purges that are due to be requested from the coordinator."""
        if not self.out or self.next_request_at > now:
            return []
        self.next_request_at = now + self.request_interval
        self.request_interval = min(MAX_REPEAT, self.request_interval * 1.5)
        return [purge.item for purge in self.out.values()]

    def resend_now(self, now: float) -> None:
        """Makes all messages due at once, after a change of coordinator or relays."""
        self.next_request_at, self.request_interval = now, FIRST_REPEAT
        for site in self.sites.values():
            site.next_send_at, site.interval = now, FIRST_REPEAT

    def retry_stores(self) -> list[Effect]:
        """Stores records again that could not be written."""
        found: list[Effect] = []
        for purge in self.out.values():
            if not purge.durable:
                purge.durable = True
                found += [_store(purge)] + ([Notify(Accepted(purge.tag))] if purge.tag else [])
        return found

    @property
    def last(self) -> Position:
        """The position of the latest incomplete purge."""
        return next(reversed(self.out)) if self.out else START

    @property
    def items(self) -> list[Item]:
        """All incomplete purges, oldest first; they fit into a message."""
        return [purge.item for purge in self.out.values()]

    # ---- answers --------------------------------------------------------------------------------------

    def on_ack(self, now: float, name: str, ack: SpreadAck) -> None:
        """Takes the acknowledgement of a site's relay."""
        site = self.sites.get(name)
        if site is None or ack.position < site.position:
            return
        site.tries = 0
        site.position, site.total, site.done = ack.position, ack.total, ack.done
        site.missing = ack.missing
        for purge in self.out.values():
            if purge.position <= site.position:
                purge.acknowledged.setdefault(name, now)
                if purge.everywhere is None and all(s in purge.acknowledged for s in self.sites):
                    purge.everywhere = now

    def on_status(self, now: float, status: Told) -> list[Effect]:
        """Takes the coordinator's report of agreed and complete purges."""
        effects: list[Effect] = []
        for incarnation, number, serial, complete in status.items:
            purge = self.out.get((incarnation, number))
            if purge is None:
                continue
            if purge.agreed_at is None:
                purge.agreed_at, purge.serial = now, serial
            if complete:
                purge.complete = now
                del self.out[purge.position]
                self.completed.append(purge)
                effects += [
                    Store(_key(purge.position), None),
                    Notify(Complete(self.name, *purge.item, purge.tag)),
                ]
        return effects


def _key(position: Position) -> str:
    return f"{PURGE_PREFIX}{position[0]}/{position[1]}"


def _store(purge: Purge) -> Store:
    return Store(_key(purge.position), wire.encode(Saved(*purge.item, purge.reason, purge.tag)))
