"""Attempts that outlast their request: its client left, or its time ran out, and the engine is being stopped.

A client may send a request with the same id meanwhile or soon after. It must not run beside the attempt, and
one that must not be repeated must not run at all if the attempt may have.
"""

from __future__ import annotations

import time
from enum import Enum

from ..api import Effect, Outcome, Settings
from .books import Attempt, ClientRequest

REMEMBERED_FOR = 60.0  # seconds in which an id is expected again
MAX_REMEMBERED = 4096  # ids; the oldest are forgotten first


class Verdict(Enum):
    """What becomes of a request whose id may have been used before."""

    ADMIT = "admit"
    HOLD = "hold"  # until the attempt of the earlier one has ended
    MAY_HAVE_RUN = "may have run"  # the earlier one, which must not be repeated


class EndingAttempts:
    """The attempts of closed requests by request id, and the ids of those that may have run."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._ending: dict[str, Attempt] = {}
        self._held: dict[str, ClientRequest] = {}
        self._may_have_run: dict[str, float] = {}  # until when each id is remembered, the oldest first

    def __contains__(self, request_id: str) -> bool:
        """Whether the id of a request was used before, as far as that matters."""
        return request_id in self._ending or request_id in self._may_have_run

    def add(self, attempt: Attempt) -> None:
        """Notes an attempt whose request is closed before it has ended."""
        self._ending[attempt.client_request.id] = attempt

    def check(self, request: ClientRequest) -> Verdict:
        """Tells what becomes of a request that has arrived or was held."""
        if request.id in self._ending:
            return Verdict.HOLD
        if self._may_have_run.get(request.id, 0.0) > time.monotonic():
            return Verdict.MAY_HAVE_RUN
        return Verdict.ADMIT

    def hold(self, request: ClientRequest) -> None:
        """Keeps a request until `end` returns it."""
        self._held[request.id] = request

    def end(self, attempt: Attempt, outcome: Outcome) -> ClientRequest | None:
        """Notes the end of any attempt; returns the request that was held for it, which may be closed."""
        request = attempt.client_request
        if self._ending.get(request.id) is not attempt:
            return None
        del self._ending[request.id]
        if self.settings.classes[request.cls].effect is Effect.UNSAFE and not outcome.never_ran:
            self._remember(request.id)
        return self._held.pop(request.id, None)

    def _remember(self, request_id: str) -> None:
        now = time.monotonic()
        self._may_have_run.pop(request_id, None)
        self._may_have_run[request_id] = now + REMEMBERED_FOR
        while len(self._may_have_run) > MAX_REMEMBERED or next(iter(self._may_have_run.values())) <= now:
            del self._may_have_run[next(iter(self._may_have_run))]
