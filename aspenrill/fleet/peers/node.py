"""The peer protocol of one process: membership, shared state and messages, as a state machine without I/O.

A driver feeds it datagrams and time (`on_datagram`, `on_tick` by `next_due`), runs the exchanges that it
requests (`take_syncs`), sends its datagrams and delivers its events (`take_events`).
"""

from __future__ import annotations

import math
import random
from collections import Counter

from msgspec import Raw

from ...errors import NameTrouble, WireTrouble
from ..interface import MAX_BODY, Member, State
from .detector import Detector, Timing
from .events import Address, Event, IdentityChanged, LocalNode, MessageReceived
from .exchange import Exchange
from .gossip_queue import transmit_limit
from .keys import KeyRing
from .name_conflict import NameConflictResolver
from .shared_state import SharedState
from .table import Record, Table
from .wire import (
    MAX_DATAGRAM,
    Ack,
    ComponentMessage,
    MemberUpdate,
    Message,
    Nack,
    NameProbe,
    NameProbeAck,
    Packet,
    Ping,
    PingRequest,
    ReplayFilter,
    encode,
    max_overhead,
    seal,
    unseal,
)

MAX_PIECES = 60  # member updates, and entries, in one datagram
NOTIFY_GAP = 0.4  # seconds between notifications of one member about its own recorded state
SEED_CHECK_INTERVAL = 10.0  # seconds between pings of a seed that is not a live member
JOIN_BACKOFF_MIN = 0.25  # seconds between join attempts, doubled each time
JOIN_BACKOFF_MAX = 5.0  # seconds
SWEEP_INTERVAL = 5.0  # seconds between removals of expired members and entries
SYNC_INTERVAL_MIN = 1.0  # seconds to the first exchange; doubled up to the configured interval
SMALL_FLEET = 32  # members up to which exchanges run at the configured interval


class PeerNode:
    """The state machine. Events are emitted in the order of the changes."""

    def __init__(self, me: LocalNode, keys: KeyRing, timing: Timing, rng: random.Random, now: float) -> None:
        self.keys, self.timing, self.rng, self.seeds = keys, timing, rng, me.seeds
        place = me.place
        update = MemberUpdate(
            me.name,
            me.incarnation,
            me.boot_id,
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
        self.table = Table(update, rng, self._member_changed, self._on_self_update)
        self.shared = SharedState(self.table, self.events.append)
        self.names = NameConflictResolver(self.table, self, me.incarnation)
        self.detector = Detector(self.table, timing, rng, self, now)
        self.replay_filter = ReplayFilter()
        self.leaving = False
        self._count = 0
        self._gossip_at = self._seed_at = now
        self._join_wait = JOIN_BACKOFF_MIN
        self._sync_wait = SYNC_INTERVAL_MIN
        self._sync_at = now + SYNC_INTERVAL_MIN
        self._join_sync_at = -1e9
        self._sync_target = ""  # the member to run an exchange with soon
        self._reconnect_at, self._sweep_at = now + timing.reconnect_interval, now + SWEEP_INTERVAL
        self._expected_tick_at = now
        self._introduced_at = -1e9
        self.table.update_self(now)

    # ---- called by the driver -------------------------------------------------------------------------

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return and clear the datagrams to send."""
        out, self.out = self.out, []
        return out

    def take_events(self) -> list[Event]:
        """Return and clear the pending events."""
        events = self.events[:]
        self.events.clear()
        return events

    def take_syncs(self) -> list[tuple[str, Address, bytes]]:
        """Return and clear the exchanges to start: name, address and boot id of each callee."""
        names, self.syncs = self.syncs, []
        found = [self.table.records.get(name) for name in names]
        return [(r.latest.name, r.address, r.latest.boot_id) for r in found if r is not None]

    def start_exchange(self, boot_id: bytes, nonce: bytes) -> Exchange:
        """Create the caller's side of an exchange."""
        return Exchange(self, self.keys, nonce, boot_id)

    def accept_exchange(self, nonce: bytes) -> Exchange:
        """Create the callee's side of an exchange."""
        return Exchange(self, self.keys, nonce)

    def put(self, now: float, topic: str, value: bytes) -> None:
        """Publish an entry of this process; ValueError if a limit is exceeded."""
        self.shared.put(now, topic, value)

    def post(self, now: float, to: str, component: str, body: bytes) -> bool:
        """Send a message to a component of a member; False if it is not live, ValueError if too large."""
        if len(body) > MAX_BODY:
            raise ValueError(f"message body of {len(body)} bytes exceeds {MAX_BODY}")
        record = self.table.records.get(to)
        if record is None or not record.is_live or self.names.fenced:
            return False
        self.send(now, record, ComponentMessage(component, body))
        return True

    def leave(self, now: float) -> None:
        """Announce that this process leaves; the ticks that follow gossip it."""
        if not self.leaving and not self.names.fenced:
            self.leaving = True
            self.table.update_self(now, state=int(State.LEFT))
            for record in self.table.sample(4 * self.timing.fanout):
                self.send(now, record, None)

    def next_due(self) -> float:
        """When `on_tick` must be called next."""
        due = self.names.next_due()
        if not self.names.fenced:
            due = min(due, self.detector.next_due(), self._seed_at, self._reconnect_at, self._sync_at)
            if self.table.gossip or self.shared.gossip:
                due = min(due, self._gossip_at)
            if self._sync_target:
                due = min(due, self._join_sync_at + SYNC_INTERVAL_MIN)
        return due

    # ---- timers --------------------------------------------------------------------------------------

    def _detect_pause(self, now: float) -> None:
        """Detect that this process was paused."""
        if now > self._expected_tick_at + max(self.timing.probe_interval, 0.3):
            self.detector.on_pause(now)
        self._expected_tick_at = max(now, self._expected_tick_at)

    def on_tick(self, now: float) -> None:
        """Run everything that is due."""
        self._detect_pause(now)
        self.names.tick(now)
        if not self.names.fenced:
            if not self.leaving:
                self.detector.tick(now)
                self._contact_seeds(now)
                if now >= self._sync_at:
                    self._sync_wait = min(2 * self._sync_wait, self._sync_period())
                    self._sync_at = now + self._sync_wait * (0.75 + 0.5 * self.rng.random())
                    self.syncs += [record.latest.name for record in self.table.sample(1)]
                if self._sync_target and now >= self._join_sync_at + SYNC_INTERVAL_MIN:
                    self.syncs.append(self._sync_target)
                    self._join_sync_at, self._sync_target = now, ""
                if now >= self._sweep_at:
                    self._sweep(now)
            if now >= self._gossip_at and (self.table.gossip or self.shared.gossip):
                self._gossip_at = now + self.timing.gossip_interval
                for record in self.table.sample(self.timing.fanout):
                    self.send(now, record, None)
        self._expected_tick_at = max(now, self.next_due())

    def _sync_period(self) -> float:
        """The exchange interval; it grows with the fleet so that traffic for each process stays constant."""
        return self.timing.sync_interval * max(1.0, 1 + math.log2(len(self.table) / SMALL_FLEET))

    def _contact_seeds(self, now: float) -> None:
        """Join through the seeds while no member is known; then ping a seed and a dead member at times."""
        alone = len(self.table) == 1
        if now >= self._seed_at:
            own_address = self.table.me.host, self.table.me.port
            seeds = [seed for seed in self.seeds if seed != own_address]
            if alone:
                self._seed_at = now + self._join_wait * (0.75 + 0.5 * self.rng.random())
                self._join_wait = min(JOIN_BACKOFF_MAX, 2 * self._join_wait)
            else:
                self._seed_at = now + SEED_CHECK_INTERVAL * (0.5 + self.rng.random())
                self._join_wait = JOIN_BACKOFF_MIN
                known = {record.address for record in self.table.live_records()}
                seeds = [seed for seed in seeds if seed not in known]
                seeds = self.rng.sample(seeds, min(1, len(seeds)))
            for seed in seeds:
                self.ping_address(now, seed)
        if now >= self._reconnect_at:
            self._reconnect_at = now + self.timing.reconnect_interval * (0.5 + self.rng.random())
            dead = [n for n in self.table.departed if self.table.records[n].latest.state == State.DEAD]
            if dead:
                record = self.table.records[self.rng.choice(dead)]
                self.send(now, record, Ping(self.detector.next_seq()))

    def _sweep(self, now: float) -> None:
        """Remove expired members and entries."""
        self._sweep_at = now + SWEEP_INTERVAL
        for name in list(self.table.departed):
            record = self.table.records[name]
            if now >= record.since + self.timing.forget_after:
                self.table.forget(name)
            if now >= record.since + self.timing.entries_kept:
                self.shared.forget(name)
        for name in [name for name in self.shared.by_origin if name not in self.table.members]:
            self.shared.forget(name)

    def sync_failed(self, now: float) -> None:
        """Schedule another exchange soon after one failed."""
        self._sync_at = min(self._sync_at, now + SYNC_INTERVAL_MIN * (0.5 + self.rng.random()))

    # ---- sending ------------------------------------------------------------------------------

    def send(self, now: float, record: Record, message: Message | None) -> None:
        """Send to a member, with gossip. One that is not ALIVE also gets its recorded state and our own."""
        first = []
        if record.latest.state != State.ALIVE:
            first = [record.encoded, Raw(encode(self.table.me))]
            record.notified_at = now
        self._send(now, record.address, record.latest.boot_id, message, first, record.is_live)

    def send_to(self, now: float, address: Address, boot_id: bytes, message: Message) -> None:
        """Send to a process that is no member. Name conflict messages also carry the own address."""
        first = [Raw(encode(self.table.me))] if isinstance(message, NameProbe | NameProbeAck) else []
        self._send(now, address, boot_id, message, first, False)

    def ping_address(self, now: float, address: Address) -> None:
        """Ping an address without knowing which process is there."""
        self._send(now, address, b"", Ping(self.detector.next_seq()), [Raw(encode(self.table.me))], False)

    def _send(
        self, now: float, address: Address, to: bytes, message: Message | None, updates: list[Raw], fill: bool
    ) -> None:
        me, entries, first, updates = self.table.me, [], updates, []
        remaining = MAX_DATAGRAM - max_overhead(me.name, message)
        for piece in first:
            if len(memoryview(piece)) <= remaining:
                remaining -= len(memoryview(piece))
                updates.append(piece)
        if fill:  # with queued gossip
            limit = transmit_limit(len(self.table))
            queued, remaining = self.table.gossip.pick(now, remaining, MAX_PIECES, limit)
            updates += queued
            entries, remaining = self.shared.gossip.pick(now, remaining, MAX_PIECES, limit)
            if message is None and not updates and not entries:
                return
        self._count += 1
        self.out.append(
            (
                address,
                seal(
                    self.keys,
                    (me.name, me.incarnation, me.boot_id),
                    self._count,
                    to,
                    message,
                    updates,
                    entries,
                ),
            )
        )

    # ---- receiving ------------------------------------------------------------------------------

    def on_datagram(self, now: float, address: Address, data: bytes) -> None:
        """Process a datagram. One that is not authentic, malformed or a replay is counted and dropped."""
        self._detect_pause(now)
        try:
            packet = unseal(self.keys, data)
            me = self.table.me
            if packet.boot_id == me.boot_id:
                raise WireTrouble("echo")
            if packet.to != me.boot_id and (packet.to or not isinstance(packet.message, Ping)):
                raise WireTrouble("addressee")
            self.replay_filter.check(packet.boot_id, packet.counter)
            if packet.sender == me.name:
                self.names.on_packet(now, packet, address)
            elif not self.names.fenced:
                self._process(now, address, packet)
        except WireTrouble as why:
            self.refuse(why, address)

    def refuse(self, why: WireTrouble, address: Address) -> None:
        """Count a rejected datagram or stream; the driver logs a limited number."""
        self.refused[why.reason] += 1
        self.last_refused = str(why), address

    def _process(self, now: float, address: Address, packet: Packet) -> None:
        for update in packet.updates:
            self.table.merge(now, update)
        record = self.table.records.get(packet.sender)
        run = packet.incarnation, packet.boot_id
        if record is None or run > (record.latest.incarnation, record.latest.boot_id):
            if now >= self._introduced_at + NOTIFY_GAP:  # newer than our record: let it introduce itself
                self._introduced_at = now
                self.ping_address(now, address)
            raise WireTrouble("stranger")
        if run < (record.latest.incarnation, record.latest.boot_id):
            if now >= record.notified_at + NOTIFY_GAP:
                record.notified_at = now
                self._send(now, record.old_address or address, packet.boot_id, None, [record.encoded], False)
            raise WireTrouble("former life")
        self.detector.on_received(now, record)
        self._dispatch(now, record, packet)
        for entry in packet.entries:
            self.shared.merge(now, entry)
        if (
            not record.is_live
            and now >= record.notified_at + NOTIFY_GAP
            and record.latest.state == State.DEAD
        ):
            self.send(now, record, Ping(self.detector.next_seq()))

    def _dispatch(self, now: float, record: Record, packet: Packet) -> None:
        match packet.message:
            case Ping(seq):
                if packet.to:
                    self.send(now, record, Ack(seq))
                else:
                    me = Raw(encode(self.table.me))
                    self._send(now, record.address, packet.boot_id, Ack(seq), [me], False)
            case Ack() as ack:
                self.detector.on_ack(now, packet, ack)
            case PingRequest() as request:
                self.detector.on_ping_request(now, record, request)
            case Nack() as nack:
                self.detector.on_nack(packet, nack)
            case ComponentMessage(component, body):
                if not record.is_live:
                    raise WireTrouble("mail of the dead")
                self.events.append(MessageReceived(component, packet.sender, record.latest.incarnation, body))

    # ---- members --------------------------------------------------------------------------------------

    def _member_changed(self, member: Member) -> None:
        self.events.append(member)
        if member.name == self.table.me.name:
            return
        self.shared.remove_older(member.name, member.incarnation)
        for name, returned in self.table.joined:
            self.detector.add_target(name)
            if len(self.table) == 2 or returned:  # just joined, or a partition healed
                self._sync_target = name
        self.table.joined.clear()

    def _on_self_update(self, now: float, update: MemberUpdate) -> None:
        """Process an update about this process; one that marks it suspect or dead is refuted."""
        me = self.table.me
        if update.boot_id != me.boot_id:
            self.names.on_update(now, update)
        elif update.rank > me.rank and not self.names.fenced and not self.leaving:
            self.detector.on_suspected()
            self.table.update_self(now, refutations=update.refutations + 1)
        elif update.rank < me.rank and update.state != State.ALIVE:  # the sender missed the refutation
            self.table.update_self(now)

    def take_over(self, now: float, incarnation: int) -> None:
        """Take the name over from another process that no longer runs or has withdrawn."""
        self.table.update_self(now, incarnation=incarnation, refutations=0, state=int(State.ALIVE))
        self.shared.republish(now)
        self.events.append(IdentityChanged(incarnation))

    def withdraw(self, now: float, elder_address: str) -> None:
        """Give the name up to a running elder process: announce LEFT and stop sending."""
        name = self.table.me.name
        self.table.update_self(now, state=int(State.LEFT))
        conflict = self.names.conflict
        self._send(
            now,
            conflict.address,
            conflict.boot_id,
            NameProbeAck(0, self.names.first_incarnation),
            [Raw(encode(self.table.me))],
            False,
        )
        for record in self.table.sample(4 * self.timing.fanout):
            self.send(now, record, None)
        self.events.append(
            IdentityChanged(
                self.table.me.incarnation,
                NameTrouble(f"a process at {elder_address} has the name {name} too, and had it before"),
            )
        )
