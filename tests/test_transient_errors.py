"""Transient system call errors, malformed messages and internal errors do not end a connection."""

from __future__ import annotations

import errno
import os
import socket
import struct
import time

import pytest
from failing_socket import failing_pair

from aspenrill.net.conn import NO_MEMORY_ERRNOS, UNREACHABLE_ERRNOS
from aspenrill.net.hub import Closed, Hub
from standins.scenario import run_scenario
from standins.world import ROWS, EngineBehaviour, World

TRANSIENT = [*NO_MEMORY_ERRNOS, *UNREACHABLE_ERRNOS]
NAMES = [errno.errorcode[code] for code in TRANSIENT]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def error(code: int) -> OSError:
    return OSError(code, os.strerror(code))


@pytest.mark.parametrize("code", TRANSIENT, ids=NAMES)
def test_a_transient_error_does_not_end_the_connection(code):
    hub, got = Hub(), []

    def scenario() -> None:
        conn, far = failing_pair(hub, recv=[error(code)] * 3, send=[error(code), 3, error(code)])
        far.sendall(b"question")
        got.append(conn.read(8, time.monotonic() + 5))
        conn.write(b"answered", time.monotonic() + 5)
        got.append(far.recv(100))
        conn.close()
        far.close()

    run_scenario(hub, scenario)
    assert got == [b"question", b"answered"]


@pytest.mark.parametrize("code", UNREACHABLE_ERRNOS, ids=NAMES[len(NO_MEMORY_ERRNOS) :])
def test_the_same_error_ends_a_connection_that_the_peer_has_reset(code):
    hub = Hub()

    def scenario() -> None:
        conn, far = failing_pair(hub, recv=[error(code)])
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        far.close()
        with pytest.raises(Closed):
            conn.fill(time.monotonic() + 5)
        conn.close()

    run_scenario(hub, scenario)


def test_a_request_after_a_malformed_message_is_refused():
    # reading stopped there and later requests were discarded without an answer
    world = World("thrift", 1)

    def run() -> None:
        world.engines[0].behaviour = lambda statement: EngineBehaviour(after=0.3)
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


def test_a_client_that_shuts_its_write_side_gets_its_open_answer():
    world = World("thrift", 1)

    def run() -> None:
        world.engines[0].behaviour = lambda statement: EngineBehaviour(after=5.0)
        client = world.client()
        client.send("select 1")
        world.until(lambda: world.engines[0].running)
        client.conn.sock.shutdown(socket.SHUT_WR)
        reply = client.read(10)
        assert reply.kind == "failed"
        world.until(lambda: not world.node.owner.open and world.engines[0].stopped == ["select 1"])

    world.run(run)


def test_one_accept_without_a_descriptor_evicts_no_connection():
    # a single EMFILE may be transient, but an idle connection was evicted at once
    world = World("thrift", 1)

    def run() -> None:
        listener, client = world.node.fronts[0][1], world.client()
        assert client.request("select 1").rows == ROWS

        class FailingOnce:
            """Accepts after one error."""

            def __init__(self, sock: socket.socket) -> None:
                self.sock, self.failed = sock, False

            def __getattr__(self, name: str):
                return getattr(self.sock, name)

            def accept(self):
                if not self.failed:
                    self.failed = True
                    raise error(errno.EMFILE)
                return self.sock.accept()

        listener.sock = FailingOnce(listener.sock)
        assert world.client().request("select 2").rows == ROWS
        assert listener.sock.failed and client.request("select 3").rows == ROWS

    world.run(run)


def test_an_internal_error_keeps_the_sequence_numbers_in_step():
    # after an internal error in one message, the following ones were out of sequence
    world = World("thrift", 1)

    def run() -> None:
        service, client = world.node.fronts[0][0], world.client()
        read, service.reader.read = service.reader.read, None
        assert client.request("select 1").kind == "broken"
        service.reader.read = read
        for number in range(2, 5):
            assert client.request(f"select {number}").rows == ROWS
        world.logged.clear()

    world.run(run)
