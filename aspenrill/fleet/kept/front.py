"""Kept answers on a request's way: looked up before the decision module is told, kept when an attempt has
ended.

The owner asks `lookup` when a request comes, says `sent` for each attempt, `ended` for each end of one, and
`closed` when a request has its final answer for whatever reason. What a load may have written is purged here
at once, and through `tell` everywhere. No I/O; `now` is CLOCK_BOOTTIME, read just before each call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...core.books import Call, Result
from . import scopes
from .policy import Policy, Rule
from .store import NEVER, Key, Stamp, Store

OVERHEAD = 400  # bytes that an entry takes beside its rows and its statement
MOST_FLIGHTS = 10_000  # fetches that are known at once; beyond, requests go on by themselves


@dataclass(frozen=True, slots=True)
class LoadNews:
    """For the purges' part: a load of these scopes has been sent, or has ended or may have."""

    scopes: tuple[str, ...]
    ended: bool


@dataclass(frozen=True, slots=True)
class Joined:
    """The request waits for another's fetch, until then at most: `tired` is to be called at that time."""

    until: float


@dataclass(slots=True)
class Freed:
    """What a fetch's end means to those that waited: an answer, or that they go on by themselves."""

    served: list[Call] = field(default_factory=list)
    go_on: list[Call] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Flight:
    """A fetch: whose it is, under what it was sent, who waits for it."""

    call: Call
    key: Key
    rule: Rule
    scopes: tuple[str, ...]
    stamp: Stamp | None = None  # None: not sent yet
    sent: float = 0.0
    waiters: dict[str, Call] = field(default_factory=dict)


class Kept:
    """The object that the owner holds where `[fleet.purges]` is on. `clock`: what it reads as `now`."""

    def __init__(
        self,
        store: Store,
        policy: Policy,
        tell: Callable[[LoadNews], None],
        clock: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.store, self.policy, self.tell, self.clock = store, policy, tell, clock
        self.flights: dict[str, Flight] = {}  # by the id of the request that fetches
        self.latest: dict[Key, Flight] = {}  # that may be joined
        self.joined: dict[str, Flight] = {}  # by the id of the request that waits
        self.loads: dict[str, tuple[str, ...]] = {}  # sent and open

    def lookup(self, call: Call, now: float) -> Result | Joined | None:
        """A kept answer; or Joined where another request fetches it; or None: the request goes on."""
        rule = self.policy.rule(call.cls, call.tenant)
        if rule is None or not self.store.serves(now):
            return None
        key = (call.tenant, call.cls, call.statement)
        result = self.store.get(now, key)
        if result is not None:
            return result
        flight = self.latest.get(key)
        if flight is not None and (flight.stamp is None or self.store.current(flight.stamp)):
            if len(flight.waiters) >= self.policy.joins:
                return None
            flight.waiters[call.id] = call
            self.joined[call.id] = flight
            return Joined(now + min(self.policy.wait, call.patience / 2))
        groups = scopes.groups_read(call.statement.decode("utf-8", "replace"))
        if groups is not None and len(self.flights) < MOST_FLIGHTS:
            under = (scopes.of_class(rule.name), *sorted(map(scopes.of_group, groups)))
            flight = Flight(call, key, rule, under)
            self.flights[call.id] = self.latest[key] = flight
        return None

    def sent(self, call: Call, now: float) -> None:
        """An attempt is about to go out. Only the first counts for a fetch: its answer may be the one that
        comes."""
        flight = self.flights.get(call.id)
        if flight is not None and flight.stamp is None:
            flight.stamp, flight.sent = self.store.stamp(flight.scopes), now
        if call.cls in self.policy.loads:
            written = _written(call)
            self._load(written, ended=False)
            if call.id in self.loads:  # tried again: what went before has an end that is not known
                self._load(written, ended=True)
            self.loads[call.id] = written

    def ended(self, call: Call, result: Result | None, now: float) -> Freed:
        """An attempt has ended: with rows, or without (`result` is None), or in a way that is not known."""
        if call.cls in self.policy.loads:  # also where its client has long had an answer
            self._load(self.loads.pop(call.id, None) or _written(call), ended=True)
        freed = Freed()
        flight = self.flights.get(call.id)
        if flight is None:
            return freed
        if result is not None and flight.stamp is not None:
            size = sum(map(len, result.pages)) + sum(map(len, result.tokens)) + OVERHEAD
            self.store.put(now, flight.key, result, size, flight.stamp, flight.sent + flight.rule.seconds)
            if self.store.serves(now) and self.store.current(flight.stamp):
                freed.served = self._release(flight)
        freed.go_on = self._release(flight)
        return freed

    def closed(self, call: Call, now: float) -> list[Call]:
        """The request has its final answer, or its client has gone; gives who waited for it and must go
        on."""
        self.tired(call)
        if call.id in self.loads:
            self._load(self.loads.pop(call.id), ended=True)
        flight = self.flights.get(call.id)
        return self._release(flight) if flight is not None else []

    def tired(self, call: Call) -> bool:
        """It waits no longer for another's fetch. True where it did, and goes on by itself."""
        flight = self.joined.pop(call.id, None)
        if flight is None:
            return False
        del flight.waiters[call.id]
        return True

    def stop(self) -> None:
        """The lease is given back: nothing is served from now on."""
        self.store.lease_end = NEVER

    def _release(self, flight: Flight) -> list[Call]:
        """Those that wait; the fetch is known no more."""
        waiters = list(flight.waiters.values())
        flight.waiters.clear()
        for call in waiters:
            self.joined.pop(call.id, None)
        self.flights.pop(flight.call.id, None)
        if self.latest.get(flight.key) is flight:
            del self.latest[flight.key]
        return [call for call in waiters if call.open]

    def _load(self, written: tuple[str, ...], ended: bool) -> None:
        for scope in written:
            self.store.purge(scope)
        self.tell(LoadNews(written, ended))


def _written(call: Call) -> tuple[str, ...]:
    """The scopes that a load may write: of all groups that it names, or everything where it names none."""
    groups = scopes.groups_named(call.statement.decode("utf-8", "replace"))
    return tuple(sorted({scopes.of_group(group) for group in groups})) or (scopes.ALL,)
