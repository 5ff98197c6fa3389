"""The simulation of `cluster` with the program's own peer protocol in place of the membership oracle.

    world = PeeredCluster(seed, names, make, checks=[...])      # as Cluster; `force_state` has no effect here

Each datagram gets its own delay or loss from `world.net`. An exchange takes no simulated time and is cut
short when the link fails. `proc.peers` is the peer state machine of a process.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from aspenrill.errors import NameTrouble, WireTrouble
from aspenrill.fleet.interface import Component, Effect, Entry, Member, Place, Post, Put
from aspenrill.fleet.peers.detector import Timing
from aspenrill.fleet.peers.events import Address, Event, IdentityChanged, LocalNode, MessageReceived
from aspenrill.fleet.peers.keys import KeyRing
from aspenrill.fleet.peers.node import PeerNode

from .cluster import Cluster
from .proc import Proc

DEFAULT_PACE = Timing()
SEED_COUNT = 3  # the first processes are the seeds
KEYS = KeyRing("cluster", [b"k" * 32])


class PeeredProc(Proc):
    """A process with a peer state machine of its own."""

    peers: PeerNode
    trouble: NameTrouble | None = None

    def members(self) -> Mapping[str, Member]:
        """See View."""
        return self.peers.table.members

    def entry(self, origin: str, topic: str) -> Entry | None:
        """See View."""
        return self.peers.shared.entry(origin, topic)

    def entries(self, topic: str) -> Iterable[Entry]:
        """See View."""
        return self.peers.shared.entries(topic)


class PeeredCluster(Cluster):
    """A Cluster whose membership comes from the peer protocol."""

    def __init__(self, *args, timing: Timing = DEFAULT_PACE, **more) -> None:
        self.timing, self.by_address = timing, {}
        super().__init__(*args, **more)

    def new(self, name: str, place: Place) -> PeeredProc:
        """Create a process that has not been started yet, with an address of its own."""
        number = len(self.by_address)
        address = f"127.1.{number // 250}.{number % 250 + 1}", 4000
        self.by_address[address] = proc = PeeredProc(self, name, place)
        proc.address = address
        return proc

    def _join(self, proc: PeeredProc) -> None:
        rng = self.net.random_stream(proc.name, "", "peers")
        seeds = tuple(list(self.by_address)[:SEED_COUNT])
        me = LocalNode(proc.name, proc.incarnation, rng.randbytes(8), proc.address, proc.place, seeds)
        proc.peers, proc.trouble = PeerNode(me, KEYS, self.timing, rng, proc.clock()), None
        proc.peers.take_events()  # drop the events about itself

    def _check_membership(self, proc: PeeredProc) -> None:
        proc.peers.on_tick(proc.clock())
        wait = max(0.01, (proc.peers.next_due() - proc.clock()) / proc.clock_rate)
        self._at(wait, proc.name, self._check_membership, proc)
        self._flush_output(proc)

    def _announce_leave(self, proc: PeeredProc) -> None:
        proc.peers.leave(proc.clock())
        self._flush_output(proc)

    def _put(self, proc: PeeredProc, put: Put) -> None:
        proc.peers.put(proc.clock(), put.topic, put.value)

    def _post(self, proc: PeeredProc, part: str, post: Post) -> None:
        if post.to == proc.name:
            self._at(
                0.0, proc.name, self._deliver_message, proc, part, proc.name, proc.incarnation, post.body
            )
        else:
            proc.peers.post(proc.clock(), post.to, part, post.body)

    def _apply_effects(self, proc: PeeredProc, part: Component, effects: Sequence[Effect]) -> None:
        super()._apply_effects(proc, part, effects)
        self._send_datagrams(proc)

    def _receive_datagram(self, proc: PeeredProc, source: Address, data: bytes) -> None:
        proc.peers.on_datagram(proc.clock(), source, data)
        self._flush_output(proc)

    def _send_datagrams(self, proc: PeeredProc) -> None:
        for address, data in proc.peers.take_datagrams():
            other = self.by_address.get(address)
            if other is None or not other.up:
                continue
            for delay in self.net.datagram_delays(self.now, proc.name, other.name, len(data)):
                self._at(delay, other.name, self._receive_datagram, other, proc.address, data)

    def _flush_output(self, proc: PeeredProc) -> None:
        self._send_datagrams(proc)
        for _, address, boot_id in proc.peers.take_syncs():
            self._at(self._rng.random() * 0.05, proc.name, self._run_exchange, proc, address, boot_id)
        for event in proc.peers.take_events():
            if proc.paused:
                proc.queued_calls.append((self._handle_event, (proc, event)))
            elif proc.up:
                self._handle_event(proc, event)

    def _handle_event(self, proc: PeeredProc, event: Event) -> None:
        if isinstance(event, Member):
            self._notify_member(proc, event)
        elif isinstance(event, Entry):
            self._notify_entry(proc, event)
        elif isinstance(event, MessageReceived):
            self._deliver_message(proc, event.component, event.sender, event.incarnation, event.body)
        elif isinstance(event, IdentityChanged):
            proc.incarnation, proc.trouble = event.incarnation, event.trouble

    def _run_exchange(self, proc: PeeredProc, address: Address, boot_id: bytes) -> None:
        other = self.by_address.get(address)
        if other is None or not self._can_exchange(proc, other):
            return
        nonce = self._rng.randbytes
        sides = proc.peers.start_exchange(boot_id, nonce(16)), other.peers.accept_exchange(nonce(16))
        frames = [(1, sides[0].start())]
        try:
            while frames and self._can_exchange(proc, other):
                to, frame = frames.pop(0)
                frames += [(1 - to, more) for more in sides[to].receive((proc, other)[to].clock(), frame)]
        except WireTrouble:
            pass  # the other process has been restarted since, which is legal
        self._flush_output(other)
        self._flush_output(proc)
