"""Messages between authority components and the voters' stored records, as validated MessagePack.

`incarnation` is that of the requester. An answer echoes it, so that answers to an earlier incarnation are
ignored.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..interface import MAX_BODY, Agreed, Post
from .rules import LONGEST_SPAN, MAX_BODY_BYTES, MAX_KEY_BYTES, MAX_KIND_BYTES, MAX_UNAGREED

MAX_NUMBER = 2**53 - 1
AGREED_BALLOT = MAX_NUMBER  # ballot of a record that is known to be agreed; higher than any epoch

Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Epoch = Annotated[int, Meta(ge=0, lt=MAX_NUMBER)]
Seconds = Annotated[float, Meta(ge=0, le=LONGEST_SPAN)]


class Record(Struct, frozen=True, array_like=True):
    """A log record, like `interface.Agreed`. `epoch` is the one in which it was first proposed."""

    number: Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
    epoch: Epoch
    kind: Annotated[str, Meta(max_length=MAX_KIND_BYTES)]
    key: Annotated[str, Meta(max_length=MAX_KEY_BYTES)]
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]

    def to_agreed(self) -> Agreed:
        """The record as other components receive it."""
        return Agreed(self.number, self.epoch, self.kind, self.key, self.body)

    @property
    def size(self) -> int:
        """Upper bound of its encoded size in bytes."""
        return 40 + len(self.kind.encode()) + len(self.key.encode()) + len(self.body)


class Accepted(Struct, frozen=True, array_like=True):
    """A record that a voter has accepted; `ballot` is the epoch of the coordinator that sent it."""

    ballot: Number
    record: Record


class Promise(Struct, frozen=True, array_like=True):
    """A voter's promise to a process: it has granted `epoch` and accepts nothing of a lower one.

    `max_lease` is the longest lease in seconds that the voter ever granted. Epoch 0 means none yet.
    """

    epoch: Epoch = 0
    name: str = ""
    incarnation: Number = 0
    max_lease: Seconds = 0.0


class Commit(Struct, frozen=True, array_like=True):
    """A voter's commit point: stored records up to `number` are agreed.

    Except those of `invalid_numbers`, which are not agreed or are superseded.
    """

    number: Number = 0
    floor: Number = 0
    invalid_numbers: list[Number] = []


class LogPosition(Struct, frozen=True, array_like=True):
    """The coordinator's gossip entry: its epoch and the last agreed number."""

    epoch: Epoch
    number: Number


class LeaseRequest(Struct, frozen=True, array_like=True, tag="ask"):
    """Requests a lease in an epoch, or its renewal. `pre_vote` only queries whether it would be granted."""

    epoch: Epoch
    incarnation: Number
    round: Number
    lease: Seconds
    pre_vote: bool
    number: Number


class Vote(Struct, frozen=True, array_like=True, tag="vote"):
    """Answer to `LeaseRequest`; `promised` is the highest epoch that the voter has promised."""

    epoch: Epoch
    incarnation: Number
    round: Number
    pre_vote: bool
    granted: bool
    promised: Epoch


class Release(Struct, frozen=True, array_like=True, tag="release"):
    """The sender gives up its lease of this epoch."""

    epoch: Epoch
    incarnation: Number


class ReadLog(Struct, frozen=True, array_like=True, tag="read"):
    """Requests the records that a voter has accepted beyond `after`."""

    epoch: Epoch
    incarnation: Number
    after: Number


class LogTail(Struct, frozen=True, array_like=True, tag="tail"):
    """Answer to `ReadLog`, under the voter's promise: agreed up to `number`, accepted up to `end`."""

    epoch: Epoch
    incarnation: Number
    number: Number
    end: Number
    entries: Annotated[list[Accepted], Meta(max_length=MAX_UNAGREED)]


class Accept(Struct, frozen=True, array_like=True, tag="accept"):
    """Records from the coordinator, ordered by number; those up to `number` are agreed."""

    epoch: Epoch
    incarnation: Number
    number: Number
    records: Annotated[list[Record], Meta(max_length=MAX_UNAGREED)]


class Acknowledge(Struct, frozen=True, array_like=True, tag="acked"):
    """Acknowledges the records up to `up_to`: on the voter's disk, and agreed or of this epoch."""

    epoch: Epoch
    incarnation: Number
    up_to: Number


class AdmissionRequest(Struct, frozen=True, array_like=True, tag="admit"):
    """From a voter without stored state, which asks for admission.

    `grants_expired`: leases that an earlier incarnation may have granted have expired.
    """

    incarnation: Number
    grants_expired: bool


class NeverGranted(Struct, frozen=True, array_like=True, tag="nothing"):
    """Answer to `AdmissionRequest` by a voter that never granted a lease either."""

    incarnation: Number


class Admission(Struct, frozen=True, array_like=True, tag="admitted"):
    """The coordinator's answer to `AdmissionRequest`: a voter that has its log up to `end` may vote."""

    incarnation: Number
    epoch: Epoch
    coordinator_incarnation: Number
    number: Number
    end: Number


class Fetch(Struct, frozen=True, array_like=True, tag="fetch"):
    """Requests agreed records beyond `after`.

    `floor` identifies the complete table whose first chunks the sender already has; 0 for none.
    """

    after: Number
    floor: Number


class Chunk(Struct, frozen=True, array_like=True, tag="chunk"):
    """All agreed records of (after, to] that are not superseded.

    `number` is the sender's last, `floor` the number up to which it has dropped tombstones, `epoch` the
    highest it has seen.
    """

    after: Number
    to: Number
    number: Number
    floor: Number
    epoch: Epoch
    records: Annotated[list[Record], Meta(max_length=64)]


Message = (
    LeaseRequest
    | Vote
    | Release
    | ReadLog
    | LogTail
    | Accept
    | Acknowledge
    | AdmissionRequest
    | NeverGranted
    | Admission
    | Fetch
    | Chunk
)
MAX_RECORDS_BYTES = MAX_BODY - 60  # bytes available for the records of one message

encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)


def decode(body: bytes) -> Message | None:
    """Decodes and validates a message; None if it is malformed."""
    if len(body) > MAX_BODY:
        return None
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        return None


def decode_as(kind: type, body: bytes):
    """Decodes one struct. Raises msgspec.DecodeError, of which ValidationError is a subclass."""
    return msgspec.msgpack.decode(body, type=kind)


def post(to: str, message: Message) -> Post:
    """The effect that sends a message to the process named `to`."""
    return Post(to, encode(message))


def count_fitting(records: list, size=lambda record: record.size) -> int:
    """How many records from the start of the list fit into one message; at least one if there is any."""
    remaining, count = MAX_RECORDS_BYTES, 0
    for record in records:
        remaining -= size(record)
        if count and remaining < 0:
            break
        count += 1
    return count
