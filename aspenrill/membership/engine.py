"""State of one engine address, merged from the entries of all sources. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from ..members import Member
from ..net.address import format_address
from .flaps import Damping, FlapDamper
from .source import DRAINING, LIVE, Address, Source


class Engine:
    """One engine at its address, from the first source entry that names it until it is forgotten."""

    __slots__ = (
        "id",
        "address",
        "entries",
        "id_by_source",
        "started",
        "up",
        "was_up",
        "down_at",
        "flap_damper",
        "healthy",
        "admitted",
        "published",
    )

    def __init__(self, engine_id: str, address: Address, damping: Damping) -> None:
        self.id, self.address = engine_id, address
        self.entries: dict[str, Member] = {}  # by source
        self.id_by_source: dict[str, str] = {}  # the engine id that each source uses
        self.started = 0.0
        self.up = False  # live in every source that names it, rule (b)
        self.was_up = False  # has been up at least once
        self.down_at = 0.0
        self.flap_damper = FlapDamper(damping)
        self.healthy = True  # according to the decision module
        self.admitted = False  # by its tier
        self.published: Member | None = None  # as last reported to the owner; None if never or withdrawn

    def merged_entry(self, sources: Mapping[str, Source]) -> Member:
        """Returns the entry of the highest-ranked source, with priority and weight of the highest-ranked one
        that has an SRV record: rule (e)."""
        best, weighted = None, None
        for name, member in self.entries.items():
            rank = sources[name].rank  # 0 is the highest
            if best is None or rank < best[0]:
                best = rank, member
            if member.weight is not None and (weighted is None or rank < weighted[0]):
                weighted = rank, member
        if weighted is None:
            return best[1]
        return replace(best[1], priority=weighted[1].priority, weight=weighted[1].weight)


def pick_id(
    member: Member, address: Address, ids: Mapping[str, Address], engines: Mapping[Address, Engine]
) -> str:
    """Returns the member's id, with the address appended if another listed engine already uses that id."""
    engine_id, number = member.engine, 1
    while ids.get(engine_id, address) != address and ids[engine_id] in engines:
        engine_id = f"{member.engine}@{format_address(address)}" + (f"#{number}" if number > 1 else "")
        number += 1
    return engine_id


def explain(
    now: float, engines: Iterable[Engine], sources: Mapping[str, Source]
) -> list[tuple[Member, bool, str, list[str]]]:
    """Returns for each engine: its merged entry, whether it takes work, why, and the sources naming it."""
    rows = []
    for engine in sorted(engines, key=lambda e: e.id):
        merged = engine.merged_entry(sources)
        objections = [
            f"{name} says that it {'drains' if m.state is DRAINING else 'is gone'}"
            for name, m in engine.entries.items()
            if m.state is not LIVE
        ]
        if objections:
            why = "; ".join(objections)
        elif engine.flap_damper.is_held(now):
            why = f"it comes and goes: held out for {engine.flap_damper.held_until - now:.0f} s more"
        elif not engine.admitted:
            why = f"tier {merged.priority} is not needed" if engine.healthy else "it is not fit"
        else:
            why = "named live by " + ", ".join(engine.entries)
        is_in = engine.up and engine.admitted and not engine.flap_damper.is_held(now)
        state = LIVE if engine.up else DRAINING
        rows.append(
            (
                replace(merged, engine=engine.id, state=state, started=engine.started),
                is_in,
                why,
                list(engine.entries),
            )
        )
    return rows
