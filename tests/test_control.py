"""The module alone, without the bench."""
from __future__ import annotations

import math
import random

import pytest

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import Gateway
from aspenrill.policy.admission import LADDER, SPEND, TOP
from aspenrill.policy.figures import NEWS_COST
from aspenrill.state import pack_news

LOOKUP = api.QueryClass(aim=1.0, patience=5.0, effect=Effect.SAFE)
REPORT = api.QueryClass(aim=2.0, patience=20.0, effect=Effect.SAFE, worth=6, threads=2, aim_stretch=2.5)


def gateway(*names: str, classes=(LOOKUP, REPORT), **more) -> Gateway:
    g = Gateway(api.Settings(classes=classes, cores_by_kind=(8,), **more), 1, 0.0)
    g.handle(0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(n, EngineState.LIVE) for n in names)))
    return g


def sends(actions):
    return [a for a in actions if isinstance(a, api.Send)]


def answers(actions):
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def fill(g: Gateway, count: int, start: int = 0) -> None:
    for i in range(start, start + count):
        g.handle(0.1, api.Request(f"r{i}", 0, 5.0))


def timers(g: Gateway, until: float) -> list:
    """Deliver the timers that the gateway asked for, each at its time."""
    out = []
    while g.timer_at <= until:
        out += g.handle(g.timer_at, api.TimerDue("look"))
    return out


def press(g: Gateway) -> None:
    g.ordinary = 5.0


def test_goes_to_the_engine_with_fewest_own_threads_a_core():
    g = gateway("a", "b")
    fill(g, 6)
    assert [len(e.out) for e in g.fleet.engines.values()] == [3, 3]


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


def test_an_attempt_leaves_time_for_another_where_its_answer_may_be_lost():
    for effect, more, limited in ((Effect.SAFE, {}, True), (Effect.UNSAFE, {}, False),
                                  (Effect.SAFE, {"may_cancel": False}, False)):
        spec = api.QueryClass(aim=1.0, patience=5.0, effect=effect)
        g = gateway("a", "b", classes=(spec,), gateways=9, costs_told=True,
                    **{"may_probe": True, "may_cancel": True} | more)
        g.classes[0].latency, g.classes[0].work, g.ordinary = 0.2, 0.2, 2.5
        g.handle(0.1, api.Request("r", 0, 5.0))
        send = sends(timers(g, 0.3))[0]
        assert (0 < send.timeout < 0.8) is limited
        if limited:
            g.handle(0.1 + send.timeout, AttemptEnded("r", 0, send.engine, Outcome.TIMEOUT, 0.6, False))
            assert [s.engine for s in sends(timers(g, 1.0))] != [send.engine] and g.queries["r"].attempts[1:]


def test_own_stall_blames_no_engine():
    g = gateway("a", "b", may_probe=True)
    fill(g, 2)
    actions = g.handle(30.0, api.TimerDue("look"))  # a timer that was due at 0.35
    assert not any(isinstance(a, api.Probe) for a in actions)
    assert all(e.healthy for e in g.fleet.engines.values())


@pytest.mark.parametrize("longest, rung, told", [(2.0, 0, 0.25), (2.0, 1, 0.9), (0.5, 1, 0.5), (0.0, 1, 0.0)])
def test_a_refusal_comes_at_once_and_says_when_to_come_back(longest, rung, told):
    # clients that are told nothing ask again the moment they are turned away
    g = gateway(longest_come_back=longest)  # no engine is there
    g.rung, g.next_entry = rung, 1.0  # when the gap lets in the next
    refused = []
    for at in range(20):  # first come first held, and those beyond are answered in the same breath
        refused += answers(g.handle(0.1, api.Request(f"r{at}", 0, 5.0)))
    assert refused and all(a.come_back == pytest.approx(told) for a in refused)


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


def thin(n: int, *names: str, seed: int = 1, cores: int = 8, **more) -> Gateway:
    rules = dict(may_probe=True, start_capacity=0.3, cold_for=10.0, fall_multiple=3.0, fall_window=2.0) | more
    settings = api.Settings(classes=(LOOKUP, REPORT), cores_by_kind=(cores,), gateways=n, **rules)
    g = Gateway(settings, seed, 0.0)
    g.handle(0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(x, EngineState.LIVE) for x in names)))
    return g


def test_where_gateways_outnumber_engines_a_start_waits_for_its_probes():
    g = thin(9, "a", "b", "c", report_fields=("util",))
    g.ordinary = 3.0  # in calm one fewer is asked
    asked = [a.engine for a in g.handle(0.1, api.Request("r", 0, 5.0)) if isinstance(a, api.Probe)]
    assert sorted(asked) == ["a", "b", "c"]
    loads = {"a": 0.9, "b": 0.2, "c": 0.8}
    out = []
    for name in asked:
        out += g.handle(0.11, api.ProbeEnded(name, Outcome.OK, 0.01, (loads[name],)))
    assert [s.engine for s in sends(out)] == ["b"]


def test_probes_that_do_not_return_are_not_waited_for():
    g = thin(9, "a", "b", "c")
    g.handle(0.1, api.Request("r", 0, 5.0))
    assert sends(g.handle(0.2, api.TimerDue("look")))


def test_longer_work_waits_for_room_that_reports_tell_of():
    for util, starts in ((0.5, True), (1.0, False)):
        g = thin(9, "a", report_fields=("util",))
        g.classes[0].work, g.classes[1].work, g.classes[1].latency = 0.2, 4.0, 0.5
        g.mix.update()
        g.handle(0.1, api.Request("r", 1, 20.0))
        assert bool(sends(g.handle(0.11, api.ProbeEnded("a", Outcome.OK, 0.01, (util,))))) is starts


def test_ties_are_spread_over_the_engines_by_seed():
    chosen = set()
    for seed in range(40):
        g = thin(1, "a", "b", "c", "d", seed=seed, may_probe=False)
        chosen.add(sends(g.handle(0.1, api.Request("r", 0, 5.0)))[0].engine)
    assert len(chosen) == 4


def test_engines_looked_at_do_not_grow_with_the_fleet():
    g = thin(300, *(f"e{i}" for i in range(200)))
    looked = []
    allowed = g._allowed
    g._allowed = lambda query, engine: looked.append(engine) or allowed(query, engine)
    g.handle(0.1, api.Request("r", 0, 5.0))
    g.handle(0.2, api.TimerDue("look"))
    assert len(g.queries["r"].attempts) == 1 and len(looked) < 40


def test_many_gateways_together_feed_a_cold_engine_within_its_limit():
    n, sent = 100, []
    fleet = [thin(n, me=i, seed=i, may_probe=False) for i in range(n)]
    news = ListUpdate(ListMode.CHANGES, (EngineEntry("cold", EngineState.LIVE, started=0.5),))
    for g in fleet:
        for c in g.classes:
            c.work, c.latency = 0.3 * c.spec.threads, 0.3
            c.asked = c.work
        g.handle(1.0, news)
    for step in range(180):  # 200 queries a second want the one cold engine
        now = 1.0 + step * 0.05
        for i in range(10):
            g, cls = fleet[(step * 10 + i) % n], step % 2
            name = f"r{step}-{i}"
            out = sends(g.handle(now, api.Request(name, cls, 2.0)))
            sent += [(now, g.classes[cls].work)] * len(out)
            if out:
                g.handle(now, AttemptEnded(name, 0, "cold", Outcome.OK, 0.3, True))
    limit = 3.0 * 0.3 * 8 * 2.0
    windows = [sum(w for t, w in sent if at - 2.0 < t <= at) for at in (1 + k * 0.25 for k in range(36))]
    assert max(windows) <= limit
    assert sum(w for _, w in sent) > 0.4 * 0.3 * 8 * 9.0  # nor starved


def test_a_window_spans_enough_entries_at_a_slow_gateway():
    g = gateway("a")
    g.now, g.look_at = 20.0, 0.0
    g.entered.extend(range(2, 20, 2))
    g.entered.append(19)
    g.lost.extend([3.0, 5.0, 7.0, 9.0])
    g._step_gap()
    assert g.rung == 1


def test_what_is_over_is_forgotten():
    keyed = api.QueryClass(aim=3.0, patience=9.0, effect=Effect.KEYED, dedup_window=5.0, in_order=True)
    g = gateway("a", classes=(keyed,), key_rest=0.3, cold_for=5.0, fall_window=1.0, fall_multiple=3.0,
                start_capacity=0.5)
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
    sizes = [len(x) for x in (g.fleet.engines, g.fleet.orders, g.queries, g.out, g.held, g.lines.by_key,
                              g.key_rest, g.taken, g.extra, g.starts, g.entered, g.lost)]
    assert max(sizes) < 40


def test_most_of_the_fleet_is_never_ejected():
    g = gateway("a", "b", "c", "d")
    for e in g.fleet.engines.values():
        g._eject(e, "test")
    assert sum(e.healthy for e in g.fleet.engines.values()) == 2


def test_a_bad_plan_is_started_afresh_where_cancel_frees_the_engine():
    for may_cancel in (True, False):
        g = gateway("a", may_cancel=may_cancel)
        g.handle(0.1, api.Request("r", 1, 20.0))
        note = api.AttemptNote("r", 0, "a", api.NoteKind.PROGRESS, 0.05)
        assert (api.Cancel("r", 0) in g.handle(2.1, note)) is may_cancel


def test_memory_grants_follow_what_answers_told():
    g = gateway("a", grants_heeded=True, costs_told=True)
    for i in range(60):
        g.handle(i, api.Request(f"r{i}", 0, 5.0, memory_mb=100.0))
        g.handle(i + 0.1, AttemptEnded(f"r{i}", 0, "a", Outcome.OK, 0.1, True, work=0.1, memory_mb=200.0))
    assert 1.8 < g.classes[0].memory < 2.2


def test_loads_and_readers_of_a_data_set_go_apart():
    reader = api.QueryClass(aim=1.0, patience=5.0, effect=Effect.SAFE, waits_for_loads=True)
    load = api.QueryClass(aim=3.0, patience=20.0, effect=Effect.UNSAFE, threads=2, is_load=True)
    g = gateway("a", "b", "c", classes=(reader, load))
    where = sends(g.handle(0.1, api.Request("l", 1, 20.0, data_set=3)))[0].engine
    for i in range(4):
        assert sends(g.handle(0.1, api.Request(f"r{i}", 0, 5.0, data_set=3)))[0].engine != where


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


def test_nothing_is_sent_for_what_is_out_or_ended():
    g = gateway("a", "b")
    fill(g, 1)
    query = g.queries["r0"]
    assert not g._send(query, g.fleet.engines["b"])  # one attempt out
    g.handle(0.2, AttemptEnded("r0", 0, "a", Outcome.OK, 0.1, True))
    assert not g._send(query, g.fleet.engines["b"])  # its end was told


def test_a_keyed_request_is_not_repeated_past_its_window():
    keyed = api.QueryClass(aim=9.0, patience=20.0, effect=Effect.KEYED, dedup_window=1.0)
    for took, again in ((0.5, True), (1.5, False)):
        g = gateway("a", "b", classes=(keyed,))
        g.classes[0].latency = 0.5
        g.handle(0.1, api.Request("r", 0, 20.0))
        engine = g.queries["r"].engine.entry.engine
        actions = g.handle(0.1 + took, AttemptEnded("r", 0, engine, Outcome.ERROR, took, False))
        assert bool(sends(actions)) is again and bool(answers(actions)) is not again


def newsy(n: int, *names: str, **more) -> Gateway:
    """One of many gateways that may not probe but may tell."""
    rules = dict(may_probe=False, may_tell=True, tell_price=0.01, report_fields=("inflight",))
    return thin(n, *names, **rules, **more)


def told(g: Gateway, now: float, *items: tuple[str, float]) -> list:
    return g.handle(now, api.PeerMessage(3, pack_news([(g.fleet.engines[e], load) for e, load in items])))


def test_load_told_by_others_decides_where_engines_may_not_be_probed():
    g = newsy(9, "a", "b")
    told(g, 0.0, ("a", 1.5), ("b", 0.2))
    assert [sends(g.handle(0.1, api.Request(f"r{i}", 0, 5.0)))[0].engine for i in range(3)] == ["b"] * 3


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


def test_grants_are_ample_where_only_memory_in_use_counts():
    for pages, most in ((True, 4.0), (False, 1.0)):
        g = gateway("a", grants_heeded=True, shortage_pages=pages)
        actions = g.handle(0.1, api.Request("r", 0, 5.0, memory_mb=100.0))
        terms = [a for a in actions if isinstance(a, api.SetTerms)]
        assert terms[0].memory_mb == pytest.approx(100.0 * most)


def test_the_budget_counts_what_lies_on_the_edge_of_its_span():
    g = gateway("a", "b", retry_free=1, retry_ratio=0.0, retry_span=5.0)
    g.classes[0].latency = 0.2
    for at, name in ((1.0, "r"), (6.0, "s")):
        g.handle(at - 0.1, api.Request(name, 0, 20.0))
        engine = g.queries[name].engine.entry.engine
        again = sends(g.handle(at, AttemptEnded(name, 0, engine, Outcome.CONNECT_FAILED, 0.1, False)))
        assert len(again) == (1 if name == "r" else 0)


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


@pytest.mark.parametrize("learned", [True, False])
def test_many_gateways_with_most_engines_cold_keep_every_short_window(learned):
    n, true, sent = 240, (0.25, 1.5), {}
    rules = dict(fall_window=1.0, cold_for=12.0, start_capacity=0.34)
    fleet = [newsy(n, *"abcd", me=i, seed=i, cores=16, **rules) for i in range(n)]
    cold = ListUpdate(ListMode.CHANGES, tuple(EngineEntry(e, EngineState.LIVE, started=0.5) for e in "bcd"))
    for g in fleet:
        for c, work in zip(g.classes, true, strict=True):
            c.work, c.latency = (work, work) if learned else (None, None)
        g.mix.update()
        g.handle(1.0, cold)
    for step in range(160):
        now = 1.0 + step * 0.05
        for g in fleet if step % 20 == 0 else ():
            told(g, now, ("a", 0.8))
        for i in range(30):  # 600 a second, and after five seconds most are of the heavy class
            g, cls = fleet[(step * 30 + i * 7) % n], int(i % 10 < (1 if step < 100 else 8))
            name = f"r{step}-{i}"
            for send in sends(g.handle(now, api.Request(name, cls, 20.0))):
                sent.setdefault(send.engine, []).append((now, true[cls]))
                g.handle(now, AttemptEnded(name, 0, send.engine, Outcome.OK, true[cls], True, work=true[cls]))
    limit = 3.0 * 0.34 * 16 * 1.0
    for engine in "bcd":
        ends = [k * 0.1 for k in range(10, 91)]
        windows = [sum(w for t, w in sent[engine] if at - 1.0 < t <= at) for at in ends]
        assert max(windows) <= limit, engine
        assert sum(windows) / len(windows) > (0.12 if learned else 0.05) * limit  # nor starved


@pytest.mark.parametrize("seed", range(8))
def test_further_attempts_stay_in_the_budget_through_bursts_and_lulls(seed):
    rng = random.Random(seed)
    g = newsy(9, *"abcd", retry_free=2, retry_ratio=0.1, retry_span=10.0, most_attempts=4)
    g.classes[0].latency, now, n = 0.1, 0.0, 0
    taken, extra, first = [], [], set()

    def see(actions):
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
            see(g.handle(now, api.Request(f"r{n}", 0, 5.0)))
        for name, query in list(g.out.items()):
            bad = rng.choice([Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.OK])
            engine = query.engine.entry.engine
            last = len(query.attempts) - 1
            see(g.handle(now, AttemptEnded(name, last, engine, bad, 0.1, bad is Outcome.OK)))
        see(timers(g, now))
    assert extra


def test_a_long_query_is_not_started_afresh_again_and_again():
    # its work is its own: without a credit every query of a wide spread was cancelled until it was refused
    g = gateway("a", "b", may_cancel=True, most_attempts=5)
    cancels = 0
    for i in range(20):
        g.handle(0.0, api.Request(f"r{i}", 1, 20.0))
        for attempt in range(5):
            note = api.AttemptNote(f"r{i}", attempt, "a", api.NoteKind.PROGRESS, 0.01)
            if any(isinstance(a, api.Cancel) for a in g.handle(2.0, note)):
                cancels += 1
                g.handle(2.0, AttemptEnded(f"r{i}", attempt, "a", Outcome.CANCELLED, 2.0, False))
    assert 1 <= cancels <= 4


def test_a_gateway_that_falls_behind_refuses_little_worth_first():
    # taking on what it cannot carry out in time made every answer late
    g = gateway("a", classes=(LOOKUP, REPORT))
    assert sends(g.handle(0.0, api.Request("r1", 0, 5.0)))
    assert answers(g.handle(0.0, api.Request("r2", 0, 5.0, waited=0.1)))
    assert sends(g.handle(0.0, api.Request("r3", 1, 20.0, waited=0.1)))
    assert answers(g.handle(0.0, api.Request("r4", 1, 20.0, waited=1.0)))


def test_loads_of_one_group_do_not_stand_in_line_on_an_engine():
    # sent at once, each waited there for those before it, and nearly all came late
    load = api.QueryClass(aim=3.0, patience=25.0, effect=Effect.KEYED, worth=12, threads=2, is_load=True)
    g = gateway("a", "b", classes=(LOOKUP, load))
    g.starts.extend([0.0] * 50)
    g.classes[1].latency = 0.5
    sent = [sends(g.handle(0.1, api.Request(f"r{i}", 1, 25.0, data_set=7))) for i in range(4)]
    assert sorted(s[0].engine for s in sent[:2]) == ["a", "b"] and sent[2:] == [[], []]
    assert sends(g.handle(0.1, api.Request("other", 1, 25.0, data_set=8)))
    after = sends(g.handle(0.2, AttemptEnded("r0", 0, sent[0][0].engine, Outcome.OK, 0.1, True)))
    assert [(s.request, s.engine) for s in after] == [("r2", sent[0][0].engine)]


def test_what_must_not_run_twice_is_not_started_afresh():
    # its cancel would be its end: failed, for looking longer than others of its class
    once = api.QueryClass(aim=1.0, patience=60.0, effect=Effect.UNSAFE)
    for spec, afresh in ((once, False), (LOOKUP, True)):
        g = gateway("a", classes=(spec,), may_cancel=True)
        g.handle(0.1, api.Request("r", 0, 60.0))
        note = api.AttemptNote("r", 0, "a", api.NoteKind.PROGRESS, 0.01)
        assert any(isinstance(a, api.Cancel) for a in g.handle(1.1, note)) is afresh
