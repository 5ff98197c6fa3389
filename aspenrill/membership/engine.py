"""An engine at its address, by all that sources say of it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from ..members import Member
from ..net.address import format_address
from .flaps import Damping, Flaps
from .source import DRAINING, LIVE, Address, Source


class Engine:
    """One engine at its address, from its first mention until it is forgotten."""

    __slots__ = (
        "id",
        "address",
        "says",
        "aliases",
        "started",
        "up",
        "known",
        "down_at",
        "flaps",
        "fit",
        "inside",
        "told",
    )

    def __init__(self, ident: str, address: Address, damping: Damping) -> None:
        self.id, self.address = ident, address
        self.says: dict[str, Member] = {}  # by source
        self.aliases: dict[str, str] = {}  # the id that each source has for it
        self.started = 0.0
        self.up = False  # by (b)
        self.known = False  # has been up
        self.down_at = 0.0
        self.flaps = Flaps(damping)
        self.fit = True  # as the decision module sees it
        self.inside = False  # let in by its tier
        self.told: Member | None = None  # as the owner was told last

    def top(self, sources: Mapping[str, Source]) -> Member:
        """The word of the highest source, with priority and weight of the highest that has them (e)."""
        best, stated = None, None
        for name, member in self.says.items():
            rank = sources[name].rank
            if best is None or rank < best[0]:
                best = rank, member
            if member.weight is not None and (stated is None or rank < stated[0]):
                stated = rank, member
        if stated is None:
            return best[1]
        return replace(best[1], priority=stated[1].priority, weight=stated[1].weight)


def free_id(
    member: Member, address: Address, ids: Mapping[str, Address], engines: Mapping[Address, Engine]
) -> str:
    """The name of an engine at an address, as long as no other engine that is named has it."""
    ident, number = member.engine, 1
    while ids.get(ident, address) != address and ids[ident] in engines:
        ident = f"{member.engine}@{format_address(address)}" + (f"#{number}" if number > 1 else "")
        number += 1
    return ident


def explain(
    now: float, engines: Iterable[Engine], sources: Mapping[str, Source]
) -> list[tuple[Member, bool, str, list[str]]]:
    """Each engine: as it stands, whether it is in, why, and by whom it is named."""
    rows = []
    for engine in sorted(engines, key=lambda e: e.id):
        top = engine.top(sources)
        no = [
            f"{name} says that it {'drains' if m.state is DRAINING else 'is gone'}"
            for name, m in engine.says.items()
            if m.state is not LIVE
        ]
        if no:
            why = "; ".join(no)
        elif engine.flaps.held(now):
            why = f"it comes and goes: held out for {engine.flaps.held_until - now:.0f} s more"
        elif not engine.inside:
            why = f"tier {top.priority} is not needed" if engine.fit else "it is not fit"
        else:
            why = "named live by " + ", ".join(engine.says)
        is_in = engine.up and engine.inside and not engine.flaps.held(now)
        state = LIVE if engine.up else DRAINING
        rows.append(
            (
                replace(top, engine=engine.id, state=state, started=engine.started),
                is_in,
                why,
                list(engine.says),
            )
        )
    return rows
