"""The component for purges: a process is member, relay, coordinator and origin, as its messages require.

Purges are applied to the process's answer cache within the call that receives them, so acknowledged purges
are done.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

from ..interface import Agreed, Authority, Effect, Entry, LogLine, Member, Post, Put, View
from ..kept.front import LoadNews
from ..kept.scopes import ALL, valid
from ..kept.store import NEVER, Store
from . import leases, wire
from .flows import Flows
from .origin import Origin, Purge
from .report import report
from .root import Coordinator
from .tree import Tree
from .wire import BUILDING, MEMBER, ROOT, SITE, Grant, LeaseRequest, Spread, SpreadAck, Told, Want

REQUEST_RETRY = 0.3  # seconds until a lease request is repeated
PUSH_INTERVAL = 0.4  # seconds until purges are first repeated to a holder that has not acknowledged them
MAX_PUSH_INTERVAL = 2.0  # upper bound of that interval, in seconds
MAX_RECENT = 200  # purges forwarded one by one; a process that lacks more clears its cache
SWEEP_INTERVAL = 5.0  # seconds between removals of expired leases


class Purges:
    """A Follower of records of kind `purge`. `keeps`: this process caches answers and needs leases."""

    name = "purges"
    topics = ("purges",)
    kinds = ("purge",)
    period = 0.1

    def __init__(
        self, rng: random.Random, store: Store, authority: Authority, lease: float = 6.0, keeps: bool = True
    ) -> None:
        self.rng, self.store, self.authority, self.lease, self.keeps = rng, store, authority, lease, keeps
        self.seen = 0  # serial up to which all agreed purges are applied here
        self.recent: deque[str] = deque(maxlen=MAX_RECENT)  # scopes of the last serials up to `seen`
        self.lease_nodes = self.make_lease_nodes()
        self.coordinator = Coordinator()
        self.acknowledged_serials = [0, 0, 0, 0]  # by level: the serial acknowledged upward
        self.published_epoch: int | None = None  # the epoch in the own gossip entry
        self.next_sweep_at = self.next_retry_at = NEVER

    def make_lease_nodes(self) -> list[leases.LeaseNode]:
        """One node for each level of the lease tree."""
        return [leases.LeaseNode(level) for level in range(4)]

    # ---- calls by the driver --------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Restores incomplete purges, and purges again what open loads may have written."""
        self.view, self.tree = view, Tree(view.members)
        self.flows = Flows(view, self.tree, self.store, self._send)
        self.origin = Origin(view.name, view.incarnation)
        self._begin_call()
        effects, scopes = self.origin.start(now, stored)
        self.effects += effects
        for scope in scopes:
            self._start_purge(now, scope if valid(scope) else ALL, "its end was not seen before the restart")
        return self._finish_call(now)

    def on_member(self, now: float, member: Member) -> list[Effect]:
        """The tree has changed; after a failure all purges are sent again."""
        self.tree.invalidate()
        if not member.is_live:
            self.origin.resend_now(now)
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        """The coordinator may have changed."""
        self.origin.resend_now(now)  # a new coordinator needs all incomplete purges
        self.lease_nodes[SITE].next_request_at = NEVER
        return []

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        """Handles a message; malformed ones are ignored."""
        self._begin_call()
        message = wire.decode(body)
        if message is not None:
            self._handle(now, sender, incarnation, message)
        return self._finish_call(now)

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        """Applies an agreed purge; the coordinator reports it to its origins."""
        self._begin_call()
        body = wire.record(record.body)
        if record.kind in self.kinds and body is not None and valid(record.key):
            self.advance(now, body.serial, [record.key])
            for origin, status in self.coordinator.on_agreed(record.key, body.serial).items():
                self._send_status(origin, status)
        return self._finish_call(now)

    def on_tick(self, now: float) -> list[Effect]:
        """Requests leases, repeats messages and removes expired leases."""
        self._begin_call()
        self._publish(now)
        for node in self.lease_nodes:
            if node.lagging:
                node.update_clear(now, self.seen)
                self._push(now, node, repeat=True)
            if node.level < ROOT and self._needs_lease(now, node) and now >= node.next_request_at:
                self._request_lease(now, node)
        self._send_out(now)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL
            for node in self.lease_nodes:
                node.drop_expired(now)
        if now >= self.next_retry_at:
            self.next_retry_at = now + SWEEP_INTERVAL
            self.effects += self.origin.retry_stores()
        return self._finish_call(now)

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """A record could not be written."""
        self.origin.on_disk()
        return [
            LogLine(
                f"fleet-disk: record {key} could not be written; the purge continues, and the record is "
                "tried again; make room on the disk of [fleet] state"
            )
        ]

    def on_leave(self, now: float) -> list[Effect]:
        """Returns its leases before the process ends."""
        self._begin_call()
        self.keeps, self.store.lease_end = False, NEVER
        for node in self.lease_nodes[:ROOT]:
            node.drop_expired(now)
            if not node.holders:
                for name in node.grantors:
                    self._send(name, LeaseRequest(node.level + 1, 0, 0, 0, 0, 0, [], True))
                node.grantors, node.lease_end = {}, NEVER
        return self._finish_call(now)

    # ---- purges of this process -----------------------------------------------------------------------

    def purge(self, now: float, scope: str, reason: str, tag: str = "") -> list[Effect]:
        """Purges a scope at all processes. A tag makes repeated calls one purge until it is complete."""
        self._begin_call()
        self._start_purge(now, scope, reason, tag)
        self._send_out(now)
        return self._finish_call(now)

    def load(self, now: float, update: LoadNews) -> list[Effect]:
        """Purges the scopes of a load that was sent, or that has ended or may have."""
        self._begin_call()
        for scope in update.scopes:
            if not update.ended:
                self.effects += self.origin.on_load(scope, False)
            self._start_purge(now, scope, "a load has ended" if update.ended else "a load was sent")
            if update.ended:
                self.effects += self.origin.on_load(scope, True)
        self._send_out(now)
        return self._finish_call(now)

    def report(self, now: float) -> dict:
        """State of purges and leases at this process; see `report.report`."""
        return report(self, now)

    def _start_purge(self, now: float, scope: str, reason: str, tag: str = "") -> Purge | None:
        purge, effects = self.origin.accept(now, scope, reason, tag)
        self.effects += effects
        if purge is not None:
            for item in self.flows.relay.take_new(self.view.name, [purge.item]):
                self.store.purge(item[2])
        return purge

    def _send_out(self, now: float) -> None:
        """Sends incomplete purges to the sites and the coordinator, as they are due."""
        items = self.origin.items
        for site in self.origin.due_sites(now, self.tree.sites()):
            relay = self.tree.relay(site, None, self.origin.sites[site].tries - 1)
            if relay is not None:
                self._send(relay, Spread(SITE, self.view.name, items))
        requests, coordinator = self.origin.due_requests(now), self._coordinator_name(now)
        if requests and coordinator is not None:
            self._send(coordinator, Want(requests))

    # ---- messages -------------------------------------------------------------------------------------

    def _begin_call(self) -> None:
        self.effects: list[Effect] = []
        self.own_messages: deque[wire.Message] = deque()  # messages to this process itself, at another level

    def _send(self, to: str, message: wire.Message) -> None:
        if to == self.view.name:
            self.own_messages.append(message)
        else:
            self.effects.append(Post(to, wire.encode(message)))

    def _finish_call(self, now: float) -> list[Effect]:
        """Handles messages to this process itself and their consequences; the effects of the call."""
        self._propagate(now)
        while self.own_messages:
            self._handle(now, self.view.name, self.view.incarnation, self.own_messages.popleft())
            self._propagate(now)
        return self.effects

    def _handle(self, now: float, sender: str, incarnation: int, message: wire.Message) -> None:
        match message:
            case LeaseRequest():
                self._on_lease_request(now, (sender, incarnation), message)
            case Grant():
                self._on_grant(now, sender, message)
            case Spread():
                self.flows.on_spread(sender, message)
            case SpreadAck():
                if self.flows.on_ack(sender, message):
                    self.origin.on_ack(now, self.view.members()[sender].place.site, message)
            case Want():
                if self._is_coordinator(now):
                    self._send_status(sender, self.coordinator.on_request(sender, message.purges))
            case Told():
                self.effects += self.origin.on_status(now, message)

    # ---- serials and leases ---------------------------------------------------------------------------

    def advance(self, now: float, serial: int, scopes: list[str]) -> None:
        """Applies agreed purges up to a serial; `scopes` are those of the last ones.

        If some in between are missing, the whole cache is cleared: the log supersedes earlier records of a
        scope by later ones and may never report them.
        """
        missing = serial - self.seen
        if missing <= 0:
            return
        if missing <= len(scopes):
            scopes = scopes[-missing:]
            for scope in scopes:
                self.store.purge(scope)
        else:
            self.store.purge(ALL)
            self.recent.clear()
        self.recent.extend(scopes)
        self.seen = serial
        for node in self.lease_nodes[BUILDING:]:
            node.mark_all_lagging()
            node.update_clear(now, self.seen)
            self._push(now, node)

    def _push(self, now: float, node: leases.LeaseNode, repeat: bool = False) -> None:
        """Sends recent purges to holders that may lack them; repeats with increasing intervals."""
        for holder_id in sorted(node.lagging):
            holder = node.holders[holder_id]
            wait = min(MAX_PUSH_INTERVAL, PUSH_INTERVAL * 1.5 ** min(holder.unacknowledged_pushes, 8))
            if not repeat or holder.pushed_at + wait <= now:
                holder.unacknowledged_pushes = holder.unacknowledged_pushes + 1 if repeat else 0
                holder.pushed_at = now
                self._send(
                    holder_id[0],
                    Grant(node.level - 1, 0, 0.0, self.seen, self._scopes_after(holder.acknowledged)),
                )

    def _scopes_after(self, serial: int) -> list[str]:
        """The scopes after a serial; only the latest ones if not all fit into a message."""
        found: list[str] = []
        remaining = wire.MAX_LIST_BYTES
        for scope in reversed(self.recent):
            remaining -= wire.size(scope)
            if remaining < 0 or len(found) >= self.seen - serial:
                break
            found.append(scope)
        return found[::-1]

    def _needs_lease(self, now: float, node: leases.LeaseNode) -> bool:
        return self.keeps if node.level == MEMBER else now < node.last_requested_at + self.lease

    def _parent(self, now: float, node: leases.LeaseNode) -> str | None:
        place = self.view.place
        if node.level == SITE:
            return self._coordinator_name(now)
        return self.tree.relay(place.site, place.building if node.level == MEMBER else None, node.unanswered)

    def _request_lease(self, now: float, node: leases.LeaseNode) -> None:
        """Requests a lease from the level above and acknowledges what is clear."""
        node.next_request_at = now + REQUEST_RETRY * self.rng.uniform(0.8, 1.2)
        parent = self._parent(now, node)
        if parent is not None:
            seq = node.start_request(now, parent)
            node.unanswered += 1
            self._send(parent, self._status(now, node, seq))

    def _status(self, now: float, node: leases.LeaseNode, seq: int) -> LeaseRequest:
        cleared = node.update_clear(now, self.seen)
        self.acknowledged_serials[node.level] = max(cleared, self.acknowledged_serials[node.level])
        members, not_clear, names = node.not_clear_summary() if node.level else (1, 0, [])
        return LeaseRequest(node.level + 1, seq, self.seen, cleared, members, not_clear, names)

    def _on_lease_request(self, now: float, holder_id: tuple[str, int], request: LeaseRequest) -> None:
        if request.level == MEMBER:
            return
        node = self.lease_nodes[request.level]
        if request.returned:
            node.remove(holder_id)
            return
        if request.level == ROOT and not self._is_coordinator(now):
            return
        if not self._needs_lease(now, node):
            node.next_request_at = NEVER  # to serve a node below, this one needs a lease itself at once
        node.last_requested_at = now
        if request.seq:
            seconds = node.grant(now, holder_id, self.seen, self.lease if request.level == ROOT else None)
            if seconds:
                self._send(
                    holder_id[0],
                    Grant(
                        request.level - 1, request.seq, seconds, self.seen, self._scopes_after(request.seen)
                    ),
                )
            elif request.level < ROOT and now >= node.next_request_at:
                self._request_lease(now, node)
        node.on_acknowledged(
            holder_id, self.seen, request.cleared, request.members, request.not_clear, request.names
        )

    def _on_grant(self, now: float, sender: str, grant: Grant) -> None:
        """Applies the purges of a grant before its lease, which depends on them."""
        if grant.level == ROOT:
            return
        node = self.lease_nodes[grant.level]
        if not grant.seq:
            if grant.serial <= self.seen:
                self._send(sender, self._status(now, node, 0))  # the acknowledgement was lost
            self.advance(now, grant.serial, grant.recent)
            return
        if grant.seq in node.pending_requests:
            self.advance(now, grant.serial, grant.recent)
        if node.on_grant(now, sender, grant.seq, grant.seconds):
            node.next_request_at = now + self.lease / 6 * self.rng.uniform(0.8, 1.0)
            if node.level == MEMBER and self.keeps:
                self.store.lease_end = node.lease_end

    # ---- the coordinator ------------------------------------------------------------------------------

    def _coordinator_name(self, now: float) -> str | None:
        """The process that announces the highest epoch as coordinator."""
        if self.authority.coordinating(now) is not None:
            return self.view.name
        highest = (-1, "")
        for entry in self.view.entries("purges"):
            if entry.value.isdigit() and len(entry.value) < 20 and entry.origin != self.view.name:
                highest = max(highest, (int(entry.value), entry.origin))
        return highest[1] or None

    def _publish(self, now: float) -> None:
        epoch = self.authority.coordinating(now)
        if epoch != self.published_epoch:
            self.published_epoch = epoch
            self.effects.append(Put("purges", str(epoch).encode() if epoch is not None else b""))
            self.origin.resend_now(now)

    def _is_coordinator(self, now: float) -> bool:
        """Whether this process is the coordinator at this moment and its log is settled."""
        settled = self.authority.settled(now)
        self.coordinator.set_epoch(self.authority.coordinating(now) if settled else None, self.seen)
        return settled

    def _propagate(self, now: float) -> None:
        """Sends acknowledgements upward, proposes records and reports complete purges, as they are due."""
        for node in self.lease_nodes[:ROOT]:
            if not node.lagging:
                node.cleared = max(node.cleared, self.seen)
            if node.cleared > self.acknowledged_serials[node.level]:
                for name, until in node.grantors.items():
                    if until > now:
                        self._send(name, self._status(now, node, 0))
                self.acknowledged_serials[node.level] = node.cleared
        if not (
            self.coordinator.queued or self.coordinator.in_flight or self.coordinator.agreed
        ) or not self._is_coordinator(now):
            return
        for scope, serial in self.coordinator.proposals(now):
            self.effects += self.authority.propose(now, "purge", scope, wire.encode(wire.Record(serial)))
        top = self.lease_nodes[ROOT]
        cleared = top.update_clear(now, self.seen) if not top.lagging else top.cleared
        for origin, status in self.coordinator.on_cleared(cleared).items():
            self._send_status(origin, status)

    def _send_status(self, origin: str, status: Told) -> None:
        for at in range(0, len(status.items), wire.MAX_STATUS_ITEMS):
            self._send(origin, Told(status.items[at : at + wire.MAX_STATUS_ITEMS]))
