"""An engine that responds from a script, and attempts sent to it."""

from __future__ import annotations

import time

from aspenrill import api
from aspenrill.core.books import Attempt, AttemptFinished, ClientRequest, Peer
from aspenrill.engines import pool
from aspenrill.engines.http import HttpEngines
from aspenrill.net.hub import Hub
from aspenrill.net.listener import Listener
from standins.scenario import run_scenario
from standins.world import CLASSES, SETTINGS

LONG = 20.0  # seconds; a time-out that a passing test never reaches
BODY = b"a\tb\tc\n"
OK = b"HTTP/1.1 200 X\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n" + BODY
NOTHING = "\r\nContent-Length: 0\r\n\r\n"


def response(status: int, *fields: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields]).encode() + NOTHING.encode()


SHED = "X-Shed: 1"
GONE = b"HTTP/1.1 204 X\r\n\r\n"
HALF = response(202, "X-Remark: frac", "X-Num: 0.5")


class ScriptedEngine:
    """One engine and the attempts sent to it.

    `answers` are used in turn for calls other than DELETE: response bytes, or a function of the connection. A
    DELETE is handled by `delete`.
    """

    def __init__(self, answers=(), connect_for: float = LONG) -> None:
        self.hub, self.logged = Hub(lambda text: self.logged.append(text)), []
        self.answers, self.calls, self.posted = list(answers), [], []
        self.delete = lambda conn: conn.write(GONE, time.monotonic() + LONG)
        self.listener = Listener(self.hub, ("127.0.0.1", 0), self.serve, 99, "engine")
        self.pools = pool.Pools(self.hub, 99, 30.0, connect_for)
        self.engines = HttpEngines(self.hub, self.pools, SETTINGS, CLASSES, self.posted.append)
        self.peer = Peer("e", self.listener.address, api.EngineState.LIVE)

    def serve(self, conn) -> None:
        while True:
            head = conn.read_until(b"\r\n\r\n", time.monotonic() + 60).decode().lower()
            size = int(head.split("content-length: ")[1].split("\r\n")[0]) if "content-length" in head else 0
            conn.read(size, time.monotonic() + 60)
            self.calls.append(head.split("\r\n")[0].split(" http")[0])
            if head.startswith("delete"):
                self.delete(conn)
                continue
            answer = self.answers.pop(0) if self.answers else response(500)
            if callable(answer):
                answer(conn)
            else:
                conn.write(answer, time.monotonic() + LONG)

    def engine_side(self):
        """Returns the engine's side of the only connection."""
        return next(iter(self.listener.connections))

    def start(self, id_digit: str = "a", cls: str = "once", time_budget: float = LONG, **changed) -> Attempt:
        now = time.monotonic()
        call = ClientRequest(
            id_digit * 16, CLASSES.index(cls), 0, b"x", None, None, now, time_budget, lambda *_: None
        )
        attempt = Attempt(call, self.peer, 0, call.deadline, 1)
        for name, value in changed.items():
            setattr(attempt, name, value)
        self.engines.start(attempt)
        return attempt

    def until(self, true) -> None:
        end = time.monotonic() + LONG
        while not true():
            assert time.monotonic() < end, "did not come true in time"
            self.hub.sleep(0.005)

    def end(self, attempt: Attempt) -> AttemptFinished:
        """Waits for the attempt to end; returns its only Ended."""

        def mine() -> list[AttemptFinished]:
            return [end for end in self.posted if isinstance(end, AttemptFinished) and end.attempt is attempt]

        self.until(mine)
        self.until(lambda: attempt.task.done)
        assert len(mine()) == 1
        return mine()[0]

    def play(self, scenario) -> None:
        try:
            run_scenario(self.hub, scenario)
        finally:
            self.listener.close()
            for conn in list(self.listener.connections):
                conn.close()
        assert not [text for text in self.logged if text.startswith("error")], self.logged


def rows(word: bytes) -> bytes:
    return OK.replace(BODY, b"\t\t" + word + b"\n").replace(b"Length: 6", b"Length: %d" % (len(word) + 3))
