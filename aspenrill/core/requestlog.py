"""What the log tells of requests: why each was refused, failed or repeated, and how attempts ended."""

from __future__ import annotations

import time

from .. import api
from ..net.eventlog import EventLog
from .books import Attempt, Call, Peer


class RequestLog:
    """Lines for the people on call, with the request's id. All ages are of the monotonic clock."""

    def __init__(self, events: EventLog, settings: api.Settings) -> None:
        self._events, self._settings = events, settings

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """An attempt that brought no answer."""
        self._events.event(
            "attempt_ended",
            id=attempt.call.id,
            attempt=attempt.number,
            engine=attempt.peer.engine,
            outcome=outcome.value,
            age=time.monotonic() - attempt.began,
            client_gone=attempt.call.gone,
        )

    def attempt_repeated(self, call: Call, peer: Peer, begin_within: float) -> None:
        """One more attempt: how old the first one is, and the time that the module leaves for it."""
        spec = self._settings.classes[call.cls]
        self._events.event(
            "attempt_repeated",
            id=call.id,
            cls=call.cls,
            effect=spec.effect.value,
            attempt=call.sends,
            engine=peer.engine,
            first_sent_ago=time.monotonic() - call.first_sent_at,
            dedup_window=spec.dedup_window,
            begin_within=begin_within,
        )

    def refused(self, call: Call, reason: api.EndReason | None) -> None:
        """A final answer that promises that trying again is harmless."""
        self._answered("request_refused", call, reason)

    def expired(self, call: Call) -> None:
        """No answer at its deadline: the program was stopped, or without a core."""
        self._events.event(
            "request_expired",
            id=call.id,
            cls=call.cls,
            age=time.monotonic() - call.arrived,
            attempts=call.sends,
        )

    def failed(self, call: Call, reason: api.EndReason | None) -> None:
        """A final answer that promises nothing."""
        self._answered("request_failed", call, reason)

    def _answered(self, name: str, call: Call, reason: api.EndReason | None) -> None:
        self._events.event(
            name,
            id=call.id,
            cls=call.cls,
            reason=reason.value if reason else "",
            age=time.monotonic() - call.arrived,
            attempts=call.sends,
        )
