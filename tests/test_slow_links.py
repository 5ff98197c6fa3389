"""A front-end process behind a stalling link: each complete request is answered."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from types import SimpleNamespace

import pytest
from frontend import MAX_WAIT_S, FrontEnd
from test_release import INFO

from aspenrill.net.hub import Closed
from standins.clients import ThriftClient
from standins.scenario import run_scenario
from standins.slowlink import Piece, SlowLink, scripted, unshaped
from standins.world import EngineBehaviour

SETTINGS = INFO | {"group_size": 1, "me": 0}
TIMEOUT = "30000"  # milliseconds, the client's time-out
STALL_S = 2.5
FRAGMENT = 40  # bytes, less than the smallest request
FOLLOWING = 5  # requests after the one that is stalled
MAX_OPEN = 32  # requests
NOT_READING_S = 11.0  # more than the former time-out for writing an answer

STALLS = {
    "before-the-first-byte": [Piece(0, STALL_S)],
    "within-a-message": [Piece(FRAGMENT), Piece(FRAGMENT, STALL_S)],
    "in-pieces-for-13-seconds": [Piece(10, 1.1)] * 12,
}


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontEnd]:
    made = FrontEnd(tmp_path, ("-m",))
    yield made
    made.stop()


def client_behind(front: FrontEnd, pieces: Sequence[Piece]) -> ThriftClient:
    """A client whose data reaches the front end in these pieces."""
    front.client("lookup").close()  # wait until it is up
    link = SlowLink(front.hub, front.address, lambda _: (scripted(pieces), unshaped))
    return ThriftClient(SimpleNamespace(hub=front.hub, address=link.address), "lookup", 30.0)


@pytest.mark.parametrize("how", list(STALLS))
def test_requests_on_a_stalled_link_are_answered(front, how):
    kinds: list[str] = []

    def scenario() -> None:
        client = client_behind(front, STALLS[how])
        for number in range(1 + FOLLOWING):
            client.send(f"select {number}", timeout=TIMEOUT)
        try:
            for _ in range(1 + FOLLOWING):
                kinds.append(client.read(MAX_WAIT_S).kind)
        except Closed as why:
            kinds.append(repr(why))

    front.start(SETTINGS)
    began = time.monotonic()
    run_scenario(front.hub, scenario)
    assert kinds == ["served"] * (1 + FOLLOWING), (kinds, time.monotonic() - began, front.log())


def test_a_client_that_reads_nothing_for_long_gets_all_answers(front):
    # a time-out for writing one answer closed the connection and lost the other requests
    kinds: list[str] = []
    rows = [(str(number), "x" * 40, "end") for number in range(900)]  # close to the size limit of a result

    def scenario() -> None:
        client = client_behind(front, [])
        client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for number in range(MAX_OPEN):
            client.send(f"select {number}", timeout=TIMEOUT)
        front.hub.sleep(NOT_READING_S)
        for _ in range(MAX_OPEN):
            reply = client.read(MAX_WAIT_S)
            kinds.append(reply.kind)
            assert reply.kind != "served" or reply.rows == rows

    for engine in front.engines:
        engine.behaviour = lambda statement: EngineBehaviour(rows=rows)
    front.start(SETTINGS)
    run_scenario(front.hub, scenario)
    assert len(kinds) == MAX_OPEN and set(kinds) <= {"served", "refused"}, (kinds, front.log())
    assert kinds.count("served") >= MAX_OPEN // 2, (kinds, front.log())
