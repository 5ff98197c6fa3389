"""Admission: which requests start, which are queued and which are refused. Without the simulator."""

from __future__ import annotations

import pytest
from gateways import (
    LOOKUP,
    REPORT,
    answers,
    gateway,
    gossiping_gateway,
    receive_gossip,
    send_requests,
    sends,
    slow_down,
    timers,
)

from aspenrill import api
from aspenrill.api import AttemptEnded, Outcome
from aspenrill.policy.admission import GAP_STEP, MAX_LEVEL


def test_thread_limit_applies_only_under_pressure_and_admits_at_least_one():
    g = gateway("a", gateways=4)
    g.uses_capacity_share = False  # as with no more gateways than engines
    send_requests(g, 5)
    assert len(g.fleet.engines["a"].in_flight) == 5
    slow_down(g)
    assert not sends(g.handle(0.2, api.Request("x", 0, 5.0)))
    idle = gateway("a", gateways=4)
    slow_down(idle)
    assert sends(idle.handle(0.2, api.Request("x", 1, 20.0)))


def test_queued_requests_start_in_order_of_arrival():
    g = gateway("a", gateways=4)
    send_requests(g, 4)
    slow_down(g)
    g.classes[0].latency = 0.2
    g.send_times.extend([0.1] * 50)
    for name in ("first", "second"):
        assert not [a for a in g.handle(0.2, api.Request(name, 0, 5.0)) if not isinstance(a, api.SetTimer)]
    out = []
    for i in range(4):
        out += sends(g.handle(0.3, AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.2, True)))
        slow_down(g)
    assert [s.request for s in out][:2] == ["first", "second"]


def test_queue_timeout_is_time_left_less_the_known_latency():
    g = gateway("a")
    send_requests(g, 1)
    pending = g.pending["r0"]
    assert g._queue_timeout(pending) == pytest.approx(
        0.0
    )  # the latency target stands in until a latency is known
    g.classes[0].latency = 0.4
    assert g._queue_timeout(pending) == pytest.approx(0.6)


def test_request_without_time_left_is_refused_at_once():
    g = gateway()
    assert answers(g.handle(0.1, api.Request("r", 0, 0.0))) == [api.Refuse("r")]


def test_gap_level_rises_by_the_loss_ratio_up_to_the_highest():
    g = gateway("a")
    for r, levels in ((0.2, 0), (0.25, 1), (1 - GAP_STEP**-3 + 0.01, 3), (1.0, MAX_LEVEL)):
        g.gap_level, g.next_gap_check_at, g.now = 0, 0.0, 1.0
        g.entry_times.clear()
        g.loss_times.clear()
        g.entry_times.extend([0.5] * 1000)
        g.loss_times.extend([0.5] * round(1000 * r))
        g._update_gap()
        assert g.gap_level == levels, r


def test_gap_falls_one_level_per_window():
    g = gateway("a")
    g.gap_level, g.gap_hold_until, g.now = 4, 100.0, 10.0
    g._update_gap()
    g.now += 0.1
    g._update_gap()
    assert g.gap_level == 3


def test_refusals_by_the_gap_are_not_losses():
    g = gateway("a")
    g.gap_level, g.base_gap, g.next_entry_at = MAX_LEVEL, 1.0, 99.0
    assert answers(g.handle(0.1, api.Request("r", 1, 20.0, work=500.0)))
    assert not g.loss_times and not g.entry_times


def test_small_requests_bypass_the_gap():
    g = gateway("a")
    for c in g.classes:
        c.work, c.work_scale = 1.0, 1.0
    g.gap_level, g.base_gap, g.next_entry_at = MAX_LEVEL, 1.0, 99.0
    assert sends(g.handle(0.1, api.Request("r", 0, 5.0, work=0.01)))


@pytest.mark.parametrize(
    "longest, gap_level, retry_after", [(2.0, 0, 0.25), (2.0, 1, 0.9), (0.5, 1, 0.5), (0.0, 1, 0.0)]
)
def test_refusal_is_immediate_and_has_a_retry_after_hint(longest, gap_level, retry_after):
    # Without a hint clients repeat a refused request at once.
    g = gateway(max_retry_after=longest)  # without engines
    g.gap_level, g.next_entry_at = gap_level, 1.0  # when the gap admits the next request
    refused = []
    for at in range(20):  # the first are queued, the others are refused at once
        refused += answers(g.handle(0.1, api.Request(f"r{at}", 0, 5.0)))
    assert refused and all(a.retry_after == pytest.approx(retry_after) for a in refused)


def test_window_is_extended_until_it_has_enough_entries():
    g = gateway("a")
    g.now, g.next_gap_check_at = 20.0, 0.0
    g.entry_times.extend(range(2, 20, 2))
    g.entry_times.append(19)
    g.loss_times.extend([3.0, 5.0, 7.0, 9.0])
    g._update_gap()
    assert g.gap_level == 1


def test_gossiped_high_load_widens_the_gap_before_own_losses():
    g = gossiping_gateway(9, "a", "b")
    for i in range(12):
        g.handle(0.1, api.Request(f"r{i}", 0, 5.0))
    receive_gossip(g, 1.0, ("a", 3.0), ("b", 3.0))
    timers(g, 3.0)
    assert g.gap_level > 0 and not g.loss_times


def test_request_of_high_cost_does_not_use_up_the_gap_of_others():
    g = gossiping_gateway(9, "a", "b")
    g.gap_level, g.base_gap, g.classes[0].work_scale = 2, 0.01, 1.0
    assert answers(g.handle(0.1, api.Request("dear", 0, 60.0, work=40.0)))
    assert sends(g.handle(0.11, api.Request("usual", 0, 5.0, work=0.9)))


def test_one_jammed_engine_does_not_throttle_the_fleet():
    g = gossiping_gateway(99, *(f"e{i}" for i in range(20)))
    send_requests(g, 12)
    receive_gossip(g, 1.0, *((f"e{i}", 7.0 if i == 0 else 0.8) for i in range(20)))
    timers(g, 3.0)
    assert not g.gap_level


def test_lost_answers_do_not_widen_the_gap_while_the_gossiped_load_is_low():
    g = gossiping_gateway(9, "a", "b")
    for i in range(20):
        g.handle(0.1, api.Request(f"r{i}", 0, 1.0))
    for name, pending in list(g.in_flight.items()):
        g.handle(1.1, AttemptEnded(name, 0, pending.engine.entry.engine, Outcome.TIMEOUT, 1.0, False))
    receive_gossip(g, 1.1, ("a", 0.3), ("b", 0.3))
    timers(g, 4.0)
    assert not g.loss_times and not g.gap_level


def test_gateway_that_falls_behind_refuses_the_least_worth_first():
    # A gateway that admitted more than it could process in time answered every request late.
    g = gateway("a", classes=(LOOKUP, REPORT))
    assert sends(g.handle(0.0, api.Request("r1", 0, 5.0)))
    assert answers(g.handle(0.0, api.Request("r2", 0, 5.0, program_delay=0.1)))
    assert sends(g.handle(0.0, api.Request("r3", 1, 20.0, program_delay=0.1)))
    assert answers(g.handle(0.0, api.Request("r4", 1, 20.0, program_delay=1.0)))
