"""A day drawn from a seed: who takes part, what goes wrong, and when."""

from __future__ import annotations

import random
import signal
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

from ..slowlink import Rough

KILL_AFTER, LONGEST = (
    0.7,
    3.0,
)  # seconds behind the longest deadline, LONGEST at most, from SIGTERM to SIGKILL
LEAST_DEADLINE = 0.3  # seconds
LEAST_CROSSINGS = 10  # of links to engines by their usual delay that fit in the shortest deadline
RESTART_LATEST = 1.0  # seconds into the day
CLASS_NAMES = ("lookup", "booking", "report", "once")
EFFECTS = ("repeatable", "by_key", "repeatable", "once")


class Kind(Enum):
    """A kind of trouble. Shutdowns by series of signals are in each day."""

    LINKS = "links"  # between clients and front ends: pieces, delays, standing still
    BREAKS = "breaks"  # resets and half-closes there
    CROWD = "crowd"  # idle, mute and half-spoken connections that fill the descriptors
    BAD_CLIENTS = "bad-clients"
    STOPS = "stops"  # SIGSTOP and SIGCONT
    RESTARTS = "restarts"  # one front end is restarted in the middle
    ENGINES = "engines"  # they hang, fail, reset, answer garbage
    ENGINE_LINKS = "engine-links"
    LISTS = "lists"  # engines drain, go and come
    DISCOVERY = "discovery"  # late, or down
    CLOCKS = "clocks"  # wall clocks are stepped
    CALLS = "calls"  # system calls fail as documented


@dataclass(frozen=True)
class SignalAt:
    """A signal to a front end, seconds from the begin of the day. Those of one shutdown are meant for one
    process, also where another has taken its place by then. `stopped`: how long a SIGSTOP lasts."""

    at: float
    front: int
    number: signal.Signals
    stopped: float = 0.0
    shutdown: int = 0  # number of the shutdown that it belongs to; 0: none


@dataclass(frozen=True)
class ClientPlan:
    """One client with a connection at a time to one front end."""

    front: int
    rate: float  # requests a second
    there: Rough | None  # its link; None: straight
    back: Rough | None


@dataclass(frozen=True)
class DayPlan:
    """All that is decided before a day begins."""

    seed: int
    kinds: frozenset[Kind]
    seconds: float  # until the shutdown of all begins
    deadlines: tuple[float, ...]  # by class, in seconds
    windows: tuple[float, ...]  # in which engines know a key
    fronts: int
    engines: int
    sockets: int
    clients: tuple[ClientPlan, ...]
    crowd: int  # connections that say nothing, little, or half a message; for each front end
    bad_clients: int
    signals: tuple[SignalAt, ...]
    trouble: float  # share of queries at some engines that end badly
    engine_link: Rough | None
    discovery_outages: tuple[tuple[float, float], ...]
    list_changes: tuple[tuple[float, int], ...]  # when, and which engine drains and is replaced
    clock_steps: tuple[tuple[float, int, float], ...]  # when, at which front end, to what offset
    call_failures: float  # share of system calls

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        return min(max(self.deadlines), LONGEST) + KILL_AFTER


def _rough(rng: random.Random, breaks: bool) -> Rough:
    return Rough(
        pieces=rng.choice((0.1, 0.4)),
        delay=rng.choice((0.005, 0.03, 0.1)),
        stall=rng.choice((0.0, 0.01, 0.03)),
        stall_most=rng.choice((1.0, 2.5, 4.0)),
        end=0.01 if breaks else 0.0,
        first_stall=rng.choice((0.0, 0.2)),
    )


def _shutdown(rng: random.Random, number: int, front: int, at: float, kill_after: float) -> list[SignalAt]:
    """SIGTERM and what may come around it: more of it, SIGHUP, a short stop."""
    found = [SignalAt(at, front, signal.SIGTERM, shutdown=number)]
    for _ in range(rng.choice((0, 1, 1, 3))):
        which = rng.choice((signal.SIGHUP, signal.SIGTERM))
        least = -0.3 if which is signal.SIGHUP else 0.0
        later = at + rng.uniform(least, kill_after - 0.1)
        found.append(SignalAt(later, front, which, shutdown=number))
    if rng.random() < 0.2:
        begin, stopped = at + rng.uniform(-0.1, 0.5), rng.uniform(0.05, 0.3)
        found.append(SignalAt(begin, front, signal.SIGSTOP, stopped, number))
    return found


def draw(seed: int, only: Collection[Kind] = ()) -> DayPlan:
    """The day of a seed. `only`: these kinds of trouble and no others."""

    def stream(concern: str) -> random.Random:
        return random.Random(f"{seed}/{concern}")

    rng = stream("kinds")
    odds = {Kind.LINKS: 0.8, Kind.BREAKS: 0.25, Kind.CALLS: 0.25, Kind.CROWD: 0.35}
    drawn = {kind for kind in Kind if rng.random() < odds.get(kind, 0.4)}
    kinds = frozenset(only) if only else frozenset(drawn)

    rng = stream("size")
    seconds, fronts, engines = rng.uniform(5.0, 7.0), rng.randint(2, 3), rng.randint(3, 5)
    scale = rng.choice((0.25, 1.0, 1.0, 4.0))
    deadlines = tuple(max(LEAST_DEADLINE, scale * rng.uniform(0.8, 2.0)) for _ in CLASS_NAMES)
    windows = tuple(rng.uniform(0.8, 3.0) * deadline for deadline in deadlines)

    rng = stream("clients")
    clients = []
    for number in range(8 * fronts):
        slow = Kind.LINKS in kinds and rng.random() < 0.6
        clients.append(
            ClientPlan(
                number % fronts,
                rng.choice((0.4, 1.5, 5.0, 15.0)),
                _rough(rng, Kind.BREAKS in kinds) if slow else None,
                _rough(rng, False) if slow and rng.random() < 0.4 else None,
            )
        )

    rng, signals = stream("signals"), []
    kill_after = min(max(deadlines), LONGEST) + KILL_AFTER
    for front in range(fronts):
        signals += _shutdown(rng, front + 1, front, seconds + rng.uniform(0.0, 0.5), kill_after)
        if Kind.STOPS in kinds:
            restarted = Kind.RESTARTS in kinds and front == 0
            least = RESTART_LATEST + kill_after if restarted else 0.5  # a stop leaves a shutdown no time
            for _ in range(rng.randint(1, 2)):
                at, stopped = rng.uniform(0.5, seconds - 2.5), rng.uniform(0.2, 1.8)
                if at > least:
                    signals.append(SignalAt(at, front, signal.SIGSTOP, stopped))
    if Kind.RESTARTS in kinds:
        signals += _shutdown(rng, fronts + 1, 0, rng.uniform(0.5, RESTART_LATEST), kill_after)

    rng = stream("engines")
    trouble = rng.choice((0.1, 0.5)) if Kind.ENGINES in kinds else 0.0
    engine_link = None
    if Kind.ENGINE_LINKS in kinds:
        engine_link = _rough(rng, True)
        most = (
            min(deadlines) / LEAST_CROSSINGS
        )  # else hardly a request can be served, and the day proves little
        engine_link = replace(engine_link, delay=min(engine_link.delay, most))

    rng = stream("lists")
    changes = [(rng.uniform(0.5, seconds), at) for at in range(engines - 2)] if Kind.LISTS in kinds else []
    outages = []
    if Kind.DISCOVERY in kinds:
        begin = rng.uniform(0.5, seconds)
        outages.append((begin, begin + rng.uniform(0.5, 3.0)))

    rng, steps = stream("clocks"), []
    if Kind.CLOCKS in kinds:
        for front in range(fronts):
            steps.append((rng.uniform(0.5, seconds), front, rng.choice((-3600.0, -2.0, 0.5, 30.0, 3600.0))))

    rng = stream("crowd")
    return DayPlan(
        seed=seed,
        kinds=kinds,
        seconds=seconds,
        deadlines=deadlines,
        windows=windows,
        fronts=fronts,
        engines=engines,
        sockets=96 if Kind.CROWD in kinds else 256,
        clients=tuple(clients),
        crowd=rng.randint(40, 160) if Kind.CROWD in kinds else 0,
        bad_clients=rng.randint(2, 6) if Kind.BAD_CLIENTS in kinds else 0,
        signals=tuple(sorted(signals, key=lambda each: each.at)),
        trouble=trouble,
        engine_link=engine_link,
        discovery_outages=tuple(outages),
        list_changes=tuple(changes),
        clock_steps=tuple(steps),
        call_failures=stream("calls").choice((0.01, 0.03)) if Kind.CALLS in kinds else 0.0,
    )
