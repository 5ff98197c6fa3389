"""Connections to engines: turns reach who still waits, and a slow dial alone condemns nobody."""

from __future__ import annotations

import socket
import time

import pytest

from aspenrill.api import EngineState
from aspenrill.core.books import Peer
from aspenrill.engines import pool
from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import TIMER_EXPIRED, Hub, Signal, TimedOut
from standins.scene import play

LONG = 20.0  # seconds that nobody waits for in a run that goes well


class Lines:
    """Pools whose dials wait for a word of the test: `up` lets those that are out come up."""

    def __init__(self, monkeypatch, most: int = 99, dialing: int = 99, connect_for: float = LONG) -> None:
        self.hub, self.dials, self.got, self.ends = Hub(lambda text: None), 0, {}, []
        self.gate, self.held = Signal(self.hub), False  # held dials wait for the gate
        self.plan: list[bool] = []  # the next ones, in turn: held or not
        self.pools = pool.Pools(self.hub, most, 30.0, connect_for)
        self.peer, self.other = (Peer(name, (name, 1), EngineState.LIVE) for name in "ab")
        monkeypatch.setattr(pool, "MOST_DIALING", dialing)
        monkeypatch.setattr(pool, "connect", self.connect)

    def connect(self, hub, address, until) -> Connection:
        self.dials += 1
        if self.plan.pop(0) if self.plan else self.held:
            try:
                self.gate.wait(until - time.monotonic())
            except TimedOut:
                raise Refused("no connection in time") from None
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            self.ends.append(listener.accept()[0])  # the engine's end stays open
        return Connection(hub, near)

    def take(self, name: str, peer: Peer, fresh: bool = False, within: float = LONG):
        """In a task of its own; what it got, or why not, stands under its name."""

        def work() -> None:
            try:
                self.got[name] = self.pools.take(peer, time.monotonic() + within, fresh)
            except Refused as why:
                self.got[name] = why

        return self.hub.spawn(work)

    def first_in_line(self):
        """A connection that is taken, and the task of who waits first, while the one dial allowed is out."""
        conn = self.pools.take(self.peer, time.monotonic() + LONG)
        self.held = True
        self.take("dialing", self.peer, True)
        self.round()
        first = self.take("first", self.peer)
        self.round()
        return conn, first

    def round(self, times: int = 4) -> None:
        """Let all run that can."""
        for _ in range(times):
            self.hub.give_way()

    def play(self, scene) -> None:
        play(self.hub, scene)
        for sock in self.ends:
            sock.close()

    def gone(self, task, how: str) -> None:
        """It waits no more, and has not run since."""
        if how == "interrupted":
            task.interrupt(KeyError("no longer wanted"))
        elif how == "late":
            self.hub.wake(task.worker, task.worker.wait, TIMER_EXPIRED)


WHAT = ["connection", "dial", "descriptor", "descriptor or connection"]


@pytest.mark.parametrize(
    "how, what",
    [
        *[(how, what) for how in ("interrupted", "late") for what in WHAT],
        ("fresh", "connection"),
        ("fresh", "descriptor or connection"),
    ],
)  # a fresh one can use the others
def test_a_turn_passes_by_who_cannot_use_it(monkeypatch, how, what):
    # it went to a task that had been woken otherwise and not run yet, and the next waited out its time
    lines = Lines(monkeypatch, most=1 if "descriptor" in what else 99)
    peer = lines.peer

    def scene() -> None:
        conn = lines.pools.take(peer, time.monotonic() + LONG)
        if "descriptor" not in what:
            monkeypatch.setattr(pool, "MOST_DIALING", 1)
            lines.held = True
            lines.take("dialing", lines.other if what == "dial" else peer, True)
            lines.round()
        peer_too = lines.other if what == "dial" else peer
        first = lines.take("first", peer_too, how == "fresh")
        lines.round()
        lines.take("second", peer_too)
        lines.round()
        assert "first" not in lines.got and "second" not in lines.got
        if what == "dial":
            lines.held = False
            lines.gate.set()  # who dials runs before the first does
        lines.gone(first, how)
        if what == "descriptor":
            lines.pools.drop(conn)
        elif what != "dial":
            lines.pools.give(peer, conn)
        lines.round(8)
        assert isinstance(lines.got["second"], Connection)
        if how == "late":
            assert isinstance(lines.got["first"], Refused)
        assert (lines.got["second"] is conn) == ("connection" in what)
        lines.held = False
        lines.gate.set()
        lines.round()

    lines.play(scene)


@pytest.mark.parametrize("then", ["refused", "in another line"])
def test_a_turn_to_dial_that_is_not_used_goes_on(monkeypatch, then):
    # the next stood in line beside a free place until its time was up
    lines = Lines(monkeypatch, most=2, dialing=1)
    peer = lines.peer

    def scene() -> None:
        conn = lines.pools.take(lines.other, time.monotonic() + LONG)
        lines.held = True
        lines.take("dialing", peer)
        lines.round()
        first = lines.take("first", peer)
        lines.take("second", peer)
        lines.round()
        if then == "refused":
            peer.failed_at = time.monotonic() + LONG
        lines.held = False
        lines.gate.set()
        lines.round(8)
        if then == "refused":
            assert isinstance(lines.got["first"], Refused) and isinstance(lines.got["second"], Refused)
            return
        lines.gone(first, "interrupted")  # it waited for a descriptor by now
        lines.round()
        lines.pools.drop(conn)
        lines.round(8)
        assert isinstance(lines.got["second"], Connection)

    lines.play(scene)


def until(lines: Lines, true) -> None:
    end = time.monotonic() + LONG
    while not true():
        assert time.monotonic() < end, "did not come true in time"
        lines.hub.sleep(0.005)


@pytest.mark.parametrize("then", ["comes up", "retired", "never"])
def test_beside_a_slow_dial_another_is_tried_and_neither_is_wasted(monkeypatch, then):
    # one packet lost on the way refused all requests to a sound engine for a moment, and counted against it
    lines = Lines(monkeypatch, connect_for=0.1)
    monkeypatch.setattr(pool, "UP_LATEST", 1.5 if then == "never" else LONG)
    pools, peer = lines.pools, lines.peer

    def scene() -> None:
        lines.plan = [True]
        conn = pools.take(peer, time.monotonic() + LONG)
        assert lines.dials == 2 and (pools.count, peer.dialing) == (2, 1) and peer.failed_at < 0
        if then == "comes up":
            lines.gate.set()
        elif then == "retired":
            peer.retired = True
            pools.retire(peer)
        until(lines, lambda: not peer.dialing)
        lines.round()
        assert pools.count == 1 + len(peer.idle) and len(peer.idle) == (then == "comes up")
        assert not pools.late and conn.open

    lines.play(scene)


@pytest.mark.parametrize("well", [True, False])
def test_an_engine_that_is_not_there_costs_two_dials_once_and_then_one(monkeypatch, well):
    lines = Lines(monkeypatch, connect_for=0.1)
    pools, peer = lines.pools, lines.peer

    def refused() -> Refused:
        with pytest.raises(Refused) as found:
            pools.take(peer, time.monotonic() + LONG)
        lines.round()
        assert pools.count == peer.dialing == 0
        return found.value

    def scene() -> None:
        if well:
            pools.drop(pools.take(peer, time.monotonic() + LONG))
        before, lines.held, began = lines.dials, True, time.monotonic()
        assert not refused().exhausted and time.monotonic() - began >= 0.2
        monkeypatch.setattr(pool, "AFTER_FAILURE", LONG)
        assert lines.dials == before + 2 and "just now" in str(refused())
        monkeypatch.setattr(pool, "AFTER_FAILURE", 0.0)
        refused()
        assert lines.dials == before + 3
        lines.held = False
        pools.drop(pools.take(peer, time.monotonic() + LONG))
        lines.held = True
        refused()
        assert lines.dials == before + 6  # it had come up since

    lines.play(scene)


def test_a_dial_proves_nothing_that_had_less_than_its_time(monkeypatch):
    # the last milliseconds of a request refused those of all others for a tenth of a second
    lines = Lines(monkeypatch, connect_for=LONG)

    def scene() -> None:
        lines.held = True
        lines.take("short", lines.peer, within=0.05)
        until(lines, lambda: "short" in lines.got)
        lines.held = False
        assert lines.pools.take(lines.peer, time.monotonic() + LONG).open

    lines.play(scene)


def test_dials_that_fail_beside_others_that_come_up_are_not_the_engines_fault(monkeypatch):
    lines = Lines(monkeypatch, connect_for=LONG)

    def scene() -> None:
        lines.plan = [True, False, True]
        task = lines.take("slow", lines.peer, fresh=True)
        lines.round()
        assert lines.pools.take(lines.peer, time.monotonic() + LONG).open
        for _ in range(2):  # its times are up
            lines.gone(task, "late")
            lines.round()
        assert lines.dials == 3 and isinstance(lines.got["slow"], Refused) and lines.got["slow"].exhausted
        assert lines.pools.take(lines.peer, time.monotonic() + LONG).open

    lines.play(scene)


@pytest.mark.parametrize("how", ["interrupted", "late", "up"])
def test_what_comes_up_in_the_moment_in_which_its_taker_is_woken_otherwise_is_kept(monkeypatch, how):
    lines = Lines(monkeypatch, connect_for=LONG)
    pools, peer = lines.pools, lines.peer

    def scene() -> None:
        lines.held = True
        if how == "up":
            pools.connect_for = 0.05
        task = lines.take("one", peer)
        if how == "up":  # both at once
            until(lines, lambda: lines.dials == 2)
        lines.round()
        lines.gate.set()
        lines.gone(task, how)
        lines.round()
        taken = sum(isinstance(got, Connection) for got in lines.got.values())
        assert taken == (how != "interrupted") and lines.dials == (2 if how == "up" else 1)
        assert pools.count == taken + len(peer.idle) == lines.dials and not pools.late
        assert peer.dialing == 0

    lines.play(scene)


def test_a_taker_that_is_interrupted_leaves_no_dial(monkeypatch):
    lines = Lines(monkeypatch, connect_for=0.05)

    def scene() -> None:
        lines.held = True
        task = lines.take("one", lines.peer)
        until(lines, lambda: lines.dials == 2)
        lines.gone(task, "interrupted")
        lines.round()
        assert lines.pools.count == lines.peer.dialing == 0 and not lines.pools.late

    lines.play(scene)


@pytest.mark.parametrize("interrupted", [False, True])
def test_after_an_answer_that_nobody_asked_for_a_connection_settles_before_the_next_call(
    monkeypatch, interrupted
):
    lines = Lines(monkeypatch, dialing=1)
    monkeypatch.setattr(pool, "SETTLE", 1.5 if interrupted else 0.1)
    pools, peer = lines.pools, lines.peer

    def scene() -> None:
        conn, first = lines.first_in_line()
        lines.take("second", peer)
        lines.round()
        pools.odd_at, given = time.monotonic(), time.monotonic()
        pools.give(peer, conn)
        lines.round()
        assert "first" not in lines.got or time.monotonic() > given + pool.SETTLE
        if interrupted:
            lines.gone(first, "interrupted")
        name = "second" if interrupted else "first"
        until(lines, lambda: name in lines.got)
        assert lines.got[name] is conn and time.monotonic() >= given + pool.SETTLE
        lines.held = False
        lines.gate.set()
        until(lines, lambda: "second" in lines.got)
        lines.round()

    lines.play(scene)


@pytest.mark.parametrize("what", ["retire", "sweep", "news"])
def test_a_connection_that_has_just_been_taken_is_its_takers_alone(monkeypatch, what):
    lines = Lines(monkeypatch, dialing=1)
    pools, peer = lines.pools, lines.peer

    def scene() -> None:
        conn, _ = lines.first_in_line()
        pools.give(peer, conn)  # on its way to the first, which has not run yet
        if what == "retire":
            peer.state = EngineState.DRAINING
            pools.retire(peer)
        elif what == "sweep":
            pools.idle_for = 0.0
            pools._sweep()
        else:
            lines.ends[0].close()
            until(lines, lambda: conn.peer_closed())
        lines.round()
        if what == "news":  # looked at by its taker
            assert not conn.open
        else:
            assert lines.got["first"] is conn and conn.open
            pools.give(peer, conn)
            assert conn.open == (what == "sweep")
        lines.held = False
        lines.gate.set()
        until(lines, lambda: "first" in lines.got)
        lines.round()

    lines.play(scene)
