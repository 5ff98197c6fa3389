"""Growth forecasts of table groups, measured: python -m benchmarks.fleet_forecast [--seeds N] [--json FILE]
[--chart FILE.svg]

Made-up histories of nine weeks by the hour. From the third week on, every second day is an origin: sums of
growth over the next 7 and 14 days are forecast from what was known then, beside two baselines: the last
value (the last 24 hours known, again and again) and a straight line (least squares through the size over
the last two weeks). MASE: the mean error as a share of the mean error of the last value within the history
before the first origin. Then the schedule is played with a limit that the size reaches, and with one that
it does not reach.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import statistics
from collections.abc import Callable
from pathlib import Path

from aspenrill.fleet.groups.forecast import DAY, ForecastRules, forecast
from aspenrill.fleet.groups.records import Split, Step
from aspenrill.fleet.groups.schedule import Outlook, Scheduler, ScheduleRules

DAYS, FIRST_ORIGIN, HORIZONS = 63, 21, (7, 14)
FIRST_HOUR = 480_000 // DAY * DAY
Series = list[float | None]
DAILY = [1 + 0.8 * math.sin(2 * math.pi * (h - 8) / DAY) for h in range(DAY)]
WEEKLY = [1.15, 1.1, 1.1, 1.05, 1.2, 0.7, 0.7]


def plain(
    level: Callable[[float], float], daily: bool = True, weekly: bool = True, noise: float = 0.3
) -> Callable[[random.Random], list[float]]:
    """Hours of a level by day, with seasons, and noise by hour and by day."""

    def make(rng: random.Random) -> list[float]:
        hours = []
        for day in range(DAYS):
            whole = rng.lognormvariate(-0.005, 0.1)
            for hour in range(DAY):
                season = (DAILY[hour] if daily else 1) * (WEEKLY[day % 7] if weekly else 1)
                hours.append(
                    1e6
                    * level(day + hour / DAY)
                    * season
                    * whole
                    * rng.lognormvariate(-noise * noise / 2, noise)
                )
        return hours

    return make


def bursts(rng: random.Random) -> list[float]:
    """Three hours of twenty times as much, every five days or so."""
    hours = plain(lambda d: 1 + d / 100)(rng)
    for _ in range(DAYS // 5):
        at = rng.randrange(len(hours) - 3)
        for hour in range(at, at + 3):
            hours[hour] *= 20
    return hours


def stalls(rng: random.Random) -> list[float]:
    """Loads stand still for half a day or more, and catch up within six hours."""
    hours = plain(lambda d: 1 + d / 60)(rng)
    for _ in range(10):
        at, long = rng.randrange(len(hours) - 48), rng.randrange(12, 31)
        kept = sum(hours[at : at + long])
        hours[at : at + long] = [0.0] * long
        for hour in range(at + long, at + long + 6):
            hours[hour] += kept / 6
    return hours


def weekdays(rng: random.Random) -> list[float]:
    """Nothing is written at weekends."""
    return [v if at // DAY % 7 < 5 else 0.0 for at, v in enumerate(plain(lambda d: 1 + d / 80)(rng))]


HISTORIES: dict[str, Callable[[random.Random], list[float]]] = {
    "steady": plain(lambda d: 1.0, False, False),
    "daily season": plain(lambda d: 1.0, True, False),
    "daily and weekly season": plain(lambda d: 1.0),
    "linear growth": plain(lambda d: 0.5 + d / 40),
    "growth that ends": plain(lambda d: 1 + 2 / (1 + math.exp(-(d - 30) / 6))),
    "compound growth, 2% a day": plain(lambda d: 1.02**d),
    "decline": plain(lambda d: 0.985**d),
    "jump up": plain(lambda d: 1.0 if d < 33 else 2.2),
    "jump down": plain(lambda d: 2.0 if d < 33 else 0.9),
    "two jumps": plain(lambda d: 1.0 if d < 26 else 1.8 if d < 42 else 1.1),
    "gaps": plain(lambda d: 1 + d / 60),
    "late counts": plain(lambda d: 1 + d / 60),
    "bursts": bursts,
    "stalls": stalls,
    "weekdays only": weekdays,
    "heavy tails": plain(lambda d: 1 + d / 90, noise=1.0),
    "growth, jump, gaps": plain(lambda d: (1 + d / 50) * (1 if d < 36 else 1.7)),
}


def holes(name: str, rng: random.Random, count: int) -> set[int]:
    """Hours that were never heard."""
    missing: set[int] = set()
    for _ in range(12 if "gaps" in name else 0):
        at = rng.randrange(count)
        missing.update(range(at, at + rng.randrange(3, 31)))
    return missing


def known(name: str, hours: list[float], missing: set[int], end: int, rng: random.Random) -> Series:
    """What is known at the end of an hour: of late counts, half of the last two days' hours not yet."""
    late = {at for at in range(end - 48, end) if name == "late counts" and rng.random() < 0.5}
    return [None if at in missing or at in late else hours[at] for at in range(end)]


def last_value(series: Series) -> float:
    """A day's growth: the last 24 hours known."""
    return sum([v for v in series if v is not None][-DAY:])


def line(series: Series) -> float:
    """A day's growth: the slope of the size over the last two weeks."""
    size, points = 0.0, []
    for at, value in enumerate(series[-14 * DAY :]):
        if value is not None:
            size += value
            points.append((at, size))
    x, y = statistics.mean(p[0] for p in points), statistics.mean(p[1] for p in points)
    return DAY * sum((a - x) * (b - y) for a, b in points) / sum((a - x) ** 2 for a, _ in points)


def errors(name: str, seed: int, rules: ForecastRules) -> dict:
    """One history: errors of the three by horizon, and how often the truth was inside the interval."""
    rng = random.Random(f"{name}/{seed}")
    hours = HISTORIES[name](rng)
    missing = holes(name, rng, len(hours))
    scale = {
        h: statistics.mean(
            abs(sum(hours[d * DAY : (d + h) * DAY]) - h * sum(hours[(d - 1) * DAY : d * DAY]))
            for d in range(1, FIRST_ORIGIN - h)
        )
        for h in HORIZONS
    }
    out: dict = {h: {what: [] for what in (*GUESSES, *SHARES)} for h in HORIZONS}
    for origin in range(FIRST_ORIGIN, DAYS - max(HORIZONS) + 1, 2):
        end = origin * DAY
        series = known(name, hours, missing, end, rng)
        guess = forecast(FIRST_HOUR, series, random.Random(f"{name}/{seed}/{origin}"), rules)
        for horizon, found in out.items():
            truth = sum(hours[end : end + horizon * DAY])
            mid, low, high = (line_[horizon - 1] for line_ in (guess.mid, guess.low, guess.high))
            found["forecast"].append(abs(mid - truth) / scale[horizon])
            found["last value"].append(abs(horizon * last_value(series) - truth) / scale[horizon])
            found["line"].append(abs(horizon * line(series) - truth) / scale[horizon])
            found["inside"].append(low <= truth <= high)
            found["above"].append(truth > high)
    return out


def play(name: str, seed: int, rules: ForecastRules, share: float) -> dict:
    """Look every twelve hours with a limit at that share of the last size: splits done, in time, and not
    needed."""
    rng = random.Random(f"{name}/{seed}")
    hours = HISTORIES[name](rng)
    missing = holes(name, rng, len(hours))
    limit = share * sum(hours)
    total, reached = 0.0, None
    for at, value in enumerate(hours):
        total += value
        if reached is None and total >= limit:
            reached = at
    schedule = ScheduleRules(limit, looks=2)
    scheduler, split, planned = Scheduler(schedule), None, 0
    for end in range(7 * DAY, len(hours), 12):
        series = known(name, hours, missing, end, rng)
        heard = [v for v in series if v is not None]
        growth = forecast(FIRST_HOUR, series, random.Random(f"{name}/{seed}/{end}"), rules)
        look = Outlook(1, FIRST_HOUR + end - 1, sum(heard) * len(series) / len(heard), growth, None)
        scheduler.look(look, {split.id: split} if split else {})
        if split is not None and scheduler.wanted(split):
            split = None
        if split is None:
            plan = scheduler.plan(1, 1, FIRST_HOUR + end)
            if plan:
                planned += 1
                split = Split(f"s{end}", 1, 1, 2, Step.PROPOSED, plan.at, plan.before)
        if split is not None and split.at < FIRST_HOUR + end + 12:
            done = split.at - FIRST_HOUR + schedule.window
            needed = reached is not None and reached - done <= 1.5 * schedule.lead
            return {
                "planned": planned,
                "done": done,
                "reached": reached,
                "in time": reached is None or done <= reached,
                "needed": needed,
            }
    return {"planned": planned, "done": None, "reached": reached, "in time": reached is None, "needed": False}


def measure(seeds: int, rules: ForecastRules) -> dict:
    """All histories."""
    result = {}
    for name in HISTORIES:
        runs = [errors(name, seed, rules) for seed in range(seeds)]
        row: dict = {}
        for horizon in HORIZONS:
            row[horizon] = {
                what: statistics.mean(v for run in runs for v in run[horizon][what])
                for what in runs[0][horizon]
            }
        plays = [play(name, seed, rules, 0.7) for seed in range(seeds)]
        idle = [play(name, seed, rules, 1.6) for seed in range(seeds)]
        ahead = [(p["reached"] - p["done"]) / DAY for p in plays if p["done"]]
        row["splits"] = {
            "in time": sum(p["in time"] for p in plays),
            "late": sum(not p["in time"] for p in plays),
            "plans": sum(p["planned"] for p in plays),
            "not needed": sum(p["done"] is not None and not p["needed"] for p in plays),
            "days before": statistics.mean(ahead) if ahead else None,
            "idle": sum(p["done"] is not None for p in idle),
            "idle plans": sum(p["planned"] for p in idle),
        }
        result[name] = row
    return result


GUESSES, SHARES = ("forecast", "last value", "line"), ("inside", "above")
COUNTED = ("in time", "late", "not needed", "idle")


def table(result: dict) -> str:
    """Markdown."""
    heads = [f"{h} d: {what}" for h in HORIZONS for what in (*GUESSES, *SHARES)]
    out = [
        "| history | " + " | ".join((*heads, *COUNTED[:-1], "no limit: done")) + " |",
        "| --- |" + " ---: |" * 14,
    ]
    for name, row in result.items():
        cells = [
            f"{row[h][k]:.2f}" if k in GUESSES else f"{row[h][k]:.0%}"
            for h in HORIZONS
            for k in (*GUESSES, *SHARES)
        ]
        out.append(f"| {name} | " + " | ".join((*cells, *(str(row["splits"][k]) for k in COUNTED))) + " |")
    means = [
        statistics.mean(row[h][k] for row in result.values()) for h in HORIZONS for k in (*GUESSES, *SHARES)
    ]
    sums = [sum(row["splits"][k] for row in result.values()) for k in COUNTED]
    out.append("| **all** | " + " | ".join((*(f"{m:.2f}" for m in means), *map(str, sums))) + " |")
    return "\n".join(out)


def draw(result: dict, path: Path) -> None:
    """MASE of the three at 7 days, and the share inside; matplotlib is needed here only."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot as plt

    matplotlib.rcParams["svg.hashsalt"] = "aspenrill"
    figure, (left, right) = plt.subplots(1, 2, figsize=(13, 5.5), sharey=True)
    names = list(result)
    for at, what in enumerate(("forecast", "last value", "line")):
        left.barh(
            [y + 0.25 * at for y in range(len(names))], [result[n][7][what] for n in names], 0.23, label=what
        )
    left.set_yticks([y + 0.25 for y in range(len(names))], names)
    left.invert_yaxis()
    left.set_xlabel("MASE, growth of 7 days")
    left.legend(fontsize=8)
    for horizon, shift in zip(HORIZONS, (0.1, 0.4), strict=True):
        inside = [result[n][horizon]["inside"] for n in names]
        right.barh([y + shift for y in range(len(names))], inside, 0.28, label=f"{horizon} days")
    right.axvspan(0.8, 0.95, color="grey", alpha=0.2)
    right.set_xlabel("share inside 10 to 90%")
    right.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--chart", type=Path)
    args = parser.parse_args()
    result = measure(args.seeds, ForecastRules())
    print(table(result))
    if args.json:
        args.json.write_text(json.dumps(result, indent=1) + "\n")
    if args.chart:
        draw(result, args.chart)


if __name__ == "__main__":
    main()
