"""Tests of DNS messages, with dnspython as the oracle, and of corrupt and endless input."""

from __future__ import annotations

import time
from ipaddress import ip_address

import dns.message
import dns.rrset
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill.wire import Malformed
from aspenrill.wire import dns as wire

parse_name = wire.parse_name
NAMES = st.sampled_from(["a.example.", "b.a.example.", "_x._tcp.a.example.", "c.example."])
UINT16 = st.integers(0, 65535)
RDATA = st.one_of(
    st.tuples(st.just("A"), st.ip_addresses(v=4).map(str)),
    st.tuples(st.just("AAAA"), st.ip_addresses(v=6).map(str)),
    st.tuples(st.just("PTR"), NAMES),
    st.tuples(st.just("CNAME"), NAMES),
    st.tuples(
        st.just("SRV"), st.tuples(UINT16, UINT16, UINT16, NAMES).map(lambda row: " ".join(map(str, row)))
    ),
    st.tuples(st.just("TXT"), st.text("abc=;", max_size=9).map(lambda text: f'"{text}"')),
)
RECORDS = st.lists(st.tuples(NAMES, st.integers(0, 2**31 - 1), RDATA), max_size=8)


def message(rows) -> dns.message.Message:
    reply = dns.message.make_response(dns.message.make_query("_x._tcp.a.example.", "SRV", use_edns=0))
    for name, ttl, (kind, data) in rows:
        reply.answer.append(dns.rrset.from_text(name, ttl, "IN", kind, data))
    return reply


def rows_of(found: dns.message.Message) -> list[tuple]:
    return sorted(
        (rrset.name.to_text().lower(), int(rrset.rdtype), rrset.ttl, len(rrset)) for rrset in found.answer
    )


@settings(derandomize=True, deadline=None, max_examples=150, database=None)
@given(RECORDS)
def test_messages_of_dnspython_are_parsed(rows):
    reply = wire.parse_reply(message(rows).to_wire())
    assert reply.edns and wire.fold_case(reply.question[0]) == parse_name("_x._tcp.a.example")
    assert len(reply.records) == len(rows)
    for got, (name, ttl, (kind, data)) in zip(reply.records, rows, strict=True):
        assert (got.name, got.ttl, got.kind) == (parse_name(name), ttl, wire.RECORD_TYPES[kind])
        if kind in ("A", "AAAA"):
            assert ip_address(got.data) == ip_address(data)
        elif kind in ("PTR", "CNAME"):
            assert wire.format_name(got.data) == data
        elif kind == "SRV":
            *numbers, target = got.data
            assert [*map(str, numbers), wire.format_name(target)] == data.split(" ")


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(
    RECORDS, st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=6), st.integers(0, 400)
)
def test_corrupt_messages_are_malformed_or_parsed_as_dnspython_does(rows, changes, cut):
    data = bytearray(message(rows).to_wire())
    for at, value in changes:
        data[at % len(data)] = value
    data = bytes(data[: len(data) - cut % len(data)] if cut % 3 == 0 else data)
    try:
        reply = wire.parse_reply(data)
    except Malformed:
        return
    try:
        other = dns.message.from_wire(data, ignore_trailing=True, one_rr_per_rrset=True)
    except Exception:
        return  # dnspython is stricter about parts that this parser ignores
    if not reply.truncated:
        kinds = set(wire.RECORD_TYPES.values())
        ours = sorted((wire.format_name(r.name).lower(), r.kind, r.ttl, 1) for r in reply.records)
        theirs = [row for row in rows_of(other) if row[1] in kinds]
        if all(rrset.rdclass == 1 for rrset in other.answer):
            assert [row[1:3] for row in ours] == [row[1:3] for row in theirs]


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(st.binary(max_size=600))
def test_random_bytes_raise_nothing_but_malformed(data):
    try:
        wire.parse_reply(b"\0\1\x80\0" + data)
    except Malformed:
        pass


@pytest.mark.parametrize(
    "tail",
    [
        b"\xc0\x0c\0\x21\0\1",
        b"\xc0\x0e\xc0\x0c\0\x21\0\1",
        b"\x01a\xc0\x0c\0\x21\0\1",
        b"\xc0\xff\0\x21\0\1",
        b"\x3f" + b"a" * 20,
        (b"\x3f" + b"a" * 63) * 5 + b"\0\0\x21\0\1",
    ],
    ids=["itself", "alternating", "label and back", "forward", "truncated", "long"],
)
def test_names_without_an_end(tail):
    with pytest.raises(Malformed):
        wire.parse_reply(wire.HEADER.pack(1, 0x8000, 1, 0, 0, 0) + tail)


def test_chained_compression_pointers_are_parsed_quickly():
    # 64 KB of records whose names are chains of compression pointers must not block the loop for seconds
    head = (
        wire.HEADER.pack(1, 0x8000, 1, 4000, 0, 0)
        + b"".join(b"\x01a" for _ in range(120))
        + b"\0"
        + b"\0\x21\0\1"
    )
    at, body = 12, b""
    for _ in range(4000):
        body += bytes([0xC0 | at >> 8, at & 255]) + b"\0\x01\0\1\0\0\0\x3c\0\4\x7f\0\0\1"
    began = time.process_time()
    assert len(wire.parse_reply(head + body).records) == 4000
    assert time.process_time() - began < 1.0
