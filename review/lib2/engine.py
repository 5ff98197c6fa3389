"""An engine: HTTP/1.1, one call at a time on a connection, a query that no connection owns."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .record import Record

NEWS_AFTER = 0.25  # seconds until a call about a running query is answered 202
UNASKED = 2.0  # seconds without a call after which a query is dropped


@dataclass
class Query:
    """A query and its end. `rows` are made as it ends."""

    statement: str
    began: float
    seconds: float
    rows: Callable[[], str]
    ended: threading.Event = field(default_factory=threading.Event)
    deleted: bool = False
    text: str = ""
    asked: float = 0.0
    calls: int = 0


class Engine:
    """An engine of the platform. `work` gives the seconds of a statement, `rows` its rows as text."""

    def __init__(
        self,
        name: str,
        record: Record,
        work: Callable[[str], float],
        rows: Callable[[str], str],
    ) -> None:
        self.name, self.record, self.work, self.rows = name, record, work, rows
        self.spoil: Callable[[bytes], bytes] = lambda data: data  # what a good answer becomes on its way
        self.queries: dict[str, Query] = {}
        self.begun: list[tuple[float, str]] = []  # when the first line of each POST was read, its statement
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as stream:
            while line := stream.readline():
                began = time.monotonic()
                method, path, _ = line.decode("latin-1").split()
                fields = {}
                while (line := stream.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode("latin-1").partition(":")
                    fields[name.strip().lower()] = value.strip()
                body = stream.read(int(fields.get("content-length", 0)))
                data = self._answer(method, path, fields, body, began)
                good = data.startswith(b"HTTP/1.1 200") and path.startswith("/data")
                sock.sendall(self.spoil(data) if good else data)

    def _answer(self, method: str, path: str, fields: dict[str, str], body: bytes, began: float) -> bytes:
        if path in ("/alive", "/stats"):
            return _response(200, {"X-Meter": "util:0.1;queue:0"})
        if method == "POST":
            ident = fields["x-ticket"]
            self._begin(ident, fields, body.decode(), began)
            return self._news(ident)
        ident, number = (path.split("/") + [""])[2:4]
        if method == "DELETE":
            with self.lock:
                query = self.queries.pop(ident, None)
            if query is not None:
                query.deleted = True
                query.ended.set()
                self.record(f"{self.name}: DELETE {ident}")
            return _response(204 if query is not None else 500)
        if method == "PUT":
            return _response(204 if ident in self.queries else 500)
        return self._news(ident) if number == "0" else _response(500)

    def _begin(self, ident: str, fields: dict[str, str], statement: str, began: float) -> None:
        query = Query(statement, began, self.work(statement), lambda: self.rows(statement), asked=began)
        with self.lock:
            self.begun.append((began, statement))
            self.queries[ident] = query
        self.record(f"{self.name}: POST {ident} {fields.get('x-queue')} {statement!r}")
        threading.Thread(target=self._run, args=(ident, query), daemon=True).start()

    def _run(self, ident: str, query: Query) -> None:
        end = query.began + query.seconds
        while (left := end - time.monotonic()) > 0 and not query.deleted:
            if not query.calls and time.monotonic() > query.asked + UNASKED:
                query.deleted = True
                self.record(f"{self.name}: {ident} dropped, as nobody asked for it")
            query.ended.wait(min(left, 0.1))
        with self.lock:
            if not query.deleted:
                query.text = query.rows()
                self.record(f"{self.name}: {ident} ended with {query.text!r}")
            else:
                self.queries.pop(ident, None)
        query.ended.set()

    def _news(self, ident: str) -> bytes:
        query = self.queries.get(ident)
        if query is None:
            return _response(500)
        query.calls += 1
        ended = query.ended.wait(NEWS_AFTER)
        query.calls -= 1
        query.asked = time.monotonic()
        if query.deleted:
            return _response(500)
        if not ended:
            return _response(202)
        spent = str(max(1, int(query.seconds * 1000)))
        return _response(200, {"X-Batches": "1", "X-Spent": spent, "X-Wanted": "64"}, query.text.encode())


def _response(status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    head = f"HTTP/1.1 {status} -\r\n" + "".join(f"{k}: {v}\r\n" for k, v in (fields or {}).items())
    if status != 204:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body
