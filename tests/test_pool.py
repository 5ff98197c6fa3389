"""Lines for connections: a turn reaches who still waits, whatever becomes of those before."""
from __future__ import annotations

import socket
import time

import pytest

from aspenrill.api import EngineState
from aspenrill.core.books import Peer
from aspenrill.engines import pool
from aspenrill.net.conn import Connection, Refused
from aspenrill.net.hub import LATE, Hub, Signal
from standins.scene import play

LONG = 20.0  # seconds that nobody waits for in a run that goes well


class Lines:
    """Pools whose dials wait for a word of the test: `up` lets those that are out come up."""

    def __init__(self, monkeypatch, most: int = 99, dialing: int = 99, connect_for: float = LONG) -> None:
        self.hub, self.dials, self.got, self.ends = Hub(lambda text: None), 0, {}, []
        self.gate, self.held, self.verdicts = Signal(self.hub), False, []
        self.pools = pool.Pools(self.hub, most, 30.0, connect_for)
        self.peer, self.other = (Peer(name, (name, 1), EngineState.LIVE) for name in "ab")
        monkeypatch.setattr(pool, "MOST_DIALING", dialing)
        monkeypatch.setattr(pool, "connect", self.connect)

    def connect(self, hub, address, until) -> Connection:
        self.dials += 1
        if self.held:
            self.gate.wait(max(0.001, until - time.monotonic()))
        if self.verdicts:
            raise self.verdicts.pop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            self.ends.append(listener.accept()[0])  # the engine's end stays open
        return Connection(hub, near)

    def take(self, name: str, peer: Peer, fresh: bool = False):
        """In a task of its own; what it got, or why not, stands under its name."""
        def work() -> None:
            try:
                self.got[name] = self.pools.take(peer, time.monotonic() + LONG, fresh)
            except Refused as why:
                self.got[name] = why
        return self.hub.spawn(work)

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
            self.hub.wake(task.worker, task.worker.wait, LATE)


WHAT = ["connection", "dial", "descriptor", "descriptor or connection"]


@pytest.mark.parametrize("how, what", [
    *[(how, what) for how in ("interrupted", "late") for what in WHAT],
    ("fresh", "connection"), ("fresh", "descriptor or connection")])  # a fresh one can use the others
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
