"""Follows the bulletin: every event after the last one, over a connection that is never silent for long."""
from __future__ import annotations

import time
from collections.abc import Callable

from ..net.conn import Refused, connect
from ..net.hub import Closed, Hub, TimedOut
from ..wire import Malformed
from ..wire import bulletin as wire

SILENT = 2.2  # it speaks each second: one word missed, and the next is late
CONNECT_FOR = 1.0
BREATH = 0.1  # seconds between tries where none comes up


class Bulletin:
    """Posts each event once and in order."""

    def __init__(self, hub: Hub, address: tuple[str, int], last: int,
                 post: Callable[[wire.News], None]) -> None:
        self.hub, self.address, self.last, self.post = hub, address, last, post

    def run(self) -> None:
        """Connect, follow, and connect again whenever it breaks or falls silent."""
        while True:
            began = time.monotonic()
            try:
                self._follow()
            except (Closed, TimedOut, Refused, Malformed) as why:
                self.hub.log(f"bulletin: {type(why).__name__} {why}; asking again from event {self.last}")
            if time.monotonic() < began + BREATH:
                self.hub.sleep(BREATH)

    def _follow(self) -> None:
        conn = connect(self.hub, self.address, time.monotonic() + CONNECT_FOR)
        try:
            conn.write(wire.greeting(self.last), time.monotonic() + CONNECT_FOR)
            while True:
                until = time.monotonic() + SILENT
                size, number, kind = wire.frame_head(conn.read(wire.HEAD.size, until))
                news = wire.frame_news(number, kind, conn.read(size, until))
                if news is None or number <= self.last:
                    continue
                if number != self.last + 1 and not news.whole:
                    raise Malformed(f"event {number} after {self.last}")
                self.last = number
                self.post(news)
        finally:
            conn.close()
