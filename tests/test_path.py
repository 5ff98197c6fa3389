"""The ordinary path's short ways: each as the long way has it, and under the failures that could break it."""
from __future__ import annotations

import errno
import gc
import socket
import struct
import time
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from aspenrill.control import shed_after
from aspenrill.fronts.thrift import Session
from aspenrill.net.conn import Connection, Refused, connect
from aspenrill.net.hub import Closed, Hub
from aspenrill.net.inbox import Inbox
from aspenrill.net.listener import Listener
from aspenrill.wire import Malformed, sql, thrift
from standins.scene import play
from standins.world import ROWS, SETTINGS, Act, Reply, World

ROOMY = replace(SETTINGS, cores_by_kind=(64,))  # nothing is held for want of room
EXAMPLES = dict(derandomize=True, deadline=None, max_examples=300, database=None)


# ---- short ways are the long ways ---------------------------------------------------------------------

TEXT = st.binary(max_size=20)


def frame_of(seqid: int, fields: dict[bytes, bytes], body: bytes) -> bytes:
    pairs = b"".join(thrift.blob(k) + thrift.blob(v) for k, v in fields.items())
    inner = thrift.field(thrift.MAP, 1, struct.pack(">bbi", 11, 11, len(fields)) + pairs)
    inner += thrift.field(thrift.STRING, 2, thrift.blob(body))
    return thrift.frame(thrift.CALL, "serve", seqid, inner)[4:]


@settings(**EXAMPLES)
@given(st.integers(-2**31, 2**31 - 1), st.dictionaries(TEXT, TEXT, max_size=6), st.binary(max_size=400),
       st.binary(max_size=9), st.binary(max_size=9))
def test_a_usual_call_reads_as_the_general_reader_reads_it(seqid, fields, body, before, after):
    data = frame_of(seqid, fields, body)
    found = thrift.read_serve(before + data + after, len(before), len(before) + len(data))
    assert found == (seqid, fields, body)
    message = thrift.read_message(data)
    assert (message.seqid, message.args) == (seqid, {1: fields, 2: body})


@settings(**EXAMPLES)
@given(st.dictionaries(TEXT, TEXT, max_size=4), st.binary(max_size=30),
       st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4), st.integers(-9, 9))
def test_a_spoilt_call_is_left_to_the_general_reader_or_read_alike(fields, body, changes, cut):
    data = bytearray(frame_of(1, fields, body))
    for at, value in changes:
        data[at % len(data)] = value
    data = bytes(data)
    end = max(0, min(len(data), len(data) + cut))
    found = thrift.read_serve(data, 0, end)
    if found is not None:
        message = thrift.read_message(data[:end])
        assert (message.seqid, message.args, message.kind, message.name) == (
            found[0], {1: found[1], 2: found[2]}, thrift.CALL, "serve")


@settings(**EXAMPLES)
@given(st.lists(st.sampled_from([
    "select ", "from ", "where ", "a_1", "b_22", ".", ".x", " . ", "staging", "1", "9a_3.", "'", '"',
       "[", "--",
    "/*", "é_7", ", ", "$", "_", "@", " "]), max_size=9).map("".join))
@example("select a from sales_17.orders where id = 5")
@example("select 1.5 from b_22")
@example("9a_3.x")
def test_the_group_of_a_plain_statement_is_found_as_of_any_other(statement):
    assert sql.table_group(statement) == sql._table_group(statement)


@settings(**EXAMPLES)
@given(st.lists(st.tuples(st.sampled_from(["fill", "pull", "peek", "drop", "find"]), st.integers(0, 40)),
                max_size=40))
def test_an_inbox_gives_what_came_in_its_order(steps):
    box, held, number = Inbox(64), b"", 0
    for what, count in steps:
        if what == "fill":
            data = bytes((number + i) % 7 for i in range(min(count, box.free)))
            number += len(data)
            if not len(box):
                box.took(data)
            else:
                left = data
                while left:
                    space = box.space()
                    some = left[:len(space)]
                    space[:len(some)] = some
                    box.added(len(some))
                    left = left[len(some):]
            held += data
        elif what == "pull":
            assert box.pull(count) == held[:count]
            held = held[count:]
        elif what == "peek":
            assert box.peek(count) == held[:count]
        elif what == "drop":
            count = min(count, len(held))
            box.drop(count)
            held = held[count:]
        else:
            assert box.find(b"\3\4", min(count, len(held))) == held.find(b"\3\4", min(count, len(held)))
        assert len(box) == len(held) and box.free == 64 - len(held)


# ---- writes and reads that come short -----------------------------------------------------------------

class Stubborn:
    """A socket whose calls fail at first, or take so many bytes only."""

    def __init__(self, sock: socket.socket, first: dict[str, list]) -> None:
        self.sock, self.first, self.tried = sock, first, []

    def __getattr__(self, name):
        def call(*args):
            self.tried.append(name)
            if self.first.get(name):
                act = self.first[name].pop(0)
                if isinstance(act, BaseException):
                    raise act
                if name == "sendmsg":
                    return self.sock.send(b"".join(args[0])[:act]) if act else 0
                return self.sock.send(bytes(args[0])[:act])
            return getattr(self.sock, name)(*args)
        return call if name in ("recv", "recv_into", "send", "sendmsg") else getattr(self.sock, name)


def pair(hub: Hub, **first: list) -> tuple[Connection, socket.socket]:
    server = socket.create_server(("127.0.0.1", 0))
    ours = socket.create_connection(server.getsockname())
    theirs = server.accept()[0]
    server.close()
    theirs.settimeout(5)
    conn = Connection(hub, ours)
    conn.sock = Stubborn(ours, first)
    return conn, theirs


def test_a_vectored_write_may_stop_at_each_byte():
    # what the system did not take follows, neither lost nor twice
    parts = [b"ab", b"", b"cdefg", b"h", b"ijk"]
    whole = b"".join(parts)
    hub = Hub()

    def scene():
        for taken in range(len(whole) + 1):
            conn, theirs = pair(hub, sendmsg=[taken], send=[1, 2])
            conn.write_parts(list(parts), time.monotonic() + 5)
            conn.close()
            got = b""
            while data := theirs.recv(100):
                got += data
            assert got == whole and conn.written == len(whole)
            theirs.close()
    play(hub, scene)


@pytest.mark.parametrize("error", [InterruptedError(errno.EINTR, "x"), BlockingIOError(errno.EAGAIN, "x")],
                         ids=["EINTR", "EAGAIN"])
def test_calls_that_are_interrupted_or_not_ready_are_made_again(error):
    hub = Hub()

    def scene():
        conn, theirs = pair(hub, recv=[error], recv_into=[error], send=[error], sendmsg=[error])
        theirs.sendall(b"12345")
        assert conn.read(3, time.monotonic() + 5) == b"123"
        conn.incoming.space()  # what is left moves into the ring
        theirs.sendall(b"678")
        conn.need(5, time.monotonic() + 5)
        assert conn.read(5, time.monotonic() + 5) == b"45678"
        conn.write_parts([b"a", b"b"], time.monotonic() + 5)
        assert theirs.recv(1) + theirs.recv(1) == b"ab"
        assert conn.sock.tried.count("recv") >= 2 and conn.sock.tried.count("recv_into") >= 2
        conn.close()
        theirs.close()
    play(hub, scene)


@pytest.mark.parametrize("call", ["recv", "send", "sendmsg"])
def test_errors_of_the_system_close_what_they_meet(call):
    hub = Hub()

    def scene():
        conn, theirs = pair(hub, **{call: [OSError(errno.ECONNRESET, "reset")]})
        theirs.sendall(b"x")
        with pytest.raises(Closed):
            conn.fill(time.monotonic() + 5) if call == "recv" else conn.write_parts(
                [b"a"] if call == "send" else [b"a", b"b"], time.monotonic() + 5)
        conn.close()
        theirs.close()
    play(hub, scene)


@pytest.mark.parametrize("code", [errno.EINTR, errno.EAGAIN, errno.EMFILE, errno.ECONNABORTED])
def test_a_listener_outlives_each_error_of_accept(code):
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

    def scene():
        theirs = socket.create_connection(listener.address)
        until = time.monotonic() + 5
        while not served and time.monotonic() < until:
            hub.sleep(0.01)
        assert served and not failing
        theirs.close()
        listener.close()
    play(hub, scene)


@pytest.mark.parametrize("code, comes_up, scarce", [
    (errno.EINTR, True, False), (errno.EINPROGRESS, True, False), (errno.EAGAIN, False, True),
    (errno.EADDRNOTAVAIL, False, True), (errno.ECONNREFUSED, False, False)])
def test_each_error_of_connect_means_what_it_means(monkeypatch, code, comes_up, scarce):
    hub, server = Hub(), socket.create_server(("127.0.0.1", 0))

    class Told(socket.socket):
        def connect_ex(self, address):
            if comes_up:
                super().connect_ex(address)
            return code

    def scene():
        monkeypatch.setattr("aspenrill.net.conn.socket.socket", Told)
        if comes_up:
            connect(hub, server.getsockname(), time.monotonic() + 5).close()
        else:
            with pytest.raises(Refused) as why:
                connect(hub, server.getsockname(), time.monotonic() + 5)
            assert why.value.scarce is scarce
    play(hub, scene)
    server.close()


def test_no_descriptor_for_an_engine_is_a_refusal_that_proves_nothing_ran(monkeypatch):
    world = World("thrift", 1)

    def run():
        client = world.client("once")
        assert client.ask("select 1").kind == "served"
        world.node.pools.retire(next(iter(world.node.owner.peers.values())))
        real, failing = socket.socket, [3]

        class Scarce(real):
            def __init__(self, *args, **more):
                if failing[0] and not more and args[1:2] == (socket.SOCK_STREAM,):
                    failing[0] -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                super().__init__(*args, **more)

        monkeypatch.setattr("aspenrill.net.conn.socket.socket", Scarce)
        assert client.ask("insert 2").kind == "served" and not failing[0]
        assert world.engines[0].statements == ["select 1", "insert 2"]
    world.run(run)


# ---- many at once -------------------------------------------------------------------------------------

def together(world: World, client, statements: list[str]) -> None:
    """All requests in one segment."""
    written, client.conn.write = [], lambda data, until: written.append(data)
    for statement in statements:
        client.send(statement)
    del client.conn.write
    client.conn.write(b"".join(written), time.monotonic() + 5)


def numbered(client, count: int) -> list[Reply]:
    return [client.read(10) for _ in range(count)]


def test_32_requests_in_one_segment_and_32_answers_at_once_one_of_them_spoilt():
    # the spoilt one is asked for again, and holds up none of the others
    world = World("thrift", 1, ROOMY)

    def run():
        at = [time.monotonic() + 0.5]
        world.engines[0].act = lambda s: Act(max(0.0, at[0] - time.monotonic()), s.endswith(" 17"),
                                             rows=[(s, "a", "b")])
        client = world.client()
        together(world, client, [f"select {i}" for i in range(32)])
        replies = numbered(client, 32)
        assert {reply.kind for reply in replies} == {"served"}
        assert sorted(reply.rows[0][0] for reply in replies) == sorted(f"select {i}" for i in range(32))
        assert world.engines[0].statements.count("select 17") == 1
    world.run(run)


def test_one_of_several_answers_that_go_out_together_is_cancelled():
    world = World("thrift", 1, ROOMY)

    def run():
        world.engines[0].act = lambda s: Act(after=0.4, rows=[(s, "a", "b")])
        client = world.client()
        together(world, client, [f"select {i}" for i in range(4)])
        world.until(lambda: len(world.engines[0].began) == 4)
        client.conn.write(thrift.frame(thrift.ONEWAY, "forget", 0, thrift.field(
            thrift.I32, 1, struct.pack(">i", 2))), time.monotonic() + 5)
        found = sorted(reply.rows[0][0] for reply in numbered(client, 3))
        assert found == ["select 0", "select 2", "select 3"]
        assert client.ask("select 9").rows[0][0] == "select 9"
        assert world.engines[0].stopped == ["select 1"]
    world.run(run)


def test_a_client_that_closes_half_way_through_a_joint_answer():
    world = World("thrift", 1, ROOMY)

    def run():
        wide = [(str(i), "x" * 40, "end") for i in range(700)]
        world.engines[0].act = lambda s: Act(after=0.2, rows=wide)
        client = world.client()
        client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        together(world, client, [f"select {i}" for i in range(16)])
        world.until(lambda: len(world.engines[0].ended) == 16)
        client.conn.fill(time.monotonic() + 5)
        client.close()
        world.until(lambda: not world.node.owner.open and not world.node.fronts[0][1].connections, 5)
        assert world.node.fronts[0][0].writing == 0
        assert world.client().ask("select 1").rows == wide
    world.run(run)


def test_reports_of_40_pages_under_a_slow_reader_stay_bounded():
    # answers wait in the connection's task, a report is held once, and each comes whole
    world = World("thrift", 1, ROOMY)
    wide = [(str(i), "x" * 40, "end") for i in range(800)]

    def run():
        engine = world.engines[0]
        engine.page = 1100
        engine.act = lambda s: Act(after=0.02 * int(s.split()[1]), rows=wide)
        client = world.client("usage-report")
        client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        assert len(engine.pages(Act(rows=wide))) >= 37
        world.until(lambda: world.node.fronts[0][1].connections)
        [conn] = world.node.fronts[0][1].connections
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        for _ in range(2):
            together(world, client, [f"select {i}" for i in range(4)])  # more than the system's buffers take
            world.until(lambda: [o for o in gc.get_objects() if isinstance(o, Session) and o.busy])
            [session] = [o for o in gc.get_objects() if isinstance(o, Session) and o.conn.open]
            together(world, client, [f"select {i}" for i in range(4, 12)])
            world.until(lambda: len(engine.ended) == 12)
            world.until(lambda s=session: not s.open and not s.fresh)
            size = sum(map(len, engine.pages(Act(rows=wide)))) + 100
            assert 0 < sum(map(len, session.answers)) <= 12 * size, "held more than once, or not at all"
            for reply in numbered(client, 12):
                assert reply.rows == wide
            world.until(lambda s=session: not s.busy)
            assert not session.answers and not session.fresh and session.conn.outgoing._view is None
            engine.ended.clear()
    world.run(run)


def test_what_has_been_answered_goes_out_before_the_connection_ends():
    # answers wait for the end of a round: one that ends the connection in the same round must not lose them
    world = World("thrift", 1)

    def run():
        client = world.client()
        client.conn.write(b"".join(thrift.frame(thrift.CALL, "nobody", i, b"") for i in range(1, 17)),
                          time.monotonic() + 5)
        assert [reply.kind for reply in numbered(client, 16)] == ["broken"] * 16
        with pytest.raises(Closed):
            client.read(5)
    world.run(run)


def test_a_connection_keeps_its_place_until_its_answer_has_gone_out():
    world = World("thrift", 1)

    def run():
        client = world.client()
        assert client.ask("select 1").rows == ROWS
        [conn] = world.node.fronts[0][1].connections
        busy, soon = [], world.hub.soon
        world.hub.soon = lambda call: (busy.append(conn.busy), soon(call))
        assert client.ask("select 2").rows == ROWS and busy == [1] and conn.busy == 0
    world.run(run)


def test_what_the_module_would_refuse_for_being_behind_is_refused_before_it_costs_more():
    world = World("thrift", 1)

    def run():
        service = world.node.fronts[0][0]
        service.shed_after = shed_after(SETTINGS)
        service.shed_least, service.shed = min(service.shed_after), {"holdoff": "250"}
        seen, handle = [], world.node.owner.gateway.handle
        world.node.owner.gateway.handle = lambda now, event: (seen.append(event), handle(now, event))[1]
        client, worthy = world.client(), world.client("usage-report")
        assert client.ask("select 1").rows == ROWS and seen
        seen.clear()
        world.hub.lag = lambda: (service.shed_after[0] + service.shed_after[3]) / 2
        assert client.ask("select 2").kind == "refused" and not seen
        assert worthy.ask("select 3").kind == "served"  # of more worth: not yet
        world.hub.lag = lambda: 0.0
        assert client.ask("select 4").kind == "served"
    world.run(run)


def test_lengths_that_no_frame_may_have_end_the_connection():
    hub = Hub()

    def scene():
        for data in (b"\0\0\0\0", b"\x7f\xff\xff\xff12", b"\0\1\0\1xx"):
            conn, theirs = pair(hub)
            theirs.sendall(data)
            with pytest.raises((Closed, Malformed)):
                conn.frame(65536, time.monotonic() + 5)
            conn.close()
            theirs.close()
    play(hub, scene)
