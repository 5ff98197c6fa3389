"""What an attempt's end proves, whatever its engine does: each engine here answers from a script."""
from __future__ import annotations

import socket
import struct
import time

import pytest

from aspenrill import api
from aspenrill.core.books import Attempt, Call, Ended, Peer
from aspenrill.engines import pool
from aspenrill.engines.http import HttpEngines
from aspenrill.net.conn import Refused
from aspenrill.net.hub import Hub, Signal
from aspenrill.net.listener import Listener
from aspenrill.wire import tds
from standins.scene import play
from standins.world import CLASSES, SETTINGS, World

LONG = 20.0  # seconds that nobody waits for in a run that goes well
BODY = b"a\tb\tc\n"
OK = b"HTTP/1.1 200 X\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n" + BODY
NOTHING = "\r\nContent-Length: 0\r\n\r\n"


def say(status: int, *fields: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields]).encode() + NOTHING.encode()


SHED, GONE = "X-Shed: 1", b"HTTP/1.1 204 X\r\n\r\n"
HALF = say(202, "X-Remark: frac", "X-Num: 0.5")


class Script:
    """One engine and the attempts at it. `answers` are given in turn to what asks for a query: bytes, or what
    to do with the connection; a DELETE is answered by `delete`."""

    def __init__(self, answers=(), connect_for: float = LONG) -> None:
        self.hub, self.logged = Hub(lambda text: self.logged.append(text)), []
        self.answers, self.calls, self.posted = list(answers), [], []
        self.delete = lambda conn: conn.write(GONE, time.monotonic() + LONG)
        self.listener = Listener(self.hub, ("127.0.0.1", 0), self.serve, 99, "engine")
        self.pools = pool.Pools(self.hub, 99, 30.0, connect_for)
        self.engines = HttpEngines(self.hub, self.pools, SETTINGS, CLASSES, self.posted.append)
        self.peer = Peer("e", self.listener.address, api.EngineState.LIVE)

    def serve(self, conn) -> None:
        while True:
            head = conn.read_until(b"\r\n\r\n", time.monotonic() + 60).decode().lower()
            size = int(head.split("content-length: ")[1].split("\r\n")[0]) if "content-length" in head else 0
            conn.read(size, time.monotonic() + 60)
            self.calls.append(head.split("\r\n")[0].split(" http")[0])
            if head.startswith("delete"):
                self.delete(conn)
                continue
            answer = self.answers.pop(0) if self.answers else say(500)
            if callable(answer):
                answer(conn)
            else:
                conn.write(answer, time.monotonic() + LONG)

    def far(self):
        """The engine's end of the only connection."""
        return next(iter(self.listener.connections))

    def start(self, ident: str = "a", cls: str = "once", patience: float = LONG, **changed) -> Attempt:
        now = time.monotonic()
        call = Call(ident * 16, CLASSES.index(cls), 0, b"x", None, None, now, patience, lambda *_: None)
        attempt = Attempt(call, self.peer, 0, call.deadline, 1)
        for name, value in changed.items():
            setattr(attempt, name, value)
        self.engines.start(attempt)
        return attempt

    def until(self, true) -> None:
        end = time.monotonic() + LONG
        while not true():
            assert time.monotonic() < end, "did not come true in time"
            self.hub.sleep(0.005)

    def end(self, attempt: Attempt) -> Ended:
        """Its end, once told, and no other."""
        def mine() -> list[Ended]:
            return [end for end in self.posted if isinstance(end, Ended) and end.attempt is attempt]
        self.until(mine)
        self.until(lambda: attempt.task.dead)
        assert len(mine()) == 1
        return mine()[0]

    def play(self, scene) -> None:
        try:
            play(self.hub, scene)
        finally:
            self.listener.close()
            for conn in list(self.listener.connections):
                conn.close()
        assert not [text for text in self.logged if text.startswith("error")], self.logged


@pytest.mark.parametrize("begin_by, outcome", [
    (True, api.Outcome.MOOT), (False, api.Outcome.CONNECT_FAILED)])
def test_no_connection_is_waited_for_beyond_the_first_byte(monkeypatch, begin_by, outcome):
    # the request stood behind a dial that could be of no use, and its engine was counted as not reached
    script = Script(connect_for=LONG if begin_by else 0.05)

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


def test_a_request_that_is_given_up_hears_of_it_at_its_deadline_while_the_engine_does_not():
    # it waited for a DELETE, and was failed as one without an answer, with an error for the people on call
    script = Script([lambda conn: None] * 9)
    heard = Signal(script.hub)
    script.delete = lambda conn: heard.wait(LONG)

    def scene() -> None:
        attempt = script.start(patience=0.6)
        script.until(lambda: script.calls)
        script.engines.cancel(attempt)
        script.until(lambda: script.posted)
        assert script.posted[0].outcome is api.Outcome.TIMEOUT and not attempt.task.dead
        assert 0 <= time.monotonic() - attempt.call.deadline
        heard.set()
        script.end(attempt)
    script.play(scene)


def test_no_end_is_told_before_the_engine_has_given_up():
    script = Script([lambda conn: None] * 9)
    heard, asked = Signal(script.hub), []

    def delete(conn) -> None:
        asked.append(conn)
        heard.wait(LONG)
        conn.write(GONE, time.monotonic() + LONG)

    script.delete = delete

    def scene() -> None:
        attempt = script.start()
        script.until(lambda: script.calls)
        script.engines.cancel(attempt)
        script.until(lambda: asked)
        assert not script.posted
        heard.set()
        assert script.end(attempt).outcome is api.Outcome.CANCELLED
    script.play(scene)


@pytest.mark.parametrize("answers, outcome, deleted", [
    ([say(503, SHED)], api.Outcome.FULL, False), ([say(504, SHED)], api.Outcome.MOOT, False),
    ([say(202), say(503, SHED)], api.Outcome.FULL, False),  # it stood in the engine's line
    ([say(202, "X-Remark: parked", "X-Num: 1"), say(504, SHED)], api.Outcome.MOOT, False),
    ([HALF, say(503, SHED)], api.Outcome.ERROR, True), ([HALF, say(504, SHED)], api.Outcome.ERROR, True),
    ([HALF, say(202), say(503, SHED)], api.Outcome.ERROR, True),
    ([say(202, "X-Remark: missing", "X-Num: 9"), say(504, SHED)], api.Outcome.ERROR, True),
    ([say(500)], api.Outcome.ERROR, False), ([say(500, SHED)], api.Outcome.ERROR, False),
    ([say(503)], api.Outcome.ERROR, True), ([say(504)], api.Outcome.TIMEOUT, True),
    ([say(503, "X-Shed: 0")], api.Outcome.ERROR, True),
    ([GONE, OK], api.Outcome.OK, False), ([say(404), OK], api.Outcome.OK, False),
    ([say(200), OK], api.Outcome.OK, False),
    ([GONE] * 9, api.Outcome.ERROR, True)])
def test_what_answers_prove(answers, outcome, deleted):
    # a second answer to another call, or a word for both, was taken for this one's end while it ran
    script = Script(answers)

    def scene() -> None:
        assert script.end(script.start()).outcome is outcome
        assert any(call.startswith("delete") for call in script.calls) == deleted
        assert sum(call.startswith("post") for call in script.calls) == 1
    script.play(scene)


@pytest.mark.parametrize("cls", ["once", "lookup"])
@pytest.mark.parametrize("how", ["reset", "end", "reset unread", "read, then reset"])
def test_a_byte_that_the_system_took_may_have_run(monkeypatch, cls, how):
    # the engine's end comes between the last look at an idle connection and the write
    script = Script([OK, None, OK] if how == "read, then reset" else [OK])
    reset = struct.pack("ii", 1, 0)

    def scene() -> None:
        assert script.end(script.start()).outcome is api.Outcome.OK
        mine, far = script.peer.idle[0], script.far()

        def cut(conn=None) -> None:
            if how != "end":
                far.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            far.close()
            if conn is None:
                script.until(lambda: mine.ended())
        if how == "read, then reset":
            script.answers[0] = cut
        else:
            write = mine.write_parts

            def crossed(parts, until) -> None:
                if how == "reset unread":
                    write(parts, until)
                    cut(far)  # before the engine's task has read
                else:
                    cut()
                    write(parts, until)
            mine.write_parts = crossed
        attempt = script.start("b", cls)
        end = script.end(attempt)
        posts = sum(call.startswith("post") for call in script.calls)
        if how == "reset":  # the system took not a byte
            assert end.outcome is api.Outcome.OK and posts == 2
        else:
            assert not end.outcome.never_ran and posts == 1 + (how == "read, then reset")
            assert "get /data/" + "b" * 16 + "/0" in script.calls
    script.answers += [OK] if how == "reset" else []
    script.play(scene)


FULL = tds.error(10928, "no") + tds.done(tds.BAD)


@pytest.mark.parametrize("tokens, outcome", [
    (FULL, api.Outcome.FULL), (tds.error(8134, "no") + FULL, api.Outcome.ERROR),
    (tds.done(tds.MORE, 1) + FULL, api.Outcome.ERROR),  # its first statement has run
    (tds.text_columns(["a"]) + FULL, api.Outcome.ERROR),
    (tds.done(tds.BAD), api.Outcome.ERROR), (b"\xaa\x01", api.Outcome.ERROR)])
def test_only_an_error_before_all_else_proves_that_a_batch_was_turned_away(tokens, outcome):
    world, seen = World("tds", 1), []

    def scene() -> None:
        engine, engines = world.engines[0], world.node.owner.engines
        post = engines.post
        engines.post = lambda event: (seen.append(event), post(event))
        engine.batch = lambda conn, statement: engine.say(conn, tokens)
        world.client("once").ask("insert 1; insert 2")
        assert [end.outcome for end in seen if isinstance(end, Ended)][0] is outcome
    world.run(scene)


def rows(word: bytes) -> bytes:
    return OK.replace(BODY, b"\t\t" + word + b"\n").replace(b"Length: 6", b"Length: %d" % (len(word) + 3))


@pytest.mark.parametrize("cls", ["once", "lookup"])
@pytest.mark.parametrize("how", ["while idle", "with the answer", "at the last look"])
def test_a_second_answer_is_not_taken_for_that_to_the_next_call(monkeypatch, cls, how):
    # once one has come, a connection rests before the next call: the second answer comes to light then
    script = Script([rows(b"a")])
    monkeypatch.setattr(pool, "SETTLE", 1.0)
    second = []

    def late(conn) -> None:
        script.until(lambda: second)
        conn.write(rows(b"c"), time.monotonic() + LONG)

    def scene() -> None:
        if how == "with the answer":
            script.answers = [rows(b"a") * 2]
        assert script.end(script.start()).outcome is api.Outcome.OK
        if how != "with the answer":
            mine, far, quiet = script.peer.idle[0], script.far(), script.peer.idle[0].quiet

            def look() -> bool:
                far.sock.send(rows(b"a"))
                script.until(lambda: mine.ended() is None)
                return quiet()
            if how == "while idle":
                far.sock.send(rows(b"a"))
                script.until(lambda: not mine.open)
            else:
                mine.quiet = look
        script.answers = [rows(b"b")]
        script.end(script.start("b"))
        script.until(lambda: len(script.listener.connections) == 1)
        script.answers, far = [late], script.far()
        third = script.start("c", cls)
        for _ in range(5):
            script.hub.give_way()
        second.append(far.sock.send(rows(b"b")))  # the call is on its way by now, or waits
        assert script.end(third).result.pages == (b"\t\tc\n",)
    script.play(scene)


def test_the_answer_to_another_call_does_not_end_a_giving_up():
    script = Script([lambda conn: None] * 9)
    said = [OK, GONE]
    script.delete = lambda conn: conn.write(said.pop(0), time.monotonic() + LONG)

    def scene() -> None:
        attempt = script.start()
        script.until(lambda: script.calls)
        script.engines.cancel(attempt)
        assert script.end(attempt).outcome is api.Outcome.CANCELLED and not said
    script.play(scene)


def endless(start: bytes, more: bytes, pause: float = 0.0):
    def say_on(conn) -> None:
        conn.write(start, time.monotonic() + LONG)
        while True:
            conn.write(more, time.monotonic() + LONG)
            conn.hub.sleep(pause)
    return say_on


def broken(start: bytes):
    def say_less(conn) -> None:
        conn.write(start, time.monotonic() + LONG)
        conn.close()
    return say_less


@pytest.mark.parametrize("spoilt", [
    endless(b"HTTP/1.1 200 X\r\n", b"X", 0.02), endless(b"HTTP/1.1 200 X\r\n", b"X-More: more\r\n" * 50),
    endless(b"", b"HTTP/1.1 100 X\r\n\r\n"), endless(b"", b"HTTP/1.1 100 X\r\n\r\n", 0.3),
    endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"),
    endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", 0.02),
    endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: x\r\n", 0.02),
    endless(b"HTTP/1.1 200 X\r\nX-Batches: 1\r\nContent-Length: 60000\r\n\r\n", b"x", 0.02),
    broken(b"HTTP/1.1 2"), broken(b"HTTP/1.1 503 X\r\nX-Shed: 1\r\n"), broken(OK[:-1]),
    broken(b"HTTP/1.1 503 X\r\nX-Shed: 1\r\nContent-Length: 9\r\n\r\n")])
def test_an_answer_that_has_no_end_is_bounded_and_asked_for_again(spoilt):
    script = Script([spoilt, rows(b"a")])

    def scene() -> None:
        end = script.end(script.start())
        assert end.result is not None and end.result.pages == (b"\t\ta\n",)
        script.until(lambda: script.pools.count == len(script.peer.idle) == 1)  # the other is closed
    script.play(scene)


def leave(script: Script, attempt: Attempt, how: str) -> None:
    """What can become of an attempt, or of its engine, from outside."""
    if how == "cancelled":
        script.engines.cancel(attempt)
        return
    script.peer.retired, script.peer.state = how == "replaced", api.EngineState.DRAINING
    script.engines.retire(script.peer)


HOWS = ["cancelled", "draining", "replaced"]


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("where", ["not begun", "dialing", "in line"])
def test_an_attempt_without_a_byte_is_moot_whatever_becomes_of_it(monkeypatch, where, how):
    script = Script()
    gate = Signal(script.hub)
    monkeypatch.setattr(pool, "MOST_DIALING", 1)

    def hold(hub, address, until):
        gate.wait(LONG)
        raise Refused("ECONNREFUSED")

    def scene() -> None:
        monkeypatch.setattr(pool, "connect", hold)
        before = [script.start("d")] if where == "in line" else []
        attempt = script.start()
        for _ in range(0 if where == "not begun" else 3):
            script.hub.give_way()
        leave(script, attempt, how)
        for _ in range(3):
            script.hub.give_way()
        gate.set()
        for _ in range(3):
            script.hub.give_way()
        gate.set()
        assert script.end(attempt).outcome is api.Outcome.MOOT and not script.calls
        for other in before:
            script.end(other)
        script.until(lambda: script.pools.count == script.peer.dialing == 0)
    script.play(scene)


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("where", ["pause", "silence"])
def test_a_query_that_is_out_meets_a_cancel_or_its_engines_end_of_work(where, how):
    # silence: it is asked for on another connection, and the first is read to its answer's end by itself
    go = []

    def held(answer: bytes):
        def say_late(conn) -> None:
            script.until(lambda: go)
            conn.write(answer, time.monotonic() + LONG)
        return say_late

    first = say(202, "X-Remark: frac", "X-Num: 0.1") if where == "pause" else held(say(202))
    script = Script([first, held(rows(b"a"))])

    def scene() -> None:
        attempt = script.start(began=time.monotonic() - 4.0)
        script.until(lambda: script.peer.idle if where == "pause" else len(script.calls) > 1)
        leave(script, attempt, how)
        go.append(True)
        end = script.end(attempt)
        if how == "cancelled":
            assert end.outcome is api.Outcome.CANCELLED and any(c.startswith("delete") for c in script.calls)
        else:
            assert end.outcome is api.Outcome.OK and end.result.pages == (b"\t\ta\n",)
        script.until(lambda: script.pools.count == len(script.peer.idle))
        assert how == "cancelled" or not script.peer.idle
    script.play(scene)


@pytest.mark.parametrize("when, told", [("before", False), ("while", True), ("after", False)])
def test_a_priority_is_told_only_of_what_is_out(when, told):
    script = Script([lambda conn: None, GONE])
    asked = []

    def delete(conn) -> None:
        asked.append(conn)
        script.until(lambda: len(asked) > 1)
        conn.write(GONE, time.monotonic() + LONG)

    script.delete = delete

    def scene() -> None:
        attempt = script.start()
        if when != "before":
            script.until(lambda: script.calls)
        if when == "after":
            script.engines.cancel(attempt)
            script.until(lambda: asked)
        script.engines.rank(attempt, 3)
        script.until(lambda: len(script.calls) > told)
        for _ in range(20):
            script.hub.give_way()
        asked.append(None)
        script.engines.cancel(attempt)
        script.end(attempt)
        assert any(call.startswith("put") for call in script.calls) == told
    script.play(scene)
