"""The watchers of discovery under failures, on real sockets and a simulated clock.

The clock advances only while the program waits and no descriptor is ready, so the results don't depend on the
speed of the machine.
"""

from __future__ import annotations

import os
import select
import socket
import struct
import time

import pytest

from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.net.listener import Listener
from aspenrill.resolver.client import Resolver
from aspenrill.roster import bulletin as bulletin_watcher
from aspenrill.roster import dial
from aspenrill.roster.srv import Srv
from aspenrill.wire import bulletin as wire
from standins.scenario import run_scenario
from standins.world import EngineBehaviour, World

UPDATE_TIMEOUT = 7.0  # seconds after which an update counts as known: protocol, "Figures"
SEND_GRACE = 0.5  # seconds after that within which an attempt may still begin
POLL_MS = 2.0  # milliseconds for the kernel to deliver written data


class Poll:
    """Polls real descriptors; if none is ready, advances the clock to the next timer."""

    def __init__(self, clock: Clock) -> None:
        self.clock, self.real = clock, select.poll()
        self.register, self.unregister = self.real.register, self.real.unregister

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        got = self.real.poll(min(POLL_MS, timeout or 0))
        if not got and timeout:
            self.clock.now += timeout / 1000 + 1e-6
        return got


class Clock:
    now = 1e6

    def hub(self, log=lambda text: None) -> Hub:
        hub = Hub(log)
        hub._poll = Poll(self)
        return hub


@pytest.fixture
def clock(monkeypatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(time, "monotonic", lambda: made.now)
    monkeypatch.setattr(time, "time", lambda: made.now)
    return made


class Discovery:
    """A bulletin server. Connections, by number, can be silent or send given bytes first."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.events, self.asked = hub, [], []
        self.first_bytes: dict[int, bytes] = {}
        self.silent_connections: set[int] = set()
        self.silent_up_to = -1  # connections up to this number send nothing any more
        self.listener = Listener(hub, ("127.0.0.1", 0), self.serve, 500, "discovery")

    def publish(self, port: int, state: int) -> None:
        record = wire.ENGINE_RECORD.pack(0, b"\x7f\0\0\1", port, state, 0, 0, 0, 1000, 0)
        number = len(self.events) + 2
        self.events.append(wire.FRAME_HEADER.pack(len(record) + 9, number, wire.CHANGES) + record)

    def serve(self, conn: Connection) -> None:
        me, spoke = len(self.asked), time.monotonic()
        last = struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0]
        self.asked.append(last)
        out = self.first_bytes.get(me, b"")
        while True:
            if self.silent_up_to < me and me not in self.silent_connections:
                out += b"".join(self.events[last - 1 :])
                last = len(self.events) + 1
                if not out and time.monotonic() >= spoke + 1:
                    out = wire.FRAME_HEADER.pack(9, 0, wire.UNCHANGED)
            if out:
                conn.write(out, time.monotonic() + 5)
                out, spoke = b"", time.monotonic()
            self.hub.sleep(0.02)


class ScriptedDials:
    """Delays the connections to discovery by given seconds, None for ever; later ones succeed at once."""

    def __init__(self, monkeypatch) -> None:
        self.delays: list[float | None] = []
        self.out = self.most = 0
        self.real = dial.connect
        monkeypatch.setattr(dial, "connect", self.connect)

    def connect(self, hub: Hub, address: tuple[str, int], until: float) -> Connection:
        delay = self.delays.pop(0) if self.delays else 0.0
        self.out += 1
        self.most = max(self.most, self.out)
        try:
            left = until - time.monotonic()
            hub.sleep(left if delay is None else min(delay, left))
            if delay is None or delay > left:
                raise Refused("no connection in time")
            return self.real(hub, address, until)
        except Closed:
            raise Refused("given up") from None
        finally:
            self.out -= 1


NEVER = None
SLOW_S = 1.5


@pytest.mark.parametrize(
    "delays, silent_connections, first_bytes, move_at",
    [
        (
            [NEVER, SLOW_S, NEVER, SLOW_S],
            {1},
            {},
            None,
        ),  # the longest sum in the docstring of roster/bulletin.py
        ([SLOW_S] * 6, {1}, {}, None),  # all are established late
        ([NEVER, SLOW_S], {1}, {}, 4.7),  # the address changes while the new connection is silent
        ([NEVER, SLOW_S, NEVER, SLOW_S], set(), {}, 3.0),  # the address changes during a dial
        ([NEVER, SLOW_S], set(), {1: "again"}, None),  # repeats the last event, then sends the next one
        ([NEVER, SLOW_S, NEVER, SLOW_S], {1}, {1: "half"}, None),  # half of the event, then nothing
    ],
)
def test_no_attempt_begins_at_a_draining_engine_after_the_grace(
    clock, monkeypatch, delays, silent_connections, first_bytes, move_at
):
    logged: list[str] = []
    hub = clock.hub(logged.append)
    world, scripted_dials = World("thrift", hub=hub), ScriptedDials(monkeypatch)
    world.logged = logged
    old, new = Discovery(hub), Discovery(hub)
    watcher = bulletin_watcher.BulletinWatcher(hub, old.listener.address, 1, world.node.post)
    watcher.start()
    port = world.engines[0].listener.address[1]
    for engine in world.engines:
        engine.behaviour = lambda statement: EngineBehaviour(after=0.01)
    drained, received = [], []

    def move() -> None:
        old.silent_up_to = 10**6  # the old bulletin sends nothing more
        watcher.move(new.listener.address)

    def scenario() -> None:
        world.until(lambda: old.asked)
        old.publish(port, 0)  # the engine is live, as is known: this event is repeated later
        old.silent_connections |= silent_connections
        hub.sleep(1.5)
        assert watcher.last_event == 2
        old.silent_up_to, began = 0, time.monotonic()
        scripted_dials.delays += delays
        old.publish(port, 1)
        new.events = old.events
        payloads = {"again": old.events[0], "half": old.events[1][:20]}
        old.first_bytes |= {number: payloads[what] for number, what in first_bytes.items()}
        drained.append(began)
        client = world.client()
        if move_at is not None:
            hub.timers.after(move_at, move)
        while time.monotonic() < began + UPDATE_TIMEOUT + SEND_GRACE + 1:
            if watcher.last_event == 3 and not received:
                received.append(time.monotonic() - began)
            assert client.request("select 1", 5.0).kind == "served"
            hub.sleep(0.02)

    world.run(scenario)
    for one in (old, new):
        one.listener.close()
    begun = [[at - drained[0] for at, _ in engine.began] for engine in world.engines]
    assert max(begun[0]) > 1.0  # attempts went there until the drain was known
    assert max(begun[0]) < UPDATE_TIMEOUT + SEND_GRACE and received and received[0] < UPDATE_TIMEOUT, (
        max(begun[0]),
        received,
    )
    assert max(begun[1]) > UPDATE_TIMEOUT + SEND_GRACE and scripted_dials.most <= 2


def unresponsive_listener(backlog: list[socket.socket]) -> tuple[str, int]:
    """Return the address of a listener that answers no further SYN, like a host that is down."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    backlog.append(listener)
    for _ in range(8):
        one = socket.socket()
        one.setblocking(False)
        one.connect_ex(listener.getsockname())
        backlog.append(one)
    return listener.getsockname()


def test_dials_do_not_accumulate_while_discovery_is_down_and_leave_nothing_open(clock):
    hub, backlog = clock.hub(), []
    watcher = bulletin_watcher.BulletinWatcher(hub, unresponsive_listener(backlog), 1, lambda news: None)
    counts = []

    def scenario() -> None:
        before = len(os.listdir("/proc/self/fd"))
        watcher.start()
        began = time.monotonic()
        while time.monotonic() < began + 20:
            hub.sleep(0.05)
            counts.append(len(os.listdir("/proc/self/fd")) - before)
        came = Discovery(hub)
        watcher.move(came.listener.address)
        end = time.monotonic() + 2
        while not came.asked and time.monotonic() < end:
            hub.sleep(0.01)
        hub.sleep(0.05)
        counts.append(len(os.listdir("/proc/self/fd")) - before)
        came.listener.close()

    run_scenario(hub, scenario)
    for sock in backlog:
        sock.close()
    # two dials, or the reserved descriptor; at the end the listener and both ends of the connection
    assert max(counts[:-1]) <= 2 and counts[-1] == 3, (max(counts[:-1]), counts[-1])


@pytest.mark.parametrize(
    "delays, expected_s",
    [
        ([0.0], 0.0),
        ([NEVER, 0.0], 0.5),
        ([SLOW_S, NEVER], 1.5),
        ([SLOW_S, 0.2], 0.7),
        ([SLOW_S, 1.0], 1.5),
        ([NEVER, SLOW_S], 2.0),
        ([NEVER, NEVER], 2.1),
    ],
)
def test_the_first_dial_that_succeeds_is_kept_and_the_other_is_closed(clock, monkeypatch, delays, expected_s):
    hub, scripted_dials = clock.hub(), ScriptedDials(monkeypatch)
    scripted_dials.delays = list(delays)
    discovery, took = Discovery(hub), []

    def scenario() -> None:
        began = time.monotonic()
        try:
            conn = dial.Dialer(hub).dial(discovery.listener.address)
            took.append(time.monotonic() - began)
            hub.sleep(3)
            assert len(discovery.listener.connections) == 1 and scripted_dials.out == 0
            conn.close()
        except Refused:
            took.append(time.monotonic() - began)
        discovery.listener.close()

    run_scenario(hub, scenario)
    assert took == [pytest.approx(expected_s, abs=0.1)]
    assert scripted_dials.out == 0


def test_a_bulletin_that_begins_with_the_requested_event_causes_one_reconnect(clock):
    hub, news = clock.hub(), []
    discovery = Discovery(hub)
    discovery.publish(80, 1)
    discovery.first_bytes = dict.fromkeys(range(1000), discovery.events[0])
    watcher = bulletin_watcher.BulletinWatcher(hub, discovery.listener.address, 2, news.append)

    def scenario() -> None:
        watcher.start()
        hub.sleep(10)
        assert len(discovery.asked) == 2
        discovery.publish(80, 2)
        hub.sleep(0.5)
        discovery.listener.close()

    run_scenario(hub, scenario)
    assert discovery.asked == [2, 2] and [one.number for one in news] == [3]


def test_a_bulletin_whose_every_first_frame_is_late_is_still_read(clock):
    hub, news = clock.hub(), []

    def serve(conn: Connection) -> None:
        conn.read(8, time.monotonic() + 5)
        hub.sleep(2.0)
        conn.write(
            wire.FRAME_HEADER.pack(9 + 27, 2, wire.COMPLETE_LIST)
            + wire.ENGINE_RECORD.pack(1, b"\x7f\0\0\1", 80, 0, 0, 0, 0, 1000, 0),
            time.monotonic() + 5,
        )
        hub.sleep(20)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "late")
    watcher = bulletin_watcher.BulletinWatcher(hub, listener.address, 1, news.append)

    def scenario() -> None:
        watcher.start()
        hub.sleep(8)
        listener.close()

    run_scenario(hub, scenario)
    assert [one.number for one in news] == [2]


@pytest.mark.parametrize("error", [ValueError("a fault"), OSError("of the system"), TimedOut()])
def test_no_error_ends_the_watcher(clock, error):
    lines: list[str] = []
    hub, posted = clock.hub(lines.append), []
    discovery = Discovery(hub)
    discovery.publish(80, 1)

    def post(news) -> None:
        posted.append(news.number)
        if len(posted) == 1:
            raise error

    def scenario() -> None:
        bulletin_watcher.BulletinWatcher(hub, discovery.listener.address, 1, post).start()
        hub.sleep(1)
        discovery.publish(80, 2)
        hub.sleep(1)
        discovery.listener.close()

    run_scenario(hub, scenario)
    assert posted == [2, 3]


class Sink:
    """Records a source's reports; the first one may raise an error."""

    def __init__(self, error: Exception | None = None) -> None:
        self.received, self.error = [], error

    def on_list(self, *what) -> None:
        self.received.append("told")
        if self.error is not None:
            error, self.error = self.error, None
            raise error

    def on_failure(self, *what) -> None:
        self.received.append("failed")


def test_a_source_that_is_stopped_during_a_dns_query_reports_nothing_more(clock):
    # The resolver took the interrupt for a closed connection, so the old source went on beside its
    # replacement of the same name and both reported lists.
    hub, sink = clock.hub(), Sink()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.setblocking(False)
        source = Srv(hub, "x", Resolver(hub, [server.getsockname()]), "_x._tcp.test", "ipv4", sink)

        def scenario() -> None:
            source.start()
            while not hub._waits[1]:  # until its query is sent
                hub.sleep(0.01)
            task = source.task
            source.stop()
            hub.sleep(12)
            assert task.done

        run_scenario(hub, scenario)
        assert len(server.recv(512)) > 12 and sink.received == []


def test_an_error_while_handling_a_list_does_not_end_the_source(clock, monkeypatch):
    lines: list[str] = []
    hub, sink = clock.hub(lines.append), Sink(ValueError("a fault"))
    source = Srv(hub, "x", Resolver(hub, [("127.0.0.1", 9)]), "_x._tcp.test", "ipv4", sink)
    monkeypatch.setattr(source, "poll", lambda bypass_cache: ([], time.monotonic(), time.monotonic() + 1))

    def scenario() -> None:
        source.start()
        hub.sleep(3.5)
        source.stop()

    run_scenario(hub, scenario)
    assert sink.received[:3] == ["told", "failed", "told"] and lines[0].startswith("error: source x")
