"""Graceful shutdown: late requests, requests open at its end, and its time limit."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from aspenrill.net.hub import Closed
from standins.clients import ThriftClient
from standins.world import SETTINGS, SPECS, EngineBehaviour, World

HANGS = EngineBehaviour(after=60.0)


def leave(world: World, play) -> float:
    """Runs `play` during a shutdown and returns its duration. `play` gets a function: has it finished?"""
    ended: list[float] = []
    stop, world.hub.stop = world.hub.stop, lambda: ended.append(time.monotonic())
    began = time.monotonic()

    def scene() -> None:
        try:
            world.hub.spawn(world.node.leave)
            world.until(lambda: not world.node.owner.healthy)
            play(lambda: bool(ended))
            world.until(lambda: ended)
        finally:
            world.hub.stop = stop

    world.run(scene)
    return ended[0] - began


def assert_ended(client: ThriftClient) -> None:
    """Asserts an orderly end of the connection: a reset would discard unread data."""
    with pytest.raises(Closed, match="end of stream"):
        client.conn.fill(time.monotonic() + 10)


def settings(time_budget: float):
    return replace(
        SETTINGS,
        classes=tuple(replace(c, latency_target=time_budget / 2, time_budget=time_budget) for c in SPECS),
    )


def test_with_deadlines_of_a_tenth_of_a_second_it_exits_before_the_kill():
    # SIGKILL then follows 0.8 s after SIGTERM; it accepted requests for 1 s and exited after 1.3 s
    world = World("thrift", 1, settings(0.1))
    world.engines[0].behaviour = lambda statement: HANGS

    def play(over):
        client = world.client("once", 0.5)
        client.send("insert 1")
        assert client.read(5).kind in ("refused", "failed")
        assert_ended(client)

    assert leave(world, play) < 0.8 + 0.3  # allowance for a busy machine


def test_hanging_requests_are_answered_completely_before_the_close():
    world = World("thrift", 2)
    for engine in world.engines:
        engine.behaviour = lambda statement: HANGS

    def play(over):
        clients = [world.client("once", 20.0) for _ in range(3)]
        for client in clients:
            for number in range(4):
                client.send(f"insert {number}")
        for client in clients:
            kinds = [client.read(10).kind for _ in range(4)]
            assert set(kinds) <= {"failed", "refused"} and not over(), kinds
            assert_ended(client)

    leave(world, play)
    begun = [statement for engine in world.engines for statement in engine.statements]
    assert len(begun) <= 12, "repeated requests that may have run"


def test_requests_are_served_until_acceptance_ends_and_refused_later():
    world = World("thrift", 1)

    def play(over):
        engine = world.engines[0]
        engine.behaviour = lambda statement: (
            EngineBehaviour(after=1.2) if "long" in statement else EngineBehaviour()
        )
        idle, client = world.client(), world.client()
        assert client.request("select 1").kind == "served"
        client.send("select long")
        world.until(lambda: "select long" in engine.statements)
        world.until(lambda: not world.node.owner.accepting)
        client.send("select late")
        assert client.read(5).kind == "refused"  # at once, before the earlier request is answered
        assert client.read(5).kind == "served"
        assert idle.request("select later").kind == "refused"  # also on an idle connection
        assert not over()
        assert_ended(idle)
        assert_ended(client)
        assert not [text for text in engine.statements if "late" in text]

    leave(world, play)
