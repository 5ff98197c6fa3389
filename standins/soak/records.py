"""Records of what clients, engines and front ends did. All times are of the driver's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..slowlink import Trace


class Reply(Enum):
    """The kind of a complete answer, as the client reads it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREADABLE = "unreadable"


@dataclass
class ClientConnection:
    """One connection of a regular client."""

    front: str
    opened_at: float
    trace: Trace | None = None  # known once the link has accepted it
    peer: str = ""  # the client's own address; it identifies the trace together with the link's address
    link: tuple[str, int] = ("", 0)
    ended_at: float | None = None  # by the other side
    closed_at: float | None = None  # by the client
    faults: list[str] = field(default_factory=list)  # unexpected or unreadable answers


@dataclass
class ClientRequest:
    """One request of a regular client."""

    id: str
    cls: str
    connection: ClientConnection
    sent_at: float  # its last byte was written
    timeout: float
    end_offset: int  # bytes written on its connection up to its end
    expected: bytes  # the correct result
    reply: Reply | None = None
    wrong: bool = False  # served with another result
    answered_at: float | None = None
    cancelled_at: float | None = None
    cancel_offset: int = 0  # bytes written up to the end of its `forget`


@dataclass
class EngineAttempt:
    """One attempt, as its engine saw it."""

    id: str
    engine: str
    cls: str
    key: str
    began_at: float
    max_wait: float  # seconds that the front end said it will wait
    ended_at: float | None = None  # its end was written, or it was deleted
    last_polled_at: float = 0.0
    refused: bool = False  # it never ran, and said so


@dataclass
class FrontProcessRecord:
    """One process of a front end, from its start to its exit."""

    front: str
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # the first SIGTERM
    killed_at: float | None = None  # SIGKILL, where it was still there
    exited_at: float | None = None
    exit_code: int | None = None
    stopped_spans: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP to SIGCONT
    descriptors: int = 0  # open at the first SIGTERM
    memory_mb: float = 0.0


@dataclass
class RunRecords:
    """Everything recorded in one run."""

    seed: int
    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[EngineAttempt] = field(default_factory=list)
    processes: list[FrontProcessRecord] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # by engine: when the bulletin announced its drain
    driver_stalls: list[tuple[float, float]] = field(
        default_factory=list
    )  # in which the driver itself was late
    logs: dict[str, str] = field(default_factory=dict)  # by front end

    def driver_stalled(self, since: float, until: float) -> bool:
        """Whether the driver itself was late in that span, so that its clients may have been late too."""
        return any(begin < until and end > since for begin, end in self.driver_stalls)
