"""The world of `cluster` with the program's own peers in place of its oracle, on the virtual clock.

    world = PeeredCluster(seed, names, make, checks=[...])      # as Cluster; `misjudge` has no effect here

Datagrams go through the weather one by one. A whole exchange happens at one moment, and breaks off where the
link does. `proc.peers` is a process's machine.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from aspenrill.errors import NameTrouble, WireTrouble
from aspenrill.fleet.interface import Effect, Entry, Member, Part, Place, Post, Put
from aspenrill.fleet.peers.detector import Pace
from aspenrill.fleet.peers.events import Address, Event, Posted, Renamed, Self
from aspenrill.fleet.peers.keys import Keys
from aspenrill.fleet.peers.node import Peers

from .cluster import Cluster
from .proc import Proc

PACE = Pace()
SEEDS = 3  # the first so many processes are the seeds
KEYS = Keys("cluster", [b"k" * 32])


class PeeredProc(Proc):
    """A process with a machine of its own."""

    peers: Peers
    trouble: NameTrouble | None = None

    def members(self) -> Mapping[str, Member]:
        """See View."""
        return self.peers.table.members

    def entry(self, origin: str, topic: str) -> Entry | None:
        """See View."""
        return self.peers.board.entry(origin, topic)

    def entries(self, topic: str) -> Iterable[Entry]:
        """See View."""
        return self.peers.board.entries(topic)


class PeeredCluster(Cluster):
    """See above."""

    def __init__(self, *args, pace: Pace = PACE, **more) -> None:
        self.pace, self.where = pace, {}
        super().__init__(*args, **more)

    def new(self, name: str, place: Place) -> PeeredProc:
        """A process that has not run yet, at an address of its own."""
        number = len(self.where)
        address = f"127.1.{number // 250}.{number % 250 + 1}", 4000
        self.where[address] = proc = PeeredProc(self, name, place)
        proc.address = address
        return proc

    def _arrive(self, proc: PeeredProc) -> None:
        rng = self.net.draw(proc.name, "", "peers")
        seeds = tuple(list(self.where)[:SEEDS])
        me = Self(proc.name, proc.incarnation, rng.randbytes(8), proc.address, proc.place, seeds)
        proc.peers, proc.trouble = Peers(me, KEYS, self.pace, rng, proc.clock()), None
        proc.peers.take_events()  # of itself

    def _look(self, proc: PeeredProc) -> None:
        proc.peers.on_tick(proc.clock())
        wait = max(0.01, (proc.peers.next_due() - proc.clock()) / proc.rate)
        self._at(wait, proc.name, self._look, proc)
        self._flush(proc)

    def _goodbye(self, proc: PeeredProc) -> None:
        proc.peers.leave(proc.clock())
        self._flush(proc)

    def _put(self, proc: PeeredProc, put: Put) -> None:
        proc.peers.put(proc.clock(), put.topic, put.value)

    def _post(self, proc: PeeredProc, part: str, post: Post) -> None:
        if post.to == proc.name:
            self._at(0.0, proc.name, self._hand, proc, part, proc.name, proc.incarnation, post.body)
        else:
            proc.peers.post(proc.clock(), post.to, part, post.body)

    def _carry(self, proc: PeeredProc, part: Part, effects: Sequence[Effect]) -> None:
        super()._carry(proc, part, effects)
        self._send(proc)

    def _datagram(self, proc: PeeredProc, source: Address, data: bytes) -> None:
        proc.peers.on_datagram(proc.clock(), source, data)
        self._flush(proc)

    def _send(self, proc: PeeredProc) -> None:
        for address, data in proc.peers.take_out():
            other = self.where.get(address)
            if other is None or not other.up:
                continue
            for delay in self.net.fate(self.now, proc.name, other.name, len(data)):
                self._at(delay, other.name, self._datagram, other, proc.address, data)

    def _flush(self, proc: PeeredProc) -> None:
        self._send(proc)
        for _, address, life in proc.peers.take_syncs():
            self._at(self._rng.random() * 0.05, proc.name, self._exchange, proc, address, life)
        for event in proc.peers.take_events():
            if proc.paused:
                proc.waiting.append((self._event, (proc, event)))
            elif proc.up:
                self._event(proc, event)

    def _event(self, proc: PeeredProc, event: Event) -> None:
        if isinstance(event, Member):
            self._tell_member(proc, event)
        elif isinstance(event, Entry):
            self._tell_entry(proc, event)
        elif isinstance(event, Posted):
            self._hand(proc, event.part, event.sender, event.incarnation, event.body)
        elif isinstance(event, Renamed):
            proc.incarnation, proc.trouble = event.incarnation, event.trouble

    def _exchange(self, proc: PeeredProc, address: Address, life: bytes) -> None:
        other = self.where.get(address)
        if other is None or not self._reached(proc, other):
            return
        nonce = self._rng.randbytes
        sides = proc.peers.calling(life, nonce(16)), other.peers.called(nonce(16))
        frames = [(1, sides[0].greet())]
        try:
            while frames and self._reached(proc, other):
                to, frame = frames.pop(0)
                frames += [(1 - to, more) for more in sides[to].take((proc, other)[to].clock(), frame)]
        except WireTrouble:
            pass  # a former life was called, as may be
        self._flush(other)
        self._flush(proc)
