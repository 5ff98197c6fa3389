"""Attempts that are cancelled, or whose engine drains or is replaced, at each stage."""

from __future__ import annotations

import time

import pytest
from scripted import GONE, LONG, ScriptedEngine, response, rows

from aspenrill import api
from aspenrill.core.books import Attempt
from aspenrill.engines import pool
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Signal


def apply_change(script: ScriptedEngine, attempt: Attempt, how: str) -> None:
    """Cancels the attempt, or drains or replaces its engine."""
    if how == "cancelled":
        script.engines.cancel(attempt)
        return
    script.peer.retired, script.peer.state = how == "replaced", api.EngineState.DRAINING
    script.engines.retire(script.peer)


HOWS = ["cancelled", "draining", "replaced"]


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("where", ["not begun", "dialing", "queued"])
def test_an_attempt_that_sent_no_byte_ends_as_moot(monkeypatch, where, how):
    script = ScriptedEngine()
    gate = Signal(script.hub)
    monkeypatch.setattr(pool, "MAX_DIALS", 1)

    def refuse_later(hub, address, until):
        gate.wait(LONG)
        raise Refused("ECONNREFUSED")

    def scene() -> None:
        monkeypatch.setattr(pool, "connect", refuse_later)
        before = [script.start("d")] if where == "queued" else []
        attempt = script.start()
        for _ in range(0 if where == "not begun" else 3):
            script.hub.yield_now()
        apply_change(script, attempt, how)
        for _ in range(3):
            script.hub.yield_now()
        gate.set()
        for _ in range(3):
            script.hub.yield_now()
        gate.set()
        assert script.end(attempt).outcome is api.Outcome.NOT_STARTED and not script.calls
        for other in before:
            script.end(other)
        script.until(lambda: script.pools.count == script.peer.connecting == 0)

    script.play(scene)


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("where", ["pause", "silence"])
def test_a_running_query_under_cancel_drain_and_replacement(where, how):
    # silence: it is polled on another connection, and the response on the first one is read separately
    go = []

    def delayed(answer: bytes):
        def respond_late(conn) -> None:
            script.until(lambda: go)
            conn.write(answer, time.monotonic() + LONG)

        return respond_late

    first = response(202, "X-Remark: frac", "X-Num: 0.1") if where == "pause" else delayed(response(202))
    script = ScriptedEngine([first, delayed(rows(b"a"))])

    def scene() -> None:
        attempt = script.start(began_at=time.monotonic() - 4.0)
        script.until(lambda: script.peer.idle if where == "pause" else len(script.calls) > 1)
        apply_change(script, attempt, how)
        go.append(True)
        end = script.end(attempt)
        if how == "cancelled":
            assert end.outcome is api.Outcome.CANCELLED and any(c.startswith("delete") for c in script.calls)
        else:
            assert end.outcome is api.Outcome.OK and end.result.pages == (b"\t\ta\n",)
        script.until(lambda: script.pools.count == len(script.peer.idle))
        assert how == "cancelled" or not script.peer.idle

    script.play(scene)


@pytest.mark.parametrize("when, sent", [("before", False), ("while", True), ("after", False)])
def test_a_priority_is_sent_only_for_an_attempt_in_flight(when, sent):
    script = ScriptedEngine([lambda conn: None, GONE])
    deletes = []

    def delete(conn) -> None:
        deletes.append(conn)
        script.until(lambda: len(deletes) > 1)
        conn.write(GONE, time.monotonic() + LONG)

    script.delete = delete

    def scene() -> None:
        attempt = script.start()
        if when != "before":
            script.until(lambda: script.calls)
        if when == "after":
            script.engines.cancel(attempt)
            script.until(lambda: deletes)
        script.engines.set_priority(attempt, 3)
        script.until(lambda: len(script.calls) > sent)
        for _ in range(20):
            script.hub.yield_now()
        deletes.append(None)
        script.engines.cancel(attempt)
        script.end(attempt)
        assert any(call.startswith("put") for call in script.calls) == sent

    script.play(scene)
