"""What passes by itself ends nothing: errors of calls, messages that are none, an error of the program."""

from __future__ import annotations

import errno
import os
import socket
import struct
import time

import pytest
from stubborn import pair

from aspenrill.net.conn import NO_MEMORY, UNREACHED
from aspenrill.net.hub import Closed, Hub
from standins.scene import play
from standins.world import ROWS, Act, World

PASSING = [*NO_MEMORY, *UNREACHED]
NAMES = [errno.errorcode[code] for code in PASSING]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def error(code: int) -> OSError:
    return OSError(code, os.strerror(code))


@pytest.mark.parametrize("code", PASSING, ids=NAMES)
def test_an_error_that_passes_ends_no_connection(code):
    hub, got = Hub(), []

    def scene() -> None:
        conn, far = pair(hub, recv=[error(code)] * 3, send=[error(code), 3, error(code)])
        far.sendall(b"question")
        got.append(conn.read(8, time.monotonic() + 5))
        conn.write(b"answered", time.monotonic() + 5)
        got.append(far.recv(100))
        conn.close()
        far.close()

    play(hub, scene)
    assert got == [b"question", b"answered"]


@pytest.mark.parametrize("code", UNREACHED, ids=NAMES[len(NO_MEMORY) :])
def test_the_same_error_of_a_connection_that_is_over_ends_it(code):
    hub = Hub()

    def scene() -> None:
        conn, far = pair(hub, recv=[error(code)])
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        far.close()
        with pytest.raises(Closed):
            conn.fill(time.monotonic() + 5)
        conn.close()

    play(hub, scene)


def test_a_request_behind_a_message_that_is_none_is_answered_and_not_taken():
    # the connection was read no further, and what lay behind it discarded
    world = World("thrift", 1)

    def run() -> None:
        world.engines[0].act = lambda statement: Act(after=0.3)
        client = world.client()
        client.send("select 1")
        client.conn.write(b"\0\0\0\4GET ", time.monotonic() + 5)
        client.send("select 2")
        assert client.read(10).kind == "refused"
        assert client.read(10).rows == ROWS
        with pytest.raises(Closed, match="end of stream"):
            client.conn.fill(time.monotonic() + 10)
        assert world.engines[0].statements == ["select 1"]

    world.run(run)


def test_a_client_that_shuts_its_write_side_gets_an_answer_to_what_is_open():
    world = World("thrift", 1)

    def run() -> None:
        world.engines[0].act = lambda statement: Act(after=5.0)
        client = world.client()
        client.send("select 1")
        world.until(lambda: world.engines[0].running)
        client.conn.sock.shutdown(socket.SHUT_WR)
        reply = client.read(10)
        assert reply.kind == "failed"
        world.until(lambda: not world.node.owner.open and world.engines[0].stopped == ["select 1"])

    world.run(run)


def test_one_accept_without_a_descriptor_ends_nobody():
    # a single EMFILE may pass by itself; a quiet connection was ended at once
    world = World("thrift", 1)

    def run() -> None:
        listener, client = world.node.fronts[0][1], world.client()
        assert client.ask("select 1").rows == ROWS

        class Scarce:
            """Accepts behind one error."""

            def __init__(self, sock: socket.socket) -> None:
                self.sock, self.failed = sock, False

            def __getattr__(self, name: str):
                return getattr(self.sock, name)

            def accept(self):
                if not self.failed:
                    self.failed = True
                    raise error(errno.EMFILE)
                return self.sock.accept()

        listener.sock = Scarce(listener.sock)
        assert world.client().ask("select 2").rows == ROWS
        assert listener.sock.failed and client.ask("select 3").rows == ROWS

    world.run(run)


def test_the_number_of_a_broken_message_stays_known():
    # an error of ours in a message must not put the numbers behind it out of step
    world = World("thrift", 1)

    def run() -> None:
        service, client = world.node.fronts[0][0], world.client()
        read, service.reader.read = service.reader.read, None
        assert client.ask("select 1").kind == "broken"
        service.reader.read = read
        for number in range(2, 5):
            assert client.ask(f"select {number}").rows == ROWS
        world.logged.clear()

    world.run(run)
