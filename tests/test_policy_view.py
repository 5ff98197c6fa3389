"""What a gateway knows of engines: ejection, load reports, gossip, statistics. Without the simulator."""

from __future__ import annotations

import math

import pytest
from gateways import LOOKUP, gateway, gossiping_gateway, receive_gossip, send_requests, sends, timers

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import Gateway
from aspenrill.policy.admission import GOSSIP_RESULT_SHARE
from aspenrill.policy.figures import GOSSIP_COST


def test_own_threads_count_as_pressure_before_the_first_answer():
    g = gateway("a")
    send_requests(g, 60)
    assert len(g.fleet.engines["a"].in_flight) < 40


def test_unresponsive_engine_is_probed_ejected_and_returns_by_a_probe():
    g = gateway("a", "b", may_probe=True)
    send_requests(g, 1)
    silent = g.pending["r0"].engine.entry.engine
    g.classes[0].latency = 0.2
    actions = timers(g, 3.7)
    assert api.Probe(silent) in actions and g.fleet.engines[silent].healthy
    g.handle(3.8, api.ProbeEnded(silent, Outcome.TIMEOUT, 0.25))
    assert not g.fleet.engines[silent].healthy
    for i in range(4):
        assert sends(g.handle(3.9, api.Request(f"x{i}", 0, 5.0)))[0].engine != silent
    assert api.Probe(silent) in timers(g, 5.0)
    g.handle(5.1, api.ProbeEnded(silent, Outcome.OK, 0.01))
    assert g.fleet.engines[silent].healthy


def test_engine_that_is_back_is_not_probed_again():
    g = gateway("a", "b", "c", may_probe=True)
    g.gap_level = 1  # with an entry gap the timers go on
    g._eject(g.fleet.engines["a"], "test")
    g.fleet.engines["a"].penalty = 0.0  # an answer arrived meanwhile
    g.handle(0.1, api.ClientGone("none"))
    assert timers(g, 1.3).count(api.Probe("a")) == 1
    g.handle(1.3, api.ProbeEnded("a", Outcome.OK, 0.01))
    assert api.Probe("a") not in timers(g, 4.0) and g.fleet.engines["a"].healthy


def test_stall_of_the_gateway_ejects_no_engine():
    g = gateway("a", "b", may_probe=True)
    send_requests(g, 2)
    actions = g.handle(30.0, api.TimerDue("look"))  # a timer that was due at 0.35
    assert not any(isinstance(a, api.Probe) for a in actions)
    assert all(e.healthy for e in g.fleet.engines.values())


def test_errors_do_not_eject_an_engine_that_answers_probes(monkeypatch):
    # Requests that fail at every engine, and corrupted answers, ejected one healthy engine after another.
    monkeypatch.setattr("aspenrill.policy.view.MAX_EJECTED_SHARE", 1.0)
    g = gateway("a", may_probe=True)
    bad = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR)
    for at, outcome in enumerate((*bad, Outcome.OK, *bad)):
        send_requests(g, 1)
        actions = g.handle(0.2, AttemptEnded("r0", 0, "a", outcome, 0.1, outcome is Outcome.OK))
        assert g.fleet.engines["a"].healthy and (outcome is Outcome.OK or api.Probe("a") in actions), at
        g.handle(0.2, api.ClientGone("r0"))
        g.in_flight.clear(), g.fleet.engines["a"].in_flight.clear()
    send_requests(g, 1)
    g.handle(0.2, AttemptEnded("r0", 0, "a", Outcome.ERROR, 0.1, False))
    assert not g.fleet.engines["a"].healthy  # five in a row are not chance


def test_failed_engine_is_ejected_at_once_and_a_full_one_is_not():
    for outcome, healthy in ((Outcome.ERROR, False), (Outcome.RESET, False), (Outcome.FULL, True)):
        g = gateway("a", "b", "c")
        send_requests(g, 1)
        name = g.pending["r0"].engine.entry.engine
        g.handle(0.2, AttemptEnded("r0", 0, name, outcome, 0.1, False))
        assert g.fleet.engines[name].healthy is healthy
        assert (g.fleet.engines[name].full_until > 0.2) is healthy


def test_state_of_ended_requests_is_removed():
    keyed = api.QueryClass(
        latency_target=3.0, time_budget=9.0, effect=Effect.KEYED, dedup_window=5.0, in_order=True
    )
    g = gateway(
        "a",
        classes=(keyed,),
        key_backoff=0.3,
        cold_for=5.0,
        fall_window=1.0,
        fall_multiple=3.0,
        start_capacity=0.5,
    )
    for i in range(400):
        now, name = i * 6.0, f"e{i}"
        g.handle(now, ListUpdate(ListMode.COMPLETE, (EngineEntry(name, EngineState.LIVE),)))
        g.handle(now, api.Request(f"r{i}", 0, 9.0, key=f"k{i}", data_set=i))
        if i % 2:
            timers(g, now + 1)
            g.handle(now + 1, AttemptEnded(f"r{i}", 0, name, Outcome.RESET, 1.0, False))
        timers(g, now + 2)
        g.handle(now + 2, AttemptEnded(f"r{i}", i % 2, name, Outcome.OK, 1.0, True))
        timers(g, now + 5.9)
    sizes = [
        len(x)
        for x in (
            g.fleet.engines,
            g.fleet.affinity_orders,
            g.pending,
            g.in_flight,
            g.queued,
            g.key_queues.by_key,
            g.key_backoff_until,
            g.arrival_times,
            g.retry_times,
            g.send_times,
            g.entry_times,
            g.loss_times,
        )
    ]
    assert max(sizes) < 40


def test_at_most_half_of_the_engines_are_ejected():
    g = gateway("a", "b", "c", "d")
    for e in g.fleet.engines.values():
        g._eject(e, "test")
    assert sum(e.healthy for e in g.fleet.engines.values()) == 2


def test_memory_grants_follow_the_memory_reported_in_answers():
    g = gateway("a", honors_grants=True, reports_work=True)
    for i in range(60):
        g.handle(i, api.Request(f"r{i}", 0, 5.0, memory_mb=100.0))
        g.handle(i + 0.1, AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.1, True, work=0.1, memory_mb=200.0))
    assert 1.8 < g.classes[0].memory_factor < 2.2


def test_bad_settings_name_the_field():
    with pytest.raises(ValueError, match="classes"):
        Gateway(api.Settings(classes=(), cores_by_kind=(8,)), 1, 0.0)
    with pytest.raises(ValueError, match="fall_window"):
        Gateway(api.Settings(classes=(LOOKUP,), cores_by_kind=(8,), fall_window=-1.0), 1, 0.0)
    with pytest.raises(ValueError, match=r"classes\[0\].effect"):
        Gateway(api.Settings(classes=(api.QueryClass(1.0, 2.0, "twice"),), cores_by_kind=(8,)), 1, 0.0)


def test_events_for_unknown_requests_are_ignored():
    g = gateway("a")
    assert not sends(g.handle(1.0, AttemptEnded("ghost", 0, "a", Outcome.OK, 0.1, True)))
    g.handle(1.0, api.ClientGone("ghost"))
    g.handle(1.0, api.AttemptNote("ghost", 0, "a", api.NoteKind.SPILLS, 1.0))


def test_answers_are_gossiped_within_the_budget():
    g = gossiping_gateway(9, "a")
    messages = []
    for i in range(200):
        g.handle(0.1 * i, api.Request(f"r{i}", 0, 5.0))
        end = AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.05, True, report=(16.0,))
        messages += [a for a in g.handle(0.1 * i + 0.05, end) if isinstance(a, api.SendGossip)]
    assert messages and len(messages) <= 2 + 200 * GOSSIP_RESULT_SHARE / 0.01 * 256 / 9 / GOSSIP_COST
    other = gossiping_gateway(9, "a")
    other.handle(20.0, api.PeerMessage(1, messages[-1].data))
    assert other.fleet.engines["a"].load == pytest.approx(16 / 8 / 1.7, abs=0.2)


@pytest.mark.parametrize("data", [b"", b"x", b"xy", b"\xff" * 7, bytes(256)])
def test_malformed_gossip_changes_nothing(data):
    g = gossiping_gateway(9, "a", "b")
    assert not g.handle(0.1, api.PeerMessage(3, data))
    assert all(e.healthy and not e.load for e in g.fleet.engines.values())


def test_two_gossiped_failures_eject_an_engine_until_an_answer_is_gossiped():
    g = gossiping_gateway(9, "a", "b", "c")
    receive_gossip(g, 1.0, ("a", math.inf))
    assert g.fleet.engines["a"].healthy
    receive_gossip(g, 1.5, ("a", math.inf))
    assert not g.fleet.engines["a"].healthy
    receive_gossip(g, 2.0, ("a", 0.5))
    assert g.fleet.engines["a"].healthy


def test_gateways_spread_their_trials_of_a_failing_engine():
    back = []
    for seed in range(50):
        g = gossiping_gateway(50, "a", "b", "c", seed=seed)
        receive_gossip(g, 1.0, ("a", math.inf))
        receive_gossip(g, 1.1, ("a", math.inf))
        back.append(g.fleet.engines["a"].ejected_until)
    assert max(sum(t <= b < t + 1 for b in back) for t in range(60)) <= 8


def test_lasting_change_of_the_class_mix_is_followed():
    g = gossiping_gateway(9, "a")
    for i in range(2000):
        g.handle(0.01 * i, api.Request(f"r{i}", 0, 0.0))
    g.mix.update()
    before = g.mix.threads
    for i in range(300):
        g.handle(20 + 0.01 * i, api.Request(f"s{i}", 1, 0.0))
    g.mix.update()
    assert g.mix.threads > before + 0.7
