"""Authority: configuration, stored state, table, leaving, members that are behind, malformed messages."""

from __future__ import annotations

import random

import pytest
from authority_world import World

from aspenrill.errors import FleetConfigTrouble, StateTrouble
from aspenrill.fleet.authority import AuthorityPart, Rules
from aspenrill.fleet.authority import table as table_module
from aspenrill.fleet.authority.table import Table
from aspenrill.fleet.authority.wire import Accept, Accepted, Chunk, Record, decode, encode
from aspenrill.fleet.interface import MAX_BODY


def record(number: int, key: str, body: bytes = b"x") -> Record:
    return Record(number, 1, "k", key, body)


@pytest.mark.parametrize(
    "bad",
    [
        {"voters": ()},
        {"voters": ("a", "a")},
        {"voters": ("a",), "lease": 1.0},
        {"voters": ("a",), "margin": -1.0},
    ],
)
def test_invalid_rules_name_the_field(bad):
    with pytest.raises(FleetConfigTrouble, match=list(bad)[-1]):
        Rules(**bad)


def test_a_new_coordinator_waits_for_its_predecessors_leases():
    w = World(3, 5, 3)
    assert w.until(w.settled, 5)  # no predecessor to wait for
    assert w.until(w.ready, 30)
    w.crash(w.coordinator().name)
    assert w.until(lambda: w.coordinator() is not None, 10)
    start = w.now
    assert not w.settled() and w.until(w.settled, 20)
    assert w.now - start > w.rules.longest


def test_leaving_coordinator_hands_over_at_once():
    w = World(5, 5, 3)
    assert w.until(w.ready, 30)
    w.run(5)
    leaver = w.coordinator().name
    w.leave(leaver)
    assert w.until(lambda: w.coordinator() is not None, w.rules.lease * 0.6)


def test_rejoining_voter_does_not_displace_coordinator():
    w = World(7, 3, 3)
    assert w.until(w.ready, 30)
    name, epoch = w.coordinator().name, max(w.epoch_holders)
    cut = next(other for other in w.names if other != name)
    w.net.partition([cut])
    w.run(20)
    w.net.heal()
    w.run(20)
    assert w.coordinator().name == name and max(w.epoch_holders) == epoch


def test_full_disk_stops_voting_and_is_logged_once():
    w = World(9, 3, 3)
    assert w.until(w.ready, 30)
    name = w.coordinator().name
    w.disk(name, "full")
    w.demand(0.1, 3, 10)
    w.run(10)
    assert w.coordinator().name != name and w.until(w.converged, 20)
    assert sum("fleet-disk" in note for note in w.procs[name].notes) == 1


def test_damaged_stored_records_are_refused():
    w = World(11, 3, 3)
    assert w.until(w.ready, 30)
    w.crash("p1")
    w.start("p1", disk="damaged")
    assert isinstance(w.procs["p1"].refused, StateTrouble)


def test_voter_that_lost_its_disk_is_admitted_with_the_log():
    w = World(13, 3, 3)
    assert w.until(w.ready, 30)
    w.demand(0.1, 20, 5)
    w.run(6)
    lost = next(name for name in w.names if name != w.coordinator().name)
    w.crash(lost)
    w.start(lost, disk="lost")
    part = w.procs[lost].parts[0]
    w.run(2)
    assert part.voter.promise is None  # leases it granted before may still run
    w.run(8)
    assert part.voter.promise is not None and part.table.last == max(w.ledger)


def test_late_member_learns_live_and_deleted_keys(monkeypatch):
    monkeypatch.setattr(table_module, "MAX_TOMBSTONES", 5)
    w = World(15, 4, 3)
    assert w.until(w.ready, 30)
    w.propose("stays")
    w.propose("ends")
    w.run(2)
    w.net.partition(["p3"])
    w.propose("ends", b"")
    for number in range(20):
        w.propose(f"short{number}")
        w.propose(f"short{number}", b"")
        w.run(0.2)
    w.net.heal()
    cut_off = w.procs["p3"].parts[0]
    assert cut_off.table.last == 2 < w.coordinator().parts[0].table.floor
    w.table_receiver = "p3"  # its tombstones get numbers of their own
    assert w.until(lambda: cut_off.table.last == max(w.ledger), 20)
    live = {key for (_, key), held in cut_off.table.latest.items() if held.body}
    assert live == {"stays"}


def test_chunks_in_any_order_yield_the_same_table():
    rng = random.Random(1)
    complete = Table()
    for number in range(1, 200):
        complete.apply([record(number, f"key{rng.randrange(30)}", rng.choice((b"", b"y" * 300)))], number)
    chunks, after = [], 0
    while after < complete.last:
        chunks.append(complete.chunk(after, 1))
        after = chunks[-1].to
    late = Table()
    while late.last < complete.last:
        chunk = rng.choice(chunks)
        if chunk.after <= late.last < chunk.to:
            late.apply(chunk.records, chunk.to)
    assert late.latest == complete.latest and all(len(encode(chunk)) <= MAX_BODY for chunk in chunks)


def test_impossible_table_transfer_is_refused():
    table = Table()
    table.apply([record(1, "a"), record(2, "b"), record(3, "c")], 3)
    assert table.replace([record(5, "d")], 5, 4) is None and table.last == 3
    change = table.replace([record(9, "d")], 9, 8)
    assert [(r.number, r.key, bool(r.body)) for r in change.new_records] == [
        (4, "a", False),
        (5, "b", False),
        (6, "c", False),
        (9, "d", True),
    ]


def test_largest_record_fits_and_larger_one_is_dropped():
    largest = Record(2**40, 2**40, "k" * 24, "y" * 160, b"x" * 600)
    high = 2**40
    for message in (Chunk(high, high, high, high, high, [largest]), Accept(high, high, high, [largest])):
        assert len(encode(message)) <= MAX_BODY and decode(encode(message)) == message
    assert len(encode(Accepted(2**40, largest))) <= MAX_BODY
    w = World(17, 1, 1)
    assert w.until(w.ready, 30)
    w.propose("key", b"x" * 601)
    w.run(2)
    assert not w.ledger and any("too large" in note for note in w.procs["p0"].notes)


def test_malformed_messages_change_nothing():
    w = World(19, 4, 3, garbage=0.5)
    assert w.until(w.ready, 30)
    w.demand(0.1, 10, 10)
    rng = random.Random(2)
    for _ in range(300):
        body = rng.randbytes(rng.randrange(60))
        for proc in w.running:
            w.call_component(
                proc.name, lambda p, b=body: p.parts[0].on_message(p.clock(), "p1", p.incarnation, b)
            )
    w.run(12)
    assert w.until(w.converged, 20)


def test_lower_epochs_are_refused():
    w = World(21, 1, 1)
    w.run(5)
    part: AuthorityPart = w.procs["p0"].parts[0]
    epoch = part.epoch()
    assert epoch and part.accept_epoch(epoch) and part.accept_epoch(epoch + 2)
    assert not part.accept_epoch(epoch + 1) and part.epoch() == epoch + 2
