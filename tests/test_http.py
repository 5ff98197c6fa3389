"""How long a query may go unasked, and what answers of engines prove."""

from __future__ import annotations

import time

import pytest

from aspenrill import api
from aspenrill.core.books import Attempt, Call, Peer
from aspenrill.engines import pool
from aspenrill.engines.http import PAUSE_MOST, HttpEngines, meter
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Hub
from aspenrill.wire import http1
from standins.clients import Reply
from standins.world import CLASSES, ROWS, SETTINGS, Act, World


class Pools:
    """Counts what is given back; takes nothing."""

    def take(self, *_):
        return "another"

    def give(self, *_):
        pass


def paused(state, share: float, ran: float, is_load: bool = False) -> float:
    """How long an attempt that began `ran` seconds ago is left unasked after a note."""
    hub, found = Hub(lambda text: None), []
    spec = api.QueryClass(1, 5, api.Effect.SAFE, is_load=is_load)
    settings = api.Settings(classes=(spec,), cores_by_kind=(8,))
    engines = HttpEngines(hub, Pools(), settings, CLASSES, found.append)
    hub.sleep = found.append
    now = time.monotonic()
    call = Call("0" * 16, 0, 0, b"x", None, None, now, 60.0, lambda *_: None)
    attempt = Attempt(call, Peer("e", ("", 0), api.EngineState.LIVE), 0, now + 60, 1)
    attempt.began = now - ran
    attempt.state = state and (now - state[0], state[1])
    engines._pause(attempt, None, http1.Head(202, {}), share)
    return found[0] if found else 0.0


@pytest.mark.parametrize(
    "state, share, ran, least, most",
    [
        (None, 0.5, 1.0, 0.45, 0.55),
        (None, 0.01, 1.0, PAUSE_MOST, PAUSE_MOST),
        (None, 0.99, 1.0, 0, 0),
        ((0.2, 0.0), 0.2, 5.0, 0.35, 0.45),  # stood still for long: only what it did since counts
        ((0.2, 0.4), 0.6, 5.0, 0.15, 0.25),
        ((0.2, 0.5), 0.5, 5.0, 0, 0),
    ],
)
def test_a_query_is_left_unasked_for_a_part_of_what_its_pace_leaves(state, share, ran, least, most):
    # one that had waited for a load was taken for a slow one, and its end was seen up to a second late
    assert least - 0.01 <= paused(state, share, ran) <= most + 0.01 < 1.5


def test_a_load_is_asked_often():
    # the next load of its group starts when its end is seen
    assert paused(None, 0.1, 1.0, is_load=True) <= 0.1


@pytest.mark.parametrize(
    "status, fields, outcome",
    [
        (503, {"x-shed": "1"}, api.Outcome.FULL),
        (503, {}, api.Outcome.ERROR),
        (500, {}, api.Outcome.ERROR),
        (504, {"x-shed": "1"}, api.Outcome.MOOT),
        (504, {}, api.Outcome.TIMEOUT),
        (500, {"x-shed": "1"}, api.Outcome.ERROR),
    ],
)
def test_only_a_marked_refusal_proves_that_nothing_ran(status, fields, outcome):
    engines = HttpEngines(Hub(lambda text: None), Pools(), SETTINGS, CLASSES, print)
    assert engines._refusal(http1.Head(status, fields)) is outcome


@pytest.mark.parametrize(
    "text, told",
    [
        ("load_share:0.5;depth:3", (0.5, 3.0)),
        ("util:0.5", (0.5, 0.0)),
        ("", None),
        (None, None),
        ("util:x", None),
        ("other:1", None),
    ],
)
def test_load_reports(text, told):
    assert meter(text, ("util", "queue")) == told


def test_an_engine_that_does_not_accept_is_not_stormed(monkeypatch):
    # each try lengthened the line of a stalled engine by one that nobody would use any more
    hub, now, most, tries = Hub(lambda text: None), [0], [0], [0]

    def dial(hub, address, until):
        tries[0] += 1
        now[0] += 1
        most[0] = max(most[0], now[0])
        hub.sleep(0.05)
        now[0] -= 1
        raise Refused("no connection in time")

    monkeypatch.setattr(pool, "connect", dial)
    pools, peer, refused = pool.Pools(hub, 500, 10, 0.25), Peer("e", ("", 0), api.EngineState.LIVE), []

    def take():
        try:
            pools.take(peer, time.monotonic() + 5)
        except Refused as why:
            refused.append(why)
            if len(refused) == 200:
                hub.stop()

    for _ in range(200):
        hub.spawn(take)
    hub.run()
    assert most[0] <= pool.MOST_DIALING and tries[0] <= 3 * pool.MOST_DIALING and pools.count == 0


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
def test_a_spoilt_answer_is_asked_for_again_and_never_passed_on(spoil, rows):
    # the query has run, and its engine gives its end again: running it anew wasted that, or failed it
    world = World("thrift", 1)

    def play():
        engine, count = world.engines[0], [0]
        engine.act = lambda s: Act(rows=rows)
        say = engine.say

        def spoilt(conn, status, fields=None, body=b""):
            count[0] += bool(body)
            if not body or count[0] % 2 == 0:
                return say(conn, status, fields, body)
            written, write = [], conn.write
            conn.write = lambda data, until: written.append(data)
            say(conn, status, fields, body)
            conn.write = write
            conn.write(spoil(written[0]), time.monotonic() + 5)
            world.hub.sleep(3)  # the connection stays open, and is of no further use

        engine.say = spoilt
        assert world.client("once").ask("select 1") == Reply("served", rows)
        assert engine.statements == ["select 1"]

    world.run(play)


@pytest.mark.parametrize("more", [b"\0noise", b"again", b"HTTP/1.1 100 X\r\n\r\n"])
def test_bytes_beyond_an_answer_end_its_connection_and_the_answer_stands(more):
    # a second copy would be taken for the answer to the next call
    world = World("thrift", 1)

    def play():
        engine = world.engines[0]
        engine.act = lambda s: Act(rows=MANY if s == "many" else [(s, s, s)])
        say = engine.say

        def twice(conn, status, fields=None, body=b""):
            written, write = [], conn.write
            conn.write = lambda data, until: written.append(data)
            say(conn, status, fields, body)
            conn.write = write
            conn.write(written[0] + (written[0] if more == b"again" else more), time.monotonic() + 5)

        engine.say = twice
        client = world.client()
        assert client.ask("many") == Reply("served", MANY)
        for word in "abc":
            assert client.ask(word) == Reply("served", [(word, word, word)])

    world.run(play)


@pytest.mark.parametrize("broke, least, most", [(False, 1.8, 6.0), (True, 0.0, 1.0)])
def test_a_refused_connection_alone_does_not_prove_that_a_query_has_ended(monkeypatch, broke, least, most):
    # an engine with no connection to spare runs on what it has: a second try ran beside the first
    world = World("thrift", 1)

    def play():
        engine = world.engines[0]
        engine.news = lambda conn, ident: world.hub.sleep(60)  # nothing is said on the connection that it has
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
            engine.down()
        else:
            world.node.owner.engines.cancel(attempt)
        world.until(lambda: call.attempt is not attempt, 10.0)
        assert least < time.monotonic() - began < most

    world.run(play)
