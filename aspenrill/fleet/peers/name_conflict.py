"""Resolves conflicts between two processes with one name: tells a restart from a duplicate by probing.

Each process start has a random boot id. When an update of the own name carries a different boot id, this
process probes the address in the update. Without an answer the other is an earlier run of this process, and
this one raises its incarnation above it. With an answer both are running: the younger (by its first
incarnation, then by boot id) withdraws and the elder raises its incarnation. The withdrawn process keeps
probing, and takes the name over once the elder no longer answers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..interface import State
from .table import Table
from .wire import MemberUpdate, Message, NameProbe, NameProbeAck, Packet

PROBE_INTERVAL = 0.4  # seconds
PROBE_TRIES = 4  # unanswered probes after which the other process counts as an earlier run
SILENT_BACKOFF = 5.0  # seconds until a process that did not answer is probed again
ELDER_PROBE_INTERVAL = 1.0  # seconds, while withdrawn
ELDER_TIMEOUT = 6.0  # seconds without an answer after which the elder counts as gone


class Node(Protocol):
    """The operations of the peer node that resolving a conflict needs."""

    def send_to(self, now: float, address: tuple[str, int], boot_id: bytes, message: Message) -> None:
        """Sends a message to the process with this boot id at an address."""

    def withdraw(self, now: float, elder_address: str) -> None:
        """Gives the name up to a running elder process: announces LEFT and stops sending."""

    def take_over(self, now: float, incarnation: int) -> None:
        """Takes the name over from a process that no longer runs or has withdrawn."""


@dataclass(eq=False, slots=True)
class NameConflict:
    """Another process with the own name."""

    boot_id: bytes
    incarnation: int
    address: tuple[str, int]
    seq: int
    unanswered: int = 0
    probe_at: float = 0.0
    answered_at: float | None = None


class NameConflictResolver:
    """Tracks one conflict over the own name at a time."""

    def __init__(self, table: Table, node: Node, first_incarnation: int) -> None:
        self.table, self.node = table, node
        self.first_incarnation = first_incarnation  # the incarnation that this process started with
        self.fenced = False
        self.conflict: NameConflict | None = None
        # boot id that did not answer, and until when it is not probed again
        self._unresponsive: tuple[bytes, float] = b"", 0.0
        self._seq = first_incarnation & 0xFFFF

    def on_update(self, now: float, update: MemberUpdate) -> None:
        """Process an update of the own name with another boot id."""
        if self.fenced:
            if self.conflict is not None and update.boot_id == self.conflict.boot_id:
                self.conflict.incarnation = max(self.conflict.incarnation, update.incarnation)
            return
        if update.state >= State.DEAD or (update.host, update.port) == (
            self.table.me.host,
            self.table.me.port,
        ):
            self._supersede(now, update.incarnation, update.boot_id)
        elif self._unresponsive[0] == update.boot_id and now < self._unresponsive[1]:
            self._supersede(now, update.incarnation, update.boot_id)
        else:
            self._probe(now, update)

    def _supersede(self, now: float, incarnation: int, boot_id: bytes) -> None:
        me = self.table.me
        if self.conflict is not None and self.conflict.boot_id == boot_id:
            self.conflict = None
        if (incarnation, boot_id) > (me.incarnation, me.boot_id):
            self.node.take_over(now, incarnation + 1)

    def _probe(self, now: float, update: MemberUpdate) -> None:
        if (
            self.conflict is None
            or self.conflict.boot_id != update.boot_id
            and self.conflict.answered_at is None
        ):
            self._seq += 1
            self.conflict = NameConflict(
                update.boot_id, update.incarnation, (update.host, update.port), self._seq, probe_at=now
            )
            self.tick(now)

    def tick(self, now: float) -> None:
        """Send the probe that is due, or act on its missing answers."""
        conflict = self.conflict
        if conflict is None or now < conflict.probe_at:
            return
        if self.fenced and now - conflict.answered_at >= ELDER_TIMEOUT:
            self.fenced, self.conflict = False, None
            self.node.take_over(now, max(conflict.incarnation, self.table.me.incarnation) + 1)
        elif not self.fenced and conflict.unanswered >= PROBE_TRIES:
            self._unresponsive = conflict.boot_id, now + SILENT_BACKOFF
            self._supersede(now, conflict.incarnation, conflict.boot_id)
            self.conflict = None
        else:
            conflict.unanswered += 1
            conflict.probe_at = now + (ELDER_PROBE_INTERVAL if self.fenced else PROBE_INTERVAL)
            self.node.send_to(
                now, conflict.address, conflict.boot_id, NameProbe(conflict.seq, self.first_incarnation)
            )

    def next_due(self) -> float:
        """When `tick` must be called next."""
        return self.conflict.probe_at if self.conflict is not None else float("inf")

    def on_packet(self, now: float, packet: Packet, address: tuple[str, int]) -> None:
        """Process a packet of another process with the own name."""
        message = packet.message
        for update in packet.updates:
            if update.name == self.table.me.name and update.boot_id == packet.boot_id:
                address = update.host, update.port
                self.on_update(now, update)
        if isinstance(message, NameProbe):
            self.node.send_to(now, address, packet.boot_id, NameProbeAck(message.seq, self.first_incarnation))
        elif (
            isinstance(message, NameProbeAck)
            and self.conflict is not None
            and (self.conflict.boot_id, self.conflict.seq) == (packet.boot_id, message.seq)
        ):
            self.conflict.answered_at, self.conflict.unanswered = now, 0
            self.conflict.incarnation = max(self.conflict.incarnation, packet.incarnation)
            if not self.fenced and (message.first_incarnation, packet.boot_id) < (
                self.first_incarnation,
                self.table.me.boot_id,
            ):
                self.fenced = True
                self.node.withdraw(now, f"{self.conflict.address[0]}:{self.conflict.address[1]}")
