"""What becomes of an attempt that is cancelled, or whose engine drains or is replaced, at each stage."""

from __future__ import annotations

import time

import pytest
from scripted import GONE, LONG, Script, rows, say

from aspenrill import api
from aspenrill.core.books import Attempt
from aspenrill.engines import pool
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Signal


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
