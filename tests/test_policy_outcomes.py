"""What the end of an attempt and a note lead to. Without the simulator."""

from __future__ import annotations

import random

import pytest
from gateways import LOOKUP, answers, gateway, gossiping_gateway, sends, timers

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, Outcome


def test_bad_plan_is_restarted_where_cancel_frees_the_engine():
    for may_cancel in (True, False):
        g = gateway("a", may_cancel=may_cancel)
        g.handle(0.1, api.Request("r", 1, 20.0))
        note = api.AttemptNote("r", 0, "a", api.NoteKind.PROGRESS, 0.05)
        assert (api.Cancel("r", 0) in g.handle(2.1, note)) is may_cancel


def test_keyed_request_is_not_repeated_after_its_window():
    keyed = api.QueryClass(latency_target=9.0, time_budget=20.0, effect=Effect.KEYED, dedup_window=1.0)
    for took, again in ((0.5, True), (1.5, False)):
        g = gateway("a", "b", classes=(keyed,))
        g.classes[0].latency = 0.5
        g.handle(0.1, api.Request("r", 0, 20.0))
        engine = g.pending["r"].engine.entry.engine
        actions = g.handle(0.1 + took, AttemptEnded("r", 0, engine, Outcome.ERROR, took, False))
        assert bool(sends(actions)) is again and bool(answers(actions)) is not again


def test_retry_budget_counts_retries_on_the_edge_of_its_span():
    g = gateway("a", "b", retry_free=1, retry_ratio=0.0, retry_span=5.0)
    g.classes[0].latency = 0.2
    for at, name in ((1.0, "r"), (6.0, "s")):
        g.handle(at - 0.1, api.Request(name, 0, 20.0))
        engine = g.pending[name].engine.entry.engine
        again = sends(g.handle(at, AttemptEnded(name, 0, engine, Outcome.CONNECT_FAILED, 0.1, False)))
        assert len(again) == (1 if name == "r" else 0)


@pytest.mark.parametrize("seed", range(8))
def test_retries_stay_in_the_budget_through_bursts_and_pauses(seed):
    rng = random.Random(seed)
    g = gossiping_gateway(9, *"abcd", retry_free=2, retry_ratio=0.1, retry_span=10.0, max_attempts=4)
    g.classes[0].latency, now, n = 0.1, 0.0, 0
    taken, extra, first = [], [], set()

    def check(actions):
        for send in sends(actions):
            if send.request in first:
                extra.append(now)
                count = sum(t >= now - 10.0 for t in extra)
                assert count <= 2 + 0.1 * sum(t > now - 10.0 for t in taken)
            first.add(send.request)

    for _ in range(400):
        now = round(now + rng.choice([0.01, 0.05, 0.05, 2.5 if rng.random() < 0.05 else 0.1]), 6)
        for _ in range(rng.choice([0, 0, 1, 5])):
            n += 1
            taken.append(now)
            check(g.handle(now, api.Request(f"r{n}", 0, 5.0)))
        for name, pending in list(g.in_flight.items()):
            outcome = rng.choice([Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.OK])
            engine = pending.engine.entry.engine
            last = len(pending.attempts) - 1
            check(g.handle(now, AttemptEnded(name, last, engine, outcome, 0.1, outcome is Outcome.OK)))
        check(timers(g, now))
    assert extra


def test_long_request_is_not_restarted_repeatedly():
    # Its work is truly long: without the restart credit each such request was cancelled until it was refused.
    g = gateway("a", "b", may_cancel=True, max_attempts=5)
    cancels = 0
    for i in range(20):
        g.handle(0.0, api.Request(f"r{i}", 1, 20.0))
        for attempt in range(5):
            note = api.AttemptNote(f"r{i}", attempt, "a", api.NoteKind.PROGRESS, 0.01)
            if any(isinstance(a, api.Cancel) for a in g.handle(2.0, note)):
                cancels += 1
                g.handle(2.0, AttemptEnded(f"r{i}", attempt, "a", Outcome.CANCELLED, 2.0, False))
    assert 1 <= cancels <= 4


def test_unsafe_request_is_not_restarted():
    # A cancelled unsafe request fails: it would end because it takes longer than others of its class.
    once = api.QueryClass(latency_target=1.0, time_budget=60.0, effect=Effect.UNSAFE)
    for spec, restarted in ((once, False), (LOOKUP, True)):
        g = gateway("a", classes=(spec,), may_cancel=True)
        g.handle(0.1, api.Request("r", 0, 60.0))
        note = api.AttemptNote("r", 0, "a", api.NoteKind.PROGRESS, 0.01)
        assert any(isinstance(a, api.Cancel) for a in g.handle(1.1, note)) is restarted
