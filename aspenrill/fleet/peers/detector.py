"""Who is alive: SWIM's probes, direct and indirect, with suspicion and Lifeguard's local health.

Das, Gupta, Motivala: SWIM (2002); Dadgar, Phillips, Currey: Lifeguard (2017). As there: a shuffled order gone
round, k others ask where no answer came, a suspicion whose time shrinks with independent confirmations, the
suspect is told first (buddy), own ill health makes this process slower to judge. Otherwise than there:

- A probe lives longer than the period, so that a slow link is not a dead one; its times grow with the round
  trip that the member has shown.
- Others who asked in vain for this process (Nack) confirm its suspicion: they have looked themselves.
- Only who has itself probed in vain declares a death, and it goes on probing until it does. Who has only
  heard of a suspicion, and then hears nothing more, probes for itself.
- Who hears nobody at all takes the others for dead for itself alone: it is more likely cut off itself."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Protocol

from msgspec import structs

from ..interface import State
from .table import Record, Table
from .wire import Ack, Message, Nack, Packet, Ping, PingFor

PROXIES = 3  # that are asked to probe as well
CONFIRMATIONS = 3  # from which a suspicion is as short as it gets
WORST_HEALTH = 3  # periods and times are up to 1 + this times as long
WHOLE = 2.5  # a probe's life, in times of its direct part
SLOWEST = 1.2  # seconds; the direct part of a probe takes no longer at good health
LATE = 4.0  # seconds for which the late answer to a failed probe still tells something
NACK_AT = 0.8  # of the patience asked for
MOST_ERRANDS = 256  # probes for others at a time


@dataclass(frozen=True, slots=True)
class Pace:
    """The protocol's times in seconds."""

    period: float = 0.3  # between two probes
    ack: float = 0.2  # until others are asked as well
    suspect_least: float = 0.5
    suspect_most: float = 2.0
    gossip: float = 0.1  # between two rounds, while there is something to tell
    fanout: int = 3
    sync: float = 30.0  # between two whole exchanges, in a fleet of up to 32
    reconnect: float = 2.0  # between two looks at who is thought dead
    forget: float = 3600.0  # the dead are remembered
    entries: float = 60.0  # what the dead have told is kept


class Sender(Protocol):
    """What the detector asks of the node."""

    def send(self, now: float, record: Record, message: Message) -> None: ...
    def send_to(self, now: float, address: tuple[str, int], life: bytes, message: Message) -> None: ...


@dataclass(eq=False, slots=True)
class Probe:
    """One that is out. It is kept for a while after it failed."""

    name: str
    life: bytes
    began: float
    due: float  # when its next step is
    until: float
    verify: bool
    stage: int = 0  # 0 direct, 1 others ask, 2 failed
    asked: int = 0
    nacks: set[str] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class Errand:
    """A probe for another."""

    asker: str
    seq: int
    nack_at: float
    until: float


class Detector:
    """Probes the members of a table and judges them."""

    def __init__(self, table: Table, pace: Pace, rng: random.Random, sender: Sender, now: float) -> None:
        self.table, self.pace, self.rng, self.sender = table, pace, rng, sender
        self.health = 0  # 0 is well
        self.rtt = 0.0  # seconds, of the fleet
        self.probes: dict[int, Probe] = {}
        self.errands: dict[int, Errand] = {}
        self._seq = rng.getrandbits(32)
        self._order: list[str] = []
        self._next_probe = now + rng.random() * pace.period
        self._heard = ("", -1e9)  # whom we heard last, and when
        self._heard_else = -1e9  # when we last heard somebody else than that
        self.false_alarms = self.deaths = self.failed = 0

    def seq(self) -> int:
        """A number for a question."""
        self._seq += 1
        return self._seq

    # ---- time -----------------------------------------------------------------------------------------

    def direct(self, record: Record | None) -> float:
        """Seconds given to a probe before others are asked."""
        rtt = self.rtt if record is None or record.rtt is None else record.rtt
        return min(SLOWEST, max(self.pace.ack, 2.5 * rtt)) * (1 + self.health)

    def verdict_at(self, record: Record) -> float:
        """When a suspicion of our own becomes a death (Lifeguard, IV.B)."""
        suspicion, pace = record.suspicion, self.pace
        least = max(pace.suspect_least, 1.25 * self.direct(record))
        most = max(least, pace.suspect_most * (1 + self.health))
        wanted = min(CONFIRMATIONS, len(self.table) - 2)
        got = len(suspicion.accusers - {self.table.me.name})
        if wanted <= 0:  # nobody else is there who could confirm it
            return suspicion.since + min(most, 2 * least)
        share = math.log(min(got, wanted) + 1) / math.log(wanted + 1)
        return suspicion.since + most - (most - least) * share

    def paused(self, now: float) -> None:
        """This process has not run for a while: nothing that it did not hear then tells anything."""
        self.probes.clear()
        self.errands.clear()
        self.health = min(WORST_HEALTH, self.health + 1)
        self._heard, self._heard_else = ("", -1e9), -1e9
        for record in self.table.suspects.values():
            record.suspicion.since = record.suspicion.verify_at = now
            record.suspicion.accusers.clear()
        self._next_probe = now

    def tick(self, now: float) -> None:
        """All that is due."""
        for seq, probe in list(self.probes.items()):
            if now >= probe.due:
                self._step(now, seq, probe)
        for seq, errand in list(self.errands.items()):
            if now >= errand.nack_at:
                asker = self.table.records.get(errand.asker)
                if asker is not None and errand.nack_at < errand.until:
                    self.sender.send(now, asker, Nack(errand.seq))
                errand.nack_at = errand.until
                if now >= errand.until:
                    del self.errands[seq]
        self._judge(now)
        if now >= self._next_probe:
            self._next_probe = max(now, self._next_probe + self.pace.period * (1 + self.health))
            record = self._next()
            if record is not None:
                self._begin(now, record, False)

    def next_due(self) -> float:
        """When `tick` has something to do, as far as is known now."""
        due = self._next_probe
        for probe in self.probes.values():
            due = min(due, probe.due)
        for errand in self.errands.values():
            due = min(due, errand.nack_at)
        for record in self.table.suspects.values():
            suspicion = record.suspicion
            if suspicion.mine:
                due = min(due, suspicion.verify_at, self.verdict_at(record))
            else:
                due = min(due, max(suspicion.verify_at, suspicion.since + self._patience()))
        return due

    def _patience(self) -> float:
        """Seconds for which a suspicion of somebody else's may stay without an end."""
        return 2 * self.pace.suspect_most * (1 + self.health)

    # ---- probing --------------------------------------------------------------------------------------

    def _next(self) -> Record | None:
        """The next in the shuffled order; whoever is new comes in with the next round (SWIM, 4.3)."""
        while len(self.table) > 1:
            if not self._order:
                self._order = [record.news.name for record in self.table.there()]
                self.rng.shuffle(self._order)
            record = self.table.records.get(self._order.pop())
            if record is not None and record.there:
                return record
        return None

    def include(self, name: str) -> None:
        """One is new: somewhere in this round."""
        self._order.insert(self.rng.randint(0, len(self._order)), name)

    def _begin(self, now: float, record: Record, verify: bool) -> None:
        seq, direct = self.seq(), self.direct(record)
        probe = self.probes[seq] = Probe(
            record.news.name, record.news.life, now, now + direct, now + WHOLE * direct, verify
        )
        self.sender.send(now, record, Ping(seq))
        if verify:
            self._ask_others(now, seq, probe, record)

    def _ask_others(self, now: float, seq: int, probe: Probe, record: Record) -> None:
        news = record.news
        others = self.table.draw(PROXIES, lambda r: r is not record and r.news.state == State.ALIVE)
        patience = max(1, int((probe.until - now) * 1000 / (1 + self.health)))
        for other in others:
            self.sender.send(now, other, PingFor(seq, news.name, news.life, news.host, news.port, patience))
        probe.asked = len(others)
        probe.stage, probe.due = 1, probe.until

    def _step(self, now: float, seq: int, probe: Probe) -> None:
        record = self.table.records.get(probe.name)
        if record is None or record.news.life != probe.life or probe.stage == 2:
            del self.probes[seq]
        elif probe.stage == 0:
            self.sender.send(now, record, Ping(seq))  # once more: the first may just have been lost
            self._ask_others(now, seq, probe, record)
        else:
            probe.stage, probe.due = 2, probe.began + LATE + WHOLE * SLOWEST
            self.failed += 1
            if not probe.verify:
                self._feel(probe.asked - len(probe.nacks))
            if record.there and (not probe.verify or record.suspicion is not None and record.suspicion.mine):
                self.table.suspect(now, record, probe.nacks)

    def slow(self) -> None:
        """Others took this process for dead: it may be the one that is ill (Lifeguard, IV.A)."""
        self._feel(1)

    def _feel(self, change: int) -> None:
        self.health = max(0, min(WORST_HEALTH, self.health + change))

    def _judge(self, now: float) -> None:
        """Suspicions: probe on, and declare what nothing speaks against any more."""
        for record in list(self.table.suspects.values()):
            suspicion = record.suspicion
            if not suspicion.mine:
                if now >= suspicion.since + self._patience() and now >= suspicion.verify_at:
                    suspicion.verify_at = now + self._patience()
                    self._begin(now, record, False)
            elif now >= self.verdict_at(record):
                alone = self.heard_but(record.news.name) < suspicion.since
                self.deaths += 1
                self.table.adopt(now, record, structs.replace(record.news, state=int(State.DEAD)), not alone)
            elif now >= suspicion.verify_at:
                suspicion.verify_at = now + self.pace.period
                self._begin(now, record, True)

    # ---- what comes in --------------------------------------------------------------------------------

    def heard(self, now: float, record: Record) -> None:
        """A datagram of a member's present life has come."""
        name = record.news.name
        record.heard = now
        if name != self._heard[0]:
            self._heard_else = self._heard[1]
        self._heard = name, now

    def heard_but(self, name: str) -> float:
        """When anybody but that one was last heard."""
        return self._heard_else if self._heard[0] == name else self._heard[1]

    def on_ping_for(self, now: float, asker: Record, ask: PingFor) -> None:
        """Probe somebody for another."""
        if len(self.errands) >= MOST_ERRANDS:
            return
        seq, patience = self.seq(), ask.patience / 1000
        self.errands[seq] = Errand(asker.news.name, ask.seq, now + NACK_AT * patience, now + 2 * patience)
        known = self.table.records.get(ask.name)
        if known is not None and known.news.life == ask.life:
            self.sender.send(now, known, Ping(seq))
        else:
            self.sender.send_to(now, (ask.host, ask.port), ask.life, Ping(seq))

    def on_nack(self, packet: Packet, nack: Nack) -> None:
        """One who was asked has heard nothing yet."""
        probe = self.probes.get(nack.seq)
        if probe is not None and len(probe.nacks) < probe.asked:
            probe.nacks.add(packet.sender)

    def on_ack(self, now: float, packet: Packet, ack: Ack) -> None:
        """An answer, to a probe of our own or to one for another."""
        errand = self.errands.pop(ack.seq, None)
        if errand is not None:
            asker = self.table.records.get(errand.asker)
            if asker is not None:
                self.sender.send(now, asker, Ack(errand.seq))
            return
        probe = self.probes.pop(ack.seq, None)
        record = self.table.records.get(probe.name) if probe is not None else None
        if record is None or record.news.life != probe.life:
            return
        if packet.sender == probe.name:
            self._measure(record, now - probe.began)
        if probe.stage < 2 and not probe.verify:
            self._feel(-1)
        if record.suspicion is not None and record.suspicion.mine:
            self.false_alarms += 1
            record.suspicion.mine, record.suspicion.since = False, now
            record.suspicion.accusers.clear()

    def _measure(self, record: Record, took: float) -> None:
        record.rtt = took if record.rtt is None else max(took, 0.875 * record.rtt + 0.125 * took)
        self.rtt += 0.05 * (took - self.rtt)
