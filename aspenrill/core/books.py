"""The books: requests that are open, attempts that are out, engines by id. Plain records."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..api import EngineState, NoteKind, Outcome


@dataclass(frozen=True, slots=True)
class Result:
    """Rows as an engine gave them: as `text` with tabs and line feeds in `pages`, or as `tokens` of TDS."""

    form: str
    pages: tuple[bytes, ...] = ()
    tokens: tuple[bytes, ...] = ()
    rows: int = 0


@dataclass(slots=True)
class Served:
    """Final answer: all rows."""

    result: Result


@dataclass(frozen=True)
class Refused:
    """Final answer: trying again is harmless, after `come_back` seconds if given."""

    come_back: float = 0.0


@dataclass(frozen=True)
class Failed:
    """Final answer: nothing is promised of the effect."""

    reason: str = ""


Final = Served | Refused | Failed


@dataclass(eq=False, slots=True)
class Call:
    """A request that a front has taken. Times are of the monotonic clock."""

    id: str
    cls: int
    tenant: int
    statement: bytes
    key: str | None
    data_set: int | None
    arrived: float
    patience: float
    reply: Callable[[Call, Final], None]
    open: bool = True
    gone: bool = False  # its client has left: its front says so here at once, and to the owner by `Left`
    sends: int = 0
    first_sent_at: float = 0.0
    priority: int = 1
    attempt: Attempt | None = None  # the one that is out
    overtime: Any = None  # the timer past its deadline
    tag: int = 0  # its front's own

    @property
    def deadline(self) -> float:
        """When its client gives up."""
        return self.arrived + self.patience


@dataclass(eq=False, slots=True)
class Peer:
    """An engine as the roster names it. Connections belong to this record, not to the address."""

    engine: str
    address: tuple[str, int]
    state: EngineState
    started: float = 0.0
    idle: list[Any] = field(default_factory=list)
    heads: dict[int, bytes] = field(default_factory=dict)  # by class: how requests to it begin
    unreached: int = 0  # connections in a row that did not come up, since one did or it answered
    retired: bool = False  # replaced by another process or address
    dialing: int = 0  # connections that are coming up
    failed_at: float = -1e9  # when one last did not come up in time
    broke_at: float = -1e9  # when it, or the way there, last ended a connection
    waiting: deque = field(default_factory=deque)  # tasks that wait for a connection of its

    @property
    def takes_work(self) -> bool:
        """Neither draining nor gone."""
        return self.state is EngineState.LIVE and not self.retired


@dataclass(eq=False, slots=True)
class Attempt:
    """One try at an engine, out until its end is reported."""

    call: Call
    peer: Peer
    number: int
    until: float
    priority: int
    task: Any = None
    cancelled: bool = False
    begin_by: float = math.inf  # the last moment for its first byte: a repeat's window, a cold engine's turn
    began: float = field(default_factory=time.monotonic)
    asked: float | None = None  # when the engine was last asked; None: no byte has gone out
    heard: float = 0.0  # when it last said anything
    spoilt: int = 0  # answers that could not be read
    state: Any = None  # what its protocol keeps of it

    @property
    def wanted(self) -> bool:
        """Still worth its first byte: client there, request open, time left, engine taking work."""
        return (
            self.call.open
            and not self.call.gone
            and not self.cancelled
            and time.monotonic() < min(self.until, self.begin_by)
            and self.peer.takes_work
        )


# ---- what reaches the owner's queue -------------------------------------------------------------------


@dataclass(slots=True)
class Asked:
    """A front has taken a request."""

    call: Call


@dataclass(slots=True)
class Tired:
    """A request has waited for another's answer as long as it may."""

    call: Call


@dataclass(slots=True)
class Left:
    """The client of a request has gone."""

    call: Call


@dataclass(slots=True)
class Expired:
    """A request is past its deadline and has no answer."""

    call: Call


@dataclass(slots=True)
class Ended:
    """An attempt is over."""

    attempt: Attempt
    outcome: Outcome
    result: Result | None = None
    work: float | None = None
    memory_mb: float | None = None
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class Noted:
    """A note on an attempt that is out."""

    attempt: Attempt
    kind: NoteKind
    amount: float


@dataclass(slots=True)
class Probed:
    """What a probe brought."""

    peer: Peer
    outcome: Outcome
    latency: float
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class Due:
    """A timer of the module."""

    name: str


@dataclass(slots=True)
class Heard:
    """What the module of another front end tells; the sender by its rank among all that are known."""

    sender: int
    data: bytes


@dataclass(slots=True)
class Unfit:
    """Somebody asks which engines are found broken just now; `tell` gets their ids."""

    tell: Callable[[list[str]], None]


@dataclass(slots=True)
class Closing:
    """The program is about to end: whatever is open gets its answer now."""
