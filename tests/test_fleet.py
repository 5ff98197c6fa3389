"""Many front ends that share nothing: what is harmless from one must stay harmless from all together."""
from __future__ import annotations

from dataclasses import replace

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import PROBED, PROBES, Gateway

LOOKUP = api.QueryClass(aim=1.0, patience=5.0, effect=Effect.SAFE)
REPORT = api.QueryClass(aim=2.0, patience=20.0, effect=Effect.SAFE, worth=8, threads=2, aim_stretch=2.5)
GATEWAYS = 40
NAMES = tuple(f"e{i}" for i in range(30))


def fleet(names=NAMES, count: int = GATEWAYS, **more) -> list[Gateway]:
    rules = dict(may_probe=True, probe_price=0.08, may_cancel=True, start_capacity=0.3, cold_for=12.0,
                 fall_multiple=2.5, fall_window=1.5, costs_told=True, report_fields=("util", "queue")) | more
    told = ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(n, EngineState.LIVE) for n in names))
    base = api.Settings(classes=(LOOKUP, REPORT), cores_by_kind=(8,), gateways=count, **rules)
    made = [Gateway(replace(base, me=me), me, 0.0) for me in range(count)]
    for g in made:
        g.handle(0.0, told)
    return made


def of(kind, actions) -> list:
    return [a for a in actions if isinstance(a, kind)]


def test_probes_of_all_together_stay_under_what_the_result_may_pay_for_them():
    # at 0.08 of the result for one a request, two or three before each start cost a quarter of it
    gateways, probes, asked = fleet(), 0, 0
    for step in range(50):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.set.me}/{step}"
            actions, asked = g.handle(now, api.Request(name, 0, 5.0)), asked + 1
            assert len(of(api.Send, actions)) == 1  # and none waits for a probe
            probes += len(of(api.Probe, actions))
            outcome = Outcome.ERROR if step % 2 else Outcome.OK  # each error asks after its engine
            at = g.queries[name].engine.entry.engine
            probes += len(of(api.Probe, g.handle(now + 0.05, AttemptEnded(name, 0, at, outcome, 0.05, True))))
    assert 0 < probes * 0.08 / asked <= PROBED + 0.08 * PROBES / 50
