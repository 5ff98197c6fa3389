"""Where the list of engines comes from: the bulletin's frames, and DNS-SD records of a stand-in resolver."""
from __future__ import annotations

import socket
import struct
import time

import pytest

from aspenrill.api import EngineState
from aspenrill.net.conn import Connection
from aspenrill.net.hub import READ, Hub
from aspenrill.net.listener import Listener
from aspenrill.roster import bulletin as follower
from aspenrill.roster.dnssd import DnsSd, properties
from aspenrill.wire import bulletin, dns

SERVICE = ("_tds", "_tcp", "x", "local")


def play(hub: Hub, scene) -> None:
    failure = []

    def run():
        try:
            scene()
        except BaseException as why:
            failure.append(why)
        hub.stop()

    hub.spawn(run)
    hub.run()
    if failure:
        raise failure[0]


def until(hub: Hub, true, within: float = 8.0) -> None:
    end = time.monotonic() + within
    while not true():
        assert time.monotonic() < end, "did not come true in time"
        hub.sleep(0.01)


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return bulletin.HEAD.pack(len(payload) + 9, number, kind) + payload


RECORD = struct.pack(">I4sHBBBHIQ", 1, bytes([127, 0, 0, 1]), 80, 1, 0, 0, 0, 1000, 0)


def test_the_bulletin_is_followed_from_the_last_event_over_silence_breaks_and_gaps(monkeypatch):
    # news of a drain must not be missed by a connection that has fallen silent, nor be told twice
    monkeypatch.setattr(follower, "SILENT", 0.3)
    hub, greetings, news = Hub(lambda text: None), [], []
    says = [frame(5, 2, RECORD) + frame(5, 0), b"", frame(5, 2, RECORD) + frame(6, 2, RECORD)[:11],
            frame(6, 2, RECORD) + frame(9, 2, RECORD), frame(9, 1, RECORD)]

    def serve(conn: Connection) -> None:
        greetings.append(struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0])
        conn.write(says[min(len(greetings), len(says)) - 1], time.monotonic() + 5)
        if len(greetings) == 3:
            return
        hub.sleep(1.0)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "bulletin")
    hub.spawn(follower.Bulletin(hub, listener.address, 4, news.append).run)
    play(hub, lambda: until(hub, lambda: len(news) == 3))
    assert [n.number for n in news] == [5, 6, 9] and news[0].members[0].state is EngineState.DRAINING
    assert greetings[:5] == [4, 5, 5, 5, 6]


def test_a_repeat_makes_it_ask_again_at_once():
    # a bulletin that tells an event twice may have left out the one that belongs there
    hub, greetings, news = Hub(lambda text: None), [], []

    def serve(conn: Connection) -> None:
        greetings.append(struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0])
        says = frame(5, 2, RECORD) * 2 if len(greetings) == 1 else frame(6, 2, RECORD)
        conn.write(says, time.monotonic() + 5)
        hub.sleep(5)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "bulletin")
    follower.Bulletin(hub, listener.address, 4, news.append).start()
    play(hub, lambda: until(hub, lambda: len(news) == 2, 2))
    assert greetings == [4, 5] and [n.number for n in news] == [5, 6]


def test_a_bulletin_that_moves_is_asked_at_once_with_the_numbers_going_on():
    # the old one tells nothing any more: what it had to tell would be missed until it closes
    hub, asked, news = Hub(lambda text: None), [], []

    def serving(name: str):
        def serve(conn: Connection) -> None:
            number = struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0]
            asked.append((name, number))
            conn.write(frame(number + 1, 2, RECORD), time.monotonic() + 5)
            conn.read(1, None)
        return Listener(hub, ("127.0.0.1", 0), serve, 10, name)

    old, new = serving("old"), serving("new")
    bulletin_ = follower.Bulletin(hub, old.address, 4, news.append)
    bulletin_.start()

    def scene():
        until(hub, lambda: len(news) == 1)
        bulletin_.move(new.address)
        until(hub, lambda: len(news) == 2, 1.0)
        until(hub, lambda: not old.connections, 1.0)
        new.close()  # and it can move while none comes up
        for conn in list(new.connections):
            conn.close()
        hub.sleep(0.05)
        bulletin_.move(old.address)
        until(hub, lambda: len(news) == 3, 1.0)
    play(hub, scene)
    assert asked == [("old", 4), ("new", 5), ("old", 6)]


class Resolver:
    """Answers from a table, by datagram or, where told, by stream; may keep silent or fail."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.asked, self.mode = hub, [], "ok"
        self.records: list[dns.Record] = []
        self.listener = Listener(hub, ("127.0.0.1", 0), self.stream, 5, "resolver")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(self.listener.address)
        self.sock.setblocking(False)
        hub.spawn(self.run)

    def answer(self, query: bytes, truncated: bool = False) -> bytes:
        number = struct.unpack_from(">H", query)[0]
        reader = dns._Reader(query)
        reader.at = 12
        name = reader.name()
        kind = reader.take(">HH")[0]
        self.asked.append((name, kind))
        rows = [r for r in self.records if r.name == name and r.kind == kind]
        return dns.response(number, name, kind, [] if truncated else rows, truncated=truncated,
                            code=2 if self.mode == "fail" else 0)

    def run(self) -> None:
        while True:
            self.hub.wait_fd(self.sock.fileno(), READ, None)
            query, who = self.sock.recvfrom(4096)
            if self.mode != "silent":
                self.sock.sendto(b"\0" * 3, who)  # not an answer: passed over
                self.sock.sendto(self.answer(query, self.mode == "stream"), who)

    def stream(self, conn: Connection) -> None:
        size = int.from_bytes(conn.read(2, time.monotonic() + 5), "big")
        data = self.answer(conn.read(size, time.monotonic() + 5))
        conn.write(len(data).to_bytes(2, "big") + data, time.monotonic() + 5)

    def put(self, *ports: int, ttl: int = 1, text: str = "kind=big") -> None:
        self.records = []
        for port in ports:
            instance, host = (f"e.{port}", *SERVICE), (f"h{port}", "local")
            self.records += [dns.Record(SERVICE, dns.PTR, ttl, instance),
                             dns.Record(instance, dns.SRV, ttl, (0, 0, port, host)),
                             dns.Record(instance, dns.TXT, ttl, (text, "zone=1")),
                             dns.Record(host, dns.A, ttl, "127.0.0.1")]


@pytest.mark.parametrize("mode", ["ok", "stream"])
def test_engines_come_from_records_and_their_changes_are_seen(mode):
    # TTLs are kept: not asked again before they run out, and then asked
    hub, news = Hub(lambda text: None), []
    resolver = Resolver(hub)
    resolver.mode = mode
    resolver.put(1433, 1434)
    finder = DnsSd(hub, resolver.listener.address, "_tds._tcp.x.local", ("small", "big"), news.append)
    hub.spawn(finder.run)

    def scene():
        until(hub, lambda: news)
        members = news[0].members
        assert [(m.engine, m.address, m.kind, m.zone, m.started) for m in members] == [
            ("e\\.1433._tds._tcp.x.local", ("127.0.0.1", 1433), 1, 1, 0.0),
            ("e\\.1434._tds._tcp.x.local", ("127.0.0.1", 1434), 1, 1, 0.0)]
        count = len(resolver.asked)
        hub.sleep(0.5)
        assert len(resolver.asked) == count
        resolver.put(1434, 1435, text="state=draining")
        until(hub, lambda: len(news) == 2)
        later = news[1].members
        assert [m.address[1] for m in later] == [1434, 1435] and news[1].whole
        assert all(m.state is EngineState.DRAINING for m in later)
        assert later[0].started == 0 and time.time() - later[1].started < 5  # a new one is cold
    play(hub, scene)


@pytest.mark.parametrize("mode", ["silent", "fail"])
def test_the_last_list_stays_when_the_resolver_fails(mode, monkeypatch):
    # an outage of the resolver must not take the engines away
    monkeypatch.setattr("aspenrill.roster.dnssd.ASK_FOR", 0.1)
    hub, news, logged = Hub(lambda text: logged.append(text)), [], []
    resolver = Resolver(hub)
    resolver.put(1433)
    hub.spawn(DnsSd(hub, resolver.listener.address, "_tds._tcp.x.local", ("big",), news.append).run)

    def scene():
        until(hub, lambda: news)
        resolver.mode = mode
        until(hub, lambda: any("last list stays" in text for text in logged))
        assert len(news) == 1
        resolver.mode = "ok"
        resolver.put(1433, 1434)
        until(hub, lambda: len(news) == 2)
    play(hub, scene)


def test_records_that_are_elsewhere_now_are_asked_for_at_once():
    # a new resolver in the file must not wait for the old records to run out
    hub, news = Hub(lambda text: None), []
    old, new = Resolver(hub), Resolver(hub)
    old.put(1433, ttl=3600)
    new.put(1434)
    finder = DnsSd(hub, old.listener.address, "_tds._tcp.x.local", ("big",), news.append)
    finder.start()

    def scene():
        until(hub, lambda: news)
        finder.move(new.listener.address, "_tds._tcp.x.local")
        until(hub, lambda: len(news) == 2, 2.0)
        assert [m.address[1] for m in news[1].members] == [1434] and news[1].whole
    play(hub, scene)


@pytest.mark.parametrize("texts, told", [
    ((), {}), (("kind=a", "KIND=b"), {"kind": "a"}), (("flag",), {"flag": ""}),
    (("=x", "a=b=c"), {"a": "b=c"})])
def test_txt_properties(texts, told):
    assert properties(texts) == told
