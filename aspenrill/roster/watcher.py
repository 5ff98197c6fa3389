"""Base of the DNS watchers: a task that polls, reports the list, and polls again when that is due."""

from __future__ import annotations

import time
import traceback
from collections.abc import Sequence
from typing import Protocol

from ..members import Member
from ..net.address import canonical_host
from ..net.hub import Closed, Hub, Queue, Task, TimedOut
from ..resolver.cache import Answer
from ..resolver.client import Resolver
from ..resolver.lookup import Failed
from ..wire import Malformed, dns

MIN_RETRY_S = 1.0  # until the next poll after a failed one, doubled with each further failure
MAX_RETRY_S = 30.0
MIN_POLL_GAP = 0.5  # seconds between two polls, however short the TTLs of the records
FAMILIES = {
    "ipv4": (dns.A,),
    "ipv6": (dns.AAAA,),
    "ipv4-first": (dns.A, dns.AAAA),
    "ipv6-first": (dns.AAAA, dns.A),
}


class Sink(Protocol):
    """Receives the lists and failures of sources."""

    def on_list(self, name: str, members: Sequence[Member], learned_at: float) -> None:
        """Receive a source's complete list."""
        ...

    def on_failure(self, name: str, why: str) -> None:
        """Receive the reason why a source has no list now."""
        ...


class Stopped(Closed):
    """Interrupts the task of a watcher that is stopped."""


class DnsWatcher:
    """Calls `poll`, which subclasses define, whenever it is due, and passes the complete list to the sink."""

    def __init__(
        self, hub: Hub, name: str, resolver: Resolver, service: str, family: str, sink: Sink
    ) -> None:
        self.hub, self.name, self.resolver, self.sink = hub, name, resolver, sink
        self.service, self.address_kinds = dns.parse_name(service), FAMILIES[family]
        self.last_addresses: dict[dns.Name, tuple[str, ...]] = {}  # by target
        self.task: Task | None = None
        self.stopped = False  # the resolver may take the interrupt of its wait for a closed connection
        self.refresh_requests = Queue(hub)
        self.next_poll_at = 0.0  # monotonic, for operators

    def start(self) -> None:
        """Start a task that polls."""
        self.task = self.hub.spawn(self.run, name=f"source {self.name}")

    def stop(self) -> None:
        """Stop at any wait. Nothing more is reported, though an open DNS query may run until its timeout."""
        self.stopped = True
        self.task.interrupt(Stopped("no longer needed"))

    def refresh(self) -> None:
        """Poll now, without the cache."""
        self.refresh_requests.put(None)

    def run(self) -> None:
        """Poll until stopped."""
        retry_s, bypass_cache = MIN_RETRY_S, False
        try:
            while not self.stopped:
                try:
                    members, learned_at, refresh_at = self.poll(bypass_cache)
                    if self.stopped:
                        return
                    retry_s, delay_s = MIN_RETRY_S, max(MIN_POLL_GAP, refresh_at - time.monotonic())
                    self.sink.on_list(self.name, members, learned_at)
                except Stopped:
                    raise
                except Exception as why:
                    if self.stopped:
                        return
                    if not isinstance(why, (Failed, Malformed, OSError)):
                        self.hub.report_error(f"source {self.name}", traceback.format_exc())
                    self.sink.on_failure(self.name, str(why))
                    delay_s, retry_s = retry_s, min(MAX_RETRY_S, retry_s * 2)
                self.next_poll_at = time.monotonic() + delay_s
                try:
                    bypass_cache = self.refresh_requests.get(delay_s) is None
                    self.refresh_requests.items.clear()
                except TimedOut:
                    bypass_cache = False
        except Stopped:
            pass

    def poll(self, bypass_cache: bool) -> tuple[list[Member], float, float]:
        """Return the list, when its records were learned, and when to poll again (both monotonic)."""
        raise NotImplementedError

    # ---- for subclasses -------------------------------------------------------------------------------

    def lookup_service(self, kind: int, bypass_cache: bool) -> Answer:
        """Look up the records that define the list; Failed if only a stale answer is available."""
        answer = self.resolver.lookup(self.service, kind, bypass_cache)
        if answer.stale:
            raise Failed(f"{answer.reason}; the known answer is {answer.age(time.monotonic()):.0f} s old")
        return answer

    def resolve_targets(self, targets: Sequence[dns.Name]) -> tuple[dict[dns.Name, tuple[str, ...]], float]:
        """Return the addresses of each target, and when to poll again.

        They are of the first configured family for which the target has any. A target whose look-up fails
        keeps its last addresses.
        """
        found: dict[dns.Name, tuple[str, ...]] = {}
        refresh_at, unresolved = float("inf"), list(dict.fromkeys(targets))
        on_failure: set[dns.Name] = set()
        for kind in self.address_kinds:
            answers = self.resolver.lookup_many([(target, kind) for target in unresolved])
            for target, answer in zip(unresolved, answers, strict=True):
                if isinstance(answer, Failed):
                    on_failure.add(target)
                    refresh_at = min(refresh_at, time.monotonic() + MIN_RETRY_S)
                    continue
                refresh_at = min(
                    refresh_at,
                    max(answer.refresh_at, time.monotonic() + MIN_RETRY_S)
                    if answer.stale
                    else answer.refresh_at,
                )
                if answer.records:
                    found[target] = tuple(sorted({canonical_host(record.data) for record in answer.records}))
            unresolved = [target for target in unresolved if target not in found]
        for target in unresolved:
            if target in on_failure and target in self.last_addresses:
                found[target] = self.last_addresses[target]
        self.last_addresses = found
        return found, refresh_at
