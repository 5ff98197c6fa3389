"""Failure detector: SWIM's direct and indirect probes, with suspicion and Lifeguard's local health.

Das, Gupta, Motivala: SWIM (2002); Dadgar, Phillips, Currey: Lifeguard (2017). As in the papers: targets in
shuffled round-robin order, k indirect probes after a direct one fails, a suspicion timeout that shrinks with
independent confirmations, the suspect notified first (buddy system), and longer timeouts while the local
health is poor. Differences from the papers:

- A probe may outlive the probe interval, so that a slow link is not taken for a dead member; its timeouts
  grow with the member's measured round-trip time.
- A Nack confirms the suspicion: its sender has probed the member itself without an answer.
- Only a process whose own probes failed declares a member dead, and it probes until it does. A process that
  only received a suspicion, and then no further update, starts a probe of its own.
- A process that receives nothing from any other member marks members dead locally without gossiping it: it
  is more likely to be cut off itself.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Protocol

from msgspec import structs

from ..interface import State
from .table import Record, Table
from .wire import Ack, Message, Nack, Packet, Ping, PingRequest

INDIRECT_PROBE_COUNT = 3  # members that probe on behalf of this process
CONFIRMATIONS_FOR_MIN = 3  # confirmations that shorten the suspicion timeout to its minimum
MAX_HEALTH_SCORE = 3  # intervals and timeouts are multiplied by 1 + score
PROBE_TIMEOUT_FACTOR = 2.5  # timeout of a whole probe, as a multiple of its direct timeout
MAX_DIRECT_TIMEOUT = 1.2  # seconds, at health score 0
LATE_ACK_WINDOW = 4.0  # seconds for which a late Ack still counts after a probe failed
NACK_AT_FRACTION = 0.8  # of the requester's timeout
MAX_INDIRECT_PROBES = 256  # concurrent probes on behalf of other members


@dataclass(frozen=True, slots=True)
class Timing:
    """The protocol's intervals and timeouts in seconds."""

    probe_interval: float = 0.3
    ack_timeout: float = 0.2  # until indirect probes start
    suspicion_min: float = 0.5
    suspicion_max: float = 2.0
    gossip_interval: float = 0.1  # between rounds, while the gossip queues are not empty
    fanout: int = 3
    sync_interval: float = 30.0  # between full exchanges, in a fleet of up to 32
    reconnect_interval: float = 2.0  # between probes of members marked dead
    forget_after: float = 3600.0  # until a dead member is removed
    entries_kept: float = 60.0  # until a dead member's entries are removed


class Sender(Protocol):
    """Sends the detector's messages."""

    def send(self, now: float, record: Record, message: Message) -> None:
        """Sends a message to a member."""

    def send_to(self, now: float, address: tuple[str, int], boot_id: bytes, message: Message) -> None:
        """Sends a message to the process with this boot id at an address."""


@dataclass(eq=False, slots=True)
class Probe:
    """A probe of this process. It is kept for a while after it failed, for late Acks."""

    name: str
    boot_id: bytes
    started_at: float
    due: float  # of the next stage
    expires_at: float
    verify: bool
    stage: int = 0  # 0 direct, 1 indirect, 2 failed
    indirect_count: int = 0
    nacks: set[str] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class IndirectProbe:
    """A probe on behalf of another member."""

    requester: str
    seq: int
    nack_at: float
    expires_at: float


class Detector:
    """Probes the members of a table and decides which are suspect or dead."""

    def __init__(self, table: Table, timing: Timing, rng: random.Random, sender: Sender, now: float) -> None:
        self.table, self.timing, self.rng, self.sender = table, timing, rng, sender
        self.local_health = 0  # Lifeguard's local health score; 0 is healthy
        self.rtt = 0.0  # seconds, moving average over the fleet
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._seq = rng.getrandbits(32)
        self._order: list[str] = []
        self._next_probe = now + rng.random() * timing.probe_interval
        self._last_received = ("", -1e9)  # sender and time of the last datagram
        self._last_received_other = -1e9  # time of the last datagram from any other sender
        self.false_alarms = self.deaths = self.failed = 0

    def next_seq(self) -> int:
        """The next sequence number of a probe."""
        self._seq += 1
        return self._seq

    # ---- timers ---------------------------------------------------------------------------------------

    def direct_timeout(self, record: Record | None) -> float:
        """Seconds until indirect probes start."""
        rtt = self.rtt if record is None or record.rtt is None else record.rtt
        return min(MAX_DIRECT_TIMEOUT, max(self.timing.ack_timeout, 2.5 * rtt)) * (1 + self.local_health)

    def declare_dead_at(self, record: Record) -> float:
        """When a member suspected by this process is declared dead (Lifeguard, IV.B)."""
        suspicion, timing = record.suspicion, self.timing
        shortest = max(timing.suspicion_min, 1.25 * self.direct_timeout(record))
        longest = max(shortest, timing.suspicion_max * (1 + self.local_health))
        needed = min(CONFIRMATIONS_FOR_MIN, len(self.table) - 2)
        confirmed = len(suspicion.reporters - {self.table.me.name})
        if needed <= 0:  # no other member could confirm it
            return suspicion.since + min(longest, 2 * shortest)
        progress = math.log(min(confirmed, needed) + 1) / math.log(needed + 1)
        return suspicion.since + longest - (longest - shortest) * progress

    def on_pause(self, now: float) -> None:
        """Restart probes and suspicions after this process was paused: a missing answer is no evidence."""
        self.probes.clear()
        self.indirect_probes.clear()
        self.local_health = min(MAX_HEALTH_SCORE, self.local_health + 1)
        self._last_received, self._last_received_other = ("", -1e9), -1e9
        for record in self.table.suspects.values():
            record.suspicion.since = record.suspicion.verify_at = now
            record.suspicion.reporters.clear()
        self._next_probe = now

    def tick(self, now: float) -> None:
        """Run the probes, Nacks and suspicion checks that are due."""
        for seq, probe in list(self.probes.items()):
            if now >= probe.due:
                self._advance_probe(now, seq, probe)
        for seq, indirect in list(self.indirect_probes.items()):
            if now >= indirect.nack_at:
                requester = self.table.records.get(indirect.requester)
                if requester is not None and indirect.nack_at < indirect.expires_at:
                    self.sender.send(now, requester, Nack(indirect.seq))
                indirect.nack_at = indirect.expires_at
                if now >= indirect.expires_at:
                    del self.indirect_probes[seq]
        self._check_suspicions(now)
        if now >= self._next_probe:
            self._next_probe = max(
                now, self._next_probe + self.timing.probe_interval * (1 + self.local_health)
            )
            record = self._next_target()
            if record is not None:
                self._start_probe(now, record, False)

    def next_due(self) -> float:
        """When `tick` must be called next."""
        due = self._next_probe
        for probe in self.probes.values():
            due = min(due, probe.due)
        for indirect in self.indirect_probes.values():
            due = min(due, indirect.nack_at)
        for record in self.table.suspects.values():
            suspicion = record.suspicion
            if suspicion.confirmed_locally:
                due = min(due, suspicion.verify_at, self.declare_dead_at(record))
            else:
                due = min(due, max(suspicion.verify_at, suspicion.since + self._unconfirmed_timeout()))
        return due

    def _unconfirmed_timeout(self) -> float:
        """Seconds until a suspicion reported by others leads to a probe by this process."""
        return 2 * self.timing.suspicion_max * (1 + self.local_health)

    # ---- probing --------------------------------------------------------------------------------------

    def _next_target(self) -> Record | None:
        """The next target of the shuffled round robin (SWIM, 4.3)."""
        while len(self.table) > 1:
            if not self._order:
                self._order = [record.latest.name for record in self.table.live_records()]
                self.rng.shuffle(self._order)
            record = self.table.records.get(self._order.pop())
            if record is not None and record.is_live:
                return record
        return None

    def add_target(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._order.insert(self.rng.randint(0, len(self._order)), name)

    def _start_probe(self, now: float, record: Record, verify: bool) -> None:
        seq, direct_timeout = self.next_seq(), self.direct_timeout(record)
        probe = self.probes[seq] = Probe(
            record.latest.name,
            record.latest.boot_id,
            now,
            now + direct_timeout,
            now + PROBE_TIMEOUT_FACTOR * direct_timeout,
            verify,
        )
        self.sender.send(now, record, Ping(seq))
        if verify:
            self._probe_indirectly(now, seq, probe, record)

    def _probe_indirectly(self, now: float, seq: int, probe: Probe, record: Record) -> None:
        update = record.latest
        others = self.table.sample(
            INDIRECT_PROBE_COUNT, lambda r: r is not record and r.latest.state == State.ALIVE
        )
        timeout = max(1, int((probe.expires_at - now) * 1000 / (1 + self.local_health)))
        for other in others:
            self.sender.send(
                now, other, PingRequest(seq, update.name, update.boot_id, update.host, update.port, timeout)
            )
        probe.indirect_count = len(others)
        probe.stage, probe.due = 1, probe.expires_at

    def _advance_probe(self, now: float, seq: int, probe: Probe) -> None:
        record = self.table.records.get(probe.name)
        if record is None or record.latest.boot_id != probe.boot_id or probe.stage == 2:
            del self.probes[seq]
        elif probe.stage == 0:
            self.sender.send(now, record, Ping(seq))  # repeated, as the first may have been lost
            self._probe_indirectly(now, seq, probe, record)
        else:
            probe.stage, probe.due = (
                2,
                probe.started_at + LATE_ACK_WINDOW + PROBE_TIMEOUT_FACTOR * MAX_DIRECT_TIMEOUT,
            )
            self.failed += 1
            if not probe.verify:
                self._adjust_health(probe.indirect_count - len(probe.nacks))
            if record.is_live and (
                not probe.verify or record.suspicion is not None and record.suspicion.confirmed_locally
            ):
                self.table.suspect(now, record, probe.nacks)

    def on_suspected(self) -> None:
        """Lower the local health after others suspected this process (Lifeguard, IV.A)."""
        self._adjust_health(1)

    def _adjust_health(self, change: int) -> None:
        self.local_health = max(0, min(MAX_HEALTH_SCORE, self.local_health + change))

    def _check_suspicions(self, now: float) -> None:
        """Probe the suspected members and declare dead those whose timeout has expired."""
        for record in list(self.table.suspects.values()):
            suspicion = record.suspicion
            if not suspicion.confirmed_locally:
                if now >= suspicion.since + self._unconfirmed_timeout() and now >= suspicion.verify_at:
                    suspicion.verify_at = now + self._unconfirmed_timeout()
                    self._start_probe(now, record, False)
            elif now >= self.declare_dead_at(record):
                isolated = self.last_received_except(record.latest.name) < suspicion.since
                self.deaths += 1
                self.table.replace(
                    now, record, structs.replace(record.latest, state=int(State.DEAD)), not isolated
                )
            elif now >= suspicion.verify_at:
                suspicion.verify_at = now + self.timing.probe_interval
                self._start_probe(now, record, True)

    # ---- received messages ------------------------------------------------------------------------------

    def on_received(self, now: float, record: Record) -> None:
        """Record a datagram from a member's current incarnation."""
        name = record.latest.name
        record.received_at = now
        if name != self._last_received[0]:
            self._last_received_other = self._last_received[1]
        self._last_received = name, now

    def last_received_except(self, name: str) -> float:
        """When a datagram of any other member was last received."""
        return self._last_received_other if self._last_received[0] == name else self._last_received[1]

    def on_ping_request(self, now: float, requester: Record, request: PingRequest) -> None:
        """Probe a member on behalf of another."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        seq, timeout = self.next_seq(), request.timeout_ms / 1000
        self.indirect_probes[seq] = IndirectProbe(
            requester.latest.name, request.seq, now + NACK_AT_FRACTION * timeout, now + 2 * timeout
        )
        known = self.table.records.get(request.name)
        if known is not None and known.latest.boot_id == request.boot_id:
            self.sender.send(now, known, Ping(seq))
        else:
            self.sender.send_to(now, (request.host, request.port), request.boot_id, Ping(seq))

    def on_nack(self, packet: Packet, nack: Nack) -> None:
        """Count an indirect prober that has no answer yet."""
        probe = self.probes.get(nack.seq)
        if probe is not None and len(probe.nacks) < probe.indirect_count:
            probe.nacks.add(packet.sender)

    def on_ack(self, now: float, packet: Packet, ack: Ack) -> None:
        """Complete a probe of this process, or forward the Ack to the member it was made for."""
        indirect = self.indirect_probes.pop(ack.seq, None)
        if indirect is not None:
            requester = self.table.records.get(indirect.requester)
            if requester is not None:
                self.sender.send(now, requester, Ack(indirect.seq))
            return
        probe = self.probes.pop(ack.seq, None)
        record = self.table.records.get(probe.name) if probe is not None else None
        if record is None or record.latest.boot_id != probe.boot_id:
            return
        if packet.sender == probe.name:
            self._measure(record, now - probe.started_at)
        if probe.stage < 2 and not probe.verify:
            self._adjust_health(-1)
        if record.suspicion is not None and record.suspicion.confirmed_locally:
            self.false_alarms += 1
            record.suspicion.confirmed_locally, record.suspicion.since = False, now
            record.suspicion.reporters.clear()

    def _measure(self, record: Record, elapsed: float) -> None:
        record.rtt = elapsed if record.rtt is None else max(elapsed, 0.875 * record.rtt + 0.125 * elapsed)
        self.rtt += 0.05 * (elapsed - self.rtt)
