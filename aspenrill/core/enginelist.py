"""Applies updates of the engine list to the owner's records."""

from __future__ import annotations

from collections.abc import Callable

from ..api import EngineState
from ..members import EngineListUpdate
from .books import Peer


def limit_list(
    update: EngineListUpdate, peers: dict[str, Peer], limit: int, log: Callable[[str], None]
) -> EngineListUpdate:
    """The update; or, where the list would exceed `limit` engines, only its entries on known engines."""
    new = sum(member.engine not in peers for member in update.members)
    count = len(update.members) if update.complete else len(peers) + new
    if not new or count <= limit:
        return update
    log(f"list of {count} engines refused: memory allows {limit}; the previous list stays in use")
    return EngineListUpdate(
        update.number, False, tuple(member for member in update.members if member.engine in peers)
    )


def update_peers(update: EngineListUpdate, peers: dict[str, Peer]) -> list[Peer]:
    """Update the records and return those that take no more work or were replaced by another process."""
    retired: list[Peer] = []
    for member in update.members:
        known = peers.get(member.engine)
        if known is None or known.address != member.address or member.started > known.started:
            if known is not None:
                known.retired = True
                retired.append(known)
            peers[member.engine] = Peer(member.engine, member.address, member.state, member.started)
            continue
        known.state = member.state
        if not known.takes_work:
            retired.append(known)
    if update.complete:
        named = {member.engine for member in update.members}
        for engine, peer in peers.items():
            if engine not in named:
                peer.state = EngineState.GONE
                retired.append(peer)
    return retired
