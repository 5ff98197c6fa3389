"""A front-end process whose wall clock is stepped: all time limits stay in real time."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from frontend import MAX_WAIT_S, FrontEnd
from test_release import INFO

from aspenrill.net.conn import Connection
from standins.clients import Reply, ThriftClient
from standins.scenario import run_scenario
from standins.steppedclock import step_to
from standins.world import EngineBehaviour, HttpEngine

WINDOW = 1.0  # seconds in which engines recognize a repeated keyed request
SLACK = 0.05  # seconds that the protocol adds to each time limit
BAD_PLAN_AT = 1.25 * WINDOW  # age at which a query reports no progress: too late for a repeat
STEPS = [0.0, -2.0, -3600.0, 5.0, 3600.0]
SETTINGS = INFO | {
    "classes": [
        {
            "name": "booking",
            "effect": "by_key",
            "on_time_ns": 10**10,
            "give_up_ns": 2 * 10**10,
            "window_ns": int(WINDOW * 1e9),
        }
    ],
    "group_size": 1,
    "me": 0,
}
WORK = 0.05  # core seconds of a request
START = 0.31  # share of its capacity that an engine has at its start
COLD = 12.0  # seconds until it has all of it
MULTIPLE = 2.5  # of its capacity, the limit for work sent to a cold engine
FALL = 1.5  # seconds of the window of that limit
CORES = 2  # of an engine
CLIENTS = 12  # each sends its next request as soon as it has an answer
COLD_SETTINGS = SETTINGS | {"classes": INFO["classes"][:1], "family_info": {"cores_by_kind": [CORES]}}


class StallingEngine(HttpEngine):
    """Reports good progress of a long query up to an age, and hardly any from then on."""

    stalls_at = BAD_PLAN_AT

    def answer_poll(self, conn: Connection, ident: str) -> None:
        statement, began, behaviour = self.queries.get(ident, ("", 0.0, EngineBehaviour()))
        if statement != "long":
            return super().answer_poll(conn, ident)
        self.hub.sleep(0.05)
        age = time.monotonic() - began
        if ident not in self.queries:
            return self.respond(conn, 500)
        if age >= behaviour.after:
            return super().answer_poll(conn, ident)
        return self.respond(
            conn, 202, {"X-Remark": "frac", "X-Num": "0.99" if age < self.stalls_at else "0.01"}
        )


class SteppedFrontEnd(FrontEnd):
    """A front end whose wall clock can be stepped."""

    def __init__(self, folder: Path) -> None:
        self.offset = folder / "offset"
        super().__init__(folder, ("-m", "standins.steppedclock", str(self.offset)), StallingEngine)
        self.step(0.0)

    def step(self, seconds: float) -> None:
        """Sets the offset of the process's wall clock."""
        step_to(self.offset, seconds)

    def behaviour(self, behaviour: EngineBehaviour, stalls_at: float = BAD_PLAN_AT) -> None:
        """Sets what engines do from now on."""
        for engine in self.engines:
            engine.behaviour, engine.stalls_at = lambda statement: behaviour, stalls_at


@pytest.fixture
def stepped(tmp_path: Path) -> Iterator[SteppedFrontEnd]:
    made = SteppedFrontEnd(tmp_path)
    yield made
    made.stop()


def one_long_request(stepped: SteppedFrontEnd, by: float, stalls_at: float) -> tuple[Reply, list[float]]:
    """Teaches the front end that queries are short, then sends one that stalls and steps the clock."""
    replies: list[Reply] = []

    def scenario() -> None:
        client = stepped.client("booking")
        stepped.behaviour(EngineBehaviour())
        for number in range(10):
            assert client.request(f"short {number}", MAX_WAIT_S).kind == "served"
        stepped.behaviour(EngineBehaviour(after=3 * WINDOW), stalls_at)
        client.send("long")
        while not stepped.start_times("long"):
            stepped.hub.sleep(0.01)
        stepped.step(by)
        replies.append(client.read(MAX_WAIT_S))

    stepped.start(SETTINGS)
    run_scenario(stepped.hub, scenario)
    return replies[0], stepped.start_times("long")


@pytest.mark.parametrize("by", STEPS)
def test_a_keyed_request_is_not_repeated_after_its_window(stepped, by):
    reply, start_times = one_long_request(stepped, by, BAD_PLAN_AT)
    assert start_times[-1] - start_times[0] <= WINDOW + SLACK, (start_times, stepped.log())
    assert reply.kind == "served", stepped.log()


@pytest.mark.parametrize("by", STEPS)
def test_a_keyed_request_is_repeated_within_its_window(stepped, by):
    reply, start_times = one_long_request(stepped, by, 0.4 * WINDOW)
    assert len(start_times) == 2 and start_times[1] - start_times[0] <= WINDOW + SLACK, (
        start_times,
        stepped.log(),
    )
    assert reply.kind == "served", stepped.log()


@pytest.mark.parametrize("by", [0.0, -3600.0, 3600.0])
def test_a_queued_request_keeps_its_deadline(stepped, by):
    def scenario() -> None:
        client = stepped.client("booking")
        stepped.behaviour(EngineBehaviour())
        for number in range(10):
            assert client.request(f"short {number}", MAX_WAIT_S).kind == "served"
        stepped.behaviour(EngineBehaviour(after=1.0))
        for statement in ("blocks", "blocks", "queued"):  # one request fills an engine
            client.send(statement)
        while len(stepped.start_times("blocks")) < 2:
            stepped.hub.sleep(0.01)
        stepped.step(by)
        replies.extend(client.read(MAX_WAIT_S).kind for _ in range(3))

    replies: list[str] = []
    stepped.start(SETTINGS | {"family_info": {"cores_by_kind": [1]}})
    run_scenario(stepped.hub, scenario)
    assert replies == ["served"] * 3, stepped.log()
    assert stepped.start_times("queued")[0] > stepped.start_times("blocks")[0] + 0.9


def send_load(stepped: SteppedFrontEnd, seconds: float) -> None:
    """Sends many requests at once for `seconds`."""
    until, running = time.monotonic() + seconds, [CLIENTS]

    def send_requests(client: ThriftClient, me: int) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            client.request(f"load {me} {number}", MAX_WAIT_S)
        running[0] -= 1

    for me in range(CLIENTS):
        stepped.hub.spawn(send_requests, stepped.client("lookup"), me)
    while running[0]:
        stepped.hub.sleep(0.05)


def max_requests(age: float) -> float:
    """The limit of requests to a cold engine of that age within FALL seconds, with the rule's margin."""
    allowed = MULTIPLE * (START + (1 - START) * age / COLD) * FALL * CORES / WORK
    return allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)


def assert_within_limit(engine: HttpEngine, born: float) -> None:
    ages = [at - born for at, _ in engine.began]
    windows = [(sum(end - FALL < age <= end for age in ages), max_requests(end)) for end in ages]
    assert all(count <= limit for count, limit in windows), windows


@pytest.mark.parametrize("at_start", [False, True], ids=["reported later", "known at the start"])
@pytest.mark.parametrize("by", [0.0, -3600.0, 3600.0])
def test_a_cold_engine_is_not_overloaded(stepped, by, at_start):
    warm, cold = stepped.engines

    def scenario() -> None:
        stepped.client("lookup")  # it is up
        if not at_start:
            send_load(stepped, 0.5)
            stepped.step(by)
            stepped.announce(cold, round(time.time() * 1000))
            born.append(time.monotonic())
        send_load(stepped, 2.5)

    stepped.behaviour(EngineBehaviour(after=WORK))
    born: list[float] = []
    if at_start:
        stepped.step(by)
        born.append(time.monotonic())
    stepped.start(COLD_SETTINGS, (0, round(time.time() * 1000) if at_start else None))
    run_scenario(stepped.hub, scenario)
    assert_within_limit(cold, born[0])
    assert cold.began and len(warm.began) > len(cold.began)
