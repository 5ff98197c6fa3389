"""Growth forecast of a table group from hourly counts: level, damped trend, seasons, change points.

Hours are grouped into complete days that end with the last known hour. The daily season gives each hour of
the day a share, by which days with missing hours are scaled up; a day with too few hours is missing and
skipped. Days are smoothed by the Holt-Winters method with a damped trend and factors for the days of the
week, in the error correction form (Hyndman, Koehler, Ord, Snyder, "Forecasting with exponential smoothing",
2008), which passes over a missing day by its expected value. Outliers are clipped before they move level and
trend (Gelper, Fried, Croux, "Robust forecasting with exponential and Holt-Winters smoothing", 2010), but the
simulated paths draw from unclipped residuals. Level and trend restart at a change point (`change`).

The interval comes from simulated paths: past residuals, drawn by a seeded generator, with the level and trend
that they would cause. It is then widened by the errors of past forecasts (`_backtest_errors`). A forecast
depends on the series alone; late counts revise it as part of the series.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from .change import last_change

WEEK = 7  # days
DAY = 24  # hours
MIN_WEEKDAY_FACTOR = 0.2  # weekday factor below which a day says too little about level and noise


@dataclass(frozen=True, slots=True)
class ForecastRules:
    """Forecasts `days` ahead by `paths` simulated paths.

    A day counts if at least `min_known_share` of it is known; `min_days` such days are required. Residuals
    are clipped to `clip` deviations before they move level and trend. `grid` holds the smoothing factors
    (alpha, beta / alpha) that are combined.
    """

    days: int = 14
    paths: int = 300
    min_known_share: float = 0.3
    clip: float = 3.0
    min_days: int = 3
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
    """Forecast from the end of hour `last` on.

    `low`, `mid` and `high` are the cumulative growth at the end of each day at 10, 50 and 90%, `peak` the
    rate of the busiest hour of each day at 90%, `profile` the shares of a day by hour of UTC, `change` the
    first day of the series after the last change point.
    """

    last: int
    low: tuple[float, ...]
    mid: tuple[float, ...]
    high: tuple[float, ...]
    peak: tuple[float, ...]
    profile: tuple[float, ...]
    change: int | None


@dataclass(slots=True)
class Fit:
    """Result of a smoothing: level, trend, weekday factors, and residuals relative to the expected values."""

    level: float
    trend: float
    season: list[float]
    residuals: list[float]
    loss: float
    fitted: list[float]


def profile(first: int, series: Sequence[float | None]) -> list[float]:
    """Shares of a day by hour of UTC, recent weeks weighted higher; equal shares if too little is known."""
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


def daily_sums(
    first: int, series: Sequence[float | None], shares: Sequence[float], min_known_share: float
) -> list[float | None]:
    """Sums of 24 hours, the last of which ends with the series; missing hours are scaled up by `shares`."""
    days: list[float | None] = []
    for start in range(len(series) % DAY, len(series), DAY):
        total = share = 0.0
        for at in range(start, start + DAY):
            value = series[at]
            if value is not None:
                total += value
                share += shares[(first + at) % DAY]
        known = sum(series[at] is not None for at in range(start, start + DAY)) / DAY
        days.append(total / share if share > 0 and min(share, known) >= min_known_share else None)
    return days


def seasons(days: Sequence[float | None]) -> list[float]:
    """A factor for each weekday, relative to the mean of the week around it; 1 within two weeks."""
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
    """Smooths all days. A missing day changes level and trend only by their expected course."""
    season, residuals, fitted = list(season), [], []
    loss, scale = 0.0, 0.3  # scale: decaying mean of the relative residuals
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
            if season[at % WEEK] >= MIN_WEEKDAY_FACTOR:
                residuals.append(min(share, 1e3))
        bound = clip * scale * max(expected, 1e-9)
        clipped = min(max(error, -bound), bound)
        scale = max(0.02, 0.9 * scale + 0.1 * 1.25 * min(abs(share), clip * scale))
        moved = clipped / max(1.0, season[at % WEEK])
        level += alpha * moved
        trend += beta * moved
    return Fit(level, trend, season, residuals, loss, fitted)


def initial_level(days: Sequence[float | None], season: Sequence[float]) -> float:
    """Initial level: the median of the deseasonalised first week."""
    known = [v / season[at % WEEK] for at, v in enumerate(days) if v is not None]
    return median(known[:WEEK]) if known else 0.0


def fit(days: Sequence[float | None], season: Sequence[float], rules: ForecastRules) -> Fit:
    """Combines the smoothings of the grid, weighted by their absolute error.

    A weighted mean forecasts better than the single best fit (Timmermann, "Forecast combinations", 2006).
    """
    fits = [
        smooth(days, initial_level(days, season), 0.0, season, alpha, beta * alpha, rules.damping, rules.clip)
        for alpha, beta in rules.grid
    ]
    best = min(fits, key=lambda f: f.loss)
    weights = [(max(best.loss, 1e-9) / max(f.loss, 1e-9)) ** 8 for f in fits]
    total = sum(weights)
    best.level = sum(w * f.level for w, f in zip(weights, fits, strict=True)) / total
    best.trend = sum(w * f.trend for w, f in zip(weights, fits, strict=True)) / total
    return best


def predict(state: Fit, at: int, count: int, damping: float) -> list[float]:
    """Predicts `count` days from index `at` on."""
    level, trend, out = state.level, state.trend, []
    for day in range(at, at + count):
        trend *= damping
        level += trend
        out.append(max(0.0, level) * state.season[day % WEEK])
    return out


def fit_start(days: Sequence[float | None], season: Sequence[float], rules: ForecastRules) -> int:
    """Index of the first day from which level and trend are fitted."""
    plain = [
        None if v is None or season[at % WEEK] < MIN_WEEKDAY_FACTOR else v / season[at % WEEK]
        for at, v in enumerate(days)
    ]
    return last_change(plain, rules.min_days)


def fit_model(days: Sequence[float | None], rules: ForecastRules) -> tuple[Fit, int, int]:
    """Fits seasons to all days, level and trend to those since the last change.

    Returns the fit, the index of the change and the number of days since.
    """
    season = seasons(days)
    change = fit_start(days, season, rules)
    rotated = season[change % WEEK :] + season[: change % WEEK]
    state = fit(days[change:], rotated, rules)
    if change >= WEEK:  # the level has changed, the noise hardly
        state.residuals += fit(days[:change], season, rules).residuals
    return state, change, len(days) - change


def simulate(state: Fit, at: int, rules: ForecastRules, rng: random.Random) -> list[list[float]]:
    """Cumulative growth at the end of each day for each simulated path.

    Each path also perturbs the level, more so for a short history.
    """
    residuals = [r for r in state.residuals if math.isfinite(r)] or [0.0]
    level_doubt = 1 / math.sqrt(len(residuals) + 1)
    paths = []
    for _ in range(rules.paths):
        level = state.level * max(0.1, 1 + level_doubt * rng.gauss(0, 0.5))
        trend, total, path = state.trend, 0.0, []
        for day in range(at, at + rules.days):
            trend *= rules.damping
            level += trend
            share = rng.choice(residuals)
            value = max(0.0, level) * state.season[day % WEEK] * max(0.0, 1 + share)
            moved = max(0.0, level) * min(max(share, -0.5), 0.5)
            level += 0.2 * moved
            trend += 0.01 * moved
            total += value
            path.append(total)
        paths.append(path)
    return paths


def _backtest_errors(days: Sequence[float | None], rules: ForecastRules) -> list[float]:
    """Sorted relative errors of past forecasts, over a week or a third of the history."""
    ahead, errors = min(WEEK, len(days) // 3), []
    for end in range(len(days) - ahead, max(rules.min_days, len(days) - ahead - 3 * WEEK), -2):
        actual = days[end : end + ahead]
        if ahead < 2 or sum(v is None for v in actual) > ahead // 3:
            continue
        state, _, count = fit_model(days[:end], rules)
        prediction = predict(state, count, ahead, rules.damping)
        pairs = [(v, g) for v, g in zip(actual, prediction, strict=True) if v is not None]
        total = sum(g for _, g in pairs)
        if total > 0:
            errors.append(min(3.0, abs(sum(v for v, _ in pairs) / total - 1)))
    return sorted(errors)


def quantile(values: Sequence[float], share: float) -> float:
    """Interpolated quantile of sorted values."""
    at = share * (len(values) - 1)
    low = math.floor(at)
    return values[low] + (at - low) * (values[min(low + 1, len(values) - 1)] - values[low])


def forecast(
    first: int, series: Sequence[float | None], rng: random.Random, rules: ForecastRules = ForecastRules()
) -> Forecast | None:  # noqa: B008
    """Forecast from hourly counts since hour `first`, None where missing; None if too few days are known."""
    shares = profile(first, series)
    days = daily_sums(first, series, shares, rules.min_known_share)
    if sum(v is not None for v in days) < rules.min_days:
        return None
    state, change, count = fit_model(days, rules)
    paths = simulate(state, count, rules, rng)
    columns = [sorted(column) for column in zip(*paths, strict=True)]
    errors = _backtest_errors(days, rules)
    min_width = quantile(errors, 0.8) if len(errors) >= 3 else 0.35
    ahead = max(2, min(WEEK, len(days) // 3))
    low, mid, high = [], [], []
    for day, column in enumerate(columns):
        center = quantile(column, 0.5)
        width = min_width * center * ((day + 1) / ahead) ** (0.3 if day >= ahead else 0.0)
        low.append(max(0.0, min(quantile(column, 0.1), center - width)))
        mid.append(center)
        high.append(max(quantile(column, 0.9), center + width))
    daily = [b - a for a, b in zip([0.0, *high], high, strict=False)]
    busiest_share = max(shares)
    return Forecast(
        first + len(series) - 1,
        tuple(low),
        tuple(mid),
        tuple(high),
        tuple(max(0.0, d) * busiest_share for d in daily),
        tuple(shares),
        change or None,
    )
