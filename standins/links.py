"""A relay for datagrams and streams between processes on loopback, with the faults of `faults.NetworkFaults`.

    relay = Relay(seed)                                   # starts `python -m standins.links SEED PORT`
    address = relay.open_address("a", ("127.70.1.1", 4711), "127.70.2.1")  # the address that process a
    advertises relay("link", "a", "b", "loss=0.2", "delay_ms=300")   # from a to b; `*` is every process
    relay("cut", "a", "b")                                # one way relay("partition", "a,b", "c")
    # a partition relay("heal"), relay("clear"), relay("counts") relay.close()

Each process listens and sends on a loopback address of its own, so the relay knows the sender by the source
host. Its address at the relay is one port for UDP and TCP. Datagrams leave the relay from the sender's
address there; streams leave it from the same host.

A cut in either direction stalls a stream until it is healed, as with TCP. The relay is controlled by lines on
one connection and ends with it, so that it never outlives the process that started it.
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

from .faults import ANY, Link, NetworkFaults

Address = tuple[str, int]
READ_SIZE = 16_384  # bytes read from a stream at a time
MAX_IN_FLIGHT = 262_144  # bytes of one direction of a stream held by the relay
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE


class Endpoint:
    """The UDP and TCP sockets of one process at the relay."""

    def __init__(self, name: str, target: Address, host: str) -> None:
        self.name, self.target = name, target
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
        self.waiting: deque[tuple[float, bytes]] = deque()  # due time and data; empty data is the end
        self.size, self.ended, self.sink_full, self.timer_due = 0, False, False, 0.0


class StreamRelay:
    """Relays streams, each as a pair of pipes."""

    def __init__(self, select: selectors.DefaultSelector, faults: NetworkFaults, call_at: Callable) -> None:
        self.select, self.faults, self.call_at = select, faults, call_at
        self.pairs: dict[tuple[Pipe, Pipe], Address | None] = {}  # the address still to be connected to

    def add_connection(self, sender: Endpoint, to: Endpoint, client_side: socket.socket) -> None:
        """Relay a new connection from one process to another."""
        target_side = socket.socket()
        target_side.setblocking(False)
        target_side.bind((sender.address[0], 0))
        client_side.setblocking(False)
        pair = (
            Pipe(sender.name, to.name, client_side, target_side),
            Pipe(to.name, sender.name, target_side, client_side),
        )
        pair[0].sink_full = True  # until the connection is established
        self.pairs[pair] = to.target
        self.update(pair)

    def open(self, pair: tuple[Pipe, Pipe]) -> bool:
        """Whether neither direction is cut."""
        return all(self.faults.open(pipe.a, pipe.b) for pipe in pair)

    def update(self, pair: tuple[Pipe, Pipe]) -> None:
        """Send the data that is due, then register the events and the timer to wait for."""
        if pair not in self.pairs:
            return
        passable, now = self.open(pair), time.monotonic()
        if passable and self.pairs[pair] is not None:
            pair[1].source.connect_ex(self.pairs[pair])
            self.pairs[pair] = None
        try:
            for pipe in pair:
                while passable and not pipe.sink_full and pipe.waiting and pipe.waiting[0][0] <= now:
                    self._send(pipe)
        except OSError:
            return self.end(pair)
        if all(pipe.ended and not pipe.waiting for pipe in pair):
            return self.end(pair)
        for pipe, back in (pair, pair[::-1]):
            reads = READ if passable and not pipe.ended and pipe.size < MAX_IN_FLIGHT else 0
            writes = WRITE if passable and back.sink_full else 0
            self._watch(pipe.source, reads | writes, lambda mask, p=pipe: self._on_ready(pair, p, mask))
            if passable and not pipe.sink_full and pipe.waiting and pipe.timer_due != pipe.waiting[0][0]:
                pipe.timer_due = pipe.waiting[0][0]
                self.call_at(pipe.timer_due, self.update, pair)

    def _send(self, pipe: Pipe) -> None:
        due, data = pipe.waiting[0]
        if not data:
            pipe.waiting.popleft()
            pipe.sink.shutdown(socket.SHUT_WR)
            return
        try:
            sent = pipe.sink.send(data)
        except BlockingIOError:
            pipe.sink_full = True
            return
        pipe.size -= sent
        if sent == len(data):
            pipe.waiting.popleft()
        else:
            pipe.waiting[0] = due, data[sent:]

    def _on_ready(self, pair: tuple[Pipe, Pipe], pipe: Pipe, mask: int) -> None:
        back = pair[1] if pipe is pair[0] else pair[0]
        try:
            if mask & WRITE:
                if pipe.source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return self.end(pair)
                back.sink_full = False
            if mask & READ and not pipe.ended:
                data = pipe.source.recv(READ_SIZE)
                now = time.monotonic()
                wait = self.faults.stream_delay(now, pipe.a, pipe.b, len(data))
                pipe.waiting.append((max(now + wait, pipe.waiting[-1][0] if pipe.waiting else 0.0), data))
                pipe.size += len(data)
                pipe.ended = not data
        except BlockingIOError:
            pass
        except OSError:
            return self.end(pair)
        self.update(pair)

    def _watch(self, sock: socket.socket, mask: int, call: Callable) -> None:
        known = sock in self.select.get_map()
        if known and mask:
            self.select.modify(sock, mask, call)
        elif known:
            self.select.unregister(sock)
        elif mask:
            self.select.register(sock, mask, call)

    def end(self, pair: tuple[Pipe, Pipe]) -> None:
        """Close both connections."""
        self.pairs.pop(pair, None)
        for pipe in pair:
            self._watch(pipe.source, 0, None)
            pipe.source.close()


class RelayLoop:
    """The event loop of the relay process."""

    def __init__(self, seed: int) -> None:
        self.faults = NetworkFaults(seed)
        self.select = selectors.DefaultSelector()
        self.endpoints: dict[str, Endpoint] = {}
        self.by_host: dict[str, Endpoint] = {}
        self.counts: Counter[str] = Counter()
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._number = count()
        self.streams = StreamRelay(self.select, self.faults, self.call_at)

    def call_at(self, due: float, call: Callable, *args) -> None:
        """Schedule a call at a monotonic time."""
        heapq.heappush(self._heap, (due, next(self._number), call, args))

    def run(self, control: socket.socket) -> None:
        """Run until the control connection ends."""
        self.control, self.partial_line = control, b""
        self.select.register(control, READ, self._on_control)
        while self.control is not None:
            wait = self._heap[0][0] - time.monotonic() if self._heap else None
            for key, mask in self.select.select(None if wait is None else max(0.0, wait)):
                key.data(mask)
            while self._heap and self._heap[0][0] <= time.monotonic():
                _, _, call, args = heapq.heappop(self._heap)
                call(*args)

    def _on_control(self, mask: int) -> None:
        data = self.control.recv(65_536)
        if not data:
            self.control = None
            return
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            try:
                answer = "ok " + (self._execute(*line.decode().split()) or "")
            except (ValueError, KeyError, TypeError, OSError) as error:
                answer = f"no {error}"
            self.control.sendall(answer.encode() + b"\n")

    def _execute(self, what: str, *words: str) -> str | None:
        faults = self.faults
        if what == "open":
            name, host, port, own = words
            return self._add_endpoint(name, (host, int(port)), own)
        if what == "counts":
            return json.dumps(self.counts)
        names = words[:2] if what in ("link", "cut") else [n for group in words for n in group.split(",")]
        for name in names:
            if name not in self.endpoints and (name != ANY or what == "partition"):
                raise ValueError(f"{name}: no such process")
        if what == "link":
            faults.link(words[0], words[1], Link.read(words[2:]))
        elif what == "cut":
            faults.cut(*words)
        elif what == "partition":
            faults.partition(*(word.split(",") for word in words))
        elif what in ("heal", "clear"):
            getattr(faults, what)(*words)
        else:
            raise ValueError(f"{what}: no such command")
        for pair in list(self.streams.pairs):
            self.streams.update(pair)

    def _add_endpoint(self, name: str, target: Address, host: str) -> str:
        endpoint = Endpoint(name, target, host)
        self.endpoints[name] = self.by_host[target[0]] = endpoint
        self.select.register(endpoint.datagrams, READ, lambda mask: self._datagrams(endpoint))
        self.select.register(endpoint.streams, READ, lambda mask: self._accept(endpoint))
        return f"{host} {endpoint.address[1]}"

    def _datagrams(self, to: Endpoint) -> None:
        for _ in range(64):
            try:
                data, source = to.datagrams.recvfrom(65_535)
            except BlockingIOError:
                return
            sender = self.by_host.get(source[0])
            if sender is None:
                self.counts["stranger"] += 1
                continue
            now = time.monotonic()
            copies = self.faults.datagram_delays(now, sender.name, to.name, len(data))
            self.counts["datagrams"] += 1
            self.counts["lost"] += not copies
            self.counts["repeated"] += len(copies) > 1
            for delay in copies:
                if delay:
                    self.call_at(now + delay, self._forward, sender, to, data)
                else:
                    self._forward(sender, to, data)

    def _forward(self, sender: Endpoint, to: Endpoint, data: bytes) -> None:
        try:
            sender.datagrams.sendto(data, to.target)
        except OSError:
            self.counts["refused"] += 1

    def _accept(self, to: Endpoint) -> None:
        client_side, source = to.streams.accept()
        sender = self.by_host.get(source[0])
        if sender is None:
            self.counts["stranger"] += 1
            client_side.close()
            return
        self.counts["streams"] += 1
        self.streams.add_connection(sender, to, client_side)


class Relay:
    """Starts and controls the relay process: a command returns its answer, or raises ValueError."""

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

    def open_address(self, name: str, target: Address, host: str) -> Address:
        """Open an address at `host` on the relay for the process that listens at `real`."""
        found, port = self("open", name, target[0], str(target[1]), host).split()
        return found, int(port)

    def counts(self) -> dict[str, int]:
        """Return the counts of datagrams, lost and repeated ones, streams, and unknown senders."""
        return json.loads(self("counts"))

    def close(self) -> None:
        """Close the control connection, which ends the relay process."""
        self.lines.close()
        self.control.close()
        self.process.wait(30)


if __name__ == "__main__":
    RelayLoop(int(sys.argv[1])).run(socket.create_connection(("127.0.0.1", int(sys.argv[2]))))
