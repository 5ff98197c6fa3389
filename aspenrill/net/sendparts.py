"""Buffers that are sent with one call, and what is left of them if the kernel accepts a part."""

from __future__ import annotations


def join_unsent(parts: list[bytes], count: int) -> bytes:
    """Joins `parts` without their first `count` bytes."""
    for at, part in enumerate(parts):
        if count < len(part):
            return b"".join([part[count:], *parts[at + 1 :]])
        count -= len(part)
    return b""
