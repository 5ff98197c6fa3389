"""Atomic replacement of files."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from ..errors import DiskTrouble


def write_atomically(path: Path, data: bytes) -> bool:
    """Replace a file atomically; returns whether its content changed. A reader sees the old or the new file,
    also after a crash. DiskTrouble if it fails; the old file is unchanged then."""
    draft = path.with_name(f".{path.name}.new")
    try:
        if path.exists() and path.read_bytes() == data:
            return False
        try:
            with draft.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            draft.replace(path)
        except BaseException:
            with contextlib.suppress(OSError):
                draft.unlink()
            raise
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError as why:
        raise DiskTrouble(f"{path}: {why.strerror or why}") from None
    return True
