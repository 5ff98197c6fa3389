"""Room at engines that tell how many queries they hold: what no gateway claims is for all to share."""

from __future__ import annotations

import pytest

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import Gateway

LOOKUP = api.QueryClass(aim=5.0, patience=9.0, effect=Effect.SAFE)


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
    for engine in g.live[1:]:  # only "a" is in reach, as for one that is cut off with it
        engine.ejected_until = 1e9
    g.ordinary, g.look_at = 5.0, 1e9  # pressed, and no gap
    return g


def out_after(g: Gateway, held_by_others: int) -> int:
    """How many are out at the engine once it has often told that it holds ours and so many others."""
    number, engine = 0, g.fleet.engines["a"]
    for step in range(40):
        now = 0.1 * (step + 1)
        for _ in range(12):
            number += 1
            g.handle(now, api.Request(f"r{number}", 0, 9.0))
        told = (float(engine.threads - 1 + held_by_others),)  # without the one that ends
        oldest = next(iter(engine.out))
        g.handle(now, AttemptEnded(oldest, 0, "a", Outcome.OK, 0.3, True, report=told))
    return engine.threads


def test_what_nobody_claims_is_taken_up_to_the_whole_limit():
    assert 14 <= out_after(gateway(), 0) <= 18  # 1.7 x 1.35 threads on each of 8 cores, a third being 6


@pytest.mark.parametrize("others", [12, 18, 60])
def test_what_others_hold_leaves_the_own_part(others):
    assert 5 <= out_after(gateway(), others) <= 7


def test_with_priorities_the_limit_for_longer_work_stays():
    g = gateway(priorities_heeded=True)
    g.mix._price, g.mix.update = 1e-9, lambda: None  # nothing counts as short
    assert 9 <= out_after(g, 0) <= 13


def test_a_report_that_is_old_tells_nothing():
    g = gateway()
    engine, taken = g.fleet.engines["a"], out_after(g, 0)
    for name in list(g.held):
        g.handle(4.1, api.ClientGone(name))
    for name in list(engine.out)[5:]:
        g.handle(4.1, AttemptEnded(name, 0, "a", Outcome.OK, 0.3, True))
    g.ordinary = 5.0
    assert engine.threads == 5 < taken
    for number in range(12):
        g.handle(7.0, api.Request(f"late{number}", 0, 9.0))
    assert engine.threads == 5


def sent(actions) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def reading(effect=Effect.SAFE) -> Gateway:
    reader = api.QueryClass(aim=2.0, patience=9.0, effect=effect, waits_for_loads=True)
    g = Gateway(api.Settings(classes=(reader,), cores_by_kind=(8,), may_cancel=True), 1, 0.0)
    g.handle(
        0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(name, EngineState.LIVE) for name in "abc"))
    )
    g.classes[0].latency = 0.3
    return g


def test_a_reader_that_waits_for_a_load_starts_afresh_elsewhere_and_others_keep_away():
    g = reading()
    first = sent(g.handle(0.1, api.Request("r", 0, 9.0, data_set=7)))[0].engine
    said = g.handle(0.3, api.AttemptNote("r", 0, first, api.NoteKind.WAITS, 2))
    assert api.Cancel("r", 0) in said
    moved = sent(g.handle(0.31, AttemptEnded("r", 0, first, Outcome.CANCELLED, 0.2, False)))
    assert moved and moved[0].engine != first
    for number in range(8):
        later = g.handle(0.4, api.Request(f"s{number}", 0, 9.0, data_set=7))
        assert [a.engine for a in sent(later)] not in ([], [first])


@pytest.mark.parametrize("amount, effect", [(1, Effect.SAFE), (2, Effect.UNSAFE), (2, Effect.KEYED)])
def test_what_waits_for_memory_or_may_not_run_again_stays(amount, effect):
    g = reading(effect)
    first = sent(g.handle(0.1, api.Request("r", 0, 9.0, data_set=7)))[0].engine
    said = g.handle(0.3, api.AttemptNote("r", 0, first, api.NoteKind.WAITS, amount))
    assert not [a for a in said if isinstance(a, api.Cancel)]


@pytest.mark.parametrize("heeded, limited", [(False, True), (True, False)])
def test_under_a_gap_attempts_are_bounded_where_no_priority_keeps_them_aside(heeded, limited):
    g = Gateway(
        api.Settings(classes=(LOOKUP,), cores_by_kind=(8,), may_cancel=True, priorities_heeded=heeded), 1, 0.0
    )
    g.handle(0.0, ListUpdate(ListMode.REMEMBERED, (EngineEntry("a", EngineState.LIVE),)))
    for rung in (0, 2):
        g.rung, g.base_gap = rung, 0.0
        attempt = sent(g.handle(1.0, api.Request(f"r{rung}", 0, 9.0)))[0]
        assert (attempt.timeout > 0) == (limited and rung > 0)
