"""Values of the headers that HTTP engines answer with."""

from __future__ import annotations

from ..settings import FIELDS


def meter(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """A load report in the order of the settings; None where there is none or it cannot be read."""
    if not text or not fields:
        return None
    told = {}
    for part in text.split(";"):
        at = part.find(":")
        name = part[:at].strip()
        name = FIELDS.get(name, name)
        if at >= 0 and name in fields:
            try:
                told[name] = float(part[at + 1 :])
            except ValueError:
                continue
    return tuple([told.get(name, 0.0) for name in fields]) if told else None


def number(headers: dict[str, str], name: str) -> float | None:
    """A figure from a header, if it is there and finite."""
    try:
        value = float(headers[name])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value < 1e12 else None
