"""Each front under bad input, and its edge cases."""

from __future__ import annotations

import socket
import struct
import subprocess
import sys
import time
from dataclasses import replace

import pytest

from aspenrill.net.connecting import connect
from aspenrill.net.hub import Closed, TimedOut
from aspenrill.wire import tds, tds_tokens, thrift
from standins.clients import Reply
from standins.world import ROWS, SETTINGS, EngineBehaviour, World

LONG = [(str(i), "y" * 200, "end") for i in range(2000)]


@pytest.mark.parametrize(
    "changed",
    [
        {"kind": "nope"},
        {"kind": None},
        {"owner": "nobody"},
        {"owner": None},
        {"timeout": "soon"},
        {"timeout": None},
        {"timeout": "-1"},
        {"req": "xyz"},
        {"req": None},
        {"opkey": "a\nb"},
        {"opkey": None},
    ],
)
def test_a_field_that_cannot_be_used_fails_the_request(changed):
    # no engine may receive it, as that would violate the platform's protocol
    world = World("thrift", 1)

    def play():
        client = world.client("booking")
        assert client.request("insert 1", **changed).kind == "failed"
        assert not world.engines[0].began
        assert client.request("insert 1").kind == "served"

    world.run(play)


def test_a_duplicate_id_is_failed_and_the_first_request_continues():
    world = World("thrift", 1)

    def play():
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.3)
        client = world.client()
        client.send("select 1", req="0123456789abcdef")
        client.send("select 1", req="0123456789abcdef")
        assert client.read(5).kind == "failed" and client.read(5).kind == "served"

    world.run(play)


@pytest.mark.parametrize(
    "frame, kind",
    [
        (thrift.frame(thrift.CALL, "serve", 1, b"\x0b\0\1\x7f\xff\xff\xff"), thrift.PROTOCOL_ERROR),
        (thrift.frame(thrift.CALL, "drop", 1, b""), thrift.UNKNOWN_METHOD),
        (thrift.frame(thrift.REPLY, "serve", 1, b""), thrift.PROTOCOL_ERROR),
        (struct.pack(">i", 1 << 30), None),
        (struct.pack(">i", -5), None),
        (struct.pack(">i", 4) + b"GET ", None),
    ],
)
def test_malformed_thrift_gets_an_application_exception_or_a_close(frame, kind):
    world = World("thrift", 1)

    def play():
        conn = connect(world.hub, world.address, time.monotonic() + 2)
        conn.write(frame, time.monotonic() + 2)
        until = time.monotonic() + 5
        if kind is None:
            with pytest.raises(Closed):
                conn.read(4, until)
        else:
            reply = thrift.read_message(conn.read(int.from_bytes(conn.read(4, until), "big"), until))
            assert (reply.kind, reply.args[2]) == (thrift.EXCEPTION, kind)
        assert world.client().request("select 1").kind == "served" and len(world.engines[0].began) == 1

    world.run(play)


def test_many_open_requests_are_answered_in_any_order():
    world = World("thrift", 1, replace(SETTINGS, cores_by_kind=(64,)))

    def play():
        world.engines[0].behaviour = lambda s: EngineBehaviour(after=0.4 if s.endswith("0") else 0)
        client = world.client()
        for i in range(32):
            client.send(f"select {i}")
        assert [client.read(5).kind for _ in range(32)] == ["served"] * 32

    world.run(play)


def test_constant_input_on_one_connection_does_not_starve_others(monkeypatch):
    # its task read on as long as input was available, and no other task ran
    world, count, read = World("thrift", 1), [0], thrift.read_message

    def counted(frame):
        count[0] += 1
        return read(frame)

    monkeypatch.setattr("aspenrill.fronts.thrift.thrift.read_message", counted)
    bad = thrift.frame(thrift.ONEWAY, "forget", 0, thrift.field(thrift.I32, 1, b"\0\0\0\7"))

    def play():
        busy, client = connect(world.hub, world.address, time.monotonic() + 2), world.client()
        busy.sock.setblocking(True)
        busy.sock.settimeout(0.05)
        try:
            busy.sock.sendall(bad * 20000)  # what the kernel accepts is available at once
        except TimeoutError:
            pass
        assert client.request("select 1").kind == "served" and count[0] < 1000
        world.until(lambda: count[0] > 3000)

    world.run(play)


def test_unusable_messages_end_a_connection():
    # a client that repeats a failed request at once kept the program busy
    world = World("thrift", 1)

    def play():
        client = world.client()
        with pytest.raises(Closed):
            for _ in range(100):
                assert client.request("select 1", kind="nope").kind == "failed"
        assert world.client().request("select 1").kind == "served" and len(world.engines[0].began) == 1

    world.run(play)


def test_is_well_until_shutdown():
    world = World("thrift", 1)

    def is_well() -> bool:
        conn = connect(world.hub, world.address, time.monotonic() + 2)
        conn.write(
            thrift.frame(thrift.CALL, "isWell", 1, thrift.field(thrift.BOOL, 1, b"\0")), time.monotonic() + 2
        )
        until = time.monotonic() + 5
        return thrift.read_message(conn.read(int.from_bytes(conn.read(4, until), "big"), until)).args[0][3]

    def play():
        assert is_well() is True
        world.node.owner.healthy = False
        assert is_well() is False

    world.run(play)


def test_an_internal_error_in_one_message_affects_only_that_message():
    # it ended the connection, and later messages were discarded; the error is logged
    world = World("thrift", 1)

    def play():
        first, second = world.client(), world.client()
        service = world.node.fronts[0][0]
        classes, service.reader.class_of = service.reader.class_of, None
        assert first.request("select 1").kind == "broken"
        service.reader.class_of = classes
        assert first.request("select 2").kind == "served"
        assert second.request("select 1").kind == "served"
        assert any("AttributeError" in text for text in world.logged)
        world.logged.clear()

    world.run(play)


def test_an_error_in_the_owner_fails_its_request_and_is_logged():
    # the request must not be left without an answer, and the owner must continue
    world = World("thrift", 1)

    def play():
        handle = world.node.owner.gateway.handle

        def broken(now, event):
            if getattr(event, "cls", None) == 2:
                raise RuntimeError("broken")
            return handle(now, event)

        world.node.owner.gateway.handle = broken
        assert world.client("once").request("select 1").kind == "failed"
        assert world.client("lookup").request("select 1").kind == "served"
        assert any("RuntimeError" in text for text in world.logged)
        world.logged.clear()

    world.run(play)


# ---- TDS ----------------------------------------------------------------------------------------------


def test_attention_halfway_through_an_answer_is_acknowledged_once():
    # the answer ends after a complete row, with one acknowledgement and nothing after it
    world = World("tds", 1)

    def play():
        world.engines[0].behaviour = lambda s: EngineBehaviour(rows=LONG if "long" in s else ROWS)
        client = world.client()
        for conn in (client.conn, *world.node.fronts[0][1].connections):  # small buffers
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send("select long")
        client.conn.fill(time.monotonic() + 5)  # part of it has arrived
        world.hub.sleep(0.2)  # the writer blocks on the full socket
        client.cancel()
        assert client.read(5).kind == "cancelled"
        with pytest.raises(TimedOut):
            client.conn.fill(time.monotonic() + 0.3)
        assert client.request("select 1") == Reply("served", ROWS)

    world.run(play)


def test_attention_after_the_answer_is_acknowledged():
    world = World("tds", 1)

    def play():
        client = world.client()
        assert client.request("select 1").kind == "served"
        client.cancel()
        assert client.read(5).kind == "cancelled"
        assert client.request("select 1").kind == "served"

    world.run(play)


@pytest.mark.parametrize("size", [1, 7, 100])
def test_tds_messages_in_any_split(size):
    world = World("tds", 1)

    def play():
        client = world.client()
        message = tds.packets(tds.SQL_BATCH, tds.sql_batch("select 1 from sales_4.x" + " " * 400), 512)
        for at in range(0, len(message), size):
            client.conn.write(message[at : at + size], time.monotonic() + 5)
            if size > 1:
                world.hub.sleep(0.002)
        assert client.read(5).kind == "served"
        assert world.engines[0].statements[0].startswith("select 1 from sales_4.x")

    world.run(play)


@pytest.mark.parametrize("kind, body", [(tds.RPC, b"\0" * 20), (tds.SQL_BATCH, tds.sql_batch("  "))])
def test_an_unsupported_tds_message_gets_error_and_done_and_the_session_continues(kind, body):
    world = World("tds", 1)

    def play():
        client = world.client()
        client.conn.write(tds.packets(kind, body), time.monotonic() + 5)
        assert client.read(5).kind == "broken"
        assert not world.engines[0].began
        assert client.request("select 1").kind == "served"

    world.run(play)


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">BBHHBB", tds.SQL_BATCH, 1, 3, 0, 1, 0),
        tds.packets(tds.SQL_BATCH, b"\xff" * 10),
        tds.packets(tds.SQL_BATCH, tds.sql_batch("x" * 600_000)),
    ],
)
def test_broken_or_oversized_tds_gets_an_error_and_a_close(data):
    world = World("tds", 1)

    def play():
        client = world.client()
        try:
            client.conn.write(data, time.monotonic() + 5)
            assert client.read(5).kind == "broken"
        except Closed:
            pass
        with pytest.raises(Closed):
            client.conn.fill(time.monotonic() + 5)
            client.conn.fill(time.monotonic() + 5)
        assert not world.engines[0].began

    world.run(play)


def test_an_unknown_login_is_refused():
    world = World("tds", 1)

    def play():
        conn = connect(world.hub, world.address, time.monotonic() + 2)
        until = time.monotonic() + 5
        conn.write(tds.packets(tds.LOGIN7, tds.login7(tds.Login("stranger", "x"))), until)
        reader = tds_tokens.TokenReader(4096)
        head = tds.parse_packet_header(conn.read(8, until))
        reader.feed(conn.read(head[2], until))
        assert reader.answer.error[0] == 18456 and reader.answer.status & tds.DONE_ERROR
        with pytest.raises(Closed):
            conn.fill(until)

    world.run(play)


def test_a_client_library_works_with_the_front():
    # python-tds is an independent implementation of the specification
    world = World("tds", 1)
    code = (
        "import pytds,sys\n"
        "c=pytds.connect('127.0.0.1',port=int(sys.argv[1]),user='lookup',password='x',appname='lib',"
        "autocommit=True,login_timeout=5,timeout=5)\n"
        "k=c.cursor()\nk.execute('select 1 from sales_1.x')\nprint(k.fetchall())\n"
    )

    def play():
        world.engines[0].behaviour = lambda s: (
            EngineBehaviour() if "sales_1" in s else EngineBehaviour(rows=[])
        )
        child = subprocess.Popen(
            [sys.executable, "-c", code, str(world.address[1])],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        world.until(lambda: child.poll() is not None, 20)
        out = child.stdout.read()
        assert "('1', 'sheets', 'ok')" in out, out

    world.run(play)
