"""A whole exchange over one stream: what each has, then what the other lacks, both ways. No I/O.

The caller sends its members and the versions of its entries (Digest); the other answers with later members,
later entries and what it wants (Missing); the caller sends that (Wanted). Frames carry tags under a key that
both sides' nonces are part of, and a number: a recorded stream says nothing a second time.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from ...errors import WireTrouble
from ..interface import MOST_PEERS
from .board import MOST_TOPICS
from .keys import KEY_ID, TAG, Keys, same, tag
from .wire import Life, Name, Natural, News, Told, Word, encode

if TYPE_CHECKING:
    from .node import Peers

MOST_FRAME = 65536  # bytes
FILL = 48000  # bytes of news and entries in one frame
MOST_FRAMES = 600  # of one leg: more than 1,100 origins with 16 entries of the largest kind take
NONCE = 16

Nonce = Annotated[bytes, Meta(min_length=NONCE, max_length=NONCE)]


class Hello(Struct, array_like=True, tag=1, frozen=True):
    """The first frame of each side. `to` is the life called."""

    sender: Name
    incarnation: Natural
    life: Life
    to: Life
    nonce: Nonce


class Head(Struct, array_like=True, frozen=True):
    """The versions that one has of an origin's entries: topic, incarnation, version."""

    origin: Name
    topics: Annotated[list[tuple[Word, Natural, Natural]], Meta(max_length=MOST_TOPICS)]


class Part(Struct, array_like=True, tag=2, frozen=True):
    """A piece of a leg, whichever it is; `last` ends the leg."""

    last: bool
    news: list[News]
    heads: list[Head]
    told: list[Told]
    wants: list[tuple[Name, Word]]


class _Part(Struct, array_like=True, tag=2, frozen=True):
    last: bool
    news: list[Raw]
    heads: list[Head]
    told: list[Raw]
    wants: list[tuple[str, str]]


_decode = msgspec.msgpack.Decoder(Hello | Part).decode


class Seal:
    """Tags of one stream, from one side's point of view."""

    def __init__(self, keys: Keys, caller: bool) -> None:
        self.keys, self.key = keys, keys.first
        self._out, self._in = (b"caller", b"called") if caller else (b"called", b"caller")
        self.nonces = b""
        self.sent = self.got = 0

    def close(self, frame: Hello | _Part) -> bytes:
        """A frame with its tag."""
        body = encode(frame)
        number = self.sent.to_bytes(8, "big")
        self.sent += 1
        return self.key.id + tag(self.key.streams, self._out, self.nonces, number, body) + body

    def open(self, data: bytes) -> Hello | Part:
        """The next frame; WireTrouble where it is not ours, or not the next."""
        if len(data) <= KEY_ID + TAG:
            raise WireTrouble("stream cut")
        key = self.keys.by_id.get(data[:KEY_ID])
        if key is None:
            raise WireTrouble("stream key")
        body = data[KEY_ID + TAG :]
        number = self.got.to_bytes(8, "big")
        if not same(tag(key.streams, self._in, self.nonces, number, body), data[KEY_ID : KEY_ID + TAG]):
            raise WireTrouble("stream tag")
        self.got += 1
        try:
            return _decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
            raise WireTrouble("stream form", f"stream form: {why}") from None


class Exchange:
    """One side of an exchange. `greet`, then frames in turn: each `take` gives the frames to send then."""

    def __init__(self, peers: Peers, keys: Keys, nonce: bytes, callee: bytes | None = None) -> None:
        self.peers, self.caller, self.nonce = peers, callee is not None, nonce
        self.seal = Seal(keys, self.caller)
        self.callee = callee
        self.greeted = self.over = False
        self._heads: dict[str, dict[str, tuple[int, int]]] = {}
        self._news: dict[str, tuple[int, bytes, int, int]] = {}
        self._wants: list[tuple[str, str]] = []
        self._frames = self._legs = 0
        self.from_name = ""

    def greet(self) -> bytes:
        """The caller's first frame."""
        data = self.seal.close(self._hello(self.callee))
        self.seal.nonces = self.nonce  # the answer must be one to this call
        return data

    def _hello(self, to: bytes) -> Hello:
        me = self.peers.table.me
        return Hello(me.name, me.incarnation, me.life, to, self.nonce)

    def take(self, now: float, data: bytes) -> Iterator[bytes]:
        """A frame of the other side, and what is to be sent; `over` once nothing more is."""
        frame = self.seal.open(data)
        if not self.greeted:
            yield from self._greeting(frame)
            return
        self._frames += 1
        if not isinstance(frame, Part) or self._frames > MOST_FRAMES:
            raise WireTrouble("stream order")
        self._hear(now, frame)
        if frame.last:
            self._frames, self._legs = 0, self._legs + 1
            if self.caller:
                self.over = True
                yield from self._parts(told=self._wanted())
            elif self._legs == 1:
                yield from self._missing()
            else:
                self.over = True

    def _greeting(self, frame: Hello | Part) -> Iterator[bytes]:
        me = self.peers.table.me
        if not isinstance(frame, Hello) or frame.to != me.life or frame.sender == me.name:
            raise WireTrouble("stream addressee")
        if self.caller and frame.life != self.callee:
            raise WireTrouble("stream addressee")
        self.greeted, self.from_name = True, frame.sender
        if self.caller:
            self.seal.nonces = self.nonce + frame.nonce
            yield from self._parts(self._all_news(), self._all_heads())
        else:
            self.seal.nonces = frame.nonce
            yield self.seal.close(self._hello(frame.life))
            self.seal.nonces = frame.nonce + self.nonce

    def _hear(self, now: float, frame: Part) -> None:
        peers = self.peers
        if max(len(self._news), len(self._heads), len(self._wants) // MOST_TOPICS) > 2 * MOST_PEERS:
            raise WireTrouble("stream too large")
        for news in frame.news:
            self._news[news.name] = news.rank
            peers.table.merge(now, news, exchange=True)
        for told in frame.told:
            peers.board.hear(now, told)
        for head in frame.heads:
            self._heads[head.origin] = {
                topic: (incarnation, version) for topic, incarnation, version in head.topics
            }
        self._wants += frame.wants

    # ---- what is sent ---------------------------------------------------------------------------------

    def _all_news(self) -> Iterator[Raw]:
        table = self.peers.table
        yield Raw(encode(table.me))
        for record in list(table.records.values()):
            yield record.raw

    def _all_heads(self) -> Iterator[Head]:
        for origin, topics in list(self.peers.board.told.items()):
            yield Head(origin, [(t.topic, t.incarnation, t.version) for t in topics.values()])

    def _missing(self) -> Iterator[bytes]:
        """What the caller lacks, and what it has and we do not."""
        table, board = self.peers.table, self.peers.board
        news = [
            record.raw
            for name, record in table.records.items()
            if name not in self._news or record.news.rank > self._news[name]
        ]
        if table.me.rank > self._news.get(table.me.name, (-1, b"", 0, 0)):
            news.append(Raw(encode(table.me)))
        told, wants = [], []
        for origin, topics in board.told.items():
            theirs = self._heads.get(origin, {})
            told += [
                entry
                for entry in topics.values()
                if theirs.get(entry.topic, (-1, 0)) < (entry.incarnation, entry.version)
            ]
        for origin, topics in self._heads.items():
            mine = board.told.get(origin, {})
            for topic, version in topics.items():
                have = mine.get(topic)
                if have is None or (have.incarnation, have.version) < version:
                    wants.append((origin, topic))
        yield from self._parts(news, (), (Raw(encode(entry)) for entry in told), wants)

    def _wanted(self) -> Iterator[Raw]:
        for origin, topic in self._wants:
            told = self.peers.board.told.get(origin, {}).get(topic)
            if told is not None:
                yield Raw(encode(told))

    def _parts(
        self,
        news: Iterable[Raw] = (),
        heads: Iterable[Head] = (),
        told: Iterable[Raw] = (),
        wants: Iterable[tuple[str, str]] = (),
    ) -> Iterator[bytes]:
        """Frames of one leg, each filled up to its size."""
        lists: list[list] = [[], [], [], []]
        size = 0
        for at, items in enumerate((news, heads, told, wants)):
            for item in items:
                size += len(memoryview(item)) if at in (0, 2) else len(encode(item))
                lists[at].append(item)
                if size > FILL:
                    yield self.seal.close(_Part(False, *lists))
                    lists, size = [[], [], [], []], 0
        yield self.seal.close(_Part(True, *lists))
