"""Simulation of hundreds of peers of `aspenrill.fleet.peers` in one process, on a virtual clock and from a
seed.

    sim = PeerSim(seed=1, size=30, loss=0.1)
    sim.run(10.0)                  # seconds
    sim.kill("n7"); sim.run(5.0)
    sim.cut([{"n1", "n2"}])        # a partition: these, and all others
    sim.events["n3"]               # (time, event) of the peer, in order

Datagrams are delayed by `delay`, lost with probability `loss`, and never cross a partition. Exchanges take no
simulated time. A paused process first receives the datagrams that its socket would have queued.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable

from aspenrill.errors import WireTrouble
from aspenrill.fleet.interface import Member, Place, State
from aspenrill.fleet.peers.detector import Timing
from aspenrill.fleet.peers.events import IdentityChanged, LocalNode
from aspenrill.fleet.peers.keys import KeyRing
from aspenrill.fleet.peers.node import PeerNode

KEY = b"k" * 32
SOCKET_QUEUE_LENGTH = 512  # datagrams that the socket of a paused process queues


class PeerSim:
    """A simulated fleet; `now` is the clock that all processes share. `make` builds each peer."""

    def __init__(
        self,
        seed: int,
        size: int,
        loss: float = 0.0,
        delay: float = 0.0005,
        timing: Timing | None = None,
        make: Callable[..., PeerNode] = PeerNode,
        seeds: int = 2,
        together: float = 1.0,
    ) -> None:
        self.rng = random.Random(f"{seed}/sim")
        self.seed, self.now, self.loss, self.delay = seed, 100.0, loss, delay
        self.timing, self.make, self.keys = timing or Timing(), make, KeyRing("sim", [KEY])
        self.seeds = tuple(("10.0.0.1", 1000 + at) for at in range(seeds))
        self.nodes: dict[str, PeerNode] = {}
        self.by_address: dict[tuple[str, int], str] = {}
        self.paused: dict[str, deque] = {}
        self.partition: list[set[str]] = []
        self.unreachable: set[str] = set()  # processes that receive nothing
        # additional delay and loss of a process, in both directions
        self.links: dict[str, tuple[float, float]] = {}
        self.events: dict[str, list[tuple[float, object]]] = {}
        self.bytes: dict[str, int] = {}
        self.repeat = 0.0  # share of datagrams delivered twice
        self.exchange_count = 0
        self._heap: list = []
        self._count = 0
        self._next_due: dict[str, float] = {}
        self._start_count = 0
        for number in range(size):
            self._at(self.rng.random() * together, self.start, f"n{number}", ("10.0.0.1", 1000 + number))

    # ---- processes ------------------------------------------------------------------------------------

    def start(self, name: str, address: tuple[str, int], label: str = "") -> None:
        """Start a process; `label` identifies it in the simulation where its name is not unique."""
        label = label or name
        self._start_count += 1
        rng = random.Random(f"{self.seed}/{label}/{self._start_count}")
        me = LocalNode(
            name, int(self.now * 1000) + self._start_count, rng.randbytes(8), address, Place("s"), self.seeds
        )
        self.nodes[label] = self.make(me, self.keys, self.timing, rng, self.now)
        self.by_address[address] = label
        self.events.setdefault(label, [])
        self.bytes.setdefault(label, 0)
        self._process_output(label)

    def introduce_all(self) -> None:
        """Make all peers known to each other, as in a fleet that has long been running, without joins."""
        records = [node.table.me for node in self.nodes.values()]
        for name, node in self.nodes.items():
            for one in records:
                if one is not node.table.me:
                    node.table.merge(self.now, one)
                    node.table.gossip.drop(one.name)
            node._sync_wait = self.timing.sync_interval
            node._sync_at = self.now + self.rng.random() * node._sync_period()
            node.syncs.clear()
            self._process_output(name)

    def kill(self, name: str) -> PeerNode:
        """Kill a process without notice; return its peer."""
        node = self.nodes.pop(name)
        del self.by_address[node.table.me.host, node.table.me.port]
        self._next_due.pop(name, None)
        return node

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process; datagrams to it are queued."""
        self.paused[name] = deque(maxlen=SOCKET_QUEUE_LENGTH)
        self._at(seconds, self._resume, name)

    def _resume(self, name: str) -> None:
        for address, data in self.paused.pop(name):
            self.nodes[name].on_datagram(self.now, address, data)
        self._tick(name)

    def cut(self, sides: Iterable[set[str]]) -> None:
        """Set a partition into these sides and the remaining processes; an empty list ends it."""
        self.partition = list(sides)

    def separated(self, a: str, b: str) -> bool:
        """Whether two processes are separated by the partition."""
        return any((a in side) != (b in side) for side in self.partition)

    # ---- time -----------------------------------------------------------------------------------------

    def _at(self, delay: float, call: Callable, *args: object) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, args))

    def run(self, seconds: float) -> None:
        """Simulate that many seconds."""
        self.until(lambda: False, seconds, every=seconds)

    def until(self, holds: Callable[[], bool], within: float, every: float = 0.05) -> bool:
        """Simulate until `holds`, checked every `every` seconds; False if it does not within that time."""
        end, next_check = self.now + within, self.now + every
        while self._heap and self._heap[0][0] <= end:
            if self._heap[0][0] >= next_check:
                next_check = self._heap[0][0] + every
                if holds():
                    return True
            due, _, call, args = heapq.heappop(self._heap)
            self.now = max(self.now, due)
            call(*args)
        self.now = end
        return holds()

    def flush(self, name: str) -> None:
        """Process the output of a peer after a call from outside."""
        self._process_output(name)

    def _tick(self, name: str) -> None:
        if name in self.nodes and name not in self.paused:
            self.nodes[name].on_tick(self.now)
            self._process_output(name)

    def _on_due(self, name: str, due: float) -> None:
        if self._next_due.get(name) == due:
            del self._next_due[name]
            self._tick(name)

    def _process_output(self, name: str) -> None:
        node = self.nodes[name]
        self.events[name] += [(self.now, event) for event in node.take_events()]
        for address, data in node.take_datagrams():
            self.bytes[name] += len(data)
            self._send(name, address, data)
        for other, address, boot_id in node.take_syncs():
            self._exchange(name, self.by_address.get(address, other), boot_id)
        due = max(self.now + 0.001, node.next_due())
        known = self._next_due.get(name)
        if known is None or due < known:
            self._next_due[name] = due
            self._at(due - self.now, self._on_due, name, due)

    # ---- network --------------------------------------------------------------------------------------

    def _draw_delay(self, sender: str, to: str) -> float | None:
        delay, loss = self.delay, self.loss
        for name in (sender, to):
            if name in self.links:
                more_delay, more_loss = self.links[name]
                delay, loss = delay + more_delay, 1 - (1 - loss) * (1 - more_loss)
        if loss and self.rng.random() < loss or to in self.unreachable or self.separated(sender, to):
            return None
        return delay * (0.5 + self.rng.random())

    def _send(self, sender: str, address: tuple[str, int], data: bytes) -> None:
        to = self.by_address.get(address)
        if to is None:
            return
        delay = self._draw_delay(sender, to)
        if delay is not None:
            me = self.nodes[sender].table.me
            self._at(delay, self._deliver, to, (me.host, me.port), data)
            if self.repeat and self.rng.random() < self.repeat:
                self._at(3 * delay, self._deliver, to, (me.host, me.port), data)

    def _deliver(self, to: str, address: tuple[str, int], data: bytes) -> None:
        if to in self.paused:
            self.paused[to].append((address, data))
        elif to in self.nodes:
            self.nodes[to].on_datagram(self.now, address, data)
            self._process_output(to)

    def _exchange(self, caller: str, called: str, boot_id: bytes) -> None:
        caller_node, called_node = self.nodes[caller], self.nodes.get(called)
        if (
            called_node is None
            or called in self.paused
            or self.separated(caller, called)
            or {caller, called} & self.unreachable
        ):
            caller_node.sync_failed(self.now)
            return
        nonce = self.rng.randbytes
        ends = {
            True: caller_node.start_exchange(boot_id, nonce(16)),
            False: called_node.accept_exchange(nonce(16)),
        }
        frames = deque([(False, ends[True].start())])
        try:
            while frames:
                to, frame = frames.popleft()
                self.bytes[caller if not to else called] += len(frame)
                frames += [(not to, data) for data in ends[to].receive(self.now, frame)]
        except WireTrouble as why:
            called_node.refuse(why, ("10.0.0.1", 0))
            caller_node.sync_failed(self.now)
            return
        assert ends[True].done and ends[False].done
        self.exchange_count += 1
        self._at(0.0, self._tick, called)
        self._at(0.0, self._tick, caller)

    # ---- observation ----------------------------------------------------------------------------------

    def state(self, observer: str, name: str) -> State | None:
        """Return the state in which one process sees another."""
        member = self.nodes[observer].table.members.get(name)
        return None if member is None else member.state

    def all_alive(self, *names: str) -> bool:
        """Whether each of them (or of all) sees each of them as alive with its current incarnation."""
        who = names or tuple(self.nodes)
        return all(
            (m := self.nodes[a].table.members.get(self.nodes[b].table.me.name)) is not None
            and m.state is State.ALIVE
            and m.incarnation == self.nodes[b].table.me.incarnation
            for a in who
            for b in who
        )

    def deaths(self, since: float = 0.0) -> list[tuple[float, str, str]]:
        """Return (time, observer, name of the process that it took for dead)."""
        return [
            (at, label, event.name)
            for label, calls in self.events.items()
            for at, event in calls
            if at >= since and isinstance(event, Member) and event.state is State.DEAD
        ]

    def name_conflicts(self, label: str) -> list[IdentityChanged]:
        """Return the name conflict events of one process."""
        return [event for _, event in self.events[label] if isinstance(event, IdentityChanged)]
