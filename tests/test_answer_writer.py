"""The queue of unsent answers: complete, ordered, bounded, and without answers the client cancelled."""

from __future__ import annotations

import socket

import pytest
from failing_socket import failing_pair

from aspenrill.fronts.thrift_answers import AnswerWriter, UnreadBytes
from aspenrill.net.conn import Connection
from aspenrill.net.hub import Hub
from aspenrill.wire import thrift
from standins.scenario import run_scenario

SIZE = 200_000  # bytes of an answer, more than the kernel's buffers hold


def answer(number: int, letter: bytes) -> bytes:
    return thrift.answer("serve", number, letter * SIZE, {}, True)


def writer_of(most: int, take: int) -> tuple[Hub, AnswerWriter, Connection, socket.socket]:
    """A writer whose first write sends `take` bytes."""
    hub = Hub()
    conn, far = failing_pair(hub, sendmsg=[take], send=[take])
    return hub, AnswerWriter(hub, conn, UnreadBytes(most)), conn, far


def received(hub: Hub, far: socket.socket, count: int) -> bytes:
    far.setblocking(False)
    data = b""
    while len(data) < count:
        try:
            data += far.recv(1 << 16)
        except BlockingIOError:
            hub.sleep(0.005)
    return data


def test_only_the_cancelled_answer_is_dropped_from_the_queue():
    hub, writer, conn, far = writer_of(1 << 30, 10)
    got: list[bytes] = []

    def scenario() -> None:
        for number, letter in ((1, b"a"), (2, b"b"), (3, b"c")):
            writer.send(number, answer(number, letter))
        writer.flush()
        writer.forget(1)  # it is partly sent
        writer.forget(2)
        writer.send(4, answer(4, b"d"))
        writer.forget(5)
        got.append(received(hub, far, 3 * len(answer(1, b"a"))))
        writer.wait()

    run_scenario(hub, scenario)
    assert got == [answer(1, b"a") + answer(3, b"c") + answer(4, b"d")]
    assert writer.unread.total == writer.unread.writing == conn.busy == 0
    conn.close()
    far.close()


@pytest.mark.parametrize("kept", [1, 2])
def test_an_answer_beyond_the_limit_is_replaced_by_a_failure(kept):
    whole = b"".join(answer(number, b"x") for number in range(1, kept + 1))
    hub, writer, conn, far = writer_of(len(whole), 0)
    failure = thrift.declared_exception("serve", 3, 2, {"reason": "answers are not read"})
    got: list[bytes] = []

    def scenario() -> None:
        for number in (1, 2, 3):
            writer.send(number, answer(number, b"x"))
        writer.flush()
        got.append(received(hub, far, len(whole) + (3 - kept) * len(failure)))
        writer.wait()

    run_scenario(hub, scenario)
    assert got[0].startswith(whole) and got[0].endswith(failure)
    assert writer.unread.total == 0
    conn.close()
    far.close()
