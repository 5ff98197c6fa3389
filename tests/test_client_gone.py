"""A client that disconnected or cancelled a request: no attempt is started for it in any state."""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import replace

import pytest

from aspenrill import api
from aspenrill.core import books
from aspenrill.wire import thrift
from standins.world import ROWS, SETTINGS, EngineBehaviour, World

LARGE_ENGINES = replace(SETTINGS, cores_by_kind=(64,))
PROTOCOLS = pytest.mark.parametrize("protocol", ["thrift", "tds"])


def cancel_frame(number: int) -> bytes:
    return thrift.frame(thrift.ONEWAY, "forget", 0, thrift.field(thrift.I32, 1, struct.pack(">i", number)))


def capture_writes(client, what) -> bytes:
    """The bytes that the client writes during `what`, which are not sent."""
    parts, write = [], client.conn.write
    client.conn.write = lambda data, until: parts.append(data)
    what()
    client.conn.write = write
    return b"".join(parts)


def delay_events(world: World, kind: type, until) -> None:
    """Delay the owner's events of this kind until a condition holds, as if the owner were behind."""
    take = world.node.owner.take

    def late(event) -> None:
        if isinstance(event, kind):
            world.until(lambda: until(event))
        take(event)

    world.node.owner.take = late


def record_attempts(world: World) -> list:
    """A list of the attempts that the owner starts from now on."""
    starts, start = [], world.node.owner.engines.start
    world.node.owner.engines.start = lambda attempt: (starts.append(attempt), start(attempt))
    return starts


def reset_connection(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize(
    "leave",
    [socket.socket.close, lambda s: s.shutdown(socket.SHUT_WR), reset_connection],
    ids=["closes", "half-closes", "resets"],
)
@pytest.mark.parametrize("size, lag", [(600, 0.0), (1, 0.05)], ids=["flood", "behind"])
def test_disconnect_after_unread_requests_is_seen_before_they_are_sent(leave, size, lag):
    world = World("thrift", 1, LARGE_ENGINES)

    def play():
        client, listener = world.client(), world.node.fronts[0][1]
        assert client.request("select 0").rows == ROWS
        count = 60 if size > 1 else 5  # 5 short ones are read at once, and nothing unread remains
        data = capture_writes(client, lambda: [client.send("select 1" + " " * size) for _ in range(count)])
        world.hub.lag = lambda: lag
        client.conn.sock.setblocking(True)
        client.conn.sock.sendall(data)
        leave(client.conn.sock)  # before the front end reads any of it
        world.until(lambda: not listener.connections)
        world.until(lambda: not world.node.owner.open)
        assert world.engines[0].statements == ["select 0"]

    world.run(play)


def test_requests_cancelled_behind_unread_ones_are_not_sent():
    world = World("thrift", 1, LARGE_ENGINES)

    def play():
        client = world.client()
        data = capture_writes(client, lambda: [client.send(f"select {at}") for at in range(1, 32)])
        client.conn.write(data + b"".join(map(cancel_frame, range(17, 32))), time.monotonic() + 5)
        assert [client.read(10).kind for _ in range(16)] == ["served"] * 16
        client.send("select 32")
        assert client.read(10).kind == "served"
        assert world.engines[0].statements == [f"select {at}" for at in (*range(1, 17), 32)]

    world.run(play)


@pytest.mark.parametrize(
    "bad",
    [b"\0\0\0\4GET ", b"".join(thrift.frame(thrift.CALL, "nobody", at, b"") for at in range(2, 18))],
    ids=["malformed", "unusable"],
)
def test_client_on_a_draining_connection_can_cancel_its_open_request(bad):
    world = World("thrift", 1)

    def play():
        world.engines[0].behaviour = lambda statement: EngineBehaviour(after=5)
        client = world.client()
        client.send("select 1")
        world.until(lambda: world.engines[0].began)
        again = capture_writes(client, lambda: client.send("select 2"))
        [conn], [call] = world.node.fronts[0][1].connections, world.node.owner.open.values()
        client.conn.write(bad, time.monotonic() + 5)
        world.until(lambda: conn.draining)
        client.conn.write(again + cancel_frame(1), time.monotonic() + 5)
        world.until(lambda: not call.open)
        assert call.gone and world.engines[0].statements == ["select 1"]

    world.run(play)


@PROTOCOLS
@pytest.mark.parametrize("how", ["closes", "gives up"])
def test_request_cancelled_in_the_owners_queue_does_not_reach_the_decision_module(protocol, how):
    world = World(protocol, 1)

    def play():
        client, seen, calls, handle = world.client(), [], [], world.node.owner.gateway.handle
        world.node.owner.gateway.handle = lambda now, event: (seen.append(event), handle(now, event))[1]
        delay_events(
            world,
            books.RequestReceived,
            lambda asked: calls.append(asked.client_request) or asked.client_request.gone,
        )
        client.send("select 1")
        client.close() if how == "closes" else (
            client.cancel() if protocol == "tds" else client.conn.write(cancel_frame(1), time.monotonic() + 5)
        )
        queue = world.node.owner.queue.items
        world.until(lambda: calls and calls[0].gone and not queue)
        assert not [event for event in seen if isinstance(event, api.Request)]
        assert not world.engines[0].began and not world.node.owner.open

    world.run(play)


@PROTOCOLS
def test_disconnect_while_a_connection_is_taken_is_seen_at_the_last_check(protocol):
    # The owner has not processed the `ClientLeft` event yet.
    world = World(protocol, 1)

    def play():
        client, take, begun = world.client(), world.node.pools.acquire, []

        def slow(*args, **more):
            found = take(*args, **more)
            client.close()
            [call] = world.node.owner.open.values()
            world.until(lambda: call.gone)
            begun.append(call)
            return found

        world.node.pools.acquire = slow
        delay_events(world, books.ClientLeft, lambda left: begun)
        client.send("select 1")
        world.until(lambda: begun and not world.node.owner.open)
        assert not world.engines[0].began

    world.run(play)


@PROTOCOLS
def test_no_second_attempt_after_a_disconnect_between_attempts(protocol):
    world = World(protocol, 2)

    def play():
        client, starts = world.client(), record_attempts(world)
        for engine in world.engines:
            engine.behaviour = lambda statement: EngineBehaviour(end="full")

        def gone(end) -> bool:
            client.close()
            return end.attempt.client_request.gone

        delay_events(world, books.AttemptFinished, gone)
        client.send("select 1")
        world.until(lambda: starts and not world.node.owner.open)
        assert len(starts) == 1 and sum(len(engine.began) for engine in world.engines) == 1

    world.run(play)


@PROTOCOLS
def test_disconnect_ends_a_connect_in_progress(protocol):
    world = World(protocol, 1)

    def play():
        with socket.socket() as full:  # with a full backlog, so that connects wait
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            callers = [socket.socket() for _ in range(4)]
            for caller in callers:
                caller.setblocking(False)
                caller.connect_ex(full.getsockname())
            world.node.pools.connect_for = 60.0
            world.announce([replace(world.member(world.engines[0]), address=full.getsockname())])
            client, peers = world.client(), world.node.owner.peers
            client.send("select 1")
            world.until(lambda: any(peer.connecting for peer in peers.values()))
            client.close()
            world.until(lambda: not world.node.owner.open)
            world.until(lambda: not any(peer.connecting for peer in peers.values()))
            assert not world.engines[0].began
            for caller in callers:
                caller.close()

    world.run(play)


@PROTOCOLS
def test_queued_request_is_not_sent_after_a_disconnect(protocol):
    # The owner processes the end that frees a slot for the request before its `ClientLeft` event.
    world = World(protocol, 1, replace(SETTINGS, cores_by_kind=(1,)))

    def play():
        owner, held, clients = world.node.owner, world.node.owner.gateway.queued, []
        for _ in range(4):
            assert (
                world.client().request("select 1").rows == ROWS
            )  # requests of a class with a known short latency are queued
        world.engines[0].behaviour = lambda statement: EngineBehaviour(after=0.3)
        while not held and len(clients) < 40:
            clients.append(world.client())
            clients[-1].send(f"select {len(clients)}")
            world.until(lambda: len(owner.open) == len(clients))
        [call], starts = [owner.open[ident] for ident in held], record_attempts(world)
        delay_events(
            world, books.AttemptFinished, lambda end: clients[-1].close() or call.gone or not call.open
        )
        for client in clients[:-1]:
            assert client.read(20).rows == ROWS
        world.until(lambda: not owner.open)
        assert call.gone and call not in [attempt.client_request for attempt in starts]

    world.run(play)


def test_answer_that_is_ready_at_a_disconnect_leaves_no_state():
    world = World("thrift", 1)

    def play():
        client, listener = world.client(), world.node.fronts[0][1]
        delay_events(
            world,
            books.AttemptFinished,
            lambda end: (
                client.close()
                or end.attempt.client_request.gone
                or end.attempt.client_request.statement != b"select 1"
            ),
        )
        client.send("select 1")
        world.until(lambda: world.engines[0].ended and not listener.connections)
        world.until(lambda: not world.node.owner.open)
        assert world.node.fronts[0][0].unread.writing == 0
        assert world.client().request("select 2").rows == ROWS

    world.run(play)
