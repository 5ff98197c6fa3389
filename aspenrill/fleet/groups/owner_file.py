"""The JSON file that reports splits to the owner of the data; written atomically."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..atomic_file import write_atomically
from .splits import SplitNews


def render(update: SplitNews) -> bytes:
    """The file's content: all known splits, and the map by group."""
    return (
        msgspec.json.format(
            msgspec.json.encode(
                {
                    "map_version": update.map.version,
                    "groups": {
                        str(group): {
                            "parts": shape.parts,
                            "since_version": shape.version,
                            "split": shape.split,
                        }
                        for group, shape in sorted(update.map.shapes.items())
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
                        for s in update.splits
                    ],
                }
            )
        )
        + b"\n"
    )


def write(path: Path, update: SplitNews) -> bool:
    """Writes the file if its content has changed; whether it did. Raises DiskTrouble."""
    return write_atomically(path, render(update))
