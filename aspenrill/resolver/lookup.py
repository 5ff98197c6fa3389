"""One look-up from its first question to its end, as a generator that does no I/O.

It yields an `Ask` and is sent what came of it, with the time; it returns what was found. A caller with
sockets, and a test on a virtual clock, drive the same lines.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from ..wire import dns
from .cache import negative_ttl
from .servers import Server, Servers

MOST_CHAIN = 8  # CNAMEs followed in one look-up
ROUNDS = 2  # how often each server is asked one question


@dataclass(frozen=True, slots=True)
class Patience:
    """Seconds: for one question, and for a look-up with all its questions."""

    question: float = 1.0
    lookup: float = 5.0


@dataclass(frozen=True, slots=True)
class Ask:
    """A question to be put to one server, by datagram or stream, and answered by `until`."""

    server: Server
    stream: bool
    name: dns.Name
    kind: int
    payload: int  # of EDNS(0); 0: without
    until: float


@dataclass(frozen=True, slots=True)
class Heard:
    """What came of it: a reply to just this question, or none and why. `doubtful`: many others came."""

    now: float
    reply: dns.Reply | None
    why: str = ""
    doubtful: bool = False


@dataclass(frozen=True, slots=True)
class Found:
    """The end of a look-up: code NOERROR or NXDOMAIN, records of the kind asked for, lifetime in seconds."""

    code: int
    records: tuple[dns.Record, ...]
    ttl: float


class Failed(Exception):
    """A look-up without an answer; the text says why."""


Steps = Generator[Ask, Heard, Found]


def look_up(now: float, name: dns.Name, kind: int, servers: Servers, patience: Patience) -> Steps:
    """Ask for records of a kind under a name, following CNAMEs (RFC 1034, 5.3.3)."""
    until, seen, ttl = now + patience.lookup, [dns.fold(name)], float("inf")
    while True:
        reply, now = yield from _question(now, name, kind, servers, patience, until)
        end, rows, life = follow(reply, name, kind, seen)
        ttl = min(ttl, life)
        if rows:
            return Found(dns.NOERROR, rows, min([ttl, *(row.ttl for row in rows)]))
        if reply.code == dns.NXDOMAIN or dns.fold(end) == dns.fold(name) or _has_soa(reply):
            return Found(reply.code, (), min(ttl, negative_ttl(reply.authority)))
        name = end  # the answer stopped at an alias: what is behind it is asked for itself


def follow(
    reply: dns.Reply,
    name: dns.Name,
    kind: int,
    seen: list[dns.Name],
) -> tuple[dns.Name, tuple[dns.Record, ...], float]:
    """Where the aliases of an answer lead from `name`, the records of the kind there, the aliases' lifetime.

    Only records of the answer section that stand under the name or its aliases count. `seen` holds the folded
    names of the chain so far and is added to. Failed where the chain is a circle or too long.
    """
    aliases: dict[dns.Name, dns.Record] = {}
    rows: dict[dns.Name, list[dns.Record]] = {}
    for record in reply.records:
        if record.kind == dns.CNAME and kind != dns.CNAME:
            aliases.setdefault(dns.fold(record.name), record)
        elif record.kind == kind:
            found = rows.setdefault(dns.fold(record.name), [])
            found.append(record)
    ttl = float("inf")
    while (at := dns.fold(name)) in aliases and at not in rows:
        name, ttl = aliases[at].data, min(ttl, aliases[at].ttl)
        if dns.fold(name) in seen:
            raise Failed(f"aliases in a circle at {dns.text_of(name)}")
        seen.append(dns.fold(name))
        if len(seen) > MOST_CHAIN + 1:
            raise Failed(f"more than {MOST_CHAIN} aliases")
    unique = {record.data: record for record in rows.get(dns.fold(name), ())}
    return name, tuple(unique.values()), ttl


def _question(
    now: float,
    name: dns.Name,
    kind: int,
    servers: Servers,
    patience: Patience,
    until: float,
) -> Generator[Ask, Heard, tuple[dns.Reply, float]]:
    """One question, put to one server after another until one has an answer of use."""
    tried: list[Server] = []
    while now < until and len(tried) < ROUNDS * len(servers.all):
        server = servers.next(now, tried)
        tried.append(server)
        began, stream = now, False
        wait = servers.wait(server, patience.question)
        while True:
            payload = dns.PAYLOAD if server.edns else 0
            heard = yield Ask(server, stream, name, kind, payload, min(until, now + wait))
            now, reply = heard.now, heard.reply
            if reply is None:
                if heard.doubtful and not stream and now < until:
                    stream, wait = True, patience.question  # who forges datagrams is not within a stream
                    continue
                break
            if reply.code in (dns.FORMERR, dns.NOTIMP) and server.edns:
                server.edns = False  # RFC 6891, 7: asked again without
            elif reply.truncated and not stream:
                stream, wait = True, patience.question
            else:
                break
            if now >= until:
                break
        why = heard.why or "too late" if reply is None else usable(reply)
        if not why:
            servers.good(server, now, now - began)
            return reply, now
        servers.bad(server, now, why)
    if not tried:
        raise Failed("out of time")
    raise Failed(
        "; ".join(dict.fromkeys(f"{server.address[0]}:{server.address[1]} {server.why}" for server in tried))
    )


def usable(reply: dns.Reply) -> str:
    """What is wrong with a reply as an answer; nothing where it is one, also of "there is none"."""
    if reply.code not in (dns.NOERROR, dns.NXDOMAIN):
        return f"answers with code {reply.code}"
    if reply.truncated:
        return "answer cut short on a stream"
    refers = not reply.authoritative and any(record.kind == dns.NS for record in reply.authority)
    if reply.code == dns.NOERROR and not reply.records and refers and not _has_soa(reply):
        return "refers to others"  # a server that does not look up for us knows nothing of the list
    return ""


def _has_soa(reply: dns.Reply) -> bool:
    return any(record.kind == dns.SOA for record in reply.authority)
