"""The file by which the data's owner learns of splits: JSON, written whole or not at all. The only I/O
here."""
from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from ...errors import DiskTrouble
from .splits import SplitNews


def text(news: SplitNews) -> bytes:
    """The file's content: all splits known, and the map by group."""
    return msgspec.json.format(msgspec.json.encode({
        "map_version": news.map.version,
        "groups": {str(group): {"parts": shape.parts, "since_version": shape.version, "split": shape.split}
                   for group, shape in sorted(news.map.shapes.items())},
        "splits": [{"id": s.id, "group": s.group, "from_parts": s.was, "to_parts": s.parts,
                    "step": s.step.name.lower(), "window_hour": s.at, "limit_hour": s.before,
                    "engines": list(s.engines), "reason": s.reason} for s in news.splits],
    })) + b"\n"


def write(path: Path, news: SplitNews) -> bool:
    """Whether it was written anew; what is there already stays, so a repeat is harmless. A reader sees the
    old file or the new one. Raises DiskTrouble; the old file is whole then."""
    content = text(news)
    draft = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        if path.exists() and path.read_bytes() == content:
            return False
        try:
            with draft.open("wb") as file:
                file.write(content)
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
    except OSError as error:
        raise DiskTrouble(f"splits file {path}: {error}") from None
    return True
