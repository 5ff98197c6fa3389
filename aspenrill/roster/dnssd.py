"""Engines by DNS-SD (RFC 6763): instances by PTR, their addresses by SRV and A, their properties by TXT."""
from __future__ import annotations

import random
import socket
import time
from collections.abc import Callable, Iterable

from ..api import EngineState
from ..net.conn import Refused, connect
from ..net.hub import READ, Closed, Hub, Task, TimedOut
from ..wire import Malformed, dns
from ..wire.bulletin import Member, News

ASK_FOR, TRIES = 1.0, 3  # seconds for an answer, and how often a question is asked
LEAST_TTL, MOST_TTL = 1.0, 3600.0
RETRY, RETRY_MOST = 1.0, 30.0  # seconds until the next look after a failed one, doubled up to the most
MOST_REPLY = 65535
STATES = {"draining": EngineState.DRAINING, "gone": EngineState.GONE}


class Moved(Exception):
    """The list is to be had elsewhere from now on."""


def properties(texts: Iterable[str]) -> dict[str, str]:
    """Key and value pairs of a TXT record: keys without case, and the first of each counts."""
    found: dict[str, str] = {}
    for text in texts:
        key, _, value = text.partition("=")
        if key:
            found.setdefault(key.lower(), value)
    return found


class DnsSd:
    """Posts the whole list whenever it changes; keeps to the records' time to live, and to the last list."""

    def __init__(self, hub: Hub, resolver: tuple[str, int], service: str, kinds: tuple[str, ...],
                 post: Callable[[News], None]) -> None:
        self.hub, self.resolver, self.kinds, self.post = hub, resolver, kinds, post
        self.service = dns.name_of(service)
        self.last: tuple[Member, ...] | None = None
        self.number = 0
        self.first_seen: dict[str, float] = {}
        self.task: Task | None = None

    def start(self) -> None:
        """Follow it in a task of its own."""
        self.task = self.hub.spawn(self.run, name="dns-sd")

    def move(self, resolver: tuple[str, int], service: str) -> None:
        """Another resolver or name: asked at once, the last list stays until it answers."""
        asked = resolver, dns.name_of(service)
        if asked != (self.resolver, self.service):
            self.resolver, self.service = asked
            self.task.interrupt(Moved())

    def run(self) -> None:
        """Look, and look again when the first record has run out."""
        wait = RETRY
        while True:
            try:
                try:
                    members, ttl = self.look()
                except (Refused, Closed, TimedOut, Malformed, OSError) as why:
                    self.hub.log(f"dns-sd: {type(why).__name__} {why}; the last list stays")
                    self.hub.sleep(wait)
                    wait = min(RETRY_MOST, wait * 2)
                    continue
                wait = RETRY
                if members != self.last:
                    self.last, self.number = members, self.number + 1
                    self.post(News(self.number, True, members))
                self.hub.sleep(min(MOST_TTL, max(LEAST_TTL, ttl)))
            except Moved:
                wait = RETRY

    def look(self) -> tuple[tuple[Member, ...], float]:
        """The engines as they are listed now, and for how many seconds that holds."""
        known: dict[tuple[tuple[str, ...], int], list[dns.Record]] = {}
        pointers = self._records(self.service, dns.PTR, known)
        ttl = min((record.ttl for record in pointers), default=RETRY_MOST)
        members = []
        for instance in sorted({record.data for record in pointers}):
            services = self._records(instance, dns.SRV, known)
            texts = self._records(instance, dns.TXT, known)
            if not services:
                continue
            *_, port, host = min(services, key=lambda record: record.data[:2]).data
            addresses = self._records(host, dns.A, known)
            if not addresses:
                continue
            used = [*services, *texts, *addresses]
            ttl = min([ttl, *(record.ttl for record in used)])
            members.append(self._member(instance, (min(a.data for a in addresses), port),
                                        properties(texts[0].data if texts else ())))
        names = {member.engine for member in members}
        self.first_seen = {name: at for name, at in self.first_seen.items() if name in names}
        return tuple(members), ttl

    def _member(self, instance: tuple[str, ...], address: tuple[str, int], told: dict[str, str]) -> Member:
        """An engine. One that comes up later than the first list is new, and so cold, unless it says when."""
        name = dns.text_of(instance).rstrip(".")
        seen = self.first_seen.setdefault(name, 0.0 if self.last is None else time.time())

        def whole(key: str, most: int) -> int:
            value = told.get(key, "0")
            return int(value) if value.isascii() and value.isdigit() and int(value) < most else 0

        kind = self.kinds.index(told["kind"]) if told.get("kind") in self.kinds else 0
        started = whole("started", 1 << 53) / 1000 or seen
        return Member(name, address, STATES.get(told.get("state", ""), EngineState.LIVE), whole("zone", 256),
                      kind, whole("cell", 65536), started)

    # ---- questions ------------------------------------------------------------------------------------

    def _records(self, name: tuple[str, ...], kind: int,
                 known: dict[tuple[tuple[str, ...], int], list[dns.Record]]) -> list[dns.Record]:
        """Records of a kind under a name: from an answer that brought them along, or by a question."""
        def key(labels: tuple[str, ...]) -> tuple[str, ...]:
            return tuple(label.lower() for label in labels)

        if (key(name), kind) not in known:
            for record in self._ask(name, kind).records:
                rows = known.setdefault((key(record.name), record.kind), [])
                if record not in rows:
                    rows.append(record)
        return known.get((key(name), kind), [])

    def _ask(self, name: tuple[str, ...], kind: int) -> dns.Reply:
        """The resolver's answer; by TCP where it does not fit a datagram."""
        for attempt in range(TRIES):
            number = random.SystemRandom().randrange(65536)
            query = dns.query(number, name, kind)
            try:
                reply = self._datagram(query, number, name, kind)
            except TimedOut:
                if attempt == TRIES - 1:
                    raise
                continue
            if reply.truncated:
                reply = self._stream(query, number)
            if reply.code == 3:
                return dns.Reply(number, 3, False, None)  # no such name: there is nothing
            if reply.code:
                raise Malformed(f"resolver answers with code {reply.code}")
            return reply
        raise TimedOut

    def _datagram(self, query: bytes, number: int, name: tuple[str, ...], kind: int) -> dns.Reply:
        until = time.monotonic() + ASK_FOR
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.connect(self.resolver)
            sock.send(query)
            try:
                while True:
                    seconds = until - time.monotonic()
                    if seconds <= 0:
                        raise TimedOut
                    self.hub.wait_fd(sock.fileno(), READ, seconds)
                    try:
                        reply = dns.read_reply(sock.recv(MOST_REPLY))
                    except (Malformed, BlockingIOError):
                        continue  # not an answer to this
                    asked = reply.question
                    if reply.number == number and asked is not None and asked[1] == kind and (
                            [x.lower() for x in asked[0]] == [x.lower() for x in name]):
                        return reply
            finally:
                self.hub.forget_fd(sock.fileno())

    def _stream(self, query: bytes, number: int) -> dns.Reply:
        until = time.monotonic() + ASK_FOR
        conn = connect(self.hub, self.resolver, until)
        try:
            conn.write(len(query).to_bytes(2, "big") + query, until)
            reply = dns.read_reply(conn.read(int.from_bytes(conn.read(2, until), "big"), until))
        finally:
            conn.close()
        if reply.number != number:
            raise Malformed("answer to another question")
        return reply
