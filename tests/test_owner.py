"""The owner where something in it breaks: whose request that costs, and what is carried out all the same."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from aspenrill import api
from aspenrill.core import books
from aspenrill.core.owner import Owner
from aspenrill.members import Member, News
from aspenrill.net.hub import Hub
from standins.scene import play
from standins.world import SETTINGS

BAD, FINE = "bad", "fine"


class Scene:
    """An owner with two open requests, whose engines break where the test says so."""

    def __init__(self) -> None:
        self.lines, self.answers, self.started, self.retired = [], [], [], []
        self.breaks = ""  # the method of the engines that raises for whatever is BAD
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
                rank=lambda attempt, priority: None,
            ),
        )
        members = tuple(Member(name, ("127.0.0.1", 80), api.EngineState.LIVE) for name in (BAD, FINE))
        self.owner.take(News(1, True, members))
        self.calls = {
            name: books.Call(name, 0, 0, b"", None, None, time.monotonic(), 60.0, self.reply)
            for name in (BAD, FINE)
        }
        self.owner.open.update(self.calls)
        self.hub.spawn(self.owner.run)

    def method(self, name: str, done: list):
        def call(what) -> None:
            one = what.call.id if isinstance(what, books.Attempt) else what.engine
            if name == self.breaks and one == BAD:
                raise ValueError("a fault in the program")
            done.append(one)

        return call

    def reply(self, call: books.Call, final: books.Final) -> None:
        if self.breaks == "reply" and call.id == BAD:
            raise ValueError("a fault in the program")
        self.answers.append((call.id, type(final)))

    def play(self, *events) -> None:
        """The owner takes them, and what follows of them; each fault was reported."""

        def scene() -> None:
            for event in events:
                self.owner.queue.put(event)
            self.hub.sleep(0)
            while self.owner.queue.items:
                self.hub.sleep(0)

        play(self.hub, scene)
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
def test_an_action_that_breaks_costs_its_own_request_and_the_others_are_carried_out(first, breaks, fine):
    made, told = Scene(), []
    made.breaks = breaks

    def handle(now: float, event: api.Event) -> list[api.Action]:
        told.append(event)
        return [first, fine] if isinstance(event, api.TimerDue) else []

    made.owner.gateway.handle = handle
    made.play(books.Due("look"))
    sent, own = isinstance(fine, api.Send), isinstance(first, api.Send)
    assert made.started == [FINE] * sent and made.owner.faults == 1
    assert made.answers == [(BAD, books.Failed)] * own + [(FINE, books.Refused)] * (not sent)
    if own:  # the module holds neither the request nor its attempt any more
        assert told[1:] == [
            api.ClientGone(BAD),
            api.AttemptEnded(BAD, 0, first.engine, api.Outcome.MOOT, 0.0, True),
        ]


@pytest.mark.parametrize(
    "decided, started, answers",
    [
        ([api.Refuse(FINE)], [], [(FINE, books.Refused), (BAD, books.Failed)]),
        ([api.Send(BAD, FINE, 1.0)], [BAD], []),
    ],
)
def test_what_the_module_had_decided_before_it_broke_is_carried_out(decided, started, answers):
    made = Scene()
    gateway = made.owner.gateway

    def handle(now: float, event: api.Event) -> list[api.Action]:
        gateway.actions = []
        if isinstance(event, api.Request):
            gateway.actions += decided
            raise ValueError("a fault in the module")
        return gateway.actions

    gateway.handle = handle
    made.owner.open.pop(BAD)
    made.play(books.Asked(made.calls[BAD]))
    assert made.started == started and made.answers == answers and made.owner.faults == 1
    for call in made.calls.values():
        if call.overtime is not None:
            call.overtime.cancel()


@pytest.mark.parametrize("breaks", ["cancel", "reply"])
def test_all_that_is_open_is_answered_at_the_end_though_one_breaks(breaks):
    made = Scene()
    made.breaks = breaks
    call = made.calls[BAD]
    call.attempt = books.Attempt(call, made.owner.peers[FINE], 0, call.deadline, 1, task=object())
    made.play(books.Closing())
    assert made.answers == [(BAD, books.Failed)] * (breaks == "cancel") + [(FINE, books.Failed)]
    assert not made.owner.open


def test_news_are_whole_though_one_engine_cannot_be_retired():
    made = Scene()
    made.breaks = "retire"
    made.play(
        News(
            2, False, tuple(Member(name, ("127.0.0.1", 80), api.EngineState.DRAINING) for name in (BAD, FINE))
        )
    )
    assert made.retired == [FINE] and not any(peer.takes_work for peer in made.owner.peers.values())
    assert not made.owner.gateway.live and made.owner.faults == 1


def test_a_probe_of_the_process_before_tells_nothing_of_the_one_that_has_its_id_now():
    made, told = Scene(), []
    before = made.owner.peers[BAD]
    made.owner.gateway.handle = lambda now, event: told.append(event) or []
    made.play(
        News(2, False, (Member(BAD, ("127.0.0.1", 80), api.EngineState.LIVE, started=9.0),)),
        books.Probed(before, api.Outcome.CONNECT_FAILED, 0.1, None),
        books.Probed(made.owner.peers[FINE], api.Outcome.OK, 0.1, None),
    )
    assert [event.engine for event in told if isinstance(event, api.ProbeEnded)] == [FINE]
