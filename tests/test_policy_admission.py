"""Who comes in, who waits in line, who is refused. The module alone, without the bench."""

from __future__ import annotations

import pytest
from gateways import LOOKUP, REPORT, answers, fill, gateway, newsy, press, sends, timers, told

from aspenrill import api
from aspenrill.api import AttemptEnded, Outcome
from aspenrill.policy.admission import LADDER, TOP


def test_limit_binds_only_under_pressure_and_leaves_room_for_one():
    g = gateway("a", gateways=4)
    g.sparse = False  # as where engines are no fewer than gateways
    fill(g, 5)
    assert len(g.fleet.engines["a"].out) == 5
    press(g)
    assert not sends(g.handle(0.2, api.Request("x", 0, 5.0)))
    idle = gateway("a", gateways=4)
    press(idle)
    assert sends(idle.handle(0.2, api.Request("x", 1, 20.0)))


def test_held_queries_leave_first_come():
    g = gateway("a", gateways=4)
    fill(g, 4)
    press(g)
    g.classes[0].latency = 0.2
    g.starts.extend([0.1] * 50)
    for name in ("first", "second"):
        assert not [a for a in g.handle(0.2, api.Request(name, 0, 5.0)) if not isinstance(a, api.SetTimer)]
    out = []
    for i in range(4):
        out += sends(g.handle(0.3, AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.2, True)))
        press(g)
    assert [s.request for s in out][:2] == ["first", "second"]


def test_queue_time_out_is_time_left_less_the_learned_latency():
    g = gateway("a")
    fill(g, 1)
    query = g.queries["r0"]
    assert g._tt(query) == pytest.approx(0.0)  # the aim stands in for the latency until learned
    g.classes[0].latency = 0.4
    assert g._tt(query) == pytest.approx(0.6)


def test_a_request_without_time_left_is_answered_at_once():
    g = gateway()
    assert answers(g.handle(0.1, api.Request("r", 0, 0.0))) == [api.Refuse("r")]


def test_rungs_rise_by_what_r_proves_and_stop_at_the_top():
    g = gateway("a")
    for r, rungs in ((0.2, 0), (0.25, 1), (1 - LADDER**-3 + 0.01, 3), (1.0, TOP)):
        g.rung, g.look_at, g.now = 0, 0.0, 1.0
        g.entered.clear()
        g.lost.clear()
        g.entered.extend([0.5] * 1000)
        g.lost.extend([0.5] * round(1000 * r))
        g._step_gap()
        assert g.rung == rungs, r


def test_gap_falls_one_rung_a_wait():
    g = gateway("a")
    g.rung, g.gap_until, g.now = 4, 100.0, 10.0
    g._step_gap()
    g.now += 0.1
    g._step_gap()
    assert g.rung == 3


def test_refusals_by_the_gap_are_not_counted():
    g = gateway("a")
    g.rung, g.base_gap, g.next_entry = TOP, 1.0, 99.0
    assert answers(g.handle(0.1, api.Request("r", 1, 20.0, work=500.0)))
    assert not g.lost and not g.entered


def test_small_queries_pass_beside_the_gap():
    g = gateway("a")
    for c in g.classes:
        c.work, c.scale = 1.0, 1.0
    g.rung, g.base_gap, g.next_entry = TOP, 1.0, 99.0
    assert sends(g.handle(0.1, api.Request("r", 0, 5.0, work=0.01)))


@pytest.mark.parametrize("longest, rung, told", [(2.0, 0, 0.25), (2.0, 1, 0.9), (0.5, 1, 0.5), (0.0, 1, 0.0)])
def test_a_refusal_comes_at_once_and_says_when_to_come_back(longest, rung, told):
    # clients that are told nothing ask again the moment they are turned away
    g = gateway(longest_come_back=longest)  # no engine is there
    g.rung, g.next_entry = rung, 1.0  # when the gap lets in the next
    refused = []
    for at in range(20):  # first come first held, and those beyond are answered in the same breath
        refused += answers(g.handle(0.1, api.Request(f"r{at}", 0, 5.0)))
    assert refused and all(a.come_back == pytest.approx(told) for a in refused)


def test_a_window_spans_enough_entries_at_a_slow_gateway():
    g = gateway("a")
    g.now, g.look_at = 20.0, 0.0
    g.entered.extend(range(2, 20, 2))
    g.entered.append(19)
    g.lost.extend([3.0, 5.0, 7.0, 9.0])
    g._step_gap()
    assert g.rung == 1


def test_a_high_load_told_by_others_widens_the_gap_before_own_queries_are_lost():
    g = newsy(9, "a", "b")
    for i in range(12):
        g.handle(0.1, api.Request(f"r{i}", 0, 5.0))
    told(g, 1.0, ("a", 3.0), ("b", 3.0))
    timers(g, 3.0)
    assert g.rung > 0 and not g.lost


def test_a_query_far_dearer_than_its_worth_does_not_take_the_gap_of_all_others():
    g = newsy(9, "a", "b")
    g.rung, g.base_gap, g.classes[0].scale = 2, 0.01, 1.0
    assert answers(g.handle(0.1, api.Request("dear", 0, 60.0, work=40.0)))
    assert sends(g.handle(0.11, api.Request("usual", 0, 5.0, work=0.9)))


def test_one_jammed_engine_does_not_throttle_the_fleet():
    g = newsy(99, *(f"e{i}" for i in range(20)))
    fill(g, 12)
    told(g, 1.0, *((f"e{i}", 7.0 if i == 0 else 0.8) for i in range(20)))
    timers(g, 3.0)
    assert not g.rung


def test_lost_answers_do_not_widen_the_gap_where_the_told_load_is_low():
    g = newsy(9, "a", "b")
    for i in range(20):
        g.handle(0.1, api.Request(f"r{i}", 0, 1.0))
    for name, query in list(g.out.items()):
        g.handle(1.1, AttemptEnded(name, 0, query.engine.entry.engine, Outcome.TIMEOUT, 1.0, False))
    told(g, 1.1, ("a", 0.3), ("b", 0.3))
    timers(g, 4.0)
    assert not g.lost and not g.rung


def test_a_gateway_that_falls_behind_refuses_little_worth_first():
    # taking on what it cannot carry out in time made every answer late
    g = gateway("a", classes=(LOOKUP, REPORT))
    assert sends(g.handle(0.0, api.Request("r1", 0, 5.0)))
    assert answers(g.handle(0.0, api.Request("r2", 0, 5.0, waited=0.1)))
    assert sends(g.handle(0.0, api.Request("r3", 1, 20.0, waited=0.1)))
    assert answers(g.handle(0.0, api.Request("r4", 1, 20.0, waited=1.0)))
