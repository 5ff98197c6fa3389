"""The events logged for requests: why each was refused, failed or repeated, and how attempts ended."""

from __future__ import annotations

import time

from .. import api
from ..net.eventlog import EventLog
from .books import Attempt, ClientRequest, Peer


class RequestLog:
    """Writes the events, each with the request's id. Ages are of the monotonic clock."""

    def __init__(self, events: EventLog, settings: api.Settings) -> None:
        self._events, self._settings = events, settings

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Log an attempt that ended without an answer."""
        self._events.event(
            "attempt_ended",
            id=attempt.client_request.id,
            attempt=attempt.number,
            engine=attempt.peer.engine,
            outcome=outcome.value,
            age=time.monotonic() - attempt.began_at,
            client_gone=attempt.client_request.gone,
        )

    def attempt_repeated(self, request: ClientRequest, peer: Peer, begin_within: float) -> None:
        """Log a further attempt, with the age of the first one and the time in which it must begin."""
        spec = self._settings.classes[request.cls]
        self._events.event(
            "attempt_repeated",
            id=request.id,
            cls=request.cls,
            effect=spec.effect.value,
            attempt=request.attempts_sent,
            engine=peer.engine,
            first_sent_ago=time.monotonic() - request.first_sent_at,
            dedup_window=spec.dedup_window,
            begin_within=begin_within,
        )

    def refused(self, request: ClientRequest, reason: api.EndReason | None) -> None:
        """Log a refusal: a repeat does no harm."""
        self._log_answer("request_refused", request, reason)

    def expired(self, request: ClientRequest) -> None:
        """Log a request without an answer at its deadline: the process was stopped or got no CPU time."""
        self._events.event(
            "request_expired",
            id=request.id,
            cls=request.cls,
            age=time.monotonic() - request.arrived_at,
            attempts=request.attempts_sent,
        )

    def failed(self, request: ClientRequest, reason: api.EndReason | None) -> None:
        """Log a failure: the request may have had its effect."""
        self._log_answer("request_failed", request, reason)

    def _log_answer(self, name: str, request: ClientRequest, reason: api.EndReason | None) -> None:
        self._events.event(
            name,
            id=request.id,
            cls=request.cls,
            reason=reason.value if reason else "",
            age=time.monotonic() - request.arrived_at,
            attempts=request.attempts_sent,
        )
