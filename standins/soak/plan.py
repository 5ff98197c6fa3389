"""The plan of a soak run, drawn from its seed: participants, faults and their times."""

from __future__ import annotations

import random
import signal
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

from ..slowlink import RandomShaping

KILL_MARGIN = 0.7  # seconds from SIGTERM to SIGKILL beyond the longest deadline
MAX_KILL_DEADLINE = 3.0  # seconds; a longer deadline does not delay SIGKILL further
MIN_DEADLINE = 0.3  # seconds
MIN_LINK_CROSSINGS = 10  # one-way trips to an engine that fit into the shortest deadline
ROUGH_CLIENTS_PER_FRONT = 12
SHORT_LENGTH_SHARE = 0.1  # of the pages of engines
LATEST_RESTART = 1.0  # seconds into the run
CLASS_NAMES = ("lookup", "booking", "report", "once")
EFFECTS = ("repeatable", "by_key", "repeatable", "once")


class FaultKind(Enum):
    """A kind of fault. Every run also has shutdowns with series of signals."""

    LINKS = "links"  # between clients and front ends: split writes, delays, stalls
    BREAKS = "breaks"  # resets and half-closes on those links
    CROWD = "crowd"  # idle connections, some with half a message, that use up the descriptors
    BAD_CLIENTS = "bad-clients"
    STOPS = "stops"  # SIGSTOP and SIGCONT
    RESTARTS = "restarts"  # one front end is restarted in the middle
    ENGINES = "engines"  # they hang, fail, reset or answer garbage
    ENGINE_LINKS = "engine-links"
    LISTS = "lists"  # engines drain, are removed and added
    DISCOVERY = "discovery"  # the bulletin is unavailable for a while
    CLOCKS = "clocks"  # wall clocks are stepped
    CALLS = "calls"  # system calls fail as documented
    SHORT_LENGTHS = "short-lengths"  # some pages of engines state a length that is too short
    ROUGH_CLIENTS = "rough-clients"  # they write in small pieces, stop half way, send much work


@dataclass(frozen=True)
class SignalAt:
    """A signal to a front end, `at` seconds into the run. The signals of one shutdown all go to the same
    process and are dropped once a restart has replaced it. `stopped`: duration of a SIGSTOP."""

    at: float
    front: int
    number: signal.Signals
    stopped: float = 0.0
    shutdown: int = 0  # number of the shutdown that it belongs to; 0: none


@dataclass(frozen=True)
class ClientPlan:
    """One client, which keeps one connection at a time to one front end."""

    front: int
    rate: float  # requests a second
    to_front: RandomShaping | None  # behaviour of its link; None: no delay
    to_client: RandomShaping | None


@dataclass(frozen=True)
class RunPlan:
    """Everything that is decided before a run begins."""

    seed: int
    kinds: frozenset[FaultKind]
    seconds: float  # until the shutdown of all begins
    deadlines: tuple[float, ...]  # by class, in seconds
    windows: tuple[float, ...]  # by class: seconds for which engines remember a key
    fronts: int
    engines: int
    sockets: int
    clients: tuple[ClientPlan, ...]
    crowd_per_front: int  # idle connections at each front end, some with half a message
    bad_clients_per_front: int
    rough_clients_per_front: int
    signals: tuple[SignalAt, ...]
    engine_fault_share: float  # share of queries at some engines that end badly
    short_length_share: float  # share of the pages of engines
    engine_link: RandomShaping | None
    discovery_outages: tuple[tuple[float, float], ...]
    list_changes: tuple[tuple[float, int], ...]  # time, and the engine that drains and is replaced
    clock_steps: tuple[tuple[float, int, float], ...]  # time, front end and new clock offset
    call_failures: float  # share of system calls

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        return min(max(self.deadlines), MAX_KILL_DEADLINE) + KILL_MARGIN


def _draw_link(rng: random.Random, breaks: bool) -> RandomShaping:
    return RandomShaping(
        split_odds=rng.choice((0.1, 0.4)),
        max_delay=rng.choice((0.005, 0.03, 0.1)),
        stall_odds=rng.choice((0.0, 0.01, 0.03)),
        max_stall=rng.choice((1.0, 2.5, 4.0)),
        break_odds=0.01 if breaks else 0.0,
        first_stall_odds=rng.choice((0.0, 0.2)),
    )


def _draw_shutdown(
    rng: random.Random, number: int, front: int, at: float, kill_after: float
) -> list[SignalAt]:
    """Draw one shutdown: SIGTERM, and around it perhaps further SIGTERMs, SIGHUPs and a short stop."""
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


def draw_plan(seed: int, only: Collection[FaultKind] = ()) -> RunPlan:
    """Draw the plan of a seed. `only`: these kinds of fault and no others."""

    def stream(concern: str) -> random.Random:
        return random.Random(f"{seed}/{concern}")

    rng = stream("kinds")
    odds = {FaultKind.LINKS: 0.8, FaultKind.BREAKS: 0.25, FaultKind.CALLS: 0.25, FaultKind.CROWD: 0.35}
    drawn = {kind for kind in FaultKind if rng.random() < odds.get(kind, 0.4)}
    kinds = frozenset(only) if only else frozenset(drawn)

    rng = stream("size")
    seconds, fronts, engines = rng.uniform(5.0, 7.0), rng.randint(2, 3), rng.randint(3, 5)
    scale = rng.choice((0.25, 1.0, 1.0, 4.0))
    deadlines = tuple(max(MIN_DEADLINE, scale * rng.uniform(0.8, 2.0)) for _ in CLASS_NAMES)
    windows = tuple(rng.uniform(0.8, 3.0) * deadline for deadline in deadlines)

    rng = stream("clients")
    clients = []
    for number in range(8 * fronts):
        slow = FaultKind.LINKS in kinds and rng.random() < 0.6
        clients.append(
            ClientPlan(
                number % fronts,
                rng.choice((0.4, 1.5, 5.0, 15.0)),
                _draw_link(rng, FaultKind.BREAKS in kinds) if slow else None,
                _draw_link(rng, False) if slow and rng.random() < 0.4 else None,
            )
        )

    rng, signals = stream("signals"), []
    kill_after = min(max(deadlines), MAX_KILL_DEADLINE) + KILL_MARGIN
    for front in range(fronts):
        signals += _draw_shutdown(rng, front + 1, front, seconds + rng.uniform(0.0, 0.5), kill_after)
        if FaultKind.STOPS in kinds:
            restarted = FaultKind.RESTARTS in kinds and front == 0
            # a front end that is stopped during its shutdown has no time left to finish it
            least = LATEST_RESTART + kill_after if restarted else 0.5
            for _ in range(rng.randint(1, 2)):
                at, stopped = rng.uniform(0.5, seconds - 2.5), rng.uniform(0.2, 1.8)
                if at > least:
                    signals.append(SignalAt(at, front, signal.SIGSTOP, stopped))
    if FaultKind.RESTARTS in kinds:
        signals += _draw_shutdown(rng, fronts + 1, 0, rng.uniform(0.5, LATEST_RESTART), kill_after)

    rng = stream("engines")
    engine_fault_share = rng.choice((0.1, 0.5)) if FaultKind.ENGINES in kinds else 0.0
    engine_link = None
    if FaultKind.ENGINE_LINKS in kinds:
        engine_link = _draw_link(rng, True)
        max_delay = (
            min(deadlines) / MIN_LINK_CROSSINGS
        )  # else hardly a request can be served, and the day proves little
        engine_link = replace(engine_link, max_delay=min(engine_link.max_delay, max_delay))

    rng = stream("lists")
    changes = (
        [(rng.uniform(0.5, seconds), at) for at in range(engines - 2)] if FaultKind.LISTS in kinds else []
    )
    outages = []
    if FaultKind.DISCOVERY in kinds:
        begin = rng.uniform(0.5, seconds)
        outages.append((begin, begin + rng.uniform(0.5, 3.0)))

    rng, steps = stream("clocks"), []
    if FaultKind.CLOCKS in kinds:
        for front in range(fronts):
            steps.append((rng.uniform(0.5, seconds), front, rng.choice((-3600.0, -2.0, 0.5, 30.0, 3600.0))))

    rng = stream("crowd")
    return RunPlan(
        seed=seed,
        kinds=kinds,
        seconds=seconds,
        deadlines=deadlines,
        windows=windows,
        fronts=fronts,
        engines=engines,
        sockets=96 if FaultKind.CROWD in kinds else 256,
        clients=tuple(clients),
        crowd_per_front=rng.randint(40, 160) if FaultKind.CROWD in kinds else 0,
        bad_clients_per_front=rng.randint(2, 6) if FaultKind.BAD_CLIENTS in kinds else 0,
        rough_clients_per_front=ROUGH_CLIENTS_PER_FRONT if FaultKind.ROUGH_CLIENTS in kinds else 0,
        signals=tuple(sorted(signals, key=lambda each: each.at)),
        engine_fault_share=engine_fault_share,
        short_length_share=SHORT_LENGTH_SHARE if FaultKind.SHORT_LENGTHS in kinds else 0.0,
        engine_link=engine_link,
        discovery_outages=tuple(outages),
        list_changes=tuple(changes),
        clock_steps=tuple(steps),
        call_failures=stream("calls").choice((0.01, 0.03)) if FaultKind.CALLS in kinds else 0.0,
    )
