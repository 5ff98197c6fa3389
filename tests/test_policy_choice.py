"""Choice of the engine for a request. Without the simulator."""

from __future__ import annotations

import pytest
from gateways import LOOKUP, gateway, gossiping_gateway, probing_gateway, receive_gossip, send_requests, sends

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome


def test_chooses_the_engine_with_fewest_own_threads_per_core():
    g = gateway("a", "b")
    send_requests(g, 6)
    assert [len(e.in_flight) for e in g.fleet.engines.values()] == [3, 3]


def test_with_more_gateways_than_engines_a_start_waits_for_its_probes():
    g = probing_gateway(9, "a", "b", "c", report_fields=("util",))
    g.fleet_slowdown = 3.0  # without pressure one fewer is probed
    asked = [a.engine for a in g.handle(0.1, api.Request("r", 0, 5.0)) if isinstance(a, api.Probe)]
    assert sorted(asked) == ["a", "b", "c"]
    loads = {"a": 0.9, "b": 0.2, "c": 0.8}
    out = []
    for name in asked:
        out += g.handle(0.11, api.ProbeEnded(name, Outcome.OK, 0.01, (loads[name],)))
    assert [s.engine for s in sends(out)] == ["b"]


def test_start_does_not_wait_for_lost_probes():
    g = probing_gateway(9, "a", "b", "c")
    g.handle(0.1, api.Request("r", 0, 5.0))
    assert sends(g.handle(0.2, api.TimerDue("look")))


def test_long_work_waits_for_reported_headroom():
    for util, starts in ((0.5, True), (1.0, False)):
        g = probing_gateway(9, "a", report_fields=("util",))
        g.classes[0].work, g.classes[1].work, g.classes[1].latency = 0.2, 4.0, 0.5
        g.mix.update()
        g.handle(0.1, api.Request("r", 1, 20.0))
        assert bool(sends(g.handle(0.11, api.ProbeEnded("a", Outcome.OK, 0.01, (util,))))) is starts


def test_ties_are_broken_at_random():
    chosen = set()
    for seed in range(40):
        g = probing_gateway(1, "a", "b", "c", "d", seed=seed, may_probe=False)
        chosen.add(sends(g.handle(0.1, api.Request("r", 0, 5.0)))[0].engine)
    assert len(chosen) == 4


def test_engines_examined_do_not_grow_with_the_fleet():
    g = probing_gateway(300, *(f"e{i}" for i in range(200)))
    checked = []
    allowed = g._allowed
    g._allowed = lambda pending, engine: checked.append(engine) or allowed(pending, engine)
    g.handle(0.1, api.Request("r", 0, 5.0))
    g.handle(0.2, api.TimerDue("look"))
    assert len(g.pending["r"].attempts) == 1 and len(checked) < 40


def test_many_gateways_together_keep_to_a_cold_engines_limit():
    n, sent = 100, []
    fleet = [probing_gateway(n, gateway_index=i, seed=i, may_probe=False) for i in range(n)]
    update = ListUpdate(ListMode.CHANGES, (EngineEntry("cold", EngineState.LIVE, started=0.5),))
    for g in fleet:
        for c in g.classes:
            c.work, c.latency = 0.3 * c.spec.threads, 0.3
            c.requested_work = c.work
        g.handle(1.0, update)
    for step in range(180):  # 200 requests a second for the one cold engine
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
    assert sum(w for _, w in sent) > 0.4 * 0.3 * 8 * 9.0  # but not starved


def test_loads_and_readers_of_a_data_set_use_different_engines():
    reader = api.QueryClass(latency_target=1.0, time_budget=5.0, effect=Effect.SAFE, waits_for_loads=True)
    load = api.QueryClass(latency_target=3.0, time_budget=20.0, effect=Effect.UNSAFE, threads=2, is_load=True)
    g = gateway("a", "b", "c", classes=(reader, load))
    where = sends(g.handle(0.1, api.Request("l", 1, 20.0, data_set=3)))[0].engine
    for i in range(4):
        assert sends(g.handle(0.1, api.Request(f"r{i}", 0, 5.0, data_set=3)))[0].engine != where


def test_gossiped_load_decides_where_probes_are_not_allowed():
    g = gossiping_gateway(9, "a", "b")
    receive_gossip(g, 0.0, ("a", 1.5), ("b", 0.2))
    assert [sends(g.handle(0.1, api.Request(f"r{i}", 0, 5.0)))[0].engine for i in range(3)] == ["b"] * 3


@pytest.mark.parametrize("learned", [True, False])
def test_many_gateways_keep_to_the_limit_of_cold_engines_in_every_window(learned):
    n, true_work, sent = 240, (0.25, 1.5), {}
    rules = dict(fall_window=1.0, cold_for=12.0, start_capacity=0.34)
    fleet = [gossiping_gateway(n, *"abcd", gateway_index=i, seed=i, cores=16, **rules) for i in range(n)]
    cold = ListUpdate(ListMode.CHANGES, tuple(EngineEntry(e, EngineState.LIVE, started=0.5) for e in "bcd"))
    for g in fleet:
        for c, work in zip(g.classes, true_work, strict=True):
            c.work, c.latency = (work, work) if learned else (None, None)
        g.mix.update()
        g.handle(1.0, cold)
    for step in range(160):
        now = 1.0 + step * 0.05
        for g in fleet if step % 20 == 0 else ():
            receive_gossip(g, now, ("a", 0.8))
        for i in range(30):  # 600 a second; after five seconds most are of the class with more work
            g, cls = fleet[(step * 30 + i * 7) % n], int(i % 10 < (1 if step < 100 else 8))
            name = f"r{step}-{i}"
            for send in sends(g.handle(now, api.Request(name, cls, 20.0))):
                sent.setdefault(send.engine, []).append((now, true_work[cls]))
                g.handle(
                    now,
                    AttemptEnded(name, 0, send.engine, Outcome.OK, true_work[cls], True, work=true_work[cls]),
                )
    limit = 3.0 * 0.34 * 16 * 1.0
    for engine in "bcd":
        ends = [k * 0.1 for k in range(10, 91)]
        windows = [sum(w for t, w in sent[engine] if at - 1.0 < t <= at) for at in ends]
        assert max(windows) <= limit, engine
        assert sum(windows) / len(windows) > (0.12 if learned else 0.05) * limit  # but not starved


def test_loads_of_one_group_do_not_queue_at_an_engine():
    # Sent at once, each load waited at the engine for those before it, and nearly all were late.
    load = api.QueryClass(
        latency_target=3.0, time_budget=25.0, effect=Effect.KEYED, worth=12, threads=2, is_load=True
    )
    g = gateway("a", "b", classes=(LOOKUP, load))
    g.send_times.extend([0.0] * 50)
    g.classes[1].latency = 0.5
    sent = [sends(g.handle(0.1, api.Request(f"r{i}", 1, 25.0, data_set=7))) for i in range(4)]
    assert sorted(s[0].engine for s in sent[:2]) == ["a", "b"] and sent[2:] == [[], []]
    assert sends(g.handle(0.1, api.Request("other", 1, 25.0, data_set=8)))
    after = sends(g.handle(0.2, AttemptEnded("r0", 0, sent[0][0].engine, Outcome.OK, 0.1, True)))
    assert [(s.request, s.engine) for s in after] == [("r2", sent[0][0].engine)]
