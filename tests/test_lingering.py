"""Orderly close of client connections: accepted requests are answered, later ones are not run."""

from __future__ import annotations

import socket
import time
from dataclasses import replace

import pytest

from aspenrill.core.books import Closing, Failed
from aspenrill.net.conn import Connection
from aspenrill.net.hub import READ, Closed, Signal, TimedOut
from aspenrill.wire import tds, thrift
from standins.world import ROWS, SETTINGS, EngineBehaviour, World

BAD = {"thrift": b"\0\0\0\4GET ", "tds": tds.packets(tds.SQL_BATCH, tds.sql_batch("select 2"))}


def assert_ended(client) -> None:
    """Asserts that the next read finds the end of the stream, not a reset."""
    with pytest.raises(Closed, match="end of stream"):
        client.conn.fill(time.monotonic() + 10)


@pytest.mark.parametrize("protocol", ["thrift", "tds"])
def test_open_requests_are_answered_before_a_misbehaving_client_is_disconnected(protocol):
    # closing at once lost a request that had been accepted
    world = World(protocol, 1)

    def play():
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.2)
        client = world.client()
        client.send("select 1")
        client.conn.write(BAD[protocol] * 2000, time.monotonic() + 10)
        assert client.read(10).rows == ROWS
        if protocol == "tds":
            assert client.read(10).kind == "broken"
        assert_ended(client)
        assert world.engines[0].statements == ["select 1"]
        client.close()
        world.until(lambda: not world.node.fronts[0][1].connections)

    world.run(play)


def test_answers_arrive_before_a_close_with_unread_data():
    # the close reset the connection, which discarded the answers
    world = World("thrift", 1)

    def play():
        client = world.client()
        client.conn.sock.setblocking(True)
        client.conn.sock.sendall(
            b"".join(thrift.frame(thrift.CALL, "nobody", at, b"") for at in range(1, 17)) + b"\0" * 100_000
        )  # all of it arrives before the first message is read
        client.conn.sock.setblocking(False)
        assert [client.read(10).kind for _ in range(16)] == ["broken"] * 16
        assert_ended(client)

    world.run(play)


def test_an_answer_being_written_is_completed_after_the_client_shuts_its_write_side():
    world, long = World("thrift", 1, replace(SETTINGS, cores_by_kind=(64,))), [("1", "x" * 40, "end")] * 900

    def play():
        service, listener = world.node.fronts[0]
        world.engines[0].behaviour = lambda s: EngineBehaviour(rows=long)
        client = world.client("usage-report")
        world.until(lambda: listener.connections)
        [conn] = listener.connections
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for at in range(16):  # more than the kernel's buffers hold
            client.send(f"select {at}")
        world.until(lambda: len(world.engines[0].ended) == 16 and not world.node.owner.open)
        world.until(lambda: service.unread.writing)
        client.conn.sock.shutdown(socket.SHUT_WR)
        world.until(lambda: conn.fd not in world.hub._waits[READ])  # the end has been read
        assert service.unread.writing and [client.read(10).rows for _ in range(16)] == [long] * 16
        assert_ended(client)

    world.run(play)


def test_a_first_request_that_arrives_slowly_is_accepted():
    # a limit of 2 s for the whole message closed connections of clients that were still writing
    world = World("thrift", 1)

    def play():
        client, parts = world.client(), []
        write = client.conn.write
        client.conn.write = lambda data, _: parts.extend(data[at : at + 40] for at in range(0, len(data), 40))
        client.send("select 1")
        assert len(parts) > 3
        for part in parts:
            write(part, time.monotonic() + 5)
            world.hub.sleep(0.12)
        assert client.read(10).rows == ROWS

    world.run(play)


def test_constant_input_does_not_extend_a_lingering_close():
    world = World("thrift", 1)

    def play():
        client, listener = world.client(), world.node.fronts[0][1]
        with pytest.raises(Closed):
            for _ in range(1 << 20):
                client.conn.write(BAD["thrift"] * 1000, time.monotonic() + 10)
        world.until(lambda: not listener.connections)
        assert world.client().request("select 1").rows == ROWS

    world.run(play)


def send_during_close(world, client, conn) -> None:
    """Makes the client send a request between the last check of the connection and its close."""

    def check() -> bool:
        found = Connection.peer_closed(conn)
        if found is False:
            client.send("select crossing")
        return found

    conn.peer_closed = check


@pytest.mark.parametrize("how", ["drained", "evicted"])
def test_a_request_sent_while_an_idle_connection_is_closed_is_not_forwarded(how):
    # closing with the request unread reset the connection
    world = World("thrift", 1)

    def play():
        client, listener = world.client(), world.node.fronts[0][1]
        assert client.request("select 1").rows == ROWS
        [conn] = listener.connections
        send_during_close(world, client, conn)
        if how == "drained":
            listener.drain()
        else:
            listener.max_connections = 1
            assert world.client().request("select 1").rows == ROWS
        assert_ended(client)
        client.close()
        world.until(lambda: conn not in listener.connections)
        assert "select crossing" not in world.engines[0].statements

    world.run(play)


@pytest.mark.parametrize("closing", [False, True])
def test_a_drained_listener_answers_its_backlog_and_open_requests_and_closes_all(monkeypatch, closing):
    # closing the listening socket resets connections that it has not accepted
    world = World("thrift", 1)

    def play():
        listener = world.node.fronts[0][1]
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.2)
        active, idle = world.client(), world.client()
        active.send("select 1")
        world.until(lambda: world.engines[0].began)
        monkeypatch.setattr(
            "standins.clients.connect",
            lambda hub, address, until: Connection(hub, socket.create_connection(address)),
        )  # established in the backlog only: nothing accepts meanwhile
        waiting = [world.client() for _ in range(10)]
        for client in waiting:
            client.send("select 2")
        if closing:
            world.node.owner.closed = True
        listener.drain()
        assert_ended(idle)
        assert active.read(10).rows == ROWS
        assert [c.read(10).kind for c in waiting] == ["refused" if closing else "served"] * 10
        for client in (active, idle, *waiting):
            if client is not idle:
                assert_ended(client)
            client.close()
        world.until(lambda: not listener.connections)
        with pytest.raises(OSError):
            socket.create_connection(world.address)
        if closing:
            world.node.post(Closing())

    world.run(play)


def test_an_answer_in_the_loop_round_that_disconnects_the_client_is_written():
    world = World("thrift", 1)

    def play():
        owner, client = world.node.owner, world.client()
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=5)
        client.send("select 1")
        world.until(lambda: world.engines[0].began)
        [conn] = world.node.fronts[0][1].connections
        client.conn.write(BAD["thrift"], time.monotonic() + 5)
        world.until(lambda: conn.draining)
        fill, entered = conn.fill, []

        def fill_then_fail(until) -> None:
            entered.append(until)
            try:
                fill(until)
            except Closed:
                [call] = owner.open.values()
                owner._final(call, Failed("crossed"))
                raise

        conn.fill = fill_then_fail
        client.conn.write(b"x", time.monotonic() + 5)  # it now reads through the replaced method
        world.until(lambda: entered)
        client.conn.sock.shutdown(socket.SHUT_WR)
        assert client.read(10).kind == "failed"
        assert_ended(client)

    world.run(play)


def test_timed_out_waits_for_a_signal_leave_no_waiter():
    world = World("thrift", 1)

    def play():
        signal = Signal(world.hub)
        for _ in range(5):
            with pytest.raises(TimedOut):
                signal.wait(0.001)
        assert not signal._waiters

    world.run(play)


def test_clients_that_never_close_do_not_block_new_ones():
    world = World("thrift", 1)

    def play():
        listener, clients = world.node.fronts[0][1], []
        listener.max_connections = 16
        for _ in range(50):
            clients.append(world.client())  # sends one request and stays, even after the server closes
            assert clients[-1].request("select 1").rows == ROWS
            assert len(listener.connections) <= 16
        for client in clients[:20]:
            assert_ended(client)

    world.run(play)


def test_buffered_requests_keep_their_connection(monkeypatch):
    # while the task yielded, they were buffered and the kernel held nothing, so the connection looked idle
    monkeypatch.setattr("aspenrill.fronts.thrift.MESSAGES_PER_TURN", 1)
    world = World("thrift", 1)

    def play():
        listener, yield_now, client = world.node.fronts[0][1], world.hub.yield_now, world.client()
        world.hub.yield_now = lambda: (yield_now(), listener._evict())
        client.conn.write(
            b"".join(thrift.frame(thrift.CALL, "nobody", at, b"") for at in range(1, 9)), time.monotonic() + 5
        )
        assert [client.read(10).kind for _ in range(8)] == ["broken"] * 8

    world.run(play)


@pytest.mark.parametrize("protocol", ["thrift", "tds"])
def test_a_draining_connection_closes_after_its_last_answer(protocol):
    world = World(protocol, 1)

    def play():
        listener = world.node.fronts[0][1]
        active, idle = world.client(), world.client()
        assert idle.request("select 0").rows == ROWS
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.2)
        active.send("select 1")
        world.until(lambda: len(world.engines[0].began) == 2)
        listener.drain()
        assert_ended(idle)
        assert len(listener.connections) == 2  # one lingers, the other has an open request
        assert active.read(10).rows == ROWS
        assert_ended(active)
        active.close()
        idle.close()
        world.until(lambda: not listener.connections)

    world.run(play)
