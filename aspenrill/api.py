"""The interface of aspenrill: what a gateway is told at start, what it hears, and what it may do.

All times are seconds (floats) on the caller's own clock, which never goes back.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """What running a request twice does: nothing, nothing within its group and window, or harm."""

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
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the engine did not start the work."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

    @property
    def may_still_run(self) -> bool:
        """True where the engine may be working on it still."""
        return self in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class EngineState(Enum):
    """What the engine list says of an engine."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListMode(Enum):
    """How a message of the engine list is to be read."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    REFUSED = "refused"


class NoteKind(Enum):
    """What a note on an attempt tells: share done, megabytes missing, or that it waits."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


@dataclass(frozen=True)
class QueryClass:
    """One class of requests. `aim` grows by `aim_stretch` x true work / threads."""

    aim: float
    patience: float
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0
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
    """What a gateway is told at its start. A rule acts only where its figures are present."""

    classes: tuple[QueryClass, ...]
    cores_by_kind: tuple[int, ...]
    memory_by_kind: tuple[float, ...] = ()
    gateways: int = 1
    me: int = 0
    most_attempts: int = 3
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    tell_price: float = 0.0
    probe_price: float = 0.0  # of the result, for one probe a request
    shortage_pages: bool = False
    longest_come_back: float = 0.0
    grants_heeded: bool = False
    largest_grant: float = 1.0
    priorities_heeded: bool = False
    costs_told: bool = False
    ask_for_list: bool = False
    report_fields: tuple[str, ...] = ()
    start_capacity: float = 1.0
    cold_for: float = 0.0
    fall_multiple: float = 0.0
    fall_window: float = 0.0
    key_rest: float | None = None
    retry_free: float | None = None
    retry_ratio: float | None = None
    retry_span: float = 0.0
    over_share_worth: float = 1.0
    tenant_quotas: tuple[float, ...] = ()

    def validate(self) -> None:
        """Raise ValueError naming the first field that cannot be used."""
        if not self.classes:
            raise ValueError("classes: at least one class of requests is needed")
        if not self.cores_by_kind or min(self.cores_by_kind) < 1:
            raise ValueError("cores_by_kind: each kind needs at least one core")
        if self.gateways < 1:
            raise ValueError(f"gateways: must be 1 or more, got {self.gateways}")
        if self.most_attempts < 1:
            raise ValueError(f"most_attempts: must be 1 or more, got {self.most_attempts}")
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
    """One line of the engine list. `started` is 0 where the engine started long ago.

    `weight` is its share in choosing among those of its `tier` (RFC 2782); None says nothing of it.
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
    """News of the engine list."""

    mode: ListMode
    entries: tuple[EngineEntry, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request; the gateway now owes exactly one final answer."""

    request: str
    cls: int
    patience: float
    tenant: int = 0
    key: str | None = None
    memory_mb: float = 0.0
    work: float | None = None
    data_set: int | None = None
    waited: float = 0.0  # seconds that the gateway's own program is behind
    client_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """How an attempt finished. `closed`: the request is over, nothing is owed any more."""

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
    """Word on an attempt that is still out."""

    request: str
    attempt: int
    engine: str
    kind: NoteKind
    amount: float


@dataclass(slots=True)
class StreamStarted:
    """The answer has begun; the attempt belongs to the client from here on."""

    request: str
    attempt: int
    engine: str


@dataclass(slots=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    request: str


@dataclass(slots=True)
class ProbeEnded:
    """What a probe brought back."""

    engine: str
    outcome: Outcome
    latency: float
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimerDue:
    """A timer set by the gateway has come due."""

    name: str


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes = field(repr=False)


@dataclass(slots=True)
class Closing:
    """The gateway's program is about to end: every request gets its final answer now."""


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
    """Hand the request to an engine. `timeout` 0: until the client quits.

    `begin_within`: seconds, from the decision, within which its first byte has to go out; later it is moot.
    0: as long as the attempt is wanted.
    """

    request: str
    engine: str
    timeout: float = 0.0
    begin_within: float = 0.0


@dataclass(slots=True)
class SetTerms:
    """Memory (0: the engine's choice) for the next attempt, priority also for attempts that are out."""

    request: str
    memory_mb: float
    priority: int


class EndReason(Enum):
    """Why a request was refused or failed, as the log tells it."""

    PROGRAM_BEHIND = "program_behind"  # the front end's own program is late
    ENTRY_GAP = "entry_gap"  # the rate ladder lets fewer in
    TOO_LATE = "too_late"  # it cannot be answered on time
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE = "deadline"  # its last attempt took all of its time
    NO_FURTHER_ATTEMPT = "no_further_attempt"  # its effect, budget, engines or time allow none
    SHUTDOWN = "shutdown"


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, the client may try again without harm, after `come_back` if given."""

    request: str
    come_back: float = 0.0
    reason: EndReason | None = field(default=None, compare=False)  # for the log alone


@dataclass(slots=True)
class Fail:
    """Final answer: failed, promising nothing about the effect."""

    request: str
    reason: EndReason | None = field(default=None, compare=False)  # for the log alone


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask an engine for its load."""

    engine: str


@dataclass(slots=True)
class Tell:
    """A message of at most 256 bytes to every other gateway; it may be lost."""

    data: bytes


@dataclass(slots=True)
class WatchList:
    """Subscribe to changes of the engine list."""


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue."""

    delay: float
    name: str


@dataclass(slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | SetTerms | Refuse | Fail | Cancel | Probe | Tell | WatchList | SetTimer | Log
