"""Engine discovery: the watcher of the bulletin, and the properties in TXT records."""

from __future__ import annotations

import struct
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from aspenrill.api import EngineState
from aspenrill.core.owner import Owner
from aspenrill.members import EngineListUpdate, Member
from aspenrill.net.conn import Connection
from aspenrill.net.hub import Hub
from aspenrill.net.listener import Listener
from aspenrill.roster import bulletin as bulletin_watcher
from aspenrill.roster.dnssd import properties
from aspenrill.wire import bulletin
from standins import world
from standins.scenario import run_scenario


def until(hub: Hub, condition, within: float = 8.0) -> None:
    end = time.monotonic() + within
    while not condition():
        assert time.monotonic() < end, "did not come true in time"
        hub.sleep(0.01)


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return bulletin.FRAME_HEADER.pack(len(payload) + 9, number, kind) + payload


RECORD = struct.pack(">I4sHBBBHIQ", 1, bytes([127, 0, 0, 1]), 80, 1, 0, 0, 0, 1000, 0)


def test_the_bulletin_is_resumed_after_the_last_event_despite_silence_disconnects_and_gaps(monkeypatch):
    # a drain must neither be missed because a connection has fallen silent nor be reported twice
    monkeypatch.setattr(bulletin_watcher, "READ_TIMEOUT", 0.3)
    hub, greetings, news = Hub(lambda text: None), [], []
    says = [
        frame(5, 2, RECORD) + frame(5, 0),
        b"",
        frame(5, 2, RECORD) + frame(6, 2, RECORD)[:11],
        frame(6, 2, RECORD) + frame(9, 2, RECORD),
        frame(9, 1, RECORD),
    ]

    def serve(conn: Connection) -> None:
        greetings.append(struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0])
        conn.write(says[min(len(greetings), len(says)) - 1], time.monotonic() + 5)
        if len(greetings) == 3:
            return
        hub.sleep(1.0)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "bulletin")
    hub.spawn(bulletin_watcher.BulletinWatcher(hub, listener.address, 4, news.append).run)
    run_scenario(hub, lambda: until(hub, lambda: len(news) == 3))
    assert [n.number for n in news] == [5, 6, 9] and news[0].members[0].state is EngineState.DRAINING
    assert greetings[:5] == [4, 5, 5, 5, 6]


def test_a_repeated_event_causes_a_reconnect_at_once():
    # a bulletin that sends an event twice may have left out the next one
    hub, greetings, news = Hub(lambda text: None), [], []

    def serve(conn: Connection) -> None:
        greetings.append(struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0])
        says = frame(5, 2, RECORD) * 2 if len(greetings) == 1 else frame(6, 2, RECORD)
        conn.write(says, time.monotonic() + 5)
        hub.sleep(5)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "bulletin")
    bulletin_watcher.BulletinWatcher(hub, listener.address, 4, news.append).start()
    run_scenario(hub, lambda: until(hub, lambda: len(news) == 2, 2))
    assert greetings == [4, 5] and [n.number for n in news] == [5, 6]


def test_a_new_bulletin_address_is_used_at_once_and_resumed_after_the_last_event():
    # the old bulletin sends nothing more; without the move its events would be missed until it closes
    hub, asked, news = Hub(lambda text: None), [], []

    def serving(name: str):
        def serve(conn: Connection) -> None:
            number = struct.unpack(">Q", conn.read(8, time.monotonic() + 5))[0]
            asked.append((name, number))
            conn.write(frame(number + 1, 2, RECORD), time.monotonic() + 5)
            conn.read(1, None)

        return Listener(hub, ("127.0.0.1", 0), serve, 10, name)

    old, new = serving("old"), serving("new")
    bulletin_ = bulletin_watcher.BulletinWatcher(hub, old.address, 4, news.append)
    bulletin_.start()

    def scenario():
        until(hub, lambda: len(news) == 1)
        bulletin_.move(new.address)
        until(hub, lambda: len(news) == 2, 1.0)
        until(hub, lambda: not old.connections, 1.0)
        new.close()  # the address can also change while no connection is established
        for conn in list(new.connections):
            conn.close()
        hub.sleep(0.05)
        bulletin_.move(old.address)
        until(hub, lambda: len(news) == 3, 1.0)

    run_scenario(hub, scenario)
    assert asked == [("old", 4), ("new", 5), ("old", 6)]


@pytest.mark.parametrize(
    "texts, expected",
    [
        ((), {}),
        (("kind=a", "KIND=b"), {"kind": "a"}),
        (("flag",), {"flag": ""}),
        (("=x", "a=b=c"), {"a": "b=c"}),
    ],
)
def test_txt_properties(texts, expected):
    assert properties(texts) == expected


def test_a_list_longer_than_memory_allows_is_skipped_and_later_events_are_processed():
    # one log line names the size; connection, event numbers and last list stay, drains are still passed on
    hub, logged, news = Hub(lambda text: logged.append(text)), [], []
    ready = struct.pack(">I4sHBBBHIQ", 2, bytes([127, 0, 0, 1]), 81, 0, 0, 0, 0, 1000, 0)

    def serve(conn: Connection) -> None:
        conn.read(8, time.monotonic() + 5)
        conn.write(frame(5, 1, ready * 2999 + RECORD) + frame(6, 2, ready), time.monotonic() + 5)
        hub.sleep(2.0)

    listener = Listener(hub, ("127.0.0.1", 0), serve, 10, "bulletin")
    hub.spawn(bulletin_watcher.BulletinWatcher(hub, listener.address, 4, news.append, 2048).run)
    run_scenario(hub, lambda: until(hub, lambda: len(news) == 2))
    assert [n.number for n in news] == [5, 6] and not news[0].complete
    assert [m.state for m in news[0].members] == [EngineState.DRAINING]
    assert len(logged) == 1 and "3000 engines refused" in logged[0] and "2048" in logged[0]


def test_changes_beyond_what_memory_allows_add_no_engine_but_drain_known_ones():
    logged = []
    engines = SimpleNamespace(retire=lambda peer: None)
    owner = Owner(Hub(lambda text: logged.append(text)), world.SETTINGS, 1, engines)
    owner.max_engines = 3
    members = [Member(f"e{i}", ("127.0.0.1", 80 + i), EngineState.LIVE) for i in range(5)]
    owner.take(EngineListUpdate(1, True, tuple(members[:3])))
    draining = replace(members[0], state=EngineState.DRAINING)
    owner.take(EngineListUpdate(2, False, (draining, members[3])))
    owner.take(EngineListUpdate(3, True, tuple(members)))
    assert set(owner.peers) == {"e0", "e1", "e2"} and len(logged) == 2 and "list of 5 engines" in logged[1]
    assert len(owner.gateway.live) == 3  # the complete list has brought e0 back
    owner.take(EngineListUpdate(4, False, (draining,)))
    assert [e.entry.engine for e in owner.gateway.live] == ["e1", "e2"]
