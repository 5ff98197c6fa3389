"""Headroom at engines that report their requests in flight: what no gateway uses is shared by all."""

from __future__ import annotations

import pytest

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import Gateway

LOOKUP = api.QueryClass(latency_target=5.0, time_budget=9.0, effect=Effect.SAFE)


def gateway(**more) -> Gateway:
    g = Gateway(
        api.Settings(
            classes=(LOOKUP,),
            cores_by_kind=(8,),
            gateways=3,
            may_cancel=True,
            report_fields=("inflight",),
            **more,
        ),
        1,
        0.0,
    )
    g.handle(
        0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(name, EngineState.LIVE) for name in "abc"))
    )
    for engine in g.live[1:]:  # only "a" is reachable, as in a partition
        engine.ejected_until = 1e9
    g.fleet_slowdown, g.next_gap_check_at = 5.0, 1e9  # under pressure, and without an entry gap
    return g


def out_after(g: Gateway, others_in_flight: int) -> int:
    """Own threads at the engine after many reports of these and of `others_in_flight` further requests."""
    number, engine = 0, g.fleet.engines["a"]
    for step in range(40):
        now = 0.1 * (step + 1)
        for _ in range(12):
            number += 1
            g.handle(now, api.Request(f"r{number}", 0, 9.0))
        report = (float(engine.threads - 1 + others_in_flight),)  # without the one that ends now
        oldest = next(iter(engine.in_flight))
        g.handle(now, AttemptEnded(oldest, 0, "a", Outcome.OK, 0.3, True, report=report))
    return engine.threads


def test_headroom_that_no_gateway_uses_is_used_up_to_the_full_limit():
    assert 14 <= out_after(gateway(), 0) <= 18  # 1.7 x 1.35 threads on each of 8 cores, a third being 6


@pytest.mark.parametrize("others", [12, 18, 60])
def test_requests_of_other_gateways_leave_the_own_share(others):
    assert 5 <= out_after(gateway(), others) <= 7


def test_with_priorities_the_limit_for_long_work_is_unchanged():
    g = gateway(honors_priorities=True)
    g.mix._work_per_worth, g.mix.update = 1e-9, lambda: None  # no request counts as short
    assert 9 <= out_after(g, 0) <= 13


def test_old_report_is_ignored():
    g = gateway()
    engine, before = g.fleet.engines["a"], out_after(g, 0)
    for name in list(g.queued):
        g.handle(4.1, api.ClientGone(name))
    for name in list(engine.in_flight)[5:]:
        g.handle(4.1, AttemptEnded(name, 0, "a", Outcome.OK, 0.3, True))
    g.fleet_slowdown = 5.0
    assert engine.threads == 5 < before
    for number in range(12):
        g.handle(7.0, api.Request(f"late{number}", 0, 9.0))
    assert engine.threads == 5


def sends(actions) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def reader_gateway(effect=Effect.SAFE) -> Gateway:
    reader = api.QueryClass(latency_target=2.0, time_budget=9.0, effect=effect, waits_for_loads=True)
    g = Gateway(api.Settings(classes=(reader,), cores_by_kind=(8,), may_cancel=True), 1, 0.0)
    g.handle(
        0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(name, EngineState.LIVE) for name in "abc"))
    )
    g.classes[0].latency = 0.3
    return g


def test_reader_blocked_by_a_load_is_restarted_elsewhere_and_others_avoid_the_engine():
    g = reader_gateway()
    first = sends(g.handle(0.1, api.Request("r", 0, 9.0, data_set=7)))[0].engine
    actions = g.handle(0.3, api.AttemptNote("r", 0, first, api.NoteKind.WAITS, 2))
    assert api.Cancel("r", 0) in actions
    moved = sends(g.handle(0.31, AttemptEnded("r", 0, first, Outcome.CANCELLED, 0.2, False)))
    assert moved and moved[0].engine != first
    for number in range(8):
        later = g.handle(0.4, api.Request(f"s{number}", 0, 9.0, data_set=7))
        assert [a.engine for a in sends(later)] not in ([], [first])


@pytest.mark.parametrize("amount, effect", [(1, Effect.SAFE), (2, Effect.UNSAFE), (2, Effect.KEYED)])
def test_request_that_waits_for_memory_or_may_not_run_twice_is_not_restarted(amount, effect):
    g = reader_gateway(effect)
    first = sends(g.handle(0.1, api.Request("r", 0, 9.0, data_set=7)))[0].engine
    actions = g.handle(0.3, api.AttemptNote("r", 0, first, api.NoteKind.WAITS, amount))
    assert not [a for a in actions if isinstance(a, api.Cancel)]


@pytest.mark.parametrize("heeded, limited", [(False, True), (True, False)])
def test_with_an_entry_gap_and_without_priorities_attempts_have_a_timeout(heeded, limited):
    g = Gateway(
        api.Settings(classes=(LOOKUP,), cores_by_kind=(8,), may_cancel=True, honors_priorities=heeded), 1, 0.0
    )
    g.handle(0.0, ListUpdate(ListMode.REMEMBERED, (EngineEntry("a", EngineState.LIVE),)))
    for gap_level in (0, 2):
        g.gap_level, g.base_gap = gap_level, 0.0
        attempt = sends(g.handle(1.0, api.Request(f"r{gap_level}", 0, 9.0)))[0]
        assert (attempt.timeout > 0) == (limited and gap_level > 0)
