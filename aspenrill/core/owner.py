"""The owner: the one task that holds the decision module, and carries out what it decides.

Everything reaches it through its queue. It never waits for a socket: attempts, probes and answers are handed
to tasks that do.
"""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from .. import api
from ..control import Gateway
from ..members import News
from ..net.hub import Hub, Queue
from . import books
from .books import Attempt, Call, Failed, Final, Peer, Refused, Served
from .enginelist import fitting, take_in
from .requestlog import RequestLog

UNREACHED = 3  # connections in a row that did not come up, from which an engine counts as not there
MOST_ENGINES = 100_000  # that are kept where nobody says how many memory allows
OVERTIME = 0.03  # seconds past its deadline at which a request without an answer is failed here


class Engines(Protocol):
    """What the owner asks of the side that speaks to engines."""

    def start(self, attempt: Attempt) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def rank(self, attempt: Attempt, priority: int) -> None: ...
    def probe(self, peer: Peer) -> None: ...
    def retire(self, peer: Peer) -> None: ...


class Owner:
    """Owns the module; `queue` is the only way in."""

    def __init__(self, hub: Hub, settings: api.Settings, seed: int, engines: Engines) -> None:
        self.hub, self.settings, self.engines = hub, settings, engines
        self.queue = Queue(hub)
        self.gateway = Gateway(settings, seed, time.monotonic())
        self.log = RequestLog(hub.events, settings)
        self.open: dict[str, Call] = {}
        self.peers: dict[str, Peer] = {}
        self.listed = False
        self.well = self.taking = True
        self.closed = False  # about to end: nothing is open any more
        self.faults = 0
        self.most_engines = MOST_ENGINES  # that a list may name: memory is bounded
        self.tell: Callable[[bytes], None] = lambda data: None  # to all other front ends
        self.kept: Any = None  # `fleet.kept.front.Kept`, where answers are kept or purged
        self.fleet: Any = None  # `fleet.feed.Feed`, which counts what comes and ends

    def run(self) -> None:
        """Take events for as long as the program runs."""
        while True:
            event = self.queue.get()
            try:
                self.take(event)
            except Exception:
                self._fault(f"owner, at {type(event).__name__}")
                attempt = getattr(event, "attempt", None)
                call = getattr(event, "call", None) or getattr(attempt, "call", None)
                if call is not None:
                    self._give_up(call.id, call)
                if isinstance(event, books.Ended):
                    self._forget(call.id, attempt.peer.engine, api.Outcome.CANCELLED)

    def take(self, event: Any) -> None:
        """One event, and all that the module makes of it."""
        self._takers[type(event)](self, event)

    # ---- what comes in --------------------------------------------------------------------------------

    def _on_asked(self, asked: books.Asked) -> None:
        call = asked.call
        if not call.open:
            return
        if call.gone:  # its `Left` is on the way
            call.open = False
            return
        if self.closed or not self.taking:
            call.open = False
            call.reply(call, Refused())
            return
        if call.id in self.open:
            call.open = False
            call.reply(call, Failed("the id of a request that is open"))
            return
        self.open[call.id] = call
        call.overtime = self.hub.timers.at(call.deadline + OVERTIME, self._overtime, call)
        if self.kept is None or not self._look_up(call):
            self._request(call)

    def _look_up(self, call: Call) -> bool:
        """Whether a kept answer was its final one, or it waits for another request's."""
        now = self.kept.clock()
        found = self.kept.lookup(call, now)
        if found is None:
            return False
        if isinstance(found, books.Result):
            self._final(call, Served(found))
        else:
            self.hub.timers.after(found.until - now, self.queue.put, books.Tired(call))
        return True

    def _on_tired(self, tired: books.Tired) -> None:
        if self.kept.tired(tired.call) and tired.call.open:
            self._request(tired.call)

    def _request(self, call: Call) -> None:
        if self.closed:
            return  # `_on_closing` answers it
        if self.fleet is not None:
            self.fleet.asked(call)
        patience = call.deadline - time.monotonic()  # what waiting here has left of it
        self._tell(
            api.Request(
                call.id,
                call.cls,
                max(0.0, patience),
                call.tenant,
                data_set=call.data_set,
                waited=self.hub.lag(),
            )
        )

    def _overtime(self, call: Call) -> None:
        self.queue.put(books.Expired(call))

    def _on_ended(self, end: books.Ended) -> None:
        attempt = end.attempt
        call, outcome = attempt.call, end.outcome
        if call.attempt is attempt:
            call.attempt = None
        self._reached(attempt.peer, outcome)
        now = time.monotonic()
        if outcome is not api.Outcome.OK:
            self.log.attempt_ended(attempt, outcome)
        well = outcome is api.Outcome.OK
        freed = None
        if self.kept is not None:
            freed = self.kept.ended(call, end.result if well else None, self.kept.clock())
        if well and self.fleet is not None:
            self.fleet.ended(end)
        if well and call.open:
            if now <= call.deadline + OVERTIME:
                self._final(call, Served(end.result))
            else:
                outcome = api.Outcome.TIMEOUT
        self._tell(
            api.AttemptEnded(
                call.id,
                attempt.number,
                attempt.peer.engine,
                outcome,
                now - attempt.began,
                not call.open,
                end.work,
                end.memory_mb,
                end.report,
            )
        )
        if freed is not None:
            for other in freed.served:
                self._final(other, Served(end.result))
            for other in freed.go_on:
                self._request(other)

    def _on_note(self, note: books.Noted) -> None:
        attempt = note.attempt
        if attempt.call.open:
            self._tell(
                api.AttemptNote(attempt.call.id, attempt.number, attempt.peer.engine, note.kind, note.amount)
            )

    def _on_left(self, left: books.Left) -> None:
        if left.call.open:
            self._close(left.call)
            self._tell(api.ClientGone(left.call.id))

    def _on_expired(self, expired: books.Expired) -> None:
        call = expired.call
        if call.open:
            self.log.expired(call)
            self._final(call, Failed("out of time"))
            self._tell(api.ClientGone(call.id))

    @staticmethod
    def _reached(peer: Peer, outcome: api.Outcome) -> None:
        if outcome is api.Outcome.CONNECT_FAILED:
            peer.unreached += 1
        elif outcome is api.Outcome.OK:
            peer.unreached = 0

    def _on_unfit(self, asked: books.Unfit) -> None:
        engines = self.gateway.fleet.engines
        asked.tell(
            [
                name
                for name, peer in self.peers.items()
                if peer.takes_work
                and (peer.unreached >= UNREACHED or name in engines and not engines[name].healthy)
            ]
        )

    def _on_probed(self, end: books.Probed) -> None:
        self._reached(end.peer, end.outcome)
        if end.peer.retired:
            return  # it tells of the process before: the one that has its id now is another
        if self.fleet is not None:
            self.fleet.probed(end)
        self._tell(api.ProbeEnded(end.peer.engine, end.outcome, end.latency, end.report))

    def _on_heard(self, heard: books.Heard) -> None:
        self._tell(api.PeerMessage(heard.sender, heard.data))

    def _on_due(self, due: books.Due) -> None:
        self._tell(api.TimerDue(due.name))

    def _on_closing(self, _: books.Closing) -> None:
        self.closed = True
        self._tell(api.Closing())
        for call in list(self.open.values()):
            self._final(call, Failed("ending"))

    def _on_news(self, news: News) -> None:
        news = fitting(news, self.peers, self.most_engines, self.hub.log)
        retired = take_in(news, self.peers)
        for peer in retired:  # all are marked by now: an error here sends nothing to an engine that drains
            try:
                self.engines.retire(peer)
            except Exception:
                self._fault(f"owner, retiring {peer.engine}")
        mode = api.ListMode.CHANGES
        if news.whole:
            mode = api.ListMode.COMPLETE if self.listed else api.ListMode.REMEMBERED
        self.listed = True
        self._tell(
            api.ListUpdate(
                mode,
                tuple(
                    api.EngineEntry(
                        m.engine, m.state, m.kind, m.zone, m.cell, m.started, m.priority, m.weight
                    )
                    for m in news.members
                ),
            )
        )
        for engine, peer in list(self.peers.items()):
            if peer.state is api.EngineState.GONE and engine not in self.gateway.fleet.engines:
                del self.peers[engine]

    # ---- what the module decides ----------------------------------------------------------------------

    def _tell(self, event: api.Event) -> None:
        """What the module makes of an event. An error there, or in an action, costs only the request that it
        is about: all else that was decided is carried out."""
        now, broken = time.monotonic(), False
        try:
            actions = self.gateway.handle(now, event)
        except Exception:
            self._fault(f"module, at {type(event).__name__}")
            broken, actions = True, self.gateway.actions  # decided before the error
        for action in actions:
            try:
                self._act(action, now)
            except Exception:
                self._fault(f"owner, at {type(action).__name__}")
                request = getattr(action, "request", None)
                self._give_up(request, self.open.get(request))
                if isinstance(action, api.Send):
                    self._forget(request, action.engine, api.Outcome.MOOT)
        if broken:
            call = self.open.get(getattr(event, "request", None))
            if call is not None and call.attempt is None:
                self._give_up(call.id, call)

    def _fault(self, what: str) -> None:
        """An error that is being handled, for the people on call."""
        self.faults += 1
        self.hub.report(what, traceback.format_exc())

    def _give_up(self, request: str | None, call: Call | None) -> None:
        """After an error in what was done for a request: its answer, and the module forgets it."""
        if call is not None:
            if call.attempt is not None and call.attempt.task is None:
                call.attempt = None  # it did not begin
            self._final(call, Failed("internal error"))
        if request is not None and request not in self.open:
            self.queue.put(api.ClientGone(request))

    def _forget(self, request: str, engine: str, outcome: api.Outcome) -> None:
        """The end of an attempt that the module may still hold to be out, and of which nobody else tells."""
        self.queue.put(api.AttemptEnded(request, 0, engine, outcome, 0.0, True))

    def _act(self, action: api.Action, now: float) -> None:
        """Carry out what was decided at `now`: spans that an action tells begin there."""
        match action:
            case api.Send(request, engine, timeout, begin_within):
                self._send(self.open[request], self.peers[engine], timeout, begin_within, now)
            case api.SetTerms(request, _, priority):
                call = self.open.get(request)
                if call is not None:
                    call.priority = priority
                    if call.attempt is not None and call.attempt.priority != priority:
                        call.attempt.priority = priority
                        self.engines.rank(call.attempt, priority)
            case api.Refuse(request, come_back, reason):
                call = self.open.get(request)
                if call is not None:
                    self.log.refused(call, reason)
                if self.fleet is not None and call is not None:
                    self.fleet.refused(call)
                self._final(call, Refused(come_back))
            case api.Fail(request, reason):
                call = self.open.get(request)
                if call is not None:
                    self.log.failed(call, reason)
                self._final(call, Failed())
            case api.Cancel(request, number):
                call = self.open.get(request)
                if call is not None and call.attempt is not None and call.attempt.number == number:
                    self.engines.cancel(call.attempt)
            case api.SetTimer(delay, name):
                self.hub.timers.after(delay, self.queue.put, books.Due(name))
            case api.Probe(engine):
                self.engines.probe(self.peers[engine])
            case api.Log(text):
                self.hub.log(text)
            case api.Tell(data):
                self.tell(data)
            case api.WatchList():
                pass  # the list comes unasked

    def _send(self, call: Call, peer: Peer, timeout: float, begin_within: float, now: float) -> None:
        until = min(call.deadline, now + timeout) if timeout > 0 else call.deadline
        attempt = Attempt(call, peer, call.sends, until, call.priority)
        if begin_within > 0:
            attempt.begin_by = now + begin_within
        if call.sends:
            self.log.attempt_repeated(call, peer, begin_within)
        else:
            call.first_sent_at = now
        call.sends += 1
        if self.kept is not None:
            self.kept.sent(call, self.kept.clock())
        if call.gone:  # nothing begins for it any more, not even a connection; its `Left` is on the way
            self.queue.put(books.Ended(attempt, api.Outcome.MOOT))
            return
        call.attempt = attempt
        self.engines.start(attempt)

    def _final(self, call: Call | None, final: Final) -> None:
        """The one place that answers: once, and only what is open; also where an error comes in between."""
        if call is not None and call.open:
            try:
                self._close(call)
            except Exception:
                self._fault("owner, closing a request")
            try:
                call.reply(call, final)
            except Exception:
                self._fault("owner, answering a request")

    def _close(self, call: Call) -> None:
        call.open = False
        if self.open.get(call.id) is call:
            del self.open[call.id]
        if call.overtime is not None:
            call.overtime.cancel()
        if call.attempt is not None:
            self.engines.cancel(call.attempt)
        if self.kept is not None:
            for other in self.kept.closed(call, self.kept.clock()):
                self._request(other)

    _takers = {
        books.Asked: _on_asked,
        books.Ended: _on_ended,
        books.Noted: _on_note,
        books.Left: _on_left,
        books.Expired: _on_expired,
        books.Probed: _on_probed,
        books.Due: _on_due,
        books.Closing: _on_closing,
        books.Unfit: _on_unfit,
        books.Heard: _on_heard,
        books.Tired: _on_tired,
        News: _on_news,
        api.ClientGone: _tell,
        api.AttemptEnded: _tell,
    }
