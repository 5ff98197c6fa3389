"""Forecasts compared with statsmodels and simple baselines; hysteresis of the split schedule."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import numpy
import pytest
from statsmodels.tsa.exponential_smoothing.ets import ETSModel
from statsmodels.tsa.holtwinters import ExponentialSmoothing

from aspenrill.fleet.groups import forecast as module
from aspenrill.fleet.groups.change import last_change
from aspenrill.fleet.groups.forecast import DAY, Forecast, ForecastRules, forecast, seasons, smooth
from aspenrill.fleet.groups.records import Split, Step
from aspenrill.fleet.groups.schedule import Outlook, Scheduler, ScheduleRules, limit_hour, quietest_hour
from benchmarks.fleet_forecast import FIRST_HOUR, HISTORIES, HORIZONS, measure_errors

WEEK = [1.2, 1.1, 1.0, 1.1, 1.2, 0.7, 0.7]


def hours(days: int, seed: int = 1, level=lambda d: 1 + d / 30) -> list[float]:
    """Growth with daily and weekly seasons and a little noise."""
    rng = random.Random(seed)
    return [
        1e6
        * level(h / DAY)
        * WEEK[h // DAY % 7]
        * (1 + 0.7 * math.sin(h * math.pi / 12))
        * rng.lognormvariate(0, 0.1)
        for h in range(days * DAY)
    ]


def week(series, seed=1, **more) -> tuple[float, float, float]:
    """Forecast growth over seven days at 10, 50 and 90%."""
    found = forecast(FIRST_HOUR, series, random.Random(seed), replace(ForecastRules(), **more))
    return found.low[6], found.mid[6], found.high[6]


@pytest.mark.parametrize("alpha,beta,damping", [(0.3, 0.05, 0.98), (0.1, 0.01, 0.9), (0.6, 0.2, 0.95)])
def test_smoothing_equals_statsmodels(alpha, beta, damping):
    rng = random.Random(2)
    days = [100 + 2 * d + rng.gauss(0, 8) for d in range(40)]
    oracle = ETSModel(
        numpy.array(days),
        error="add",
        trend="add",
        damped_trend=True,
        initialization_method="known",
        initial_level=100.0,
        initial_trend=0.0,
    )
    reference = oracle.smooth([alpha, beta, damping])
    smoothed = smooth(days, 100.0, 0.0, [1.0] * 7, alpha, beta, damping)
    assert numpy.allclose(smoothed.fitted, reference.fittedvalues, rtol=1e-9)
    assert numpy.allclose(module.predict(smoothed, 40, 9, damping), reference.forecast(9), rtol=1e-9)


@pytest.mark.parametrize("seed", range(4))
def test_forecasts_are_close_to_statsmodels(seed):
    series = hours(42, seed)
    days = [sum(series[d * DAY : (d + 1) * DAY]) for d in range(42)]
    reference = sum(
        ExponentialSmoothing(days, trend="add", damped_trend=True, seasonal="mul", seasonal_periods=7)
        .fit()
        .forecast(7)
    )
    truth = sum(hours(49, seed)[-7 * DAY :])
    mid = week(series)[1]
    assert abs(mid / reference - 1) < 0.1 and abs(mid / truth - 1) < 0.1
    assert numpy.allclose(seasons(days), numpy.array(WEEK) / numpy.mean(WEEK), rtol=0.12)


def check_gaps() -> None:
    """A third of the hours missing moves the forecast little."""
    series, rng = hours(35), random.Random(3)
    gaps = {h for start in rng.sample(range(len(series) - 20), 14) for h in range(start, start + 20)}
    mid = week([None if h in gaps else v for h, v in enumerate(series)])[1]
    assert len(gaps) > 200 and abs(mid / week(series)[1] - 1) < 0.1


def test_missing_hours_are_skipped_and_not_zero(monkeypatch):
    check_gaps()
    real = module.forecast
    monkeypatch.setattr(module, "forecast", None)
    monkeypatch.setitem(
        globals(),
        "forecast",
        lambda first, series, rng, rules: real(first, [v or 0.0 for v in series], rng, rules),
    )
    with pytest.raises(AssertionError):
        check_gaps()


def test_level_shift_is_found_and_burst_is_ignored():
    flat = [100.0 + n % 3 for n in range(30)]
    assert last_change(flat, 3) == 0 == last_change([v * 2 if n == 14 else v for n, v in enumerate(flat)], 3)
    assert last_change([v * 2 if n >= 14 else v for n, v in enumerate(flat)], 3) == 14
    assert last_change([v * 2 if 9 <= n < 20 else v for n, v in enumerate(flat)], 3) == 20
    assert last_change([100.0 + 3 * n for n in range(40)], 3) == 0  # steady growth is no change point
    after = hours(30, level=lambda d: 1.0 if d < 24 else 2.5)
    assert abs(week(after)[1] / sum(hours(37, level=lambda d: 2.5)[-7 * DAY :]) - 1) < 0.2


def test_a_forecast_is_a_function_of_its_series_and_seed():
    series = hours(21)
    late = [None if h > len(series) - 30 and h % 2 else v for h, v in enumerate(series)]
    assert week(series) == week(list(series)) != week(late)
    assert week([v if v is not None else series[h] for h, v in enumerate(late)]) == week(series)
    found = forecast(FIRST_HOUR, series, random.Random(1))
    for lines in zip(found.low, found.mid, found.high, strict=True):
        assert 0 <= lines[0] <= lines[1] <= lines[2]
    assert list(found.mid) == sorted(found.mid) and abs(sum(found.profile) - 1) < 1e-9
    assert forecast(0, [1.0] * 50, random.Random(1)) is None
    for history in ([0.0] * 200, [None] * 200, [1e15, 0.0] * 100, [0.0] * 190 + [5.0] * 10):
        found = forecast(0, history, random.Random(1))
        assert found is None or all(math.isfinite(v) for v in (*found.low, *found.high, *found.peak))


def test_forecast_beats_both_baselines_on_synthetic_histories():
    names = ["linear growth", "gaps", "late counts", "stalls", "weekdays only", "bursts"]
    assert len(HISTORIES) >= 12
    rows = [measure_errors(name, 1, ForecastRules())[HORIZONS[0]] for name in names]
    ours, last, line = (sum(sum(row[what]) for row in rows) for what in ("forecast", "last value", "line"))
    inside = sum(sum(row["inside"]) for row in rows) / sum(len(row["inside"]) for row in rows)
    assert ours < 0.8 * last and ours < 0.9 * line and inside >= 0.8


# ---- schedule -------------------------------------------------------------------------------------------

RULES = ScheduleRules(1000.0, lead=10 * DAY, notice=2, margin=DAY, cancel_checks=3)


def outlook(hour: int, held: float, daily: float) -> Outlook:
    """A group of `held` bytes that grows by `daily` bytes; its quietest hours start at 3."""
    high = tuple(daily * (d + 1) for d in range(14))
    profile = tuple(0.01 if h in (3, 4) else 0.98 / 22 for h in range(DAY))
    return Outlook(7, hour - 1, held, Forecast(hour - 1, high, high, high, high, profile, None), None)


def test_a_split_is_planned_into_quiet_hours_before_the_limit():
    scheduler, now = Scheduler(RULES), 100 * DAY + 12
    scheduler.update_outlook(outlook(now, 500.0, 30.0), {})
    assert scheduler.plan(7, 1, now) is None  # limit over 16 days away
    scheduler.update_outlook(outlook(now, 700.0, 50.0), {})
    plan = scheduler.plan(7, 1, now)
    assert plan.parts == 2 and plan.window_start == 101 * DAY + 3 and plan.limit_hour == now - 1 + 6 * DAY
    assert scheduler.plan(7, 2, now) is None and scheduler.plan(8, 1, now) is None
    assert scheduler.plan(7, 1, now + 3 * DAY) is None  # outdated outlook
    scheduler.update_outlook(outlook(now, 1200.0, 50.0), {})
    assert scheduler.plan(7, 1, now).window_start == now + 2  # no time for a quieter window
    assert quietest_hour([1.0] * DAY, 5, 9, 2) == 5
    busy = replace(outlook(now, 0.0, 0.0), work=outlook(now, 0.0, 50.0).growth)
    assert limit_hour(busy, 1, replace(RULES, work=200.0)) == now - 1 + 3 * DAY
    assert limit_hour(busy, 1, RULES) is None


def test_plans_are_not_made_and_cancelled_in_turn():
    scheduler, now = Scheduler(RULES), 100 * DAY
    split = Split("s", 7, 1, 2, Step.AGREED, now + 3, now + 9 * DAY)
    for n in range(40):  # the forecast alternates around the lead time
        scheduler.update_outlook(outlook(now + n, 700.0, 33.0 if n % 2 else 26.0), {"s": split})
        assert scheduler.drop_reason(split) is None
    for n in range(3):
        assert scheduler.drop_reason(split) is None
        scheduler.update_outlook(outlook(now + 40 + n, 400.0, 5.0), {"s": split})
    assert "below" in scheduler.drop_reason(split)
    late = Split("t", 7, 1, 2, Step.AGREED, now + 6 * DAY, now + 9 * DAY)
    scheduler.update_outlook(outlook(now, 900.0, 100.0), {"t": late})
    assert "before its window" in scheduler.drop_reason(late)
