"""Polling intervals of HTTP attempts, and what responses of engines prove."""

from __future__ import annotations

import time

import pytest

from aspenrill import api
from aspenrill.core.books import Attempt, ClientRequest, Peer
from aspenrill.engines import pool
from aspenrill.engines.http import MAX_PAUSE, HttpEngines, parse_load_report
from aspenrill.engines.http_responses import error_outcome
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Hub
from aspenrill.wire import http1
from standins.clients import Reply
from standins.world import CLASSES, ROWS, EngineBehaviour, World


class Pools:
    """A pool that does nothing."""

    def acquire(self, *_):
        return "another"

    def release(self, *_):
        pass


def paused(state, share: float, ran: float, is_load: bool = False) -> float:
    """Returns the pause before the next poll of an attempt that began `ran` seconds ago."""
    hub, found = Hub(lambda text: None), []
    spec = api.QueryClass(1, 5, api.Effect.SAFE, is_load=is_load)
    settings = api.Settings(classes=(spec,), cores_by_kind=(8,))
    engines = HttpEngines(hub, Pools(), settings, CLASSES, found.append)
    hub.sleep = found.append
    now = time.monotonic()
    call = ClientRequest("0" * 16, 0, 0, b"x", None, None, now, 60.0, lambda *_: None)
    attempt = Attempt(call, Peer("e", ("", 0), api.EngineState.LIVE), 0, now + 60, 1)
    attempt.began_at = now - ran
    attempt.state = state and (now - state[0], state[1])
    engines._pause(attempt, None, http1.Head(202, {}), share)
    return found[0] if found else 0.0


@pytest.mark.parametrize(
    "state, share, ran, minimum, maximum",
    [
        (None, 0.5, 1.0, 0.45, 0.55),
        (None, 0.01, 1.0, MAX_PAUSE, MAX_PAUSE),
        (None, 0.99, 1.0, 0, 0),
        ((0.2, 0.0), 0.2, 5.0, 0.35, 0.45),  # stalled for long: only the progress since then counts
        ((0.2, 0.4), 0.6, 5.0, 0.15, 0.25),
        ((0.2, 0.5), 0.5, 5.0, 0, 0),
    ],
)
def test_a_query_is_polled_after_a_share_of_its_estimated_remaining_time(state, share, ran, minimum, maximum):
    # a query that had waited for a load counted as slow, and its end was noticed up to a second late
    assert minimum - 0.01 <= paused(state, share, ran) <= maximum + 0.01 < 1.5


def test_a_load_is_polled_often():
    # the next load of its group starts when its end is noticed
    assert paused(None, 0.1, 1.0, is_load=True) <= 0.1


@pytest.mark.parametrize(
    "status, fields, outcome",
    [
        (503, {"x-shed": "1"}, api.Outcome.FULL),
        (503, {}, api.Outcome.ERROR),
        (500, {}, api.Outcome.ERROR),
        (504, {"x-shed": "1"}, api.Outcome.NOT_STARTED),
        (504, {}, api.Outcome.TIMEOUT),
        (500, {"x-shed": "1"}, api.Outcome.ERROR),
    ],
)
def test_only_a_marked_refusal_proves_that_nothing_ran(status, fields, outcome):
    assert error_outcome(http1.Head(status, fields)) is outcome


@pytest.mark.parametrize(
    "text, values",
    [
        ("load_share:0.5;depth:3", (0.5, 3.0)),
        ("util:0.5", (0.5, 0.0)),
        ("", None),
        (None, None),
        ("util:x", None),
        ("other:1", None),
    ],
)
def test_load_reports(text, values):
    assert parse_load_report(text, ("util", "queue")) == values


def test_connection_attempts_to_an_engine_that_does_not_accept_are_limited(monkeypatch):
    # each attempt lengthened the backlog of a stalled engine by a connection that nobody would use
    hub, running, peak, tries = Hub(lambda text: None), [0], [0], [0]

    def dial(hub, address, until):
        tries[0] += 1
        running[0] += 1
        peak[0] = max(peak[0], running[0])
        hub.sleep(0.05)
        running[0] -= 1
        raise Refused("no connection in time")

    monkeypatch.setattr(pool, "connect", dial)
    pools, peer, refused = pool.Pools(hub, 500, 10, 0.25), Peer("e", ("", 0), api.EngineState.LIVE), []

    def take():
        try:
            pools.acquire(peer, time.monotonic() + 5)
        except Refused as why:
            refused.append(why)
            if len(refused) == 200:
                hub.stop()

    for _ in range(200):
        hub.spawn(take)
    hub.run()
    assert peak[0] <= pool.MAX_DIALS and tries[0] <= 3 * pool.MAX_DIALS and pools.count == 0


MANY = [(str(i), "x" * 40, "end") for i in range(200)]


@pytest.mark.parametrize(
    "spoil",
    [
        lambda answer: b"\0\xff noise " * 20 + b"\r\n\r\n",
        lambda answer: b"HTTP/1.1 200 X\r\nX-A: " + b"a" * 40000,
        lambda answer: answer.replace(b"Content-Length: ", b"Content-Length: 3"),
        lambda answer: answer.replace(b"Content-Length: ", b"Content-Length: 999999"),
        lambda answer: answer[: len(answer) // 2],
        lambda answer: b"",
        lambda answer: answer[:-1] + b"\xff",
        lambda answer: b"HTTP/1.1 100 X\r\n\r\n" * 50 + answer,
    ],
)
@pytest.mark.parametrize("rows", [ROWS, MANY], ids=["one page", "pages"])
def test_an_unreadable_response_is_requested_again_and_never_forwarded(spoil, rows):
    # the query has run and its engine still has the result: running it again wasted work, or failed it
    world = World("thrift", 1)

    def play():
        engine, count = world.engines[0], [0]
        engine.behaviour = lambda s: EngineBehaviour(rows=rows)
        say = engine.respond

        def spoilt(conn, status, fields=None, body=b""):
            count[0] += bool(body)
            if not body or count[0] % 2 == 0:
                return say(conn, status, fields, body)
            written, write = [], conn.write
            conn.write = lambda data, until: written.append(data)
            say(conn, status, fields, body)
            conn.write = write
            conn.write(spoil(written[0]), time.monotonic() + 5)
            world.hub.sleep(3)  # the connection stays open but is useless

        engine.respond = spoilt
        assert world.client("once").request("select 1") == Reply("served", rows)
        assert engine.statements == ["select 1"]

    world.run(play)


@pytest.mark.parametrize("more", [b"\0noise", b"again", b"HTTP/1.1 100 X\r\n\r\n"])
def test_data_after_a_response_closes_the_connection_and_keeps_the_response(more):
    # a second copy would be taken for the response to the next call
    world = World("thrift", 1)

    def play():
        engine = world.engines[0]
        engine.behaviour = lambda s: EngineBehaviour(rows=MANY if s == "many" else [(s, s, s)])
        say = engine.respond

        def twice(conn, status, fields=None, body=b""):
            written, write = [], conn.write
            conn.write = lambda data, until: written.append(data)
            say(conn, status, fields, body)
            conn.write = write
            conn.write(written[0] + (written[0] if more == b"again" else more), time.monotonic() + 5)

        engine.respond = twice
        client = world.client()
        assert client.request("many") == Reply("served", MANY)
        for word in "abc":
            assert client.request(word) == Reply("served", [(word, word, word)])

    world.run(play)


@pytest.mark.parametrize("broke, minimum, maximum", [(False, 1.8, 6.0), (True, 0.0, 1.0)])
def test_a_refused_connection_alone_does_not_prove_that_a_query_has_ended(
    monkeypatch, broke, minimum, maximum
):
    # an engine without free connections goes on with its queries: a second attempt ran beside the first
    world = World("thrift", 1)

    def play():
        engine = world.engines[0]
        engine.answer_poll = lambda conn, ident: world.hub.sleep(60)  # no response on the existing connection
        client = world.client("once", 20.0)
        client.send("select 1")
        world.until(lambda: engine.began)
        world.hub.sleep(0.1)
        call = next(iter(world.node.owner.open.values()))

        def refuse(hub, address, until):
            raise Refused("ECONNREFUSED")

        monkeypatch.setattr(pool, "connect", refuse)
        attempt, began = call.attempt, time.monotonic()
        if broke:
            engine.shut_down()
        else:
            world.node.owner.engines.cancel(attempt)
        world.until(lambda: call.attempt is not attempt, 10.0)
        assert minimum < time.monotonic() - began < maximum

    world.run(play)
