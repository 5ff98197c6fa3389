"""The resolver on the hub: sends queries, caches answers, and coalesces look-ups for the same records."""

from __future__ import annotations

import errno
import random
import socket
import time
from collections.abc import Sequence

from ..net.address import family_of
from ..net.conn import WOULD_BLOCK
from ..net.connecting import Refused, connect
from ..net.hub import READ, Closed, Hub, Queue, Signal, TimedOut
from ..wire import Malformed, dns
from .cache import Answer, Cache, Lifetimes
from .lookup import Failed, LookupTimeouts, Outcome, Question, lookup_steps
from .servers import Address, Servers

MAX_OPEN_QUERIES = 16  # at a time, each with a file descriptor
MAX_UNRELATED_REPLIES = 32  # datagrams that match no query, after which TCP is used
PORTS = (1024, 65536)  # source ports, from and below
PORT_TRIES = 8  # random ports tried before the system chooses one
DEFAULT_TIMEOUTS = LookupTimeouts()
DEFAULT_LIFETIMES = Lifetimes()


class Resolver:
    """Looks up records through the configured name servers. `lookup` and `lookup_many` block their task."""

    def __init__(
        self,
        hub: Hub,
        servers: Sequence[Address],
        timeouts: LookupTimeouts = DEFAULT_TIMEOUTS,
        lifetimes: Lifetimes = DEFAULT_LIFETIMES,
        rng: random.Random | None = None,
    ) -> None:
        self.hub, self.timeouts = hub, timeouts
        self.random = rng or random.SystemRandom()
        self.servers = Servers(servers, self.random)
        self.cache = Cache(lifetimes, self.random)
        self.queries_sent = 0  # since the start
        self._lookups: dict[tuple[dns.Name, int], Signal] = {}
        self._open_queries, self._query_done = 0, Signal(hub)

    def lookup(self, name: dns.Name, kind: int, bypass_cache: bool = False) -> Answer:
        """Return the records of a kind under a name; `bypass_cache` sends a query even for a fresh answer.

        Raises Failed if there is no answer and none is cached; an expired one from the cache is marked stale.
        """
        key = dns.fold_case(name), kind
        while True:
            now = time.monotonic()
            if not bypass_cache and (cached := self.cache.get_fresh(now, name, kind)) is not None:
                return cached
            if key not in self._lookups:
                break
            try:
                self._lookups[key].wait(self.timeouts.lookup)  # another task looks up the same records
            except TimedOut:
                return self._last_known(name, kind, "out of time")
            if self.cache.get_fresh(time.monotonic(), name, kind) is None:
                return self._last_known(name, kind, "another look-up of it failed")
            bypass_cache = False
        lookup_done = self._lookups[key] = Signal(self.hub)
        try:
            steps = lookup_steps(now, name, kind, self.servers, self.timeouts)
            question = next(steps)
            while True:
                question = steps.send(self._send(question))
        except StopIteration as end:
            result = end.value
            return self.cache.store(time.monotonic(), name, kind, result.code, result.records, result.ttl)
        except Failed as why:
            return self._last_known(name, kind, str(why))
        finally:
            del self._lookups[key]
            lookup_done.set()

    def _last_known(self, name: dns.Name, kind: int, why: str) -> Answer:
        answer = self.cache.get_last(time.monotonic(), name, kind, why)
        if answer is None:
            raise Failed(why)
        return answer

    def lookup_many(self, wanted: Sequence[tuple[dns.Name, int]]) -> list[Answer | Failed]:
        """Return the answers to several look-ups, in their order; up to MAX_OPEN_QUERIES run concurrently."""
        results: list[Answer | Failed | None] = [None] * len(wanted)
        now, pending = time.monotonic(), []
        for at, (name, kind) in enumerate(wanted):
            results[at] = self.cache.get_fresh(now, name, kind)
            if results[at] is None:
                pending.append(at)
        finished, pending = Queue(self.hub), pending[::-1]

        def work() -> None:
            try:
                while pending:
                    at = pending.pop()
                    try:
                        results[at] = self.lookup(*wanted[at])
                    except Failed as why:
                        results[at] = why
            finally:
                finished.put(None)

        count = min(MAX_OPEN_QUERIES, len(pending))
        try:
            for _ in range(count):
                self.hub.spawn(work, name="look-up")
            for _ in range(count):
                finished.get()
        finally:
            pending.clear()  # if the caller was interrupted, each worker ends after its current look-up
        return [one if one is not None else Failed("not asked") for one in results]

    # ---- sockets --------------------------------------------------------------------------------------

    def _send(self, question: Question) -> Outcome:
        """Send one question and return its outcome by its deadline, whatever fails."""
        try:
            while self._open_queries >= MAX_OPEN_QUERIES:
                seconds = question.deadline - time.monotonic()
                if seconds <= 0:
                    raise TimedOut
                self._query_done.wait(seconds)
            self._open_queries += 1
            try:
                self.queries_sent += 1
                query_id = self.random.randrange(65536)
                query = dns.encode_query(query_id, question.name, question.kind, question.payload)
                if question.stream:
                    return Outcome(time.monotonic(), self._send_stream(query, query_id, question))
                return self._send_datagram(query, query_id, question)
            finally:
                self._open_queries -= 1
                self._query_done.set()
        except TimedOut:
            why = "no answer in time"
        except (Closed, Refused, Malformed) as error:
            why = str(error) or type(error).__name__
        except OSError as error:
            why = error.strerror or str(error)
        return Outcome(time.monotonic(), None, ("by stream: " if question.stream else "") + why)

    def _send_datagram(self, query: bytes, query_id: int, question: Question) -> Outcome:
        with socket.socket(family_of(question.server.address[0]), socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            self._bind(sock)
            sock.connect(question.server.address)  # now only datagrams of this server arrive
            sock.send(query)
            unrelated = 0
            try:
                while True:
                    seconds = question.deadline - time.monotonic()
                    if seconds <= 0:
                        raise TimedOut
                    try:
                        data = sock.recv(65535)
                    except WOULD_BLOCK:
                        self.hub.wait_fd(sock.fileno(), READ, seconds)
                        continue
                    try:
                        reply = dns.parse_reply(data)
                    except Malformed:
                        reply = None
                    if reply is not None and is_reply_to(reply, query_id, question):
                        return Outcome(time.monotonic(), reply)
                    unrelated += 1
                    if unrelated >= MAX_UNRELATED_REPLIES:
                        return Outcome(time.monotonic(), None, "many answers to other questions", True)
            finally:
                self.hub.forget_fd(sock.fileno())

    def _bind(self, sock: socket.socket) -> None:
        """Bind to a random port (RFC 5452, 9.2), or to the system's choice if those drawn are in use."""
        anywhere = "::" if sock.family == socket.AF_INET6 else "0.0.0.0"
        for _ in range(PORT_TRIES):
            try:
                return sock.bind((anywhere, self.random.randrange(*PORTS)))
            except OSError as why:
                if why.errno not in (errno.EADDRINUSE, errno.EACCES):
                    raise

    def _send_stream(self, query: bytes, query_id: int, question: Question) -> dns.Reply:
        conn = connect(self.hub, question.server.address, question.deadline)
        try:
            conn.write(len(query).to_bytes(2, "big") + query, question.deadline)
            reply = dns.parse_reply(
                conn.read(int.from_bytes(conn.read(2, question.deadline), "big"), question.deadline)
            )
        finally:
            conn.close()
        if not is_reply_to(reply, query_id, question):
            raise Malformed("answer to another question")
        return reply


def is_reply_to(reply: dns.Reply, query_id: int, question: Question) -> bool:
    """Whether a reply matches this question (RFC 5452, 9.1).

    A server that cannot parse the query may leave the question out of an error reply.
    """
    if reply.number != query_id:
        return False
    if reply.question is None:
        return reply.code in (dns.FORMERR, dns.NOTIMP, dns.SERVFAIL, dns.REFUSED)
    return reply.question[1] == question.kind and dns.fold_case(reply.question[0]) == dns.fold_case(
        question.name
    )
