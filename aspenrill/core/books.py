"""Records of open requests, attempts in flight and engines, and the events that the owner processes."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..api import EngineState, NoteKind, Outcome


@dataclass(frozen=True, slots=True)
class Result:
    """The rows of an answer. `form` is `text` (tabs and line feeds, in `pages`) or `tokens` (of TDS)."""

    form: str
    pages: tuple[bytes, ...] = ()
    tokens: tuple[bytes, ...] = ()
    rows: int = 0


@dataclass(slots=True)
class Served:
    """Final answer: all rows of the result."""

    result: Result


@dataclass(frozen=True)
class Refused:
    """Final answer: a repeat does no harm; `retry_after` is a hint when, in seconds (0: none)."""

    retry_after: float = 0.0


@dataclass(frozen=True)
class Failed:
    """Final answer: the request may or may not have had its effect."""

    reason: str = ""


Final = Served | Refused | Failed


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request that a protocol front end has accepted. Times are of the monotonic clock."""

    id: str
    cls: int
    tenant: int
    statement: bytes
    key: str | None
    data_set: int | None
    arrived_at: float
    time_budget: float
    reply: Callable[[ClientRequest, Final], None]
    open: bool = True
    gone: bool = (
        False  # its client has disconnected: set at once, before the owner gets the `ClientLeft` event
    )
    attempts_sent: int = 0
    first_sent_at: float = 0.0
    priority: int = 1
    attempt: Attempt | None = None  # in flight
    deadline_timer: Any = None  # fires after the deadline
    tag: int = 0  # for use by its protocol front end

    @property
    def deadline(self) -> float:
        """When its client stops waiting."""
        return self.arrived_at + self.time_budget


@dataclass(eq=False, slots=True)
class Peer:
    """An engine of the engine list. Connections belong to this record; an address may be reused."""

    engine: str
    address: tuple[str, int]
    state: EngineState
    started: float = 0.0
    idle: list[Any] = field(default_factory=list)
    request_heads: dict[int, bytes] = field(
        default_factory=dict
    )  # by class: the first bytes of each request to it
    failed_connects: int = 0  # failed connects in a row, since one succeeded or it answered
    retired: bool = False  # replaced by another process or address
    connecting: int = 0  # connects in progress
    failed_at: float = -1e9  # last connect that timed out
    lost_at: float = -1e9  # last connection that the engine or the network ended
    waiting: deque = field(default_factory=deque)  # tasks that wait for a connection to it

    @property
    def takes_work(self) -> bool:
        """Whether it is neither draining nor gone."""
        return self.state is EngineState.LIVE and not self.retired


@dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request to an engine, in flight until its end is reported."""

    client_request: ClientRequest
    peer: Peer
    number: int
    until: float
    priority: int
    task: Any = None
    cancelled: bool = False
    begin_by: float = math.inf  # limit for its first byte: by a repeat's window or a cold engine's slot
    began_at: float = field(default_factory=time.monotonic)
    sent_at: float | None = None  # latest time at which the engine may have received a call; None: no call
    unanswered: Any = None  # connection of the last call while no response to it has been read
    confirmed: bool = False  # a response has shown that the engine received the request
    received_at: float = 0.0  # when bytes last came from it
    malformed: int = 0  # malformed answers
    doubted: tuple[int, bytes] | None = None  # number and body of a page with unclear bytes behind it
    state: Any = None  # for use by its protocol

    @property
    def wanted(self) -> bool:
        """Whether its first byte may still be sent: its request and its engine allow it, and time is left."""
        return (
            self.client_request.open
            and not self.client_request.gone
            and not self.cancelled
            and time.monotonic() < min(self.until, self.begin_by)
            and self.peer.takes_work
        )


# ---- events of the owner's queue ----------------------------------------------------------------------


@dataclass(slots=True)
class RequestReceived:
    """A protocol front end has accepted a request."""

    client_request: ClientRequest


@dataclass(slots=True)
class WaitExpired:
    """A request has waited for another request's answer as long as it may."""

    client_request: ClientRequest


@dataclass(slots=True)
class ClientLeft:
    """The client of a request has disconnected or cancelled it."""

    client_request: ClientRequest


@dataclass(slots=True)
class DeadlinePassed:
    """A request has no answer and its deadline has passed."""

    client_request: ClientRequest


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended."""

    attempt: Attempt
    outcome: Outcome
    result: Result | None = None
    work: float | None = None
    memory_mb: float | None = None
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class AttemptNoted:
    """A note on an attempt in flight."""

    attempt: Attempt
    kind: NoteKind
    amount: float


@dataclass(slots=True)
class ProbeFinished:
    """A probe has ended."""

    peer: Peer
    outcome: Outcome
    latency: float
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimerExpired:
    """A timer of the decision module is due."""

    name: str


@dataclass(slots=True)
class GossipReceived:
    """Gossip of another front end's decision module. `sender` is its rank among all known front ends."""

    sender: int
    data: bytes


@dataclass(slots=True)
class UnhealthyQuery:
    """A query for the engines that are unhealthy now; `on_result` is called with their ids."""

    on_result: Callable[[list[str]], None]


@dataclass(slots=True)
class Closing:
    """The process is about to exit: every open request gets its answer now."""


class Engines(Protocol):
    """What the owner needs from the code that connects to engines."""

    def start(self, attempt: Attempt) -> None:
        """Starts the attempt in a task of its own."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancels the attempt."""

    def set_priority(self, attempt: Attempt, priority: int) -> None:
        """Changes the priority of an attempt in flight, if the protocol supports it."""

    def probe(self, peer: Peer) -> None:
        """Probes the engine in a task of its own, which posts the result."""

    def withdraw_all(self) -> None:
        """Withdraws all calls without a response, as the process exits."""

    def retire(self, peer: Peer) -> None:
        """Stops sending work to an engine and closes its idle connections."""
