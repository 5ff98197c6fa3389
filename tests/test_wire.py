"""Tests of the wire parsers and encoders, mostly tables of cases."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.net.ring import Ring
from aspenrill.wire import Malformed, bulletin, dns, http1, sql, tds, tds_tokens, thrift


@pytest.mark.parametrize(
    "statement, group",
    [
        ("select * from sales_17.orders", 17),
        ("SELECT id, note -- was: from mart_1.old\nFROM lake_6.orders WHERE tag = 'x' LIMIT 500", 6),
        ("select a.id, 'from lake_0.decoy' as note from mart_1.lines a where a.tag = 'it''s'", 1),
        ("INSERT INTO sales_5.orders SELECT * FROM staging.batch", 5),
        ("insert into staging.batch select * from ops_3.x", 3),
        ("select /* from a_1.b /* nested */ c_2.d */ 1 from [ops_2].[x]", 2),
        ('select "o_3".x from "lake_9"."t" o_3', 9),
        ("WITH w AS (SELECT * FROM ops_2.lines) SELECT id FROM w", 2),
        ("update sales_4.x set a = 1", 4),
        ("delete from db.sales_8.x", 8),
        ("merge into lake_1.t using s on 1=1", 1),
        ("select $$ from a_1.b $$ from c_2.d", 2),
        ("select 1", None),
        ("", None),
        ("select 'open from a_1.b", None),
        ("select 1 /* open from a_1.b", None),
        ("select * from plain.t", None),
    ],
)
def test_table_group(statement, group):
    assert sql.table_group(statement) == group


@pytest.mark.parametrize(
    "block, status, length",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Batches: 1\r\n\r\n", 200, 12),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, 0),
        (b"HTTP/1.1 503\r\ncontent-length:0\r\n\r\n", 503, 0),
        (b"HTTP/1.0 200 OK\r\n\r\n", 200, None),
    ],
)
def test_response_head(block, status, length):
    head = http1.parse_response_head(block.decode("latin-1"))
    assert (head.status, head.length) == (status, length)


@pytest.mark.parametrize(
    "block",
    [
        b"",
        b"\r\n\r\n",
        b"HTTP/1.1 abc\r\n\r\n",
        b"SMTP 200 x\r\n\r\n",
        b"HTTP/1.1 99 x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n : x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
    ],
)
def test_invalid_response_heads(block):
    with pytest.raises(Malformed):
        _ = http1.parse_response_head(block.decode("latin-1")).length


def test_a_header_value_cannot_inject_a_header():
    # a line break in a value must not add a header
    with pytest.raises(Malformed):
        http1.request("POST", "/data", "h", {"X-Nonce": "a\r\nX-Ticket: b"})


CALL = thrift.frame(
    thrift.CALL,
    "serve",
    7,
    thrift.field(thrift.MAP, 1, thrift.text_map({"kind": "a"}))
    + thrift.field(thrift.STRING, 2, thrift.binary(b"select 1")),
)[4:]


def test_thrift_call():
    message = thrift.read_message(CALL)
    assert (message.kind, message.name, message.seqid) == (thrift.CALL, "serve", 7)
    assert message.args == {1: {b"kind": b"a"}, 2: b"select 1"}


@pytest.mark.parametrize("cut", range(len(CALL)))
def test_truncated_thrift_messages(cut):
    # if its header can be parsed, it is answered by an application exception
    if cut < 4 + 4 + 5 + 4:
        with pytest.raises(Malformed):
            thrift.read_message(CALL[:cut])
    else:
        assert thrift.read_message(CALL[:cut]).args is None


@pytest.mark.parametrize(
    "body",
    [
        b"\x0b\0\1\x7f\xff\xff\xff",
        b"\x0b\0\1\xff\xff\xff\xff",
        b"\x63\0\1\0",
        b"\x0f\0\1\x02\x7f\xff\xff\xff",
        b"\x0c\0\1" * 50,
        b"\0trailing",
    ],
)
def test_invalid_thrift_arguments(body):
    head = struct.pack(">I", 0x80010001) + thrift.binary(b"serve") + struct.pack(">i", 1)
    assert thrift.read_message(head + body).args is None


def test_bulletin_frames_and_json_decode_alike():
    record = struct.pack(">I4sHBBBHIQ", 0x00C41F7A, bytes([10, 1, 0, 9]), 8080, 1, 1, 0, 2, 4000, 1500)
    update = bulletin.decode_update(41, bulletin.CHANGES, record)
    item = {
        "no": 41,
        "roster": {
            "whole": False,
            "hosts": [
                {
                    "host": "s-00c41f7a",
                    "dial": "10.1.0.9:8080",
                    "site": "east",
                    "class": "std",
                    "block": 2,
                    "health": "terminating",
                    "born_ms": 1500,
                }
            ],
        },
    }
    assert update == bulletin.decode_json_update(item, ["west", "east"], ["std"])
    assert bulletin.decode_update(41, bulletin.UNCHANGED, b"") is None


@pytest.mark.parametrize("kind, payload", [(3, b""), (2, b"x" * 26), (2, b"\0" * 10 + b"\7" + b"\0" * 16)])
def test_invalid_bulletin_frames(kind, payload):
    with pytest.raises(Malformed):
        bulletin.decode_update(1, kind, payload)


@pytest.mark.parametrize(
    "item",
    [
        {},
        {"no": 1},
        {"no": 1, "roster": {"whole": True, "hosts": [{}]}},
        {"no": "x", "roster": {"whole": True, "hosts": []}},
        None,
    ],
)
def test_invalid_bulletin_json(item):
    with pytest.raises(Malformed):
        bulletin.decode_json_update(item, [], [])


ROWS = [["1", None, "é"], ["", "b", "c" * 300]]
ANSWER = (
    tds.text_columns(["a", "b", "c"])
    + b"".join(map(tds.text_row, ROWS))
    + tds.error(50001, "no")
    + tds.done(tds.DONE_ERROR, 2)
)


@given(st.lists(st.integers(1, 400), max_size=20))
@settings(derandomize=True, max_examples=60)
def test_tds_tokens_in_any_split(cuts):
    reader, at = tds_tokens.TokenReader(1 << 16), 0
    for cut in [*cuts, len(ANSWER)]:
        if not reader.answer.ended:
            reader.feed(ANSWER[at : at + cut])
            at += cut
    answer = reader.answer
    assert (
        answer.ended and answer.rows == 2 and answer.error == (50001, "no") and answer.status & tds.DONE_ERROR
    )
    assert tds_tokens.rows_as_text(b"".join(answer.tokens)) == ROWS


def column_response(kind: int, info: bytes, value: bytes) -> bytes:
    return (
        bytes([tds.COLMETADATA])
        + struct.pack("<HIHB", 1, 0, 1, kind)
        + info
        + tds.short_text("c")
        + bytes([tds.ROW])
        + value
        + tds.done(rows=1)
    )


@pytest.mark.parametrize(
    "kind, info, value, text",
    [
        (0x38, b"", b"\x05\0\0\0", "5"),
        (0x26, b"\4", b"\4\xff\xff\xff\xff", "-1"),
        (0x26, b"\4", b"\0", None),
        (0x68, b"\1", b"\1\1", "True"),
        (0x6D, b"\x08", b"\x08" + struct.pack("<d", 1.5), "1.5"),
        (0xA7, struct.pack("<H", 10) + tds.COLLATION, b"\2\0ab", "ab"),
        (
            0xE7,
            struct.pack("<H", 0xFFFF) + tds.COLLATION,
            struct.pack("<QI", 4, 4) + b"a\0b\0" + b"\0" * 4,
            "ab",
        ),
        (0xE7, struct.pack("<H", 0xFFFF) + tds.COLLATION, b"\xff" * 8, None),
    ],
)
def test_tds_values(kind, info, value, text):
    data = column_response(kind, info, value)
    reader = tds_tokens.TokenReader(1 << 16)
    reader.feed(data)
    assert reader.answer.ended and tds_tokens.rows_as_text(b"".join(reader.answer.tokens)) == [[text]]


@pytest.mark.parametrize(
    "data",
    [
        b"\x00",
        bytes([tds.ROW]),
        tds.text_columns(["a"]) * 2,
        column_response(0x63, b"", b""),
        tds.text_columns(["a"]) + tds.text_row(["x" * 3000]) * 20 + tds.done(),
    ],
)
def test_invalid_or_oversized_tds_responses(data):
    with pytest.raises(Malformed):
        tds_tokens.TokenReader(20000).feed(data)


def test_tds_login_and_batch():
    login = tds.Login("Clerk", "settle", "host", "db", 8000)
    assert tds.read_login7(tds.login7(login, "secret")) == login
    assert tds.read_sql_batch(tds.sql_batch("select 'é'")) == "select 'é'"
    assert tds.read_prelogin(tds.prelogin())[1] == bytes([tds.NOT_SUPPORTED])
    encoded = tds.packets(tds.SQL_BATCH, b"x" * 1000, 512)
    assert [tds.parse_packet_header(encoded[at : at + 8])[1:] for at in (0, 512)] == [(0, 504), (1, 496)]


@pytest.mark.parametrize(
    "read, body",
    [
        (tds.read_login7, b"x" * 20),
        (tds.read_login7, b"\x5e\0\0\0" + b"\xff" * 90),
        (tds.read_prelogin, b"\0\0"),
        (tds.read_prelogin, b"\0\0\x40\0\x09\xff"),
        (tds.read_prelogin, b""),
        (tds.read_sql_batch, b"\1"),
        (tds.read_sql_batch, struct.pack("<I", 999)),
        (tds.parse_packet_header, struct.pack(">BBHHBB", 1, 1, 3, 0, 1, 0)),
    ],
)
def test_invalid_tds_messages(read, body):
    with pytest.raises(Malformed):
        read(body)


NAME = ("_tds", "_tcp", "x", "local")


def test_names_round_trip():
    assert dns.parse_name(dns.format_name(("a.b", "c\\d"))) == ("a.b", "c\\d")


@pytest.mark.parametrize(
    "data",
    [
        b"",
        dns.encode_query(1, NAME, dns.PTR),
        dns.HEADER.pack(1, 0x8000, 1, 0, 0, 0) + b"\xc0\x0c" + b"\0\x0c\0\1",
        dns.HEADER.pack(1, 0x8000, 1, 0, 0, 0) + b"\x7fabc",
    ],
)
def test_invalid_dns_messages(data):
    with pytest.raises(Malformed):
        dns.parse_reply(data)


@given(st.lists(st.one_of(st.binary(max_size=40), st.integers(0, 40)), max_size=40))
@settings(derandomize=True, max_examples=100)
def test_ring_keeps_order_and_bounds(steps):
    ring, model = Ring(32), b""
    for step in steps:
        if isinstance(step, bytes):
            taken = ring.push(step)
            assert taken == min(len(step), 32 - len(model))
            model += step[:taken]
        else:
            assert ring.pull(step) == model[:step]
            model = model[step:]
        assert ring.peek(32) == model and ring.free == 32 - len(model)
        assert bytes(ring.data()) == model[: len(ring.data())] and (bool(ring.data()) == bool(model))


PAGE = {"x-batches": "2"}


@pytest.mark.parametrize(
    "fields, body, number",
    [
        ({}, b"a\tb\tc\n", 0),
        ({"x-batches": "0"}, b"", 0),
        ({"x-batches": "9" * 12}, b"", 0),
        (PAGE, b"a\tb\tc", 0),
        (PAGE, b"a\tb\n", 0),
        (PAGE, b"\xff\tb\tc\n", 0),
        (PAGE, b"a\tb\tc\n" * 1001, 0),
        (PAGE | {"x-batch": "1"}, b"a\tb\tc\n", 0),
        ({"x-batch": "2"}, b"a\tb\tc\n", 1),
        ({}, b"a\tb\tc\n", 1),
    ],
)
def test_invalid_pages(fields, body, number):
    with pytest.raises(Malformed):
        http1.check_page(http1.Head(200, fields), body, number)


@pytest.mark.parametrize(
    "fields, body, number",
    [(PAGE, b"a\tb\tc\nd\te\t\n", 0), ({"x-batches": "1"}, b"", 0), ({"x-batch": "1"}, b"a\tb\tc\n", 1)],
)
def test_valid_pages(fields, body, number):
    http1.check_page(http1.Head(200, fields), body, number)


@pytest.mark.parametrize(
    "line", [b"0x10\r\n", b"1_0\r\n", b"+5\r\n", b"-1\r\n", b"\r\n", b"fffffff\r\n", b"5" * 5000]
)
def test_invalid_chunk_sizes(line):
    with pytest.raises(Malformed):
        http1.parse_chunk_size(line)


@pytest.mark.parametrize(
    "fields",
    [
        {"content-length": "3000000000"},
        {"content-length": "9" * 5000},
        {"content-length": "-1"},
        {"content-length": "4", "transfer-encoding": "chunked"},
    ],
)
def test_unusable_content_lengths(fields):
    # a body larger than any valid response must not be buffered
    with pytest.raises(Malformed):
        assert http1.Head(200, fields).length is None
