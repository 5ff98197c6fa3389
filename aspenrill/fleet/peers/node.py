"""One process's part in the fleet: members, board and mail together, as one machine without I/O.

A driver gives it datagrams and time (`on_datagram`, `on_tick`, by `next_due`), runs the whole exchanges that
it wants (`take_syncs`), sends what it puts out (`take_out`) and passes on its events (`take_events`).
"""

from __future__ import annotations

import math
import random
from collections import Counter

from msgspec import Raw

from ...errors import NameTrouble, WireTrouble
from ..interface import MOST_BODY, Member, State
from .board import Board
from .detector import Detector, Pace
from .events import Address, Event, Posted, Renamed, Self
from .exchange import Exchange
from .keys import Keys
from .names import Names
from .rumours import times
from .table import Record, Table
from .wire import (
    MOST_DATAGRAM,
    Ack,
    Contest,
    Mail,
    Message,
    Nack,
    News,
    Packet,
    Ping,
    PingFor,
    Present,
    Replays,
    encode,
    seal,
    size_of,
    unseal,
)

MOST_PIECES = 60  # of news, and of entries, in one datagram
NOTICE = 0.4  # seconds between two times that one is told what is said of it
SEEDS_EVERY = 10.0  # seconds between two looks at a seed by one that is not alone
JOIN_FIRST, JOIN_LAST = 0.25, 5.0  # seconds between two tries to join, doubled from the first to the last
SWEEP = 5.0  # seconds between two looks for what has run out
SYNC_FIRST = 1.0  # seconds until a process looks whether it has missed anything; doubled up to the usual
SMALL = 32  # members, up to which whole exchanges are as frequent as configured


class Peers:
    """The machine. Events come in the order in which things were learned."""

    def __init__(self, me: Self, keys: Keys, pace: Pace, rng: random.Random, now: float) -> None:
        self.keys, self.pace, self.rng, self.seeds = keys, pace, rng, me.seeds
        place = me.place
        news = News(
            me.name,
            me.incarnation,
            me.life,
            0,
            int(State.ALIVE),
            *me.address,
            place.site,
            place.building,
            place.hall,
        )
        self.events: list[Event] = []
        self.out: list[tuple[Address, bytes]] = []
        self.syncs: list[str] = []
        self.refused: Counter[str] = Counter()
        self.last_refused: tuple[str, Address] | None = None
        self.table = Table(news, rng, self._member_changed, self._about_me)
        self.board = Board(self.table, self.events.append)
        self.names = Names(self.table, self, me.incarnation)
        self.detector = Detector(self.table, pace, rng, self, now)
        self.replays = Replays()
        self.leaving = False
        self._count = 0
        self._gossip_at = self._seed_at = now
        self._join_wait = JOIN_FIRST
        self._sync_wait = SYNC_FIRST
        self._sync_at = now + SYNC_FIRST
        self._met_at = -1e9
        self._wanted = ""  # whom to have an exchange with soon
        self._reconnect_at, self._sweep_at = now + pace.reconnect, now + SWEEP
        self._expected = now
        self._hello_at = -1e9
        self.table.restate(now)

    # ---- the driver's side ----------------------------------------------------------------------------

    def take_out(self) -> list[tuple[Address, bytes]]:
        """Datagrams to send."""
        out, self.out = self.out, []
        return out

    def take_events(self) -> list[Event]:
        """What has happened since."""
        events = self.events[:]
        self.events.clear()
        return events

    def take_syncs(self) -> list[tuple[str, Address, bytes]]:
        """Whole exchanges to begin: name, address and life of each callee."""
        names, self.syncs = self.syncs, []
        found = [self.table.records.get(name) for name in names]
        return [(r.news.name, r.address, r.news.life) for r in found if r is not None]

    def calling(self, life: bytes, nonce: bytes) -> Exchange:
        """The caller's side of an exchange."""
        return Exchange(self, self.keys, nonce, life)

    def called(self, nonce: bytes) -> Exchange:
        """The other side."""
        return Exchange(self, self.keys, nonce)

    def put(self, now: float, topic: str, value: bytes) -> None:
        """An entry of this process; ValueError where it cannot be one."""
        self.board.put(now, topic, value)

    def post(self, now: float, to: str, part: str, body: bytes) -> bool:
        """Mail to a part elsewhere; False where nobody of that name is there. ValueError where too large."""
        if len(body) > MOST_BODY:
            raise ValueError(f"mail of {len(body)} bytes")
        record = self.table.records.get(to)
        if record is None or not record.there or self.names.fenced:
            return False
        self.send(now, record, Mail(part, body))
        return True

    def leave(self, now: float) -> None:
        """Say goodbye; a few more ticks spread it."""
        if not self.leaving and not self.names.fenced:
            self.leaving = True
            self.table.restate(now, state=int(State.LEFT))
            for record in self.table.draw(4 * self.pace.fanout):
                self.send(now, record, None)

    def next_due(self) -> float:
        """When `on_tick` should be called at the latest."""
        due = self.names.next_due()
        if not self.names.fenced:
            due = min(due, self.detector.next_due(), self._seed_at, self._reconnect_at, self._sync_at)
            if self.table.rumours or self.board.rumours:
                due = min(due, self._gossip_at)
            if self._wanted:
                due = min(due, self._met_at + SYNC_FIRST)
        return due

    # ---- time -----------------------------------------------------------------------------------------

    def _awake(self, now: float) -> None:
        """Find out whether this process has stood still."""
        if now > self._expected + max(self.pace.period, 0.3):
            self.detector.paused(now)
        self._expected = max(now, self._expected)

    def on_tick(self, now: float) -> None:
        """All that is due."""
        self._awake(now)
        self.names.tick(now)
        if not self.names.fenced:
            if not self.leaving:
                self.detector.tick(now)
                self._greet(now)
                if now >= self._sync_at:
                    self._sync_wait = min(2 * self._sync_wait, self._sync_period())
                    self._sync_at = now + self._sync_wait * (0.75 + 0.5 * self.rng.random())
                    self.syncs += [record.news.name for record in self.table.draw(1)]
                if self._wanted and now >= self._met_at + SYNC_FIRST:
                    self.syncs.append(self._wanted)
                    self._met_at, self._wanted = now, ""
                if now >= self._sweep_at:
                    self._sweep(now)
            if now >= self._gossip_at and (self.table.rumours or self.board.rumours):
                self._gossip_at = now + self.pace.gossip
                for record in self.table.draw(self.pace.fanout):
                    self.send(now, record, None)
        self._expected = max(now, self.next_due())

    def _sync_period(self) -> float:
        """Longer in a large fleet, so that traffic stays flat."""
        return self.pace.sync * max(1.0, 1 + math.log2(len(self.table) / SMALL))

    def _greet(self, now: float) -> None:
        """Join by the seeds for as long as nobody is known; look there, and for the dead, now and then."""
        alone = len(self.table) == 1
        if now >= self._seed_at:
            mine = self.table.me.host, self.table.me.port
            seeds = [seed for seed in self.seeds if seed != mine]
            if alone:
                self._seed_at = now + self._join_wait * (0.75 + 0.5 * self.rng.random())
                self._join_wait = min(JOIN_LAST, 2 * self._join_wait)
            else:
                self._seed_at, self._join_wait = now + SEEDS_EVERY * (0.5 + self.rng.random()), JOIN_FIRST
                known = {record.address for record in self.table.there()}
                seeds = [seed for seed in seeds if seed not in known]
                seeds = self.rng.sample(seeds, min(1, len(seeds)))
            for seed in seeds:
                self.hello(now, seed)
        if now >= self._reconnect_at:
            self._reconnect_at = now + self.pace.reconnect * (0.5 + self.rng.random())
            dead = [name for name in self.table.gone if self.table.records[name].news.state == State.DEAD]
            if dead:
                record = self.table.records[self.rng.choice(dead)]
                self.send(now, record, Ping(self.detector.seq()))

    def _sweep(self, now: float) -> None:
        """Let go of what has run out."""
        self._sweep_at = now + SWEEP
        for name in list(self.table.gone):
            record = self.table.records[name]
            if now >= record.since + self.pace.forget:
                self.table.forget(name)
            if now >= record.since + self.pace.entries:
                self.board.forget(name)
        for name in [name for name in self.board.told if name not in self.table.members]:
            self.board.forget(name)

    def sync_failed(self, now: float) -> None:
        """An exchange came to nothing: try another one soon."""
        self._sync_at = min(self._sync_at, now + SYNC_FIRST * (0.5 + self.rng.random()))

    # ---- what goes out --------------------------------------------------------------------------------

    def send(self, now: float, record: Record, message: Message | None) -> None:
        """To a member, with news; first what is said of itself, if that is nothing good, and who we are."""
        front = []
        if record.news.state != State.ALIVE:
            front = [record.raw, Raw(encode(self.table.me))]
            record.noticed = now
        self._send(now, record.address, record.news.life, message, front, record.there)

    def send_to(self, now: float, address: Address, life: bytes, message: Message) -> None:
        """To a life that is no member here. Who has our name is told where we are."""
        front = [Raw(encode(self.table.me))] if isinstance(message, Contest | Present) else []
        self._send(now, address, life, message, front, False)

    def hello(self, now: float, address: Address) -> None:
        """To whoever is at the address."""
        self._send(now, address, b"", Ping(self.detector.seq()), [Raw(encode(self.table.me))], False)

    def _send(
        self, now: float, address: Address, life: bytes, message: Message | None, news: list[Raw], rest: bool
    ) -> None:
        me, told, front, news = self.table.me, [], news, []
        room = MOST_DATAGRAM - size_of(me.name, message)
        for piece in front:
            if len(memoryview(piece)) <= room:
                room -= len(memoryview(piece))
                news.append(piece)
        if rest:
            limit = times(len(self.table))
            more, room = self.table.rumours.pick(now, room, MOST_PIECES, limit)
            news += more
            told, room = self.board.rumours.pick(now, room, MOST_PIECES, limit)
            if message is None and not news and not told:
                return
        self._count += 1
        self.out.append(
            (
                address,
                seal(self.keys, (me.name, me.incarnation, me.life), self._count, life, message, news, told),
            )
        )

    # ---- what comes in --------------------------------------------------------------------------------

    def on_datagram(self, now: float, address: Address, data: bytes) -> None:
        """One datagram. What is not ours, not whole or not new is counted and changes nothing."""
        self._awake(now)
        try:
            packet = unseal(self.keys, data)
            me = self.table.me
            if packet.life == me.life:
                raise WireTrouble("echo")
            if packet.to != me.life and (packet.to or not isinstance(packet.message, Ping)):
                raise WireTrouble("addressee")
            self.replays.check(packet.life, packet.count)
            if packet.sender == me.name:
                self.names.on_packet(now, packet, address)
            elif not self.names.fenced:
                self._take(now, address, packet)
        except WireTrouble as why:
            self.refuse(why, address)

    def refuse(self, why: WireTrouble, address: Address) -> None:
        """Count it; the driver logs some."""
        self.refused[why.reason] += 1
        self.last_refused = str(why), address

    def _take(self, now: float, address: Address, packet: Packet) -> None:
        for news in packet.news:
            self.table.merge(now, news)
        record = self.table.records.get(packet.sender)
        life = packet.incarnation, packet.life
        if record is None or life > (record.news.incarnation, record.news.life):
            if now >= self._hello_at + NOTICE:  # we know less than others do: let it say who it is
                self._hello_at = now
                self.hello(now, address)
            raise WireTrouble("stranger")
        if life < (record.news.incarnation, record.news.life):
            if now >= record.noticed + NOTICE:
                record.noticed = now
                self._send(now, record.former or address, packet.life, None, [record.raw], False)
            raise WireTrouble("former life")
        self.detector.heard(now, record)
        self._act(now, record, packet)
        for told in packet.told:
            self.board.hear(now, told)
        if not record.there and now >= record.noticed + NOTICE and record.news.state == State.DEAD:
            self.send(now, record, Ping(self.detector.seq()))

    def _act(self, now: float, record: Record, packet: Packet) -> None:
        match packet.message:
            case Ping(seq):
                if packet.to:
                    self.send(now, record, Ack(seq))
                else:
                    me = Raw(encode(self.table.me))
                    self._send(now, record.address, packet.life, Ack(seq), [me], False)
            case Ack() as ack:
                self.detector.on_ack(now, packet, ack)
            case PingFor() as ask:
                self.detector.on_ping_for(now, record, ask)
            case Nack() as nack:
                self.detector.on_nack(packet, nack)
            case Mail(part, body):
                if not record.there:
                    raise WireTrouble("mail of the dead")
                self.events.append(Posted(part, packet.sender, record.news.incarnation, body))

    # ---- members --------------------------------------------------------------------------------------

    def _member_changed(self, member: Member) -> None:
        self.events.append(member)
        if member.name == self.table.me.name:
            return
        self.board.ended(member.name, member.incarnation)
        for name, back in self.table.met:
            self.detector.include(name)
            if len(self.table) == 2 or back:  # we have joined, or a partition is over
                self._wanted = name
        self.table.met.clear()

    def _about_me(self, now: float, news: News) -> None:
        """What others say of this process: wrong where it says that it is not alive."""
        me = self.table.me
        if news.life != me.life:
            self.names.on_news(now, news)
        elif news.rank > me.rank and not self.names.fenced and not self.leaving:
            self.detector.slow()
            self.table.restate(now, claim=news.claim + 1)
        elif news.rank < me.rank and news.state != State.ALIVE:  # refuted before: it has missed that
            self.table.restate(now)

    def take_over(self, now: float, incarnation: int) -> None:
        """Go over another life under this name: that one is a former self, or has stepped back."""
        self.table.restate(now, incarnation=incarnation, claim=0, state=int(State.ALIVE))
        self.board.renew(now)
        self.events.append(Renamed(incarnation))

    def step_back(self, now: float, elder: str) -> None:
        """An elder process has this name and lives: say that we have left, and be silent."""
        name = self.table.me.name
        self.table.restate(now, state=int(State.LEFT))
        rival = self.names.rival
        self._send(
            now, rival.address, rival.life, Present(0, self.names.first), [Raw(encode(self.table.me))], False
        )
        for record in self.table.draw(4 * self.pace.fanout):
            self.send(now, record, None)
        self.events.append(
            Renamed(
                self.table.me.incarnation,
                NameTrouble(f"a process at {elder} has the name {name} too, and had it before"),
            )
        )
