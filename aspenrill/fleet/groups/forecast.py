"""Growth of a table group from its hourly counts: level, damped trend, daily and weekly season, change
points.

Hours are put together into days that end with the last hour known, so that each is whole. The hours of the
day have shares (the daily season), by which a day with missing hours is filled up; one with few hours is
missing and skipped. Days are smoothed after Holt and Winters with a damped trend and factors for the days
of the week, in the error correction form (Hyndman, Koehler, Ord, Snyder, "Forecasting with exponential
smoothing", 2008), which needs nothing for a missing day: it goes on by what it expects. Single bursts are
cut to a bound before they move level and trend (Gelper, Fried, Croux, "Robust forecasting with exponential
and Holt-Winters smoothing", 2010), but stay in what the paths are drawn from. A change point (`change`)
makes level and trend start anew.

The interval comes from simulated paths: residuals of the past, drawn by a seeded generator, with the level
and trend that they would move; then it is stretched until it would have held the past (`_stretch`). A
forecast is a function of the series alone: late counts revise it by being in it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from .change import last_change

WEEK, DAY = 7, 24
IDLE = 0.2  # a day of the week with less than that of the mean tells little of level and noise


@dataclass(frozen=True, slots=True)
class ForecastRules:
    """`days` ahead; `paths` drawn; `heard`: the share of a day that must be known; `clip`: residuals beyond
    so many deviations move level and trend as if they were that large."""

    days: int = 14
    paths: int = 300
    heard: float = 0.3
    clip: float = 3.0
    least_days: int = 3
    damping: float = 0.98
    grid: tuple[tuple[float, float], ...] = (
        (0.05, 0.0),
        (0.15, 0.0),
        (0.35, 0.0),
        (0.1, 0.1),
        (0.25, 0.1),
        (0.4, 0.05),
    )


@dataclass(frozen=True, slots=True)
class Forecast:
    """From the end of hour `last` on: growth summed up to the end of each day, at 10, 50 and 90%; the rate
    of the busiest hour of each day at 90%; shares of a day by the hour of UTC; the day before the end at
    which the last change was found."""

    last: int
    low: tuple[float, ...]
    mid: tuple[float, ...]
    high: tuple[float, ...]
    peak: tuple[float, ...]
    profile: tuple[float, ...]
    change: int | None


@dataclass(slots=True)
class Fit:
    """Days smoothed: where it stands, factors by day of the fit's week, and residuals as shares of what was
    expected."""

    level: float
    trend: float
    season: list[float]
    residuals: list[float]
    loss: float
    fitted: list[float]


def profile(first: int, series: Sequence[float | None]) -> list[float]:
    """Shares of a day by the hour of UTC, later weeks counting more; equal where too little is known."""
    sums, weights = [0.0] * DAY, [0.0] * DAY
    for at in range(max(0, len(series) - 4 * WEEK * DAY), len(series)):
        value = series[at]
        if value is not None:
            weight = 0.5 ** ((len(series) - at) / (2 * WEEK * DAY))
            sums[(first + at) % DAY] += weight * value
            weights[(first + at) % DAY] += weight
    if min(weights) == 0 or sum(sums) <= 0:
        return [1 / DAY] * DAY
    means = [s / w for s, w in zip(sums, weights, strict=True)]
    total = sum(means)
    return [mean / total for mean in means]


def days_of(
    first: int, series: Sequence[float | None], shares: Sequence[float], heard: float
) -> list[float | None]:
    """Sums of 24 hours, the last of which ends with the series; those with hours missing filled up by
    shares."""
    days: list[float | None] = []
    for start in range(len(series) % DAY, len(series), DAY):
        total = share = 0.0
        for at in range(start, start + DAY):
            value = series[at]
            if value is not None:
                total += value
                share += shares[(first + at) % DAY]
        known = sum(series[at] is not None for at in range(start, start + DAY)) / DAY
        days.append(total / share if share > 0 and min(share, known) >= heard else None)
    return days


def seasons(days: Sequence[float | None]) -> list[float]:
    """A factor for each day of the fit's week, against the median of the week around it; 1 within two
    weeks."""
    ratios: list[list[float]] = [[] for _ in range(WEEK)]
    for at, value in enumerate(days):
        if value is None:
            continue
        start = min(max(0, at - 3), max(0, len(days) - WEEK))
        around = [v for v in days[start : start + WEEK] if v is not None]
        mean = sum(around) / len(around)
        if len(around) >= 5 and mean > 0:
            ratios[at % WEEK].append(value / mean)
    if len(days) < 2 * WEEK or min(len(r) for r in ratios) < 2:
        return [1.0] * WEEK
    factors = [max(0.02, median(r[-6:])) for r in ratios]
    total = sum(factors)
    return [f * WEEK / total for f in factors]


def smooth(
    days: Sequence[float | None],
    level: float,
    trend: float,
    season: Sequence[float],
    alpha: float,
    beta: float,
    damping: float,
    clip: float = math.inf,
) -> Fit:
    """Through all days once. A missing day moves nothing but by the trend expected."""
    season, residuals, fitted = list(season), [], []
    loss, scale = 0.0, 0.3  # scale: a decayed mean of what residuals are, as shares
    for at, value in enumerate(days):
        base = level + damping * trend
        expected = max(0.0, base) * season[at % WEEK]
        fitted.append(expected)
        level, trend = base, damping * trend
        if value is None:
            continue
        error = value - expected
        share = error / max(expected, 1e-9)
        if at >= WEEK or at >= len(days) // 2:
            loss += abs(error)
            if season[at % WEEK] >= IDLE:
                residuals.append(min(share, 1e3))
        bound = clip * scale * max(expected, 1e-9)
        cut = min(max(error, -bound), bound)
        scale = max(0.02, 0.9 * scale + 0.1 * 1.25 * min(abs(share), clip * scale))
        moved = cut / max(1.0, season[at % WEEK])
        level += alpha * moved
        trend += beta * moved
    return Fit(level, trend, season, residuals, loss, fitted)


def start(days: Sequence[float | None], season: Sequence[float]) -> float:
    """A level to begin with: the median of the first week without its season."""
    known = [v / season[at % WEEK] for at, v in enumerate(days) if v is not None]
    return median(known[:WEEK]) if known else 0.0


def fit(days: Sequence[float | None], season: Sequence[float], rules: ForecastRules) -> Fit:
    """The smoothings of the grid put together, those of less absolute error counting more: a mean of
    forecasts does better than the one that looks best (Timmermann, "Forecast combinations", 2006)."""
    fits = [
        smooth(days, start(days, season), 0.0, season, alpha, beta * alpha, rules.damping, rules.clip)
        for alpha, beta in rules.grid
    ]
    best = min(fits, key=lambda f: f.loss)
    weights = [(max(best.loss, 1e-9) / max(f.loss, 1e-9)) ** 8 for f in fits]
    total = sum(weights)
    best.level = sum(w * f.level for w, f in zip(weights, fits, strict=True)) / total
    best.trend = sum(w * f.trend for w, f in zip(weights, fits, strict=True)) / total
    return best


def expected(state: Fit, at: int, count: int, damping: float) -> list[float]:
    """What it expects of the days from `at` on."""
    level, trend, out = state.level, state.trend, []
    for day in range(at, at + count):
        trend *= damping
        level += trend
        out.append(max(0.0, level) * state.season[day % WEEK])
    return out


def since_change(days: Sequence[float | None], season: Sequence[float], rules: ForecastRules) -> int:
    """The day from which on level and trend are fitted."""
    plain = [
        None if v is None or season[at % WEEK] < IDLE else v / season[at % WEEK] for at, v in enumerate(days)
    ]
    return last_change(plain, rules.least_days)


def model(days: Sequence[float | None], rules: ForecastRules) -> tuple[Fit, int, int]:
    """Season of all, level and trend since the last change: the fit, its first day, the day of the change."""
    season = seasons(days)
    change = since_change(days, season, rules)
    turned = season[change % WEEK :] + season[: change % WEEK]
    state = fit(days[change:], turned, rules)
    if change >= WEEK:  # the level is another, the noise is much the same
        state.residuals += fit(days[:change], season, rules).residuals
    return state, change, len(days) - change


def simulate(state: Fit, at: int, rules: ForecastRules, rng: random.Random) -> list[list[float]]:
    """Sums of growth at the end of each day, path by path. Each path has its own doubt of the level too,
    since a short history says little of it."""
    draws = [r for r in state.residuals if math.isfinite(r)] or [0.0]
    few = 1 / math.sqrt(len(draws) + 1)
    paths = []
    for _ in range(rules.paths):
        level = state.level * max(0.1, 1 + few * rng.gauss(0, 0.5))
        trend, total, path = state.trend, 0.0, []
        for day in range(at, at + rules.days):
            trend *= rules.damping
            level += trend
            share = rng.choice(draws)
            value = max(0.0, level) * state.season[day % WEEK] * max(0.0, 1 + share)
            moved = max(0.0, level) * min(max(share, -0.5), 0.5)
            level += 0.2 * moved
            trend += 0.01 * moved
            total += value
            path.append(total)
        paths.append(path)
    return paths


def _stretch(days: Sequence[float | None], rules: ForecastRules) -> list[float]:
    """Errors of the past, of sums over a week or what there was, as shares of what was expected."""
    ahead, errors = min(WEEK, len(days) // 3), []
    for end in range(len(days) - ahead, max(rules.least_days, len(days) - ahead - 3 * WEEK), -2):
        actual = days[end : end + ahead]
        if ahead < 2 or sum(v is None for v in actual) > ahead // 3:
            continue
        state, _, count = model(days[:end], rules)
        guess = expected(state, count, ahead, rules.damping)
        pairs = [(v, g) for v, g in zip(actual, guess, strict=True) if v is not None]
        total = sum(g for _, g in pairs)
        if total > 0:
            errors.append(min(3.0, abs(sum(v for v, _ in pairs) / total - 1)))
    return sorted(errors)


def quantile(values: Sequence[float], share: float) -> float:
    """Of sorted values, between the two around it."""
    at = share * (len(values) - 1)
    low = math.floor(at)
    return values[low] + (at - low) * (values[min(low + 1, len(values) - 1)] - values[low])


def forecast(
    first: int, series: Sequence[float | None], rng: random.Random, rules: ForecastRules = ForecastRules()
) -> Forecast | None:  # noqa: B008
    """From counts of each hour since `first`, None where missing. None while too few days are known."""
    shares = profile(first, series)
    days = days_of(first, series, shares, rules.heard)
    if sum(v is not None for v in days) < rules.least_days:
        return None
    state, change, count = model(days, rules)
    paths = simulate(state, count, rules, rng)
    columns = [sorted(column) for column in zip(*paths, strict=True)]
    errors = _stretch(days, rules)
    least = quantile(errors, 0.8) if len(errors) >= 3 else 0.35
    ahead = max(2, min(WEEK, len(days) // 3))
    low, mid, high = [], [], []
    for day, column in enumerate(columns):
        center = quantile(column, 0.5)
        width = least * center * ((day + 1) / ahead) ** (0.3 if day >= ahead else 0.0)
        low.append(max(0.0, min(quantile(column, 0.1), center - width)))
        mid.append(center)
        high.append(max(quantile(column, 0.9), center + width))
    daily = [b - a for a, b in zip([0.0, *high], high, strict=False)]
    top = max(shares)
    return Forecast(
        first + len(series) - 1,
        tuple(low),
        tuple(mid),
        tuple(high),
        tuple(max(0.0, d) * top for d in daily),
        tuple(shares),
        change or None,
    )
