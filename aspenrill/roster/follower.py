"""What looks at DNS have in common: a task that looks, tells, and looks again when that is due."""

from __future__ import annotations

import time
import traceback
from collections.abc import Sequence
from typing import Protocol

from ..members import Member
from ..net.address import plain
from ..net.hub import Closed, Hub, Queue, Task, TimedOut
from ..resolver.cache import Answer
from ..resolver.client import Resolver
from ..resolver.lookup import Failed
from ..wire import Malformed, dns

RETRY, RETRY_MOST = 1.0, 30.0  # seconds until the next look after a failed one, doubled up to the most
LEAST_GAP = 0.5  # seconds between two looks, however short the lives of the records
FAMILIES = {
    "ipv4": (dns.A,),
    "ipv6": (dns.AAAA,),
    "ipv4-first": (dns.A, dns.AAAA),
    "ipv6-first": (dns.AAAA, dns.A),
}


class Sink(Protocol):
    """Who hears of the lists."""

    def told(self, name: str, members: Sequence[Member], asked: float) -> None: ...
    def failed(self, name: str, why: str) -> None: ...


class Stopped(Closed):
    """It is to end."""


class Follower:
    """Looks again and again; `look` is its kind's own. Its whole list goes to the sink each time."""

    def __init__(
        self, hub: Hub, name: str, resolver: Resolver, service: str, family: str, sink: Sink
    ) -> None:
        self.hub, self.name, self.resolver, self.sink = hub, name, resolver, sink
        self.service, self.kinds_of_address = dns.name_of(service), FAMILIES[family]
        self.known: dict[dns.Name, tuple[str, ...]] = {}  # the last addresses of each target
        self.task: Task | None = None
        self.stopped = False  # a wait in the resolver may take what interrupts it for the end of a connection
        self.again_asked = Queue(hub)
        self.next_look = 0.0  # of the monotonic clock, for people

    def start(self) -> None:
        """Follow in a task of its own."""
        self.task = self.hub.spawn(self.run, name=f"source {self.name}")

    def stop(self) -> None:
        """End, wherever it waits; nothing more is told, though a question that is out may run its time."""
        self.stopped = True
        self.task.interrupt(Stopped("no longer wanted"))

    def again(self) -> None:
        """Look again now, past the cache."""
        self.again_asked.put(None)

    def run(self) -> None:
        """Look until stopped."""
        wait, anew = RETRY, False
        try:
            while not self.stopped:
                try:
                    members, asked, until = self.look(anew)
                    if self.stopped:
                        return
                    wait, pause = RETRY, max(LEAST_GAP, until - time.monotonic())
                    self.sink.told(self.name, members, asked)
                except Stopped:
                    raise
                except Exception as why:
                    if self.stopped:
                        return
                    if not isinstance(why, (Failed, Malformed, OSError)):
                        self.hub.report(f"source {self.name}", traceback.format_exc())
                    self.sink.failed(self.name, str(why))
                    pause, wait = wait, min(RETRY_MOST, wait * 2)
                self.next_look = time.monotonic() + pause
                try:
                    anew = self.again_asked.get(pause) is None
                    self.again_asked.items.clear()
                except TimedOut:
                    anew = False
        except Stopped:
            pass

    def look(self, anew: bool) -> tuple[list[Member], float, float]:
        """The list now, when what it rests on was learned, and when to look again (both monotonic)."""
        raise NotImplementedError

    # ---- for its kinds --------------------------------------------------------------------------------

    def main(self, kind: int, anew: bool) -> Answer:
        """The records that the list rests on; Failed where only an outdated answer is to be had."""
        answer = self.resolver.lookup(self.service, kind, anew)
        if answer.stale:
            raise Failed(f"{answer.why}; what is known is {answer.age(time.monotonic()):.0f} s old")
        return answer

    def addresses(self, targets: Sequence[dns.Name]) -> tuple[dict[dns.Name, tuple[str, ...]], float]:
        """Addresses of each target, of the first family that it has any of, and when to look again.

        A target whose look-up fails keeps the addresses that it had.
        """
        found: dict[dns.Name, tuple[str, ...]] = {}
        until, left = float("inf"), list(dict.fromkeys(targets))
        failed: set[dns.Name] = set()
        for kind in self.kinds_of_address:
            answers = self.resolver.many([(target, kind) for target in left])
            for target, answer in zip(left, answers, strict=True):
                if isinstance(answer, Failed):
                    failed.add(target)
                    until = min(until, time.monotonic() + RETRY)
                    continue
                until = min(
                    until, max(answer.refresh, time.monotonic() + RETRY) if answer.stale else answer.refresh
                )
                if answer.records:
                    found[target] = tuple(sorted({plain(record.data) for record in answer.records}))
            left = [target for target in left if target not in found]
        for target in left:
            if target in failed and target in self.known:
                found[target] = self.known[target]
        self.known = found
        return found, until
