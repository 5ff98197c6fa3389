"""The limit on the memory of incomplete messages, and what of them is held."""

from __future__ import annotations

import gc
import time
import tracemalloc

import pytest

from aspenrill.fronts import tds as tds_front
from aspenrill.fronts import thrift as thrift_front
from aspenrill.net.connecting import connect
from aspenrill.net.hub import Closed
from aspenrill.net.partialbytes import PartialMessageBytes
from aspenrill.wire import tds
from standins.clients import Reply
from standins.world import ROWS, World

MESSAGE = 60_000  # bytes of an unfinished message
MEMORY_FACTOR = 1.5  # memory for a byte of it: a buffer that grows has room to spare
MEMORY_OF_A_CONNECTION = 8_000  # bytes, beside what it has read: its objects, and a read on its way


class Holder:
    """Records the reason for which reading stopped."""

    def __init__(self, busy: int = 0, requests: int = 0) -> None:
        self.busy, self.requests, self.reason = busy, requests, ""

    def stop_reading(self, reason: str) -> None:
        self.reason = reason


def test_who_has_sent_no_whole_request_is_stopped_first_and_the_one_that_holds_the_most():
    # half a request of a usual client was ended for what others held, as it was silent the longest
    held, usual, small, large, last = (
        PartialMessageBytes(100),
        Holder(requests=9),
        Holder(),
        Holder(),
        Holder(),
    )
    held.set_bytes(usual, 40)
    held.set_bytes(small, 20)
    held.set_bytes(large, 30)
    held.set_bytes(last, 10)
    held.set_bytes(last, 25)
    assert [each.reason != "" for each in (usual, small, large, last)] == [False, False, True, False]
    held.set_bytes(usual, 90)
    assert [each.reason != "" for each in (usual, small, large, last)] == [False, True, True, True]
    assert held.total == 90
    held.set_bytes(usual, 0)
    assert held.total == 0


def test_a_connection_with_open_requests_is_stopped_only_if_no_other_is_left():
    held, busy, other = PartialMessageBytes(50), Holder(busy=1), Holder(busy=2)
    held.set_bytes(busy, 40)
    held.set_bytes(other, 40)
    assert busy.reason and not other.reason and held.total == 40
    held.release(other)
    held.release(other)
    assert held.total == 0


def unfinished(protocol: str, piece: int) -> list[bytes]:
    """The pieces of an unfinished message of MESSAGE bytes; with TDS each is a packet of its own."""
    if protocol == "thrift":
        data = MESSAGE.to_bytes(4, "big") + b"\x80\x01\x00\x01" + b"x" * (MESSAGE - 100)
        return [data[at : at + piece] for at in range(0, len(data), piece)]
    head = tds.PACKET_HEADER.pack(tds.SQL_BATCH, 0, 8 + piece, 0, 1, 0)
    return [head + b"x" * piece for _ in range(0, MESSAGE, piece)]


@pytest.mark.parametrize("protocol, piece", [("thrift", 2), ("thrift", 20), ("tds", 1), ("tds", 4000)])
def test_memory_follows_the_bytes_that_are_held_and_not_the_pieces_in_which_they_came(protocol, piece):
    # a request written two bytes at a time took thirty times its size: a process was killed for its memory
    world = World(protocol, 1)

    def scene() -> None:
        client = world.client()
        assert client.request("select 1") == Reply("served", ROWS)
        partial = world.node.fronts[0][0].partial_bytes
        pieces = unfinished(protocol, piece)
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for part in pieces:
            client.conn.write(part, time.monotonic() + 10)
            world.hub.yield_now()
            world.hub.yield_now()
        world.until(lambda: partial.total >= MESSAGE * 0.9)
        gc.collect()
        grown = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        assert grown < MEMORY_FACTOR * MESSAGE + MEMORY_OF_A_CONNECTION
        assert partial.total <= MEMORY_FACTOR * MESSAGE

    world.run(scene)


@pytest.mark.parametrize("protocol", ["thrift", "tds"])
def test_a_usual_client_keeps_its_half_request_while_others_stop_halfway(monkeypatch, protocol):
    # whole packets of an unfinished TDS message were counted nowhere, and nobody was ended
    front = thrift_front if protocol == "thrift" else tds_front
    monkeypatch.setattr(front, "MAX_PARTIAL_BYTES", 4 * MESSAGE)
    world = World(protocol, 1)

    def scene() -> None:
        usual, rough = world.client(), []
        assert usual.request("select 1") == Reply("served", ROWS)
        half, write = [], usual.conn.write
        usual.conn.write = lambda data, until: half.append(data)
        usual.send("select 2")
        usual.conn.write = write
        (message,) = half
        write(message[:40], time.monotonic() + 10)
        for _ in range(8):
            conn = world.client().conn if protocol == "tds" else connect(*_dial(world))
            conn.write(b"".join(unfinished(protocol, 4000)), time.monotonic() + 10)
            rough.append(conn)
        partial = world.node.fronts[0][0].partial_bytes
        world.until(lambda: sum(map(_ended, rough)) >= 4)
        assert partial.total <= 4 * MESSAGE
        write(message[40:], time.monotonic() + 10)
        assert usual.read(10.0) == Reply("served", ROWS)
        for conn in rough:
            conn.close()
        world.until(lambda: partial.total == 0)

    world.run(scene)


def _dial(world: World) -> tuple:
    return world.hub, world.address, time.monotonic() + 10


def _ended(conn) -> bool:
    """Whether the front end has ended a connection."""
    try:
        while conn.peer_closed() is None:
            conn.fill(time.monotonic() + 1)
            conn.incoming.clear()
    except Closed:
        return True
    return bool(conn.peer_closed())
