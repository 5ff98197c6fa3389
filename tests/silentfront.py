"""An owner with engines that record attempts and never answer, for tests without sockets."""

from __future__ import annotations

import time

from aspenrill import api
from aspenrill.core import books
from aspenrill.core.owner import Owner
from aspenrill.members import Member, News
from aspenrill.net.hub import Hub


class Engines:
    """Records the attempts that are started; answers none."""

    def __init__(self) -> None:
        self.started: list = []

    def start(self, attempt) -> None:
        self.started.append(attempt)

    def cancel(self, attempt) -> None: ...
    def set_priority(self, attempt, priority) -> None: ...
    def probe(self, peer) -> None: ...
    def retire(self, peer) -> None: ...


SPECS = (
    api.QueryClass(latency_target=1.0, time_budget=9.0, effect=api.Effect.SAFE, worth=2.0),
    api.QueryClass(latency_target=1.0, time_budget=9.0, effect=api.Effect.SAFE, is_load=True),
)


class Front:
    """An owner with two engines, and the final answers of its requests."""

    def __init__(self) -> None:
        self.hub, self.engines = Hub(print), Engines()
        self.owner = Owner(self.hub, api.Settings(classes=SPECS, cores_by_kind=(8,)), 1, self.engines)
        self.owner.take(
            News(1, True, tuple(Member(name, ("127.0.0.1", 1), api.EngineState.LIVE) for name in ("x", "y")))
        )
        self.answers: list[tuple[str, object]] = []

    def ask(
        self, ident: str, statement: bytes = b"select 1 from sales_17.t", cls: int = 0
    ) -> books.ClientRequest:
        call = books.ClientRequest(
            ident,
            cls,
            0,
            statement,
            None,
            17,
            time.monotonic(),
            9.0,
            lambda call, final: self.answers.append((call.id, final)),
        )
        self.owner.take(books.RequestReceived(call))
        return call

    def end(self, at: int, outcome: api.Outcome = api.Outcome.OK) -> None:
        result = books.Result("text", (b"1\n",), (), 1) if outcome is api.Outcome.OK else None
        self.owner.take(books.AttemptFinished(self.engines.started[at], outcome, result, 0.25))
