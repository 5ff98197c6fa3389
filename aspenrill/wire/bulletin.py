"""The bulletin: numbered changes to the list of engines, as frames and as the configuration's JSON."""

from __future__ import annotations

import struct
from typing import Any

from ..api import EngineState
from ..members import Member, News
from . import Malformed

HEAD = struct.Struct(">IQB")  # length of all that follows it, number, kind
RECORD = struct.Struct(">I4sHBBBHIQ")
NOTHING, WHOLE, CHANGES = 0, 1, 2
MOST = 4 * 1024 * 1024
STATES = (EngineState.LIVE, EngineState.DRAINING, EngineState.GONE)
WORDS = {"in_service": EngineState.LIVE, "terminating": EngineState.DRAINING, "terminated": EngineState.GONE}


def greeting(number: int) -> bytes:
    """What a front end writes first: the number of the last event that it has."""
    return struct.pack(">Q", number)


def frame_head(head: bytes) -> tuple[int, int, int]:
    """Size of the payload, number and kind of a frame."""
    length, number, kind = HEAD.unpack(head)
    if not HEAD.size - 4 <= length <= MOST:
        raise Malformed(f"frame of {length} bytes")
    return length - HEAD.size + 4, number, kind


def engines_in(size: int) -> int:
    """How many engines a payload of so many bytes names."""
    return size // RECORD.size


def frame_news(number: int, kind: int, payload: bytes) -> News | None:
    """The event of a frame; None where there is nothing new."""
    if kind == NOTHING:
        return None
    if kind not in (WHOLE, CHANGES) or len(payload) % RECORD.size:
        raise Malformed(f"frame of kind {kind} with {len(payload)} bytes")
    members = []
    for ident, host, port, state, zone, machine, cell, _, started in RECORD.iter_unpack(payload):
        if state >= len(STATES):
            raise Malformed(f"state {state}")
        members.append(
            Member(
                f"s-{ident:08x}",
                (".".join(map(str, host)), port),
                STATES[state],
                zone,
                machine,
                cell,
                started / 1000,
            )
        )
    return News(number, kind == WHOLE, tuple(members))


def json_news(item: dict[str, Any], zones: list[str], kinds: list[str]) -> News:
    """An event as the configuration holds it."""
    try:
        roster = item["roster"]
        members = []
        for host in roster["hosts"]:
            name, _, port = host["dial"].rpartition(":")
            members.append(
                Member(
                    host["host"],
                    (name, int(port)),
                    WORDS[host["health"]],
                    zones.index(host["site"]),
                    kinds.index(host["class"]),
                    int(host.get("block", 0)),
                    host.get("born_ms", 0) / 1000,
                )
            )
        return News(int(item["no"]), bool(roster["whole"]), tuple(members))
    except (KeyError, ValueError, TypeError, AttributeError) as why:
        raise Malformed(f"event of the bulletin: {type(why).__name__} {why}") from None
