"""The watch on discovery through all that can go wrong with it, on real sockets and a clock of its own.

It moves on only where the program waits and no descriptor has news: verdicts don't hang on the machine.
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
from aspenrill.roster import bulletin as follower
from aspenrill.roster import dial
from aspenrill.roster.srv import Srv
from aspenrill.wire import bulletin as wire
from standins.scene import play
from standins.world import Act, World

TOLD, GRACE = 7.0, 0.5  # seconds: protocol, "Figures", and how long after that a send may begin
SETTLE = 2.0  # milliseconds that the kernel gets to bring what was written


class Poll:
    """Descriptors as they are; where none has news, time moves on to the next timer."""

    def __init__(self, clock: Clock) -> None:
        self.clock, self.real = clock, select.poll()
        self.register, self.unregister = self.real.register, self.real.unregister

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        got = self.real.poll(min(SETTLE, timeout or 0))
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
    """A bulletin. By the number of the connection: mute from its start, or what it says first."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.events, self.asked = hub, [], []
        self.first: dict[int, bytes] = {}
        self.mute: set[int] = set()
        self.silent = -1  # connections up to this one say nothing any more
        self.listener = Listener(hub, ("127.0.0.1", 0), self.serve, 500, "discovery")

    def tell(self, port: int, state: int) -> None:
        record = wire.RECORD.pack(0, b"\x7f\0\0\1", port, state, 0, 0, 0, 1000, 0)
        number = len(self.events) + 2
        self.events.append(wire.HEAD.pack(len(record) + 9, number, wire.CHANGES) + record)

    def serve(self, conn: Connection) -> None:
        me, spoke = len(self.asked), time.monotonic()
        last = struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0]
        self.asked.append(last)
        out = self.first.get(me, b"")
        while True:
            if self.silent < me and me not in self.mute:
                out += b"".join(self.events[last - 1 :])
                last = len(self.events) + 1
                if not out and time.monotonic() >= spoke + 1:
                    out = wire.HEAD.pack(9, 0, wire.NOTHING)
            if out:
                conn.write(out, time.monotonic() + 5)
                out, spoke = b"", time.monotonic()
            self.hub.sleep(0.02)


class Dials:
    """How connections to discovery come up: after so many seconds, or never (None); then all at once."""

    def __init__(self, monkeypatch) -> None:
        self.fates: list[float | None] = []
        self.out = self.most = 0
        self.real = dial.connect
        monkeypatch.setattr(dial, "connect", self.connect)

    def connect(self, hub: Hub, address: tuple[str, int], until: float) -> Connection:
        fate = self.fates.pop(0) if self.fates else 0.0
        self.out += 1
        self.most = max(self.most, self.out)
        try:
            left = until - time.monotonic()
            hub.sleep(left if fate is None else min(fate, left))
            if fate is None or fate > left:
                raise Refused("no connection in time")
            return self.real(hub, address, until)
        except Closed:
            raise Refused("given up") from None
        finally:
            self.out -= 1


LOST, LATE = None, 1.5


@pytest.mark.parametrize(
    "fates, mute, first, moves",
    [
        ([LOST, LATE, LOST, LATE], {1}, {}, None),  # the worst sum of the module's docstring
        ([LATE] * 6, {1}, {}, None),  # all come up late
        ([LOST, LATE], {1}, {}, 4.7),  # moves while the new connection is mute
        ([LOST, LATE, LOST, LATE], set(), {}, 3.0),  # moves in the middle of a dial
        ([LOST, LATE], set(), {1: "again"}, None),  # says the last event once more, then what follows
        ([LOST, LATE, LOST, LATE], {1}, {1: "half"}, None),  # half of the event, then nothing
    ],
)
def test_nothing_begins_at_a_draining_engine_after_the_grace(clock, monkeypatch, fates, mute, first, moves):
    logged: list[str] = []
    hub = clock.hub(logged.append)
    world, dials = World("thrift", hub=hub), Dials(monkeypatch)
    world.logged = logged
    old, new = Discovery(hub), Discovery(hub)
    watch = follower.Bulletin(hub, old.listener.address, 1, world.node.post)
    watch.start()
    port = world.engines[0].listener.address[1]
    for engine in world.engines:
        engine.act = lambda statement: Act(after=0.01)
    drained, heard = [], []

    def move() -> None:
        old.silent = 10**6  # the old one tells nothing more
        watch.move(new.listener.address)

    def scene() -> None:
        world.until(lambda: old.asked)
        old.tell(port, 0)  # it takes work, as is known: the event that is told again
        old.mute |= mute
        hub.sleep(1.5)
        assert watch.last == 2
        old.silent, began = 0, time.monotonic()
        dials.fates += fates
        old.tell(port, 1)
        new.events = old.events
        words = {"again": old.events[0], "half": old.events[1][:20]}
        old.first |= {number: words[what] for number, what in first.items()}
        drained.append(began)
        client = world.client()
        if moves is not None:
            hub.timers.after(moves, move)
        while time.monotonic() < began + TOLD + GRACE + 1:
            if watch.last == 3 and not heard:
                heard.append(time.monotonic() - began)
            assert client.ask("select 1", 5.0).kind == "served"
            hub.sleep(0.02)

    world.run(scene)
    for one in (old, new):
        one.listener.close()
    begun = [[at - drained[0] for at, _ in engine.began] for engine in world.engines]
    assert max(begun[0]) > 1.0  # work did go there as long as nothing was known
    assert max(begun[0]) < TOLD + GRACE and heard and heard[0] < TOLD, (max(begun[0]), heard)
    assert max(begun[1]) > TOLD + GRACE and dials.most <= 2


def full(backlog: list[socket.socket]) -> tuple[str, int]:
    """The address of a listener that answers no further SYN, as a lost machine does."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    backlog.append(listener)
    for _ in range(8):
        one = socket.socket()
        one.setblocking(False)
        one.connect_ex(listener.getsockname())
        backlog.append(one)
    return listener.getsockname()


def test_dials_do_not_pile_up_while_discovery_is_down_and_leave_nothing_open(clock):
    hub, backlog = clock.hub(), []
    watch = follower.Bulletin(hub, full(backlog), 1, lambda news: None)
    counts = []

    def scene() -> None:
        before = len(os.listdir("/proc/self/fd"))
        watch.start()
        began = time.monotonic()
        while time.monotonic() < began + 20:
            hub.sleep(0.05)
            counts.append(len(os.listdir("/proc/self/fd")) - before)
        came = Discovery(hub)
        watch.move(came.listener.address)
        end = time.monotonic() + 2
        while not came.asked and time.monotonic() < end:
            hub.sleep(0.01)
        hub.sleep(0.05)
        counts.append(len(os.listdir("/proc/self/fd")) - before)
        came.listener.close()

    play(hub, scene)
    for sock in backlog:
        sock.close()
    # two dials, or the one that is kept back; at the end the listener and both ends of the connection
    assert max(counts[:-1]) <= 2 and counts[-1] == 3, (max(counts[:-1]), counts[-1])


@pytest.mark.parametrize(
    "fates, takes",
    [
        ([0.0], 0.0),
        ([LOST, 0.0], 0.5),
        ([LATE, LOST], 1.5),
        ([LATE, 0.2], 0.7),
        ([LATE, 1.0], 1.5),
        ([LOST, LATE], 2.0),
        ([LOST, LOST], 2.1),
    ],
)
def test_the_first_dial_that_comes_up_is_kept_and_the_other_is_closed(clock, monkeypatch, fates, takes):
    hub, dials = clock.hub(), Dials(monkeypatch)
    dials.fates = list(fates)
    discovery, took = Discovery(hub), []

    def scene() -> None:
        began = time.monotonic()
        try:
            conn = dial.Dialer(hub).up(discovery.listener.address)
            took.append(time.monotonic() - began)
            hub.sleep(3)
            assert len(discovery.listener.connections) == 1 and dials.out == 0
            conn.close()
        except Refused:
            took.append(time.monotonic() - began)
        discovery.listener.close()

    play(hub, scene)
    assert took == [pytest.approx(takes, abs=0.1)]
    assert dials.out == 0


def test_a_bulletin_that_begins_with_the_event_asked_with_is_asked_again_once_and_then_followed(clock):
    hub, news = clock.hub(), []
    discovery = Discovery(hub)
    discovery.tell(80, 1)
    discovery.first = dict.fromkeys(range(1000), discovery.events[0])
    watch = follower.Bulletin(hub, discovery.listener.address, 2, news.append)

    def scene() -> None:
        watch.start()
        hub.sleep(10)
        assert len(discovery.asked) == 2
        discovery.tell(80, 2)
        hub.sleep(0.5)
        discovery.listener.close()

    play(hub, scene)
    assert discovery.asked == [2, 2] and [one.number for one in news] == [3]


def test_a_bulletin_whose_every_word_is_late_is_heard_all_the_same(clock):
    hub, news = clock.hub(), []

    def serve(conn: Connection) -> None:
        conn.read(8, time.monotonic() + 5)
        hub.sleep(2.0)
        conn.write(
            wire.HEAD.pack(9 + 27, 2, wire.WHOLE)
            + wire.RECORD.pack(1, b"\x7f\0\0\1", 80, 0, 0, 0, 0, 1000, 0),
            time.monotonic() + 5,
        )
        hub.sleep(20)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "late")
    watch = follower.Bulletin(hub, listener.address, 1, news.append)

    def scene() -> None:
        watch.start()
        hub.sleep(8)
        listener.close()

    play(hub, scene)
    assert [one.number for one in news] == [2]


@pytest.mark.parametrize("error", [ValueError("a fault"), OSError("of the system"), TimedOut()])
def test_no_error_ends_the_watch(clock, error):
    lines: list[str] = []
    hub, posted = clock.hub(lines.append), []
    discovery = Discovery(hub)
    discovery.tell(80, 1)

    def post(news) -> None:
        posted.append(news.number)
        if len(posted) == 1:
            raise error

    def scene() -> None:
        follower.Bulletin(hub, discovery.listener.address, 1, post).start()
        hub.sleep(1)
        discovery.tell(80, 2)
        hub.sleep(1)
        discovery.listener.close()

    play(hub, scene)
    assert posted == [2, 3]


class Sink:
    """What a source tells; the first of it may meet an error."""

    def __init__(self, error: Exception | None = None) -> None:
        self.heard, self.error = [], error

    def told(self, *what) -> None:
        self.heard.append("told")
        if self.error is not None:
            error, self.error = self.error, None
            raise error

    def failed(self, *what) -> None:
        self.heard.append("failed")


def test_a_source_that_is_stopped_while_its_question_is_out_tells_nothing_more(clock):
    # the resolver takes what interrupts it for the end of a connection: two of one name told lists in turn
    hub, sink = clock.hub(), Sink()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.setblocking(False)
        source = Srv(hub, "x", Resolver(hub, [server.getsockname()]), "_x._tcp.test", "ipv4", sink)

        def scene() -> None:
            source.start()
            while not hub._waits[1]:  # until its question is out
                hub.sleep(0.01)
            task = source.task
            source.stop()
            hub.sleep(12)
            assert task.dead

        play(hub, scene)
        assert len(server.recv(512)) > 12 and sink.heard == []


def test_an_error_in_what_a_source_tells_does_not_end_it(clock, monkeypatch):
    lines: list[str] = []
    hub, sink = clock.hub(lines.append), Sink(ValueError("a fault"))
    source = Srv(hub, "x", Resolver(hub, [("127.0.0.1", 9)]), "_x._tcp.test", "ipv4", sink)
    monkeypatch.setattr(source, "look", lambda anew: ([], time.monotonic(), time.monotonic() + 1))

    def scene() -> None:
        source.start()
        hub.sleep(3.5)
        source.stop()

    play(hub, scene)
    assert sink.heard[:3] == ["told", "failed", "told"] and lines[0].startswith("error: source x")
