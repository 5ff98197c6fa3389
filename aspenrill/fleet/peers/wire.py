"""What processes of a fleet say to each other: MessagePack by msgspec, checked as it is decoded.

A datagram: 1 byte of version, 4 of the key's id, 16 of the tag, then a Packet. At most 1,200 bytes. The tag
covers all else (`keys`). A Packet names the life of the process that it is for, so that what was recorded
means nothing to another one, nor after a restart; within a life, each sender's counter tells what came
before.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from ...errors import WireTrouble
from ..interface import MOST_BODY, MOST_PEERS, MOST_VALUE, Entry, Member, Place, State
from .keys import KEY_ID, TAG, Keys, same, tag

VERSION = b"\x01"
MOST_DATAGRAM = 1200  # bytes
HEAD = len(VERSION) + KEY_ID + TAG
LIFE = 8  # bytes of a process's random id, new at each start
WINDOW = 1024  # of a sender's datagrams, within which the order does not count
MOST_SENDERS = 2 * MOST_PEERS

PLAIN = r"^[!-~]*\Z"  # ASCII, so that a letter is a byte
Name = Annotated[str, Meta(min_length=1, max_length=48, pattern=PLAIN)]
Label = Annotated[str, Meta(max_length=32, pattern=PLAIN)]  # of a place
Word = Annotated[str, Meta(min_length=1, max_length=32, pattern=PLAIN)]  # a part or a topic
Life = Annotated[bytes, Meta(min_length=LIFE, max_length=LIFE)]
Natural = Annotated[int, Meta(ge=0, lt=1 << 62)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Host = Annotated[str, Meta(min_length=2, max_length=45, pattern=r"^[0-9a-fA-F:.]+$")]


class News(Struct, array_like=True, frozen=True):
    """What is said of a member. Later wins: by incarnation, then life, claim and state."""

    name: Name
    incarnation: Natural
    life: Life
    claim: Natural  # raised by the member itself each time it refutes; SWIM calls this its incarnation
    state: Annotated[int, Meta(ge=0, le=3)]
    host: Host
    port: Port
    site: Label = ""
    building: Label = ""
    hall: Label = ""
    accuser: Annotated[str, Meta(max_length=48, pattern=PLAIN)] = ""  # of a suspicion: who has probed in vain

    @property
    def rank(self) -> tuple[int, bytes, int, int]:
        """The higher one is the later."""
        return self.incarnation, self.life, self.claim, self.state

    def member(self) -> Member:
        """As parts see it."""
        return Member(
            self.name,
            self.incarnation,
            self.host,
            self.port,
            Place(self.site, self.building, self.hall),
            State(self.state),
        )


class Told(Struct, array_like=True, frozen=True):
    """An entry of the board."""

    origin: Name
    incarnation: Natural
    topic: Word
    version: Natural
    value: Annotated[bytes, Meta(max_length=MOST_VALUE)]

    def entry(self) -> Entry:
        """As parts see it."""
        return Entry(self.origin, self.incarnation, self.topic, self.version, self.value)


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """Are you there?"""

    seq: Natural


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """The answer, from the one asked or from who asked for another."""

    seq: Natural


class PingFor(Struct, array_like=True, tag=3, frozen=True):
    """Ask that one for me; `patience` in ms, within which an answer or a Nack is wanted."""

    seq: Natural
    name: Name
    life: Life
    host: Host
    port: Port
    patience: Annotated[int, Meta(ge=1, le=60000)]


class Nack(Struct, array_like=True, tag=4, frozen=True):
    """I have asked for you and heard nothing yet: that I am well, you see."""

    seq: Natural


class Mail(Struct, array_like=True, tag=5, frozen=True):
    """From a part to the same part of another process."""

    part: Word
    body: Annotated[bytes, Meta(max_length=MOST_BODY)]


class Contest(Struct, array_like=True, tag=6, frozen=True):
    """We have one name: are you there? `first` is the incarnation that the sender's life began with."""

    seq: Natural
    first: Natural


class Present(Struct, array_like=True, tag=7, frozen=True):
    """The answer to a Contest."""

    seq: Natural
    first: Natural


Message = Ping | Ack | PingFor | Nack | Mail | Contest | Present


class Packet(Struct, array_like=True, frozen=True):
    """One datagram. `to` is the life it is for; empty where the sender does not know it yet."""

    sender: Name
    incarnation: Natural
    life: Life
    count: Natural
    to: Annotated[bytes, Meta(max_length=LIFE)]
    message: Message | None
    news: Annotated[list[News], Meta(max_length=64)]
    told: Annotated[list[Told], Meta(max_length=64)]


class _Sealed(Struct, array_like=True, frozen=True):
    """A Packet on its way out, its news and entries encoded already."""

    sender: str
    incarnation: int
    life: bytes
    count: int
    to: bytes
    message: Message | None
    news: list[Raw]
    told: list[Raw]


encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


def seal(
    keys: Keys,
    sender: tuple[str, int, bytes],
    count: int,
    to: bytes,
    message: Message | None,
    news: list[Raw],
    told: list[Raw],
) -> bytes:
    """A datagram. ValueError where it is too large: what is put into it is measured before."""
    body = encode(_Sealed(*sender, count, to, message, news, told))
    head = VERSION + keys.first.id
    data = head + tag(keys.first.datagrams, head, body) + body
    if len(data) > MOST_DATAGRAM:
        raise ValueError(f"a datagram of {len(data)} bytes")
    return data


def unseal(keys: Keys, data: bytes) -> Packet:
    """The Packet of a datagram; WireTrouble where it is not ours or not whole."""
    if len(data) > MOST_DATAGRAM:
        raise WireTrouble("too large")
    if len(data) <= HEAD:
        raise WireTrouble("cut")
    if data[:1] != VERSION:
        raise WireTrouble("version")
    head, mac, body = data[: 1 + KEY_ID], data[1 + KEY_ID : HEAD], data[HEAD:]
    key = keys.by_id.get(head[1:])
    if key is None:
        raise WireTrouble("key")
    if not same(tag(key.datagrams, head, body), mac):
        raise WireTrouble("tag")
    try:
        return _decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:  # a validation error is one too
        raise WireTrouble("form", f"form: {why}") from None


def size_of(sender: str, message: Message | None) -> int:
    """Bytes that a datagram takes without news and entries, at most."""
    return HEAD + len(sender.encode()) + (len(encode(message)) if message is not None else 1) + 48


class Replays:
    """Turns away what has come before (as in RFC 4303, 3.4.3): by sender's life a window of counters.

    The senders heard least recently are forgotten first. Whoever is new here begins with what it sends.
    """

    def __init__(self, most: int = MOST_SENDERS, window: int = WINDOW) -> None:
        self.most, self.window = most, window
        self._full = (1 << window) - 1
        self._seen: OrderedDict[bytes, tuple[int, int]] = OrderedDict()  # by life: highest, bits below it

    def check(self, life: bytes, count: int) -> None:
        """Take note of a datagram; WireTrouble where it came before, or where nobody can tell any more."""
        top, bits = self._seen.get(life, (-1, 0))
        if count > top:
            shift = count - top
            bits = (bits << shift | 1) & self._full if shift < self.window else 1
            top = count
        else:
            bit = 1 << (top - count)
            if top - count >= self.window:
                raise WireTrouble("too old")
            if bits & bit:
                raise WireTrouble("repeat")
            bits |= bit
        self._seen[life] = top, bits
        self._seen.move_to_end(life)
        if len(self._seen) > self.most:
            self._seen.popitem(last=False)
