"""What clients, engines and front ends did. All times are of the driver's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..slowlink import Trace


class Reply(Enum):
    """A whole answer, as a client reads it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREADABLE = "unreadable"


@dataclass
class ClientConnection:
    """One connection of an honest client."""

    front: str
    opened: float
    trace: Trace | None = None  # known once the link has accepted it
    peer: str = ""  # the client's own address, and the link's: its trace goes by both
    link: tuple[str, int] = ("", 0)
    ended_at: float | None = None  # by the other side
    closed_at: float | None = None  # by the client
    faults: list[str] = field(default_factory=list)  # answers that nobody asked for, or that cannot be read


@dataclass
class ClientRequest:
    """One request of an honest client."""

    id: str
    cls: str
    connection: ClientConnection
    sent: float  # its last byte was written
    timeout: float
    offset: int  # bytes written on its connection up to its end
    expected: bytes  # the result, where it is served
    reply: Reply | None = None
    wrong: bool = False  # served with something else
    answered_at: float | None = None
    forgotten_at: float | None = None
    forget_offset: int = 0  # bytes written up to the end of its `forget`


@dataclass
class EngineAttempt:
    """One run of a query at an engine."""

    id: str
    engine: str
    cls: str
    key: str
    began: float
    max_wait: float  # seconds that the front end said it will wait
    ended: float | None = None  # its end was written, or it was deleted
    last_asked: float = 0.0
    refused: bool = False  # it never ran, and said so


@dataclass
class FrontLife:
    """One process of a front end."""

    front: str
    started: float
    ready: float | None = None
    terminated: float | None = None  # the first SIGTERM
    killed: float | None = None  # SIGKILL, where it was still there
    exited: float | None = None
    exit_code: int | None = None
    stops: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP to SIGCONT
    descriptors: int = 0  # open at the first SIGTERM
    memory_mb: float = 0.0


@dataclass
class DayRecords:
    """All that a day left behind."""

    seed: int
    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[EngineAttempt] = field(default_factory=list)
    lives: list[FrontLife] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # by engine: when the bulletin told
    stalls: list[tuple[float, float]] = field(default_factory=list)  # in which the driver itself was late
    logs: dict[str, str] = field(default_factory=dict)  # by front end

    def stalled(self, since: float, until: float) -> bool:
        """Whether the driver was late in that time, so that its clients may have been too."""
        return any(begin < until and end > since for begin, end in self.stalls)
