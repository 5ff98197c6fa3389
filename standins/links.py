"""A relay for datagrams and streams between processes on loopback, with the faults of `faults.Weather`.

    relay = Relay(seed)                                   # starts `python -m standins.links SEED`
    door = relay.door("a", ("127.70.1.1", 4711), "127.70.2.1")  # what process a is to advertise
    relay("link", "a", "b", "loss=0.2", "delay_ms=300")   # from a to b; `*` is everybody
    relay("cut", "a", "b")                                # one way
    relay("part", "a,b", "c")                             # a partition
    relay("heal"), relay("clear"), relay("counts")
    relay.close()

Each process has a loopback address of its own: it listens there, and all that it sends comes from there, so
the relay knows the sender by the source's host. Its front door is a port at the relay, for datagrams and for
streams; what comes out of the relay has the sender's front door as its source, of streams its host.

A cut either way stops a stream, which goes on when it is healed, as TCP would. The relay is steered by lines
on one connection and ends with it, so that it never outlives who started it.
"""

from __future__ import annotations

import heapq
import json
import selectors
import socket
import subprocess
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from itertools import count

from .faults import EACH, Link, Weather

Address = tuple[str, int]
PIECE = 16_384  # bytes read from a stream at once
MOST = 262_144  # bytes of a stream that are on the way
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


class Door:
    """A process's two sockets at the relay."""

    def __init__(self, name: str, real: Address, host: str) -> None:
        self.name, self.real = name, real
        for _ in range(50):
            self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.datagrams.bind((host, 0))
            self.address: Address = self.datagrams.getsockname()
            self.streams = socket.socket()
            try:
                self.streams.bind(self.address)
                break
            except OSError:
                self.datagrams.close()
                self.streams.close()
        self.streams.listen(64)
        self.datagrams.setblocking(False)
        self.streams.setblocking(False)


class Pipe:
    """One direction of a stream."""

    def __init__(self, a: str, b: str, source: socket.socket, sink: socket.socket) -> None:
        self.a, self.b, self.source, self.sink = a, b, source, sink
        self.waiting: deque[tuple[float, bytes]] = deque()  # an empty one is the end
        self.size, self.ended, self.full, self.armed = 0, False, False, 0.0


class Streams:
    """The relay's part for streams: pairs of pipes."""

    def __init__(self, select: selectors.DefaultSelector, weather: Weather, later: Callable) -> None:
        self.select, self.weather, self.later = select, weather, later
        self.pairs: dict[tuple[Pipe, Pipe], Address | None] = {}  # with where it is still to be connected

    def begin(self, sender: Door, to: Door, near: socket.socket) -> None:
        """A connection that one has made to another's front door."""
        far = socket.socket()
        far.setblocking(False)
        far.bind((sender.address[0], 0))
        near.setblocking(False)
        pair = Pipe(sender.name, to.name, near, far), Pipe(to.name, sender.name, far, near)
        pair[0].full = True  # until it is connected
        self.pairs[pair] = to.real
        self.look(pair)

    def open(self, pair: tuple[Pipe, Pipe]) -> bool:
        """Nothing is cut, either way."""
        return all(self.weather.open(pipe.a, pipe.b) for pipe in pair)

    def look(self, pair: tuple[Pipe, Pipe]) -> None:
        """Send what is due, then watch what there is to wait for."""
        if pair not in self.pairs:
            return
        way, now = self.open(pair), time.monotonic()
        if way and self.pairs[pair] is not None:
            pair[1].source.connect_ex(self.pairs[pair])
            self.pairs[pair] = None
        try:
            for pipe in pair:
                while way and not pipe.full and pipe.waiting and pipe.waiting[0][0] <= now:
                    self._send(pipe)
        except OSError:
            return self.end(pair)
        if all(pipe.ended and not pipe.waiting for pipe in pair):
            return self.end(pair)
        for pipe, back in (pair, pair[::-1]):
            reads = READ if way and not pipe.ended and pipe.size < MOST else 0
            writes = WRITE if way and back.full else 0
            self._watch(pipe.source, reads | writes, lambda mask, p=pipe: self._ready(pair, p, mask))
            if way and not pipe.full and pipe.waiting and pipe.armed != pipe.waiting[0][0]:
                pipe.armed = pipe.waiting[0][0]
                self.later(pipe.armed, self.look, pair)

    def _send(self, pipe: Pipe) -> None:
        due, data = pipe.waiting[0]
        if not data:
            pipe.waiting.popleft()
            pipe.sink.shutdown(socket.SHUT_WR)
            return
        try:
            sent = pipe.sink.send(data)
        except BlockingIOError:
            pipe.full = True
            return
        pipe.size -= sent
        if sent == len(data):
            pipe.waiting.popleft()
        else:
            pipe.waiting[0] = due, data[sent:]

    def _ready(self, pair: tuple[Pipe, Pipe], pipe: Pipe, mask: int) -> None:
        back = pair[1] if pipe is pair[0] else pair[0]
        try:
            if mask & WRITE:
                if pipe.source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return self.end(pair)
                back.full = False
            if mask & READ and not pipe.ended:
                data = pipe.source.recv(PIECE)
                now = time.monotonic()
                wait = self.weather.piece(now, pipe.a, pipe.b, len(data))
                pipe.waiting.append((max(now + wait, pipe.waiting[-1][0] if pipe.waiting else 0.0), data))
                pipe.size += len(data)
                pipe.ended = not data
        except BlockingIOError:
            pass
        except OSError:
            return self.end(pair)
        self.look(pair)

    def _watch(self, sock: socket.socket, mask: int, call: Callable) -> None:
        known = sock in self.select.get_map()
        if known and mask:
            self.select.modify(sock, mask, call)
        elif known:
            self.select.unregister(sock)
        elif mask:
            self.select.register(sock, mask, call)

    def end(self, pair: tuple[Pipe, Pipe]) -> None:
        """Both connections are closed."""
        self.pairs.pop(pair, None)
        for pipe in pair:
            self._watch(pipe.source, 0, None)
            pipe.source.close()


class Loop:
    """The relay's process."""

    def __init__(self, seed: int) -> None:
        self.weather = Weather(seed)
        self.select = selectors.DefaultSelector()
        self.doors: dict[str, Door] = {}
        self.hosts: dict[str, Door] = {}
        self.counts: Counter[str] = Counter()
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._number = count()
        self.streams = Streams(self.select, self.weather, self.later)

    def later(self, due: float, call: Callable, *args) -> None:
        """Call then."""
        heapq.heappush(self._heap, (due, next(self._number), call, args))

    def run(self, control: socket.socket) -> None:
        """Until the control connection ends."""
        self.control, self.rest = control, b""
        self.select.register(control, READ, self._steer)
        while self.control is not None:
            wait = self._heap[0][0] - time.monotonic() if self._heap else None
            for key, mask in self.select.select(None if wait is None else max(0.0, wait)):
                key.data(mask)
            while self._heap and self._heap[0][0] <= time.monotonic():
                _, _, call, args = heapq.heappop(self._heap)
                call(*args)

    def _steer(self, mask: int) -> None:
        data = self.control.recv(65_536)
        if not data:
            self.control = None
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            try:
                answer = "ok " + (self._obey(*line.decode().split()) or "")
            except (ValueError, KeyError, TypeError, OSError) as error:
                answer = f"no {error}"
            self.control.sendall(answer.encode() + b"\n")

    def _obey(self, what: str, *words: str) -> str | None:
        weather = self.weather
        if what == "door":
            name, host, port, own = words
            return self._open(name, (host, int(port)), own)
        if what == "counts":
            return json.dumps(self.counts)
        names = words[:2] if what in ("link", "cut") else [n for group in words for n in group.split(",")]
        for name in names:
            if name not in self.doors and (name != EACH or what == "part"):
                raise ValueError(f"{name}: no such process")
        if what == "link":
            weather.link(words[0], words[1], Link.read(words[2:]))
        elif what == "cut":
            weather.cut(*words)
        elif what == "part":
            weather.part(*(word.split(",") for word in words))
        elif what in ("heal", "clear"):
            getattr(weather, what)(*words)
        else:
            raise ValueError(f"{what}: no such command")
        for pair in list(self.streams.pairs):
            self.streams.look(pair)

    def _open(self, name: str, real: Address, host: str) -> str:
        door = Door(name, real, host)
        self.doors[name] = self.hosts[real[0]] = door
        self.select.register(door.datagrams, READ, lambda mask: self._datagrams(door))
        self.select.register(door.streams, READ, lambda mask: self._accept(door))
        return f"{host} {door.address[1]}"

    def _datagrams(self, to: Door) -> None:
        for _ in range(64):
            try:
                data, source = to.datagrams.recvfrom(65_535)
            except BlockingIOError:
                return
            sender = self.hosts.get(source[0])
            if sender is None:
                self.counts["stranger"] += 1
                continue
            now = time.monotonic()
            copies = self.weather.fate(now, sender.name, to.name, len(data))
            self.counts["datagrams"] += 1
            self.counts["lost"] += not copies
            self.counts["repeated"] += len(copies) > 1
            for delay in copies:
                if delay:
                    self.later(now + delay, self._forward, sender, to, data)
                else:
                    self._forward(sender, to, data)

    def _forward(self, sender: Door, to: Door, data: bytes) -> None:
        try:
            sender.datagrams.sendto(data, to.real)
        except OSError:
            self.counts["refused"] += 1

    def _accept(self, to: Door) -> None:
        near, source = to.streams.accept()
        sender = self.hosts.get(source[0])
        if sender is None:
            self.counts["stranger"] += 1
            near.close()
            return
        self.counts["streams"] += 1
        self.streams.begin(sender, to, near)


class Relay:
    """The relay as its starter sees it: a command is answered with a line, or raises ValueError."""

    def __init__(self, seed: int) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            self.process = subprocess.Popen([sys.executable, "-m", "standins.links", str(seed), str(port)])
            listener.settimeout(30)
            self.control, _ = listener.accept()
        self.control.settimeout(30)
        self.lines = self.control.makefile("r")

    def __call__(self, *words: str) -> str:
        self.control.sendall(" ".join(words).encode() + b"\n")
        sign, _, text = self.lines.readline().rstrip("\n").partition(" ")
        if sign != "ok":
            raise ValueError(text)
        return text

    def door(self, name: str, real: Address, host: str) -> Address:
        """A front door at this host for the process that listens at the real address."""
        found, port = self("door", name, real[0], str(real[1]), host).split()
        return found, int(port)

    def counts(self) -> dict[str, int]:
        """Datagrams, of them lost and repeated; streams; what came from strangers."""
        return json.loads(self("counts"))

    def close(self) -> None:
        """Its process ends with the connection."""
        self.lines.close()
        self.control.close()
        self.process.wait(30)


if __name__ == "__main__":
    Loop(int(sys.argv[1])).run(socket.create_connection(("127.0.0.1", int(sys.argv[2]))))
