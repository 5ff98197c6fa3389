"""The work of one message is bounded by what it makes the program do, not by its bytes alone."""

from __future__ import annotations

import struct
import time

import pytest

from aspenrill.wire import thrift
from standins.clients import Reply
from standins.world import ROWS, World

SIZE = 56_000  # bytes of a message
FIELDS = {"kind": "lookup", "req": "ab" * 8, "timeout": "5000", "owner": "main"}


def many_fields(count: int) -> bytes:
    """A map<string,string> of the usual fields and many short ones."""
    entries = FIELDS | {str(number): "" for number in range(count)}
    return thrift.field(thrift.MAP, 1, thrift.text_map(entries))


def elements(kind: int, count: int, element: bytes) -> bytes:
    """A list of equal elements."""
    return thrift.field(thrift.LIST, 1, struct.pack(">bi", kind, count) + element * count)


MESSAGES = {
    "fields": many_fields(5000),
    "bytes": elements(thrift.BYTE, SIZE, b"\1"),
    "structs": elements(thrift.STRUCT, SIZE, b"\0"),
    "nested": elements(thrift.LIST, 900, struct.pack(">bi", thrift.BYTE, 50) + b"\1" * 50),
    "members": thrift.field(thrift.BOOL, 9, b"\1") * (SIZE // 4),
}


@pytest.mark.parametrize("shape", list(MESSAGES))
def test_a_message_of_very_many_short_values_is_not_read_to_its_end(monkeypatch, shape):
    # one such message held the event loop for 8 ms and more: 100 clients with them kept all others waiting
    frame = thrift.frame(thrift.CALL, "serve", 1, MESSAGES[shape])
    read, unpack, binary = [], thrift._Reader.unpack, thrift._Reader.binary
    monkeypatch.setattr(thrift._Reader, "unpack", lambda *args: read.append(1) or unpack(*args))
    monkeypatch.setattr(thrift._Reader, "binary", lambda *args: read.append(1) or binary(*args))
    assert thrift.read_message(frame[4:]).args is None
    assert len(read) <= 4 * thrift.MAX_VALUES  # three for a member of a struct


def test_its_client_gets_an_answer_to_it_and_others_theirs():
    world = World("thrift", 1)

    def scene() -> None:
        rough, usual = world.client(), world.client()
        rough.conn.write(thrift.frame(thrift.CALL, "serve", 1, many_fields(5000)), time.monotonic() + 10)
        assert rough.read(10.0).kind == "broken"  # an application exception
        assert usual.request("select 1") == Reply("served", ROWS)

    world.run(scene)


def test_further_fields_of_a_usual_call_are_passed_over():
    world = World("thrift", 1)
    more = {f"trace-{number}": "x" for number in range(300)}
    statement = thrift.field(thrift.STRING, 2, thrift.binary(b"select 1"))
    call = thrift.frame(
        thrift.CALL, "serve", 1, thrift.field(thrift.MAP, 1, thrift.text_map(FIELDS | more)) + statement
    )

    def scene() -> None:
        client = world.client()
        client.conn.write(call, time.monotonic() + 10)
        assert client.read(10.0) == Reply("served", ROWS)

    world.run(scene)
