"""The file by which the data's owner learns of splits: JSON, written whole or not at all. The only I/O
here."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..whole import write_whole
from .splits import SplitNews


def text(news: SplitNews) -> bytes:
    """The file's content: all splits known, and the map by group."""
    return (
        msgspec.json.format(
            msgspec.json.encode(
                {
                    "map_version": news.map.version,
                    "groups": {
                        str(group): {
                            "parts": shape.parts,
                            "since_version": shape.version,
                            "split": shape.split,
                        }
                        for group, shape in sorted(news.map.shapes.items())
                    },
                    "splits": [
                        {
                            "id": s.id,
                            "group": s.group,
                            "from_parts": s.was,
                            "to_parts": s.parts,
                            "step": s.step.name.lower(),
                            "window_hour": s.at,
                            "limit_hour": s.before,
                            "engines": list(s.engines),
                            "reason": s.reason,
                        }
                        for s in news.splits
                    ],
                }
            )
        )
        + b"\n"
    )


def write(path: Path, news: SplitNews) -> bool:
    """Whether it was written anew. Raises DiskTrouble."""
    return write_whole(path, text(news))
