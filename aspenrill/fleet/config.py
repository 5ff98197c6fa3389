"""Configuration of the fleet: `deploy/fleet.toml`, or the table `[fleet]` of an application's file."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from ..errors import FleetConfigTrouble
from ..net.address import parse_address
from ..reader import Reader, unique
from .interface import MAX_PEERS, Place
from .peers.detector import Timing

Address = tuple[str, int]
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,47}")
LABEL = re.compile(r"[A-Za-z0-9._-]{0,32}")
COMPONENTS = ("overload", "authority", "kept", "purges", "groups")


@dataclass(frozen=True)
class Config:
    """A parsed configuration. `tables` are those of the components, which read them and add to `faults`."""

    enabled: bool
    name: str
    fleet: str
    listen: Address
    advertise: Address | None  # None: the listening address
    seeds: tuple[Address, ...]
    key_file: str
    state: str
    place: Place
    voters: tuple[str, ...]
    front_ends: int
    alone: float
    timing: Timing
    tables: dict[str, Reader] = field(compare=False, repr=False)
    faults: list[str] = field(compare=False, repr=False)

    def check(self) -> None:
        """Raise FleetConfigTrouble with the first fault, if any. To be called again after the components have
        read."""
        if self.faults:
            more = f" (and {len(self.faults) - 1} more)" if self.faults[1:] else ""
            raise FleetConfigTrouble(f"{self.faults[0]}{more}")


def _name(top: Reader, field_name: str, default: str | None = None) -> str:
    value = top.text(field_name, default)
    if value and not NAME.fullmatch(value):
        top.fault(field_name, f"letters, digits, '.', '_' and '-', 48 at most, are wanted, got {value!r}")
    return value


def _place(top: Reader) -> Place:
    value = top.text("place", "")
    parts = value.split("/") if value else []
    if len(parts) > 3 or not all(LABEL.fullmatch(part) for part in parts):
        top.fault("place", f"site/building/hall is wanted, got {value!r}")
        return Place()
    return Place(*parts)


def _addresses(top: Reader, name: str) -> tuple[Address, ...]:
    found = []
    for index, text in enumerate(top.texts(name)):
        try:
            found.append(parse_address(text))
        except ValueError:
            top.fault(f"{name}[{index}]", f"ADDRESS:PORT with a numeric address is wanted, got {text!r}")
    unique(top, name, found)
    return tuple(found)


def _timing(row: Reader) -> Timing:
    defaults = Timing()
    suspicion_min = row.number("suspect_least_ms", defaults.suspicion_min * 1000, 10, 60000) / 1000
    suspicion_max = row.number("suspect_most_ms", defaults.suspicion_max * 1000, 10, 600000) / 1000
    if suspicion_min > suspicion_max:
        row.fault("suspect_least_ms", "must not be beyond suspect_most_ms")
    timing = Timing(
        probe_interval=row.number("period_ms", defaults.probe_interval * 1000, 50, 60000) / 1000,
        ack_timeout=row.number("ack_ms", defaults.ack_timeout * 1000, 5, 60000) / 1000,
        suspicion_min=suspicion_min,
        suspicion_max=suspicion_max,
        gossip_interval=row.number("gossip_ms", defaults.gossip_interval * 1000, 10, 60000) / 1000,
        fanout=int(row.number("fanout", defaults.fanout, 1, 20)),
        sync_interval=row.number("exchange_s", defaults.sync_interval, 1, 86400),
        reconnect_interval=row.number("reconnect_ms", defaults.reconnect_interval * 1000, 100, 600000) / 1000,
        forget_after=row.number("forget_s", defaults.forget_after, 10, 10 * 86400),
        entries_kept=row.number("entries_s", defaults.entries_kept, 5, 86400),
    )
    row.end()
    return timing


def read(top: Reader) -> Config:
    """Read the table of a fleet. Faults are collected in `top`; `check` raises the first."""
    listen = top.address("listen", "127.0.0.1:0")
    advertise = top.address("advertise") if "advertise" in top.table else None
    top.seen.add("advertise")
    if advertise is None and listen[0] in ("0.0.0.0", "::"):
        top.fault("advertise", "missing; with listen at every address, others must be told one of them")
    voters = top.texts("voters")
    unique(top, "voters", voters)
    config = Config(
        enabled=top.flag("enabled", False),
        name=_name(top, "name"),
        fleet=_name(top, "fleet", "fleet"),
        listen=listen,
        advertise=advertise,
        seeds=_addresses(top, "seeds"),
        key_file=top.text("key_file"),
        state=top.text("state"),
        place=_place(top),
        voters=tuple(voters),
        front_ends=int(top.number("front_ends", 1, 1, MAX_PEERS)),
        alone=top.number("alone", 0.5, 0, 1),
        timing=_timing(top.table_of("times")),
        tables={name: top.table_of(name) for name in COMPONENTS},
        faults=top.faults,
    )
    top.end()
    return config


def read_text(text: str) -> Config:
    """Parse a file that is a fleet's table or has one at [fleet]."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as why:
        raise FleetConfigTrouble(f"file: {why}") from None
    inner = table.get("fleet")
    path = "fleet." if isinstance(inner, dict) else ""
    config = read(Reader(inner if path else table, path, []))
    config.check()
    return config


def read_file(path: str | Path) -> Config:
    """Read and parse a file. FleetConfigTrouble if it cannot be read or used."""
    try:
        return read_text(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as why:
        raise FleetConfigTrouble(f"{path}: {why}") from None
