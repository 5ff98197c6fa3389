"""A request sent into a silent connection never begins once its attempt has ended."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import replace

import pytest
from scripted import ScriptedEngine

from aspenrill.node import Node
from standins.slowlink import Piece, Shaper, SlowLink, scripted, unshaped
from standins.world import World

SILENCE = 2.0  # seconds in which what is written to a silent connection is not delivered
SETTLED = 0.3  # seconds after the silence in which everything that is delivered has arrived
WARM_UP = 4  # requests before, from which the program learns the latency
PROTOCOLS = ["thrift", "tds"]


class SilentWorld(World):
    """Engines behind links. The connections that are open when `silence` is called fall silent."""

    def __init__(self, protocol: str) -> None:
        super().__init__(protocol, listed=False)
        self.connections = 0
        self.silent: set[int] = set()
        self.links = [SlowLink(self.hub, engine.listener.address, self.shapers) for engine in self.engines]
        linked = zip(self.engines, self.links, strict=True)
        self.announce([replace(self.member(engine), address=link.address) for engine, link in linked], True)

    def shapers(self, _: int) -> tuple[Shaper, Shaper]:
        number = self.connections
        self.connections += 1

        def to_engine(buffered: int) -> Piece:
            silent = number in self.silent
            self.silent.discard(number)
            return Piece(buffered, SILENCE if silent else 0.0)

        return to_engine, unshaped

    def silence(self) -> None:
        self.silent = set(range(self.connections))

    def begun_after_silence(self, scene: Callable[[], None]) -> int:
        """Plays the scene, which sends one request; returns how often that has begun after the silence."""

        def play() -> None:
            for number in range(WARM_UP):
                assert self.client("usage-report", 20.0).request(f"select {number}").kind == "served"
            self.silence()
            began = time.monotonic()
            scene()
            assert time.monotonic() < began + SILENCE, "it ended only after the silence"
            self.hub.sleep(began + SILENCE + SETTLED - time.monotonic())

        try:
            self.run(play)
        finally:
            for link in self.links:
                link.close()
        return sum(len(engine.began) for engine in self.engines) - WARM_UP

    def end_connections(self) -> None:
        """Ends all connections to engines on the side of the engines; the other direction goes on."""
        for link in self.links:
            for conn in link.listener.connections:
                conn.sock.shutdown(socket.SHUT_WR)

    def until_sent(self) -> None:
        """Waits until the request has been written."""
        requests = self.node.owner.open
        self.until(lambda: any(each.attempt and each.attempt.sent_at for each in requests.values()))


@pytest.mark.parametrize(
    "protocol, how", [("thrift", "no response"), ("thrift", "connection ended"), ("tds", "connection ended")]
)
def test_a_request_that_is_sent_again_does_not_begin_at_the_silent_engine_too(protocol, how):
    # the engine that did not know it yet was taken to have ended it: two attempts were out at once
    world = SilentWorld(protocol)

    def scene() -> None:
        client = world.client("usage-report", 20.0)
        client.send("select")
        if how == "connection ended":
            world.until_sent()
            world.end_connections()
        assert client.read(10.0).kind == "served"

    assert world.begun_after_silence(scene) == 1


@pytest.mark.parametrize("protocol", PROTOCOLS)
@pytest.mark.parametrize("how", ["disconnects", "cancels"])
def test_a_request_does_not_begin_after_its_client_has_gone(protocol, how):
    # its connection was closed in order: it was delivered, and began seconds after the client had gone
    world = SilentWorld(protocol)

    def scene() -> None:
        client = world.client("lookup")
        client.send("select 1")
        world.until_sent()
        client.close() if how == "disconnects" else client.cancel()
        world.until(lambda: not world.node.owner.open)

    assert world.begun_after_silence(scene) == 0


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_request_does_not_begin_after_its_deadline(protocol):
    # as above, where the time of the attempt ended
    world = SilentWorld(protocol)

    def scene() -> None:
        assert world.client("once", 0.5).request("insert 1").kind in ("failed", "refused")
        world.until(lambda: not world.node.owner.open)

    assert world.begun_after_silence(scene) == 0


def test_an_unanswered_request_is_withdrawn_as_the_process_exits():
    # the kernel went on delivering it after the process had ended
    script = ScriptedEngine()
    silent = scripted([Piece(1 << 20, SILENCE)])
    link = SlowLink(script.hub, script.listener.address, lambda _: (silent, unshaped))
    script.peer.address = link.address

    def scene() -> None:
        attempt = script.start()
        script.until(lambda: attempt.sent_at)
        script.engines.withdraw_all()
        script.hub.sleep(SILENCE + SETTLED)

    try:
        script.play(scene)
    finally:
        link.close()
    assert not [call for call in script.calls if call.startswith("post")]


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_the_shutdown_withdraws_what_is_unanswered(monkeypatch, protocol):
    world, withdrawn = World(protocol), []
    stop = world.hub.stop
    monkeypatch.setattr(world.node.owner.engines, "withdraw_all", lambda: withdrawn.append(True))
    monkeypatch.setattr(world.hub, "stop", lambda: withdrawn.append(False))

    def scene() -> None:
        Node.leave(world.node)
        world.hub.stop = stop

    world.run(scene)
    assert withdrawn == [True, False]
