"""Total capacity of the warm engines. While processes report different engine lists, the smallest counts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..interface import MAX_PEERS

Size = Annotated[float, Meta(ge=0.0, le=1e9)]


class CapacityReport(Struct, array_like=True, frozen=True):
    """A process's engine list as a hash, and the total threads of its warm engines."""

    version: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    threads: Size


_decoder = msgspec.msgpack.Decoder(CapacityReport)


class Capacity:
    """Threads at warm engines. A rise takes effect once all live processes report the same list, a fall at
    once."""

    def __init__(self) -> None:
        self.own = CapacityReport(0, 0.0)
        self.reports: dict[str, CapacityReport] = {}
        self._last_agreed = 0.0  # the last value that all live processes reported

    def on_entry(self, origin: str, value: bytes) -> None:
        """Process an entry of another process. A malformed one is ignored."""
        if not value:
            self.reports.pop(origin, None)
            return
        try:
            report = _decoder.decode(value)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return
        if origin in self.reports or len(self.reports) < MAX_PEERS:
            self.reports[origin] = report

    def threads(self, live: Iterable[str]) -> float:
        """The threads in effect now; `live`: the other live processes."""
        reports = [self.reports.get(name) for name in live]
        reported = [report.threads for report in reports if report is not None]
        if all(report is not None and report.version == self.own.version for report in reports):
            self._last_agreed = min([self.own.threads, *reported])
            return self._last_agreed
        return min([self.own.threads, *reported, *([self._last_agreed] if self._last_agreed else [])])


def pack(report: CapacityReport) -> bytes:
    """Encode the entry."""
    return msgspec.msgpack.encode(report)
