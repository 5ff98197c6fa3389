"""Reads a TOML file field by field, and notes every fault under the name of its field."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from .net.address import parse_address


@dataclass
class Reader:
    """One table of the file. Every fault is noted under its field's name, and reading goes on."""

    table: dict[str, Any]
    path: str
    faults: list[str]
    seen: set[str] = field(default_factory=set)

    def fault(self, name: str, text: str) -> None:
        """Note what is wrong with a field."""
        self.faults.append(f"{self.path}{name}: {text}")

    def raw(self, name: str, kind: type | tuple, default: Any, what: str) -> Any:
        """A value of a type; the default where it is absent, and a fault where it has none."""
        self.seen.add(name)
        if name not in self.table:
            if default is None:
                self.fault(name, f"missing; {what} is wanted")
            return default
        value = self.table[name]
        if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
            self.fault(name, f"{what} is wanted, got {value!r}")
            return default
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """A text with something in it."""
        value = self.raw(name, str, default, "a text")
        if value == "" and default != "":
            self.fault(name, "must not be empty")
        return value or ""

    def number(self, name: str, default: float | None, low: float, high: float = 1e9) -> float:
        """A number within bounds."""
        value = self.raw(name, (int, float), default, "a number")
        if value is None:
            return low
        if not low <= value <= high:
            self.fault(name, f"must be {low:g} to {high:g}, got {value!r}")
            return low
        return value

    def flag(self, name: str, default: bool) -> bool:
        """true or false."""
        return self.raw(name, bool, default, "true or false")

    def choice(self, name: str, options: tuple[str, ...], default: str | None = None) -> str:
        """One of some words."""
        value = self.raw(name, str, default, f"one of {', '.join(options) or 'none'}")
        if value is not None and value not in options:
            self.fault(name, f"one of {', '.join(options) or 'none'} is wanted, got {value!r}")
            return options[0] if options else ""
        return value or (options[0] if options else "")

    def address(self, name: str, default: str | None = None) -> tuple[str, int]:
        """ADDRESS:PORT with a numeric address."""
        value = self.raw(name, str, default, "ADDRESS:PORT")
        try:
            return parse_address(value or "")
        except ValueError:
            if value is not None:
                self.fault(name, f"ADDRESS:PORT with a numeric address is wanted, got {value!r}")
            return "127.0.0.1", 0

    def texts(self, name: str) -> list[str]:
        """A list of texts, empty where it is absent."""
        found = []
        for at, value in enumerate(self.raw(name, list, [], "a list of texts")):
            if isinstance(value, str) and value:
                found.append(value)
            else:
                self.fault(f"{name}[{at}]", f"a text is wanted, got {value!r}")
        return found

    def tables(self, name: str) -> list[Reader]:
        """The tables of a list."""
        rows = self.raw(name, list, [], f"a list of [[{self.path}{name}]] tables")
        found = []
        for at, row in enumerate(rows):
            if isinstance(row, dict):
                found.append(Reader(row, f"{self.path}{name}[{at}].", self.faults))
            else:
                self.fault(f"{name}[{at}]", "a table is wanted")
        return found

    def table_of(self, name: str) -> Reader:
        """A table within this one; empty where it is absent."""
        return Reader(self.raw(name, dict, {}, "a table"), f"{self.path}{name}.", self.faults)

    def end(self) -> None:
        """Fields that nobody asked for are slips of the pen."""
        for name in self.table:
            if name not in self.seen:
                self.fault(name, "no such field")


def unique(top: Reader, name: str, values: Sequence[Any]) -> None:
    """Each of the values may be there once."""
    for at, value in enumerate(values):
        if value in values[:at]:
            top.fault(f"{name}[{at}]", f"{value!r} is there already")
