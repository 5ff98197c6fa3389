"""A real front end behind a link that stands still: time without bytes proves nothing, and whoever has sent a
whole request gets its answer."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from types import SimpleNamespace

import pytest
from frontend import WITHIN, FrontEnd
from test_release import INFO

from aspenrill.net.hub import Closed
from standins.clients import ThriftClient
from standins.scene import play
from standins.slowlink import Piece, SlowLink, scripted, straight
from standins.world import Act

SETTINGS = INFO | {"group_size": 1, "me": 0}
TIMEOUT = "30000"  # milliseconds that the client waits
STALL = 2.5  # seconds
HALF = 40  # bytes, less than the least request
BEHIND = 5  # requests behind the one that stands still
MOST_OPEN = 32
NOT_READING = 11.0  # seconds, more than a time for the writing of an answer was

STALLS = {
    "before-the-first-byte": [Piece(0, STALL)],
    "within-a-message": [Piece(HALF), Piece(HALF, STALL)],
    "in-pieces-for-13-seconds": [Piece(10, 1.1)] * 12,
}


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontEnd]:
    made = FrontEnd(tmp_path, ("-m",))
    yield made
    made.stop()


def client_behind(front: FrontEnd, pieces: Sequence[Piece]) -> ThriftClient:
    """A client whose bytes come to the front end in these pieces."""
    front.client("lookup").close()  # it is up
    link = SlowLink(front.hub, front.address, lambda _: (scripted(pieces), straight))
    return ThriftClient(SimpleNamespace(hub=front.hub, address=link.address), "lookup", 30.0)


@pytest.mark.parametrize("how", list(STALLS))
def test_requests_on_a_link_that_stands_still_are_answered(front, how):
    kinds: list[str] = []

    def scene() -> None:
        client = client_behind(front, STALLS[how])
        for number in range(1 + BEHIND):
            client.send(f"select {number}", timeout=TIMEOUT)
        try:
            for _ in range(1 + BEHIND):
                kinds.append(client.read(WITHIN).kind)
        except Closed as why:
            kinds.append(repr(why))

    front.start(SETTINGS)
    began = time.monotonic()
    play(front.hub, scene)
    assert kinds == ["served"] * (1 + BEHIND), (kinds, time.monotonic() - began, front.log())


def test_a_client_that_takes_no_answers_for_long_gets_all_of_them(front):
    # the time for the writing of one answer ended the connection, and what was open with it
    kinds: list[str] = []
    rows = [(str(number), "x" * 40, "end") for number in range(900)]  # close to the most that a result holds

    def scene() -> None:
        client = client_behind(front, [])
        client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for number in range(MOST_OPEN):
            client.send(f"select {number}", timeout=TIMEOUT)
        front.hub.sleep(NOT_READING)
        for _ in range(MOST_OPEN):
            reply = client.read(WITHIN)
            kinds.append(reply.kind)
            assert reply.kind != "served" or reply.rows == rows

    for engine in front.engines:
        engine.act = lambda statement: Act(rows=rows)
    front.start(SETTINGS)
    play(front.hub, scene)
    assert len(kinds) == MOST_OPEN and set(kinds) <= {"served", "refused"}, (kinds, front.log())
    assert kinds.count("served") >= MOST_OPEN // 2, (kinds, front.log())
