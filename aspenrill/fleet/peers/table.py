"""The table of members: one record a name, the later news wins, and what is to be told of it.

SWIM's rules of precedence (Das, Gupta, Motivala 2002, 4.2), with two changes. The incarnation is that of a
whole life of a process and does not change while it lives; what SWIM calls by that name, raised by each
refutation, is `claim` here. And a death that is only reported counts as a suspicion where the dead one has
just been heard, or where the report comes with a whole exchange: two halves of a fleet that meet again do not
end each other.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from types import MappingProxyType

from msgspec import Raw, structs

from ..interface import MOST_PEERS, Member, State
from .rumours import Rumours
from .wire import News, encode

FRESH = 1.0  # seconds for which having heard a member itself outweighs a report of its death
LASTS = 20.0  # seconds for which news of a member is passed on, at most
MOST_ACCUSERS = 4  # that are kept of a suspicion, and whose word is passed on


@dataclass(eq=False, slots=True)
class Suspicion:
    """Of one member, in one claim of its. `mine`: this process has itself probed it in vain."""

    since: float
    mine: bool
    accusers: set[str]
    verify_at: float


@dataclass(eq=False, slots=True)
class Record:
    """A member, and what this process alone knows of it."""

    news: News
    member: Member
    raw: Raw
    since: float  # of its state
    heard: float = -1e9  # when a datagram of this life last came
    noticed: float = -1e9  # when it was last told what is said of it
    rtt: float | None = None  # seconds; rises at once, falls slowly
    suspicion: Suspicion | None = None
    former: tuple[str, int] | None = None  # where the life before this one was

    @property
    def address(self) -> tuple[str, int]:
        """Where it says it can be reached."""
        return self.news.host, self.news.port

    @property
    def there(self) -> bool:
        """Alive or suspected."""
        return self.news.state <= State.SUSPECT


class Table:
    """All members but this process itself by name; `changed` is called with each change a part may see."""

    def __init__(
        self,
        me: News,
        rng: random.Random,
        changed: Callable[[Member], None],
        about_me: Callable[[float, News], None],
    ) -> None:
        self.me, self.rng = me, rng
        self.records: dict[str, Record] = {}
        self.rumours = Rumours(LASTS)
        self._changed, self._about_me = changed, about_me
        self._members = {me.name: me.member()}
        self.members = MappingProxyType(self._members)
        self._there: list[str] = []  # names, in no order, so that some can be drawn
        self._place: dict[str, int] = {}  # in that list
        self.gone: dict[str, None] = {}  # names that are dead or left, the oldest first
        self.suspects: dict[str, Record] = {}
        self.met: list[tuple[str, bool]] = []  # who has come; True: come back from the dead

    def __len__(self) -> int:
        """How many are there, this process among them."""
        return len(self._there) + 1

    def there(self) -> Iterator[Record]:
        """The records of those that are there."""
        return (self.records[name] for name in self._there)

    def draw(self, count: int, fits: Callable[[Record], bool] | None = None) -> list[Record]:
        """Some that are there, by chance and each once."""
        found: list[Record] = []
        if fits is None:
            names = self.rng.sample(self._there, min(count, len(self._there)))
            return [self.records[name] for name in names]
        for name in self.rng.sample(self._there, min(len(self._there), 4 * count + 4)):
            record = self.records[name]
            if fits(record):
                found.append(record)
                if len(found) == count:
                    break
        return found

    # ---- this process itself --------------------------------------------------------------------------

    def restate(self, now: float, **change: object) -> None:
        """Say something new of this process."""
        self.me = structs.replace(self.me, **change)
        self.rumours.add(now, self.me.name, Raw(encode(self.me)))
        member = self.me.member()
        if member != self._members[member.name]:
            self._members[member.name] = member
            self._changed(member)

    # ---- what is said of others -----------------------------------------------------------------------

    def merge(self, now: float, news: News, exchange: bool = False) -> None:
        """Take what somebody says of a member."""
        if news.name == self.me.name:
            self._about_me(now, news)
            return
        record = self.records.get(news.name)
        if record is None:
            if news.state <= State.SUSPECT and len(self) < MOST_PEERS:
                self._add(now, news)
            return
        mine, rank, known = record.news, news.rank, record.news.rank
        if rank <= known:
            if rank == known and record.suspicion is not None and news.accuser:
                self._confirm(now, record, news.accuser)
            return
        if (
            news.state == State.DEAD
            and record.there
            and news.life == mine.life
            and (exchange or now - record.heard < FRESH)
        ):
            news = structs.replace(news, state=int(State.SUSPECT), accuser="")
            if news.rank <= known:
                return
        if news.state <= State.SUSPECT and not record.there and len(self) >= MOST_PEERS:
            return
        self.adopt(now, record, news)

    def _add(self, now: float, news: News) -> None:
        raw = Raw(encode(news))
        record = self.records[news.name] = Record(news, news.member(), raw, now)
        self._appear(news.name)
        self._tell(now, record)

    def adopt(self, now: float, record: Record, news: News, tell: bool = True) -> None:
        """Put later news in place of what was known."""
        before = record.news
        was_there = record.there
        if news.life != before.life:
            record.former = record.address if was_there else None
            record.heard = record.noticed = -1e9
            record.rtt = None
        record.news, record.raw = news, Raw(encode(news))
        if news.state != before.state or news.life != before.life:
            record.since = now
        record.suspicion = None
        self.suspects.pop(news.name, None)
        if record.there and not was_there:
            del self.gone[news.name]
            self._appear(news.name, before.state == State.DEAD)
        elif was_there and not record.there:
            self._vanish(news.name)
        elif news.life != before.life and record.there:
            self.met.append((news.name, False))
        self._tell(now, record, tell)

    def _tell(self, now: float, record: Record, tell: bool = True) -> None:
        news = record.news
        if news.state == State.SUSPECT:
            accusers = {news.accuser} if news.accuser else set()
            record.suspicion = Suspicion(now, False, accusers, now)
            self.suspects[news.name] = record
        if tell:
            self.rumours.add(now, news.name, record.raw)
        else:
            self.rumours.drop(news.name)
        member = news.member()
        if member != self._members.get(news.name):
            self._members[news.name] = record.member = member
            self._changed(member)

    def _confirm(self, now: float, record: Record, accuser: str) -> None:
        """One more has probed it in vain (Lifeguard, IV.B): its word is passed on as well."""
        accusers = record.suspicion.accusers
        if accuser not in accusers and len(accusers) < MOST_ACCUSERS:
            accusers.add(accuser)
            news = structs.replace(record.news, accuser=accuser)
            self.rumours.add(now, news.name, Raw(encode(news)))

    def suspect(self, now: float, record: Record, witnesses: set[str]) -> None:
        """This process has probed it in vain; so have the witnesses, for this process."""
        if record.suspicion is None:
            self.adopt(
                now, record, structs.replace(record.news, state=int(State.SUSPECT), accuser=self.me.name)
            )
        suspicion = record.suspicion
        if not suspicion.mine:
            suspicion.mine, suspicion.since, suspicion.verify_at = True, now, now
            self._confirm(now, record, self.me.name)
        suspicion.accusers.update(witnesses)

    # ---- who is there ---------------------------------------------------------------------------------

    def _appear(self, name: str, back: bool = False) -> None:
        self._place[name] = len(self._there)
        self._there.append(name)
        self.met.append((name, back))

    def _vanish(self, name: str) -> None:
        place, last = self._place.pop(name), self._there.pop()
        if last != name:
            self._there[place] = last
            self._place[last] = place
        self.gone[name] = None
        if len(self.gone) > MOST_PEERS:
            self.forget(next(iter(self.gone)))

    def forget(self, name: str) -> None:
        """Of one that is gone nothing is kept."""
        del self.gone[name], self.records[name], self._members[name]
        self.rumours.drop(name)
