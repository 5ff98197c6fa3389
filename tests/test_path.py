"""The fast paths: each gives the result of the general code, also when system calls fail."""

from __future__ import annotations

import errno
import socket
import struct
import time
from dataclasses import replace

import pytest
from failing_socket import failing_pair
from hypothesis import example, given, settings
from hypothesis import strategies as st

from aspenrill.net.connecting import Refused, connect
from aspenrill.net.hub import Closed, Hub
from aspenrill.net.inbox import Inbox
from aspenrill.net.listener import Listener
from aspenrill.wire import sql, thrift
from standins.scenario import run_scenario
from standins.world import SETTINGS, World

ROOMY = replace(SETTINGS, cores_by_kind=(64,))  # enough capacity that no request is queued
EXAMPLES = dict(derandomize=True, deadline=None, max_examples=300, database=None)


# ---- fast paths against the general code -----------------------------------------------------------------

TEXT = st.binary(max_size=20)


def frame_of(seqid: int, fields: dict[bytes, bytes], body: bytes) -> bytes:
    pairs = b"".join(thrift.binary(k) + thrift.binary(v) for k, v in fields.items())
    inner = thrift.field(thrift.MAP, 1, struct.pack(">bbi", 11, 11, len(fields)) + pairs)
    inner += thrift.field(thrift.STRING, 2, thrift.binary(body))
    return thrift.frame(thrift.CALL, "serve", seqid, inner)[4:]


@settings(**EXAMPLES)
@given(
    st.integers(-(2**31), 2**31 - 1),
    st.dictionaries(TEXT, TEXT, max_size=6),
    st.binary(max_size=400),
    st.binary(max_size=9),
    st.binary(max_size=9),
)
def test_the_fast_reader_agrees_with_the_general_reader(seqid, fields, body, before, after):
    data = frame_of(seqid, fields, body)
    found = thrift.read_serve(before + data + after, len(before), len(before) + len(data))
    assert found == (seqid, fields, body)
    message = thrift.read_message(data)
    assert (message.seqid, message.args) == (seqid, {1: fields, 2: body})


@settings(**EXAMPLES)
@given(
    st.dictionaries(TEXT, TEXT, max_size=4),
    st.binary(max_size=30),
    st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4),
    st.integers(-9, 9),
)
def test_a_corrupted_call_is_left_to_the_general_reader_or_read_equally(fields, body, changes, cut):
    data = bytearray(frame_of(1, fields, body))
    for at, value in changes:
        data[at % len(data)] = value
    data = bytes(data)
    end = max(0, min(len(data), len(data) + cut))
    found = thrift.read_serve(data, 0, end)
    if found is not None:
        message = thrift.read_message(data[:end])
        assert (message.seqid, message.args, message.kind, message.name) == (
            found[0],
            {1: found[1], 2: found[2]},
            thrift.CALL,
            "serve",
        )


@settings(**EXAMPLES)
@given(
    st.lists(
        st.sampled_from(
            [
                "select ",
                "from ",
                "where ",
                "a_1",
                "b_22",
                ".",
                ".x",
                " . ",
                "staging",
                "1",
                "9a_3.",
                "'",
                '"',
                "[",
                "--",
                "/*",
                "é_7",
                ", ",
                "$",
                "_",
                "@",
                " ",
            ]
        ),
        max_size=9,
    ).map("".join)
)
@example("select a from sales_17.orders where id = 5")
@example("select 1.5 from b_22")
@example("9a_3.x")
def test_the_fast_table_group_agrees_with_the_general_one(statement):
    assert sql.table_group(statement) == sql._table_group(statement)


@settings(**EXAMPLES)
@given(
    st.lists(
        st.tuples(st.sampled_from(["fill", "pull", "peek", "drop", "find"]), st.integers(0, 40)), max_size=40
    )
)
def test_an_inbox_returns_data_in_order(steps):
    inbox, expected, number = Inbox(64), b"", 0
    for what, count in steps:
        if what == "fill":
            data = bytes((number + i) % 7 for i in range(min(count, inbox.free)))
            number += len(data)
            if not len(inbox):
                inbox.store(data)
            else:
                left = data
                while left:
                    space = inbox.space()
                    some = left[: len(space)]
                    space[: len(some)] = some
                    inbox.commit(len(some))
                    left = left[len(some) :]
            expected += data
        elif what == "pull":
            assert inbox.pull(count) == expected[:count]
            expected = expected[count:]
        elif what == "peek":
            assert inbox.peek(count) == expected[:count]
        elif what == "drop":
            count = min(count, len(expected))
            inbox.drop(count)
            expected = expected[count:]
        else:
            assert inbox.find(b"\3\4", min(count, len(expected))) == expected.find(
                b"\3\4", min(count, len(expected))
            )
        assert len(inbox) == len(expected) and inbox.free == 64 - len(expected)


# ---- short and failing reads and writes ------------------------------------------------------------------


def test_a_vectored_write_may_be_short_at_any_byte():
    # the unsent rest must follow, neither lost nor duplicated
    parts = [b"ab", b"", b"cdefg", b"h", b"ijk"]
    whole = b"".join(parts)
    hub = Hub()

    def scenario():
        for taken in range(len(whole) + 1):
            conn, theirs = failing_pair(hub, sendmsg=[taken], send=[1, 2])
            conn.write_parts(list(parts), time.monotonic() + 5)
            conn.close()
            got = b""
            while data := theirs.recv(100):
                got += data
            assert got == whole and conn.bytes_sent == len(whole)
            theirs.close()

    run_scenario(hub, scenario)


@pytest.mark.parametrize(
    "error", [InterruptedError(errno.EINTR, "x"), BlockingIOError(errno.EAGAIN, "x")], ids=["EINTR", "EAGAIN"]
)
def test_interrupted_and_blocked_calls_are_repeated(error):
    hub = Hub()

    def scenario():
        conn, theirs = failing_pair(hub, recv=[error], recv_into=[error], send=[error], sendmsg=[error])
        theirs.sendall(b"12345")
        assert conn.read(3, time.monotonic() + 5) == b"123"
        conn.incoming.space()  # the rest moves into the ring
        theirs.sendall(b"678")
        conn.wait_for_bytes(5, time.monotonic() + 5)
        assert conn.read(5, time.monotonic() + 5) == b"45678"
        conn.write_parts([b"a", b"b"], time.monotonic() + 5)
        assert theirs.recv(1) + theirs.recv(1) == b"ab"
        assert conn.sock.tried.count("recv") >= 2 and conn.sock.tried.count("recv_into") >= 2
        conn.close()
        theirs.close()

    run_scenario(hub, scenario)


@pytest.mark.parametrize("call", ["recv", "send", "sendmsg"])
def test_fatal_errors_close_the_connection(call):
    hub = Hub()

    def scenario():
        conn, theirs = failing_pair(hub, **{call: [OSError(errno.ECONNRESET, "reset")]})
        theirs.sendall(b"x")
        with pytest.raises(Closed):
            conn.fill(time.monotonic() + 5) if call == "recv" else conn.write_parts(
                [b"a"] if call == "send" else [b"a", b"b"], time.monotonic() + 5
            )
        conn.close()
        theirs.close()

    run_scenario(hub, scenario)


@pytest.mark.parametrize("code", [errno.EINTR, errno.EAGAIN, errno.EMFILE, errno.ECONNABORTED])
def test_a_listener_survives_each_error_of_accept(code):
    hub, served = Hub(lambda text: None), []
    listener = Listener(hub, ("127.0.0.1", 0), served.append, 5, "front")
    failing, accept = [OSError(code, "x"), OSError(code, "x")], listener.sock.accept

    class Failing:
        def __getattr__(self, name):
            return getattr(type(self).sock, name)

        def accept(self):
            if failing:
                raise failing.pop()
            return accept()

    Failing.sock, listener.sock = listener.sock, Failing()

    def scenario():
        theirs = socket.create_connection(listener.address)
        until = time.monotonic() + 5
        while not served and time.monotonic() < until:
            hub.sleep(0.01)
        assert served and not failing
        theirs.close()
        listener.close()

    run_scenario(hub, scenario)


@pytest.mark.parametrize(
    "code, comes_up, exhausted",
    [
        (errno.EINTR, True, False),
        (errno.EINPROGRESS, True, False),
        (errno.EAGAIN, False, True),
        (errno.EADDRNOTAVAIL, False, True),
        (errno.ECONNREFUSED, False, False),
    ],
)
def test_errors_of_connect_are_classified(monkeypatch, code, comes_up, exhausted):
    hub, server = Hub(), socket.create_server(("127.0.0.1", 0))

    class ScriptedSocket(socket.socket):
        def connect_ex(self, address):
            if comes_up:
                super().connect_ex(address)
            return code

    def scenario():
        monkeypatch.setattr("aspenrill.net.conn.socket.socket", ScriptedSocket)
        if comes_up:
            connect(hub, server.getsockname(), time.monotonic() + 5).close()
        else:
            with pytest.raises(Refused) as why:
                connect(hub, server.getsockname(), time.monotonic() + 5)
            assert why.value.exhausted is exhausted

    run_scenario(hub, scenario)
    server.close()


def test_descriptor_exhaustion_proves_that_nothing_ran(monkeypatch):
    world = World("thrift", 1)

    def run():
        client = world.client("once")
        assert client.request("select 1").kind == "served"
        world.node.pools.retire(next(iter(world.node.owner.peers.values())))
        real, failing = socket.socket, [3]

        class ExhaustedSocket(real):
            def __init__(self, *args, **more):
                if failing[0] and not more and args[1:2] == (socket.SOCK_STREAM,):
                    failing[0] -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                super().__init__(*args, **more)

        monkeypatch.setattr("aspenrill.net.conn.socket.socket", ExhaustedSocket)
        assert client.request("insert 2").kind == "served" and not failing[0]
        assert world.engines[0].statements == ["select 1", "insert 2"]

    world.run(run)
