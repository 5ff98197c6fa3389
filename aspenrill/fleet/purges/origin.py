"""The purges that began at this process, until they are complete: on disk, spread, wanted, and how they
stand.

A purge goes through: accepted (on this disk), acknowledged (by site, and by all), agreed (on the disks of a
majority, under a serial), complete (and no lease is left under which an older answer could be served). What
is not complete is repeated, and goes on after a restart under its old id.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..interface import Effect, Inform, Note, Store
from ..kept.scopes import ALL
from . import wire
from .spread import START, Pos
from .wire import Heard, Item, Saved, Told

PREFIX, LOAD = "purge/", "load/"
HISTORY = 32  # complete ones that are still told of
FIRST, SLOWEST = 0.4, 3.0  # seconds between two repeats: the first, and the most


@dataclass(frozen=True, slots=True)
class Complete:
    """A fact for the driver: no process serves an answer from before this purge any more."""

    origin: str
    incarnation: int
    number: int
    scope: str
    tag: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A fact for the driver: the purge that a file's tag names is on disk."""

    tag: str


@dataclass(slots=True)
class Site:
    """How a site stands with the purges of this origin."""

    position: Pos = START
    total: int = 0
    done: int = 0
    missing: list[str] = field(default_factory=list)
    next_send: float = 0.0
    wait: float = FIRST
    tries: int = 0  # since it was last heard of


@dataclass(slots=True)
class Purge:
    """One purge. Times are this process's, since it was accepted or found on disk."""

    item: Item
    why: str
    tag: str
    began: float
    acknowledged: dict[str, float] = field(default_factory=dict)  # by site: when all its members had
    everywhere: float | None = None
    serial: int = 0
    agreed: float | None = None
    complete: float | None = None
    durable: bool = True

    @property
    def position(self) -> Pos:
        """Its place among those of its origin."""
        return self.item[:2]


class Origin:
    """The caller applies a purge here first, then carries out what this says."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self.number = 0
        self.out: dict[Pos, Purge] = {}  # in their order
        self.past: deque[Purge] = deque(maxlen=HISTORY)
        self.sites: dict[str, Site] = {}
        self.loads: dict[str, int] = {}  # that are open, by scope
        self.next_want = 0.0
        self.want_wait = FIRST

    # ---- beginning ------------------------------------------------------------------------------------

    def start(self, now: float, stored: Mapping[str, bytes]) -> tuple[list[Effect], list[str]]:
        """What a former life has left. Gives the scopes to be purged anew beside it: of loads whose end was
        not seen, and everything where a record is damaged."""
        effects: list[Effect] = []
        again = []
        for key in sorted(stored):
            if key.startswith(LOAD):
                scope = key.removeprefix(LOAD)
                again.append(scope)
                effects.append(Store(key, None))
            elif key.startswith(PREFIX):
                saved = wire.saved(stored[key])
                if saved is None or saved.incarnation > self.incarnation:
                    effects += [
                        Note(
                            f"fleet-state: record {key} is damaged and was refused whole; all is "
                            "purged in its place"
                        ),
                        Store(key, None),
                    ]
                    again.append(ALL)
                    continue
                item = (saved.incarnation, saved.number, saved.scope)
                self.out[item[:2]] = Purge(item, saved.why, saved.tag, now)
                if saved.incarnation == self.incarnation:
                    self.number = max(self.number, saved.number)
        self.out = dict(sorted(self.out.items()))
        return effects, again

    def accept(self, now: float, scope: str, why: str, tag: str = "") -> tuple[Purge | None, list[Effect]]:
        """A purge begins. None where its tag shows that it has begun already. Where those that are not
        complete fill a message, it takes everything, and stands for them all."""
        if tag and any(purge.tag == tag for purge in self.out.values()):
            return None, [Inform(Accepted(tag))]
        folded: list[Purge] = []
        if sum(map(wire.size, self.items)) + wire.size((0, 0, scope)) > wire.MOST_BYTES:
            scope, folded = ALL, list(self.out.values())
            why = f"{why}; stands for {len(folded)} before it that are not complete"[:200]
            self.out.clear()
        self.number += 1
        purge = Purge((self.incarnation, self.number, scope), why, tag, now)
        self.out[purge.position] = purge
        self.next_want, self.want_wait = now, FIRST
        for site in self.sites.values():
            site.next_send, site.wait = now, FIRST
        effects: list[Effect] = [_store(purge)]
        effects += [Store(_key(old.position), None) for old in folded]
        if folded:
            effects.append(Note(f"purges: {len(folded)} from here are not complete; all is purged instead"))
        if tag:
            effects.append(Inform(Accepted(tag)))
        return purge, effects

    def load(self, scope: str, ended: bool) -> list[Effect]:
        """A load is open, or no more: on disk, so that a restart purges what it may have written."""
        count = self.loads.get(scope, 0)
        if ended:
            if count > 1:
                self.loads[scope] = count - 1
            elif self.loads.pop(scope, None) is not None:
                return [Store(LOAD + scope, None)]
            return []
        self.loads[scope] = count + 1
        return [Store(LOAD + scope, b"1")] if not count else []

    def on_disk(self) -> None:
        """A record could not be written, nor those of the same call behind it: all are tried again, the
        purges go on meanwhile."""
        for purge in self.out.values():
            purge.durable = False

    # ---- in time --------------------------------------------------------------------------------------

    def due(self, now: float, sites: list[str]) -> list[str]:
        """The sites that are to be sent what is out, now."""
        self.sites = {name: self.sites.get(name) or Site() for name in sites}
        last = self.last
        found = []
        for name, site in self.sites.items():
            if self.out and site.position < last and site.next_send <= now:
                site.next_send = now + site.wait
                site.wait = min(SLOWEST, site.wait * 1.5)
                site.tries += 1
                found.append(name)
        return found

    def wanted(self, now: float) -> list[Item]:
        """The purges that the coordinator is to be asked for, now."""
        if not self.out or self.next_want > now:
            return []
        self.next_want = now + self.want_wait
        self.want_wait = min(SLOWEST, self.want_wait * 1.5)
        return [purge.item for purge in self.out.values()]

    def hurry(self, now: float) -> None:
        """There is another coordinator, or other relays: say it all again."""
        self.next_want, self.want_wait = now, FIRST
        for site in self.sites.values():
            site.next_send, site.wait = now, FIRST

    def retry(self) -> list[Effect]:
        """Records that could not be written are tried again."""
        found: list[Effect] = []
        for purge in self.out.values():
            if not purge.durable:
                purge.durable = True
                found += [_store(purge)] + ([Inform(Accepted(purge.tag))] if purge.tag else [])
        return found

    @property
    def last(self) -> Pos:
        """The position of the latest that is out."""
        return next(reversed(self.out)) if self.out else START

    @property
    def items(self) -> list[Item]:
        """All that are out, oldest first; they fit a message."""
        return [purge.item for purge in self.out.values()]

    # ---- what comes back ------------------------------------------------------------------------------

    def heard(self, now: float, name: str, heard: Heard) -> None:
        """A site's relay sums up."""
        site = self.sites.get(name)
        if site is None or heard.position < site.position:
            return
        site.tries = 0
        site.position, site.total, site.done = heard.position, heard.total, heard.done
        site.missing = heard.missing
        for purge in self.out.values():
            if purge.position <= site.position:
                purge.acknowledged.setdefault(name, now)
                if purge.everywhere is None and all(s in purge.acknowledged for s in self.sites):
                    purge.everywhere = now

    def told(self, now: float, told: Told) -> list[Effect]:
        """The coordinator says what is agreed, and what is complete."""
        effects: list[Effect] = []
        for incarnation, number, serial, complete in told.items:
            purge = self.out.get((incarnation, number))
            if purge is None:
                continue
            if purge.agreed is None:
                purge.agreed, purge.serial = now, serial
            if complete:
                purge.complete = now
                del self.out[purge.position]
                self.past.append(purge)
                effects += [
                    Store(_key(purge.position), None),
                    Inform(Complete(self.name, *purge.item, purge.tag)),
                ]
        return effects


def _key(position: Pos) -> str:
    return f"{PREFIX}{position[0]}/{position[1]}"


def _store(purge: Purge) -> Store:
    return Store(_key(purge.position), wire.encode(Saved(*purge.item, purge.why, purge.tag)))
