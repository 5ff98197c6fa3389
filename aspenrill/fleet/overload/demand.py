"""What each process tells of its load, every half second or on a jump, and what the others make of it."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..interface import MOST_PEERS, MOST_VALUE
from .wire import Amounts

MEMORY = 2.0  # seconds over which rates are measured
TELL, TELL_AT_LEAST, JUMP = 0.5, 5.0, 0.05  # seconds; the share by which a figure must have moved
MOST_CLASSES, MOST_TENANTS = 12, 12
OLD = 15.0  # seconds after which what a process told counts no more

Milli = Annotated[int, Meta(ge=0, le=10**12)]
Name = Annotated[int, Meta(ge=0, le=2**31)]


class Told(Struct, array_like=True, frozen=True):
    """One process's load. Work is in thousandths of core-seconds a second, worth in thousandths per
    core-second."""

    classes: Annotated[tuple[tuple[Name, Milli, Milli, Milli], ...], Meta(max_length=MOST_CLASSES)] = ()
    tenants: Annotated[tuple[tuple[Name, Milli, Milli], ...], Meta(max_length=MOST_TENANTS)] = ()
    threads: Milli = 0  # out now, in thousandths
    slowdown: Annotated[int, Meta(ge=0, le=10**9)] = 1000  # in thousandths
    rung: Annotated[int, Meta(ge=0, le=100)] = 0
    waiting: Milli = 0  # worth per work of the most worthy that waits
    firsts: Milli = 0  # first tries a second, in thousandths
    spare: Amounts = ()  # share of the whole, by kind, that it would lend

    def demand(self) -> list[tuple[float, float]]:
        """(worth per work, work a second) of each class."""
        return [(worth / 1e3, asked / 1e3) for _, worth, asked, _ in self.classes]


_decoder = msgspec.msgpack.Decoder(Told)
_encoder = msgspec.msgpack.Encoder()


def read(value: bytes) -> Told | None:
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        return None


class Rate:
    """Amount a second, over the last `MEMORY` seconds with older ones fading."""

    __slots__ = ("value", "at")

    def __init__(self) -> None:
        self.value, self.at = 0.0, -math.inf

    def add(self, now: float, amount: float) -> None:
        self.value = self.now(now) + amount / MEMORY
        self.at = max(now, self.at)

    def now(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / MEMORY) if self.value else 0.0


class Meter:
    """This process's own load, as the decision module's side feeds it."""

    def __init__(self) -> None:
        self.asked: dict[int, Rate] = {}  # by class: work
        self.refused: dict[int, Rate] = {}
        self.worth: dict[int, Rate] = {}
        self.tenants: dict[int, tuple[Rate, Rate]] = {}
        self.firsts = Rate()
        self.threads, self.slowdown, self.rung, self.waiting = 0.0, 1.0, 0, 0.0

    def ask(self, now: float, cls: int, tenant: int, work: float, worth: float) -> None:
        """A request came: its expected work in core-seconds, and what it is worth in all."""
        if cls not in self.asked and len(self.asked) >= MOST_CLASSES:
            cls = min(self.asked)
        self.asked.setdefault(cls, Rate()).add(now, work)
        self.worth.setdefault(cls, Rate()).add(now, worth)
        self._tenant(now, tenant)[0].add(now, work)
        self.firsts.add(now, 1.0)

    def refuse(self, now: float, cls: int, tenant: int, work: float) -> None:
        """One of them was refused."""
        if cls not in self.asked:
            return
        self.refused.setdefault(cls, Rate()).add(now, work)
        self._tenant(now, tenant)[1].add(now, work)

    def told(self, now: float, spare: tuple[float, ...]) -> Told:
        """What to tell; of tenants the busiest."""
        classes = []
        for cls in sorted(self.asked):
            work, worth = self.asked[cls].now(now), self.worth[cls].now(now)
            refused = self.refused[cls].now(now) if cls in self.refused else 0.0
            if work > 1e-3:
                classes.append((cls, milli(worth / work), milli(work), milli(refused)))
        busiest = sorted(self.tenants, key=lambda t: -self.tenants[t][0].now(now))[:MOST_TENANTS]
        tenants = tuple(
            (t, milli(self.tenants[t][0].now(now)), milli(self.tenants[t][1].now(now)))
            for t in sorted(busiest)
        )
        return Told(
            tuple(classes),
            tenants,
            milli(self.threads),
            milli(self.slowdown, 10**9),
            max(0, min(100, self.rung)),
            milli(self.waiting),
            milli(self.firsts.now(now)),
            spare,
        )

    def _tenant(self, now: float, tenant: int) -> tuple[Rate, Rate]:
        if tenant not in self.tenants and len(self.tenants) >= 4 * MOST_TENANTS:
            del self.tenants[min(self.tenants, key=lambda t: self.tenants[t][0].now(now))]
        return self.tenants.setdefault(tenant, (Rate(), Rate()))


def milli(value: float, most: int = 10**12) -> int:
    """In thousandths, within bounds; what is no number is 0."""
    return max(0, min(most, round(value * 1000))) if math.isfinite(value) else 0


def pack(told: Told) -> bytes:
    """At most MOST_VALUE bytes: tenants are left out first."""
    while len(value := _encoder.encode(told)) > MOST_VALUE and told.tenants:
        told = msgspec.structs.replace(told, tenants=told.tenants[:-1])
    return value


def moved(old: Told | None, new: Told) -> bool:
    """Whether a figure has moved enough to tell it before it is due."""
    if old is None or [c[0] for c in old.classes] != [c[0] for c in new.classes] or old.rung != new.rung:
        return True
    before = [x for c in old.classes for x in c[1:]] + [old.threads, old.slowdown, old.waiting, old.firsts]
    after = [x for c in new.classes for x in c[1:]] + [new.threads, new.slowdown, new.waiting, new.firsts]
    before += [milli(1e3 * x) for x in old.spare]
    after += [milli(1e3 * x) for x in new.spare]
    return any(abs(a - b) > JUMP * max(a, b) + 20 for a, b in zip(before, after, strict=False))


class Books:
    """What the others have told, and when this process heard it."""

    def __init__(self) -> None:
        self.told: dict[str, tuple[float, Told]] = {}

    def hear(self, now: float, origin: str, value: bytes) -> None:
        """A process's entry; empty: it tells no more. What is malformed changes nothing."""
        if not value:
            self.told.pop(origin, None)
        elif (told := read(value)) is not None and (origin in self.told or len(self.told) < MOST_PEERS):
            self.told[origin] = (now, told)

    def of(self, now: float, live: Iterable[str]) -> dict[str, Told]:
        """The latest of each that is there and not too long ago; of others nothing."""
        found = {}
        for name in live:
            heard = self.told.get(name)
            found[name] = heard[1] if heard is not None and now <= heard[0] + OLD else Told()
        return found
