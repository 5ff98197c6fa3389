"""Anti-entropy: a push-pull exchange of the full state over one stream. No I/O.

The caller sends its members and the versions of its entries; the callee answers with newer members, newer
entries and the keys of the entries that it lacks; the caller sends those entries. The tag of each frame
covers both sides' nonces and a frame number, so a recorded stream cannot be replayed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from ...errors import WireTrouble
from ..interface import MAX_PEERS
from .keys import KEY_ID_BYTES, TAG_BYTES, KeyRing, equal, tag
from .shared_state import MAX_TOPICS
from .wire import BootId, EntryUpdate, MemberUpdate, Name, Natural, Word, encode

if TYPE_CHECKING:
    from .node import PeerNode

MAX_FRAME = 65536  # bytes
FRAME_FILL = 48000  # bytes of updates and entries after which a frame is sent
MAX_FRAMES = 600  # of one leg: more than 1,100 origins with 16 entries of the maximum size need
NONCE_BYTES = 16

Nonce = Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]


class Hello(Struct, array_like=True, tag=1, frozen=True):
    """The first frame of each side. `to` is the boot id of the process addressed."""

    sender: Name
    incarnation: Natural
    boot_id: BootId
    to: BootId
    nonce: Nonce


class EntryVersions(Struct, array_like=True, frozen=True):
    """The known versions of an origin's entries: topic, incarnation, version."""

    origin: Name
    topics: Annotated[list[tuple[Word, Natural, Natural]], Meta(max_length=MAX_TOPICS)]


class Chunk(Struct, array_like=True, tag=2, frozen=True):
    """A frame of any of the three legs; `last` ends the leg."""

    last: bool
    updates: list[MemberUpdate]
    versions: list[EntryVersions]
    entries: list[EntryUpdate]
    wanted: list[tuple[Name, Word]]


class _EncodedChunk(Struct, array_like=True, tag=2, frozen=True):
    last: bool
    updates: list[Raw]
    versions: list[EntryVersions]
    entries: list[Raw]
    wanted: list[tuple[str, str]]


_decode = msgspec.msgpack.Decoder(Hello | Chunk).decode


class StreamAuth:
    """Authenticates the frames of one stream, for one side."""

    def __init__(self, keys: KeyRing, caller: bool) -> None:
        self.keys, self.key = keys, keys.primary
        self._send_label, self._receive_label = (b"caller", b"called") if caller else (b"called", b"caller")
        self.nonces = b""
        self.sent = self.received = 0

    def seal(self, frame: Hello | _EncodedChunk) -> bytes:
        """Encode a frame and prepend its key id and tag."""
        body = encode(frame)
        number = self.sent.to_bytes(8, "big")
        self.sent += 1
        return self.key.id + tag(self.key.streams, self._send_label, self.nonces, number, body) + body

    def unseal(self, data: bytes) -> Hello | Chunk:
        """Decode the next frame; WireTrouble if it is not authentic or out of order."""
        if len(data) <= KEY_ID_BYTES + TAG_BYTES:
            raise WireTrouble("stream cut")
        key = self.keys.by_id.get(data[:KEY_ID_BYTES])
        if key is None:
            raise WireTrouble("stream key")
        body = data[KEY_ID_BYTES + TAG_BYTES :]
        number = self.received.to_bytes(8, "big")
        if not equal(
            tag(key.streams, self._receive_label, self.nonces, number, body),
            data[KEY_ID_BYTES : KEY_ID_BYTES + TAG_BYTES],
        ):
            raise WireTrouble("stream tag")
        self.received += 1
        try:
            return _decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
            raise WireTrouble("stream form", f"stream form: {why}") from None


class Exchange:
    """One side of an exchange. The caller sends its first frame; each received frame yields the answers."""

    def __init__(self, peers: PeerNode, keys: KeyRing, nonce: bytes, callee: bytes | None = None) -> None:
        self.peers, self.caller, self.nonce = peers, callee is not None, nonce
        self.auth = StreamAuth(keys, self.caller)
        self.callee = callee
        self.handshake_done = self.done = False
        self._peer_versions: dict[str, dict[str, tuple[int, int]]] = {}
        self._peer_ranks: dict[str, tuple[int, bytes, int, int]] = {}
        self._wanted_keys: list[tuple[str, str]] = []
        self._frames = self._legs = 0
        self.peer_name = ""

    def start(self) -> bytes:
        """The caller's first frame."""
        data = self.auth.seal(self._hello(self.callee))
        self.auth.nonces = self.nonce  # ties the answer to this call
        return data

    def _hello(self, to: bytes) -> Hello:
        me = self.peers.table.me
        return Hello(me.name, me.incarnation, me.boot_id, to, self.nonce)

    def receive(self, now: float, data: bytes) -> Iterator[bytes]:
        """Process a received frame and yield the frames to send."""
        frame = self.auth.unseal(data)
        if not self.handshake_done:
            yield from self._handshake(frame)
            return
        self._frames += 1
        if not isinstance(frame, Chunk) or self._frames > MAX_FRAMES:
            raise WireTrouble("stream order")
        self._merge(now, frame)
        if frame.last:
            self._frames, self._legs = 0, self._legs + 1
            if self.caller:
                self.done = True
                yield from self._chunks(entries=self._wanted_entries())
            elif self._legs == 1:
                yield from self._missing()
            else:
                self.done = True

    def _handshake(self, frame: Hello | Chunk) -> Iterator[bytes]:
        me = self.peers.table.me
        if not isinstance(frame, Hello) or frame.to != me.boot_id or frame.sender == me.name:
            raise WireTrouble("stream addressee")
        if self.caller and frame.boot_id != self.callee:
            raise WireTrouble("stream addressee")
        self.handshake_done, self.peer_name = True, frame.sender
        if self.caller:
            self.auth.nonces = self.nonce + frame.nonce
            yield from self._chunks(self._all_updates(), self._all_versions())
        else:
            self.auth.nonces = frame.nonce
            yield self.auth.seal(self._hello(frame.boot_id))
            self.auth.nonces = frame.nonce + self.nonce

    def _merge(self, now: float, frame: Chunk) -> None:
        peers = self.peers
        if (
            max(len(self._peer_ranks), len(self._peer_versions), len(self._wanted_keys) // MAX_TOPICS)
            > 2 * MAX_PEERS
        ):
            raise WireTrouble("stream too large")
        for update in frame.updates:
            self._peer_ranks[update.name] = update.rank
            peers.table.merge(now, update, from_exchange=True)
        for entry in frame.entries:
            peers.shared.merge(now, entry)
        for known in frame.versions:
            self._peer_versions[known.origin] = {
                topic: (incarnation, version) for topic, incarnation, version in known.topics
            }
        self._wanted_keys += frame.wanted

    # ---- sending -------------------------------------------------------------------------------

    def _all_updates(self) -> Iterator[Raw]:
        table = self.peers.table
        yield Raw(encode(table.me))
        for record in list(table.records.values()):
            yield record.encoded

    def _all_versions(self) -> Iterator[EntryVersions]:
        for origin, topics in list(self.peers.shared.by_origin.items()):
            yield EntryVersions(origin, [(t.topic, t.incarnation, t.version) for t in topics.values()])

    def _missing(self) -> Iterator[bytes]:
        """The members and entries that the caller lacks, and requests for those that this side lacks."""
        table, shared = self.peers.table, self.peers.shared
        updates = [
            record.encoded
            for name, record in table.records.items()
            if name not in self._peer_ranks or record.latest.rank > self._peer_ranks[name]
        ]
        if table.me.rank > self._peer_ranks.get(table.me.name, (-1, b"", 0, 0)):
            updates.append(Raw(encode(table.me)))
        entries, wanted = [], []
        for origin, topics in shared.by_origin.items():
            theirs = self._peer_versions.get(origin, {})
            entries += [
                entry
                for entry in topics.values()
                if theirs.get(entry.topic, (-1, 0)) < (entry.incarnation, entry.version)
            ]
        for origin, topics in self._peer_versions.items():
            known_entries = shared.by_origin.get(origin, {})
            for topic, version in topics.items():
                have = known_entries.get(topic)
                if have is None or (have.incarnation, have.version) < version:
                    wanted.append((origin, topic))
        yield from self._chunks(updates, (), (Raw(encode(entry)) for entry in entries), wanted)

    def _wanted_entries(self) -> Iterator[Raw]:
        for origin, topic in self._wanted_keys:
            entry = self.peers.shared.by_origin.get(origin, {}).get(topic)
            if entry is not None:
                yield Raw(encode(entry))

    def _chunks(
        self,
        updates: Iterable[Raw] = (),
        versions: Iterable[EntryVersions] = (),
        entries: Iterable[Raw] = (),
        wanted: Iterable[tuple[str, str]] = (),
    ) -> Iterator[bytes]:
        """Encode one leg as frames of limited size."""
        lists: list[list] = [[], [], [], []]
        size = 0
        for index, items in enumerate((updates, versions, entries, wanted)):
            for item in items:
                size += len(memoryview(item)) if index in (0, 2) else len(encode(item))
                lists[index].append(item)
                if size > FRAME_FILL:
                    yield self.auth.seal(_EncodedChunk(False, *lists))
                    lists, size = [[], [], [], []], 0
        yield self.auth.seal(_EncodedChunk(True, *lists))
