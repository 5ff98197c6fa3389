"""The order in which a listener evicts connections."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from aspenrill.net.eviction import BLOCKED_AFTER, IDLE_LONG_AFTER, eviction_candidate, longest_blocked

NOW = 1000.0


def connection(**overrides: object) -> SimpleNamespace:
    """An idle connection that has carried requests, used a second ago, with `overrides`."""
    defaults = {
        "write_shut": False,
        "busy": 0,
        "incoming": b"",
        "mid_message": False,
        "received_message": True,
        "requests": 1,
        "last_used_at": NOW - 1.0,
        "write_started_at": 0.0,
        "peer_closed": lambda: False,
    }
    return SimpleNamespace(**defaults | overrides)


ORDER = {
    "idle for longer than clients stay": connection(last_used_at=NOW - IDLE_LONG_AFTER - 1),
    "silent": connection(received_message=False, requests=0),
    "new": connection(received_message=False, requests=0, last_used_at=NOW),
    "no requests": connection(requests=0),
    "idle": connection(),
    "idle for less long": connection(last_used_at=NOW - 0.5),
    "partial message": connection(mid_message=True, incoming=b"half"),
}


@pytest.mark.parametrize("at", range(len(ORDER)), ids=list(ORDER))
def test_connections_are_evicted_in_rank_order(at):
    remaining = list(ORDER.values())[at:]
    assert eviction_candidate(reversed(remaining), NOW) is remaining[0]


@pytest.mark.parametrize(
    "carries",
    [
        {"busy": 1},
        {"incoming": b"a whole message"},
        {"peer_closed": lambda: None},  # unread data
        {"write_shut": True},
    ],
    ids=["open request", "message read", "bytes unread", "closing"],
)
def test_a_connection_that_may_carry_a_request_is_not_evicted(carries):
    assert eviction_candidate([connection(last_used_at=NOW - 60, **carries)], NOW) is None


def test_the_write_that_is_blocked_longest_is_chosen():
    longest = connection(write_started_at=NOW - BLOCKED_AFTER - 2)
    others = [
        connection(write_started_at=NOW - BLOCKED_AFTER - 1),
        connection(write_started_at=NOW - 1),
        connection(),
    ]
    assert longest_blocked([*others, longest], NOW) is longest
    assert longest_blocked(others[1:], NOW) is None
