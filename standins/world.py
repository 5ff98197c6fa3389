"""Test doubles for clients and engines, Thrift and HTTP or TDS, in one process with the program under
test."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aspenrill import api
from aspenrill.engines.http import HttpEngines
from aspenrill.engines.tds import TdsEngines, login_handshake, read_packet
from aspenrill.fronts import tds as tds_front
from aspenrill.fronts import thrift as thrift_front
from aspenrill.members import EngineListUpdate, Member
from aspenrill.net.conn import Connection
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.net.listener import Listener
from aspenrill.node import Node
from aspenrill.wire import tds

from . import scenario
from .clients import TdsClient, ThriftClient
from .tds_session import TdsSession, split_batch

CLASSES = ["lookup", "booking", "once", "usage-report"]
SPECS = (
    api.QueryClass(latency_target=1.0, time_budget=5.0, effect=api.Effect.SAFE),
    api.QueryClass(latency_target=1.0, time_budget=5.0, effect=api.Effect.KEYED, dedup_window=15.0, worth=8),
    api.QueryClass(latency_target=1.0, time_budget=5.0, effect=api.Effect.UNSAFE, worth=8),
    api.QueryClass(latency_target=3.0, time_budget=20.0, effect=api.Effect.SAFE, worth=8, threads=2),
)
SETTINGS = api.Settings(
    classes=SPECS,
    cores_by_kind=(8,),
    max_attempts=4,
    may_cancel=True,
    may_probe=True,
    start_capacity=0.31,
    cold_for=12.0,
    fall_multiple=2.5,
    fall_window=1.5,
    report_fields=("util",),
)
ROWS = [("1", "sheets", "ok"), ("2", "towels", "o'k")]


@dataclass
class EngineBehaviour:
    """How an engine executes a statement: the seconds that it takes, and how it ends."""

    after: float = 0.0
    cut_first_answer: bool = False  # its first answer ends within a row
    end: str = "ok"  # ok, error, full, reset
    rows: list = field(default_factory=lambda: ROWS)


class Engine:
    """Base class of engines: records started and cancelled statements and the maximum concurrency."""

    def __init__(self, hub: Hub, name: str, host: str = "127.0.0.1") -> None:
        self.hub, self.name = hub, name
        self.behaviour: Callable[[str], EngineBehaviour] = lambda statement: EngineBehaviour()
        self.began: list[tuple[float, str]] = []
        self.stopped: list[str] = []
        self.ended: list[str] = []
        self.running = self.max_running = 0
        self.all_engines: list[Engine] = [self]
        self.listener = Listener(hub, (host, 0), self.serve, 500, name)

    def attempt_started(self, statement: str) -> None:
        """Record the start of a statement and the concurrency over all engines."""
        self.began.append((time.monotonic(), statement))
        self.running += 1
        self.max_running = max(self.max_running, sum(engine.running for engine in self.all_engines))

    def attempt_ended(self, statement: str, outcome_list: list[str] | None) -> None:
        """Record the end of a statement in the given list, if any."""
        self.running -= 1
        if outcome_list is not None:
            outcome_list.append(statement)

    @property
    def statements(self) -> list[str]:
        """All statements that were started, in order."""
        return [statement for _, statement in self.began]

    def shut_down(self) -> None:
        """Stop listening and close all connections, as if the process had ended."""
        self.listener.close()
        for conn in list(self.listener.connections):
            conn.close()


class HttpEngine(Engine):
    """An engine with the platform's HTTP interface."""

    page = 6000  # bytes of a page

    def __init__(self, hub: Hub, name: str, host: str = "127.0.0.1") -> None:
        super().__init__(hub, name, host)
        self.queries: dict[str, tuple[str, float, EngineBehaviour]] = {}

    def serve(self, conn: Connection) -> None:
        """Handle the requests of one connection."""
        while True:
            head = conn.read_until(b"\r\n\r\n", time.monotonic() + 60).decode()
            method, path, _ = head.split("\r\n")[0].split(" ")
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
            body = conn.read(int(fields.get("content-length", 0)), time.monotonic() + 5)
            if path == "/stats":
                self.respond(conn, 200, {"X-Meter": "util:0.1"})
            elif method == "POST":
                self.posted(conn, fields, body.decode())
            elif method == "DELETE":
                self.deleted(path.split("/")[2])
                self.respond(conn, 204)
            elif path.endswith("/0"):
                self.answer_poll(conn, path.split("/")[2])
            else:
                _, _, ident, number = path.split("/")
                if ident not in self.queries:  # deleted meanwhile on another connection
                    self.respond(conn, 500)
                    continue
                pages = self.pages(self.queries[ident][2])
                self.respond(conn, 200, {"X-Batch": number}, pages[int(number)])

    def posted(self, conn: Connection, fields: dict[str, str], statement: str) -> None:
        """Handle a complete POST request; header names are in lower case."""
        ident = fields["x-ticket"]
        self.queries[ident] = (statement, time.monotonic(), self.behaviour(statement))
        self.attempt_started(statement)
        self.answer_poll(conn, ident)

    def deleted(self, ident: str) -> None:
        """Handle the cancellation of a query."""
        query = self.queries.pop(ident, None)
        if query:
            self.attempt_ended(query[0], self.stopped)

    def answer_poll(self, conn: Connection, ident: str) -> None:
        """Answer a poll: wait a moment, then report progress, an error or the first page."""
        if ident not in self.queries:
            return self.respond(conn, 500)
        statement, began, behaviour = self.queries[ident]
        left = began + behaviour.after - time.monotonic()
        self.hub.sleep(max(0.0, min(0.25, left)))
        if ident not in self.queries:
            return self.respond(conn, 500)
        if left > 0.25:
            return self.respond(
                conn, 202, {"X-Remark": "frac", "X-Num": str(1 - (left - 0.25) / behaviour.after)}
            )
        if behaviour.end != "ok":
            del self.queries[ident]
            self.attempt_ended(statement, None)
        if behaviour.end == "reset":
            raise Closed
        if behaviour.end == "full":
            return self.respond(conn, 503, {"X-Shed": "1"})
        if behaviour.end == "error":
            return self.respond(conn, 500)
        self.attempt_ended(statement, self.ended)
        pages = self.pages(behaviour)
        if behaviour.cut_first_answer:
            behaviour.cut_first_answer = False
            return self.respond(conn, 200, {"X-Batches": "1"}, b"half a row\tand no more")
        spent = str(round(behaviour.after * 1000) or 5)
        self.respond(conn, 200, {"X-Batches": str(len(pages)), "X-Spent": spent, "X-Wanted": "8"}, pages[0])

    def pages(self, behaviour: EngineBehaviour) -> list[bytes]:
        """Return the rows of an answer as pages."""
        pages = [b""]
        for row in behaviour.rows:
            line = ("\t".join(row) + "\n").encode()
            if len(pages[-1]) + len(line) > self.page:
                pages.append(b"")
            pages[-1] += line
        return pages

    def respond(self, conn: Connection, status: int, fields: dict | None = None, body: bytes = b"") -> None:
        """Write an HTTP response."""
        lines = "".join(f"{k}: {v}\r\n" for k, v in (fields or {}).items())
        length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        conn.write(f"HTTP/1.1 {status} X\r\n{lines}{length}\r\n".encode() + body, time.monotonic() + 5)


class TdsEngine(Engine):
    """A TDS engine, whose sessions keep state; a long answer is sent in pieces while the statement runs."""

    def __init__(self, hub: Hub, name: str, host: str = "127.0.0.1") -> None:
        super().__init__(hub, name, host)
        self.sessions: dict[Connection, TdsSession] = {}  # those that are open
        self.logins = 0

    def serve(self, conn: Connection) -> None:
        """Handle the messages of one session."""
        session = self.sessions[conn] = TdsSession()
        try:
            while True:
                kind, status, body = self.read_message(conn)
                if kind == tds.PRELOGIN:
                    self.respond(conn, tds.prelogin())
                elif kind == tds.LOGIN7:
                    self.logins += 1
                    self.respond(conn, tds.login_response(tds.read_login7(body), self.name))
                elif kind == tds.ATTENTION:
                    self.respond(conn, tds.done(tds.DONE_ATTENTION))
                else:
                    session.begin_batch(status)
                    self.batch(conn, tds.read_sql_batch(body))
        finally:
            del self.sessions[conn]

    @staticmethod
    def read_message(conn: Connection) -> tuple[int, int, bytes]:
        """Read a message: its type, the status of its first packet, its content."""
        conn.wait_for_bytes(tds.PACKET_HEADER.size, time.monotonic() + 60)
        status = tds.parse_packet_header(conn.incoming.peek(tds.PACKET_HEADER.size))[1]
        kind, body, last = 0, b"", False
        while not last:
            kind, last, data = read_packet(conn, time.monotonic() + 60)
            body += data
        return kind, status, body

    def batch(self, conn: Connection, statement: str) -> None:
        """Execute a SQL batch and write its answer. What stands behind its query runs at its end."""
        behaviour, session = self.behaviour(statement), self.sessions[conn]
        before, behind = split_batch(statement)
        self.attempt_started(statement)
        until, number = time.monotonic() + behaviour.after, 0
        out = session.acknowledgement + session.execute(before)
        rows = session.rows(statement, behaviour.rows)
        if behaviour.end == "ok":
            out += tds.text_columns(["a", "b", "c"]) + b"".join(tds.text_row(list(row)) for row in rows)
        while time.monotonic() < until:
            if behaviour.after > 1 and behaviour.end == "ok" and out:  # a long answer is streamed
                number += 1
                piece, out = out[:700], out[700:]
                conn.write(
                    tds.PACKET_HEADER.pack(tds.REPLY, 0, 8 + len(piece), 0, number & 255, 0) + piece,
                    time.monotonic() + 5,
                )
            try:
                conn.fill(time.monotonic() + 0.02)
            except TimedOut:
                continue
            except Closed:
                self.attempt_ended(statement, self.stopped)
                raise
            if read_packet(conn, time.monotonic() + 5)[0] == tds.ATTENTION:
                self.attempt_ended(statement, self.stopped)
                return self.respond(conn, tds.done(tds.DONE_ATTENTION))
        self.attempt_ended(statement, self.ended if behaviour.end == "ok" else None)
        if behaviour.end == "reset":
            raise Closed
        if behaviour.end != "ok":
            number = 10928 if behaviour.end == "full" else 8134
            return self.respond(conn, out + tds.error(number, "no") + tds.done(tds.DONE_ERROR))
        self.respond(conn, out + session.execute(behind) + tds.done(rows=len(rows)))

    def respond(self, conn: Connection, body: bytes) -> None:
        """Write a TDS reply message."""
        conn.write(tds.packets(tds.REPLY, body), time.monotonic() + 5)


class World:
    """The program and its test doubles in one hub; `run` runs a test as a task of the hub."""

    def __init__(
        self,
        protocol: str,
        engines: int = 2,
        settings: api.Settings = SETTINGS,
        listed: bool = True,
        hub: Hub | None = None,
        host: str = "127.0.0.1",
    ) -> None:
        self.protocol, self.logged = protocol, []
        self.hub = hub or Hub(self.logged.append)
        self.hub.lag = lambda: 0.0  # the work of engines and clients in this process is not the program's lag
        self.engines = [
            (HttpEngine if protocol == "thrift" else TdsEngine)(self.hub, f"s-{i:08x}", host)
            for i in range(engines)
        ]
        for engine in self.engines:
            engine.all_engines = self.engines
        if protocol == "thrift":
            self.node = Node(
                self.hub,
                settings,
                1,
                1024,
                30,
                0.25,
                lambda pools, post: HttpEngines(self.hub, pools, settings, CLASSES, post),
            )
            service = thrift_front.Service(
                self.hub,
                CLASSES,
                [c.effect is api.Effect.KEYED for c in SPECS],
                ["main"],
                self.node.post,
                lambda: self.node.owner.healthy,
            )
        else:
            self.node = Node(
                self.hub,
                settings,
                1,
                1024,
                30,
                0.25,
                lambda pools, post: TdsEngines(self.hub, pools, post, 1 << 20),
                login_handshake("aspenrill", "aspenrill"),
            )
            maps = [
                tds_front.LoginMapping(
                    cls if t == 5 else f"{cls}-{t:g}", "*", i, 0, t if t != 5 else spec.time_budget, "batch"
                )
                for i, (cls, spec) in enumerate(zip(CLASSES, SPECS, strict=True))
                for t in (5, 0.5, 1)
            ]
            service = tds_front.Service(self.hub, maps, self.node.post, "test")
        self.address = self.node.listen(("127.0.0.1", 0), service, protocol).address
        self.number = 0
        if listed:
            self.announce([self.member(e) for e in self.engines], whole=True)

    def member(
        self, engine: Engine, state: api.EngineState = api.EngineState.LIVE, started: float = 0.0
    ) -> Member:
        """Return the member record of one of the engines."""
        return Member(engine.name, engine.listener.address, state, started=started)

    def announce(self, members: list[Member], whole: bool = False) -> None:
        """Post a list update to the program."""
        self.number += 1
        self.node.post(EngineListUpdate(self.number, whole, tuple(members)))

    def client(self, cls: str = "lookup", timeout: float = 5.0) -> ThriftClient | TdsClient:
        """Connect a client of the world's protocol."""
        return (ThriftClient if self.protocol == "thrift" else TdsClient)(self, cls, timeout)

    def until(self, true: Callable[[], object], within: float = 10.0) -> None:
        """Wait until `true` returns a true value."""
        end = time.monotonic() + within
        while not true():
            assert time.monotonic() < end, "did not come true in time"
            self.hub.sleep(0.01)

    def run(self, test: Callable[[], None]) -> None:
        """Run a test function to its end; an exception that it raises fails the test."""
        try:
            scenario.run_scenario(self.hub, test)
        finally:
            self._close_all()
        assert not [text for text in self.logged if text.startswith("error")], self.logged

    def _close_all(self) -> None:
        for listener in [self.node.fronts[0][1], *(e.listener for e in self.engines)]:
            listener.close()
            for conn in list(listener.connections):
                conn.close()
