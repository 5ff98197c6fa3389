"""Long statements are read in slices, one at a time, and hold nobody else up."""

from __future__ import annotations

import time

import pytest

from aspenrill.fronts import statements
from aspenrill.fronts.statements import StatementReader, TooManyLong
from aspenrill.net.hub import Hub, Signal
from aspenrill.wire import sql
from standins.clients import Reply
from standins.scenario import run_scenario
from standins.world import ROWS, World

WORDS = 30_000
LONG = "select " + "a " * WORDS
QUOTED = "select " + "'a' " * WORDS
COMMENTS = "select " + "/* */" * WORDS
PARTS = "select " + "a." * WORDS + "a"
MAX_MATCHES = 4 * sql.MATCHES_PER_SLICE  # a comment is looked at twice


@pytest.mark.parametrize(
    "statement", [LONG, QUOTED, COMMENTS, PARTS], ids=["words", "texts", "comments", "name"]
)
def test_other_tasks_run_between_slices_of_a_long_statement(monkeypatch, statement):
    # a statement of 62,000 bytes held the event loop for 70 ms; 20 clients with them kept all others out
    monkeypatch.setattr(statements, "SLICE_TIME", 0.0)
    hub, pauses = Hub(lambda text: None), []
    yield_now = hub.yield_now
    hub.yield_now = lambda: pauses.append(1) or yield_now()
    run_scenario(hub, lambda: StatementReader(hub).table_group(statement))
    assert len(pauses) >= WORDS // MAX_MATCHES


def test_the_group_is_the_same_in_slices():
    pauses = []
    for statement, group in (
        (f"{LONG} from ops_7.x, a.b", 7),
        (f"{COMMENTS} 1 from ops_8.x", 8),
        (PARTS, None),
    ):
        assert sql.table_group(statement, lambda: pauses.append(1)) == sql.table_group(statement) == group
    assert pauses


def hold_reading(monkeypatch, hub: Hub) -> Signal:
    """Make the reading of long statements wait for the returned signal."""
    gate = Signal(hub)
    monkeypatch.setattr(StatementReader, "_pause", lambda self: held and gate.wait(10.0))
    held = [True]
    gate_set = gate.set
    gate.set = lambda: (held.clear(), gate_set())
    return gate


def test_short_statements_do_not_wait_and_a_third_long_one_is_refused_in_time(monkeypatch):
    hub, order = Hub(lambda text: None), []
    monkeypatch.setattr(statements, "MAX_WAIT", 0.05)
    monkeypatch.setattr(statements, "SLICE_TIME", 0.0)

    def scene() -> None:
        reader, gate = StatementReader(hub), hold_reading(monkeypatch, hub)
        hub.spawn(lambda: order.append(reader.table_group(f"{LONG} from ops_1.x, ops_1.y")))
        hub.sleep(0.01)
        assert reader.table_group("select 1 from ops_2.x") == 2
        with pytest.raises(TooManyLong):
            reader.table_group(f"{LONG} from ops_3.x, ops_3.y")
        gate.set()
        assert reader.table_group(f"{LONG} from ops_4.x, ops_4.y") == 4
        assert order == [1]

    run_scenario(hub, scene)


@pytest.mark.parametrize("how", ["cancel", "close"])
@pytest.mark.parametrize("protocol", ["thrift", "tds"])
def test_no_attempt_begins_for_a_client_that_left_while_its_statement_was_read(monkeypatch, protocol, how):
    world = World(protocol, 1)

    def scene() -> None:
        client, gate = world.client(), hold_reading(monkeypatch, world.hub)
        client.send(LONG)
        world.hub.sleep(0.05)
        if how == "cancel":
            client.cancel()
        else:
            client.conn.close()
        world.hub.sleep(0.05)
        gate.set()
        usual = world.client()
        assert usual.request("select 1") == Reply("served", ROWS)
        assert world.engines[0].statements == ["select 1"]
        if how == "cancel":
            if protocol == "tds":
                assert client.read(10.0).kind == "cancelled"
            assert client.request("select 2") == Reply("served", ROWS)

    world.run(scene)


@pytest.mark.parametrize("protocol", ["thrift", "tds"])
def test_usual_clients_are_served_while_others_send_long_statements(monkeypatch, protocol):
    # the event loop was late by then, and the program refused everybody
    world = World(protocol, 1)
    monkeypatch.setattr(statements, "MAX_WAIT", 0.0)

    def scene() -> None:
        gate, rough = hold_reading(monkeypatch, world.hub), [world.client() for _ in range(4)]
        for client in rough:
            client.send(LONG)
        world.hub.sleep(0.05)
        began = time.monotonic()
        assert world.client().request("select 1") == Reply("served", ROWS)
        answered = [client for client in rough if client.conn.peer_closed() is None]
        assert [client.read(10.0).kind for client in answered] == ["refused"] * 3
        assert time.monotonic() - began < 5.0
        gate.set()
        (first,) = set(rough) - set(answered)
        assert first.read(10.0) == Reply("served", ROWS)

    world.run(scene)
