"""Follows the bulletin: every event after the last one, over a connection that is never silent for long.

An event counts as told 7 s after it at the latest, whether it came or not, and a send may begin until half a
second later. What can lie between an event and the moment when nothing more is sent to an engine that drains,
each of these once, and at each dial one connection that never comes up and one that comes up late:

    the open connection falls silent                SILENT                      1.3 s
    one dial is lost, the next comes up late        BESIDE + 1.5 s              2.0
    the new connection is mute                      SILENT                      1.3
    one dial is lost, the next comes up late        BESIDE + 1.5 s              2.0
    the event is read, and waits for the owner      as the program is behind    0.9 are left of 7.5

A move (SIGHUP) ends whatever of these goes on and begins with a dial, so it takes the place of a silence. A
frame that is half read then is told again: the number of the last whole event is what is asked with. An event
repeated as the first on a new connection costs nothing where what follows is next in line. News wait in the
owner's queue behind at most what came in the same round, which is part of what the program is behind. Where
discovery is down it may return between two dials: BREATH if it refuses, CONNECT_FOR if it says nothing.
"""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable

from ..api import EngineState
from ..members import News
from ..net.conn import Connection
from ..net.connecting import Refused
from ..net.hub import Closed, Hub, Task, TimedOut
from ..wire import Malformed
from ..wire import bulletin as wire
from .dial import Dialer

SILENT = 1.3  # seconds: it speaks each second, the rest is for the way; an own stall is none (`Hub.round`)
LONGER = 2  # times SILENT that the next connection gets after one that was mute: all may be that late
PIECE = 128 * wire.RECORD.size  # bytes of a list that is not kept, at a time
BREATH = 0.1  # seconds between tries where none comes up


class Bulletin:
    """Posts each event once and in order."""

    def __init__(
        self, hub: Hub, address: tuple[str, int], last: int, post: Callable[[News], None], most: int = 100_000
    ) -> None:
        self.hub, self.address, self.last, self.post = hub, address, last, post
        self.most = most  # engines that a list may name: of a longer one only who leaves is passed on
        self.task: Task | None = None
        self.dialer = Dialer(hub)
        self.patience = SILENT  # seconds until the first word of the next connection
        self.doubted = -1  # the last event, when another repeated had brought nothing new and was asked about

    def start(self) -> None:
        """Follow it in a task of its own."""
        self.task = self.hub.spawn(self.run, name="bulletin")

    def move(self, address: tuple[str, int]) -> None:
        """It is elsewhere from now on: the old one is dropped, and the new one asked from the last number."""
        if address != self.address:
            self.address, self.patience = address, SILENT
            self.task.interrupt(Closed("it has moved"))

    def run(self) -> None:
        """Connect, follow, and connect again whenever it breaks, falls silent, repeats itself or moves."""
        self.dialer.reserve()
        while True:
            began, asked = time.monotonic(), self.address
            try:
                try:
                    self._follow()
                except (Closed, TimedOut, Refused, Malformed) as why:
                    self.hub.log(f"bulletin: {type(why).__name__} {why}; asking again from event {self.last}")
                except Exception:
                    self.hub.report("bulletin, asking again", traceback.format_exc())
                if asked == self.address and time.monotonic() < began + BREATH:
                    self.hub.sleep(BREATH)
            except Closed:  # it moved while none came up
                continue

    def _leaving(self, conn: Connection, size: int, number: int, kind: int) -> None:
        """Who drains or is gone, of a list too long to keep: nothing new may go there."""
        while size:
            piece = conn.read(min(size, PIECE), time.monotonic() + SILENT)
            size -= len(piece)
            told = wire.frame_news(number, kind, piece).members
            if leaving := tuple(m for m in told if m.state is not EngineState.LIVE):
                self.post(News(number, False, leaving))

    def _follow(self) -> None:
        conn = self.dialer.up(self.address)
        patience, said, fresh, doubt = self.patience, False, True, False
        try:
            conn.write(wire.greeting(self.last), time.monotonic() + SILENT)
            while True:
                until = time.monotonic() + patience
                size, number, kind = wire.frame_head(conn.read(wire.HEAD.size, until))
                if (count := wire.engines_in(size)) > self.most:
                    self.hub.log(
                        f"bulletin: a list of {count} engines refused, memory allows {self.most}; "
                        "the last one stays"
                    )
                    self._leaving(conn, size, number, kind)
                    self.last = max(self.last, number)
                    continue
                news = wire.frame_news(number, kind, conn.read(size, until))
                patience = self.patience = SILENT
                said = True
                if news is None:
                    if doubt and self.doubted != self.last:
                        self.doubted = self.last  # once: some begin with the event that they are asked with
                        raise Malformed(f"nothing after event {self.last} again")
                    continue
                if number <= self.last:
                    if not fresh:
                        raise Malformed(f"event {number} again")  # what follows may be missing: ask anew
                    doubt = True  # ask anew unless the next in line follows
                    continue
                if number != self.last + 1 and not news.whole:
                    raise Malformed(f"event {number} after {self.last}")
                self.last, fresh, doubt = number, False, False
                self.post(news)
        except TimedOut:
            if not said:
                self.patience = LONGER * SILENT
            raise
        finally:
            conn.close()
            self.dialer.reserve()
