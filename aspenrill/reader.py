"""Reads a TOML file field by field and collects every fault under the name of its field."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from .net.address import parse_address


@dataclass
class Reader:
    """One table of the file. Faults are collected under the names of their fields, and reading continues."""

    table: dict[str, Any]
    path: str
    faults: list[str]
    seen: set[str] = field(default_factory=set)

    def fault(self, name: str, text: str) -> None:
        """Record a fault of a field."""
        self.faults.append(f"{self.path}{name}: {text}")

    def typed_value(self, name: str, expected_type: type | tuple, default: Any, description: str) -> Any:
        """A value of the expected type, or the default if the field is absent; without a default, a fault."""
        self.seen.add(name)
        if name not in self.table:
            if default is None:
                self.fault(name, f"missing; expected {description}")
            return default
        value = self.table[name]
        if not isinstance(value, expected_type) or isinstance(value, bool) and expected_type is not bool:
            self.fault(name, f"{description} is wanted, got {value!r}")
            return default
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """A string that is not empty, unless the default is."""
        value = self.typed_value(name, str, default, "a string")
        if value == "" and default != "":
            self.fault(name, "must not be empty")
        return value or ""

    def number(self, name: str, default: float | None, low: float, high: float = 1e9) -> float:
        """A number within the bounds."""
        value = self.typed_value(name, (int, float), default, "a number")
        if value is None:
            return low
        if not low <= value <= high:
            self.fault(name, f"must be {low:g} to {high:g}, got {value!r}")
            return low
        return value

    def flag(self, name: str, default: bool) -> bool:
        """A Boolean value."""
        return self.typed_value(name, bool, default, "true or false")

    def choice(self, name: str, options: tuple[str, ...], default: str | None = None) -> str:
        """One of the options."""
        value = self.typed_value(name, str, default, f"one of {', '.join(options) or 'none'}")
        if value is not None and value not in options:
            self.fault(name, f"one of {', '.join(options) or 'none'} is wanted, got {value!r}")
            return options[0] if options else ""
        return value or (options[0] if options else "")

    def address(self, name: str, default: str | None = None) -> tuple[str, int]:
        """An address and a port, written as ADDRESS:PORT with a numeric address."""
        value = self.typed_value(name, str, default, "ADDRESS:PORT")
        try:
            return parse_address(value or "")
        except ValueError:
            if value is not None:
                self.fault(name, f"expected ADDRESS:PORT with a numeric address, got {value!r}")
            return "127.0.0.1", 0

    def strings(self, name: str) -> list[str]:
        """A list of strings, empty if it is absent."""
        found = []
        for index, value in enumerate(self.typed_value(name, list, [], "a list of strings")):
            if isinstance(value, str) and value:
                found.append(value)
            else:
                self.fault(f"{name}[{index}]", f"expected a string, got {value!r}")
        return found

    def tables(self, name: str) -> list[Reader]:
        """A reader for each table of a list, none if it is absent."""
        rows = self.typed_value(name, list, [], f"a list of [[{self.path}{name}]] tables")
        found = []
        for index, row in enumerate(rows):
            if isinstance(row, dict):
                found.append(Reader(row, f"{self.path}{name}[{index}].", self.faults))
            else:
                self.fault(f"{name}[{index}]", "expected a table")
        return found

    def subtable(self, name: str) -> Reader:
        """A reader for a table within this one, empty if it is absent."""
        return Reader(self.typed_value(name, dict, {}, "a table"), f"{self.path}{name}.", self.faults)

    def reject_unknown_fields(self) -> None:
        """Record a fault for each field that was not read, as it is probably misspelt."""
        for name in self.table:
            if name not in self.seen:
                self.fault(name, "no such field")


def check_unique(top: Reader, name: str, values: Sequence[Any]) -> None:
    """Record a fault for each value that occurs again."""
    for index, value in enumerate(values):
        if value in values[:index]:
            top.fault(f"{name}[{index}]", f"{value!r} is a duplicate")
