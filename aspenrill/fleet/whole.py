"""Files that are written whole or not at all."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from ..errors import DiskTrouble


def write_whole(path: Path, data: bytes) -> bool:
    """Whether it was written anew; what is there already stays, so a repeat is harmless. A reader sees the
    old file or the new one, also after a crash. Raises DiskTrouble; the old file is whole then."""
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
