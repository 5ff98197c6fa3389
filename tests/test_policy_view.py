"""What a gateway knows: engines in and out, what was told and learned. The module alone, no bench."""

from __future__ import annotations

import math

import pytest
from gateways import LOOKUP, fill, gateway, newsy, sends, timers, told

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import Gateway
from aspenrill.policy.admission import SPEND
from aspenrill.policy.figures import NEWS_COST


def test_own_threads_are_pressure_before_any_answer_tells_of_it():
    g = gateway("a")
    fill(g, 60)
    assert len(g.fleet.engines["a"].out) < 40


def test_silent_engine_is_asked_ejected_and_returns_by_a_probe():
    g = gateway("a", "b", may_probe=True)
    fill(g, 1)
    silent = g.queries["r0"].engine.entry.engine
    g.classes[0].latency = 0.2
    asked = timers(g, 3.7)
    assert api.Probe(silent) in asked and g.fleet.engines[silent].healthy
    g.handle(3.8, api.ProbeEnded(silent, Outcome.TIMEOUT, 0.25))
    assert not g.fleet.engines[silent].healthy
    for i in range(4):
        assert sends(g.handle(3.9, api.Request(f"x{i}", 0, 5.0)))[0].engine != silent
    assert api.Probe(silent) in timers(g, 5.0)
    g.handle(5.1, api.ProbeEnded(silent, Outcome.OK, 0.01))
    assert g.fleet.engines[silent].healthy


def test_an_engine_that_is_back_is_not_asked_again():
    g = gateway("a", "b", "c", may_probe=True)
    g.rung = 1  # something is due, so that timers go on
    g._eject(g.fleet.engines["a"], "test")
    g.fleet.engines["a"].penalty = 0.0  # an answer came meanwhile
    g.handle(0.1, api.ClientGone("none"))
    assert timers(g, 1.3).count(api.Probe("a")) == 1
    g.handle(1.3, api.ProbeEnded("a", Outcome.OK, 0.01))
    assert api.Probe("a") not in timers(g, 4.0) and g.fleet.engines["a"].healthy


def test_own_stall_blames_no_engine():
    g = gateway("a", "b", may_probe=True)
    fill(g, 2)
    actions = g.handle(30.0, api.TimerDue("look"))  # a timer that was due at 0.35
    assert not any(isinstance(a, api.Probe) for a in actions)
    assert all(e.healthy for e in g.fleet.engines.values())


def test_an_error_puts_no_engine_out_that_answers(monkeypatch):
    # queries that no engine can use, and spoilt answers, put out one healthy engine after another
    monkeypatch.setattr("aspenrill.policy.view.MOST_OUT", 1.0)
    g = gateway("a", may_probe=True)
    bad = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR)
    for at, outcome in enumerate((*bad, Outcome.OK, *bad)):
        fill(g, 1)
        actions = g.handle(0.2, AttemptEnded("r0", 0, "a", outcome, 0.1, outcome is Outcome.OK))
        assert g.fleet.engines["a"].healthy and (outcome is Outcome.OK or api.Probe("a") in actions), at
        g.handle(0.2, api.ClientGone("r0"))
        g.out.clear(), g.fleet.engines["a"].out.clear()
    fill(g, 1)
    g.handle(0.2, AttemptEnded("r0", 0, "a", Outcome.ERROR, 0.1, False))
    assert not g.fleet.engines["a"].healthy  # five in a row are no chance


def test_a_failed_engine_is_out_at_once_and_a_full_one_is_pressed():
    for outcome, healthy in ((Outcome.ERROR, False), (Outcome.RESET, False), (Outcome.FULL, True)):
        g = gateway("a", "b", "c")
        fill(g, 1)
        name = g.queries["r0"].engine.entry.engine
        g.handle(0.2, AttemptEnded("r0", 0, name, outcome, 0.1, False))
        assert g.fleet.engines[name].healthy is healthy
        assert (g.fleet.engines[name].full_until > 0.2) is healthy


def test_what_is_over_is_forgotten():
    keyed = api.QueryClass(aim=3.0, patience=9.0, effect=Effect.KEYED, dedup_window=5.0, in_order=True)
    g = gateway(
        "a",
        classes=(keyed,),
        key_rest=0.3,
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
            g.fleet.orders,
            g.queries,
            g.out,
            g.held,
            g.lines.by_key,
            g.key_rest,
            g.taken,
            g.extra,
            g.starts,
            g.entered,
            g.lost,
        )
    ]
    assert max(sizes) < 40


def test_most_of_the_fleet_is_never_ejected():
    g = gateway("a", "b", "c", "d")
    for e in g.fleet.engines.values():
        g._eject(e, "test")
    assert sum(e.healthy for e in g.fleet.engines.values()) == 2


def test_memory_grants_follow_what_answers_told():
    g = gateway("a", grants_heeded=True, costs_told=True)
    for i in range(60):
        g.handle(i, api.Request(f"r{i}", 0, 5.0, memory_mb=100.0))
        g.handle(i + 0.1, AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.1, True, work=0.1, memory_mb=200.0))
    assert 1.8 < g.classes[0].memory < 2.2


def test_bad_settings_name_the_field():
    with pytest.raises(ValueError, match="classes"):
        Gateway(api.Settings(classes=(), cores_by_kind=(8,)), 1, 0.0)
    with pytest.raises(ValueError, match="fall_window"):
        Gateway(api.Settings(classes=(LOOKUP,), cores_by_kind=(8,), fall_window=-1.0), 1, 0.0)
    with pytest.raises(ValueError, match=r"classes\[0\].effect"):
        Gateway(api.Settings(classes=(api.QueryClass(1.0, 2.0, "twice"),), cores_by_kind=(8,)), 1, 0.0)


def test_events_for_what_is_over_are_ignored():
    g = gateway("a")
    assert not sends(g.handle(1.0, AttemptEnded("ghost", 0, "a", Outcome.OK, 0.1, True)))
    g.handle(1.0, api.ClientGone("ghost"))
    g.handle(1.0, api.AttemptNote("ghost", 0, "a", api.NoteKind.SPILLS, 1.0))


def test_an_answer_is_told_on_within_what_requests_have_earned():
    g = newsy(9, "a")
    heard = []
    for i in range(200):
        g.handle(0.1 * i, api.Request(f"r{i}", 0, 5.0))
        end = AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.05, True, report=(16.0,))
        heard += [a for a in g.handle(0.1 * i + 0.05, end) if isinstance(a, api.Tell)]
    assert heard and len(heard) <= 2 + 200 * SPEND / 0.01 * 256 / 9 / NEWS_COST
    other = newsy(9, "a")
    other.handle(20.0, api.PeerMessage(1, heard[-1].data))
    assert other.fleet.engines["a"].load == pytest.approx(16 / 8 / 1.7, abs=0.2)


@pytest.mark.parametrize("data", [b"", b"x", b"xy", b"\xff" * 7, bytes(256)])
def test_news_that_is_not_understood_changes_nothing(data):
    g = newsy(9, "a", "b")
    assert not g.handle(0.1, api.PeerMessage(3, data))
    assert all(e.healthy and not e.load for e in g.fleet.engines.values())


def test_one_failure_told_may_be_chance_and_two_take_the_engine_out_until_an_answer_is_told():
    g = newsy(9, "a", "b", "c")
    told(g, 1.0, ("a", math.inf))
    assert g.fleet.engines["a"].healthy
    told(g, 1.5, ("a", math.inf))
    assert not g.fleet.engines["a"].healthy
    told(g, 2.0, ("a", 0.5))
    assert g.fleet.engines["a"].healthy


def test_gateways_do_not_all_try_a_failing_engine_again_at_once():
    back = []
    for seed in range(50):
        g = newsy(50, "a", "b", "c", seed=seed)
        told(g, 1.0, ("a", math.inf))
        told(g, 1.1, ("a", math.inf))
        back.append(g.fleet.engines["a"].ejected_until)
    assert max(sum(t <= b < t + 1 for b in back) for t in range(60)) <= 8


def test_a_mix_that_turns_for_good_is_followed():
    g = newsy(9, "a")
    for i in range(2000):
        g.handle(0.01 * i, api.Request(f"r{i}", 0, 0.0))
    g.mix.update()
    before = g.mix.threads
    for i in range(300):
        g.handle(20 + 0.01 * i, api.Request(f"s{i}", 1, 0.0))
    g.mix.update()
    assert g.mix.threads > before + 0.7
