"""What the end of an attempt proves, tested with scripted engines."""

from __future__ import annotations

import socket
import struct
import time

import pytest
from scripted import GONE, HALF, LONG, OK, SHED, ScriptedEngine, response, rows

from aspenrill import api
from aspenrill.core.books import AttemptFinished
from aspenrill.engines import pool
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Signal
from aspenrill.wire import tds
from standins.world import World


@pytest.mark.parametrize(
    "begin_by, outcome", [(True, api.Outcome.NOT_STARTED), (False, api.Outcome.CONNECT_FAILED)]
)
def test_waiting_for_a_connection_ends_at_the_begin_by_time(monkeypatch, begin_by, outcome):
    # the request waited for a connection it could no longer use, and its engine counted as unreachable
    script = ScriptedEngine(connect_for=LONG if begin_by else 0.05)

    def never(hub, address, until):
        hub.sleep(until - time.monotonic())
        raise Refused("no connection in time")

    def scene() -> None:
        monkeypatch.setattr(pool, "connect", never)
        began = time.monotonic()
        changed = {"begin_by": began + 0.05} if begin_by else {}
        assert script.end(script.start(**changed)).outcome is outcome
        assert time.monotonic() - began < LONG / 2 and (script.peer.failed_at > 0) != begin_by

    script.play(scene)


def test_a_cancelled_request_ends_at_its_deadline_though_the_engine_does_not_respond():
    # it waited for the DELETE and failed as unanswered, with an error in the log
    script = ScriptedEngine([lambda conn: None] * 9)
    answer_delete = Signal(script.hub)
    script.delete = lambda conn: answer_delete.wait(LONG)

    def scene() -> None:
        attempt = script.start(time_budget=0.6)
        script.until(lambda: script.calls)
        script.engines.cancel(attempt)
        script.until(lambda: script.posted)
        assert script.posted[0].outcome is api.Outcome.TIMEOUT and not attempt.task.done
        assert 0 <= time.monotonic() - attempt.client_request.deadline
        answer_delete.set()
        script.end(attempt)

    script.play(scene)


def test_no_end_is_posted_before_the_engine_has_stopped():
    script = ScriptedEngine([lambda conn: None] * 9)
    answer_delete, deletes = Signal(script.hub), []

    def delete(conn) -> None:
        deletes.append(conn)
        answer_delete.wait(LONG)
        conn.write(GONE, time.monotonic() + LONG)

    script.delete = delete

    def scene() -> None:
        attempt = script.start()
        script.until(lambda: script.calls)
        script.engines.cancel(attempt)
        script.until(lambda: deletes)
        assert not script.posted
        answer_delete.set()
        assert script.end(attempt).outcome is api.Outcome.CANCELLED

    script.play(scene)


@pytest.mark.parametrize(
    "answers, outcome, deleted",
    [
        ([response(503, SHED)], api.Outcome.FULL, False),
        ([response(504, SHED)], api.Outcome.NOT_STARTED, False),
        ([response(202), response(503, SHED)], api.Outcome.FULL, False),  # it was queued in the engine
        (
            [response(202, "X-Remark: parked", "X-Num: 1"), response(504, SHED)],
            api.Outcome.NOT_STARTED,
            False,
        ),
        ([HALF, response(503, SHED)], api.Outcome.ERROR, True),
        ([HALF, response(504, SHED)], api.Outcome.ERROR, True),
        ([HALF, response(202), response(503, SHED)], api.Outcome.ERROR, True),
        ([response(202, "X-Remark: missing", "X-Num: 9"), response(504, SHED)], api.Outcome.ERROR, True),
        ([response(500)], api.Outcome.ERROR, False),
        ([response(500, SHED)], api.Outcome.ERROR, False),
        ([response(503)], api.Outcome.ERROR, True),
        ([response(504)], api.Outcome.TIMEOUT, True),
        ([response(503, "X-Shed: 0")], api.Outcome.ERROR, True),
        ([GONE, OK], api.Outcome.OK, False),
        ([response(404), OK], api.Outcome.OK, False),
        ([response(200), OK], api.Outcome.OK, False),
        ([GONE] * 9, api.Outcome.ERROR, True),
    ],
)
def test_outcomes_of_responses(answers, outcome, deleted):
    # the response to another call was taken for the end of this one while it still ran
    script = ScriptedEngine(answers)

    def scene() -> None:
        assert script.end(script.start()).outcome is outcome
        assert any(call.startswith("delete") for call in script.calls) == deleted
        assert sum(call.startswith("post") for call in script.calls) == 1

    script.play(scene)


@pytest.mark.parametrize("cls", ["once", "lookup"])
@pytest.mark.parametrize("how", ["reset", "end", "reset unread", "read, then reset"])
def test_a_request_of_which_a_byte_was_sent_may_have_run(monkeypatch, cls, how):
    # the engine closes between the last check of an idle connection and the write
    script = ScriptedEngine([OK, None, OK] if how == "read, then reset" else [OK])
    reset = struct.pack("ii", 1, 0)

    def scene() -> None:
        assert script.end(script.start()).outcome is api.Outcome.OK
        mine, engine_side = script.peer.idle[0], script.engine_side()

        def cut(conn=None) -> None:
            if how != "end":
                engine_side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            engine_side.close()
            if conn is None:
                script.until(lambda: mine.peer_closed())

        if how == "read, then reset":
            script.answers[0] = cut
        else:
            write = mine.write_parts

            def write_during_close(parts, until) -> None:
                if how == "reset unread":
                    write(parts, until)
                    cut(engine_side)  # before the engine's task reads
                else:
                    cut()
                    write(parts, until)

            mine.write_parts = write_during_close
        attempt = script.start("b", cls)
        end = script.end(attempt)
        posts = sum(call.startswith("post") for call in script.calls)
        if how == "reset":  # the kernel accepted no byte
            assert end.outcome is api.Outcome.OK and posts == 2
        else:
            assert not end.outcome.never_ran and posts == 1 + (how == "read, then reset")
            assert "get /data/" + "b" * 16 + "/0" in script.calls

    script.answers += [OK] if how == "reset" else []
    script.play(scene)


FULL = tds.error(10928, "no") + tds.done(tds.DONE_ERROR)


@pytest.mark.parametrize(
    "tokens, outcome",
    [
        (FULL, api.Outcome.FULL),
        (tds.error(8134, "no") + FULL, api.Outcome.ERROR),
        (tds.done(tds.DONE_MORE, 1) + FULL, api.Outcome.ERROR),  # its first statement has run
        (tds.text_columns(["a"]) + FULL, api.Outcome.ERROR),
        (tds.done(tds.DONE_ERROR), api.Outcome.ERROR),
        (b"\xaa\x01", api.Outcome.ERROR),
    ],
)
def test_only_an_initial_error_proves_that_a_batch_was_rejected(tokens, outcome):
    world, seen = World("tds", 1), []

    def scene() -> None:
        engine, engines = world.engines[0], world.node.owner.engines
        post = engines.post
        engines.post = lambda event: (seen.append(event), post(event))
        engine.batch = lambda conn, statement: engine.respond(conn, tokens)
        world.client("once").request("insert 1; insert 2")
        assert [end.outcome for end in seen if isinstance(end, AttemptFinished)][0] is outcome

    world.run(scene)


@pytest.mark.parametrize("cls", ["once", "lookup"])
@pytest.mark.parametrize("how", ["while idle", "with the answer", "at the last check"])
def test_a_duplicate_response_is_not_taken_for_the_next_one(monkeypatch, cls, how):
    # after unexpected data, connections settle before the next call, so that a duplicate is noticed
    script = ScriptedEngine([rows(b"a")])
    monkeypatch.setattr(pool, "SETTLE_TIME", 1.0)
    second = []

    def late(conn) -> None:
        script.until(lambda: second)
        conn.write(rows(b"c"), time.monotonic() + LONG)

    def scene() -> None:
        if how == "with the answer":
            script.answers = [rows(b"a") * 2]
        assert script.end(script.start()).outcome is api.Outcome.OK
        if how != "with the answer":
            mine, engine_side, quiet = script.peer.idle[0], script.engine_side(), script.peer.idle[0].is_idle

            def check() -> bool:
                engine_side.sock.send(rows(b"a"))
                script.until(lambda: mine.peer_closed() is None)
                return quiet()

            if how == "while idle":
                engine_side.sock.send(rows(b"a"))
                script.until(lambda: not mine.open)
            else:
                mine.is_idle = check
        script.answers = [rows(b"b")]
        script.end(script.start("b"))
        script.until(lambda: len(script.listener.connections) == 1)
        script.answers, engine_side = [late], script.engine_side()
        third = script.start("c", cls)
        for _ in range(5):
            script.hub.yield_now()
        second.append(engine_side.sock.send(rows(b"b")))  # by now the call has been sent, or waits
        assert script.end(third).result.pages == (b"\t\tc\n",)

    script.play(scene)


def test_the_response_to_another_call_does_not_end_a_cancel():
    script = ScriptedEngine([lambda conn: None] * 9)
    said = [OK, GONE, GONE]  # the last one comes behind the withdrawal of the request, which has no response
    script.delete = lambda conn: conn.write(said.pop(0), time.monotonic() + LONG)

    def scene() -> None:
        attempt = script.start()
        script.until(lambda: script.calls)
        script.engines.cancel(attempt)
        assert script.end(attempt).outcome is api.Outcome.CANCELLED and not said

    script.play(scene)


def endless(start: bytes, more: bytes, pause: float = 0.0):
    def respond(conn) -> None:
        conn.write(start, time.monotonic() + LONG)
        while True:
            conn.write(more, time.monotonic() + LONG)
            conn.hub.sleep(pause)

    return respond


def broken(start: bytes):
    def respond(conn) -> None:
        conn.write(start, time.monotonic() + LONG)
        conn.close()

    return respond


@pytest.mark.parametrize(
    "spoilt",
    [
        endless(b"HTTP/1.1 200 X\r\n", b"X", 0.02),
        endless(b"HTTP/1.1 200 X\r\n", b"X-More: more\r\n" * 50),
        endless(b"", b"HTTP/1.1 100 X\r\n\r\n"),
        endless(b"", b"HTTP/1.1 100 X\r\n\r\n", 0.3),
        endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"),
        endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", 0.02),
        endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: x\r\n", 0.02),
        endless(b"HTTP/1.1 200 X\r\nX-Batches: 1\r\nContent-Length: 60000\r\n\r\n", b"x", 0.02),
        broken(b"HTTP/1.1 2"),
        broken(b"HTTP/1.1 503 X\r\nX-Shed: 1\r\n"),
        broken(OK[:-1]),
        broken(b"HTTP/1.1 503 X\r\nX-Shed: 1\r\nContent-Length: 9\r\n\r\n"),
    ],
)
def test_an_endless_response_is_bounded_and_requested_again(spoilt):
    script = ScriptedEngine([spoilt, rows(b"a")])

    def scene() -> None:
        end = script.end(script.start())
        assert end.result is not None and end.result.pages == (b"\t\ta\n",)
        script.until(
            lambda: script.pools.count == len(script.peer.idle) == 1
        )  # the other connection is closed

    script.play(scene)
