"""A request whose id comes again after its client has left: it never runs beside the earlier one."""

from __future__ import annotations

import time

import pytest

from aspenrill import api
from aspenrill.core import ending
from aspenrill.core.books import Attempt, ClientRequest, Peer
from aspenrill.core.ending import EndingAttempts, Verdict
from standins.clients import Reply
from standins.world import CLASSES, ROWS, SETTINGS, EngineBehaviour, World

ID = "ab" * 8
KEY = "cd" * 16
LEAVE = pytest.mark.parametrize("leave", ["close", "forget"])


def send(client, statement: str) -> None:
    client.send(statement, req=ID, opkey=KEY)


def start_and_leave(world: World, cls: str, leave: str):
    """Starts a request that takes long and leaves it; returns a client that may send the id again."""
    engine = world.engines[0]
    engine.behaviour = lambda _: EngineBehaviour(after=5.0)
    client = world.client(cls)
    send(client, "select 1")
    world.until(lambda: engine.began)
    engine.behaviour = lambda _: EngineBehaviour()
    if leave == "close":
        client.conn.close()
        return world.client(cls)
    client.cancel()
    return client


@LEAVE
def test_a_request_that_must_not_be_repeated_does_not_run_again_under_its_id(leave):
    # it was begun once more, though the first attempt had been begun: twice in 30 of 30 trials
    world = World("thrift", 1)

    def scene() -> None:
        client = start_and_leave(world, "once", leave)
        send(client, "select 1")
        assert client.read(10.0).kind == "failed"
        world.until(lambda: not world.node.owner.open)
        send(client, "select 1")  # the engine has been stopped by now
        assert client.read(10.0).kind == "failed"
        assert len(world.engines[0].statements) == 1
        assert client.request("select 2") == Reply("served", ROWS)  # under an id of its own

    world.run(scene)


@LEAVE
@pytest.mark.parametrize("cls", ["lookup", "booking"])
def test_one_that_may_be_repeated_waits_until_the_engine_has_stopped(leave, cls):
    # both were out at once, and the end of one was told to the decision module as that of the other
    world = World("thrift", 2)

    def scene() -> None:
        engine = world.engines[0]
        world.announce([world.member(world.engines[1], api.EngineState.GONE)])
        deleted = engine.deleted

        def delete_late(ident: str) -> None:
            world.hub.sleep(0.2)
            deleted(ident)

        engine.deleted = delete_late
        client = start_and_leave(world, cls, leave)
        send(client, "select 1")
        world.hub.sleep(0.05)
        world.announce([world.member(world.engines[1])])
        assert client.read(10.0) == Reply("served", ROWS)
        assert sum(len(each.statements) for each in world.engines) == 2
        assert engine.max_running == 1

    world.run(scene)


def test_one_that_is_held_and_left_too_is_never_sent():
    world = World("thrift", 1)

    def scene() -> None:
        client = start_and_leave(world, "lookup", "close")
        send(client, "select 1")
        client.conn.close()
        world.until(lambda: not world.node.owner.open)
        assert world.client().request("select 2") == Reply("served", ROWS)
        assert world.engines[0].statements == ["select 1", "select 2"]

    world.run(scene)


def attempt_of(request_id: str, cls: str) -> Attempt:
    call = ClientRequest(
        request_id, CLASSES.index(cls), 0, b"x", None, None, time.monotonic(), 5.0, lambda *_: None
    )
    return Attempt(call, Peer("e", ("127.0.0.1", 80), api.EngineState.LIVE), 0, call.deadline, 1)


@pytest.mark.parametrize(
    "cls, outcome, verdict",
    [
        ("once", api.Outcome.CANCELLED, Verdict.MAY_HAVE_RUN),
        ("once", api.Outcome.OK, Verdict.MAY_HAVE_RUN),
        ("once", api.Outcome.NOT_STARTED, Verdict.ADMIT),
        ("once", api.Outcome.FULL, Verdict.ADMIT),
        ("booking", api.Outcome.CANCELLED, Verdict.ADMIT),
        ("lookup", api.Outcome.OK, Verdict.ADMIT),
    ],
)
def test_what_the_end_of_the_earlier_attempt_allows(cls, outcome, verdict):
    attempts, attempt = EndingAttempts(SETTINGS), attempt_of(ID, cls)
    again = attempt_of(ID, cls).client_request
    assert attempts.check(again) is Verdict.ADMIT
    attempts.add(attempt)
    assert attempts.check(again) is Verdict.HOLD
    attempts.hold(again)
    assert attempts.end(attempt_of(ID, cls), outcome) is None
    assert attempts.end(attempt, outcome) is again
    assert attempts.check(again) is verdict


def test_ids_are_forgotten_after_a_time_and_beyond_a_number(monkeypatch):
    # ever new ids must not take memory without end
    monkeypatch.setattr(ending, "MAX_REMEMBERED", 3)
    attempts = EndingAttempts(SETTINGS)
    ids = [f"{number:016x}" for number in range(5)]
    for request_id in ids:
        attempt = attempt_of(request_id, "once")
        attempts.add(attempt)
        attempts.end(attempt, api.Outcome.CANCELLED)
    verdicts = [attempts.check(attempt_of(request_id, "once").client_request) for request_id in ids]
    assert verdicts == [Verdict.ADMIT] * 2 + [Verdict.MAY_HAVE_RUN] * 3
    monkeypatch.setattr(ending, "REMEMBERED_FOR", -1.0)
    attempt = attempt_of(ID, "once")
    attempts.add(attempt)
    attempts.end(attempt, api.Outcome.CANCELLED)
    assert attempts.check(attempt.client_request) is Verdict.ADMIT
