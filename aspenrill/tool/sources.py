"""The command `sources`: queries the sources of a file, merges their lists and explains the result."""

from __future__ import annotations

import argparse
import json
import sys
import time
from typing import Any

from .. import application
from ..gathering import SourceSetup
from ..net.address import format_address
from ..net.hub import Hub

POLL_INTERVAL = 0.05  # seconds between two checks whether all sources have answered


def query_sources(
    app: application.Application,
    seconds: float,
    hub: Hub | None = None,
) -> tuple[dict[str, Any], list[str]]:
    """Query all sources once, within a time limit. Returns the report and the log lines."""
    log_lines: list[str] = []
    hub = hub or Hub()
    hub.log = log_lines.append
    source_setup = SourceSetup(hub, app.sources, app.kinds, lambda event: None)
    found: dict[str, Any] = {}

    def wait() -> None:
        deadline = time.monotonic() + seconds
        sources = source_setup.membership.sources.values()
        while time.monotonic() < deadline and any(s.awaiting_list and s.failure is None for s in sources):
            hub.sleep(POLL_INTERVAL)
        found.update(build_report(source_setup, app.kinds, time.monotonic()))
        hub.stop()

    hub.spawn(wait)
    hub.run()
    return found, log_lines


def build_report(source_setup: SourceSetup, kinds: tuple[str, ...], now: float) -> dict[str, Any]:
    """The state of the sources and of the merged list, ready for JSON; times in seconds."""
    membership, types = source_setup.membership, {s.name: s.type for s in source_setup.sources.sources}
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


def print_report(found: dict[str, Any], log_lines: list[str]) -> None:
    """Print the report as text, and the log lines to standard error."""
    for source in found["sources"]:
        print(
            f"source {source['name']} ({source['type']}) {source['state']}, "
            f"{len(source['entries'])} entries" + (f": {source['why']}" if source["why"] else "")
        )
        for entry in source["entries"]:
            weight = (
                "" if entry["weight"] is None else f" priority {entry['priority']} weight {entry['weight']:g}"
            )
            print(f"  {entry['address']:<24} {entry['state']:<9} {entry['name']}{weight}")
    count = sum(engine["in"] for engine in found["engines"])
    print(f"merged: {len(found['engines'])} engines, {count} in")
    for engine in found["engines"]:
        print(f"  {'in ' if engine['in'] else 'out'} {engine['address']:<24} {engine['id']}: {engine['why']}")
    for line in log_lines:
        print(f"log: {line}", file=sys.stderr)


def run(args: argparse.Namespace, app: application.Application) -> int:
    """Run the command. Returns 1 if a source has not answered."""
    found, log_lines = query_sources(app, args.seconds)
    if args.json:
        print(json.dumps(found, indent=1))
    else:
        print_report(found, log_lines)
    return int(any(source["state"] != "answers" for source in found["sources"]))
