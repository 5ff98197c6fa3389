"""The fleet service on the hub: effects, component calls, keys, name conflicts, front ends."""

from __future__ import annotations

import errno
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import pytest

from aspenrill.core import books
from aspenrill.errors import DiskTrouble, FleetConfigTrouble, KeyTrouble, StateTrouble
from aspenrill.fleet import config, joining
from aspenrill.fleet.durable import DurableStore
from aspenrill.fleet.interface import Agreed, LogLine, Notify, Post, Put, Store
from aspenrill.fleet.service import RateLimitedLog, Service
from aspenrill.net.hub import Hub
from aspenrill.node import ConfigError

TIMEOUT = 20.0  # seconds


class FakeComponent:
    """Records its calls and returns the answers that the test has set for each method."""

    def __init__(self, name: str = "part", **answers) -> None:
        self.name, self.topics, self.period, self.kinds = name, ("topic",), 0.05, ("split",)
        self.answers, self.told = answers, []

    def __getattr__(self, call: str) -> Callable:
        if not call.startswith("on_"):
            raise AttributeError(call)

        def told(now, *args):
            self.told.append((call, *args))
            answer = self.answers.get(call, [])
            return answer(*args) if callable(answer) else answer

        told.__name__ = call
        return told

    def of(self, call: str) -> list[tuple]:
        return [args for name, *args in self.told if name == call]


class World:
    """Services on one hub, which runs until a scenario has ended."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.lines = folder, []
        self.hub = Hub(self.lines.append)
        self.services: list[Service] = []
        self.keys("ab" * 32)

    def keys(self, *keys: str) -> None:
        path = self.folder / "keys"
        path.write_text("\n".join(keys))
        path.chmod(0o600)

    def table(self, name: str, **more) -> dict:
        seeds = ["{}:{}".format(*self.services[0].address)] if self.services else []
        return {
            "enabled": True,
            "name": name,
            "key_file": str(self.folder / "keys"),
            "state": str(self.folder / name),
            "seeds": seeds,
            **more,
        }

    def config(self, name: str, **more) -> config.Config:
        found = config.read(config.Reader(self.table(name, **more), "", []))
        found.check()
        return found

    def service(
        self, name: str, *components: FakeComponent, inform=lambda part, fact: None, **more
    ) -> Service:
        service = Service(self.hub, self.config(name, **more), components, inform)
        self.services.append(service)
        service.start()
        return service

    def until(self, holds: Callable[[], object]) -> None:
        end = time.monotonic() + TIMEOUT
        while not holds():
            assert time.monotonic() < end, self.lines
            self.hub.sleep(0.02)

    def run(self, scene: Callable[[], None]) -> None:
        failure: list[BaseException] = []

        def play() -> None:
            try:
                scene()
            except BaseException as why:
                failure.append(why)
            self.hub.stop()

        self.hub.spawn(play)
        self.hub.run()
        for service in self.services:
            service.stop()
        if failure:
            raise failure[0]
        assert not [line for line in self.lines if line.startswith("error")]


@pytest.fixture
def world(tmp_path: Path) -> World:
    return World(tmp_path)


def test_components_receive_entries_messages_and_members(world):
    a, b = FakeComponent(on_start=[Put("topic", b"hello"), Store("k", b"v")]), FakeComponent()
    facts = []

    def scene():
        one = world.service("a", a)
        world.service("b", b, inform=lambda part, fact: facts.append((part, fact)))
        world.until(lambda: b.of("on_entry"))
        assert [(e.origin, e.value) for (e,) in b.of("on_entry")] == [("a", b"hello")]
        assert {m.name for (m,) in b.of("on_member")} >= {"a"} and a.of("on_tick")
        b.answers["on_tick"] = [Post("a", b"x"), Post("b", b"to myself"), Notify("fact"), LogLine("a line")]
        world.until(lambda: a.of("on_message") and b.of("on_message"))
        assert a.of("on_message")[0] == ["b", world.services[1].view.incarnation, b"x"]
        assert b.of("on_message")[0][::2] == ["b", b"to myself"]
        assert facts[0] == ("part", "fact") and "fleet part: a line" in world.lines
        world.until(lambda: one.counters()["exchanges"] + world.services[1].counters()["exchanges"])
        one.leave()
        world.until(lambda: [m for (m,) in b.of("on_member") if m.name == "a" and not m.is_live])
        assert len(a.of("on_leave")) == 1
        again = FakeComponent()
        world.services[0] = world.service("a", again)
        assert again.of("on_start")[0][1] == {"k": b"v"}
        assert world.services[0].view.incarnation > one.view.incarnation

    world.run(scene)


def test_a_failed_store_ends_only_its_call(world):
    def scene():
        part = FakeComponent(on_tick=[LogLine("before"), Store("k", b"v"), LogLine("behind")])
        service = world.service("a", part)
        keep, service.store.put = service.store.put, refuse
        world.until(lambda: part.of("on_disk"))
        assert part.of("on_disk")[0] == ["k"] and "fleet part: behind" not in world.lines
        assert any(line.startswith("fleet disk: fleet-disk: full") for line in world.lines)
        service.store.put = keep
        world.until(lambda: "fleet part: behind" in world.lines)

    def refuse(*args):
        raise DiskTrouble("full")

    world.run(scene)


def test_committed_records_go_to_the_followers_of_their_kind(world):
    record, other = Agreed(1, 1, "split", "k", b""), Agreed(2, 1, "else", "k", b"")
    facts = []

    def scene():
        follower = FakeComponent("follower")
        world.service(
            "a",
            FakeComponent("authority", on_start=[Notify(record), Notify(other)]),
            follower,
            inform=lambda *fact: facts.append(fact),
        )
        assert follower.of("on_agreed") == [[record]] and not facts

    world.run(scene)


def test_an_exception_of_a_component_ends_that_call_and_is_logged(world):
    def scene():
        other = FakeComponent("other", on_tick=[Put("t", b"x" * 601)])
        service = world.service("a", FakeComponent(on_tick=lambda: 1 / 0), other)
        world.until(lambda: service.faults > 3)
        assert any("ZeroDivisionError" in line for line in world.lines)
        world.lines[:] = []
        service.components[0].answers.clear()
        service.components[1].answers.clear()
        world.hub.sleep(0.2)
        world.lines[:] = [line for line in world.lines if "ZeroDivision" not in line and "601" not in line]

    world.run(scene)


def test_keys_rotate_without_downtime_and_foreign_keys_are_rejected(world):
    def scene():
        a, b = world.service("a"), world.service("b")
        world.until(lambda: len(a.view.members()) == len(b.view.members()) == 2)
        for keys in (("cd" * 32, "ab" * 32), ("cd" * 32,)):
            world.keys(*keys)
            for service in (a, b):
                service.reload(world.config(service.view.name))
                world.hub.sleep(0.5)
        assert all(m.state == 0 for s in (a, b) for m in s.view.members().values())
        assert not a.peers.detector.deaths and "refused: key" not in a.counters()
        world.keys("ef" * 32)
        stranger = world.service("c")
        world.until(lambda: a.peers.refused["key"])
        assert len(stranger.view.members()) == 1 and len(a.view.members()) == 2
        expected = "fleet refused key: 1 so far: key, from 127.0.0.1:"
        assert any(line.startswith(expected) for line in world.lines)
        with pytest.raises(KeyTrouble):
            world.keys("no hex")
            a.reload(world.config("a"))
        with pytest.raises(FleetConfigTrouble):
            a.reload(world.config("d"))

    world.run(scene)


def test_two_processes_with_one_name(world):
    def scene():
        part = FakeComponent()
        world.service("seed")
        elder = world.service("a")
        world.until(lambda: len(elder.view.members()) == 2)
        world.hub.sleep(0.01)  # so that the younger one's incarnation is higher
        younger = world.service("a", part, state=str(world.folder / "other"))
        world.until(lambda: younger.fenced)
        ticks = len(part.of("on_tick"))
        world.hub.sleep(0.3)
        assert not elder.fenced and len(part.of("on_tick")) == ticks
        assert any(line.startswith("fleet-name: ") and "has the name a too" in line for line in world.lines)
        world.until(lambda: world.services[0].view.members()["a"].port == elder.address[1])

    world.run(scene)


def test_a_state_folder_and_a_port_are_exclusive(world):
    def scene():
        taken = world.service("a")
        with pytest.raises(OSError) as why:
            world.service("b", listen="127.0.0.1:{}".format(*taken.address[1:]))
        assert why.value.errno == errno.EADDRINUSE
        with pytest.raises(FleetConfigTrouble, match="another process"):
            DurableStore(world.folder / "a")
        DurableStore(world.folder / "b").close()  # the one that could not listen has released its lock

    world.run(scene)


def test_the_log_is_rate_limited():
    now, lines = [0.0], []
    log = RateLimitedLog(lines.append, lambda: now[0])
    for number in range(100):
        log("part", str(number), 3)
    assert lines == ["fleet part: 0", "fleet part: 1", "fleet part: 2"]
    now[0] = 61.0
    log("part", "later", 3)
    assert lines[3:] == ["fleet part: 97 further lines", "fleet part: later"]


# ---- front ends -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("may", [True, False])
def test_decision_modules_broadcast_if_enabled(world, may):
    def node() -> SimpleNamespace:
        heard = []
        settings = SimpleNamespace(classes=(), may_gossip=may)
        return SimpleNamespace(
            settings=settings,
            post=heard.append,
            heard=heard,
            owner=SimpleNamespace(send_gossip=lambda data: None),
        )

    def scene():
        world.service("c")
        first, second = node(), node()
        tables = [world.table("b"), world.table("a")]
        again = [
            joining.join(world.hub, one, lambda table=table: table, "fleet.")
            for one, table in zip((first, second), tables, strict=True)
        ]
        first.owner.send_gossip(b"news of b")
        if may:
            world.until(lambda: second.heard)
            assert second.heard == [books.GossipReceived(1, b"news of b")] and not first.heard
        else:
            world.hub.sleep(0.5)
            assert not second.heard
        again[0]()
        tables[0]["seeds"] = ["nowhere"]
        with pytest.raises(ConfigError, match=r"fleet\.seeds\[0\]"):
            again[0]()
        tables[0].update(seeds=[], enabled=False)
        with pytest.raises(ConfigError, match="new start"):
            again[0]()
        for one in (first, second):
            one.goodbye()

    world.run(scene)


def test_the_owner_passes_on_broadcasts():
    from aspenrill import api
    from aspenrill.core.owner import Owner

    settings = api.Settings(
        classes=(api.QueryClass(1.0, 5.0, api.Effect.SAFE),), cores_by_kind=(8,), may_gossip=True
    )
    owner, told, heard = Owner(Hub(), settings, 1, SimpleNamespace()), [], []
    owner._act(api.SendGossip(b"nobody there"), 0.0)
    owner.send_gossip = told.append
    owner._act(api.SendGossip(b"x"), 0.0)
    owner.gateway.handle = lambda now, event: heard.append(event) or []
    owner.take(books.GossipReceived(3, b"y"))
    assert told == [b"x"] and heard == [api.PeerMessage(3, b"y")]


def test_a_platform_node_does_not_import_the_fleet():
    code = (
        "import sys; from aspenrill import start, node; print(node._fleet(None, None, node.FLEET_FILE)); "
        "print([m for m in sys.modules if 'aspenrill.fleet' in m or m in ('msgspec', 'sqlite3')])"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.splitlines()[1] == "[]" and "lambda" in out  # the returned function does nothing
    assert config.read_file("deploy/fleet.toml").voters == ("front-1", "front-2", "front-3")


def test_a_damaged_state_file_is_named(world):
    (world.folder / "a").mkdir()
    (world.folder / "a" / "fleet.sqlite3").write_bytes(b"this is no database" * 99)
    with pytest.raises(StateTrouble) as why:
        world.service("a")
    assert "fleet.sqlite3" in why.value.line() and "move the named file away" in why.value.line()
