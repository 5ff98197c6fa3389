"""The connection pool: wake-ups reach tasks that still wait, and one slow dial does not fail an engine."""

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
from standins.scenario import run_scenario

LONG = 20.0  # seconds; a time-out that a passing test never reaches


class PoolScenario:
    """A pool whose dials wait until the test opens `gate`."""

    def __init__(self, monkeypatch, most: int = 99, dialing: int = 99, connect_for: float = LONG) -> None:
        self.hub, self.dials, self.got, self.ends = Hub(lambda text: None), 0, {}, []
        self.gate, self.blocked = Signal(self.hub), False  # blocked dials wait for the gate
        self.plan: list[bool] = []  # the next dials: blocked or not
        self.pools = pool.Pools(self.hub, most, 30.0, connect_for)
        self.peer, self.other = (Peer(name, (name, 1), EngineState.LIVE) for name in "ab")
        monkeypatch.setattr(pool, "MAX_DIALS", dialing)
        monkeypatch.setattr(pool, "connect", self.connect)

    def connect(self, hub, address, until) -> Connection:
        self.dials += 1
        if self.plan.pop(0) if self.plan else self.blocked:
            try:
                self.gate.wait(until - time.monotonic())
            except TimedOut:
                raise Refused("no connection in time") from None
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            self.ends.append(listener.accept()[0])  # the engine's end stays open
        return Connection(hub, near)

    def take(self, name: str, peer: Peer, fresh: bool = False, within: float = LONG):
        """Acquires a connection in a task of its own; the result or error is stored in `got` by name."""

        def work() -> None:
            try:
                self.got[name] = self.pools.acquire(peer, time.monotonic() + within, fresh)
            except Refused as why:
                self.got[name] = why

        return self.hub.spawn(work)

    def first_in_queue(self):
        """Returns a connection in use and the first waiting task, while the only allowed dial is running."""
        conn = self.pools.acquire(self.peer, time.monotonic() + LONG)
        self.blocked = True
        self.take("dialing", self.peer, True)
        self.round()
        first = self.take("first", self.peer)
        self.round()
        return conn, first

    def round(self, times: int = 4) -> None:
        """Lets all ready tasks run."""
        for _ in range(times):
            self.hub.yield_now()

    def play(self, scene) -> None:
        run_scenario(self.hub, scene)
        for sock in self.ends:
            sock.close()

    def end_wait(self, task, how: str) -> None:
        """Ends the wait of a task, which has not run since."""
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
)  # a waiter for a new connection can use the others
def test_a_wakeup_skips_waiters_that_cannot_use_it(monkeypatch, how, what):
    # it went to a task that had been woken for another reason, and the next one waited until its time-out
    scenario = PoolScenario(monkeypatch, most=1 if "descriptor" in what else 99)
    peer = scenario.peer

    def scene() -> None:
        conn = scenario.pools.acquire(peer, time.monotonic() + LONG)
        if "descriptor" not in what:
            monkeypatch.setattr(pool, "MAX_DIALS", 1)
            scenario.blocked = True
            scenario.take("dialing", scenario.other if what == "dial" else peer, True)
            scenario.round()
        peer_too = scenario.other if what == "dial" else peer
        first = scenario.take("first", peer_too, how == "fresh")
        scenario.round()
        scenario.take("second", peer_too)
        scenario.round()
        assert "first" not in scenario.got and "second" not in scenario.got
        if what == "dial":
            scenario.blocked = False
            scenario.gate.set()  # the dialing task runs before the first one
        scenario.end_wait(first, how)
        if what == "descriptor":
            scenario.pools.close(conn)
        elif what != "dial":
            scenario.pools.release(peer, conn)
        scenario.round(8)
        assert isinstance(scenario.got["second"], Connection)
        if how == "late":
            assert isinstance(scenario.got["first"], Refused)
        assert (scenario.got["second"] is conn) == ("connection" in what)
        scenario.blocked = False
        scenario.gate.set()
        scenario.round()

    scenario.play(scene)


@pytest.mark.parametrize("then", ["refused", "in another queue"])
def test_an_unused_opportunity_to_dial_is_passed_on(monkeypatch, then):
    # the next waiter waited until its time-out although a slot was free
    scenario = PoolScenario(monkeypatch, most=2, dialing=1)
    peer = scenario.peer

    def scene() -> None:
        conn = scenario.pools.acquire(scenario.other, time.monotonic() + LONG)
        scenario.blocked = True
        scenario.take("dialing", peer)
        scenario.round()
        first = scenario.take("first", peer)
        scenario.take("second", peer)
        scenario.round()
        if then == "refused":
            peer.failed_at = time.monotonic() + LONG
        scenario.blocked = False
        scenario.gate.set()
        scenario.round(8)
        if then == "refused":
            assert isinstance(scenario.got["first"], Refused) and isinstance(scenario.got["second"], Refused)
            return
        scenario.end_wait(first, "interrupted")  # by now it waits for a slot
        scenario.round()
        scenario.pools.close(conn)
        scenario.round(8)
        assert isinstance(scenario.got["second"], Connection)

    scenario.play(scene)


def until(scenario: PoolScenario, true) -> None:
    end = time.monotonic() + LONG
    while not true():
        assert time.monotonic() < end, "did not come true in time"
        scenario.hub.sleep(0.005)


@pytest.mark.parametrize("then", ["comes up", "retired", "never"])
def test_a_second_dial_runs_beside_a_slow_one_and_both_are_used(monkeypatch, then):
    # one lost packet refused all requests to a healthy engine for a moment and counted as its failure
    scenario = PoolScenario(monkeypatch, connect_for=0.1)
    monkeypatch.setattr(pool, "LATE_DIAL_TIMEOUT", 1.5 if then == "never" else LONG)
    pools, peer = scenario.pools, scenario.peer

    def scene() -> None:
        scenario.plan = [True]
        conn = pools.acquire(peer, time.monotonic() + LONG)
        assert scenario.dials == 2 and (pools.count, peer.connecting) == (2, 1) and peer.failed_at < 0
        if then == "comes up":
            scenario.gate.set()
        elif then == "retired":
            peer.retired = True
            pools.retire(peer)
        until(scenario, lambda: not peer.connecting)
        scenario.round()
        assert pools.count == 1 + len(peer.idle) and len(peer.idle) == (then == "comes up")
        assert not pools.late_dials and conn.open

    scenario.play(scene)


@pytest.mark.parametrize("well", [True, False])
def test_an_unreachable_engine_costs_two_dials_once_and_then_one(monkeypatch, well):
    scenario = PoolScenario(monkeypatch, connect_for=0.1)
    pools, peer = scenario.pools, scenario.peer

    def refused() -> Refused:
        with pytest.raises(Refused) as found:
            pools.acquire(peer, time.monotonic() + LONG)
        scenario.round()
        assert pools.count == peer.connecting == 0
        return found.value

    def scene() -> None:
        if well:
            pools.close(pools.acquire(peer, time.monotonic() + LONG))
        before, scenario.blocked, began = scenario.dials, True, time.monotonic()
        assert not refused().exhausted and time.monotonic() - began >= 0.2
        monkeypatch.setattr(pool, "FAILURE_BACKOFF", LONG)
        assert scenario.dials == before + 2 and "just now" in str(refused())
        monkeypatch.setattr(pool, "FAILURE_BACKOFF", 0.0)
        refused()
        assert scenario.dials == before + 3
        scenario.blocked = False
        pools.close(pools.acquire(peer, time.monotonic() + LONG))
        scenario.blocked = True
        refused()
        assert scenario.dials == before + 6  # it has been reached since

    scenario.play(scene)


def test_a_dial_cut_short_by_its_request_proves_nothing(monkeypatch):
    # a request in its last milliseconds caused all others to be refused for a tenth of a second
    scenario = PoolScenario(monkeypatch, connect_for=LONG)

    def scene() -> None:
        scenario.blocked = True
        scenario.take("short", scenario.peer, within=0.05)
        until(scenario, lambda: "short" in scenario.got)
        scenario.blocked = False
        assert scenario.pools.acquire(scenario.peer, time.monotonic() + LONG).open

    scenario.play(scene)


def test_dials_that_fail_beside_successful_ones_do_not_count_against_the_engine(monkeypatch):
    scenario = PoolScenario(monkeypatch, connect_for=LONG)

    def scene() -> None:
        scenario.plan = [True, False, True]
        task = scenario.take("slow", scenario.peer, fresh=True)
        scenario.round()
        assert scenario.pools.acquire(scenario.peer, time.monotonic() + LONG).open
        for _ in range(2):  # both its time-outs pass
            scenario.end_wait(task, "late")
            scenario.round()
        assert (
            scenario.dials == 3
            and isinstance(scenario.got["slow"], Refused)
            and scenario.got["slow"].exhausted
        )
        assert scenario.pools.acquire(scenario.peer, time.monotonic() + LONG).open

    scenario.play(scene)


@pytest.mark.parametrize("how", ["interrupted", "late", "up"])
def test_a_connection_established_as_its_task_is_woken_otherwise_is_kept(monkeypatch, how):
    scenario = PoolScenario(monkeypatch, connect_for=LONG)
    pools, peer = scenario.pools, scenario.peer

    def scene() -> None:
        scenario.blocked = True
        if how == "up":
            pools.connect_for = 0.05
        task = scenario.take("one", peer)
        if how == "up":  # both at once
            until(scenario, lambda: scenario.dials == 2)
        scenario.round()
        scenario.gate.set()
        scenario.end_wait(task, how)
        scenario.round()
        taken = sum(isinstance(got, Connection) for got in scenario.got.values())
        assert taken == (how != "interrupted") and scenario.dials == (2 if how == "up" else 1)
        assert pools.count == taken + len(peer.idle) == scenario.dials and not pools.late_dials
        assert peer.connecting == 0

    scenario.play(scene)


def test_an_interrupted_task_leaves_no_dial(monkeypatch):
    scenario = PoolScenario(monkeypatch, connect_for=0.05)

    def scene() -> None:
        scenario.blocked = True
        task = scenario.take("one", scenario.peer)
        until(scenario, lambda: scenario.dials == 2)
        scenario.end_wait(task, "interrupted")
        scenario.round()
        assert scenario.pools.count == scenario.peer.connecting == 0 and not scenario.pools.late_dials

    scenario.play(scene)


@pytest.mark.parametrize("interrupted", [False, True])
def test_after_unexpected_data_a_connection_settles_before_the_next_call(monkeypatch, interrupted):
    scenario = PoolScenario(monkeypatch, dialing=1)
    monkeypatch.setattr(pool, "SETTLE_TIME", 1.5 if interrupted else 0.1)
    pools, peer = scenario.pools, scenario.peer

    def scene() -> None:
        conn, first = scenario.first_in_queue()
        scenario.take("second", peer)
        scenario.round()
        pools.unexpected_at, given = time.monotonic(), time.monotonic()
        pools.release(peer, conn)
        scenario.round()
        assert "first" not in scenario.got or time.monotonic() > given + pool.SETTLE_TIME
        if interrupted:
            scenario.end_wait(first, "interrupted")
        name = "second" if interrupted else "first"
        until(scenario, lambda: name in scenario.got)
        assert scenario.got[name] is conn and time.monotonic() >= given + pool.SETTLE_TIME
        scenario.blocked = False
        scenario.gate.set()
        until(scenario, lambda: "second" in scenario.got)
        scenario.round()

    scenario.play(scene)


@pytest.mark.parametrize("what", ["retire", "expiry", "event"])
def test_a_connection_handed_to_a_task_is_not_touched_by_others(monkeypatch, what):
    scenario = PoolScenario(monkeypatch, dialing=1)
    pools, peer = scenario.pools, scenario.peer

    def scene() -> None:
        conn, _ = scenario.first_in_queue()
        pools.release(peer, conn)  # handed to the first task, which has not run yet
        if what == "retire":
            peer.state = EngineState.DRAINING
            pools.retire(peer)
        elif what == "expiry":
            pools.idle_for = 0.0
            pools._close_expired()
        else:
            scenario.ends[0].close()
            until(scenario, lambda: conn.peer_closed())
        scenario.round()
        if what == "event":  # checked by its task
            assert not conn.open
        else:
            assert scenario.got["first"] is conn and conn.open
            pools.release(peer, conn)
            assert conn.open == (what == "expiry")
        scenario.blocked = False
        scenario.gate.set()
        until(scenario, lambda: "first" in scenario.got)
        scenario.round()

    scenario.play(scene)
