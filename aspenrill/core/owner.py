"""The owner: the task that runs the decision module and executes its actions, without waiting for sockets."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from typing import Any

from .. import api
from ..control import Gateway
from ..members import EngineListUpdate
from ..net.hub import Hub, Queue
from . import books
from .books import Attempt, ClientRequest, Engines, Failed, Final, Peer, Refused, Served
from .ending import EndingAttempts, Verdict
from .enginelist import limit_list, remove_superseded, update_peers
from .requestlog import RequestLog

UNREACHABLE_AT = 3  # failed connects in a row, from which an engine counts as unreachable
MAX_ENGINES = 100_000  # upper bound of the engines in the list where the memory sets none
EXPIRY_GRACE = 0.03  # seconds after its deadline at which a request without an answer fails here


class Owner:
    """Runs the decision module. Every event goes through `queue`."""

    def __init__(self, hub: Hub, settings: api.Settings, seed: int, engines: Engines) -> None:
        self.hub, self.settings, self.engines = hub, settings, engines
        self.queue = Queue(hub)
        self.gateway = Gateway(settings, seed, time.monotonic())
        self.request_log = RequestLog(hub.events, settings)
        self.open: dict[str, ClientRequest] = {}
        self.ending = EndingAttempts(settings)
        self.peers: dict[str, Peer] = {}
        self.listed = False
        self.healthy = self.accepting = True
        self.closed = False  # the process exits: every request has its answer
        self.faults = 0
        self.max_engines = MAX_ENGINES  # in the list: it bounds the memory
        self.send_gossip: Callable[[bytes], None] = lambda data: None  # sends gossip to all other front ends
        self.answer_cache: Any = None  # `fleet.kept.front.AnswerCache`, if answers are cached or purged
        self.fleet_feed: Any = None  # `fleet.request_feed.RequestFeed`, which counts arrivals and ends

    def run(self) -> None:
        """Process events until the process exits."""
        while True:
            event = self.queue.get()
            try:
                self.take(event)
            except Exception:
                self._fault(f"owner, processing {type(event).__name__}")
                attempt = getattr(event, "attempt", None)
                request = getattr(event, "client_request", None) or getattr(attempt, "client_request", None)
                if request is not None:
                    self._fail_request(request.id, request)
                if isinstance(event, books.AttemptFinished):
                    self._end_attempt(request.id, attempt.peer.engine, api.Outcome.CANCELLED)

    def take(self, event: Any) -> None:
        """Process one event and execute the actions that follow from it."""
        self._handlers[type(event)](self, event)

    # ---- events ---------------------------------------------------------------------------------------

    def _on_request_received(self, received: books.RequestReceived) -> None:
        request = received.client_request
        if not request.open:
            return
        if request.gone:  # its `ClientLeft` event follows
            request.open = False
            return
        if self.closed or not self.accepting:
            request.open = False
            request.reply(request, Refused())
            return
        if request.id in self.open:
            request.open = False
            request.reply(request, Failed("the id of a request that is open"))
            return
        self.open[request.id] = request
        request.deadline_timer = self.hub.timers.at(request.deadline + EXPIRY_GRACE, self._expire, request)
        if request.id in self.ending:
            self._admit_again(request)
        elif self.answer_cache is None or not self._find_cached(request):
            self._start_request(request)

    def _admit_again(self, request: ClientRequest) -> None:
        """Start a request whose id was used before, unless the earlier one prevents that."""
        match self.ending.check(request):
            case Verdict.HOLD:
                self.ending.hold(request)
            case Verdict.MAY_HAVE_RUN:
                self._final(request, Failed("an earlier request with this id may have run"))
            case Verdict.ADMIT if self.answer_cache is None or not self._find_cached(request):
                self._start_request(request)

    def _find_cached(self, request: ClientRequest) -> bool:
        """Whether a cached answer ended the request, or it waits for the answer of an equal one."""
        now = self.answer_cache.clock()
        found = self.answer_cache.lookup(request, now)
        if found is None:
            return False
        if isinstance(found, books.Result):
            self._final(request, Served(found))
        else:
            self.hub.timers.after(found.until - now, self.queue.put, books.WaitExpired(request))
        return True

    def _on_wait_expired(self, expired: books.WaitExpired) -> None:
        if self.answer_cache.stop_waiting(expired.client_request) and expired.client_request.open:
            self._start_request(expired.client_request)

    def _start_request(self, request: ClientRequest) -> None:
        if self.closed:
            return  # `_on_closing` has answered it
        if self.fleet_feed is not None:
            self.fleet_feed.on_request(request)
        time_budget = request.deadline - time.monotonic()  # less what it waited here
        self._decide(
            api.Request(
                request.id,
                request.cls,
                max(0.0, time_budget),
                request.tenant,
                data_set=request.data_set,
                program_delay=self.hub.lag(),
            )
        )

    def _expire(self, request: ClientRequest) -> None:
        self.queue.put(books.DeadlinePassed(request))

    def _on_attempt_finished(self, end: books.AttemptFinished) -> None:
        attempt = end.attempt
        request, outcome = attempt.client_request, end.outcome
        if request.attempt is attempt:
            request.attempt = None
        self._count_connect(attempt.peer, outcome)
        now = time.monotonic()
        if outcome is not api.Outcome.OK:
            self.request_log.attempt_ended(attempt, outcome)
        ok = outcome is api.Outcome.OK
        held, freed = self.ending.end(attempt, outcome), None
        if self.answer_cache is not None:
            freed = self.answer_cache.ended(request, end.result if ok else None, self.answer_cache.clock())
        if ok and self.fleet_feed is not None:
            self.fleet_feed.on_attempt_ended(end)
        if ok and request.open:
            if now <= request.deadline + EXPIRY_GRACE:
                self._final(request, Served(end.result))
            else:
                outcome = api.Outcome.TIMEOUT
        engine, age, closed = attempt.peer.engine, now - attempt.began_at, not request.open
        self._decide(
            api.AttemptEnded(
                request.id, attempt.number, engine, outcome, age, closed, end.work, end.memory_mb, end.report
            )
        )
        if freed is not None:
            for other in freed.served:
                self._final(other, Served(end.result))
            for other in freed.to_send:
                self._start_request(other)
        if held is not None and held.open:
            self._admit_again(held)

    def _on_note(self, note: books.AttemptNoted) -> None:
        attempt = note.attempt
        if attempt.client_request.open:
            self._decide(
                api.AttemptNote(
                    attempt.client_request.id, attempt.number, attempt.peer.engine, note.kind, note.amount
                )
            )

    def _on_client_left(self, left: books.ClientLeft) -> None:
        if left.client_request.open:
            self._close(left.client_request)
            self._decide(api.ClientGone(left.client_request.id))

    def _on_deadline_passed(self, expired: books.DeadlinePassed) -> None:
        request = expired.client_request
        if request.open:
            self.request_log.expired(request)
            self._final(request, Failed("out of time"))
            self._decide(api.ClientGone(request.id))

    @staticmethod
    def _count_connect(peer: Peer, outcome: api.Outcome) -> None:
        """Count the failed connects in a row."""
        if outcome is api.Outcome.CONNECT_FAILED:
            peer.failed_connects += 1
        elif outcome is api.Outcome.OK:
            peer.failed_connects = 0

    def _on_unhealthy_query(self, query: books.UnhealthyQuery) -> None:
        engines = self.gateway.fleet.engines
        query.on_result(
            [
                name
                for name, peer in self.peers.items()
                if peer.takes_work
                and (peer.failed_connects >= UNREACHABLE_AT or name in engines and not engines[name].healthy)
            ]
        )

    def _on_probe_finished(self, end: books.ProbeFinished) -> None:
        self._count_connect(end.peer, end.outcome)
        if end.peer.retired:
            return  # the probe went to the previous process with this id
        if self.fleet_feed is not None:
            self.fleet_feed.on_probe_result(end)
        self._decide(api.ProbeEnded(end.peer.engine, end.outcome, end.latency, end.report))

    def _on_gossip_received(self, gossip: books.GossipReceived) -> None:
        self._decide(api.PeerMessage(gossip.sender, gossip.data))

    def _on_timer_expired(self, due: books.TimerExpired) -> None:
        self._decide(api.TimerDue(due.name))

    def _on_closing(self, _: books.Closing) -> None:
        self.closed = True
        self._decide(api.Closing())
        for request in list(self.open.values()):
            self._final(request, Failed("ending"))

    def _on_list_update(self, update: EngineListUpdate) -> None:
        update = limit_list(update, self.peers, self.max_engines, self.hub.log)
        update = remove_superseded(update, self.peers, self.hub.log)
        retired = update_peers(update, self.peers)
        for peer in retired:  # all are marked: even after an error here none gets work
            try:
                self.engines.retire(peer)
            except Exception:
                self._fault(f"owner, retiring {peer.engine}")
        mode = api.ListMode.CHANGES
        if update.complete:
            mode = api.ListMode.COMPLETE if self.listed else api.ListMode.REMEMBERED
        self.listed = True
        self._decide(
            api.ListUpdate(
                mode,
                tuple(
                    api.EngineEntry(
                        m.engine, m.state, m.kind, m.zone, m.cell, m.started, m.priority, m.weight
                    )
                    for m in update.members
                ),
            )
        )
        for engine, peer in list(self.peers.items()):
            if peer.state is api.EngineState.GONE and engine not in self.gateway.fleet.engines:
                del self.peers[engine]

    # ---- actions --------------------------------------------------------------------------------------

    def _decide(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute its actions. An error fails only one request."""
        now, broken = time.monotonic(), False
        try:
            actions = self.gateway.handle(now, event)
        except Exception:
            self._fault(f"decision module, processing {type(event).__name__}")
            broken, actions = True, self.gateway.actions  # those decided before the error
        for action in actions:
            try:
                self._act(action, now)
            except Exception:
                self._fault(f"owner, executing {type(action).__name__}")
                request_id = getattr(action, "request", None)
                self._fail_request(request_id, self.open.get(request_id))
                if isinstance(action, api.Send):
                    self._end_attempt(request_id, action.engine, api.Outcome.NOT_STARTED)
        if broken:
            request = self.open.get(getattr(event, "request", None))
            if request is not None and request.attempt is None:
                self._fail_request(request.id, request)

    def _fault(self, what: str) -> None:
        """Report the error that is being handled to the operator."""
        self.faults += 1
        self.hub.report_error(what, traceback.format_exc())

    def _fail_request(self, request_id: str | None, request: ClientRequest | None) -> None:
        """Fail a request after an internal error and end it in the decision module."""
        if request is not None:
            if request.attempt is not None and request.attempt.task is None:
                request.attempt = None  # it was not started
            self._final(request, Failed("internal error"))
        if request_id is not None and request_id not in self.open:
            self.queue.put(api.ClientGone(request_id))

    def _end_attempt(self, request_id: str, engine: str, outcome: api.Outcome) -> None:
        """End an attempt that the decision module may count as in flight and nothing else reports."""
        self.queue.put(api.AttemptEnded(request_id, 0, engine, outcome, 0.0, True))

    def _act(self, action: api.Action, now: float) -> None:
        """Execute an action that was decided at `now`, from which its durations count."""
        match action:
            case api.Send(request_id, engine, timeout, begin_within):
                self._send(self.open[request_id], self.peers[engine], timeout, begin_within, now)
            case api.SetTerms(request_id, _, priority):
                request = self.open.get(request_id)
                if request is not None:
                    request.priority = priority
                    if request.attempt is not None and request.attempt.priority != priority:
                        request.attempt.priority = priority
                        self.engines.set_priority(request.attempt, priority)
            case api.Refuse(request_id, retry_after, reason):
                request = self.open.get(request_id)
                if request is not None:
                    self.request_log.refused(request, reason)
                if self.fleet_feed is not None and request is not None:
                    self.fleet_feed.on_refused(request)
                self._final(request, Refused(retry_after))
            case api.Fail(request_id, reason):
                request = self.open.get(request_id)
                if request is not None:
                    self.request_log.failed(request, reason)
                self._final(request, Failed())
            case api.Cancel(request_id, number):
                request = self.open.get(request_id)
                if request is not None and request.attempt is not None and request.attempt.number == number:
                    self.engines.cancel(request.attempt)
            case api.SetTimer(delay, name):
                self.hub.timers.after(delay, self.queue.put, books.TimerExpired(name))
            case api.Probe(engine):
                self.engines.probe(self.peers[engine])
            case api.Log(text):
                self.hub.log(text)
            case api.SendGossip(data):
                self.send_gossip(data)
            case api.WatchList():
                pass  # the list arrives without a subscription

    def _send(
        self, request: ClientRequest, peer: Peer, timeout: float, begin_within: float, now: float
    ) -> None:
        until = min(request.deadline, now + timeout) if timeout > 0 else request.deadline
        attempt = Attempt(request, peer, request.attempts_sent, until, request.priority)
        if begin_within > 0:
            attempt.begin_by = now + begin_within
        if request.attempts_sent:
            self.request_log.attempt_repeated(request, peer, begin_within)
        else:
            request.first_sent_at = now
        request.attempts_sent += 1
        if self.answer_cache is not None:
            self.answer_cache.sent(request, self.answer_cache.clock())
        if request.gone:  # nothing is started for it, not even a connect; its `ClientLeft` event follows
            self.queue.put(books.AttemptFinished(attempt, api.Outcome.NOT_STARTED))
            return
        request.attempt = attempt
        self.engines.start(attempt)

    def _final(self, request: ClientRequest | None, final: Final) -> None:
        """Answer an open request, once, even after an error while closing it. Nothing else answers."""
        if request is not None and request.open:
            try:
                self._close(request)
            except Exception:
                self._fault("owner, closing a request")
            try:
                request.reply(request, final)
            except Exception:
                self._fault("owner, answering a request")

    def _close(self, request: ClientRequest) -> None:
        request.open = False
        if self.open.get(request.id) is request:
            del self.open[request.id]
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if request.attempt is not None:
            self.ending.add(request.attempt)
            self.engines.cancel(request.attempt)
        if self.answer_cache is not None:
            for other in self.answer_cache.closed(request, self.answer_cache.clock()):
                self._start_request(other)

    _handlers = {
        books.RequestReceived: _on_request_received,
        books.AttemptFinished: _on_attempt_finished,
        books.AttemptNoted: _on_note,
        books.ClientLeft: _on_client_left,
        books.DeadlinePassed: _on_deadline_passed,
        books.ProbeFinished: _on_probe_finished,
        books.TimerExpired: _on_timer_expired,
        books.Closing: _on_closing,
        books.UnhealthyQuery: _on_unhealthy_query,
        books.GossipReceived: _on_gossip_received,
        books.WaitExpired: _on_wait_expired,
        EngineListUpdate: _on_list_update,
        api.ClientGone: _decide,
        api.AttemptEnded: _decide,
    }
