"""A real front end on a machine whose wall clock is stepped: all spans of time stay spans of real time."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from frontend import WITHIN, FrontEnd
from test_release import INFO

from aspenrill.net.conn import Connection
from standins.clients import Reply, ThriftClient
from standins.scene import play
from standins.steppedclock import step_to
from standins.world import Act, HttpEngine

WINDOW = 1.0  # seconds in which engines know a repeat of a keyed request
SLACK = 0.05  # that the protocol adds to each time limit
BAD_PLAN_AT = 1.25 * WINDOW  # age at which a query tells that it gets nowhere: a repeat is too late by then
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
WORK, START, COLD, MULTIPLE, FALL = 0.05, 0.31, 12.0, 2.5, 1.5  # of a request; of a cold engine
CORES, CLIENTS = 2, 12  # of an engine; each of them asks again as soon as it has its answer
COLD_SETTINGS = SETTINGS | {"classes": INFO["classes"][:1], "family_info": {"cores_by_kind": [CORES]}}


class Turning(HttpEngine):
    """Tells good progress of a long query up to an age, and from then on that it will take for ever."""

    turns_at = BAD_PLAN_AT

    def news(self, conn: Connection, ident: str) -> None:
        statement, began, act = self.queries.get(ident, ("", 0.0, Act()))
        if statement != "long":
            return super().news(conn, ident)
        self.hub.sleep(0.05)
        age = time.monotonic() - began
        if ident not in self.queries:
            return self.say(conn, 500)
        if age >= act.after:
            return super().news(conn, ident)
        return self.say(conn, 202, {"X-Remark": "frac", "X-Num": "0.99" if age < self.turns_at else "0.01"})


class Stepped(FrontEnd):
    """Under a wall clock that can be stepped."""

    def __init__(self, folder: Path) -> None:
        self.offset = folder / "offset"
        super().__init__(folder, ("-m", "standins.steppedclock", str(self.offset)), Turning)
        self.step(0.0)

    def step(self, seconds: float) -> None:
        """The process's wall clock is off by so much from now on."""
        step_to(self.offset, seconds)

    def act(self, act: Act, turns_at: float = BAD_PLAN_AT) -> None:
        """What engines do from now on."""
        for engine in self.engines:
            engine.act, engine.turns_at = lambda statement: act, turns_at


@pytest.fixture
def stepped(tmp_path: Path) -> Iterator[Stepped]:
    made = Stepped(tmp_path)
    yield made
    made.stop()


def one_long_request(stepped: Stepped, by: float, turns_at: float) -> tuple[Reply, list[float]]:
    """Learn that queries are short; then one that turns bad, with a step of the clock once it has begun."""
    replies: list[Reply] = []

    def scene() -> None:
        client = stepped.client("booking")
        stepped.act(Act())
        for number in range(10):
            assert client.ask(f"short {number}", WITHIN).kind == "served"
        stepped.act(Act(after=3 * WINDOW), turns_at)
        client.send("long")
        while not stepped.begins("long"):
            stepped.hub.sleep(0.01)
        stepped.step(by)
        replies.append(client.read(WITHIN))

    stepped.start(SETTINGS)
    play(stepped.hub, scene)
    return replies[0], stepped.begins("long")


@pytest.mark.parametrize("by", STEPS)
def test_a_keyed_request_is_not_repeated_behind_its_window(stepped, by):
    reply, begins = one_long_request(stepped, by, BAD_PLAN_AT)
    assert begins[-1] - begins[0] <= WINDOW + SLACK, (begins, stepped.log())
    assert reply.kind == "served", stepped.log()


@pytest.mark.parametrize("by", STEPS)
def test_a_keyed_request_is_repeated_within_its_window(stepped, by):
    reply, begins = one_long_request(stepped, by, 0.4 * WINDOW)
    assert len(begins) == 2 and begins[1] - begins[0] <= WINDOW + SLACK, (begins, stepped.log())
    assert reply.kind == "served", stepped.log()


@pytest.mark.parametrize("by", [0.0, -3600.0, 3600.0])
def test_a_request_that_is_held_keeps_its_time(stepped, by):
    def scene() -> None:
        client = stepped.client("booking")
        stepped.act(Act())
        for number in range(10):
            assert client.ask(f"short {number}", WITHIN).kind == "served"
        stepped.act(Act(after=1.0))
        for statement in ("blocks", "blocks", "held"):  # one at each engine fills it
            client.send(statement)
        while len(stepped.begins("blocks")) < 2:
            stepped.hub.sleep(0.01)
        stepped.step(by)
        replies.extend(client.read(WITHIN).kind for _ in range(3))

    replies: list[str] = []
    stepped.start(SETTINGS | {"family_info": {"cores_by_kind": [1]}})
    play(stepped.hub, scene)
    assert replies == ["served"] * 3, stepped.log()
    assert stepped.begins("held")[0] > stepped.begins("blocks")[0] + 0.9  # it was held


def crowd(stepped: Stepped, seconds: float) -> None:
    """Many requests at once, for so long."""
    until, left = time.monotonic() + seconds, [CLIENTS]

    def ask(client: ThriftClient, me: int) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            client.ask(f"crowd {me} {number}", WITHIN)
        left[0] -= 1

    for me in range(CLIENTS):
        stepped.hub.spawn(ask, stepped.client("lookup"), me)
    while left[0]:
        stepped.hub.sleep(0.05)


def most_allowed(age: float) -> float:
    """Requests that a cold engine of that age bears within FALL seconds, with the rule's margin."""
    allowed = MULTIPLE * (START + (1 - START) * age / COLD) * FALL * CORES / WORK
    return allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)


def assert_borne(engine: HttpEngine, born: float) -> None:
    ages = [at - born for at, _ in engine.began]
    crowds = [(sum(end - FALL < age <= end for age in ages), most_allowed(end)) for end in ages]
    assert all(came <= most for came, most in crowds), crowds


@pytest.mark.parametrize("at_start", [False, True], ids=["told later", "known at the start"])
@pytest.mark.parametrize("by", [0.0, -3600.0, 3600.0])
def test_a_cold_engine_gets_what_it_bears(stepped, by, at_start):
    warm, cold = stepped.engines

    def scene() -> None:
        stepped.client("lookup")  # it is up
        if not at_start:
            crowd(stepped, 0.5)
            stepped.step(by)
            stepped.tell(cold, round(time.time() * 1000))
            born.append(time.monotonic())
        crowd(stepped, 2.5)

    stepped.act(Act(after=WORK))
    born: list[float] = []
    if at_start:
        stepped.step(by)
        born.append(time.monotonic())
    stepped.start(COLD_SETTINGS, (0, round(time.time() * 1000) if at_start else None))
    play(stepped.hub, scene)
    assert_borne(cold, born[0])
    assert cold.began and len(warm.began) > len(cold.began)
