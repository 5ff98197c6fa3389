"""Applies updates of the engine list to the owner's records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..api import EngineState
from ..members import EngineListUpdate, Member
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


def remove_superseded(
    update: EngineListUpdate, peers: dict[str, Peer], log: Callable[[str], None]
) -> EngineListUpdate:
    """The update, with the engines as gone whose address another process has taken over.

    An address has one process. Of two live engines at it the one that started later is there; where that is
    not known, the one that was listed there later. Work for the other one would reach it too, and count for
    the wrong engine: one that is cold would get the work of a warm one.
    """
    members = {member.engine: member for member in update.members}
    moved = {
        engine: member for engine, member in members.items() if _takes_address(member, peers.get(engine))
    }
    if not moved:
        return update
    holders = {} if update.complete else _holders(peers, {member.address for member in moved.values()})
    for engine, member in members.items():
        if member.state is EngineState.LIVE and engine not in moved:
            holders.setdefault(member.address, member)
    for member in moved.values():
        other = holders.get(member.address)
        if other is None or other.engine == member.engine:
            holders[member.address] = member
            continue
        if other.engine in members and other.started == member.started:
            continue  # named together, and nothing tells which one is there
        earlier, later = (member, other) if other.started > member.started else (other, member)
        holders[member.address] = later
        if members.get(earlier.engine, earlier).address == earlier.address:
            members[earlier.engine] = replace(earlier, state=EngineState.GONE)
            log(f"engine {earlier.engine} counts as gone: {later.engine} has its address")
    return EngineListUpdate(update.number, update.complete, tuple(members.values()))


def _takes_address(member: Member, known: Peer | None) -> bool:
    """Whether a live engine is new at its address."""
    if member.state is not EngineState.LIVE:
        return False
    return known is None or known.address != member.address or member.started > known.started


def _holders(peers: dict[str, Peer], addresses: set[tuple[str, int]]) -> dict[tuple[str, int], Member]:
    """The engines that are listed at these addresses and not gone, by address."""
    return {
        peer.address: Member(peer.engine, peer.address, peer.state, started=peer.started)
        for peer in peers.values()
        if peer.state is not EngineState.GONE and peer.address in addresses
    }


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
