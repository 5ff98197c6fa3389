"""Which attempts are sent, with which limits, and which are not sent. Without the simulator."""

from __future__ import annotations

from dataclasses import replace

import pytest
from gateways import gateway, send_requests, sends, timers

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, Outcome


def test_attempt_timeout_leaves_time_for_another_attempt():
    for effect, more, limited in (
        (Effect.SAFE, {}, True),
        (Effect.UNSAFE, {}, False),
        (Effect.SAFE, {"may_cancel": False}, False),
    ):
        spec = api.QueryClass(latency_target=1.0, time_budget=5.0, effect=effect)
        g = gateway(
            "a",
            "b",
            classes=(spec,),
            gateways=9,
            reports_work=True,
            **{"may_probe": True, "may_cancel": True} | more,
        )
        g.classes[0].latency, g.classes[0].work, g.fleet_slowdown = 0.2, 0.2, 2.5
        g.handle(0.1, api.Request("r", 0, 5.0))
        send = sends(timers(g, 0.3))[0]
        assert (0 < send.timeout < 0.8) is limited
        if limited:
            g.handle(0.1 + send.timeout, AttemptEnded("r", 0, send.engine, Outcome.TIMEOUT, 0.6, False))
            assert [s.engine for s in sends(timers(g, 1.0))] != [send.engine] and g.pending["r"].attempts[1:]


def test_nothing_is_sent_while_an_attempt_is_in_flight_or_after_the_end():
    g = gateway("a", "b")
    send_requests(g, 1)
    pending = g.pending["r0"]
    assert not g._send(pending, g.fleet.engines["b"])  # one attempt is in flight
    g.handle(0.2, AttemptEnded("r0", 0, "a", Outcome.OK, 0.1, True))
    assert not g._send(pending, g.fleet.engines["b"])  # the request has ended


def test_grants_are_larger_where_engines_page():
    for pages, most in ((True, 4.0), (False, 1.0)):
        g = gateway("a", honors_grants=True, shortage_pages=pages)
        actions = g.handle(0.1, api.Request("r", 0, 5.0, memory_mb=100.0))
        terms = [a for a in actions if isinstance(a, api.SetTerms)]
        assert terms[0].memory_mb == pytest.approx(100.0 * most)


KEYED = api.QueryClass(latency_target=20.0, time_budget=30.0, effect=Effect.KEYED, dedup_window=6.0)
COLD = dict(start_capacity=0.5, cold_for=10.0, fall_multiple=2.0, fall_window=1.5)


def ended(send: api.Send, number: int, outcome: Outcome) -> AttemptEnded:
    return AttemptEnded(send.request, number, send.engine, outcome, 0.1, False)


def list_as_cold(g, now: float, *names: str) -> None:
    entries = tuple(api.EngineEntry(n, api.EngineState.LIVE, started=now) for n in names)
    g.handle(now, api.ListUpdate(api.ListMode.CHANGES, entries))


def test_keyed_repeat_must_begin_within_the_dedup_window():
    # Over a connection established late the repeat arrived after the window and ran a second time.
    g = gateway("a", "b", classes=(KEYED,))
    g.classes[0].latency = 0.1
    first = sends(g.handle(1.0, api.Request("r", 0, 30.0)))[0]
    again = sends(g.handle(5.0, ended(first, 0, Outcome.RESET)))[0]
    assert first.begin_within == 0.0 and again.begin_within == pytest.approx(2.0)
    assert not sends(g.handle(7.01, ended(again, 1, Outcome.NOT_STARTED)))
    g = gateway("a", "b", classes=(KEYED,))  # a repeat of what never ran needs no window
    g.classes[0].latency = 0.1
    first = sends(g.handle(1.0, api.Request("r", 0, 30.0)))[0]
    assert sends(g.handle(8.0, ended(first, 0, Outcome.CONNECT_FAILED)))[0].begin_within == 0.0


def test_late_slot_at_a_cold_engine_moves_the_request_to_another_engine():
    g = gateway("a", "b", **COLD)
    g.classes[0].work = g.classes[0].latency = 0.1
    list_as_cold(g, 1.0, "a", "b")
    for engine in g.live:
        engine.cold_slots = {0: 1.0, 1: 1.0}
    first = sends(g.handle(1.1, api.Request("r", 0, 5.0)))[0]
    assert first.begin_within == pytest.approx(0.15)
    again = sends(g.handle(1.5, ended(first, 0, Outcome.NOT_STARTED)))[0]
    late = g.fleet.engines[first.engine]
    assert (
        again.engine != first.engine and late.healthy and not late.consecutive_failures and not g.loss_times
    )
    assert 1.5 < late.cold_slots[0] < 1.5 + 1.5


@pytest.mark.parametrize("gateways", [1, 40])
def test_zero_latency_target_does_not_divide_by_zero(gateways):
    spec = api.QueryClass(latency_target=0.0, time_budget=5.0, effect=Effect.SAFE, target_per_work=2.0)
    g = gateway("a", "b", classes=(spec, spec), gateways=gateways, **COLD)
    list_as_cold(g, 1.0, "b")
    assert sends(g.handle(1.1, api.Request("r", 0, 5.0)))


def test_keyed_request_is_not_cancelled_for_a_restart_after_its_window():
    for at, cancelled in ((5.0, True), (8.0, False)):
        g = gateway("a", "b", classes=(KEYED,), may_cancel=True)
        g.classes[0].latency = g.classes[0].work = 0.1
        send = sends(g.handle(1.0, api.Request("r", 0, 30.0)))[0]
        note = api.AttemptNote("r", 0, send.engine, api.NoteKind.PROGRESS, 0.5)
        assert any(isinstance(a, api.Cancel) for a in g.handle(at, note)) is cancelled


def test_unsafe_request_with_a_note_is_never_sent_again():
    g = gateway("a", "b", classes=(replace(KEYED, effect=Effect.UNSAFE),))
    send = sends(g.handle(1.0, api.Request("r", 0, 30.0)))[0]
    g.handle(1.2, api.AttemptNote("r", 0, send.engine, api.NoteKind.PROGRESS, 0.5))
    actions = g.handle(1.3, ended(send, 0, Outcome.FULL))
    assert not sends(actions) and any(isinstance(a, api.Fail) for a in actions)
