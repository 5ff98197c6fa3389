"""Keys of a fleet, and the tags by which each datagram and each frame of a stream is known to be ours.

HMAC-SHA256 (RFC 2104), cut to 16 bytes (RFC 2104, 5). The fleet's name goes into the key that tags are made
with, so traffic of another fleet is foreign even where both use one key file.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import stat
from dataclasses import dataclass

from ...errors import KeyTrouble

TAG, KEY_ID = 16, 4  # bytes
LEAST_KEY, MOST_KEYS, MOST_FILE = 32, 2, 4096


def _derived(key: bytes, purpose: bytes, fleet: str) -> bytes:
    return hmac.digest(key, b"aspenrill " + purpose + b" " + fleet.encode(), "sha256")


@dataclass(frozen=True, slots=True)
class Key:
    """One key as used: what it is called on the wire, and what makes tags of datagrams and of streams."""

    id: bytes
    datagrams: bytes
    streams: bytes


class Keys:
    """The first key makes tags, all are accepted."""

    def __init__(self, fleet: str, secrets: list[bytes]) -> None:
        keys = [
            Key(
                hashlib.sha256(b"aspenrill key " + secret).digest()[:KEY_ID],
                _derived(secret, b"datagram", fleet),
                _derived(secret, b"stream", fleet),
            )
            for secret in secrets
        ]
        self.first = keys[0]
        self.by_id = {key.id: key for key in keys}


def tag(key: bytes, *parts: bytes) -> bytes:
    """The tag over some parts; their lengths are the caller's to fix."""
    return hmac.digest(key, b"".join(parts), "sha256")[:TAG]


def same(mine: bytes, theirs: bytes) -> bool:
    """Compared in a time that tells nothing."""
    return hmac.compare_digest(mine, theirs)


def read_keys(path: str, fleet: str) -> Keys:
    """The one or two keys of a file, hex, one a line; lines that begin with # say nothing. KeyTrouble where
    it cannot be read, is open to others, or holds anything else."""
    try:
        with open(path, encoding="ascii") as file:
            if stat.S_IMODE(os.fstat(file.fileno()).st_mode) & 0o077:
                raise KeyTrouble(f"{path}: can be read or written by others")
            text = file.read(MOST_FILE + 1)
    except OSError as why:
        raise KeyTrouble(f"{path}: {why.strerror}") from None
    except UnicodeDecodeError:
        raise KeyTrouble(f"{path}: not hex") from None
    lines = [line.strip() for line in text.splitlines()]
    try:
        secrets = [bytes.fromhex(line) for line in lines if line and not line.startswith("#")]
    except ValueError:
        raise KeyTrouble(f"{path}: not hex") from None
    if len(text) > MOST_FILE or not 0 < len(secrets) <= MOST_KEYS:
        raise KeyTrouble(f"{path}: holds {len(secrets)} keys")
    if any(len(secret) < LEAST_KEY for secret in secrets):
        raise KeyTrouble(f"{path}: a key of less than {LEAST_KEY} bytes")
    if len(set(secrets)) < len(secrets):
        raise KeyTrouble(f"{path}: one key twice")
    return Keys(fleet, secrets)
