"""Accuracy of growth forecasts for table groups.

python -m benchmarks.fleet_forecast [--seeds N] [--json FILE] [--chart FILE.svg]

The histories are synthetic: nine weeks of hourly growth. From the end of the third week, every second day is
a forecast origin: growth over the next 7 and 14 days is forecast from what was known then. There are two
baselines: the last value (the last 24 known hours, repeated) and a straight line (least squares through the
size over the last two weeks). MASE is the mean error divided by the mean error of the last value within the
history before the first origin. The split schedule is then simulated with a limit that the size reaches, and
with one that it does not reach.
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

DAYS = 63  # length of a history
FIRST_ORIGIN = 21  # day of the first forecast
HORIZONS = (7, 14)  # days forecast
FIRST_HOUR = 480_000 // DAY * DAY  # hours since the epoch, at a midnight
Series = list[float | None]
# factors by hour of the day and by day of the week
DAILY = [1 + 0.8 * math.sin(2 * math.pi * (h - 8) / DAY) for h in range(DAY)]
WEEKLY = [1.15, 1.1, 1.1, 1.05, 1.2, 0.7, 0.7]


def seasonal_history(
    level: Callable[[float], float], daily: bool = True, weekly: bool = True, noise: float = 0.3
) -> Callable[[random.Random], list[float]]:
    """A generator of hourly growth: `level` by day, seasons, and lognormal noise by hour and by day."""

    def generate(rng: random.Random) -> list[float]:
        hours = []
        for day in range(DAYS):
            day_factor = rng.lognormvariate(-0.005, 0.1)
            for hour in range(DAY):
                season = (DAILY[hour] if daily else 1) * (WEEKLY[day % 7] if weekly else 1)
                hours.append(
                    1e6
                    * level(day + hour / DAY)
                    * season
                    * day_factor
                    * rng.lognormvariate(-noise * noise / 2, noise)
                )
        return hours

    return generate


def bursty_history(rng: random.Random) -> list[float]:
    """Growth with bursts: three hours at twenty times the level, about every five days."""
    hours = seasonal_history(lambda d: 1 + d / 100)(rng)
    for _ in range(DAYS // 5):
        at = rng.randrange(len(hours) - 3)
        for hour in range(at, at + 3):
            hours[hour] *= 20
    return hours


def stalled_history(rng: random.Random) -> list[float]:
    """Growth that stops for half a day or more (12 to 30 hours) and catches up within six hours."""
    hours = seasonal_history(lambda d: 1 + d / 60)(rng)
    for _ in range(10):
        at, length = rng.randrange(len(hours) - 48), rng.randrange(12, 31)
        held_back = sum(hours[at : at + length])
        hours[at : at + length] = [0.0] * length
        for hour in range(at + length, at + length + 6):
            hours[hour] += held_back / 6
    return hours


def weekday_history(rng: random.Random) -> list[float]:
    """Growth without any writes at weekends."""
    return [
        v if at // DAY % 7 < 5 else 0.0 for at, v in enumerate(seasonal_history(lambda d: 1 + d / 80)(rng))
    ]


HISTORIES: dict[str, Callable[[random.Random], list[float]]] = {
    "steady": seasonal_history(lambda d: 1.0, False, False),
    "daily season": seasonal_history(lambda d: 1.0, True, False),
    "daily and weekly season": seasonal_history(lambda d: 1.0),
    "linear growth": seasonal_history(lambda d: 0.5 + d / 40),
    "growth that ends": seasonal_history(lambda d: 1 + 2 / (1 + math.exp(-(d - 30) / 6))),
    "compound growth, 2% a day": seasonal_history(lambda d: 1.02**d),
    "decline": seasonal_history(lambda d: 0.985**d),
    "jump up": seasonal_history(lambda d: 1.0 if d < 33 else 2.2),
    "jump down": seasonal_history(lambda d: 2.0 if d < 33 else 0.9),
    "two jumps": seasonal_history(lambda d: 1.0 if d < 26 else 1.8 if d < 42 else 1.1),
    "gaps": seasonal_history(lambda d: 1 + d / 60),
    "late counts": seasonal_history(lambda d: 1 + d / 60),
    "bursts": bursty_history,
    "stalls": stalled_history,
    "weekdays only": weekday_history,
    "heavy tails": seasonal_history(lambda d: 1 + d / 90, noise=1.0),
    "growth, jump, gaps": seasonal_history(lambda d: (1 + d / 50) * (1 if d < 36 else 1.7)),
}


def missing_hours(name: str, rng: random.Random, count: int) -> set[int]:
    """Hours whose counts never arrive."""
    missing: set[int] = set()
    for _ in range(12 if "gaps" in name else 0):
        at = rng.randrange(count)
        missing.update(range(at, at + rng.randrange(3, 31)))
    return missing


def known_series(name: str, hours: list[float], missing: set[int], end: int, rng: random.Random) -> Series:
    """The series as known at the end of an hour; in "late counts", half of its last 48 hours are missing."""
    late = {at for at in range(end - 48, end) if name == "late counts" and rng.random() < 0.5}
    return [None if at in missing or at in late else hours[at] for at in range(end)]


def last_day_growth(series: Series) -> float:
    """Growth per day by the baseline "last value": the sum of the last 24 known hours."""
    return sum([v for v in series if v is not None][-DAY:])


def linear_daily_growth(series: Series) -> float:
    """Growth per day by the baseline "line": the least-squares slope of the size over two weeks."""
    size, points = 0.0, []
    for at, value in enumerate(series[-14 * DAY :]):
        if value is not None:
            size += value
            points.append((at, size))
    x, y = statistics.mean(p[0] for p in points), statistics.mean(p[1] for p in points)
    return DAY * sum((a - x) * (b - y) for a, b in points) / sum((a - x) ** 2 for a, _ in points)


def measure_errors(name: str, seed: int, rules: ForecastRules) -> dict:
    """Scaled errors of the three methods for one history, by horizon, and how often the interval held.

    "inside" and "above" say whether the true growth was within the forecast interval or above it.
    """
    rng = random.Random(f"{name}/{seed}")
    hours = HISTORIES[name](rng)
    missing = missing_hours(name, rng, len(hours))
    scale = {
        h: statistics.mean(
            abs(sum(hours[d * DAY : (d + h) * DAY]) - h * sum(hours[(d - 1) * DAY : d * DAY]))
            for d in range(1, FIRST_ORIGIN - h)
        )
        for h in HORIZONS
    }
    errors_by_horizon: dict = {h: {method: [] for method in (*METHODS, *COVERAGE)} for h in HORIZONS}
    for origin in range(FIRST_ORIGIN, DAYS - max(HORIZONS) + 1, 2):
        end = origin * DAY
        series = known_series(name, hours, missing, end, rng)
        prediction = forecast(FIRST_HOUR, series, random.Random(f"{name}/{seed}/{origin}"), rules)
        for horizon, horizon_errors in errors_by_horizon.items():
            truth = sum(hours[end : end + horizon * DAY])
            mid, low, high = (
                quantile[horizon - 1] for quantile in (prediction.mid, prediction.low, prediction.high)
            )
            horizon_errors["forecast"].append(abs(mid - truth) / scale[horizon])
            horizon_errors["last value"].append(
                abs(horizon * last_day_growth(series) - truth) / scale[horizon]
            )
            horizon_errors["line"].append(abs(horizon * linear_daily_growth(series) - truth) / scale[horizon])
            horizon_errors["inside"].append(low <= truth <= high)
            horizon_errors["above"].append(truth > high)
    return errors_by_horizon


def simulate_schedule(name: str, seed: int, rules: ForecastRules, share: float) -> dict:
    """Simulate the schedule, evaluated every 12 hours, with a limit at `share` of the final size.

    Returns when a split was done, whether that was before the limit was reached, and whether it was needed.
    """
    rng = random.Random(f"{name}/{seed}")
    hours = HISTORIES[name](rng)
    missing = missing_hours(name, rng, len(hours))
    limit = share * sum(hours)
    total, reached = 0.0, None
    for at, value in enumerate(hours):
        total += value
        if reached is None and total >= limit:
            reached = at
    schedule = ScheduleRules(limit, cancel_checks=2)
    scheduler, split, planned = Scheduler(schedule), None, 0
    for end in range(7 * DAY, len(hours), 12):
        series = known_series(name, hours, missing, end, rng)
        known_values = [v for v in series if v is not None]
        growth = forecast(FIRST_HOUR, series, random.Random(f"{name}/{seed}/{end}"), rules)
        outlook = Outlook(
            1, FIRST_HOUR + end - 1, sum(known_values) * len(series) / len(known_values), growth, None
        )
        scheduler.update_outlook(outlook, {split.id: split} if split else {})
        if split is not None and scheduler.drop_reason(split):
            split = None
        if split is None:
            plan = scheduler.plan(1, 1, FIRST_HOUR + end)
            if plan:
                planned += 1
                split = Split(f"s{end}", 1, 1, 2, Step.PROPOSED, plan.window_start, plan.limit_hour)
        if split is not None and split.window_start < FIRST_HOUR + end + 12:
            done = split.window_start - FIRST_HOUR + schedule.window
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
    """Forecast errors and schedule results of all histories."""
    result = {}
    for name in HISTORIES:
        runs = [measure_errors(name, seed, rules) for seed in range(seeds)]
        row: dict = {}
        for horizon in HORIZONS:
            row[horizon] = {
                method: statistics.mean(v for run in runs for v in run[horizon][method])
                for method in runs[0][horizon]
            }
        plays = [simulate_schedule(name, seed, rules, 0.7) for seed in range(seeds)]
        plays_limit_unreached = [simulate_schedule(name, seed, rules, 1.6) for seed in range(seeds)]
        days_ahead = [(p["reached"] - p["done"]) / DAY for p in plays if p["done"]]
        row["splits"] = {
            "in time": sum(p["in time"] for p in plays),
            "late": sum(not p["in time"] for p in plays),
            "plans": sum(p["planned"] for p in plays),
            "not needed": sum(p["done"] is not None and not p["needed"] for p in plays),
            "days before": statistics.mean(days_ahead) if days_ahead else None,
            "idle": sum(p["done"] is not None for p in plays_limit_unreached),
            "idle plans": sum(p["planned"] for p in plays_limit_unreached),
        }
        result[name] = row
    return result


METHODS = ("forecast", "last value", "line")
COVERAGE = ("inside", "above")
SPLIT_COUNTS = ("in time", "late", "not needed", "idle")


def table(result: dict) -> str:
    """The results as a Markdown table."""
    columns = [f"{h} d: {method}" for h in HORIZONS for method in (*METHODS, *COVERAGE)]
    lines = [
        "| history | " + " | ".join((*columns, *SPLIT_COUNTS[:-1], "no limit: done")) + " |",
        "| --- |" + " ---: |" * 14,
    ]
    for name, row in result.items():
        cells = [
            f"{row[h][k]:.2f}" if k in METHODS else f"{row[h][k]:.0%}"
            for h in HORIZONS
            for k in (*METHODS, *COVERAGE)
        ]
        lines.append(
            f"| {name} | " + " | ".join((*cells, *(str(row["splits"][k]) for k in SPLIT_COUNTS))) + " |"
        )
    means = [
        statistics.mean(row[h][k] for row in result.values()) for h in HORIZONS for k in (*METHODS, *COVERAGE)
    ]
    sums = [sum(row["splits"][k] for row in result.values()) for k in SPLIT_COUNTS]
    lines.append("| **all** | " + " | ".join((*(f"{m:.2f}" for m in means), *map(str, sums))) + " |")
    return "\n".join(lines)


def draw_chart(result: dict, path: Path) -> None:
    """Draw the MASE of the three methods at 7 days, and interval coverage; only this needs matplotlib."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot as plt

    matplotlib.rcParams["svg.hashsalt"] = "aspenrill"
    figure, (left, right) = plt.subplots(1, 2, figsize=(13, 5.5), sharey=True)
    names = list(result)
    for at, method in enumerate(("forecast", "last value", "line")):
        left.barh(
            [y + 0.25 * at for y in range(len(names))],
            [result[n][7][method] for n in names],
            0.23,
            label=method,
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
    """Run the command."""
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
        draw_chart(result, args.chart)


if __name__ == "__main__":
    main()
