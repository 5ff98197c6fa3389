"""What news of the list does to the owner's records of engines."""

from __future__ import annotations

from collections.abc import Callable

from ..api import EngineState
from ..members import News
from .books import Peer


def fitting(news: News, peers: dict[str, Peer], most: int, log: Callable[[str], None]) -> News:
    """The news, or of a list longer than `most` only what it says of engines that are known."""
    new = sum(member.engine not in peers for member in news.members)
    count = len(news.members) if news.whole else len(peers) + new
    if not new or count <= most:
        return news
    log(f"list of {count} engines refused: memory allows {most}; the last stays")
    return News(news.number, False, tuple(member for member in news.members if member.engine in peers))


def take_in(news: News, peers: dict[str, Peer]) -> list[Peer]:
    """Bring the records up to date; those that take no more work, or were replaced by another process."""
    retired: list[Peer] = []
    for member in news.members:
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
    if news.whole:
        named = {member.engine for member in news.members}
        for engine, peer in peers.items():
            if engine not in named:
                peer.state = EngineState.GONE
                retired.append(peer)
    return retired
