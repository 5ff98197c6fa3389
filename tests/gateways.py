"""Gateways for tests of the decision module without I/O, and helpers that feed them events."""

from __future__ import annotations

from aspenrill import api
from aspenrill.api import Effect, EngineEntry, EngineState, ListMode, ListUpdate
from aspenrill.control import Gateway
from aspenrill.state import pack_gossip

LOOKUP = api.QueryClass(latency_target=1.0, time_budget=5.0, effect=Effect.SAFE)
REPORT = api.QueryClass(
    latency_target=2.0, time_budget=20.0, effect=Effect.SAFE, worth=6, threads=2, target_per_work=2.5
)


def gateway(*names: str, classes=(LOOKUP, REPORT), **more) -> Gateway:
    g = Gateway(api.Settings(classes=classes, cores_by_kind=(8,), **more), 1, 0.0)
    g.handle(0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(n, EngineState.LIVE) for n in names)))
    return g


def sends(actions):
    return [a for a in actions if isinstance(a, api.Send)]


def answers(actions):
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def send_requests(g: Gateway, count: int, start: int = 0) -> None:
    for i in range(start, start + count):
        g.handle(0.1, api.Request(f"r{i}", 0, 5.0))


def timers(g: Gateway, until: float) -> list:
    """Deliver the timers that the gateway asked for, each at its time."""
    out = []
    while g.timer_at <= until:
        out += g.handle(g.timer_at, api.TimerDue("look"))
    return out


def slow_down(g: Gateway) -> None:
    g.fleet_slowdown = 5.0


def probing_gateway(n: int, *names: str, seed: int = 1, cores: int = 8, **more) -> Gateway:
    rules = dict(may_probe=True, start_capacity=0.3, cold_for=10.0, fall_multiple=3.0, fall_window=2.0) | more
    settings = api.Settings(classes=(LOOKUP, REPORT), cores_by_kind=(cores,), gateways=n, **rules)
    g = Gateway(settings, seed, 0.0)
    g.handle(0.0, ListUpdate(ListMode.REMEMBERED, tuple(EngineEntry(x, EngineState.LIVE) for x in names)))
    return g


def gossiping_gateway(n: int, *names: str, **more) -> Gateway:
    """One of `n` gateways that may gossip but not probe."""
    rules = dict(may_probe=False, may_gossip=True, gossip_price=0.01, report_fields=("inflight",))
    return probing_gateway(n, *names, **rules, **more)


def receive_gossip(g: Gateway, now: float, *items: tuple[str, float]) -> list:
    return g.handle(now, api.PeerMessage(3, pack_gossip([(g.fleet.engines[e], load) for e, load in items])))
