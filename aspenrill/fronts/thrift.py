"""The Thrift front: framed Thrift with up to 32 open requests on a connection.

There are no read or write time-outs and no complete message is discarded: a link may stall for any time,
and each message gets its answer. A connection is closed by its client, after malformed input, at shutdown,
or when it is evicted in favour of another.
"""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from typing import Any

from ..core.books import ClientLeft, ClientRequest, Failed, Final, RequestReceived
from ..net.conn import MIN_READ_SIZE, Connection
from ..net.hub import Closed, Hub
from ..net.partialbytes import PartialMessageBytes
from ..net.turns import Turns
from ..wire import Malformed, thrift
from .misuse import MisuseCounter
from .statements import StatementReader, TooManyLong, is_long
from .thrift_answers import AnswerWriter, UnreadBytes
from .thrift_requests import RequestReader, string_map

MAX_FRAME = 64 * 1024  # bytes
MAX_PARTIAL_BYTES = 1024 * 1024  # bytes of incomplete messages, over all connections
MAX_OPEN = 32  # open requests on a connection, by the protocol
MAX_QUEUED = 4 * MAX_OPEN  # unsent answers above which a client is no longer read
READER_CHECK_INTERVAL = 0.05  # seconds between two checks whether it reads them
TOO_MANY_OPEN = {"holdoff": "1000"}  # milliseconds that a client above that limit should wait
MESSAGES_PER_TURN = 8  # messages of one client handled before other tasks run
BYTES_PER_TURN = 16 * 1024  # bytes of such messages, likewise
CLIENT_ENDED = "the client has ended its side"
MAX_UNCHECKED_LAG = 0.02  # seconds of event loop lag up to which the 4 turns of 32 messages stay below 0.1


class ClientClosed(Closed):
    """The client has closed its side, possibly after data that is still unread."""


class Service:
    """The state shared by all Thrift connections."""

    def __init__(
        self,
        hub: Hub,
        classes: list[str],
        keyed: list[bool],
        tenants: list[str],
        post: Callable[[Any], None],
        is_well: Callable[[], bool],
        shed_after: tuple[float, ...] | None = None,
        retry_after: float = 0.0,
    ) -> None:
        self.shed_after = shed_after  # seconds of event loop lag, by class, above which the policy refuses it
        self.min_shed_after = min(shed_after, default=0.0) if shed_after else float("inf")
        self.shed_hint = {"holdoff": str(round(retry_after * 1000))} if retry_after > 0 else {}
        self.hub, self.post, self.is_well = hub, post, is_well
        self.reader = RequestReader(classes, keyed, tenants, StatementReader(hub).table_group)
        self.partial_bytes = PartialMessageBytes(MAX_PARTIAL_BYTES)
        self.turns = Turns(hub)
        self.unread = UnreadBytes()

    def serve(self, conn: Connection) -> None:
        """Task body: serves a connection from its first frame to its end."""
        Session(self, conn).run()


class Session:
    """One client connection: a reading task, and a writer with a task of its own if the client is slow."""

    def __init__(self, service: Service, conn: Connection) -> None:
        self.service, self.conn = service, conn
        self.writer = AnswerWriter(service.hub, conn, service.unread)
        self.open_requests: dict[int, ClientRequest] = {}
        self.misuse = MisuseCounter(conn)
        self.last_seqid = 0  # sequence number of the last call; they start at 1 and count up
        self.unchecked = False  # whether the client has gone is to be checked before the next message
        self.unscanned = False  # input was read that has not been scanned for `forget`
        self.handled = self.handled_bytes = 0  # messages, and their bytes, since other tasks ran
        self.reading = 0  # sequence number of the call whose long statement is being read
        self.forgotten: set[int] = set()  # calls cancelled by a `forget` that was found before their turn
        conn.partial_bytes = service.partial_bytes

    def run(self) -> None:
        """Reads messages until the client closes or sends malformed input; then answers the open requests.

        The connection is left to its orderly close.
        """
        try:
            self._read_messages()
        except Closed as why:
            self._set_end_reason(str(why))
            if self.conn.disconnected or isinstance(why, ClientClosed):
                self._fail_open_requests()
        except Exception:
            self.service.hub.report_error("a thrift connection", traceback.format_exc())
        self._drain()

    def _set_end_reason(self, reason: str) -> None:
        """Sets the reason for the log, unless the client simply closed with nothing open."""
        if self.conn.busy or not self.conn.disconnected:
            self.conn.end_reason = self.conn.end_reason or reason

    # ---- reading --------------------------------------------------------------------------------------

    def _read_messages(self) -> None:
        conn = self.conn
        while True:
            if self.writer.queued > MAX_QUEUED:
                self._wait_for_client()
            self._give_way()
            if len(conn.incoming):
                self._look_ahead()
            self._read_message()
            conn.received_message = True

    def _give_way(self) -> None:
        """Lets other tasks run at times: constant input from one client must not starve the others."""
        turns = self.service.turns
        messages, size = MESSAGES_PER_TURN, BYTES_PER_TURN
        if turns.crowded:
            messages, size = turns.share(messages), turns.share(size)
        if self.handled >= messages or self.handled_bytes >= size:
            self.handled = self.handled_bytes = 0
            self.unchecked = True
            turns.give_way()
        elif self.conn.wait_before_read and not len(self.conn.incoming):
            self.handled = self.handled_bytes = 0  # the next read waits, and they run

    def _wait_for_client(self) -> None:
        """Pauses reading while more answers are unsent than the protocol allows open requests."""
        while self.writer.queued > MAX_QUEUED:
            self.service.hub.sleep(READER_CHECK_INTERVAL)
            self._check_client()

    def _check_client(self) -> None:
        """Raises Closed if the client has closed, even if unread data precedes the end."""
        if not self.conn.open:
            raise Closed("closed here")
        if self.conn.hung_up():
            raise ClientClosed("the client has gone")

    def _look_ahead(self) -> None:
        """Checks, before buffered messages are handled, whether their client still wants an answer.

        Its close or a `forget` may be queued behind many other messages, and nothing may be started more than
        0.1 s after it. The kernel is asked if it may hold more input, or if handling 32 messages may take
        that long, as the program is behind or other connections take turns.
        """
        if self.unchecked or self.unscanned:
            self.unchecked = False
            slow = self.service.turns.crowded or self.service.hub.lag() > MAX_UNCHECKED_LAG
            if slow or not self.conn.wait_before_read:
                self._check_client()
        if self.unscanned:
            self.unscanned = False
            self._scan_buffered()

    def _scan_buffered(self) -> None:
        """Obeys each `forget` in the buffer before the messages in front of it are handled.

        Called once for each read: what it has scanned is not scanned again.
        """
        inbox = self.conn.incoming
        if inbox.find(thrift.FORGET_HEAD) >= 0:
            for number in thrift.forgotten_calls(inbox.peek(len(inbox))):
                self._forget(number, ahead=True)

    def _read_message(self) -> None:
        conn = self.conn
        if not len(conn.incoming):
            if conn.draining:
                conn.close_if_idle()
            if self.service.turns.crowded:
                conn.read_size = MIN_READ_SIZE
            conn.fill(None)
            self.unscanned = True
        conn.mid_message = True
        data, start, end = conn.read_frame(MAX_FRAME, None)
        conn.mid_message = False
        if not start:
            self.unscanned = True  # it arrived in pieces, and more was read with the last one
        self.handled += 1
        self.handled_bytes += end - start
        conn.last_used_at = arrived = time.monotonic()
        try:
            self._handle_message(data, start, end, arrived)
        except Closed:
            raise
        except Exception:
            self.service.hub.report_error("a thrift message", traceback.format_exc())
            self._answer_internal_error(data[start:end])

    def _handle_message(self, data: bytes, start: int, end: int, arrived: float) -> None:
        if self.misuse.refusing:
            self._refuse(data[start:end])
            return
        fast = thrift.read_serve(data, start, end)
        if fast is not None and fast[0] == self.last_seqid + 1 and len(self.open_requests) < MAX_OPEN:
            self.last_seqid = fast[0]
            self._serve(fast[0], fast[1], fast[2], arrived)
            return
        try:
            message = thrift.read_message(data[start:end])
        except Malformed:
            self.misuse.count_malformed()
            return
        self._dispatch(message, arrived)

    def _refuse(self, frame: bytes) -> None:
        """Handles a message of a client being disconnected: each call is refused, a `forget` is obeyed."""
        try:
            message = thrift.read_message(frame)
        except Malformed:
            self.misuse.count_malformed()
            return
        if message.kind == thrift.ONEWAY and message.name == "forget":
            self._forget((message.args or {}).get(1))
        elif message.kind == thrift.CALL and message.name == "serve":
            self.writer.send(
                message.seqid, thrift.declared_exception("serve", message.seqid, 1, TOO_MANY_OPEN)
            )
        elif message.kind != thrift.ONEWAY:
            self._answer_exception(message, thrift.PROTOCOL_ERROR, "too many messages that cannot be used")

    def _answer_internal_error(self, frame: bytes) -> None:
        """Answers a message that met an internal error; the connection goes on."""
        try:
            message = thrift.read_message(frame)
        except Malformed:
            return
        if message.kind == thrift.CALL and message.seqid not in self.open_requests:
            self.last_seqid = max(self.last_seqid, message.seqid)
            self._answer_exception(message, thrift.INTERNAL_ERROR, "internal error")

    def _serve(self, seqid: int, fields: dict[bytes, bytes] | None, statement: Any, arrived: float) -> None:
        """Starts a request, or refuses it at once if the program is too far behind for its class."""
        if self._sheds(fields):
            hint = self.service.shed_hint
            self.writer.send(seqid, thrift.declared_exception("serve", seqid, 1, hint))
        else:
            self._start_request(seqid, fields, statement, arrived)

    def _sheds(self, fields: dict[bytes, bytes] | None) -> bool:
        """Whether the policy would refuse the class at this event loop lag; cheaper than asking it."""
        service = self.service
        lag = service.hub.lag()
        if lag <= service.min_shed_after or fields is None:
            return False
        cls = service.reader.class_of.get(fields.get(b"kind", b""))
        return cls is not None and lag > service.shed_after[cls]

    def _dispatch(self, message: thrift.Message, arrived: float) -> None:
        name, seqid, args = message.name, message.seqid, message.args
        if message.kind == thrift.ONEWAY and name == "forget":
            self._forget((args or {}).get(1))
        elif message.kind != thrift.CALL:
            self.misuse.count_bad()
            if message.kind != thrift.ONEWAY:
                self._answer_exception(message, thrift.PROTOCOL_ERROR, "not a call")
        elif seqid != self.last_seqid + 1:
            self.misuse.count_bad()
            self._answer_exception(message, thrift.BAD_SEQUENCE, f"{self.last_seqid + 1} is next")
        else:
            self.last_seqid = seqid
            self._handle_call(message, args, arrived)

    def _handle_call(self, message: thrift.Message, args: dict[int, Any] | None, arrived: float) -> None:
        name, seqid = message.name, message.seqid
        if args is None:
            self.misuse.count_bad()
            self._answer_exception(message, thrift.PROTOCOL_ERROR, "arguments cannot be read")
        elif name == "isWell":
            self.writer.send(seqid, thrift.answer(name, seqid, b"", {}, self.service.is_well()))
        elif name != "serve":
            self.misuse.count_bad()
            self._answer_exception(message, thrift.UNKNOWN_METHOD, "no such method")
        elif len(self.open_requests) >= MAX_OPEN:
            self.misuse.count_bad()
            self.writer.send(seqid, thrift.declared_exception(name, seqid, 1, TOO_MANY_OPEN))
        else:
            self._serve(seqid, string_map(args.get(1)), args.get(2), arrived)

    def _answer_exception(self, message: thrift.Message, kind: int, text: str) -> None:
        """Answers a message with an application exception."""
        self.writer.send(message.seqid, thrift.application_exception(message.name, message.seqid, kind, text))

    # ---- requests -------------------------------------------------------------------------------------

    def _start_request(
        self, seqid: int, fields: dict[bytes, bytes] | None, statement: Any, arrived: float
    ) -> None:
        if seqid in self.forgotten:
            return
        lag, unread_for = self.service.hub.lag(), arrived - self.conn.received_after
        spent = lag if lag > unread_for else unread_for
        self.conn.busy += 1  # not to be evicted while a long statement is read
        try:
            call = self.service.reader.read(fields, statement, arrived, spent, self._answer, seqid)
        except ValueError as why:
            self.misuse.count_bad()
            self.writer.send(seqid, thrift.declared_exception("serve", seqid, 2, {"reason": str(why)}))
            return
        except TooManyLong:
            hint = self.service.shed_hint
            self.writer.send(seqid, thrift.declared_exception("serve", seqid, 1, hint))
            return
        finally:
            self.conn.busy -= 1
        if is_long(statement) and not self._still_wanted(seqid):
            return
        self.open_requests[seqid] = call
        self.conn.busy += 1
        self.conn.requests += 1
        self.service.post(RequestReceived(call))

    def _still_wanted(self, seqid: int) -> bool:
        """Whether a call is wanted after its statement was read, while its client may have left.

        Raises Closed if the client has closed.
        """
        try:
            self._check_client()
        except ClientClosed:
            self.writer.send_final(seqid, Failed(CLIENT_ENDED))
            raise
        conn, self.reading = self.conn, seqid
        if conn.incoming.free and conn.peer_closed() is None:
            conn.fill_at_once()
        self._scan_buffered()
        self.reading = 0
        return seqid not in self.forgotten

    def _answer(self, call: ClientRequest, final: Final) -> None:
        seqid = call.tag
        if self.open_requests.get(seqid) is not call:
            return
        del self.open_requests[seqid]
        self.conn.busy -= 1
        self.conn.last_used_at = time.monotonic()
        self.writer.send_final(seqid, final)

    def _forget(self, number: Any, ahead: bool = False) -> None:
        """Cancels a call. It need not be open; `ahead`: its frame may not have been handled yet."""
        if not isinstance(number, int):
            return
        call = self.open_requests.pop(number, None)
        if call is not None:
            self.conn.busy -= 1
            call.gone = True
            self.service.post(ClientLeft(call))
        elif ahead and (number > self.last_seqid or number == self.reading):
            self.forgotten.add(number)
        else:
            self.forgotten.discard(number)
            self.writer.forget(number)

    # ---- the end --------------------------------------------------------------------------------------

    def _drain(self) -> None:
        """Discards input until all open requests are answered or the client closes.

        Called when the input is malformed or the client has gone.
        """
        conn, hub = self.conn, self.service.hub
        # `draining` closes the connection after its last answer.
        conn.draining, conn.mid_message, conn.read_stop_reason = True, False, ""
        try:
            while conn.busy and not conn.disconnected:
                conn.discard()
                conn.fill(None)  # returns at the latest when the requests reach their deadlines
                hub.yield_now()
        except Closed:
            pass
        conn.discard()
        self._abandon_requests()
        self.writer.flush()  # finished answers are sent before the close
        self.writer.wait()

    def _fail_open_requests(self) -> None:
        """Answers and abandons all open requests after the client has closed its side.

        A client that only shut down its write side still reads the answers.
        """
        for seqid in self.open_requests:
            self.writer.send_final(seqid, Failed(CLIENT_ENDED))
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Abandons all open requests, whose client has gone."""
        self.conn.busy -= len(self.open_requests)
        for call in self.open_requests.values():
            call.gone = True
            self.conn.unanswered.append(call.id)
            self.service.post(ClientLeft(call))
        self.open_requests.clear()
