"""Shared keys of a fleet, and the tags that authenticate datagrams and stream frames.

HMAC-SHA256 (RFC 2104), truncated to 16 bytes (RFC 2104, 5). The keys are derived with the fleet's name, so
traffic of another fleet is rejected even if both use one key file.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import stat
from dataclasses import dataclass

from ...errors import KeyTrouble

TAG_BYTES = 16
KEY_ID_BYTES = 4
MIN_KEY_BYTES = 32
MAX_KEYS = 2  # the current key and its predecessor, for a rotation without downtime
MAX_FILE_BYTES = 4096


def _derive(key: bytes, purpose: bytes, fleet: str) -> bytes:
    return hmac.digest(key, b"aspenrill " + purpose + b" " + fleet.encode(), "sha256")


@dataclass(frozen=True, slots=True)
class Key:
    """A shared key: its id on the wire and the keys derived from it for datagrams and for streams."""

    id: bytes
    datagrams: bytes
    streams: bytes


class KeyRing:
    """The accepted keys of a fleet. Tags are made with the first."""

    def __init__(self, fleet: str, secrets: list[bytes]) -> None:
        keys = [
            Key(
                hashlib.sha256(b"aspenrill key " + secret).digest()[:KEY_ID_BYTES],
                _derive(secret, b"datagram", fleet),
                _derive(secret, b"stream", fleet),
            )
            for secret in secrets
        ]
        self.primary = keys[0]
        self.by_id = {key.id: key for key in keys}


def tag(key: bytes, *parts: bytes) -> bytes:
    """The tag over the concatenated parts. The caller must make the concatenation unambiguous."""
    return hmac.digest(key, b"".join(parts), "sha256")[:TAG_BYTES]


def equal(expected: bytes, received: bytes) -> bool:
    """Compare two tags in constant time."""
    return hmac.compare_digest(expected, received)


def read_keys(path: str, fleet: str) -> KeyRing:
    """Read one or two keys from a file: hex, one a line, `#` begins a comment line. KeyTrouble if the file
    cannot be read, is accessible to other users or is malformed."""
    try:
        with open(path, encoding="ascii") as file:
            if stat.S_IMODE(os.fstat(file.fileno()).st_mode) & 0o077:
                raise KeyTrouble(f"{path}: can be read or written by others")
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as why:
        raise KeyTrouble(f"{path}: {why.strerror}") from None
    except UnicodeDecodeError:
        raise KeyTrouble(f"{path}: not hex") from None
    lines = [line.strip() for line in text.splitlines()]
    try:
        secrets = [bytes.fromhex(line) for line in lines if line and not line.startswith("#")]
    except ValueError:
        raise KeyTrouble(f"{path}: not hex") from None
    if len(text) > MAX_FILE_BYTES or not 0 < len(secrets) <= MAX_KEYS:
        raise KeyTrouble(f"{path}: holds {len(secrets)} keys")
    if any(len(secret) < MIN_KEY_BYTES for secret in secrets):
        raise KeyTrouble(f"{path}: a key of less than {MIN_KEY_BYTES} bytes")
    if len(set(secrets)) < len(secrets):
        raise KeyTrouble(f"{path}: one key twice")
    return KeyRing(fleet, secrets)
