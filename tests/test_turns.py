"""What one client sends is handled in turns with the other tasks, and not looked at again and again."""

from __future__ import annotations

import struct
import time

import pytest

from aspenrill.fronts import tds as tds_front
from aspenrill.fronts import thrift as thrift_front
from aspenrill.fronts.thrift_requests import RequestReader
from aspenrill.net.hub import Hub
from aspenrill.net.inbox import Inbox
from aspenrill.net.turns import FULL_TURNS
from aspenrill.wire import tds, thrift
from standins.world import World

FIELDS = {"kind": "lookup", "req": "ab" * 8, "timeout": "5000", "owner": "main"}
LATER_FIELD = thrift.field(thrift.I32, 3, b"\0\0\0\1")  # a reader passes over it, but the encoding is unusual
LARGE = 60_000  # bytes of a statement
SHARING_CLIENTS = 40
EMPTY_ONEWAY = thrift.frame(thrift.ONEWAY, "nobody", 0, b"")
IGNORED = tds.PACKET_HEADER.pack(
    tds.SQL_BATCH, tds.END_OF_MESSAGE | tds.IGNORE, tds.PACKET_HEADER.size, 0, 1, 0
)


def serve_call(seqid: int, statement: bytes, more: bytes = b"", **changed: str) -> bytes:
    fields = thrift.field(thrift.MAP, 1, thrift.text_map(FIELDS | changed))
    return thrift.frame(
        thrift.CALL, "serve", seqid, fields + thrift.field(thrift.STRING, 2, thrift.binary(statement)) + more
    )


def record_turns(monkeypatch) -> list[int]:
    """Returns a list that gets a 0 whenever a task lets the others run."""
    record: list[int] = []
    for name in ("yield_now", "wait_fd", "sleep"):
        original = getattr(Hub, name)

        def call(*args, original=original):
            record.append(0)
            return original(*args)

        monkeypatch.setattr(Hub, name, call)
    return record


def largest_turn(record: list[int]) -> int:
    """Returns the largest sum between two turns."""
    largest = size = 0
    for step in record:
        size = size + step if step else 0
        largest = max(largest, size)
    return largest


def test_large_messages_of_one_client_take_turns(monkeypatch):
    # eight messages were handled before others ran, whatever their size
    world, record = World("thrift"), record_turns(monkeypatch)
    handle = thrift_front.Session._handle_message

    def handle_message(session, data, start, end, arrived) -> None:
        record.append(end - start)
        handle(session, data, start, end, arrived)

    monkeypatch.setattr(thrift_front.Session, "_handle_message", handle_message)
    calls = b"".join(serve_call(number, b"x" * LARGE, kind="nobody") for number in range(1, 13))

    def scene() -> None:
        client = world.client()
        client.conn.write(calls, time.monotonic() + 10)
        for _ in range(12):
            assert client.read(10).kind == "failed"

    world.run(scene)
    assert max(record) > LARGE and largest_turn(record) <= max(record)


def test_a_buffer_is_scanned_for_cancelled_calls_once(monkeypatch):
    # it was scanned again after every eighth message
    world, peeked = World("thrift"), []
    peek = Inbox.peek

    def count_peek(inbox, count) -> bytes:
        peeked.append(count)
        return peek(inbox, count)

    forgets = b"".join(
        thrift.frame(thrift.ONEWAY, "forget", 0, thrift.field(thrift.I32, 1, struct.pack(">i", number)))
        for number in range(100, 600)
    )

    def scene() -> None:
        client = world.client()
        assert client.request("select").kind == "served"
        monkeypatch.setattr(Inbox, "peek", count_peek)
        client.conn.write(forgets, time.monotonic() + 10)
        assert client.request("select").kind == "served"

    world.run(scene)
    assert peeked and sum(peeked) < 2 * len(forgets)


@pytest.mark.parametrize("more", [b"", LATER_FIELD], ids=["usual", "unusual"])
def test_a_program_that_is_behind_reads_no_statement(monkeypatch, more):
    # a call in an unusual encoding was read and decided on, however far behind the program was
    world, read = World("thrift", listed=False), []
    world.node.fronts[0][0].shed_after, world.node.fronts[0][0].min_shed_after = (0.5,) * 4, 0.5
    monkeypatch.setattr(RequestReader, "read", lambda *args: read.append(args))
    world.hub.lag = lambda: 1.0

    def scene() -> None:
        client = world.client()
        client.conn.write(serve_call(1, b"select", more), time.monotonic() + 10)
        assert client.read(10).kind == "refused"

    world.run(scene)
    assert not read


def test_ignored_packets_of_one_tds_client_take_turns(monkeypatch):
    # without a batch to wait for, they were read as long as they came: nothing else ran
    world, record = World("tds"), record_turns(monkeypatch)
    parse = tds_front.tds.parse_packet_header

    def count_packet(data: bytes):
        record.append(1)
        return parse(data)

    def scene() -> None:
        client = world.client()
        assert client.request("select").kind == "served"
        monkeypatch.setattr(tds_front.tds, "parse_packet_header", count_packet)
        client.conn.write(IGNORED * 4000, time.monotonic() + 10)
        assert client.request("select").kind == "served"

    world.run(scene)
    assert sum(record) >= 4000 and largest_turn(record) <= tds_front.PACKETS_PER_TURN


@pytest.mark.parametrize("protocol", ["thrift", "tds"])
def test_many_clients_with_much_input_share_a_round(monkeypatch, protocol):
    # each had a turn of its own: a round of the event loop took as long as the turns of all together
    world, rounds = World(protocol), [0]
    front, per_turn, unit = (
        (thrift_front.thrift, thrift_front.MESSAGES_PER_TURN, "read_message")
        if protocol == "thrift"
        else (tds_front.tds, tds_front.PACKETS_PER_TURN, "parse_packet_header")
    )
    parse, run_round = getattr(front, unit), Hub.round

    def count_unit(data: bytes):
        rounds[-1] += 1
        return parse(data)

    def count_round(hub) -> None:
        rounds.append(0)
        run_round(hub)

    def scene() -> None:
        clients = [world.client() for _ in range(SHARING_CLIENTS)]
        monkeypatch.setattr(front, unit, count_unit)
        monkeypatch.setattr(Hub, "round", count_round)
        for client in clients:
            client.conn.write(
                EMPTY_ONEWAY * 300 if protocol == "thrift" else IGNORED * 1500, time.monotonic() + 10
            )
        world.until(lambda: sum(rounds) >= SHARING_CLIENTS * (290 if protocol == "thrift" else 1490))

    world.run(scene)
    assert per_turn <= max(rounds) <= 3 * FULL_TURNS * per_turn
