"""Which connection of a listener is missed least."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from aspenrill.net.eviction import REST_FOR, STUCK_FOR, least_missed, longest_stuck

NOW = 1000.0


def connection(**told: object) -> SimpleNamespace:
    """A quiet connection that has carried requests, used a second ago, but for what is told."""
    usual = {
        "shut": False,
        "busy": 0,
        "incoming": b"",
        "begun": False,
        "spoke": True,
        "requests": 1,
        "used": NOW - 1.0,
        "writing_since": 0.0,
        "ended": lambda: False,
    }
    return SimpleNamespace(**usual | told)


ORDER = {
    "silent for longer than clients stay": connection(used=NOW - REST_FOR - 1),
    "mute": connection(spoke=False, requests=0),
    "new": connection(spoke=False, requests=0, used=NOW),
    "asked nothing": connection(requests=0),
    "quiet": connection(),
    "quiet for less long": connection(used=NOW - 0.5),
    "half a message": connection(begun=True, incoming=b"half"),
}


@pytest.mark.parametrize("at", range(len(ORDER)), ids=list(ORDER))
def test_the_one_that_is_missed_least_goes_first(at):
    left = list(ORDER.values())[at:]
    assert least_missed(reversed(left), NOW) is left[0]


@pytest.mark.parametrize(
    "carries",
    [
        {"busy": 1},
        {"incoming": b"a whole message"},
        {"ended": lambda: None},  # something lies unread
        {"shut": True},
    ],
    ids=["open request", "message read", "bytes unread", "ending"],
)
def test_what_may_carry_a_request_is_not_ended(carries):
    assert least_missed([connection(used=NOW - 60, **carries)], NOW) is None


def test_of_clients_that_take_no_answer_the_longest_goes():
    longest = connection(writing_since=NOW - STUCK_FOR - 2)
    others = [connection(writing_since=NOW - STUCK_FOR - 1), connection(writing_since=NOW - 1), connection()]
    assert longest_stuck([*others, longest], NOW) is longest
    assert longest_stuck(others[1:], NOW) is None
