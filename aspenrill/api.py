"""The interface of the decision module: its settings, the events that it processes, the actions it returns.

All times are seconds (floats) on the caller's clock, which must be monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """What running a request twice does: no harm, none within its deduplication scope and window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the engine did not start the work."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)

    @property
    def may_still_run(self) -> bool:
        """Whether the engine may still be working on it."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class EngineState(Enum):
    """The state of an engine in the engine list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListMode(Enum):
    """What the entries of a list update are: the changed ones, all, all as stored, or none (refused)."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    REFUSED = "refused"


class NoteKind(Enum):
    """What a note on an attempt reports: share done, megabytes spilled to disk, or that it waits."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


@dataclass(frozen=True)
class QueryClass:
    """A class of requests. Its target is `latency_target` + `target_per_work` x work / threads (in s)."""

    latency_target: float
    time_budget: float
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    target_per_work: float = 0.0
    dedup_scope: str = "all"
    dedup_window: float = 0.0
    in_order: bool = False
    only_kinds: tuple[int, ...] | None = None
    only_zones: tuple[int, ...] | None = None
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False


@dataclass(frozen=True)
class Settings:
    """The settings of a gateway. A rule applies only where its values are present."""

    classes: tuple[QueryClass, ...]
    cores_by_kind: tuple[int, ...]
    memory_by_kind: tuple[float, ...] = ()
    gateways: int = 1
    gateway_index: int = 0
    max_attempts: int = 3
    may_cancel: bool = False
    may_probe: bool = False
    may_gossip: bool = False
    gossip_price: float = 0.0  # the same for one message of 256 bytes
    probe_price: float = 0.0  # share of the result that one probe for each request costs
    shortage_pages: bool = False
    max_retry_after: float = 0.0
    honors_grants: bool = False
    max_grant: float = 1.0
    honors_priorities: bool = False
    reports_work: bool = False
    subscribe_to_list: bool = False
    report_fields: tuple[str, ...] = ()
    start_capacity: float = 1.0
    cold_for: float = 0.0
    fall_multiple: float = 0.0
    fall_window: float = 0.0
    key_backoff: float | None = None
    retry_free: float | None = None
    retry_ratio: float | None = None
    retry_span: float = 0.0
    over_share_worth: float = 1.0
    tenant_quotas: tuple[float, ...] = ()

    def validate(self) -> None:
        """Raise ValueError with the name of the first invalid field."""
        if not self.classes:
            raise ValueError("classes: at least one class of requests is needed")
        if not self.cores_by_kind or min(self.cores_by_kind) < 1:
            raise ValueError("cores_by_kind: each kind needs at least one core")
        if self.gateways < 1:
            raise ValueError(f"gateways: must be 1 or more, got {self.gateways}")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: must be 1 or more, got {self.max_attempts}")
        for owner, label in [(self, "")] + [(c, f"classes[{i}].") for i, c in enumerate(self.classes)]:
            for f in fields(owner):
                value = getattr(owner, f.name)
                if isinstance(value, (int, float)) and not isinstance(value, bool) and not value >= 0:
                    raise ValueError(f"{label}{f.name}: must not be negative, got {value}")
        for i, c in enumerate(self.classes):
            if not isinstance(c.effect, Effect):
                raise ValueError(f"classes[{i}].effect: no such effect: {c.effect!r}")
            if c.dedup_scope not in ("all", "zone", "cell"):
                raise ValueError(f"classes[{i}].dedup_scope: no such scope: {c.dedup_scope!r}")
            if c.threads < 1:
                raise ValueError(f"classes[{i}].threads: must be 1 or more, got {c.threads}")


@dataclass(frozen=True)
class EngineEntry:
    """One engine of the engine list. `started` is 0 where the engine started long ago.

    `weight` sets its share of the requests within its `tier` (RFC 2782); None sets none.
    """

    engine: str
    state: EngineState
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started: float = 0.0
    tier: int = 0
    weight: float | None = None


@dataclass(slots=True)
class ListUpdate:
    """An update of the engine list."""

    mode: ListMode
    entries: tuple[EngineEntry, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request. The gateway must give it exactly one final answer."""

    request: str
    cls: int
    time_budget: float
    tenant: int = 0
    key: str | None = None
    memory_mb: float = 0.0
    work: float | None = None
    data_set: int | None = None
    program_delay: float = 0.0  # seconds by which the gateway's own program is behind
    client_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """The end of an attempt. `closed`: the request has ended and needs no answer."""

    request: str
    attempt: int
    engine: str
    outcome: Outcome
    latency: float
    closed: bool
    work: float | None = None
    memory_mb: float | None = None
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class AttemptNote:
    """A note of the engine on an attempt in flight."""

    request: str
    attempt: int
    engine: str
    kind: NoteKind
    amount: float


@dataclass(slots=True)
class StreamStarted:
    """The answer has begun to stream to the client, so the attempt cannot be repeated any more."""

    request: str
    attempt: int
    engine: str


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected; the request needs no answer."""

    request: str


@dataclass(slots=True)
class ProbeEnded:
    """The end of a probe."""

    engine: str
    outcome: Outcome
    latency: float
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimerDue:
    """A timer that the gateway set is due."""

    name: str


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes = field(repr=False)


@dataclass(slots=True)
class Closing:
    """The process is about to exit: every request gets its final answer now."""


Event = (
    ListUpdate
    | Request
    | AttemptEnded
    | AttemptNote
    | StreamStarted
    | ClientGone
    | ProbeEnded
    | TimerDue
    | PeerMessage
    | Closing
)


@dataclass(slots=True)
class Send:
    """Send the request to an engine. `timeout` 0: until the client's deadline.

    `begin_within`: seconds from the decision within which the first byte must be sent, else the attempt ends
    as not started. 0: no limit.
    """

    request: str
    engine: str
    timeout: float = 0.0
    begin_within: float = 0.0


@dataclass(slots=True)
class SetTerms:
    """Memory (0: the engine decides) for the next attempt; priority also for the attempt in flight."""

    request: str
    memory_mb: float
    priority: int


class EndReason(Enum):
    """Why a request was refused or failed, as it is logged."""

    PROGRAM_BEHIND = "program_behind"  # the front end's own process is late
    ENTRY_GAP = "entry_gap"  # the entry gap limits the rate
    TOO_LATE = "too_late"  # it cannot be answered in time
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE = "deadline"  # its last attempt took the time that was left
    NO_FURTHER_ATTEMPT = (
        "no_further_attempt"  # its effect, the retry budget, the engines or the time permit none
    )
    SHUTDOWN = "shutdown"


@dataclass(slots=True)
class Refuse:
    """Final answer: refused. A repeat does no harm; `retry_after` is a hint when, in seconds (0: none)."""

    request: str
    retry_after: float = 0.0
    reason: EndReason | None = field(default=None, compare=False)  # only for the log


@dataclass(slots=True)
class Fail:
    """Final answer: failed. The request may or may not have had its effect."""

    request: str
    reason: EndReason | None = field(default=None, compare=False)  # only for the log


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Probe an engine for its load report."""

    engine: str


@dataclass(slots=True)
class SendGossip:
    """Send a gossip message of at most 256 bytes to every other gateway; it may be lost."""

    data: bytes


@dataclass(slots=True)
class WatchList:
    """Subscribe to changes of the engine list."""


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerDue` after `delay` seconds."""

    delay: float
    name: str


@dataclass(slots=True)
class Log:
    """A line for the operator's log."""

    text: str


Action = Send | SetTerms | Refuse | Fail | Cancel | Probe | SendGossip | WatchList | SetTimer | Log
