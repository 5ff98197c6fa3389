"""Each process's load report, published every 5 s or after a change, and the reports of the others."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..interface import MAX_PEERS, MAX_VALUE
from .wire import Amounts

RATE_WINDOW = 2.0  # seconds, time constant of measured rates
MIN_REPORT_INTERVAL = 0.5  # seconds
MAX_REPORT_INTERVAL = 5.0  # seconds
REPORT_CHANGE = 0.05  # relative change of a figure after which a report is sent early
MAX_CLASSES = 12  # in one report
MAX_TENANTS = 12  # in one report
MAX_REPORT_AGE = 15.0  # seconds after which a report is ignored

Milli = Annotated[int, Meta(ge=0, le=10**12)]
Name = Annotated[int, Meta(ge=0, le=2**31)]


class DemandReport(Struct, array_like=True, frozen=True):
    """One process's load. Work is in thousandths of core-seconds a second, worth in thousandths per
    core-second."""

    classes: Annotated[tuple[tuple[Name, Milli, Milli, Milli], ...], Meta(max_length=MAX_CLASSES)] = ()
    tenants: Annotated[tuple[tuple[Name, Milli, Milli], ...], Meta(max_length=MAX_TENANTS)] = ()
    threads: Milli = 0  # in use, in thousandths
    slowdown: Annotated[int, Meta(ge=0, le=10**9)] = 1000  # in thousandths
    entry_gap_level: Annotated[int, Meta(ge=0, le=100)] = 0
    waiting: Milli = 0  # highest worth per work in the queue
    first_attempts: Milli = 0  # first attempts a second, in thousandths
    lendable: Amounts = ()  # share of the total capacity that it offers to lend, by kind

    def demand(self) -> list[tuple[float, float]]:
        """(worth per work, work a second) of each class."""
        return [(worth / 1e3, requested / 1e3) for _, worth, requested, _ in self.classes]


_decoder = msgspec.msgpack.Decoder(DemandReport)
_encoder = msgspec.msgpack.Encoder()


def read(value: bytes) -> DemandReport | None:
    """Decode an entry; None if it is malformed."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        return None


class Rate:
    """Exponentially decaying rate: amount a second over about the last `RATE_WINDOW` seconds."""

    __slots__ = ("value", "updated_at")

    def __init__(self) -> None:
        self.value, self.updated_at = 0.0, -math.inf

    def add(self, now: float, amount: float) -> None:
        """Count an amount."""
        self.value = self.current(now) + amount / RATE_WINDOW
        self.updated_at = max(now, self.updated_at)

    def current(self, now: float) -> float:
        """The decayed rate."""
        return self.value * math.exp(-max(0.0, now - self.updated_at) / RATE_WINDOW) if self.value else 0.0


class DemandMeter:
    """Measures this process's own load from the owner's calls."""

    def __init__(self) -> None:
        self.requested: dict[int, Rate] = {}  # work by class
        self.refused: dict[int, Rate] = {}
        self.worth: dict[int, Rate] = {}
        self.tenants: dict[int, tuple[Rate, Rate]] = {}
        self.first_attempts = Rate()
        self.threads, self.slowdown, self.entry_gap_level, self.waiting = 0.0, 1.0, 0, 0.0

    def on_request(self, now: float, cls: int, tenant: int, work: float, worth: float) -> None:
        """Count an arriving request: its expected work in core-seconds and its total worth."""
        if cls not in self.requested and len(self.requested) >= MAX_CLASSES:
            cls = min(self.requested)
        self.requested.setdefault(cls, Rate()).add(now, work)
        self.worth.setdefault(cls, Rate()).add(now, worth)
        self._tenant(now, tenant)[0].add(now, work)
        self.first_attempts.add(now, 1.0)

    def on_refused(self, now: float, cls: int, tenant: int, work: float) -> None:
        """Count a refused request."""
        if cls not in self.requested:
            return
        self.refused.setdefault(cls, Rate()).add(now, work)
        self._tenant(now, tenant)[1].add(now, work)

    def report(self, now: float, lendable: tuple[float, ...]) -> DemandReport:
        """The report to publish, with the busiest tenants."""
        classes = []
        for cls in sorted(self.requested):
            work, worth = self.requested[cls].current(now), self.worth[cls].current(now)
            refused = self.refused[cls].current(now) if cls in self.refused else 0.0
            if work > 1e-3:
                classes.append((cls, milli(worth / work), milli(work), milli(refused)))
        busiest = sorted(self.tenants, key=lambda t: -self.tenants[t][0].current(now))[:MAX_TENANTS]
        tenants = tuple(
            (t, milli(self.tenants[t][0].current(now)), milli(self.tenants[t][1].current(now)))
            for t in sorted(busiest)
        )
        return DemandReport(
            tuple(classes),
            tenants,
            milli(self.threads),
            milli(self.slowdown, 10**9),
            max(0, min(100, self.entry_gap_level)),
            milli(self.waiting),
            milli(self.first_attempts.current(now)),
            lendable,
        )

    def _tenant(self, now: float, tenant: int) -> tuple[Rate, Rate]:
        if tenant not in self.tenants and len(self.tenants) >= 4 * MAX_TENANTS:
            del self.tenants[min(self.tenants, key=lambda t: self.tenants[t][0].current(now))]
        return self.tenants.setdefault(tenant, (Rate(), Rate()))


def milli(value: float, limit: int = 10**12) -> int:
    """Convert to thousandths within 0 and `limit`; a value that is not finite becomes 0."""
    return max(0, min(limit, round(value * 1000))) if math.isfinite(value) else 0


def pack(report: DemandReport) -> bytes:
    """Encode a report, without the last tenants if it would exceed the size limit of an entry."""
    while len(value := _encoder.encode(report)) > MAX_VALUE and report.tenants:
        report = msgspec.structs.replace(report, tenants=report.tenants[:-1])
    return value


def has_changed(old: DemandReport | None, new: DemandReport) -> bool:
    """Whether a figure has changed enough to send the report early."""
    if (
        old is None
        or [c[0] for c in old.classes] != [c[0] for c in new.classes]
        or old.entry_gap_level != new.entry_gap_level
    ):
        return True
    before = [x for c in old.classes for x in c[1:]] + [
        old.threads,
        old.slowdown,
        old.waiting,
        old.first_attempts,
    ]
    after = [x for c in new.classes for x in c[1:]] + [
        new.threads,
        new.slowdown,
        new.waiting,
        new.first_attempts,
    ]
    before += [milli(1e3 * x) for x in old.lendable]
    after += [milli(1e3 * x) for x in new.lendable]
    return any(abs(a - b) > REPORT_CHANGE * max(a, b) + 20 for a, b in zip(before, after, strict=False))


class DemandReports:
    """The reports of the other processes with their time of receipt."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[float, DemandReport]] = {}

    def on_entry(self, now: float, origin: str, value: bytes) -> None:
        """Process an entry of another process. An empty one removes its report, a malformed one is
        ignored."""
        if not value:
            self.reports.pop(origin, None)
        elif (report := read(value)) is not None and (
            origin in self.reports or len(self.reports) < MAX_PEERS
        ):
            self.reports[origin] = (now, report)

    def recent(self, now: float, live: Iterable[str]) -> dict[str, DemandReport]:
        """The recent report of each live process; an empty report where there is none."""
        found = {}
        for name in live:
            received = self.reports.get(name)
            found[name] = (
                received[1]
                if received is not None and now <= received[0] + MAX_REPORT_AGE
                else DemandReport()
            )
        return found
