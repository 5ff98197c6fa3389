"""Honest clients of a soak day: each has one connection at a time to one front end, and notes all it does."""

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

from .engines import statement_of, text_of
from .plan import CLASS_NAMES
from .records import ClientConnection, ClientRequest, Reply

MOST_OPEN = 32  # by the protocol
TRY_AGAIN = 0.2  # seconds until a new connection after one that ended or was refused
PATIENT_FOR = 0.5  # seconds past its time in which a client on a straight link still takes an answer
CLUMSY_ODDS, MOST_CLUMSY = 0.1, 8  # that an unusable message goes before a request; on one connection at most
LEAVES = 0.01  # share of requests behind which a client closes its connection with all that is open
LARGE, SMALL = 900, 3  # rows of a result; one in LARGE_ODDS is large
LARGE_ODDS = 30
MOST_FRAME = 64 * 1024


@dataclass(frozen=True)
class Behaviour:
    """What one client does."""

    name: str
    front: str
    rate: float  # requests a second
    straight: bool  # its link delays nothing, so that it may expect each answer in time
    deadlines: tuple[float, ...]  # the longest of each class
    clumsy: bool = False  # sends a message now and then that cannot be used


class SoakClient:
    """Asks until `over`, on a new connection where one ends."""

    def __init__(
        self,
        hub: Hub,
        address: tuple[str, int],
        behaviour: Behaviour,
        rng: random.Random,
        requests: list[ClientRequest],
        over: Callable[[], bool],
    ) -> None:
        self.hub, self.address, self.behaviour, self.rng = hub, address, behaviour, rng
        self.requests, self.over = requests, over
        self.count = 0

    def run(self) -> None:
        """The client's task."""
        while not self.over():
            try:
                conn = connect(self.hub, self.address, time.monotonic() + 2.0)
            except Refused:
                self.hub.sleep(TRY_AGAIN)
                continue
            note = ClientConnection(self.behaviour.front, time.monotonic())
            note.peer, note.link = "{}:{}".format(*conn.sock.getsockname()), self.address
            ClientSession(self, conn, note).run()
            self.hub.sleep(TRY_AGAIN)

    def new_request(self, note: ClientConnection) -> tuple[ClientRequest, str, str]:
        """One more request, with its statement and key."""
        self.count += 1
        cls = self.rng.randrange(len(CLASS_NAMES))
        rows = LARGE if self.rng.randrange(LARGE_ODDS) == 0 else SMALL
        statement = statement_of(self.count, rows)
        timeout = self.behaviour.deadlines[cls] * self.rng.uniform(0.5, 1.0)
        ident = f"{self.rng.getrandbits(64):016x}"
        request = ClientRequest(ident, CLASS_NAMES[cls], note, 0.0, timeout, 0, text_of(statement))
        return request, statement, f"{self.rng.getrandbits(128):032x}"


class ClientSession:
    """One connection: a task that sends and one that reads."""

    def __init__(self, client: SoakClient, conn: Connection, note: ClientConnection) -> None:
        self.client, self.conn, self.note, self.hub = client, conn, note, client.hub
        self.open: dict[int, ClientRequest] = {}
        self.forgotten: set[int] = set()
        self.unusable: set[int] = set()  # numbers of messages that cannot be used
        self.last = self.offset = 0

    def run(self) -> None:
        """Until either side ends it."""
        self.hub.spawn(self._read, name="soak reader")
        rng, rate = self.client.rng, self.client.behaviour.rate
        try:
            while not self.client.over() and self.conn.open:
                if len(self.open) < MOST_OPEN:
                    self._blunder()
                    self._send()
                    if rng.random() < LEAVES:
                        break
                self.hub.sleep(min(5.0, rng.expovariate(rate)))
        except (Closed, TimedOut):
            pass
        if self.note.ended_at is None:
            self.note.closed_at = time.monotonic()
        self.conn.close()

    def _blunder(self) -> None:
        """A call of what is not there: it gets an exception, and what lies behind it is not concerned."""
        clumsy = self.client.behaviour.clumsy and len(self.unusable) < MOST_CLUMSY
        if clumsy and self.client.rng.random() < CLUMSY_ODDS:
            self.last += 1
            self.unusable.add(self.last)
            self._write(thrift.frame(thrift.CALL, "nobody", self.last, b""))

    def _send(self) -> None:
        request, statement, key = self.client.new_request(self.note)
        self.last += 1
        fields = {
            "kind": request.cls,
            "req": request.id,
            "timeout": str(int(request.timeout * 1000)),
            "owner": "main",
            "opkey": key,
        }
        body = thrift.field(thrift.MAP, 1, thrift.text_map(fields)) + thrift.field(
            thrift.STRING, 2, thrift.blob(statement.encode())
        )
        self.open[self.last] = request
        request.sent = time.monotonic()
        request.offset = self._write(thrift.frame(thrift.CALL, "serve", self.last, body))
        request.sent = time.monotonic()
        self.client.requests.append(request)
        patience = request.timeout + (PATIENT_FOR if self.client.behaviour.straight else 0.0)
        self.hub.timers.after(patience, self.hub.spawn, self._give_up, self.last)

    def _write(self, data: bytes) -> int:
        self.offset += len(data)
        offset = self.offset
        self.conn.write(data, time.monotonic() + 60.0)
        return offset

    def _give_up(self, number: int) -> None:
        request = self.open.pop(number, None)
        if request is None or not self.conn.open:
            return
        self.forgotten.add(number)
        request.forgotten_at = time.monotonic()
        argument = thrift.field(thrift.I32, 1, struct.pack(">i", number))
        try:
            request.forget_offset = self._write(thrift.frame(thrift.ONEWAY, "forget", 0, argument))
        except (Closed, TimedOut):
            pass  # the reader notes the end

    def _read(self) -> None:
        try:
            while True:
                data, start, end = self.conn.frame(MOST_FRAME, time.monotonic() + 3600.0)
                self._heard(data[start:end])
        except Malformed as why:
            self.note.faults.append(f"unreadable answer: {why}")
        except (Closed, TimedOut) as why:
            if self.conn.open and self.note.closed_at is None:
                self.note.ended_at = time.monotonic()
                if not self.conn.over:
                    self.note.faults.append(f"unreadable answer: {why}")
        self.conn.close()

    def _heard(self, frame: bytes) -> None:
        message = thrift.read_message(frame)
        request = self.open.pop(message.seqid, None)
        if request is None:
            if message.seqid not in self.forgotten | self.unusable:
                self.note.faults.append(f"an answer to {message.seqid}, which is not open")
            self.forgotten.discard(message.seqid)
            return
        request.answered_at = time.monotonic()
        if message.kind != thrift.REPLY or not message.args:
            request.reply = Reply.FAILED if message.kind == thrift.EXCEPTION else Reply.UNREADABLE
        elif 0 in message.args:
            request.reply = Reply.SERVED
            request.wrong = message.args[0].get(1) != request.expected
        else:
            request.reply = Reply.REFUSED if 1 in message.args else Reply.FAILED
