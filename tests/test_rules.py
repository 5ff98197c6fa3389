"""Property: for any sequence of legal events the actions keep the seven rules."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill import api
from aspenrill.api import Effect, EngineState, ListMode, Outcome
from aspenrill.control import Gateway

SLACK = 0.02


class RuleChecker:
    """Simulates engines and clients at random and checks every action against the rules."""

    def __init__(self, seed: int, setup: api.Settings) -> None:
        self.rng, self.settings, self.now = random.Random(seed), setup, 0.0
        self.gateway = Gateway(setup, seed, 0.0)
        self.arrivals: dict[str, tuple[api.Request, float]] = {}
        self.done: dict[str, str] = {}
        self.in_flight: dict[str, tuple[int, str, float]] = {}
        self.attempts: dict[str, list[tuple[str, float, Outcome | None]]] = {}
        self.entries: dict[str, api.EngineEntry] = {}
        self.timers: list[tuple[float, str]] = []
        self.probed: list[str] = []
        self.peer_messages = [bytes(range(256))]
        self.arrival_times: list[float] = []
        self.retry_times: list[float] = []
        self.key_order: dict[str, list[str]] = {}
        self.key_backoff: dict[str, float] = {}
        self.cold_sends: dict[str, list[tuple[float, float]]] = {}
        self.highest_work = [0.0] * len(setup.classes)

    def deliver(self, event: api.Event) -> None:
        for action in self.gateway.handle(self.now, event):
            match action:
                case api.Send():
                    self.check_send(action)
                case api.Refuse(request) | api.Fail(request):
                    assert request not in self.done, "two final answers"
                    arrival, arrived_at = self.arrivals[request]
                    assert self.now <= arrived_at + arrival.time_budget + SLACK, "answered too late"
                    if isinstance(action, api.Refuse):
                        self.check_refusal(arrival)
                    self.done[request] = "ended"
                case api.Cancel(request, attempt):
                    assert self.settings.may_cancel and attempt < len(self.attempts[request])
                case api.Probe():
                    assert self.settings.may_probe
                    self.probed.append(action.engine)
                case api.SendGossip(data):
                    assert self.settings.may_gossip and 0 < len(data) <= 256
                    self.peer_messages.append(data)
                case api.SetTimer(delay, name):
                    self.timers.append((self.now + delay, name))

    def ran(self, request: str) -> list[tuple[str, float, Outcome | None]]:
        return [t for t in self.attempts.get(request, []) if t[2] is None or not t[2].never_ran]

    def check_refusal(self, arrival: api.Request) -> None:
        spec = self.settings.classes[arrival.cls]
        if self.ran(arrival.request):
            assert spec.effect is Effect.SAFE or (
                spec.effect is Effect.KEYED and spec.dedup_scope == "all"
            ), "refused, though a repeat may do harm"

    def check_send(self, send: api.Send) -> None:
        arrival, arrived_at = self.arrivals[send.request]
        spec, entry = self.settings.classes[arrival.cls], self.entries[send.engine]
        assert send.request not in self.done, "sent after its end"
        assert send.request not in self.in_flight, "two attempts in flight"
        assert entry.state is EngineState.LIVE, "sent to a draining or gone engine"
        assert spec.only_kinds is None or entry.kind in spec.only_kinds, "wrong kind"
        assert spec.only_zones is None or entry.zone in spec.only_zones, "wrong zone"
        before = self.attempts.setdefault(send.request, [])
        assert len(before) < self.settings.max_attempts, "too many attempts"
        ran = self.ran(send.request)
        if ran:
            assert spec.effect is not Effect.UNSAFE, "an unsafe request ran twice"
            if spec.effect is Effect.KEYED:
                assert self.now < ran[0][1] + spec.dedup_window, "after the window"
                first = self.entries[ran[0][0]]
                assert spec.dedup_scope == "all" or getattr(first, spec.dedup_scope) == getattr(
                    entry, spec.dedup_scope
                ), "outside the group"
        if before:
            self.retry_times.append(self.now)
            if self.settings.retry_ratio is not None:
                span = self.now - self.settings.retry_span
                count = sum(t > span for t in self.retry_times)
                assert count <= self.settings.retry_free + self.settings.retry_ratio * sum(
                    t > span for t in self.arrival_times
                ), "over the retry budget"
        if spec.in_order and arrival.key is not None and self.settings.key_backoff is not None:
            for earlier in self.key_order[arrival.key]:
                if earlier == send.request:
                    break
                assert earlier in self.done and earlier not in self.in_flight, "out of order"
            if not before:
                assert self.now >= self.key_backoff.get(arrival.key, 0.0), "key still backed off"
        if entry.started and self.now < entry.started + self.settings.cold_for:
            work = self.gateway.classes[arrival.cls].typical_work()
            sends = self.cold_sends.setdefault(send.engine, [])
            sends.append((self.now, work))
            max_work = (
                self.settings.fall_multiple
                * self.settings.start_capacity
                * self.settings.cores_by_kind[entry.kind]
            )
            allotted = max_work / self.settings.gateways * (self.now - entry.started)
            self.highest_work = [
                max(pair)
                for pair in zip(
                    self.highest_work, (c.typical_work() for c in self.gateway.classes), strict=True
                )
            ]
            most = 2 * sum(self.highest_work)  # earlier slots were sized by the typical work of their time
            assert sum(w for _, w in sends) <= allotted + most, "more than its slots at a cold engine"
        before.append((send.engine, self.now, None))
        limit = send.timeout or 1e9
        self.in_flight[send.request] = (
            len(before) - 1,
            send.engine,
            min(self.now + limit, arrived_at + arrival.time_budget),
        )

    def finish(self, request: str, outcome: Outcome) -> None:
        attempt, engine, _ = self.in_flight.pop(request)
        _, sent, _ = self.attempts[request][attempt]
        self.attempts[request][attempt] = (engine, sent, outcome)
        arrival = self.arrivals[request][0]
        closed = request in self.done or outcome is Outcome.OK
        if outcome is Outcome.OK:
            self.done.setdefault(request, "served")
        if outcome.may_still_run and arrival.key is not None and self.settings.key_backoff is not None:
            self.key_backoff[arrival.key] = self.now + self.settings.key_backoff
        work = self.rng.random() * 3 if self.settings.reports_work and outcome is Outcome.OK else None
        self.deliver(
            api.AttemptEnded(
                request,
                attempt,
                engine,
                outcome,
                self.now - sent,
                closed,
                work=work,
                memory_mb=100 * self.rng.random() if work else None,
            )
        )

    def step(self) -> None:
        self.now += self.rng.choice([0.0, 0.005, 0.005, 0.015])
        for due in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove(due)
            self.deliver(api.TimerDue(due[1]))
        for request, (_, _, limit) in list(self.in_flight.items()):
            if self.now >= limit:
                self.finish(request, Outcome.TIMEOUT)
        while self.probed:
            ok = self.rng.random() < 0.8
            outcome = Outcome.OK if ok else self.rng.choice([Outcome.TIMEOUT, Outcome.FULL, Outcome.ERROR])
            self.deliver(
                api.ProbeEnded(self.probed.pop(), outcome, 0.01, (self.rng.random(),) if ok else None)
            )
        draw = self.rng.random()
        if draw < 0.5:
            n = len(self.arrivals)
            cls = self.rng.randrange(len(self.settings.classes))
            spec = self.settings.classes[cls]
            arrival = api.Request(
                f"r{n}",
                cls,
                self.rng.choice([0.001, 0.3, 1.0]) * spec.time_budget,
                key=self.rng.choice([None, "a", "b"]),
                memory_mb=self.rng.choice([0.0, 64.0]),
                work=self.rng.choice([None, 0.1, 2.0]),
                data_set=self.rng.randrange(4),
            )
            self.arrivals[arrival.request] = (arrival, self.now)
            self.arrival_times.append(self.now)
            if spec.in_order and arrival.key is not None:
                self.key_order.setdefault(arrival.key, []).append(arrival.request)
            self.deliver(arrival)
        elif draw < 0.9 and self.in_flight:
            request = self.rng.choice(sorted(self.in_flight))
            self.finish(request, self.rng.choice([Outcome.OK] * 5 + [o for o in Outcome]))
        elif draw < 0.95:
            self.change_list()
        elif draw < 0.96 and self.arrivals:
            request = self.rng.choice(sorted(self.arrivals))
            if request not in self.done:
                self.done[request] = "gone"
                self.deliver(api.ClientGone(request))
        elif draw < 0.98:
            self.deliver(api.PeerMessage(1, self.rng.choice(self.peer_messages)))

    def change_list(self) -> None:
        name = f"e{self.rng.randrange(5)}"
        old = self.entries.get(name)
        kind = old.kind if old else self.rng.randrange(len(self.settings.cores_by_kind))
        zone, cell = (old.zone, old.cell) if old else (self.rng.randrange(2), self.rng.randrange(2))
        state = self.rng.choice([EngineState.LIVE] * 3 + [EngineState.DRAINING, EngineState.GONE])
        started = self.now if self.rng.random() < 0.3 else (old.started if old else 0.0)
        if started == self.now:
            self.cold_sends.pop(name, None)
        self.entries[name] = api.EngineEntry(name, state, kind, zone, cell, started)
        if self.rng.random() < 0.2:
            self.deliver(api.ListUpdate(ListMode.COMPLETE, tuple(self.entries.values())))
        else:
            self.deliver(api.ListUpdate(ListMode.CHANGES, (self.entries[name],)))


def classes(scope: str, order: bool) -> tuple[api.QueryClass, ...]:
    return (
        api.QueryClass(0.5, 2.0, Effect.SAFE, threads=1, waits_for_loads=True, target_per_work=1.5),
        api.QueryClass(1.0, 3.0, Effect.UNSAFE, worth=5, threads=2, only_kinds=(0,)),
        api.QueryClass(
            1.0,
            3.0,
            Effect.KEYED,
            worth=5,
            threads=2,
            dedup_scope=scope,
            dedup_window=1.0,
            in_order=order,
            is_load=True,
        ),
        api.QueryClass(0.5, 2.0, Effect.SAFE, only_zones=(1,)),
    )


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    seed=st.integers(0, 10**6),
    scope=st.sampled_from(["all", "zone", "cell"]),
    order=st.booleans(),
    budget=st.booleans(),
    cancel=st.booleans(),
    reported=st.booleans(),
    gateways=st.integers(1, 12),
    watch_list=st.booleans(),
    probe=st.booleans(),
)
def test_rules_hold_for_any_events(seed, scope, order, budget, cancel, reported, gateways, watch_list, probe):
    setup = api.Settings(
        classes=classes(scope, order),
        cores_by_kind=(4, 8),
        gateways=gateways,
        may_cancel=cancel,
        may_gossip=not cancel,
        gossip_price=0.01,
        shortage_pages=watch_list,
        memory_by_kind=(4096.0, 8192.0),
        reports_work=reported,
        honors_grants=reported,
        honors_priorities=reported,
        max_retry_after=1.0,
        start_capacity=0.3,
        cold_for=10.0,
        fall_multiple=3.0,
        fall_window=2.0,
        key_backoff=0.3 if order else None,
        retry_free=2 if budget else None,
        retry_ratio=0.05 if budget else None,
        retry_span=5.0,
        subscribe_to_list=watch_list,
        may_probe=probe,
        report_fields=("util",) if probe else (),
    )
    checker = RuleChecker(seed, setup)
    checker.entries = {
        f"e{i}": api.EngineEntry(f"e{i}", EngineState.LIVE, i % 2, i % 2, i % 2) for i in range(4)
    }
    checker.deliver(api.ListUpdate(ListMode.REMEMBERED, tuple(checker.entries.values())))
    for _ in range(600):
        checker.step()
    for _ in range(200):  # let every request end
        checker.now += 0.02
        for due in sorted(t for t in checker.timers if t[0] <= checker.now):
            checker.timers.remove(due)
            checker.deliver(api.TimerDue(due[1]))
        for request, (_, _, limit) in list(checker.in_flight.items()):
            if checker.now >= limit:
                checker.finish(request, Outcome.TIMEOUT)
    assert set(checker.done) == set(checker.arrivals), "a request was lost"
