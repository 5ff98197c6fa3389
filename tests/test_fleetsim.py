"""Simulated gateways before shared engines: the share of each class served in time, also during failures."""

from __future__ import annotations

from dataclasses import replace

import pytest

from aspenrill import api
from aspenrill.api import Effect
from standins.fleetsim import CORES_PER_THREAD, FleetSimulation

LOOKUP = api.QueryClass(latency_target=1.0, time_budget=5.0, effect=Effect.SAFE, target_per_work=1.5)
REPORT = api.QueryClass(
    latency_target=1.5, time_budget=20.0, effect=Effect.SAFE, worth=8, threads=2, target_per_work=2.5
)
LOAD = api.QueryClass(
    latency_target=3.0,
    time_budget=25.0,
    effect=Effect.KEYED,
    worth=12,
    threads=2,
    target_per_work=3.0,
    is_load=True,
    dedup_window=15.0,
)
MEAN_WORK = (0.185, 3.1, 5.6)  # core-seconds by class
CLASS_SHARES = (0.79, 0.15, 0.06)  # of the arrivals


def make_simulation(
    gateways: int, engines: int, cores: tuple[int, ...], seed: int = 1, load: api.QueryClass = LOAD
) -> FleetSimulation:
    """Return a simulation with classes for lookups, reports and loads."""
    rules = api.Settings(
        classes=(LOOKUP, REPORT, load),
        cores_by_kind=cores,
        gateways=gateways,
        max_attempts=5,
        may_probe=True,
        probe_price=0.08,
        may_cancel=True,
        start_capacity=0.31,
        cold_for=12.0,
        fall_multiple=2.5,
        fall_window=1.5,
        reports_work=True,
        report_fields=("util", "queue"),
        honors_priorities=True,
        max_retry_after=2.0,
    )
    return FleetSimulation(rules, engines, 3, MEAN_WORK, CLASS_SHARES, seed)


def run(
    simulation: FleetSimulation, load: float, until: float, mix: tuple[float, ...] = CLASS_SHARES
) -> list[float]:
    """Run with this load on all cores; return the share of each class that was served in time."""
    cores, simulation.class_shares = sum(e.cores for e in simulation.engines.values()) / CORES_PER_THREAD, mix
    simulation.run(until, load * cores / sum(w * m for w, m in zip(MEAN_WORK, mix, strict=True)))
    return [simulation.served[c] / simulation.arrivals[c] for c in range(len(mix)) if mix[c]]


@pytest.mark.parametrize("gateways,engines", [(60, 40), (40, 60)])
def test_engines_are_not_overloaded_whichever_are_more(gateways, engines):
    # with more engines than gateways each gateway claimed capacity for one request at every engine, which
    # added up to 5.8 threads a core
    simulation = make_simulation(gateways, engines, (4, 8))
    shares = run(simulation, 0.75, 8.0)
    assert min(shares) > 0.9, shares


def test_a_gateway_with_several_times_the_mean_uses_what_the_others_leave():
    # each gateway kept to an equal share of the cores although none was slow: 0.41 of its reports were served
    simulation = make_simulation(60, 24, (4, 8), seed=2)
    for me in range(0, 60, 10):
        simulation.arrival_weights[me] = 4.0
    shares = run(simulation, 0.7, 12.0)
    assert min(shares) > 0.9, shares
    refused = sum(simulation.outcomes[c, "refuse"] for c in (1, 2)) / (
        simulation.arrivals[1] + simulation.arrivals[2]
    )
    assert refused < 0.03, refused


def test_many_small_requests_do_not_starve_a_class_of_long_ones():
    # with fewer than three threads for each gateway a freed one went to a lookup before a report had its two
    mix = (0.97, 0.03, 0.0)
    shares = run(make_simulation(60, 24, (4,), seed=3), 1.3, 20.0, mix)
    assert shares[1] > 0.5 * shares[0], shares  # 0.37 of it before


@pytest.mark.parametrize("seed", [1, 2])
def test_every_class_keeps_its_share_while_a_zone_is_lost_and_another_cut_off(seed):
    simulation = make_simulation(48, 24, (4, 8), seed)
    for me in range(0, 48, 12):
        simulation.arrival_weights[me] = 4.0
    for at, name in enumerate(simulation.engines):
        if at % 8 == 5:
            simulation.engines[name].speed, simulation.engines[name].error_share = (
                (0.3, 0.0) if at % 16 == 5 else (1.0, 0.4)
            )
    zone = [name for name, e in simulation.engines.items() if e.entry.zone == 0]
    simulation.at(5.0, simulation.kill_engines, zone, 7.0)
    simulation.at(10.0, simulation.restart_engines, zone)
    simulation.at(7.0, setattr, simulation, "isolated_zone", 1)
    simulation.at(13.0, setattr, simulation, "isolated_zone", None)
    simulation.at(8.0, simulation.restart_gateways, list(range(0, 48, 5)))
    shares = run(simulation, 0.75, 20.0)
    assert min(shares) > 0.42, shares


def test_seven_in_ten_restarted_at_once_with_nothing_learned_serve_every_class():
    simulation = make_simulation(60, 24, (4, 8), seed=4)
    simulation.at(4.0, simulation.restart_gateways, [me for me in range(60) if me % 10 < 7])
    shares = run(simulation, 0.7, 12.0)
    assert min(shares) > 0.6, shares  # the open requests of the killed gateways, 5% of all, are lost


def test_half_of_the_engines_are_replaced_while_gateways_restart_a_tenth_at_a_time():
    simulation = make_simulation(40, 20, (8, 16), seed=5)
    for at, name in enumerate(list(simulation.engines)[::2]):
        simulation.at(2.0 + at, simulation.replace_engine, name, f"new{at}")
    for tenth in range(10):
        simulation.at(2.5 + tenth, simulation.restart_gateways, list(range(tenth, 40, 10)))
    shares = run(simulation, 0.6, 18.0)
    assert min(shares) > 0.6 and simulation.worst_cold_load() < 1.0, (shares, simulation.worst_cold_load())
    assert (
        min(sum(name == f"new{at}" for _, name, _ in simulation.cold_arrivals) for at in range(10)) > 5
    )  # and none is starved


def test_six_in_ten_engines_replaced_within_seven_seconds_overload_no_new_one():
    simulation = make_simulation(40, 20, (8, 16), seed=6)
    for at, name in enumerate(list(simulation.engines)[:12]):
        simulation.at(3.0 + 7.0 * at / 12, simulation.replace_engine, name, f"new{at}", 1.0)
    shares = run(simulation, 0.5, 18.0)
    assert min(shares) > 0.45 and simulation.worst_cold_load() < 1.0, (shares, simulation.worst_cold_load())


def repeats(simulation: FleetSimulation) -> list[list[float]]:
    """Return the start times of the attempts of each load that had more than one."""
    times = [times for name, times in simulation.attempt_starts.items() if simulation.requests[name][0] == 2]
    window = simulation.settings.classes[2].dedup_window
    assert all(len(at) <= 5 and at[-1] < at[0] + window for at in times)
    return [at for at in times if len(at) > 1]


def test_keyed_loads_whose_connections_break_or_answers_are_lost_are_repeated():
    simulation = make_simulation(40, 20, (8, 16), seed=7)
    simulation.reset_share, simulation.lost_answer_share = 0.2, 0.1
    shares = run(simulation, 0.4, 12.0)
    assert len(repeats(simulation)) > 5 and min(shares) > 0.55, shares


def test_keyed_loads_are_not_repeated_once_their_window_is_over():
    # engines have forgotten the key by then, so a repeat would run the load a second time
    simulation = make_simulation(40, 20, (8, 16), seed=9, load=replace(LOAD, dedup_window=4.0))
    simulation.lost_answer_share = 0.5
    run(simulation, 0.3, 12.0)
    assert repeats(simulation) and simulation.outcomes[2, "reset"] > 2 * len(repeats(simulation))


def test_gateways_with_hardly_any_traffic_serve_what_comes():
    # they learn almost nothing, and their initial estimates must not count as pressure
    simulation = make_simulation(40, 20, (8, 16), seed=8)
    for me in range(0, 40, 4):
        simulation.arrival_weights[me] = 0.05
    run(simulation, 0.7, 15.0)
    came, served = (
        sum(simulation.gateway_counts[me, what] for me in range(0, 40, 4)) for what in ("arrived", "served")
    )
    assert came > 5 and served > 0.9 * came, (came, served)
