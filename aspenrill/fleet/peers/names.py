"""One name, two processes: tells a restart from a twin, by asking.

Each life of a process has a random id. Where news of the own name comes with another's id, this process asks
at the address named. Is there no answer, the other is a former life, and this one goes over its incarnation.
Is there one, both live: the younger steps back (by the incarnation that its life began with, then by id) and
the elder goes over its incarnation. The one that has stepped back goes on asking; once the elder is silent it
takes over.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..interface import State
from .table import Table
from .wire import Contest, Message, News, Packet, Present

ASK_EVERY, TRIES = 0.4, 4  # seconds between two questions, and how many stay without an answer
REST = 5.0  # seconds until one that was silent is asked again
WATCH, SILENT = 1.0, 6.0  # seconds: how often the elder is asked, and from when it counts as gone


class Node(Protocol):
    """What is asked of the node."""

    def send_to(self, now: float, address: tuple[str, int], life: bytes, message: Message) -> None: ...
    def step_back(self, now: float, elder: str) -> None: ...
    def take_over(self, now: float, incarnation: int) -> None: ...


@dataclass(eq=False, slots=True)
class Rival:
    """Another life under our name."""

    life: bytes
    incarnation: int
    address: tuple[str, int]
    seq: int
    asked: int = 0
    ask_at: float = 0.0
    heard: float | None = None


class Names:
    """What this process knows of others with its name: of one at a time."""

    def __init__(self, table: Table, node: Node, first: int) -> None:
        self.table, self.node = table, node
        self.first = first  # the incarnation that this life began with
        self.fenced = False
        self.rival: Rival | None = None
        self._silent: tuple[bytes, float] = b"", 0.0  # who did not answer, and until when that counts
        self._seq = first & 0xFFFF

    def on_news(self, now: float, news: News) -> None:
        """Somebody says something of our name, and of another life."""
        if self.fenced:
            if self.rival is not None and news.life == self.rival.life:
                self.rival.incarnation = max(self.rival.incarnation, news.incarnation)
            return
        if news.state >= State.DEAD or (news.host, news.port) == (self.table.me.host, self.table.me.port):
            self._go_over(now, news.incarnation, news.life)
        elif self._silent[0] == news.life and now < self._silent[1]:
            self._go_over(now, news.incarnation, news.life)
        else:
            self._ask(now, news)

    def _go_over(self, now: float, incarnation: int, life: bytes) -> None:
        me = self.table.me
        if self.rival is not None and self.rival.life == life:
            self.rival = None
        if (incarnation, life) > (me.incarnation, me.life):
            self.node.take_over(now, incarnation + 1)

    def _ask(self, now: float, news: News) -> None:
        if self.rival is None or self.rival.life != news.life and self.rival.heard is None:
            self._seq += 1
            self.rival = Rival(news.life, news.incarnation, (news.host, news.port), self._seq, ask_at=now)
            self.tick(now)

    def tick(self, now: float) -> None:
        """Ask, or find that nobody answers."""
        rival = self.rival
        if rival is None or now < rival.ask_at:
            return
        if self.fenced and now - rival.heard >= SILENT:
            self.fenced, self.rival = False, None
            self.node.take_over(now, max(rival.incarnation, self.table.me.incarnation) + 1)
        elif not self.fenced and rival.asked >= TRIES:
            self._silent = rival.life, now + REST
            self._go_over(now, rival.incarnation, rival.life)
            self.rival = None
        else:
            rival.asked += 1
            rival.ask_at = now + (WATCH if self.fenced else ASK_EVERY)
            self.node.send_to(now, rival.address, rival.life, Contest(rival.seq, self.first))

    def next_due(self) -> float:
        """When `tick` has something to do."""
        return self.rival.ask_at if self.rival is not None else float("inf")

    def on_packet(self, now: float, packet: Packet, address: tuple[str, int]) -> None:
        """From another life under our name."""
        message = packet.message
        for news in packet.news:
            if news.name == self.table.me.name and news.life == packet.life:
                address = news.host, news.port
                self.on_news(now, news)
        if isinstance(message, Contest):
            self.node.send_to(now, address, packet.life, Present(message.seq, self.first))
        elif (
            isinstance(message, Present)
            and self.rival is not None
            and (self.rival.life, self.rival.seq) == (packet.life, message.seq)
        ):
            self.rival.heard, self.rival.asked = now, 0
            self.rival.incarnation = max(self.rival.incarnation, packet.incarnation)
            if not self.fenced and (message.first, packet.life) < (self.first, self.table.me.life):
                self.fenced = True
                self.node.step_back(now, f"{self.rival.address[0]}:{self.rival.address[1]}")
