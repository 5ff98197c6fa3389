"""The platform's front: framed Thrift, up to 32 open requests a connection.

No clock ends a connection, and nothing that was sent whole is discarded: a link may stand still for as long
as it likes, and each message that comes gets its answer. What ends a connection: its client, bytes that are
no messages, a shutdown, or another's need for its place.
"""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from typing import Any

from ..core.books import Asked, Call, Failed, Final, Left, Refused, Served
from ..net.conn import Connection
from ..net.heldbytes import PartialMessageBytes
from ..net.hub import Closed, Hub
from ..wire import Malformed, thrift
from .thrift_answers import AnswerWriter, UnreadBytes
from .thrift_requests import RequestReader

MOST_FRAME = 64 * 1024
MOST_HELD = 1024 * 1024  # bytes of messages that have not come whole, over all connections
MOST_OPEN = 32  # requests open on a connection, as the protocol has it
MOST_QUEUED = 4 * MOST_OPEN  # answers that a client does not take, beyond which it is not read
READER_PAUSE = 0.05  # seconds between two looks whether it takes them
AWAY = {"holdoff": "1000"}  # milliseconds that a client with more open than that should stay away
MOST_BAD = 16  # messages that cannot be used, after which a connection is to end
MOST_MALFORMED = 16  # that cannot even be answered, after which what comes counts as no messages
TURN = 8  # messages of one client taken at a time, if so many lie there
BEHIND = 0.02  # seconds that what is ready may wait, so that the 4 turns of 32 messages stay under 0.1
FORGET = b"\x80\1\0\4\0\0\0\x06forget"  # how such a message begins


class ClientGone(Closed):
    """The client has ended its side, behind bytes that nobody has read."""


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
        self.hub, self.post, self.well = hub, post, well
        self.reader = RequestReader(classes, keyed, tenants)
        self.partial_bytes = PartialMessageBytes(MOST_HELD)
        self.unread = UnreadBytes()

    def serve(self, conn: Connection) -> None:
        """A connection's task, from its first frame to its end."""
        Session(self, conn).run()


class Session:
    """One client's connection: a task that reads, and a writer with its own where the client is slow."""

    def __init__(self, service: Service, conn: Connection) -> None:
        self.service, self.conn = service, conn
        self.writer = AnswerWriter(service.hub, conn, service.unread)
        self.open: dict[int, Call] = {}
        self.bad = self.malformed = 0  # messages that could not be used, or not even be answered
        self.refusing = False  # to end: what still comes is answered at once, and not taken
        self.last = 0  # sequence number of the last call: they start at 1 and count up
        self.unseen = False  # something was read that nobody has looked through
        self.forgotten: set[int] = set()  # numbers of calls behind which a `forget` lies that has been read
        conn.partial_bytes = service.partial_bytes

    def run(self) -> None:
        """Read until the client ends, or what comes is no messages; what was taken gets its answer before the
        end. The connection is left for its orderly close."""
        try:
            self._take_all()
        except Closed as why:
            self._note_end(str(why))
            if self.conn.over or isinstance(why, ClientGone):
                self._answer_gone()
        except Exception:
            self.service.hub.report("a thrift connection", traceback.format_exc())
        self._see_out()

    def _note_end(self, reason: str) -> None:
        """For the log, unless it is the ordinary one: a client that ends with nothing open."""
        if self.conn.busy or not self.conn.over:
            self.conn.end_reason = self.conn.end_reason or reason

    # ---- reading --------------------------------------------------------------------------------------

    def _take_all(self) -> None:
        conn, hub, taken = self.conn, self.service.hub, 0
        while True:
            if self.writer.queued > MOST_QUEUED:
                self._await_reader()
            taken = taken + 1 if len(conn.incoming) else 0
            if taken >= TURN:
                taken, self.unseen = 0, True
                hub.give_way()  # one client's flood is not to starve the others
            if self.unseen and len(conn.incoming):
                self._look_ahead()
            self._frame()
            conn.spoke = True

    def _await_reader(self) -> None:
        """More lies unread than the protocol lets a client have open: what it sends can wait."""
        while self.writer.queued > MOST_QUEUED:
            self.service.hub.sleep(READER_PAUSE)
            self._check_there()

    def _check_there(self) -> None:
        """Closed where the client has ended, also behind bytes that nobody has read."""
        if not self.conn.open:
            raise Closed("closed here")
        if self.conn.hung_up():
            raise ClientGone("the client has gone")

    def _look_ahead(self) -> None:
        """Before messages are taken behind others: whether their client still waits. Its end, or a `forget`,
        may lie behind much else, and nothing may begin later than 0.1 s after it. The system is asked where
        it may hold more, or where the turns of 32 messages may take that long."""
        self.unseen, conn = False, self.conn
        if not conn.wait_before_read or self.service.hub.lag() > BEHIND:
            self._check_there()
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

    def _frame(self) -> None:
        conn = self.conn
        if not len(conn.incoming):
            if conn.draining:
                conn.close_if_idle()
            conn.fill(None)
            self.unseen = True
        conn.mid_message = True
        data, start, end = conn.frame(MOST_FRAME, None)
        conn.mid_message = False
        if not start:
            self.unseen = True  # it did not come whole: more was read with its rest
        conn.last_used_at = arrived = time.monotonic()
        try:
            self._message(data, start, end, arrived)
        except Closed:
            raise
        except Exception:
            self.service.hub.report("a thrift message", traceback.format_exc())
            self._answer_fault(data[start:end])

    def _message(self, data: bytes, start: int, end: int, arrived: float) -> None:
        if self.refusing:
            self._refuse(data[start:end])
            return
        usual = thrift.read_serve(data, start, end)
        if usual is not None and usual[0] == self.last + 1 and len(self.open) < MOST_OPEN:
            self.last = usual[0]
            if self._behind(usual[1]):
                self.writer.say(usual[0], thrift.thrown("serve", usual[0], 1, self.service.shed))
                return
            self._serve(usual[0], usual[1], usual[2], arrived)
            return
        try:
            message = thrift.read_message(data[start:end])
        except Malformed:
            self._count_malformed()
            return
        self._take(message, arrived)

    def _count_bad(self) -> None:
        self.bad += 1
        if self.bad >= MOST_BAD:
            self._give_up_client()

    def _count_malformed(self) -> None:
        """It has no number to be answered by. The frames are sound: what lies behind it may be a request."""
        self._give_up_client()
        self.malformed += 1
        if self.malformed > MOST_MALFORMED:
            raise Closed("messages that cannot be read")

    def _give_up_client(self) -> None:
        """Its connection ends behind the last answer, once nothing lies unread."""
        self.refusing = self.conn.draining = True
        self.conn.end_reason = self.conn.end_reason or "messages that cannot be used"

    def _refuse(self, frame: bytes) -> None:
        """A message of a client that is given up: a `forget` counts, each call is answered at once."""
        try:
            message = thrift.read_message(frame)
        except Malformed:
            self._count_malformed()
            return
        if message.kind == thrift.ONEWAY and message.name == "forget":
            self._forget((message.args or {}).get(1))
        elif message.kind == thrift.CALL and message.name == "serve":
            self.writer.say(message.seqid, thrift.thrown("serve", message.seqid, 1, AWAY))
        elif message.kind != thrift.ONEWAY:
            self._break(message, thrift.PROTOCOL, "too many messages that cannot be used")

    def _answer_fault(self, frame: bytes) -> None:
        """An error of ours in a message costs that one alone."""
        try:
            message = thrift.read_message(frame)
        except Malformed:
            return
        if message.kind == thrift.CALL and message.seqid not in self.open:
            self.last = max(self.last, message.seqid)
            self._break(message, thrift.INTERNAL, "internal error")

    def _behind(self, fields: dict[bytes, bytes]) -> bool:
        """Whether the module would refuse it, as far behind as this program is: told before it costs more."""
        service = self.service
        lag = service.hub.lag()
        if lag <= service.shed_least:
            return False
        cls = service.reader.class_of.get(fields.get(b"kind", b""))
        return cls is not None and lag > service.shed_after[cls]

    def _take(self, message: thrift.Message, arrived: float) -> None:
        name, seqid, args = message.name, message.seqid, message.args
        if message.kind == thrift.ONEWAY and name == "forget":
            self._forget((args or {}).get(1))
        elif message.kind != thrift.CALL:
            self._count_bad()
            if message.kind != thrift.ONEWAY:
                self._break(message, thrift.PROTOCOL, "not a call")
        elif seqid != self.last + 1:
            self._count_bad()
            self._break(message, thrift.BAD_SEQUENCE, f"{self.last + 1} is next")
        else:
            self.last = seqid
            self._called(message, args, arrived)

    def _called(self, message: thrift.Message, args: dict[int, Any] | None, arrived: float) -> None:
        name, seqid = message.name, message.seqid
        if args is None:
            self._count_bad()
            self._break(message, thrift.PROTOCOL, "arguments cannot be read")
        elif name == "isWell":
            self.writer.say(seqid, thrift.answer(name, seqid, b"", {}, self.service.well()))
        elif name != "serve":
            self._count_bad()
            self._break(message, thrift.UNKNOWN_METHOD, "no such method")
        elif len(self.open) >= MOST_OPEN:
            self._count_bad()
            self.writer.say(seqid, thrift.thrown(name, seqid, 1, AWAY))
        else:
            self._serve(seqid, _texts(args.get(1)), args.get(2), arrived)

    def _break(self, message: thrift.Message, kind: int, text: str) -> None:
        """Answer it by an application exception."""
        self.writer.say(message.seqid, thrift.broken(message.name, message.seqid, kind, text))

    # ---- requests -------------------------------------------------------------------------------------

    def _serve(self, seqid: int, fields: dict[bytes, bytes] | None, statement: Any, arrived: float) -> None:
        if seqid in self.forgotten:
            return
        lag, lay = self.service.hub.lag(), arrived - self.conn.received_after
        spent = lag if lag > lay else lay
        try:
            call = self.service.reader.read(fields, statement, arrived, spent, self._answer, seqid)
        except ValueError as why:
            self._count_bad()
            self.writer.say(seqid, thrift.thrown("serve", seqid, 2, {"reason": str(why)}))
            return
        self.open[seqid] = call
        self.conn.busy += 1
        self.conn.requests += 1
        self.service.post(Asked(call))

    def _answer(self, call: Call, final: Final) -> None:
        seqid = call.tag
        if self.open.get(seqid) is not call:
            return
        del self.open[seqid]
        self.conn.busy -= 1
        self.conn.last_used_at = time.monotonic()
        match final:
            case Served(result) if result.form != "text":
                self._fail(seqid, "the result is not text")
            case Served(result):
                self.writer.say(seqid, *thrift.answer_parts(seqid, result.pages))
            case Refused(come_back):
                hint = {"holdoff": str(round(come_back * 1000))} if come_back > 0 else {}
                self.writer.say(seqid, thrift.thrown("serve", seqid, 1, hint))
            case Failed(reason):
                self._fail(seqid, reason)

    def _fail(self, seqid: int, reason: str) -> None:
        self.writer.say(seqid, thrift.thrown("serve", seqid, 2, {"reason": reason} if reason else {}))

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
            self.writer.forget(number)

    # ---- the end --------------------------------------------------------------------------------------

    def _see_out(self) -> None:
        """Take nothing more: what comes cannot be read as messages, or the client has gone. It is discarded
        until all owed is written, or the client ends."""
        conn, hub = self.conn, self.service.hub
        conn.draining, conn.mid_message, conn.read_stop_reason = True, False, ""  # its last answer ends it
        try:
            while conn.busy and not conn.over:
                conn.discard()
                conn.fill(None)  # each request that is open ends at its deadline
                hub.give_way()
        except Closed:
            pass
        conn.discard()
        self._leave()
        self.writer.flush()  # what has been answered goes out before the end
        self.writer.wait()

    def _answer_gone(self) -> None:
        """The client has ended its side. One that has closed reads nothing more, but one that has only shut
        its write side may: each request that is open gets an answer, and is given up."""
        for seqid in self.open:
            self._fail(seqid, "the client has ended its side")
        self._leave()

    def _leave(self) -> None:
        """The client has gone: what is open has lost it."""
        self.conn.busy -= len(self.open)
        for call in self.open.values():
            call.gone = True
            self.conn.unanswered.append(call.id)
            self.service.post(Left(call))
        self.open.clear()


def _texts(fields: Any) -> dict[bytes, bytes] | None:
    """The entries of a map that are texts; None where it is no map."""
    if not isinstance(fields, dict):
        return None
    return {
        key: value for key, value in fields.items() if isinstance(key, bytes) and isinstance(value, bytes)
    }
