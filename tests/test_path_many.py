"""Many requests on one connection: answers sent together, slow readers, closes half-way."""

from __future__ import annotations

import gc
import socket
import struct
import time
from dataclasses import replace

import pytest
from failing_socket import failing_pair

from aspenrill.control import shed_after
from aspenrill.fronts.thrift import Session
from aspenrill.net.hub import Closed, Hub
from aspenrill.wire import Malformed, thrift
from standins.clients import Reply
from standins.scenario import run_scenario
from standins.world import ROWS, SETTINGS, EngineBehaviour, World

ROOMY = replace(SETTINGS, cores_by_kind=(64,))  # enough capacity that no request is queued


def send_together(world: World, client, statements: list[str]) -> None:
    """Sends all requests in one segment."""
    written, client.conn.write = [], lambda data, until: written.append(data)
    for statement in statements:
        client.send(statement)
    del client.conn.write
    client.conn.write(b"".join(written), time.monotonic() + 5)


def read_replies(client, count: int) -> list[Reply]:
    return [client.read(10) for _ in range(count)]


def test_32_requests_in_one_segment_with_one_unreadable_response():
    # it is requested again and does not delay the others
    world = World("thrift", 1, ROOMY)

    def run():
        at = [time.monotonic() + 0.5]
        world.engines[0].behaviour = lambda s: EngineBehaviour(
            max(0.0, at[0] - time.monotonic()), s.endswith(" 17"), rows=[(s, "a", "b")]
        )
        client = world.client()
        send_together(world, client, [f"select {i}" for i in range(32)])
        replies = read_replies(client, 32)
        assert {reply.kind for reply in replies} == {"served"}
        assert sorted(reply.rows[0][0] for reply in replies) == sorted(f"select {i}" for i in range(32))
        assert world.engines[0].statements.count("select 17") == 1

    world.run(run)


def test_one_of_several_answers_sent_together_is_cancelled():
    world = World("thrift", 1, ROOMY)

    def run():
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.4, rows=[(s, "a", "b")])
        client = world.client()
        send_together(world, client, [f"select {i}" for i in range(4)])
        world.until(lambda: len(world.engines[0].began) == 4)
        client.conn.write(
            thrift.frame(thrift.ONEWAY, "forget", 0, thrift.field(thrift.I32, 1, struct.pack(">i", 2))),
            time.monotonic() + 5,
        )
        found = sorted(reply.rows[0][0] for reply in read_replies(client, 3))
        assert found == ["select 0", "select 2", "select 3"]
        assert client.request("select 9").rows[0][0] == "select 9"
        assert world.engines[0].stopped == ["select 1"]

    world.run(run)


def test_a_client_that_closes_during_joint_answers():
    world = World("thrift", 1, ROOMY)

    def run():
        wide = [(str(i), "x" * 40, "end") for i in range(700)]
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.2, rows=wide)
        client = world.client()
        client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        send_together(world, client, [f"select {i}" for i in range(16)])
        world.until(lambda: len(world.engines[0].ended) == 16)
        client.conn.fill(time.monotonic() + 5)
        client.close()
        world.until(lambda: not world.node.owner.open and not world.node.fronts[0][1].connections, 5)
        assert world.node.fronts[0][0].unread.writing == 0
        assert world.client().request("select 1").rows == wide

    world.run(run)


def test_reports_of_40_pages_under_a_slow_reader_stay_bounded():
    # answers are queued by the writer, each is buffered only once and arrives completely
    world = World("thrift", 1, ROOMY)
    wide = [(str(i), "x" * 40, "end") for i in range(800)]

    def run():
        engine = world.engines[0]
        engine.page = 1100
        engine.behaviour = lambda s: EngineBehaviour(after=0.02 * int(s.split()[1]), rows=wide)
        client = world.client("usage-report")
        client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        assert len(engine.pages(EngineBehaviour(rows=wide))) >= 37
        world.until(lambda: world.node.fronts[0][1].connections)
        [conn] = world.node.fronts[0][1].connections
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        for _ in range(2):
            send_together(
                world, client, [f"select {i}" for i in range(4)]
            )  # more than the kernel's buffers hold
            world.until(lambda: [o for o in gc.get_objects() if isinstance(o, Session) and o.writer.writing])
            [session] = [o for o in gc.get_objects() if isinstance(o, Session) and o.conn is conn]
            send_together(world, client, [f"select {i}" for i in range(4, 12)])
            world.until(lambda: len(engine.ended) == 12)
            world.until(lambda s=session: not s.open_requests and not s.writer._parts)
            size = sum(map(len, engine.pages(EngineBehaviour(rows=wide)))) + 100
            assert 0 < session.writer._queued_bytes() <= 12 * size, "buffered more than once, or not at all"
            for reply in read_replies(client, 12):
                assert reply.rows == wide
            world.until(lambda s=session: not s.writer.writing)
            assert not session.writer.queued and not session.service.unread.total
            assert session.conn.outgoing._view is None
            engine.ended.clear()

    world.run(run)


def test_finished_answers_are_sent_before_the_connection_closes():
    # answers are sent at the end of a loop round: a close in the same round must not lose them
    world = World("thrift", 1)

    def run():
        client = world.client()
        client.conn.write(
            b"".join(thrift.frame(thrift.CALL, "nobody", i, b"") for i in range(1, 17)), time.monotonic() + 5
        )
        assert [reply.kind for reply in read_replies(client, 16)] == ["broken"] * 16
        with pytest.raises(Closed):
            client.read(5)

    world.run(run)


def test_a_connection_is_not_evicted_before_its_answer_is_sent():
    world = World("thrift", 1)

    def run():
        client = world.client()
        assert client.request("select 1").rows == ROWS
        [conn] = world.node.fronts[0][1].connections
        busy, call_before_poll = [], world.hub.call_before_poll
        world.hub.call_before_poll = lambda call: (busy.append(conn.busy), call_before_poll(call))
        assert client.request("select 2").rows == ROWS and busy == [1] and conn.busy == 0

    world.run(run)


def test_requests_are_shed_by_event_loop_lag_before_the_policy_sees_them():
    world = World("thrift", 1)

    def run():
        service = world.node.fronts[0][0]
        service.shed_after = shed_after(SETTINGS)
        service.min_shed_after, service.shed_hint = min(service.shed_after), {"holdoff": "250"}
        seen, handle = [], world.node.owner.gateway.handle
        world.node.owner.gateway.handle = lambda now, event: (seen.append(event), handle(now, event))[1]
        client, valuable = world.client(), world.client("usage-report")
        assert client.request("select 1").rows == ROWS and seen
        seen.clear()
        world.hub.lag = lambda: (service.shed_after[0] + service.shed_after[3]) / 2
        assert client.request("select 2").kind == "refused" and not seen
        assert valuable.request("select 3").kind == "served"  # of more worth: not yet shed
        world.hub.lag = lambda: 0.0
        assert client.request("select 4").kind == "served"

    world.run(run)


def test_invalid_frame_lengths_end_the_connection():
    hub = Hub()

    def scenario():
        for data in (b"\0\0\0\0", b"\x7f\xff\xff\xff12", b"\0\1\0\1xx"):
            conn, theirs = failing_pair(hub)
            theirs.sendall(data)
            with pytest.raises((Closed, Malformed)):
                conn.read_frame(65536, time.monotonic() + 5)
            conn.close()
            theirs.close()

    run_scenario(hub, scenario)
