"""Machines of `aspenrill.fleet.peers` by the hundred in one process, on a virtual clock; all by a seed.

    sim = PeerSim(seed=1, size=30, loss=0.1)
    sim.run(10.0)                  # seconds
    sim.kill("n7"); sim.run(5.0)
    sim.cut([{"n1", "n2"}])        # a partition: those named, and the rest
    sim.calls["n3"]                # (time, event) of each, in order

Datagrams take `delay`, are lost by `loss`, and cross no cut. Whole exchanges take place at once where
nothing is cut. A paused process finds what its socket would have kept, then goes on.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable

from aspenrill.errors import WireTrouble
from aspenrill.fleet.interface import Member, Place, State
from aspenrill.fleet.peers.detector import Pace
from aspenrill.fleet.peers.events import Renamed, Self
from aspenrill.fleet.peers.keys import Keys
from aspenrill.fleet.peers.node import Peers

KEY = b"k" * 32
KEPT = 512  # datagrams that a paused process's socket keeps


class PeerSim:
    """A fleet; `now` is its clock, which all processes share. `make` builds each machine."""

    def __init__(
        self,
        seed: int,
        size: int,
        loss: float = 0.0,
        delay: float = 0.0005,
        pace: Pace | None = None,
        make: Callable[..., Peers] = Peers,
        seeds: int = 2,
        together: float = 1.0,
    ) -> None:
        self.rng = random.Random(f"{seed}/sim")
        self.seed, self.now, self.loss, self.delay = seed, 100.0, loss, delay
        self.pace, self.make, self.keys = pace or Pace(), make, Keys("sim", [KEY])
        self.seeds = tuple(("10.0.0.1", 1000 + at) for at in range(seeds))
        self.nodes: dict[str, Peers] = {}
        self.at: dict[tuple[str, int], str] = {}
        self.paused: dict[str, deque] = {}
        self.sides: list[set[str]] = []
        self.deaf: set[str] = set()  # nothing reaches them
        self.links: dict[str, tuple[float, float]] = {}  # delay and loss, of all to and from one process
        self.calls: dict[str, list[tuple[float, object]]] = {}
        self.bytes: dict[str, int] = {}
        self.repeat = 0.0  # share of datagrams that come twice
        self.exchanged = 0
        self._heap: list = []
        self._count = 0
        self._due: dict[str, float] = {}
        self._lives = 0
        for number in range(size):
            self._at(self.rng.random() * together, self.start, f"n{number}", ("10.0.0.1", 1000 + number))

    # ---- processes ------------------------------------------------------------------------------------

    def start(self, name: str, address: tuple[str, int], label: str = "") -> None:
        """One process; `label` is how the simulation calls it where that is not its name."""
        label = label or name
        self._lives += 1
        rng = random.Random(f"{self.seed}/{label}/{self._lives}")
        me = Self(name, int(self.now * 1000) + self._lives, rng.randbytes(8), address, Place("s"), self.seeds)
        self.nodes[label] = self.make(me, self.keys, self.pace, rng, self.now)
        self.at[address] = label
        self.calls.setdefault(label, [])
        self.bytes.setdefault(label, 0)
        self._drain(label)

    def acquaint(self) -> None:
        """All know each other as if they had long been told: a large fleet without the work of joining."""
        news = [node.table.me for node in self.nodes.values()]
        for name, node in self.nodes.items():
            for one in news:
                if one is not node.table.me:
                    node.table.merge(self.now, one)
                    node.table.rumours.drop(one.name)
            node._sync_wait = self.pace.sync
            node._sync_at = self.now + self.rng.random() * node._sync_period()
            node.syncs.clear()
            self._drain(name)

    def kill(self, name: str) -> Peers:
        """Gone without a word."""
        node = self.nodes.pop(name)
        del self.at[node.table.me.host, node.table.me.port]
        self._due.pop(name, None)
        return node

    def pause(self, name: str, seconds: float) -> None:
        """It stands still; what comes is kept."""
        self.paused[name] = deque(maxlen=KEPT)
        self._at(seconds, self._go_on, name)

    def _go_on(self, name: str) -> None:
        for address, data in self.paused.pop(name):
            self.nodes[name].on_datagram(self.now, address, data)
        self._tick(name)

    def cut(self, sides: Iterable[set[str]]) -> None:
        """A partition into these and the rest; none ends it."""
        self.sides = list(sides)

    def apart(self, a: str, b: str) -> bool:
        """Whether a cut is between two."""
        return any((a in side) != (b in side) for side in self.sides)

    # ---- time -----------------------------------------------------------------------------------------

    def _at(self, delay: float, call: Callable, *args: object) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, args))

    def run(self, seconds: float) -> None:
        """Let that much time pass."""
        self.until(lambda: False, seconds, every=seconds)

    def until(self, holds: Callable[[], bool], within: float, every: float = 0.05) -> bool:
        """Go on until it holds, looked at every so often; False if it does not within that time."""
        end, look = self.now + within, self.now + every
        while self._heap and self._heap[0][0] <= end:
            if self._heap[0][0] >= look:
                look = self._heap[0][0] + every
                if holds():
                    return True
            due, _, call, args = heapq.heappop(self._heap)
            self.now = max(self.now, due)
            call(*args)
        self.now = end
        return holds()

    def touch(self, name: str) -> None:
        """Carry on after something was asked of a machine from outside."""
        self._drain(name)

    def _tick(self, name: str) -> None:
        if name in self.nodes and name not in self.paused:
            self.nodes[name].on_tick(self.now)
            self._drain(name)

    def _ring(self, name: str, due: float) -> None:
        if self._due.get(name) == due:
            del self._due[name]
            self._tick(name)

    def _drain(self, name: str) -> None:
        node = self.nodes[name]
        self.calls[name] += [(self.now, event) for event in node.take_events()]
        for address, data in node.take_out():
            self.bytes[name] += len(data)
            self._carry(name, address, data)
        for other, address, life in node.take_syncs():
            self._exchange(name, self.at.get(address, other), life)
        due = max(self.now + 0.001, node.next_due())
        known = self._due.get(name)
        if known is None or due < known:
            self._due[name] = due
            self._at(due - self.now, self._ring, name, due)

    # ---- what is carried ------------------------------------------------------------------------------

    def _fate(self, sender: str, to: str) -> float | None:
        delay, loss = self.delay, self.loss
        for name in (sender, to):
            if name in self.links:
                more, lose = self.links[name]
                delay, loss = delay + more, 1 - (1 - loss) * (1 - lose)
        if loss and self.rng.random() < loss or to in self.deaf or self.apart(sender, to):
            return None
        return delay * (0.5 + self.rng.random())

    def _carry(self, sender: str, address: tuple[str, int], data: bytes) -> None:
        to = self.at.get(address)
        if to is None:
            return
        delay = self._fate(sender, to)
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
            self._drain(to)

    def _exchange(self, caller: str, called: str, life: bytes) -> None:
        mine, theirs = self.nodes[caller], self.nodes.get(called)
        if (
            theirs is None
            or called in self.paused
            or self.apart(caller, called)
            or {caller, called} & self.deaf
        ):
            mine.sync_failed(self.now)
            return
        nonce = self.rng.randbytes
        ends = {True: mine.calling(life, nonce(16)), False: theirs.called(nonce(16))}
        frames = deque([(False, ends[True].greet())])
        try:
            while frames:
                to, frame = frames.popleft()
                self.bytes[caller if not to else called] += len(frame)
                frames += [(not to, data) for data in ends[to].take(self.now, frame)]
        except WireTrouble as why:
            theirs.refuse(why, ("10.0.0.1", 0))
            mine.sync_failed(self.now)
            return
        assert ends[True].over and ends[False].over
        self.exchanged += 1
        self._at(0.0, self._tick, called)
        self._at(0.0, self._tick, caller)

    # ---- what is seen ---------------------------------------------------------------------------------

    def state(self, observer: str, name: str) -> State | None:
        """What one takes another for."""
        member = self.nodes[observer].table.members.get(name)
        return None if member is None else member.state

    def all_alive(self, *names: str) -> bool:
        """Each of them (or of all) takes each of them for alive, in its present life."""
        who = names or tuple(self.nodes)
        return all(
            (m := self.nodes[a].table.members.get(self.nodes[b].table.me.name)) is not None
            and m.state is State.ALIVE
            and m.incarnation == self.nodes[b].table.me.incarnation
            for a in who
            for b in who
        )

    def deaths(self, since: float = 0.0) -> list[tuple[float, str, str]]:
        """(time, observer, whom it took for dead)."""
        return [
            (at, label, event.name)
            for label, calls in self.calls.items()
            for at, event in calls
            if at >= since and isinstance(event, Member) and event.state is State.DEAD
        ]

    def troubles(self, label: str) -> list[Renamed]:
        """What one had to do with its name."""
        return [event for _, event in self.calls[label] if isinstance(event, Renamed)]
