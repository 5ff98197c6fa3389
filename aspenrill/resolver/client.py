"""The resolver on the hub: puts questions to sockets, keeps answers, joins look-ups for the same."""

from __future__ import annotations

import errno
import random
import socket
import time
from collections.abc import Sequence

from ..net.address import family_of
from ..net.conn import AGAIN
from ..net.connecting import Refused, connect
from ..net.hub import READ, Closed, Hub, Queue, Signal, TimedOut
from ..wire import Malformed, dns
from .cache import Answer, Cache, Lifetimes
from .lookup import Ask, Failed, Heard, Patience, look_up
from .servers import Address, Servers

MOST_OPEN = 16  # questions out at a time, and so descriptors
MOST_STRANGE = 32  # datagrams that answer nothing, after which a stream is used
PORTS = (1024, 65536)
PORT_TRIES = 8
PATIENCE, LIFETIMES = Patience(), Lifetimes()


class Resolver:
    """Look-ups through some name servers. `lookup` and `many` wait, in the task that calls them."""

    def __init__(
        self,
        hub: Hub,
        servers: Sequence[Address],
        patience: Patience = PATIENCE,
        lifetimes: Lifetimes = LIFETIMES,
        rng: random.Random | None = None,
    ) -> None:
        self.hub, self.patience = hub, patience
        self.random = rng or random.SystemRandom()
        self.servers = Servers(servers, self.random)
        self.cache = Cache(lifetimes, self.random)
        self.asked = 0  # questions put to a server, since the start
        self._flights: dict[tuple[dns.Name, int], Signal] = {}
        self._open, self._freed = 0, Signal(hub)

    def lookup(self, name: dns.Name, kind: int, anew: bool = False) -> Answer:
        """Records of a kind under a name; `anew` asks even where the cache knows. Failed where there is no
        answer and none is remembered; a remembered one past its life is marked stale."""
        key = dns.fold(name), kind
        while True:
            now = time.monotonic()
            if not anew and (found := self.cache.fresh(now, name, kind)) is not None:
                return found
            if key not in self._flights:
                break
            try:
                self._flights[key].wait(self.patience.lookup)  # another asks just that
            except TimedOut:
                return self._last(name, kind, "out of time")
            if self.cache.fresh(time.monotonic(), name, kind) is None:
                return self._last(name, kind, "another look-up of it failed")
            anew = False
        flight = self._flights[key] = Signal(self.hub)
        try:
            steps = look_up(now, name, kind, self.servers, self.patience)
            ask = next(steps)
            while True:
                ask = steps.send(self._put(ask))
        except StopIteration as end:
            found = end.value
            return self.cache.store(time.monotonic(), name, kind, found.code, found.records, found.ttl)
        except Failed as why:
            return self._last(name, kind, str(why))
        finally:
            del self._flights[key]
            flight.set()

    def _last(self, name: dns.Name, kind: int, why: str) -> Answer:
        found = self.cache.last(time.monotonic(), name, kind, why)
        if found is None:
            raise Failed(why)
        return found

    def many(self, wanted: Sequence[tuple[dns.Name, int]]) -> list[Answer | Failed]:
        """The answers to many look-ups, in their order, some of them at a time."""
        found: list[Answer | Failed | None] = [None] * len(wanted)
        now, rest = time.monotonic(), []
        for at, (name, kind) in enumerate(wanted):
            found[at] = self.cache.fresh(now, name, kind)
            if found[at] is None:
                rest.append(at)
        ends, rest = Queue(self.hub), rest[::-1]

        def work() -> None:
            try:
                while rest:
                    at = rest.pop()
                    try:
                        found[at] = self.lookup(*wanted[at])
                    except Failed as why:
                        found[at] = why
            finally:
                ends.put(None)

        count = min(MOST_OPEN, len(rest))
        try:
            for _ in range(count):
                self.hub.spawn(work, name="look-up")
            for _ in range(count):
                ends.get()
        finally:
            rest.clear()  # who asked is gone: the workers end after what they have in hand
        return [one if one is not None else Failed("not asked") for one in found]

    # ---- sockets --------------------------------------------------------------------------------------

    def _put(self, ask: Ask) -> Heard:
        """One question, within its time whatever happens."""
        try:
            while self._open >= MOST_OPEN:
                seconds = ask.until - time.monotonic()
                if seconds <= 0:
                    raise TimedOut
                self._freed.wait(seconds)
            self._open += 1
            try:
                self.asked += 1
                number = self.random.randrange(65536)
                query = dns.query(number, ask.name, ask.kind, ask.payload)
                if ask.stream:
                    return Heard(time.monotonic(), self._stream(query, number, ask))
                return self._datagram(query, number, ask)
            finally:
                self._open -= 1
                self._freed.set()
        except TimedOut:
            why = "no answer in time"
        except (Closed, Refused, Malformed) as error:
            why = str(error) or type(error).__name__
        except OSError as error:
            why = error.strerror or str(error)
        return Heard(time.monotonic(), None, ("by stream: " if ask.stream else "") + why)

    def _datagram(self, query: bytes, number: int, ask: Ask) -> Heard:
        with socket.socket(family_of(ask.server.address[0]), socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            self._bind(sock)
            sock.connect(ask.server.address)  # from here on the system passes on this sender's datagrams only
            sock.send(query)
            strange = 0
            try:
                while True:
                    seconds = ask.until - time.monotonic()
                    if seconds <= 0:
                        raise TimedOut
                    try:
                        data = sock.recv(65535)
                    except AGAIN:
                        self.hub.wait_fd(sock.fileno(), READ, seconds)
                        continue
                    try:
                        reply = dns.read_reply(data)
                    except Malformed:
                        reply = None
                    if reply is not None and answers(reply, number, ask):
                        return Heard(time.monotonic(), reply)
                    strange += 1
                    if strange >= MOST_STRANGE:
                        return Heard(time.monotonic(), None, "many answers to other questions", True)
            finally:
                self.hub.forget_fd(sock.fileno())

    def _bind(self, sock: socket.socket) -> None:
        """A port by chance (RFC 5452, 9.2); the system's choice where those drawn are in use."""
        anywhere = "::" if sock.family == socket.AF_INET6 else "0.0.0.0"
        for _ in range(PORT_TRIES):
            try:
                return sock.bind((anywhere, self.random.randrange(*PORTS)))
            except OSError as why:
                if why.errno not in (errno.EADDRINUSE, errno.EACCES):
                    raise

    def _stream(self, query: bytes, number: int, ask: Ask) -> dns.Reply:
        conn = connect(self.hub, ask.server.address, ask.until)
        try:
            conn.write(len(query).to_bytes(2, "big") + query, ask.until)
            reply = dns.read_reply(conn.read(int.from_bytes(conn.read(2, ask.until), "big"), ask.until))
        finally:
            conn.close()
        if not answers(reply, number, ask):
            raise Malformed("answer to another question")
        return reply


def answers(reply: dns.Reply, number: int, ask: Ask) -> bool:
    """Whether a reply is one to this question (RFC 5452, 9.1); servers that read nothing of it may leave the
    question out of an error."""
    if reply.number != number:
        return False
    if reply.question is None:
        return reply.code in (dns.FORMERR, dns.NOTIMP, dns.SERVFAIL, dns.REFUSED)
    return reply.question[1] == ask.kind and dns.fold(reply.question[0]) == dns.fold(ask.name)
