"""A scripted name server on loopback, UDP and TCP (RFC 1035): answers from a zone, or with scripted faults.

Messages are encoded by dnspython, so that the program's own parser is tested against another implementation.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

import dns.exception
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset

from aspenrill.net.conn import Connection
from aspenrill.net.hub import READ, Hub, TimedOut
from aspenrill.net.listener import Listener


@dataclass(frozen=True)
class Question:
    """A received question; `at` is of the monotonic clock."""

    at: float
    name: str
    kind: str
    stream: bool


@dataclass
class AnswerBehaviour:
    """How a question is answered. `code`: response code; None: as the zone has it.

    UDP: `drop` sends nothing, `truncate` sets the TC flag, `number` and `question` replace the message id and
    the question, `first` is sent before the answer, `forged` too but from another sender, `raw` instead of
    it. TCP: `stream` is ok, stall (half of the answer, then nothing), cut (half of it, then a close), lie (a
    length prefix that is too large) or refuse (closed at once).
    """

    delay: float = 0.0
    drop: bool = False
    code: int | None = None
    truncate: bool = False
    number: int | None = None
    question: str | None = None
    first: tuple[bytes, ...] = ()
    forged: Callable[[dns.message.Message], bytes] | None = None
    raw: bytes | None = None
    stream: str = "ok"


class NameServer:
    """One name server. `zone` maps (name, type) to lists of (ttl, data); `behaviour` scripts each answer."""

    def __init__(self, hub: Hub, host: str = "127.0.0.1") -> None:
        self.hub = hub
        self.zone: dict[tuple[str, str], list[tuple[int, str]]] = {}
        self.soa: tuple[str, int, int] | None = None  # apex, its ttl, its minimum
        self.extra_records: list[
            tuple[str, int, str, str]
        ] = []  # unrelated records that are added to each answer
        self.behaviour: Callable[[Question], AnswerBehaviour] = lambda asked: AnswerBehaviour()
        self.questions: list[Question] = []
        self.follow_aliases = True  # resolve CNAMEs within an answer
        self.listener = Listener(hub, (host, 0), self._serve_stream, 50, "name server")
        self.address = self.listener.address
        self.sock = socket.socket(self.listener.sock.family, socket.SOCK_DGRAM)
        self.sock.bind(self.address)
        self.sock.setblocking(False)
        hub.spawn(self._serve_datagrams, name="name server")

    def close(self) -> None:
        """Close the sockets: the system then refuses datagrams and connections."""
        self.listener.close()
        self.hub.forget_fd(self.sock.fileno())
        self.sock.close()

    # ---- zone -----------------------------------------------------------------------------------------

    def put(self, name: str, kind: str, *rows: str, ttl: int = 1) -> None:
        """Replace the records of a name and type; without rows the name has none of this type."""
        self.zone[name.lower(), kind] = [(ttl, row) for row in rows]

    def srv(self, service: str, *engines: tuple[int, int, int, str, str], ttl: int = 1) -> None:
        """Set SRV records and the addresses of their targets: (priority, weight, port, target, address)."""
        self.put(service, "SRV", *(f"{p} {w} {port} {target}" for p, w, port, target, _ in engines), ttl=ttl)
        for *_, target, address in engines:
            self.put(target, "AAAA" if ":" in address else "A", address, ttl=ttl)

    # ---- answers --------------------------------------------------------------------------------------

    def answer(self, query: dns.message.Message, behaviour: AnswerBehaviour) -> dns.message.Message:
        """Build the answer from the zone."""
        reply = dns.message.make_response(query, recursion_available=True)
        asked = query.question[0]
        name, kind = asked.name.to_text().lower(), dns.rdatatype.to_text(asked.rdtype)
        if behaviour.code is not None:
            reply.set_rcode(behaviour.code)
            return reply
        for _ in range(20):
            rows = self.zone.get((name, kind), [])
            alias = self.zone.get((name, "CNAME"), [])
            if rows or not alias:
                break
            reply.answer.append(dns.rrset.from_text(name, alias[0][0], "IN", "CNAME", alias[0][1]))
            name = alias[0][1].lower()
            if not self.follow_aliases:
                return reply
        if rows:
            reply.answer.append(dns.rrset.from_text(name, rows[0][0], "IN", kind, *(row for _, row in rows)))
        elif not alias or self.follow_aliases:
            if not any(known == name or known.endswith("." + name) for known, _ in self.zone):
                reply.set_rcode(dns.rcode.NXDOMAIN)
            if self.soa is not None:
                apex, ttl, minimum = self.soa
                reply.authority.append(
                    dns.rrset.from_text(
                        apex, ttl, "IN", "SOA", f"ns.{apex} host.{apex} 1 3600 600 86400 {minimum}"
                    )
                )
        for owner, ttl, kind, data in self.extra_records:
            reply.answer.append(dns.rrset.from_text(owner, ttl, "IN", kind, data))
            reply.additional.append(dns.rrset.from_text(owner, ttl, "IN", kind, data))
        return reply

    def _record_question(self, data: bytes, stream: bool) -> tuple[dns.message.Message, AnswerBehaviour]:
        query = dns.message.from_wire(data)
        asked = Question(
            time.monotonic(),
            query.question[0].name.to_text(),
            dns.rdatatype.to_text(query.question[0].rdtype),
            stream,
        )
        self.questions.append(asked)
        return query, self.behaviour(asked)

    def _serve_datagrams(self) -> None:
        while True:
            self.hub.wait_fd(self.sock.fileno(), READ, None)
            try:
                data, who = self.sock.recvfrom(4096)
            except BlockingIOError:
                continue
            query, behaviour = self._record_question(data, False)
            if behaviour.delay:
                self.hub.timers.after(behaviour.delay, self.hub.spawn, self._reply, query, behaviour, who)
            else:
                self._reply(query, behaviour, who)

    def _reply(self, query: dns.message.Message, behaviour: AnswerBehaviour, who: tuple) -> None:
        if behaviour.forged is not None:
            with socket.socket(self.sock.family, socket.SOCK_DGRAM) as other:
                other.sendto(behaviour.forged(query), who)
        for data in behaviour.first:
            self.sock.sendto(data, who)
        if behaviour.drop:
            return
        reply = self.answer(query, behaviour)
        if behaviour.number is not None:
            reply.id = behaviour.number
        if behaviour.question is not None:
            reply.question = [dns.rrset.from_text(behaviour.question, 0, "IN", "SRV")]
        max_size = query.payload if query.edns >= 0 else 512
        try:
            data = reply.to_wire(max_size=max(512, max_size))
        except dns.exception.TooBig:
            data = None
        if data is None or behaviour.truncate:
            reply = dns.message.make_response(query, recursion_available=True)
            reply.flags |= dns.flags.TC
            data = reply.to_wire()
        self.sock.sendto(data if behaviour.raw is None else behaviour.raw, who)

    def _serve_stream(self, conn: Connection) -> None:
        until = time.monotonic() + 10
        data = conn.read(int.from_bytes(conn.read(2, until), "big"), until)
        query, behaviour = self._record_question(data, True)
        if behaviour.delay:
            self.hub.sleep(behaviour.delay)
        if behaviour.stream == "refuse" or behaviour.drop:
            return
        data = self.answer(query, behaviour).to_wire(max_size=65535)
        if behaviour.stream == "lie":
            conn.write((len(data) + 7).to_bytes(2, "big") + data, until)
            return
        half = len(data) // 2 if behaviour.stream in ("stall", "cut") else len(data)
        conn.write(len(data).to_bytes(2, "big") + data[:half], until)
        if behaviour.stream == "stall":
            try:
                conn.fill(time.monotonic() + 30)
            except TimedOut:
                pass
