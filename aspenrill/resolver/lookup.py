"""The logic of one look-up, as a generator that does no I/O.

It yields each `Question`, is sent its `Outcome`, which holds the time, and returns a `LookupResult`. The
client with its sockets and the tests with a virtual clock run the same code.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from ..wire import dns
from .cache import negative_ttl
from .servers import Server, Servers

MAX_ALIASES = 8  # CNAMEs followed in one look-up
ATTEMPTS_PER_SERVER = 2  # for one question


@dataclass(frozen=True, slots=True)
class LookupTimeouts:
    """Seconds allowed for one question, and for a look-up with all its questions."""

    question: float = 1.0
    lookup: float = 5.0


@dataclass(frozen=True, slots=True)
class Question:
    """A question for one server, over UDP or TCP (`stream`), to be answered by `deadline`."""

    server: Server
    stream: bool
    name: dns.Name
    kind: int
    payload: int  # EDNS(0) payload size; 0: no EDNS
    deadline: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """The reply to a question, or None and the reason. `spoofing_suspected`: many unrelated replies came."""

    now: float
    reply: dns.Reply | None
    why: str = ""
    spoofing_suspected: bool = False


@dataclass(frozen=True, slots=True)
class LookupResult:
    """The result of a look-up: code NOERROR or NXDOMAIN, records of the requested kind, TTL in seconds."""

    code: int
    records: tuple[dns.Record, ...]
    ttl: float


class Failed(Exception):
    """A look-up got no answer; the text gives the reason."""


LookupSteps = Generator[Question, Outcome, LookupResult]


def lookup_steps(
    now: float, name: dns.Name, kind: int, servers: Servers, timeouts: LookupTimeouts
) -> LookupSteps:
    """Look up the records of a kind under a name, following CNAMEs (RFC 1034, 5.3.3)."""
    deadline, seen, ttl = now + timeouts.lookup, [dns.fold_case(name)], float("inf")
    while True:
        reply, now = yield from _query_servers(now, name, kind, servers, timeouts, deadline)
        end, records, alias_ttl = follow_aliases(reply, name, kind, seen)
        ttl = min(ttl, alias_ttl)
        if records:
            return LookupResult(dns.NOERROR, records, min([ttl, *(row.ttl for row in records)]))
        if reply.code == dns.NXDOMAIN or dns.fold_case(end) == dns.fold_case(name) or _has_soa(reply):
            return LookupResult(reply.code, (), min(ttl, negative_ttl(reply.authority)))
        name = end  # the answer ended at an alias: its target needs a question of its own


def follow_aliases(
    reply: dns.Reply,
    name: dns.Name,
    kind: int,
    seen: list[dns.Name],
) -> tuple[dns.Name, tuple[dns.Record, ...], float]:
    """Follow the aliases in an answer; return the last name, its records of the kind, and the aliases' TTL.

    Only records of the answer section that are under the name or its aliases count. `seen` holds the folded
    names of the chain so far and is extended. Raises Failed if the chain is circular or too long.
    """
    aliases: dict[dns.Name, dns.Record] = {}
    records: dict[dns.Name, list[dns.Record]] = {}
    for record in reply.records:
        if record.kind == dns.CNAME and kind != dns.CNAME:
            aliases.setdefault(dns.fold_case(record.name), record)
        elif record.kind == kind:
            same_name = records.setdefault(dns.fold_case(record.name), [])
            same_name.append(record)
    ttl = float("inf")
    while (current := dns.fold_case(name)) in aliases and current not in records:
        name, ttl = aliases[current].data, min(ttl, aliases[current].ttl)
        if dns.fold_case(name) in seen:
            raise Failed(f"aliases in a circle at {dns.format_name(name)}")
        seen.append(dns.fold_case(name))
        if len(seen) > MAX_ALIASES + 1:
            raise Failed(f"more than {MAX_ALIASES} aliases")
    unique = {record.data: record for record in records.get(dns.fold_case(name), ())}
    return name, tuple(unique.values()), ttl


def _query_servers(
    now: float,
    name: dns.Name,
    kind: int,
    servers: Servers,
    timeouts: LookupTimeouts,
    deadline: float,
) -> Generator[Question, Outcome, tuple[dns.Reply, float]]:
    """Send one question to one server after another until one returns a usable answer."""
    tried: list[Server] = []
    while now < deadline and len(tried) < ATTEMPTS_PER_SERVER * len(servers.all):
        server = servers.choose(now, tried)
        tried.append(server)
        sent_at, stream = now, False
        reply_timeout = servers.reply_timeout(server, timeouts.question)
        while True:
            payload = dns.EDNS_PAYLOAD_SIZE if server.edns else 0
            outcome = yield Question(server, stream, name, kind, payload, min(deadline, now + reply_timeout))
            now, reply = outcome.now, outcome.reply
            if reply is None:
                if outcome.spoofing_suspected and not stream and now < deadline:
                    stream, reply_timeout = True, timeouts.question  # an off-path attacker cannot forge TCP
                    continue
                break
            if reply.code in (dns.FORMERR, dns.NOTIMP) and server.edns:
                server.edns = False  # RFC 6891, 7: retry without EDNS
            elif reply.truncated and not stream:
                stream, reply_timeout = True, timeouts.question
            else:
                break
            if now >= deadline:
                break
        why = outcome.why or "too late" if reply is None else reply_fault(reply)
        if not why:
            servers.record_success(server, now, now - sent_at)
            return reply, now
        servers.record_failure(server, now, why)
    if not tried:
        raise Failed("out of time")
    raise Failed(
        "; ".join(
            dict.fromkeys(
                f"{server.address[0]}:{server.address[1]} {server.last_failure}" for server in tried
            )
        )
    )


def reply_fault(reply: dns.Reply) -> str:
    """Return why a reply is no usable answer, or "" if it is one; a negative answer is usable."""
    if reply.code not in (dns.NOERROR, dns.NXDOMAIN):
        return f"answers with code {reply.code}"
    if reply.truncated:
        return "answer cut short on a stream"
    is_referral = not reply.authoritative and any(record.kind == dns.NS for record in reply.authority)
    if reply.code == dns.NOERROR and not reply.records and is_referral and not _has_soa(reply):
        return "refers to others"  # a server without recursion does not know the records
    return ""


def _has_soa(reply: dns.Reply) -> bool:
    return any(record.kind == dns.SOA for record in reply.authority)
