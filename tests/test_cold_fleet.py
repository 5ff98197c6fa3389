"""What all front ends together bring to engines that start cold: under N + 2 x root of N + 2 requests of mean
work in each window, N being what the settings allow at that moment, and yet not nothing."""

from __future__ import annotations

from dataclasses import replace

import pytest
from test_farm import farm, play

from standins.farm import Farm


def restarted(made: Farm, how: str) -> None:
    """Front ends that come back know nothing of the turns that they have used."""
    size = len(made.gateways)
    rounds = {
        "none": [],
        "seven in ten": [(5.6, [me for me in range(size) if me % 10 < 7])],
        "tenth by tenth": [(3.0 + 0.8 * k, list(range(k, size, 10))) for k in range(10)],
        "last to first": [(4.0 + 5.0 * k / size, [size - 1 - k]) for k in range(size)],
        "all, four times": [(4.6 + k, list(range(size))) for k in range(4)],
    }
    for at, who in rounds[how]:
        made.at(at, made.restart, who)


def replaced(made: Farm, count: int, until: float) -> float:
    """So many engines are replaced from the second second on; fewest requests that reached a new one."""
    for at, name in enumerate(list(made.engines)[:count]):
        made.at(2.0 + 4.0 * at / count, made.swap, name, f"new{at}", 1.0)
    play(made, 0.5, until)
    return min(sum(name == f"new{at}" for _, name, _ in made.fell) for at in range(count))


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
def test_all_front_ends_together_bring_a_cold_engine_no_more_than_it_bears(size, engines, how, seed):
    # lists are learned up to 3 s apart, and a third of the connections come up late
    made = farm(size, engines, (4, 8), seed)
    made.latest, made.late = 3.0, 1 / 3
    restarted(made, how)
    fewest = replaced(made, engines // 2, 15.0)
    assert max(made.crowd()) < 1.0 and fewest > 2, (made.crowd(), fewest)


@pytest.mark.parametrize("how,least", [("none", 150), ("seven in ten", 150), ("all, four times", 120)])
def test_front_ends_that_have_restarted_use_their_turns_once_they_know_their_classes(how, least):
    # a wait taken from nothing learned, eight times too long for lookups, bound them for the whole cold time
    made = farm(24, 12, (4, 8), 5)
    restarted(made, how)
    replaced(made, 6, 15.0)
    assert len(made.fell) > least, len(made.fell)


@pytest.mark.parametrize("seed", [11, 13])
def test_classes_whose_aims_say_little_of_their_work_do_not_push_a_cold_engine_over(seed):
    # until learned an aim stood in for the work, a tenth of it: 1.08 of what it bears, in work
    made = farm(24, 12, (4, 8), seed)
    made.set = replace(
        made.set,
        classes=tuple(replace(c, aim=aim) for c, aim in zip(made.set.classes, (0.2, 0.2, 0.2), strict=True)),
    )
    made.gateways = [made.born(me) for me in range(24)]
    restarted(made, "seven in ten")
    replaced(made, 6, 12.0)
    assert max(made.crowd()) < 1.0, made.crowd()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_turns_that_wait_for_connections_do_not_come_to_a_cold_engine_at_once(seed):
    # all connections come up late, and at the same moments: three windows' turns came with each
    made = farm(24, 8, (32,), seed)
    made.set = replace(made.set, fall_window=0.4, fall_multiple=1.5)
    made.gateways = [made.born(me) for me in range(24)]
    made.late, made.beat = 1.0, 1.5
    fewest = replaced(made, 4, 12.0)
    assert made.crowd()[0] < 1.0 and fewest > 40, (made.crowd(), fewest)
