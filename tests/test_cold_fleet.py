"""The load that all front ends together send to cold engines: below N + 2 sqrt(N) + 2 requests of mean work
in each window, where N is what the settings allow at that moment, and yet not zero."""

from __future__ import annotations

from dataclasses import replace

import pytest
from test_fleetsim import make_simulation, run

from standins.fleetsim import FleetSimulation


def schedule_restarts(simulation: FleetSimulation, how: str) -> None:
    """Schedule restarts; a restarted front end does not know which cold slots it has already used."""
    size = len(simulation.gateways)
    rounds = {
        "none": [],
        "seven in ten": [(5.6, [me for me in range(size) if me % 10 < 7])],
        "tenth by tenth": [(3.0 + 0.8 * k, list(range(k, size, 10))) for k in range(10)],
        "last to first": [(4.0 + 5.0 * k / size, [size - 1 - k]) for k in range(size)],
        "all, four times": [(4.6 + k, list(range(size))) for k in range(4)],
    }
    for at, who in rounds[how]:
        simulation.at(at, simulation.restart_gateways, who)


def replace_engines_and_run(simulation: FleetSimulation, count: int, until: float) -> float:
    """Replace `count` engines from second 2 on; return the smallest number of requests at a new one."""
    for at, name in enumerate(list(simulation.engines)[:count]):
        simulation.at(2.0 + 4.0 * at / count, simulation.replace_engine, name, f"new{at}", 1.0)
    run(simulation, 0.5, until)
    return min(sum(name == f"new{at}" for _, name, _ in simulation.cold_arrivals) for at in range(count))


@pytest.mark.parametrize(
    "size,engines,how,seed",
    [
        (24, 12, "none", 1),
        (24, 12, "seven in ten", 2),
        (24, 12, "tenth by tenth", 3),
        (24, 12, "last to first", 4),
        (24, 12, "all, four times", 5),
        (30, 12, "seven in ten", 6),
        (200, 24, "seven in ten", 7),
        (200, 24, "tenth by tenth", 8),
    ],
)
def test_all_front_ends_together_send_a_cold_engine_no_more_than_its_limit(size, engines, how, seed):
    # list updates arrive up to 3 s apart, and a third of the connections open late
    simulation = make_simulation(size, engines, (4, 8), seed)
    simulation.max_list_delay, simulation.slow_connect_share = 3.0, 1 / 3
    schedule_restarts(simulation, how)
    fewest = replace_engines_and_run(simulation, engines // 2, 15.0)
    assert max(simulation.worst_cold_window()) < 1.0 and fewest > 2, (simulation.worst_cold_window(), fewest)


@pytest.mark.parametrize("how,least", [("none", 150), ("seven in ten", 150), ("all, four times", 120)])
def test_restarted_front_ends_use_their_cold_slots_once_they_know_their_classes(how, least):
    # an initial slot interval, eight times too long for lookups, was applied for the whole cold time
    simulation = make_simulation(24, 12, (4, 8), 5)
    schedule_restarts(simulation, how)
    replace_engines_and_run(simulation, 6, 15.0)
    assert len(simulation.cold_arrivals) > least, len(simulation.cold_arrivals)


@pytest.mark.parametrize("seed", [11, 13])
def test_latency_targets_unrelated_to_the_work_do_not_overload_a_cold_engine(seed):
    # until learned, the work was estimated from the latency target, here a tenth of it: 1.08 of the limit
    simulation = make_simulation(24, 12, (4, 8), seed)
    simulation.settings = replace(
        simulation.settings,
        classes=tuple(
            replace(c, latency_target=aim)
            for c, aim in zip(simulation.settings.classes, (0.2, 0.2, 0.2), strict=True)
        ),
    )
    simulation.gateways = [simulation.new_gateway(me) for me in range(24)]
    schedule_restarts(simulation, "seven in ten")
    replace_engines_and_run(simulation, 6, 12.0)
    assert max(simulation.worst_cold_window()) < 1.0, simulation.worst_cold_window()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_slots_that_wait_for_connections_are_not_all_used_at_once(seed):
    # all connections open late and at the same moments: the cold slots of three windows came at once
    simulation = make_simulation(24, 8, (32,), seed)
    simulation.settings = replace(simulation.settings, fall_window=0.4, fall_multiple=1.5)
    simulation.gateways = [simulation.new_gateway(me) for me in range(24)]
    simulation.slow_connect_share, simulation.connect_step = 1.0, 1.5
    fewest = replace_engines_and_run(simulation, 4, 12.0)
    assert simulation.worst_cold_window()[0] < 1.0 and fewest > 40, (simulation.worst_cold_window(), fewest)
