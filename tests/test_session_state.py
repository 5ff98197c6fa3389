"""Sessions of TDS engines go from one client to the next: no batch may meet what another one left behind."""

from __future__ import annotations

import pytest

from aspenrill import api
from aspenrill.wire import tds, tds_tokens
from aspenrill.wire.session_state import leaves_session_state
from standins.clients import Reply
from standins.tds_session import STATE_STATEMENT, environment_change
from standins.world import ROWS, EngineBehaviour, World

LEFTOVERS = {
    "rowcount": "set rowcount 1",
    "isolation": "set transaction isolation level serializable",
    "transaction": "begin tran",
    "implicit transactions": "set implicit_transactions on",
    "temporary table": "create table #t",
    "application lock": "sp_getapplock bags",
}
STREAMED = 2.0  # seconds of a batch that is to end before its time


def end_batch(world: World, statement: str, how: str) -> None:
    """Runs a batch to its end by an answer, an error, a lost connection, or in the middle of its answer."""
    engine = world.engines[0]
    if how in ("ok", "error", "reset"):
        engine.behaviour = lambda _: EngineBehaviour(end=how)
        world.client("once").request(statement)
    else:
        engine.behaviour = lambda _: EngineBehaviour(after=STREAMED)
        client = world.client("once", 0.5 if how == "time" else 5.0)
        client.send(statement)
        world.until(lambda: engine.began)
        if how == "cancel":
            client.cancel()
        elif how == "leave":
            client.conn.close()
        elif how == "drain":
            world.announce([world.member(engine, api.EngineState.DRAINING)])
        world.until(lambda: engine.stopped or engine.ended)
    world.announce([world.member(engine)])
    engine.behaviour = lambda _: EngineBehaviour()


@pytest.mark.parametrize("how", ["ok", "error", "reset", "cancel", "time", "leave", "drain"])
@pytest.mark.parametrize("kept", list(LEFTOVERS))
def test_a_batch_meets_nothing_that_another_client_left_in_the_session(kept, how):
    # review/8: an option of a cancelled batch cut the next client's rows
    world = World("tds", 1)

    def scene() -> None:
        engine = world.engines[0]
        end_batch(world, f"{LEFTOVERS[kept]} select 1 set rowcount 0", how)
        world.until(lambda: not any(s.in_transaction or s.locks for s in engine.sessions.values()))
        other = world.client()
        for _ in range(3):
            assert other.request(STATE_STATEMENT) == Reply("served", [])
            assert other.request("select 2") == Reply("served", ROWS)

    world.run(scene)


def test_ordinary_batches_share_a_session_which_each_but_the_first_resets():
    # the price of the mend of review/8: no connection and no round trip for a usual batch
    world = World("tds", 1)

    def scene() -> None:
        for name in ("lookup", "once"):
            client = world.client(name)
            for number in range(5):
                assert client.request(f"select {number}") == Reply("served", ROWS)
        (session,) = world.engines[0].sessions.values()
        assert (world.engines[0].logins, session.batches, session.resets) == (1, 10, 9)

    world.run(scene)


def test_a_refusal_behind_an_acknowledged_reset_proves_that_nothing_ran():
    world = World("tds", 1)

    def scene() -> None:
        engine, client = world.engines[0], world.client("once", 1.0)
        assert client.request("select 1") == Reply("served", ROWS)
        engine.behaviour = lambda _: EngineBehaviour(end="full")
        assert client.request("insert 1").kind == "refused"
        assert sum(session.resets for session in engine.sessions.values()) > 0

    world.run(scene)


def test_only_the_first_packet_of_a_batch_asks_for_the_reset():
    message, found = tds.packets(tds.SQL_BATCH, b"x" * 1200, tds.MIN_PACKET_SIZE, reset=True), []
    while message:
        _, status, size = tds.parse_packet_header(message[:8])
        found.append(status)
        message = message[8 + size :]
    assert found == [tds.RESET_CONNECTION, 0, tds.END_OF_MESSAGE]


@pytest.mark.parametrize(
    "changes, status, is_open",
    [
        ([], 0, False),
        ([tds.TRANSACTION_BEGUN], 0, True),
        ([tds.DISTRIBUTED_TRANSACTION_ENLISTED], 0, True),
        ([tds.TRANSACTION_BEGUN, tds.TRANSACTION_COMMITTED], 0, False),
        ([tds.TRANSACTION_BEGUN, tds.TRANSACTION_ROLLED_BACK], 0, False),
        ([tds.TRANSACTION_BEGUN, tds.TRANSACTION_ENDED, tds.TRANSACTION_BEGUN], 0, True),
        ([], tds.DONE_IN_TRANSACTION, True),
    ],
)
def test_an_answer_tells_whether_a_transaction_is_open(changes, status, is_open):
    # a session that kept one would hold its locks until its next batch
    reader = tds_tokens.TokenReader(1 << 16)
    reader.feed(b"".join(map(environment_change, changes)) + tds.done(status))
    assert reader.answer.transaction_open is is_open


@pytest.mark.parametrize(
    "statement, leaves",
    [
        ("select * from transactions_7.bags", False),
        ("select strange from a", False),
        ("SET TRANSACTION  ISOLATION LEVEL SNAPSHOT", True),
        ("begin/**/tran", True),
        ("exec('begin tran')", True),
        ("set ansi_defaults on", True),
        ("EXECUTE\n AS user = 'x'", True),
        ("exec sp_getapplock 'x'", True),
        ("set rowcount 2", False),  # the reset sets it back
    ],
)
def test_statements_whose_effect_a_reset_does_not_end(statement, leaves):
    assert leaves_session_state(statement) is leaves
