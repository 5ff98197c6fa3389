"""Connection handling with both protocols: broken, many, idle, silent and closed connections."""

from __future__ import annotations

import gc
import socket
import struct
import time
from collections import Counter
from dataclasses import replace

import pytest

from aspenrill import api
from aspenrill.core.books import Attempt, ClientRequest, Peer, ProbeFinished
from aspenrill.members import Member
from aspenrill.net.conn import Connection
from aspenrill.net.connecting import connect
from aspenrill.net.hub import Closed, Task, TimedOut
from standins.world import EngineBehaviour, World

PROTOCOLS = pytest.mark.parametrize("protocol", ["thrift", "tds"])


@PROTOCOLS
def test_a_connection_that_broke_while_idle_is_not_used(protocol):
    # an idle connection that its engine has closed must not affect any request
    world = World(protocol, 1)

    def play():
        client = world.client("once")
        for i in range(3):
            assert client.request(f"insert {i}").kind == "served"
            for conn in list(world.engines[0].listener.connections):
                conn.close()
            world.hub.sleep(0.02)
        assert len(world.engines[0].began) == 3

    world.run(play)


@PROTOCOLS
def test_new_connections_that_break_do_not_eject_an_engine(protocol):
    # an interrupted probe ejected a healthy engine, and the next probe another one
    world = World(protocol, 1)

    def play():
        engine, node = world.engines[0], world.node
        peer, serve, count = node.owner.peers[engine.name], engine.serve, [0]

        def resetting(conn):
            count[0] += 1
            if count[0] % 3:
                conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return conn.close()
            serve(conn)

        engine.listener.serve = resetting
        found, take = [], node.owner.take
        node.owner.take = lambda event: (found.append(event), take(event))
        for _ in range(4):
            node.owner.engines.probe(peer)
            world.until(lambda: any(isinstance(e, ProbeFinished) for e in found))
            assert found.pop().outcome is api.Outcome.OK
            node.pools.retire(peer)
            found.clear()
        assert count[0] == 12 and node.owner.gateway.fleet.engines[engine.name].healthy

    world.run(play)


@PROTOCOLS
def test_more_requests_than_connections_wait_for_a_slot(protocol):
    # connections are limited: a request waits for one, and is refused as not run if none becomes free
    world = World(protocol, 1)

    def play():
        world.node.pools.max_connections = 2
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.02)
        clients = [world.client() for _ in range(6)]
        for client in clients:
            client.send("select 1")
        assert [client.read(5).kind for client in clients] == ["served"] * 6
        assert world.engines[0].max_running <= 2 and world.node.pools.count <= 2

    world.run(play)


@PROTOCOLS
def test_idle_connections_are_evicted_for_new_ones(protocol):
    # clients that sent one request and stayed connected used all slots, and no one else was accepted
    world = World(protocol, 1)

    def play():
        listener = world.node.fronts[0][1]
        listener.max_connections = 6
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=1.0 if s == "slow" else 0)
        first = world.client()
        first.send("slow")
        for _ in range(20):
            assert world.client().request("select 1").kind == "served"
        assert len(listener.connections) <= 6
        assert first.read(5).kind == "served"  # it had an open request

    world.run(play)


@PROTOCOLS
def test_silent_connections_do_not_block_others_and_stay_while_slots_are_free(protocol):
    # hundreds of connections that sent nothing or half a message used up all descriptors; a time-out for them
    # also closed connections whose first bytes were late
    world = World(protocol, 1)

    def play():
        listener = world.node.fronts[0][1]
        listener.max_connections = 6
        client = world.client()
        assert client.request("select 1").kind == "served"
        silent = [connect(world.hub, world.address, time.monotonic() + 2) for _ in range(40)]
        for conn in silent[::2]:
            conn.write(b"\x12\0", time.monotonic() + 2)
        assert client.request("select 1").kind == "served"
        assert world.client().request("select 1").kind == "served"
        assert len(listener.connections) <= 6
        ended = 0
        for conn in silent:
            try:
                conn.fill(time.monotonic() + 0.01)
            except Closed:
                ended += 1
            except TimedOut:
                pass
        assert 34 <= ended < 40, "not as many were evicted as slots were needed"

    world.run(play)


@PROTOCOLS
def test_closed_clients_and_removed_engines_leave_no_objects(protocol):
    # exceptions referenced their frames, and so connections, until a rare garbage collection
    world = World(protocol, 1)

    def count() -> Counter:
        return Counter(
            type(o).__name__
            for o in gc.get_objects()
            if isinstance(o, Connection | ClientRequest | Attempt | Peer | Task | BaseException)
        )

    def churn(rounds: int) -> None:
        for at in range(rounds):
            client = world.client()
            assert client.request("select 1").kind == "served"
            if at % 3 == 0:
                client.close()
            elif at % 3 == 1:
                world.engines[0].behaviour = lambda s: EngineBehaviour(after=5)
                client.send("select slow")
                world.until(lambda: world.engines[0].running)
                client.close()
                world.engines[0].behaviour = lambda s: EngineBehaviour()
                world.until(lambda: not world.engines[0].running)
            else:
                stays.append(client.conn.sock.dup())  # sent one request and keeps its connection
            gone = Member(f"s-{at:08x}f", ("127.0.0.1", 9), api.EngineState.LIVE)
            world.announce([gone])
            world.announce([replace(gone, state=api.EngineState.GONE)])
        client = None
        world.hub.sleep(0.4)
        for peer in world.node.owner.peers.values():
            world.node.pools.retire(peer)
        world.hub.sleep(0.1)

    def play():
        world.node.fronts[0][1].max_connections = 12
        churn(20)
        gc.collect()
        before = count()
        world.hub.sleep(0.2)  # the collection stalled the event loop, during which requests are refused
        churn(60)
        after = count()
        assert not {k: (before[k], n) for k, n in after.items() if n > before[k] + 8}
        assert len(world.hub.timers._heap) < 600 and len(world.node.owner.gateway.fleet.engines) < 5

    stays = []
    gc.collect()
    gc.disable()
    try:
        world.run(play)
    finally:
        gc.enable()
