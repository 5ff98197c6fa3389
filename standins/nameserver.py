"""A scripted name server on loopback, UDP and TCP (RFC 1035): answers from a zone, or wrongly as told.

Messages are encoded by dnspython, so that the program's own parser is checked against another's.
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
class Asked:
    """A question as it came; `at` is of the monotonic clock."""

    at: float
    name: str
    kind: str
    stream: bool


@dataclass
class Act:
    """What is done with a question. `code` None: as the zone has it.

    By datagram: `lose` says nothing, `truncate` cuts the answer, `number` and `question` are off where set,
    `first` goes out before the answer, `forged` likewise from another sender, `raw` in its place.
    By stream: `stream` is ok, stall (half of it, then silence), cut (half of it, then a close), lie (a length
    that is more than what follows), refuse (a close at once).
    """

    delay: float = 0.0
    lose: bool = False
    code: int | None = None
    truncate: bool = False
    number: int | None = None
    question: str | None = None
    first: tuple[bytes, ...] = ()
    forged: Callable[[dns.message.Message], bytes] | None = None
    raw: bytes | None = None
    stream: str = "ok"


class NameServer:
    """One name server. `zone` holds (name, type) with lists of (ttl, data); `act` scripts each question."""

    def __init__(self, hub: Hub, host: str = "127.0.0.1") -> None:
        self.hub = hub
        self.zone: dict[tuple[str, str], list[tuple[int, str]]] = {}
        self.soa: tuple[str, int, int] | None = None  # apex, its ttl, its minimum
        self.more: list[tuple[str, int, str, str]] = []  # what nobody asked for, added to each answer
        self.act: Callable[[Asked], Act] = lambda asked: Act()
        self.asked: list[Asked] = []
        self.chase = True  # follow aliases within an answer
        self.listener = Listener(hub, (host, 0), self._stream, 50, "name server")
        self.address = self.listener.address
        self.sock = socket.socket(self.listener.sock.family, socket.SOCK_DGRAM)
        self.sock.bind(self.address)
        self.sock.setblocking(False)
        hub.spawn(self._datagrams, name="name server")

    def close(self) -> None:
        """Gone: datagrams are refused by the system, and so are connections."""
        self.listener.close()
        self.hub.forget_fd(self.sock.fileno())
        self.sock.close()

    # ---- what it knows --------------------------------------------------------------------------------

    def put(self, name: str, kind: str, *rows: str, ttl: int = 1) -> None:
        """Records under a name, in place of those it had; none: the name has none of the kind."""
        self.zone[name.lower(), kind] = [(ttl, row) for row in rows]

    def srv(self, service: str, *engines: tuple[int, int, int, str, str], ttl: int = 1) -> None:
        """SRV records with the addresses of their targets: (priority, weight, port, target, address)."""
        self.put(service, "SRV", *(f"{p} {w} {port} {target}" for p, w, port, target, _ in engines), ttl=ttl)
        for *_, target, address in engines:
            self.put(target, "AAAA" if ":" in address else "A", address, ttl=ttl)

    # ---- answers --------------------------------------------------------------------------------------

    def answer(self, query: dns.message.Message, act: Act) -> dns.message.Message:
        """As the zone has it."""
        reply = dns.message.make_response(query, recursion_available=True)
        asked = query.question[0]
        name, kind = asked.name.to_text().lower(), dns.rdatatype.to_text(asked.rdtype)
        if act.code is not None:
            reply.set_rcode(act.code)
            return reply
        for _ in range(20):
            rows = self.zone.get((name, kind), [])
            alias = self.zone.get((name, "CNAME"), [])
            if rows or not alias:
                break
            reply.answer.append(dns.rrset.from_text(name, alias[0][0], "IN", "CNAME", alias[0][1]))
            name = alias[0][1].lower()
            if not self.chase:
                return reply
        if rows:
            reply.answer.append(dns.rrset.from_text(name, rows[0][0], "IN", kind, *(row for _, row in rows)))
        elif not alias or self.chase:
            if not any(known == name or known.endswith("." + name) for known, _ in self.zone):
                reply.set_rcode(dns.rcode.NXDOMAIN)
            if self.soa is not None:
                apex, ttl, minimum = self.soa
                reply.authority.append(
                    dns.rrset.from_text(
                        apex, ttl, "IN", "SOA", f"ns.{apex} host.{apex} 1 3600 600 86400 {minimum}"
                    )
                )
        for owner, ttl, kind, data in self.more:
            reply.answer.append(dns.rrset.from_text(owner, ttl, "IN", kind, data))
            reply.additional.append(dns.rrset.from_text(owner, ttl, "IN", kind, data))
        return reply

    def _heard(self, data: bytes, stream: bool) -> tuple[dns.message.Message, Act]:
        query = dns.message.from_wire(data)
        asked = Asked(
            time.monotonic(),
            query.question[0].name.to_text(),
            dns.rdatatype.to_text(query.question[0].rdtype),
            stream,
        )
        self.asked.append(asked)
        return query, self.act(asked)

    def _datagrams(self) -> None:
        while True:
            self.hub.wait_fd(self.sock.fileno(), READ, None)
            try:
                data, who = self.sock.recvfrom(4096)
            except BlockingIOError:
                continue
            query, act = self._heard(data, False)
            if act.delay:
                self.hub.timers.after(act.delay, self.hub.spawn, self._reply, query, act, who)
            else:
                self._reply(query, act, who)

    def _reply(self, query: dns.message.Message, act: Act, who: tuple) -> None:
        if act.forged is not None:
            with socket.socket(self.sock.family, socket.SOCK_DGRAM) as other:
                other.sendto(act.forged(query), who)
        for data in act.first:
            self.sock.sendto(data, who)
        if act.lose:
            return
        reply = self.answer(query, act)
        if act.number is not None:
            reply.id = act.number
        if act.question is not None:
            reply.question = [dns.rrset.from_text(act.question, 0, "IN", "SRV")]
        most = query.payload if query.edns >= 0 else 512
        try:
            data = reply.to_wire(max_size=max(512, most))
        except dns.exception.TooBig:
            data = None
        if data is None or act.truncate:
            reply = dns.message.make_response(query, recursion_available=True)
            reply.flags |= dns.flags.TC
            data = reply.to_wire()
        self.sock.sendto(data if act.raw is None else act.raw, who)

    def _stream(self, conn: Connection) -> None:
        until = time.monotonic() + 10
        data = conn.read(int.from_bytes(conn.read(2, until), "big"), until)
        query, act = self._heard(data, True)
        if act.delay:
            self.hub.sleep(act.delay)
        if act.stream == "refuse" or act.lose:
            return
        data = self.answer(query, act).to_wire(max_size=65535)
        if act.stream == "lie":
            conn.write((len(data) + 7).to_bytes(2, "big") + data, until)
            return
        half = len(data) // 2 if act.stream in ("stall", "cut") else len(data)
        conn.write(len(data).to_bytes(2, "big") + data[:half], until)
        if act.stream == "stall":
            try:
                conn.fill(time.monotonic() + 30)
            except TimedOut:
                pass
