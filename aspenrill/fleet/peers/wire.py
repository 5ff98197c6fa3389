"""The wire format between processes of a fleet: MessagePack through msgspec, validated while decoding.

A datagram of at most 1,200 bytes: 1 byte of version, 4 of the key id, 16 of the tag, then a Packet. The tag
covers everything else (`keys`). A Packet names the boot id of its receiver, so that a recorded one is
rejected by other processes and after a restart; the sender's counter detects replays before that.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from ...errors import WireTrouble
from ..interface import MAX_BODY, MAX_PEERS, MAX_VALUE, Entry, Member, Place, State
from .keys import KEY_ID_BYTES, TAG_BYTES, KeyRing, equal, tag

VERSION = b"\x01"
MAX_DATAGRAM = 1200  # bytes
HEADER_BYTES = len(VERSION) + KEY_ID_BYTES + TAG_BYTES
BOOT_ID_BYTES = 8  # random, new at each start of a process
REPLAY_WINDOW = 1024  # datagrams of a sender that may arrive out of order
MAX_SENDERS = 2 * MAX_PEERS

PRINTABLE_ASCII = r"^[!-~]*\Z"  # so that a character is one byte
Name = Annotated[str, Meta(min_length=1, max_length=48, pattern=PRINTABLE_ASCII)]
Label = Annotated[str, Meta(max_length=32, pattern=PRINTABLE_ASCII)]  # a component of a Place
Word = Annotated[
    str, Meta(min_length=1, max_length=32, pattern=PRINTABLE_ASCII)
]  # the name of a component or of a topic
BootId = Annotated[bytes, Meta(min_length=BOOT_ID_BYTES, max_length=BOOT_ID_BYTES)]
Natural = Annotated[int, Meta(ge=0, lt=1 << 62)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Host = Annotated[str, Meta(min_length=2, max_length=45, pattern=r"^[0-9a-fA-F:.]+$")]


class MemberUpdate(Struct, array_like=True, frozen=True):
    """The state of a member. The highest (incarnation, boot_id, refutations, state) wins."""

    name: Name
    incarnation: Natural
    boot_id: BootId
    refutations: Natural  # raised by the member with each refutation; SWIM's incarnation number
    state: Annotated[int, Meta(ge=0, le=3)]
    host: Host
    port: Port
    site: Label = ""
    building: Label = ""
    hall: Label = ""
    reporter: Annotated[str, Meta(max_length=48, pattern=PRINTABLE_ASCII)] = (
        ""  # of a suspicion: whose probe failed
    )

    @property
    def rank(self) -> tuple[int, bytes, int, int]:
        """The order of updates of one name."""
        return self.incarnation, self.boot_id, self.refutations, self.state

    def member(self) -> Member:
        """Convert to the form that components use."""
        return Member(
            self.name,
            self.incarnation,
            self.host,
            self.port,
            Place(self.site, self.building, self.hall),
            State(self.state),
        )


class EntryUpdate(Struct, array_like=True, frozen=True):
    """An entry of the shared state."""

    origin: Name
    incarnation: Natural
    topic: Word
    version: Natural
    value: Annotated[bytes, Meta(max_length=MAX_VALUE)]

    def as_entry(self) -> Entry:
        """Convert to the form that components use."""
        return Entry(self.origin, self.incarnation, self.topic, self.version, self.value)


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """A probe."""

    seq: Natural


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """The answer to a Ping, or to a PingRequest whose target answered."""

    seq: Natural


class PingRequest(Struct, array_like=True, tag=3, frozen=True):
    """Request an indirect probe; an Ack or a Nack is expected within `timeout_ms`."""

    seq: Natural
    name: Name
    boot_id: BootId
    host: Host
    port: Port
    timeout_ms: Annotated[int, Meta(ge=1, le=60000)]


class Nack(Struct, array_like=True, tag=4, frozen=True):
    """The target of a PingRequest has not answered yet; shows that the sender itself is healthy."""

    seq: Natural


class ComponentMessage(Struct, array_like=True, tag=5, frozen=True):
    """A message to the same component of another process."""

    component: Word
    body: Annotated[bytes, Meta(max_length=MAX_BODY)]


class NameProbe(Struct, array_like=True, tag=6, frozen=True):
    """Probes another process with the sender's name. `first` is the sender's incarnation at its start."""

    seq: Natural
    first_incarnation: Natural


class NameProbeAck(Struct, array_like=True, tag=7, frozen=True):
    """The answer to a NameProbe."""

    seq: Natural
    first_incarnation: Natural


Message = Ping | Ack | PingRequest | Nack | ComponentMessage | NameProbe | NameProbeAck


class Packet(Struct, array_like=True, frozen=True):
    """The content of a datagram. `to` is the receiver's boot id, empty if the sender does not know it."""

    sender: Name
    incarnation: Natural
    boot_id: BootId
    counter: Natural
    to: Annotated[bytes, Meta(max_length=BOOT_ID_BYTES)]
    message: Message | None
    updates: Annotated[list[MemberUpdate], Meta(max_length=64)]
    entries: Annotated[list[EntryUpdate], Meta(max_length=64)]


class _EncodedPacket(Struct, array_like=True, frozen=True):
    """A Packet whose updates and entries are already encoded."""

    sender: str
    incarnation: int
    boot_id: bytes
    counter: int
    to: bytes
    message: Message | None
    updates: list[Raw]
    entries: list[Raw]


encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


def seal(
    keys: KeyRing,
    sender: tuple[str, int, bytes],
    counter: int,
    to: bytes,
    message: Message | None,
    updates: list[Raw],
    entries: list[Raw],
) -> bytes:
    """Build a datagram. ValueError if it is too large: callers must size its content."""
    body = encode(_EncodedPacket(*sender, counter, to, message, updates, entries))
    head = VERSION + keys.primary.id
    data = head + tag(keys.primary.datagrams, head, body) + body
    if len(data) > MAX_DATAGRAM:
        raise ValueError(f"datagram of {len(data)} bytes exceeds {MAX_DATAGRAM}")
    return data


def unseal(keys: KeyRing, data: bytes) -> Packet:
    """Authenticate and decode a datagram; WireTrouble if it is not valid."""
    if len(data) > MAX_DATAGRAM:
        raise WireTrouble("too large")
    if len(data) <= HEADER_BYTES:
        raise WireTrouble("cut")
    if data[:1] != VERSION:
        raise WireTrouble("version")
    head, mac, body = data[: 1 + KEY_ID_BYTES], data[1 + KEY_ID_BYTES : HEADER_BYTES], data[HEADER_BYTES:]
    key = keys.by_id.get(head[1:])
    if key is None:
        raise WireTrouble("key")
    if not equal(tag(key.datagrams, head, body), mac):
        raise WireTrouble("tag")
    try:
        return _decode(body)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as why:  # DecodeError includes validation errors
        raise WireTrouble("form", f"form: {why}") from None


def max_overhead(sender: str, message: Message | None) -> int:
    """Upper bound of a datagram's size without updates and entries, in bytes."""
    return HEADER_BYTES + len(sender.encode()) + (len(encode(message)) if message is not None else 1) + 48


class ReplayFilter:
    """Rejects replayed datagrams with a sliding window of counters for each sender (as RFC 4303, 3.4.3).

    Senders are evicted in least recently used order. The first counter of an unknown sender is accepted.
    """

    def __init__(self, max_senders: int = MAX_SENDERS, window: int = REPLAY_WINDOW) -> None:
        self.max_senders, self.window = max_senders, window
        self._mask = (1 << window) - 1
        self._seen: OrderedDict[bytes, tuple[int, int]] = (
            OrderedDict()
        )  # by boot id: highest counter, bitmap below it

    def check(self, boot_id: bytes, counter: int) -> None:
        """Record a datagram; WireTrouble if it is a repeat or older than the window."""
        highest, bits = self._seen.get(boot_id, (-1, 0))
        if counter > highest:
            shift = counter - highest
            bits = (bits << shift | 1) & self._mask if shift < self.window else 1
            highest = counter
        else:
            bit = 1 << (highest - counter)
            if highest - counter >= self.window:
                raise WireTrouble("too old")
            if bits & bit:
                raise WireTrouble("repeat")
            bits |= bit
        self._seen[boot_id] = highest, bits
        self._seen.move_to_end(boot_id)
        if len(self._seen) > self.max_senders:
            self._seen.popitem(last=False)
