"""The platform's front: framed Thrift, up to 32 open requests a connection."""

from __future__ import annotations

import re
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from ..core.books import Asked, Call, Failed, Final, Left, Refused, Served
from ..net.conn import Connection
from ..net.hub import Closed, Hub, Signal, TimedOut
from ..wire import Malformed, thrift
from ..wire.sql import table_group

MOST_FRAME = 64 * 1024
MOST_OPEN = 32  # requests open on a connection, as the protocol has it
HOLDOFF = 1000  # milliseconds that a client with more than that should stay away
MOST_BAD = 16  # messages that cannot be used, after which a connection is closed
FIRST_FOR = 2.0  # seconds for the first byte; later a connection may be quiet for good
FRAME_FOR = 2.0  # seconds between two pieces of a frame: some clients write slowly
WHOLE_FOR = 10.0  # seconds for a whole frame from its first byte, as long as an answer may take
WRITE_FOR = 10.0  # seconds for the writing of one answer
MARGIN = 0.1  # seconds of a client's time kept back for the way of the answer; being behind comes on top
TURN = 8  # messages of one client taken at a time, if so many lie there
BEHIND = 0.02  # seconds that what is ready may wait, so that the 4 turns of 32 messages stay under 0.1
FORGET = b"\x80\1\0\4\0\0\0\x06forget"  # how such a message begins
HEX, PRINTABLE = b"0123456789abcdefABCDEF", re.compile(rb"[!-~]+")


class Service:
    """What the connections of this front share."""

    def __init__(
        self,
        hub: Hub,
        classes: list[str],
        keyed: list[bool],
        tenants: list[str],
        post: Callable[[Any], None],
        well: Callable[[], bool],
        shed_after: tuple[float, ...] | None = None,
        come_back: float = 0.0,
    ) -> None:
        self.shed_after = shed_after  # by class: how far behind the module takes no more of it
        self.shed_least = min(shed_after, default=0.0) if shed_after else float("inf")
        self.shed = {"holdoff": str(round(come_back * 1000))} if come_back > 0 else {}
        self.hub, self.classes, self.keyed, self.tenants = hub, classes, keyed, tenants
        self.post, self.well = post, well
        self.class_of = {name.encode(): at for at, name in enumerate(classes)}
        self.tenant_of = {name.encode(): at for at, name in enumerate(tenants)}
        self.writing = 0  # connections with answers on their way

    def serve(self, conn: Connection) -> None:
        """A connection's task, from its first frame to its end."""
        Session(self, conn).run()


class Session:
    """One client's connection: a task that reads, and one that writes while there is something to write."""

    def __init__(self, service: Service, conn: Connection) -> None:
        self.service, self.conn = service, conn
        self.open: dict[int, Call] = {}
        self.fresh: list[bytes] = []  # parts of answers that go out together, before the next look
        self.answers: deque[bytes] = deque()  # those that the client does not take at once
        self.busy = False
        self.bad = 0  # messages that could not be used
        self.deaf = False  # nothing more is taken, but for what gives a request up
        self.last = 0  # sequence number of the last call: they start at 1 and count up
        self.written: Signal | None = None  # the end waits for the writer
        self.unseen = False  # something was read that nobody has looked through
        self.forgotten: set[int] = set()  # numbers of calls behind which a `forget` lies that has been read

    def run(self) -> None:
        """Read until the client closes, or is to be read no more; what was taken gets its answer before the
        end, unless its client has gone. The connection is left for its orderly close."""
        try:
            self._take_all()
        except Closed as why:
            self._note_end(str(why))
        except TimedOut:
            self._note_end("no message in time")
        except Exception:
            self.service.hub.report("a thrift connection", traceback.format_exc())
        self._see_out()

    def _note_end(self, reason: str) -> None:
        """For the log, unless it is the ordinary one: a client that ends with nothing open."""
        if self.conn.busy or not self.conn.over:
            self.conn.end_reason = self.conn.end_reason or reason

    def _take_all(self) -> None:
        conn = self.conn
        self._frame(time.monotonic() + FIRST_FOR)
        conn.spoke = True
        taken = 0
        while True:
            if self.deaf or self.bad >= MOST_BAD or len(self.answers) > MOST_OPEN:
                self.deaf = conn.draining = True  # its last answer ends it
                conn.end_reason = conn.end_reason or "messages that cannot be used"
                if not conn.busy:
                    return
            taken = taken + 1 if len(conn.incoming) else 0
            if taken >= TURN:
                taken, self.unseen = 0, True
                self.service.hub.give_way()  # one client's flood is not to starve the others
            if self.unseen and len(conn.incoming):
                self._look_ahead()
            self._frame(None)

    def _look_ahead(self) -> None:
        """Before messages are taken behind others: whether their client still waits. Its end, or a `forget`,
        may lie behind much else, and nothing may begin later than 0.1 s after it. The system is asked where
        it may hold more, or where the turns of 32 messages may take that long."""
        self.unseen, conn = False, self.conn
        if (not conn.dry or self.service.hub.lag() > BEHIND) and conn.hung_up():
            self._left()
            raise Closed("the client has gone")
        inbox = conn.incoming
        if inbox.find(FORGET) < 0:
            return
        data, at = inbox.peek(len(inbox)), 0
        while at + 4 <= len(data):
            start, at = at + 4, at + 4 + int.from_bytes(data[at : at + 4], "big")
            if start < at <= len(data) and data.startswith(FORGET, start):
                try:
                    self._forget((thrift.read_message(data[start:at]).args or {}).get(1), ahead=True)
                except Malformed:
                    return  # taken as such in its turn

    def _forget(self, number: Any, ahead: bool = False) -> None:
        """A call that its client gives up: it may be none that is open, and one whose frame lies `ahead`."""
        if not isinstance(number, int):
            return
        call = self.open.pop(number, None)
        if call is not None:
            self.conn.busy -= 1
            call.gone = True
            self.service.post(Left(call))
        elif ahead and number > self.last:
            self.forgotten.add(number)
        else:
            self.forgotten.discard(number)

    def _see_out(self) -> None:
        """Take nothing more. What comes is discarded until all owed is written, or the client ends."""
        conn, hub = self.conn, self.service.hub
        conn.draining, conn.begun = True, False  # its last answer ends it, if nothing lies unread
        try:
            while conn.busy and not conn.over:
                conn.discard()
                conn.fill(None)  # each request that is open ends at its deadline
                hub.give_way()
        except Closed:
            pass
        conn.discard()
        self._left()
        if self.fresh:
            self._flush()  # what has been answered goes out before the end, also in the round of the client's
        while self.busy and conn.open:
            self.written = Signal(hub)
            self.written.wait(None)  # the writer's own time is bounded

    def _left(self) -> None:
        """The client has gone: what is open has lost it."""
        self.conn.busy -= len(self.open)
        for call in self.open.values():
            call.gone = True
            self.conn.abandoned.append(call.id)
            self.service.post(Left(call))
        self.open.clear()

    def _frame(self, until: float | None) -> None:
        conn = self.conn
        if not len(conn.incoming):
            if conn.draining:
                conn.end_if_quiet()
            conn.fill(until)
            self.unseen = True
        conn.begun = True
        data, start, end = conn.frame(MOST_FRAME, time.monotonic() + WHOLE_FOR, FRAME_FOR)
        conn.begun = False
        if not start:
            self.unseen = True  # it did not come whole: more was read with its rest
        conn.used = arrived = time.monotonic()
        if self.deaf and not data.startswith(FORGET, start):
            return
        usual = thrift.read_serve(data, start, end)
        if usual is not None and usual[0] == self.last + 1 and len(self.open) < MOST_OPEN:
            self.last = usual[0]
            if self._behind(usual[1]):
                self._say(thrift.thrown("serve", usual[0], 1, self.service.shed))
                return
            self._serve(usual[0], usual[1], usual[2], arrived)
            return
        try:
            message = thrift.read_message(data[start:end])
        except Malformed:
            self.deaf = True  # its frames are sound so far: a `forget` among them still counts
            return
        self._take(message, arrived)

    def _behind(self, fields: dict[bytes, bytes]) -> bool:
        """Whether the module would refuse it, as far behind as this program is: told before it costs more."""
        service = self.service
        lag = service.hub.lag()
        if lag <= service.shed_least:
            return False
        cls = service.class_of.get(fields.get(b"kind", b""))
        return cls is not None and lag > service.shed_after[cls]

    def _take(self, message: thrift.Message, arrived: float) -> None:
        name, seqid, args = message.name, message.seqid, message.args
        if message.kind == thrift.ONEWAY and name == "forget":
            self._forget((args or {}).get(1))
        elif message.kind != thrift.CALL:
            self.bad += 1
            if message.kind != thrift.ONEWAY:
                self._say(thrift.broken(name, seqid, thrift.PROTOCOL, "not a call"))
        elif seqid != self.last + 1:
            self.bad += 1
            self._say(thrift.broken(name, seqid, thrift.BAD_SEQUENCE, f"{self.last + 1} is next"))
        else:
            self.last = seqid
            self._called(name, seqid, args, arrived)

    def _called(self, name: str, seqid: int, args: dict[int, Any] | None, arrived: float) -> None:
        if args is None:
            self.bad += 1
            self._say(thrift.broken(name, seqid, thrift.PROTOCOL, "arguments cannot be read"))
        elif name == "isWell":
            self._say(thrift.answer(name, seqid, b"", {}, self.service.well()))
        elif name != "serve":
            self.bad += 1
            self._say(thrift.broken(name, seqid, thrift.UNKNOWN_METHOD, "no such method"))
        elif len(self.open) >= MOST_OPEN:
            self.bad += 1
            self._say(thrift.thrown(name, seqid, 1, {"holdoff": str(HOLDOFF)}))
        else:
            fields = args.get(1)
            texts = (
                {k: v for k, v in fields.items() if isinstance(k, bytes) and isinstance(v, bytes)}
                if (isinstance(fields, dict))
                else None
            )
            self._serve(seqid, texts, args.get(2), arrived)

    def _serve(self, seqid: int, fields: dict[bytes, bytes] | None, statement: Any, arrived: float) -> None:
        if seqid in self.forgotten:
            return
        try:
            call = self._call(seqid, fields, statement, arrived)
        except ValueError as why:
            self.bad += 1
            self._say(thrift.thrown("serve", seqid, 2, {"reason": str(why)}))
            return
        self.open[seqid] = call
        self.conn.busy += 1
        self.service.post(Asked(call))

    def _call(self, seqid: int, fields: dict[bytes, bytes] | None, statement: Any, arrived: float) -> Call:
        """The request; ValueError names the field that cannot be used."""
        service = self.service
        if fields is None or not isinstance(statement, bytes):
            raise ValueError("fields or body missing")
        cls = service.class_of.get(fields.get(b"kind", b""))
        if cls is None:
            raise ValueError("kind: no such class")
        ident = fields.get(b"req", b"")
        if len(ident) != 16 or ident.strip(HEX):
            raise ValueError("req: 16 hex digits are wanted")
        wait = fields.get(b"timeout", b"")
        if not wait.isdigit() or len(wait) > 9:
            raise ValueError("timeout: milliseconds are wanted")
        tenant = service.tenant_of.get(fields.get(b"owner", b"")) if service.tenants else 0
        if tenant is None:
            raise ValueError("owner: no such tenant")
        key = fields.get(b"opkey") or None
        if service.keyed[cls] and key is None:
            raise ValueError("opkey: missing")
        if key is not None and (len(key) > 256 or not PRINTABLE.fullmatch(key)):
            raise ValueError("opkey: cannot be passed on")
        if not statement.strip():
            raise ValueError("body: no statement")
        return Call(
            ident.decode("ascii"),
            cls,
            tenant,
            statement,
            key and key.decode("ascii"),
            table_group(statement.decode("utf-8", "replace")),
            arrived,
            max(0.0, int(wait) / 1000 - MARGIN - service.hub.lag()),
            self._answer,
            tag=seqid,
        )

    def _answer(self, call: Call, final: Final) -> None:
        seqid = call.tag
        if self.open.get(seqid) is not call:
            return
        del self.open[seqid]
        self.conn.busy -= 1
        self.conn.used = time.monotonic()
        match final:
            case Served(result) if result.form != "text":
                self._say(thrift.thrown("serve", seqid, 2, {"reason": "the result is not text"}))
            case Served(result):
                self._say(*thrift.answer_parts(seqid, result.pages))
            case Refused(come_back):
                hint = {"holdoff": str(round(come_back * 1000))} if come_back > 0 else {}
                self._say(thrift.thrown("serve", seqid, 1, hint))
            case Failed(reason):
                self._say(thrift.thrown("serve", seqid, 2, {"reason": reason} if reason else {}))

    def _say(self, *parts: bytes) -> None:
        """Pass it on with all that is said before the next look at descriptors, in one write; a writer exists
        only while something of it is left."""
        if self.busy:
            self.answers.append(b"".join(parts))
            return
        if not self.fresh:
            self.conn.busy += 1  # it must not give way to another before this has gone out
            self.service.hub.soon(self._flush)
        self.fresh += parts

    def _flush(self) -> None:
        parts, self.fresh = self.fresh, []
        if not parts:
            return
        self.conn.busy -= 1
        if not self.conn.open:
            return
        try:
            rest = self.conn.offer_parts(parts)
        except Closed:
            self.conn.close()
            self._left()
            return
        if rest:
            self.answers.append(rest)
            self.busy = True
            self.conn.busy += 1
            self.service.writing += 1
            self.service.hub.spawn(self._write, name="thrift writer")
        elif self.conn.draining:
            self.conn.end_if_quiet()

    def _write(self) -> None:
        try:
            while self.answers:
                self.conn.write(self.answers.popleft(), time.monotonic() + WRITE_FOR)
        except (Closed, TimedOut):
            self.conn.close()  # the client can tell that the answer is not whole
            self._left()
        finally:
            self.busy = False
            self.conn.busy -= 1
            self.service.writing -= 1
            if self.conn.draining:
                self.conn.end_if_quiet()
            if self.written is not None:
                self.written.set()
