"""Parses headers in the responses of HTTP engines."""

from __future__ import annotations

from ..settings import REPORT_FIELDS


def parse_load_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """Parses a load report into values in the order of `fields`; None if it is missing or unreadable."""
    if not text or not fields:
        return None
    values = {}
    for part in text.split(";"):
        at = part.find(":")
        name = part[:at].strip()
        name = REPORT_FIELDS.get(name, name)
        if at >= 0 and name in fields:
            try:
                values[name] = float(part[at + 1 :])
            except ValueError:
                continue
    return tuple([values.get(name, 0.0) for name in fields]) if values else None


def header_number(headers: dict[str, str], name: str) -> float | None:
    """Returns the number in a header, None if it is missing, negative, not finite or 1e12 or more."""
    try:
        value = float(headers[name])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value < 1e12 else None
