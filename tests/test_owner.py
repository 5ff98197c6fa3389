"""Internal errors in the owner: which request fails, and what is executed nevertheless."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from aspenrill import api
from aspenrill.core import books
from aspenrill.core.owner import Owner
from aspenrill.members import Member, News
from aspenrill.net.hub import Hub
from standins.scenario import run_scenario
from standins.world import SETTINGS

BAD, FINE = "bad", "fine"


class OwnerFixture:
    """An owner with two open requests, whose engines raise an error where the test says so."""

    def __init__(self) -> None:
        self.lines, self.answers, self.started, self.retired = [], [], [], []
        self.breaks = ""  # the method of the engines that raises for BAD
        self.hub = Hub(self.lines.append)
        self.owner = Owner(
            self.hub,
            SETTINGS,
            1,
            SimpleNamespace(
                start=self.method("start", self.started),
                retire=self.method("retire", self.retired),
                cancel=self.method("cancel", []),
                probe=lambda peer: None,
                set_priority=lambda attempt, priority: None,
            ),
        )
        members = tuple(Member(name, ("127.0.0.1", 80), api.EngineState.LIVE) for name in (BAD, FINE))
        self.owner.take(News(1, True, members))
        self.calls = {
            name: books.ClientRequest(name, 0, 0, b"", None, None, time.monotonic(), 60.0, self.reply)
            for name in (BAD, FINE)
        }
        self.owner.open.update(self.calls)
        self.hub.spawn(self.owner.run)

    def method(self, name: str, done: list):
        def call(what) -> None:
            one = what.client_request.id if isinstance(what, books.Attempt) else what.engine
            if name == self.breaks and one == BAD:
                raise ValueError("a fault in the program")
            done.append(one)

        return call

    def reply(self, call: books.ClientRequest, final: books.Final) -> None:
        if self.breaks == "reply" and call.id == BAD:
            raise ValueError("a fault in the program")
        self.answers.append((call.id, type(final)))

    def play(self, *events) -> None:
        """Let the owner process the events and those that follow. Each error must be logged."""

        def deliver() -> None:
            for event in events:
                self.owner.queue.put(event)
            self.hub.sleep(0)
            while self.owner.queue.items:
                self.hub.sleep(0)

        run_scenario(self.hub, deliver)
        assert self.owner.faults == sum(line.startswith("error: ") for line in self.lines)


@pytest.mark.parametrize(
    "first, breaks, fine",
    [
        (api.Send(BAD, BAD, 1.0), "start", api.Send(FINE, FINE, 1.0)),
        (api.Send(BAD, "no such engine", 1.0), "", api.Send(FINE, FINE, 1.0)),
        (api.Probe("no such engine"), "", api.Refuse(FINE)),
        (api.Fail(BAD), "reply", api.Refuse(FINE)),
    ],
)
def test_failing_action_fails_its_own_request_and_the_others_are_executed(first, breaks, fine):
    fixture, events = OwnerFixture(), []
    fixture.breaks = breaks

    def handle(now: float, event: api.Event) -> list[api.Action]:
        events.append(event)
        return [first, fine] if isinstance(event, api.TimerDue) else []

    fixture.owner.gateway.handle = handle
    fixture.play(books.TimerExpired("look"))
    sent, own = isinstance(fine, api.Send), isinstance(first, api.Send)
    assert fixture.started == [FINE] * sent and fixture.owner.faults == 1
    assert fixture.answers == [(BAD, books.Failed)] * own + [(FINE, books.Refused)] * (not sent)
    if own:  # the decision module keeps neither the request nor its attempt
        assert events[1:] == [
            api.ClientGone(BAD),
            api.AttemptEnded(BAD, 0, first.engine, api.Outcome.NOT_STARTED, 0.0, True),
        ]


@pytest.mark.parametrize(
    "decided, started, answers",
    [
        ([api.Refuse(FINE)], [], [(FINE, books.Refused), (BAD, books.Failed)]),
        ([api.Send(BAD, FINE, 1.0)], [BAD], []),
    ],
)
def test_actions_decided_before_an_error_in_the_module_are_executed(decided, started, answers):
    fixture = OwnerFixture()
    gateway = fixture.owner.gateway

    def handle(now: float, event: api.Event) -> list[api.Action]:
        gateway.actions = []
        if isinstance(event, api.Request):
            gateway.actions += decided
            raise ValueError("a fault in the module")
        return gateway.actions

    gateway.handle = handle
    fixture.owner.open.pop(BAD)
    fixture.play(books.RequestReceived(fixture.calls[BAD]))
    assert fixture.started == started and fixture.answers == answers and fixture.owner.faults == 1
    for call in fixture.calls.values():
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()


@pytest.mark.parametrize("breaks", ["cancel", "reply"])
def test_all_open_requests_are_answered_on_shutdown_despite_an_error(breaks):
    fixture = OwnerFixture()
    fixture.breaks = breaks
    call = fixture.calls[BAD]
    call.attempt = books.Attempt(call, fixture.owner.peers[FINE], 0, call.deadline, 1, task=object())
    fixture.play(books.Closing())
    assert fixture.answers == [(BAD, books.Failed)] * (breaks == "cancel") + [(FINE, books.Failed)]
    assert not fixture.owner.open


def test_list_update_is_complete_despite_an_error_while_retiring_an_engine():
    fixture = OwnerFixture()
    fixture.breaks = "retire"
    fixture.play(
        News(
            2, False, tuple(Member(name, ("127.0.0.1", 80), api.EngineState.DRAINING) for name in (BAD, FINE))
        )
    )
    assert fixture.retired == [FINE] and not any(peer.takes_work for peer in fixture.owner.peers.values())
    assert not fixture.owner.gateway.live and fixture.owner.faults == 1


def test_probe_of_the_previous_process_says_nothing_of_the_current_one():
    fixture, events = OwnerFixture(), []
    before = fixture.owner.peers[BAD]
    fixture.owner.gateway.handle = lambda now, event: events.append(event) or []
    fixture.play(
        News(2, False, (Member(BAD, ("127.0.0.1", 80), api.EngineState.LIVE, started=9.0),)),
        books.ProbeFinished(before, api.Outcome.CONNECT_FAILED, 0.1, None),
        books.ProbeFinished(fixture.owner.peers[FINE], api.Outcome.OK, 0.1, None),
    )
    assert [event.engine for event in events if isinstance(event, api.ProbeEnded)] == [FINE]
