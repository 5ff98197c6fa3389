"""The bulletin: numbered updates of the list of engines, in binary frames and in the configuration's JSON."""

from __future__ import annotations

import struct
from typing import Any

from ..api import EngineState
from ..members import EngineListUpdate, Member
from . import Malformed

FRAME_HEADER = struct.Struct(">IQB")  # length of the rest of the frame, number, kind
# engine id, IPv4 address, port, state, zone, kind, cell, an ignored field, start in Unix milliseconds
ENGINE_RECORD = struct.Struct(">I4sHBBBHIQ")
# kinds of frames
UNCHANGED = 0
COMPLETE_LIST = 1
CHANGES = 2
MAX_FRAME_SIZE = 4 * 1024 * 1024  # bytes
# indexed by the state byte of a record
STATES = (EngineState.LIVE, EngineState.DRAINING, EngineState.GONE)
STATE_BY_HEALTH = {
    "in_service": EngineState.LIVE,
    "terminating": EngineState.DRAINING,
    "terminated": EngineState.GONE,
}


def greeting(number: int) -> bytes:
    """The first message of a front end: the number of the last update that it has."""
    return struct.pack(">Q", number)


def parse_frame_header(head: bytes) -> tuple[int, int, int]:
    """Parses a frame header into payload size, update number and kind."""
    length, number, kind = FRAME_HEADER.unpack(head)
    if not FRAME_HEADER.size - 4 <= length <= MAX_FRAME_SIZE:
        raise Malformed(f"frame of {length} bytes")
    return length - FRAME_HEADER.size + 4, number, kind


def record_count(size: int) -> int:
    """Returns the number of records in a payload of `size` bytes."""
    return size // ENGINE_RECORD.size


def decode_update(number: int, kind: int, payload: bytes) -> EngineListUpdate | None:
    """Decodes the update in a frame; None if the frame carries none."""
    if kind == UNCHANGED:
        return None
    if kind not in (COMPLETE_LIST, CHANGES) or len(payload) % ENGINE_RECORD.size:
        raise Malformed(f"frame of kind {kind} with {len(payload)} bytes")
    members = []
    for engine_id, host, port, state, zone, engine_kind, cell, _, started in ENGINE_RECORD.iter_unpack(
        payload
    ):
        if state >= len(STATES):
            raise Malformed(f"state {state}")
        members.append(
            Member(
                f"s-{engine_id:08x}",
                (".".join(map(str, host)), port),
                STATES[state],
                zone,
                engine_kind,
                cell,
                started / 1000,
            )
        )
    return EngineListUpdate(number, kind == COMPLETE_LIST, tuple(members))


def decode_json_update(item: dict[str, Any], zones: list[str], kinds: list[str]) -> EngineListUpdate:
    """Decodes an update in the JSON form of the configuration."""
    try:
        roster = item["roster"]
        members = []
        for host in roster["hosts"]:
            name, _, port = host["dial"].rpartition(":")
            members.append(
                Member(
                    host["host"],
                    (name, int(port)),
                    STATE_BY_HEALTH[host["health"]],
                    zones.index(host["site"]),
                    kinds.index(host["class"]),
                    int(host.get("block", 0)),
                    host.get("born_ms", 0) / 1000,
                )
            )
        return EngineListUpdate(int(item["no"]), bool(roster["whole"]), tuple(members))
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise Malformed(f"event of the bulletin: {type(error).__name__} {error}") from None
