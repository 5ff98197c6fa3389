"""The answer cache in the path of a request.

The owner calls `lookup` when a request arrives, before the decision module sees it, `sent` for each attempt,
`ended` at the end of each attempt, and `closed` once the request has its final answer for any reason. What a
load may have written is purged locally at once, and at all processes through `notify`. No I/O; `now` is
CLOCK_BOOTTIME, read just before each call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...core.books import ClientRequest, Result
from . import scopes
from .policy import Policy, Rule
from .store import NEVER, Key, Stamp, Store

ENTRY_OVERHEAD = 400  # bytes of a cache entry besides its rows and statement
MAX_FETCHES = 10_000  # concurrent fetches that are tracked; further requests are not coalesced


@dataclass(frozen=True, slots=True)
class LoadNews:
    """For the purges component: a load of these scopes was sent, or has ended or may have."""

    scopes: tuple[str, ...]
    ended: bool


@dataclass(frozen=True, slots=True)
class Joined:
    """The request waits for another's fetch; `tired` must be called at time `until`."""

    until: float


@dataclass(slots=True)
class Released:
    """Requests released by the end of a fetch: those with an answer, and those to send themselves."""

    served: list[ClientRequest] = field(default_factory=list)
    go_on: list[ClientRequest] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Fetch:
    """A request whose answer will be cached, and the requests that wait for it."""

    call: ClientRequest
    key: Key
    rule: Rule
    scopes: tuple[str, ...]
    stamp: Stamp | None = None  # None until it is sent
    sent_at: float = 0.0
    waiters: dict[str, ClientRequest] = field(default_factory=dict)


class Kept:
    """The owner's answer cache if `[fleet.purges]` is enabled. `clock` is the owner's source of `now`."""

    def __init__(
        self,
        store: Store,
        policy: Policy,
        notify: Callable[[LoadNews], None],
        clock: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.store, self.policy, self.notify, self.clock = store, policy, notify, clock
        self.fetches: dict[str, Fetch] = {}  # by id of the fetching request
        self.joinable: dict[Key, Fetch] = {}  # fetches that may be joined
        self.joined: dict[str, Fetch] = {}  # by id of the waiting request
        self.open_loads: dict[str, tuple[str, ...]] = {}  # scopes of open loads by request id

    def lookup(self, call: ClientRequest, now: float) -> Result | Joined | None:
        """A cached answer; Joined if another request is fetching it; None if the request must be sent."""
        rule = self.policy.rule(call.cls, call.tenant)
        if rule is None or not self.store.serves(now):
            return None
        key = (call.tenant, call.cls, call.statement)
        result = self.store.get(now, key)
        if result is not None:
            return result
        fetch = self.joinable.get(key)
        if fetch is not None and (fetch.stamp is None or self.store.current(fetch.stamp)):
            if len(fetch.waiters) >= self.policy.joins:
                return None
            fetch.waiters[call.id] = call
            self.joined[call.id] = fetch
            return Joined(now + min(self.policy.wait, call.time_budget / 2))
        groups = scopes.groups_read(call.statement.decode("utf-8", "replace"))
        if groups is not None and len(self.fetches) < MAX_FETCHES:
            fetch_scopes = (scopes.of_class(rule.name), *sorted(map(scopes.of_group, groups)))
            fetch = Fetch(call, key, rule, fetch_scopes)
            self.fetches[call.id] = self.joinable[key] = fetch
        return None

    def sent(self, call: ClientRequest, now: float) -> None:
        """An attempt is about to be sent. A fetch counts from its first attempt, which may answer."""
        fetch = self.fetches.get(call.id)
        if fetch is not None and fetch.stamp is None:
            fetch.stamp, fetch.sent_at = self.store.stamp(fetch.scopes), now
        if call.cls in self.policy.loads:
            written = _written_scopes(call)
            self._report_load(written, ended=False)
            if call.id in self.open_loads:  # a repeated attempt: the end of the previous one is unknown
                self._report_load(written, ended=True)
            self.open_loads[call.id] = written

    def ended(self, call: ClientRequest, result: Result | None, now: float) -> Released:
        """An attempt has ended: with rows, or without (`result` is None), or with an unknown outcome."""
        if call.cls in self.policy.loads:  # also if its client had its answer long before
            self._report_load(self.open_loads.pop(call.id, None) or _written_scopes(call), ended=True)
        released = Released()
        fetch = self.fetches.get(call.id)
        if fetch is None:
            return released
        if result is not None and fetch.stamp is not None:
            size = sum(map(len, result.pages)) + sum(map(len, result.tokens)) + ENTRY_OVERHEAD
            self.store.put(now, fetch.key, result, size, fetch.stamp, fetch.sent_at + fetch.rule.seconds)
            if self.store.serves(now) and self.store.current(fetch.stamp):
                released.served = self._release(fetch)
        released.go_on = self._release(fetch)
        return released

    def closed(self, call: ClientRequest, now: float) -> list[ClientRequest]:
        """The request has its final answer or its client is gone; the waiting requests to be sent."""
        self.tired(call)
        if call.id in self.open_loads:
            self._report_load(self.open_loads.pop(call.id), ended=True)
        fetch = self.fetches.get(call.id)
        return self._release(fetch) if fetch is not None else []

    def tired(self, call: ClientRequest) -> bool:
        """Ends the wait for another's fetch; whether it was waiting and must be sent itself."""
        fetch = self.joined.pop(call.id, None)
        if fetch is None:
            return False
        del fetch.waiters[call.id]
        return True

    def stop(self) -> None:
        """The lease is returned: nothing is served from now on."""
        self.store.lease_end = NEVER

    def _release(self, fetch: Fetch) -> list[ClientRequest]:
        """Removes a fetch; the open requests that waited for it."""
        waiters = list(fetch.waiters.values())
        fetch.waiters.clear()
        for call in waiters:
            self.joined.pop(call.id, None)
        self.fetches.pop(fetch.call.id, None)
        if self.joinable.get(fetch.key) is fetch:
            del self.joinable[fetch.key]
        return [call for call in waiters if call.open]

    def _report_load(self, written: tuple[str, ...], ended: bool) -> None:
        for scope in written:
            self.store.purge(scope)
        self.notify(LoadNews(written, ended))


def _written_scopes(call: ClientRequest) -> tuple[str, ...]:
    """The scopes that a load may write: all groups that it names, or everything if it names none."""
    groups = scopes.groups_named(call.statement.decode("utf-8", "replace"))
    return tuple(sorted({scopes.of_group(group) for group in groups})) or (scopes.ALL,)
