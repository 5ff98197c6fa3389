"""Stand-in engines: HTTP/1.1 as the protocol page describes it, several engines in one process.

    python -m review.lib.engines COUNT RECORD [--copy-every N] [--copy-late-ms MS] [--key-window S]

Prints the ports as one JSON list, then serves until it is ended. Each event of a query is one JSON line in
RECORD. A statement tells its own cost in a comment, as in `-- 180 ms`; its rows are derived from the id and
the statement, so that each answer can be traced to its request. All engines together know the idempotency
keys of the last seconds, and drop a repeat.

`--copy-every N`: after each Nth good end, a second copy of that answer follows on the same connection.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import re
import time

HOLD = 0.25  # seconds for which a call for news is held
NOTE_INTERVAL = 0.5  # seconds between two notes on progress
FORGOTTEN_AFTER = 2.0  # seconds without a call after which a query is dropped
KEPT_AFTER_END = 30.0  # seconds for which the answer of an ended query is kept
COST = re.compile(r"-- (\d+) ms")


def rows(ident: str, statement: str) -> bytes:
    """The result of a statement for one request: two rows of three text columns."""
    digest = hashlib.sha256(statement.encode()).hexdigest()[:16]
    return b"".join(f"{ident}\t{digest}\t{row}\n".encode() for row in (1, 2))


class Query:
    """A statement that an engine runs or has run."""

    def __init__(self, ident: str, statement: str, max_ms: int, repeat: bool) -> None:
        self.ident, self.statement, self.repeat = ident, statement, repeat
        cost = COST.search(statement)
        self.cost = 0.0 if repeat else int(cost[1]) / 1000 if cost else 0.05
        self.began = self.asked_at = self.noted_at = time.time()
        self.until = self.began + max_ms / 1000
        self.state = "running"
        self.ended = asyncio.Event()


class Engine:
    """One engine. `fleet` holds what all engines share."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.name, self.fleet, self.queries = f"s-{number:08x}", fleet, {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection, one at a time."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                fields = {}
                for line in head[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                answer, good_end = await self.answer(method, path, fields, body)
                writer.write(answer)
                await writer.drain()
                if good_end:
                    self.fleet.copy_later(self.name, path, writer, answer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method: str, path: str, fields: dict, body: bytes) -> tuple[bytes, bool]:
        """The answer to one call, and whether it is the first good end of a query."""
        if path in ("/stats", "/alive"):
            return respond(200, {"X-Meter": "load_share:0.2;depth:0;x0:0.2;x1:0.2"}), False
        if method == "POST":
            return await self.start(fields, body.decode())
        ident = path.split("/")[2]
        query = self.queries.get(ident)
        if query is None:
            return respond(500), False
        query.asked_at = time.time()
        if method == "DELETE":
            if query.state == "running":
                self.end(query, "given up")
            del self.queries[ident]
            return respond(204), False
        if method == "PUT":
            return respond(204), False
        if path.endswith("/0"):
            return await self.news(query)
        return respond(500), False  # each result has one page

    async def start(self, fields: dict, statement: str) -> tuple[bytes, bool]:
        """Start a statement, unless its key is that of a repeat."""
        ident, key = fields["x-ticket"], fields.get("x-nonce")
        if ident in self.queries:  # it runs here already, or has ended here
            self.record("comes again", self.queries[ident])
            return await self.news(self.queries[ident])
        known = key is not None and time.time() < self.fleet.keys.get(key, 0.0) + self.fleet.key_window
        if key is not None and not known:
            self.fleet.keys[key] = time.time()
        query = self.queries[ident] = Query(ident, statement, int(fields["x-max-ms"]), known)
        self.record("begins", query, cls=fields["x-queue"], repeat=known)
        query.task = asyncio.create_task(self.run(query))
        return await self.news(query)

    async def run(self, query: Query) -> None:
        """Run a statement until its end, its time-out, or until nobody has asked for it for long."""
        done_at = query.began + query.cost
        while query.state == "running":
            now = time.time()
            if now >= done_at:
                self.end(query, "ended")
            elif now >= query.until:
                self.end(query, "timed out")
            elif now >= query.asked_at + FORGOTTEN_AFTER:
                self.end(query, "dropped, not asked for")
            else:
                await asyncio.sleep(max(0.001, min(0.05, done_at - now)))
        if query.state != "ended":
            self.queries.pop(query.ident, None)
            return
        await asyncio.sleep(KEPT_AFTER_END)
        self.queries.pop(query.ident, None)

    def end(self, query: Query, state: str) -> None:
        """End a query and record how."""
        query.state = state
        query.ended.set()
        self.record(state, query)

    async def news(self, query: Query) -> tuple[bytes, bool]:
        """The news of a query: its end, a note, or after a while nothing."""
        try:
            await asyncio.wait_for(query.ended.wait(), HOLD)
        except TimeoutError:
            pass
        query.asked_at = now = time.time()
        if query.state == "ended":
            body = rows(query.ident, query.statement)
            spent = {"X-Batches": "1", "X-Spent": str(round(query.cost * 1000)), "X-Wanted": "64"}
            return respond(200, spent, body), True
        if query.state != "running":
            return respond(500), False
        if now < query.noted_at + NOTE_INTERVAL:
            return respond(202), False
        query.noted_at = now
        share = min(0.99, (now - query.began) / query.cost)
        return respond(202, {"X-Remark": "frac", "X-Num": f"{share:.2f}"}), False

    def record(self, what: str, query: Query, **more: object) -> None:
        """Write one event of a query to the record."""
        self.fleet.record(engine=self.name, what=what, id=query.ident, statement=query.statement[:60], **more)


class Fleet:
    """What all engines share: the keys that were seen, the record, and the trouble."""

    def __init__(self, record: str, copy_every: int, copy_late: float, key_window: float) -> None:
        self.file = open(record, "a", buffering=1)  # noqa: SIM115
        self.copy_every, self.copy_late = copy_every, copy_late
        self.key_window = key_window  # seconds for which a repeat is known by its key
        self.keys: dict[str, float] = {}
        self.good_ends = 0
        self.tasks: set[asyncio.Task] = set()

    def record(self, **fields: object) -> None:
        """Write one line to the record."""
        self.file.write(json.dumps({"at": round(time.time(), 4), **fields}) + "\n")

    def copy_later(self, engine: str, path: str, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send a second copy of some good answers, a little later."""
        self.good_ends += 1
        if self.copy_every and self.good_ends % self.copy_every == 0:
            task = asyncio.create_task(self.copy(engine, writer, answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def copy(self, engine: str, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send the second copy of an answer."""
        await asyncio.sleep(self.copy_late)
        if not writer.is_closing():
            self.record(engine=engine, what="second copy", answer=answer.split(b"\r\n\r\n")[1].decode()[:16])
            writer.write(answer)


def respond(status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Encode an answer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} X\r\n{lines}{length}\r\n".encode() + body


async def main() -> None:
    """Start the engines and serve until ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("count", type=int)
    parser.add_argument("record")
    parser.add_argument("--copy-every", type=int, default=0)
    parser.add_argument("--copy-late-ms", type=float, default=5.0)
    parser.add_argument("--key-window", type=float, default=15.0)
    options = parser.parse_args()
    fleet = Fleet(options.record, options.copy_every, options.copy_late_ms / 1000, options.key_window)
    ports = []
    for number in range(1, options.count + 1):
        server = await asyncio.start_server(Engine(number, fleet).serve, "127.0.0.1", 0, backlog=256)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
