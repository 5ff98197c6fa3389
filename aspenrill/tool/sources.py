"""What each source of a file says now, the merged list, and why each engine is in or out."""

from __future__ import annotations

import argparse
import json
import sys
import time
from typing import Any

from .. import application
from ..gathering import Gathering
from ..net.address import format_address
from ..net.hub import Hub

LOOK = 0.05  # seconds between two looks whether all have spoken


def gather(
    app: application.Application,
    seconds: float,
    hub: Hub | None = None,
) -> tuple[dict[str, Any], list[str]]:
    """Ask all sources once, for so long at most: what came of it as plain data, and what was logged."""
    lines: list[str] = []
    hub = hub or Hub()
    hub.log = lines.append
    gathering = Gathering(hub, app.sources, app.kinds, lambda event: None)
    found: dict[str, Any] = {}

    def wait() -> None:
        until = time.monotonic() + seconds
        sources = gathering.membership.sources.values()
        while time.monotonic() < until and any(s.awaiting_list and s.failure is None for s in sources):
            hub.sleep(LOOK)
        found.update(report(gathering, app.kinds, time.monotonic()))
        hub.stop()

    hub.spawn(wait)
    hub.run()
    return found, lines


def report(gathering: Gathering, kinds: tuple[str, ...], now: float) -> dict[str, Any]:
    """The state of a gathering as plain data; times in seconds."""
    membership, types = gathering.membership, {s.name: s.type for s in gathering.sources.sources}
    sources = []
    for source in membership.sources.values():
        sources.append(
            {
                "name": source.spec.name,
                "type": types.get(source.spec.name, "list"),
                "state": "fails"
                if source.failure is not None
                else "silent"
                if source.awaiting_list
                else "answers",
                "why": source.failure or "",
                "doubted": len(source.unconfirmed),
                "age": None if source.updated_at is None else round(now - source.updated_at, 3),
                "entries": [
                    {
                        "name": m.engine,
                        "address": format_address(m.address),
                        "state": m.state.value,
                        "priority": m.priority,
                        "weight": m.weight,
                    }
                    for m in source.entries.values()
                ],
            }
        )
    engines = [
        {
            "id": m.engine,
            "address": format_address(m.address),
            "in": is_in,
            "why": why,
            "named_by": by,
            "state": m.state.value,
            "kind": kinds[m.kind] if m.kind < len(kinds) else str(m.kind),
            "zone": m.zone,
            "tier": m.priority,
            "weight": m.weight,
            "cold": bool(m.started) and now < m.started + 12,
        }
        for m, is_in, why, by in membership.explain(now)
    ]
    return {"sources": sources, "engines": engines}


def print_report(found: dict[str, Any], lines: list[str]) -> None:
    """For people."""
    for source in found["sources"]:
        print(
            f"source {source['name']} ({source['type']}) {source['state']}, "
            f"{len(source['entries'])} entries" + (f": {source['why']}" if source["why"] else "")
        )
        for one in source["entries"]:
            weight = "" if one["weight"] is None else f" priority {one['priority']} weight {one['weight']:g}"
            print(f"  {one['address']:<24} {one['state']:<9} {one['name']}{weight}")
    count = sum(one["in"] for one in found["engines"])
    print(f"merged: {len(found['engines'])} engines, {count} in")
    for one in found["engines"]:
        print(f"  {'in ' if one['in'] else 'out'} {one['address']:<24} {one['id']}: {one['why']}")
    for line in lines:
        print(f"log: {line}", file=sys.stderr)


def run(args: argparse.Namespace, app: application.Application) -> int:
    """The command; 1 where a source has not answered."""
    found, lines = gather(app, args.seconds)
    if args.json:
        print(json.dumps(found, indent=1))
    else:
        print_report(found, lines)
    return int(any(source["state"] != "answers" for source in found["sources"]))
