"""Regular clients of a soak run: each keeps one connection at a time to a front end and records its work."""

from __future__ import annotations

import random
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

from aspenrill.net.conn import Connection
from aspenrill.net.connecting import Refused, connect
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.wire import Malformed, thrift

from .engines import expected_text, make_statement
from .plan import CLASS_NAMES
from .records import ClientConnection, ClientRequest, Reply

MAX_OPEN_REQUESTS = 32  # per connection, by the protocol
RECONNECT_DELAY = 0.2  # seconds after a connection ended or was refused
ANSWER_GRACE = (
    0.5  # seconds after the timeout for which a client on an undelayed link still accepts an answer
)
UNUSABLE_ODDS = 0.1  # probability of an unusable call before a request
MAX_UNUSABLE = 8  # unusable calls on one connection
CLOSE_ODDS = 0.01  # share of requests after which a client closes its connection despite open requests
LARGE_ROWS = 900  # rows of a large result
SMALL_ROWS = 3  # rows of any other
LARGE_ODDS = 30  # one result in this many is large
MAX_FRAME = 64 * 1024


@dataclass(frozen=True)
class ClientBehaviour:
    """How one client behaves."""

    name: str
    front: str
    rate: float  # requests a second
    undelayed: bool  # its link adds no delay, so every answer is due in time
    deadlines: tuple[float, ...]  # longest timeout by class, in seconds
    sends_unusable: bool = False  # now and then calls a function that does not exist


class SoakClient:
    """Sends requests until `finished` returns true, and reconnects when its connection ends."""

    def __init__(
        self,
        hub: Hub,
        address: tuple[str, int],
        behaviour: ClientBehaviour,
        rng: random.Random,
        requests: list[ClientRequest],
        finished: Callable[[], bool],
    ) -> None:
        self.hub, self.address, self.behaviour, self.rng = hub, address, behaviour, rng
        self.requests, self.finished = requests, finished
        self.count = 0

    def run(self) -> None:
        """Connect and run sessions, one after another (the client's task)."""
        while not self.finished():
            try:
                conn = connect(self.hub, self.address, time.monotonic() + 2.0)
            except Refused:
                self.hub.sleep(RECONNECT_DELAY)
                continue
            record = ClientConnection(self.behaviour.front, time.monotonic())
            record.peer, record.link = "{}:{}".format(*conn.sock.getsockname()), self.address
            ClientSession(self, conn, record).run()
            self.hub.sleep(RECONNECT_DELAY)

    def new_request(self, record: ClientConnection) -> tuple[ClientRequest, str, str]:
        """Return the next request with its statement and its operation key."""
        self.count += 1
        cls = self.rng.randrange(len(CLASS_NAMES))
        rows = LARGE_ROWS if self.rng.randrange(LARGE_ODDS) == 0 else SMALL_ROWS
        statement = make_statement(self.count, rows)
        timeout = self.behaviour.deadlines[cls] * self.rng.uniform(0.5, 1.0)
        request_id = f"{self.rng.getrandbits(64):016x}"
        request = ClientRequest(
            request_id, CLASS_NAMES[cls], record, 0.0, timeout, 0, expected_text(statement)
        )
        return request, statement, f"{self.rng.getrandbits(128):032x}"


class ClientSession:
    """One connection, with a task that sends and a task that reads."""

    def __init__(self, client: SoakClient, conn: Connection, record: ClientConnection) -> None:
        self.client, self.conn, self.record, self.hub = client, conn, record, client.hub
        self.open: dict[int, ClientRequest] = {}
        self.cancelled: set[int] = set()
        self.unusable_numbers: set[int] = set()  # sequence numbers of the calls of an unknown function
        self.last_number = self.bytes_written = 0

    def run(self) -> None:
        """Send requests until either side ends the connection."""
        self.hub.spawn(self._read, name="soak reader")
        rng, rate = self.client.rng, self.client.behaviour.rate
        try:
            while not self.client.finished() and self.conn.open:
                if len(self.open) < MAX_OPEN_REQUESTS:
                    self._maybe_send_unusable()
                    self._send()
                    if rng.random() < CLOSE_ODDS:
                        break
                self.hub.sleep(min(5.0, rng.expovariate(rate)))
        except (Closed, TimedOut):
            pass
        if self.record.ended_at is None:
            self.record.closed_at = time.monotonic()
        self.conn.close()

    def _maybe_send_unusable(self) -> None:
        """Now and then call an unknown function: it gets an exception, and later requests are unaffected."""
        allowed = self.client.behaviour.sends_unusable and len(self.unusable_numbers) < MAX_UNUSABLE
        if allowed and self.client.rng.random() < UNUSABLE_ODDS:
            self.last_number += 1
            self.unusable_numbers.add(self.last_number)
            self._write(thrift.frame(thrift.CALL, "nobody", self.last_number, b""))

    def _send(self) -> None:
        request, statement, key = self.client.new_request(self.record)
        self.last_number += 1
        fields = {
            "kind": request.cls,
            "req": request.id,
            "timeout": str(int(request.timeout * 1000)),
            "owner": "main",
            "opkey": key,
        }
        body = thrift.field(thrift.MAP, 1, thrift.text_map(fields)) + thrift.field(
            thrift.STRING, 2, thrift.binary(statement.encode())
        )
        self.open[self.last_number] = request
        request.sent_at = time.monotonic()
        request.end_offset = self._write(thrift.frame(thrift.CALL, "serve", self.last_number, body))
        request.sent_at = time.monotonic()
        self.client.requests.append(request)
        timeout = request.timeout + (ANSWER_GRACE if self.client.behaviour.undelayed else 0.0)
        self.hub.timers.after(timeout, self.hub.spawn, self._cancel, self.last_number)

    def _write(self, data: bytes) -> int:
        self.bytes_written += len(data)
        bytes_written = self.bytes_written
        self.conn.write(data, time.monotonic() + 60.0)
        return bytes_written

    def _cancel(self, number: int) -> None:
        request = self.open.pop(number, None)
        if request is None or not self.conn.open:
            return
        self.cancelled.add(number)
        request.cancelled_at = time.monotonic()
        argument = thrift.field(thrift.I32, 1, struct.pack(">i", number))
        try:
            request.cancel_offset = self._write(thrift.frame(thrift.ONEWAY, "forget", 0, argument))
        except (Closed, TimedOut):
            pass  # the reading task records the end

    def _read(self) -> None:
        try:
            while True:
                data, start, end = self.conn.read_frame(MAX_FRAME, time.monotonic() + 3600.0)
                self._on_answer(data[start:end])
        except Malformed as why:
            self.record.faults.append(f"unreadable answer: {why}")
        except (Closed, TimedOut) as why:
            if self.conn.open and self.record.closed_at is None:
                self.record.ended_at = time.monotonic()
                if not self.conn.disconnected:
                    self.record.faults.append(f"unreadable answer: {why}")
        self.conn.close()

    def _on_answer(self, frame: bytes) -> None:
        message = thrift.read_message(frame)
        request = self.open.pop(message.seqid, None)
        if request is None:
            if message.seqid not in self.cancelled | self.unusable_numbers:
                self.record.faults.append(f"an answer to {message.seqid}, which is not open")
            self.cancelled.discard(message.seqid)
            return
        request.answered_at = time.monotonic()
        if message.kind != thrift.REPLY or not message.args:
            request.reply = Reply.FAILED if message.kind == thrift.EXCEPTION else Reply.UNREADABLE
        elif 0 in message.args:
            request.reply = Reply.SERVED
            request.wrong = message.args[0].get(1) != request.expected
        else:
            request.reply = Reply.REFUSED if 1 in message.args else Reply.FAILED
