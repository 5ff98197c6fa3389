"""The TDS front: one request at a time on a connection, cancelled by Attention.

No clock ends a connection: a link may stand still, also within a message or an answer.
"""

from __future__ import annotations

import hashlib
import os
import re
import time
import traceback
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ..core.books import Asked, Call, Failed, Final, Left, Refused, Result, Served
from ..net.conn import Connection
from ..net.heldbytes import PartialMessageBytes
from ..net.hub import READ, Closed, Hub, Signal
from ..wire import Malformed, tds
from ..wire.sql import table_group

MOST_LOGIN = 16 * 1024  # bytes of a message before that
MOST_STATEMENT = 256 * 1024
MOST_MESSAGE = 2 * MOST_STATEMENT + 1024
MOST_HELD = 8 * MOST_MESSAGE  # bytes of messages that have not come whole, over all connections
REFUSED, FAILED, UNUSABLE, UNKNOWN_LOGIN, UNSUPPORTED = 50001, 50002, 50003, 18456, 50004
KEY = re.compile(r"/\*\s*key:\s*([!-)+-~]{1,128})\s*\*/")


@dataclass(frozen=True)
class Mapping:
    """What a login under an application name stands for. `*` matches any."""

    user: str
    app: str
    cls: int
    tenant: int
    timeout: float
    key: str = "none"  # where the idempotency key comes from: none, comment or batch

    def matches(self, login: tds.Login) -> bool:
        """Whether this is the login's entry; names are compared without case."""
        return (self.user in ("*", login.user.lower())) and (self.app in ("*", login.app.lower()))

    def idempotency(self, login: tds.Login, statement: str) -> str | None:
        """The key of a statement; ValueError where it has none but needs one."""
        if self.key == "comment":
            found = KEY.search(statement)
            if found is None:
                raise ValueError("no comment of the form /* key: ... */ in the statement")
            return found[1]
        if self.key == "batch":
            text = "\0".join((login.user.lower(), login.app.lower(), statement))
            return hashlib.sha256(text.encode()).hexdigest()[:32]
        return None


class Service:
    """What the connections of this front share."""

    def __init__(self, hub: Hub, mappings: Iterable[Mapping], post: Callable[[Any], None], name: str) -> None:
        self.hub, self.mappings, self.post, self.name = hub, tuple(mappings), post, name
        self.writing = 0
        self.partial_bytes = PartialMessageBytes(MOST_HELD)

    def serve(self, conn: Connection) -> None:
        """A connection's task, from PRELOGIN to its end."""
        Session(self, conn).run()


def answer_tokens(result: Result) -> Iterator[bytes]:
    """COLMETADATA and rows; rows that came as text become columns of text."""
    if result.form == "tds":
        yield from result.tokens
        return
    rows = [line.split("\t") for line in b"".join(result.pages).decode("utf-8").split("\n")[:-1]]
    width = max(map(len, rows), default=3)
    yield tds.text_columns([f"c{at + 1}" for at in range(width)])
    for row in rows:
        yield tds.text_row([*row, *[None] * (width - len(row))])


class Session:
    """One client's connection: this task reads, another writes while an answer is on its way."""

    def __init__(self, service: Service, conn: Connection) -> None:
        self.service, self.conn = service, conn
        self.login: tds.Login | None = None
        self.mapping: Mapping | None = None
        self.call: Call | None = None
        self.busy = False  # an answer is being written
        self.attention = False  # and is to be cut short
        self.ending = False  # nothing more is taken
        self.idle = Signal(service.hub)
        conn.partial_bytes = service.partial_bytes

    def run(self) -> None:
        """Read until the client closes; a request that is open then has lost its client."""
        try:
            self._open()
            while True:
                self._message()
        except Malformed as why:
            self._see_out()
            self._end_with(tds.error(UNUSABLE, str(why), 20))
        except Closed as why:
            if self.conn.busy or not self.conn.over:
                self.conn.end_reason = self.conn.end_reason or str(why)
            self._see_out()
        except Exception:
            self.service.hub.report("a TDS connection", traceback.format_exc())
            self._see_out()

    def _see_out(self) -> None:
        """Take nothing more. What comes is discarded until what is owed is written, or the client ends: then
        its request has lost it. The connection is left for its orderly close."""
        conn = self.conn
        self.ending, conn.mid_message, conn.read_stop_reason = True, False, ""
        try:
            while (self.call is not None or self.busy) and not conn.over:
                conn.discard()
                conn.fill(None)  # the request ends at its deadline
                self.service.hub.give_way()
        except Closed:
            pass
        conn.discard()
        self._left()
        while self.busy and conn.open:
            self.idle.wait(None)  # the writer's own time is bounded

    def _left(self) -> None:
        """The client has gone, or cancelled: what is open has lost it."""
        call, self.call = self.call, None
        if call is not None:
            self.conn.busy -= 1
            call.gone = True
            self.conn.unanswered.append(call.id)
            self.service.post(Left(call))

    # ---- reading --------------------------------------------------------------------------------------

    def _read(self, most: int = MOST_MESSAGE) -> tuple[int, bytes]:
        """A whole message. Closed; Malformed where it cannot be one."""
        parts, size, last, kind = [], 0, False, None
        while not last:
            head = tds.packet_head(self.conn.read(tds.HEAD.size, None))
            self.conn.mid_message = True
            if kind not in (None, head[0]):
                raise Malformed("a message of two types")
            kind = head[0]
            size += head[2]
            if size > most:
                raise Malformed(f"message of over {most} bytes")
            parts.append(self.conn.read(head[2], None))
            last = bool(head[1] & tds.END_OF_MESSAGE)
            if last and head[1] & tds.IGNORE:
                kind, parts = 0, []
        self.conn.mid_message = False
        return kind, b"".join(parts)

    def _open(self) -> None:
        kind, body = self._read(MOST_LOGIN)
        if kind == tds.PRELOGIN:
            tds.read_prelogin(body)
            self.conn.write(tds.packets(tds.REPLY, tds.prelogin()), None)
            kind, body = self._read(MOST_LOGIN)
        if kind != tds.LOGIN7:
            raise Malformed("no login")
        login = tds.read_login7(body)
        mapping = next((m for m in self.service.mappings if m.matches(login)), None)
        if mapping is None:
            text = f"login {login.user!r} with application {login.app!r} is not known here"
            self._end_with(tds.error(UNKNOWN_LOGIN, text, 14))
            raise Closed("login refused")
        self.login, self.mapping = login, mapping
        self.conn.spoke, self.conn.last_used_at = True, time.monotonic()
        self.conn.write(tds.packets(tds.REPLY, tds.login_answer(login, self.service.name)), None)

    def _message(self) -> None:
        if self.conn.draining:
            self.conn.close_if_idle()
        kind, body = self._read()
        self.conn.last_used_at = arrived = time.monotonic()
        if kind == tds.ATTENTION:
            self._attend()
        elif kind == 0:
            pass
        elif self.call is not None or self.busy:
            raise Malformed("a request while another is open")
        elif kind == tds.SQL_BATCH:
            self._batch(tds.read_sql_batch(body), arrived)
        else:
            self._say(
                [tds.error(UNSUPPORTED, f"messages of type {kind} are not taken here"), tds.done(tds.BAD)]
            )

    def _attend(self) -> None:
        """Cancel: what is open loses its client, what is being written ends early; one acknowledgement."""
        self._left()
        if self.busy:
            self.attention = True  # the writer ends its message with the acknowledgement
            self.idle.wait(None)
        else:
            self._say([tds.done(tds.ACKNOWLEDGED)])

    def _batch(self, statement: str, arrived: float) -> None:
        mapping = self.mapping
        try:
            if not statement.strip():
                raise ValueError("no statement")
            if len(statement) > MOST_STATEMENT:
                raise ValueError(f"a statement of over {MOST_STATEMENT} characters")
            key = mapping.idempotency(self.login, statement)
        except ValueError as why:
            self._say([tds.error(UNUSABLE, str(why)), tds.done(tds.BAD)])
            return
        spent = max(self.service.hub.lag(), arrived - self.conn.received_after)
        patience = max(0.0, mapping.timeout - spent)
        self.call = Call(
            os.urandom(8).hex(),
            mapping.cls,
            mapping.tenant,
            statement.encode("utf-8"),
            key,
            table_group(statement),
            arrived,
            patience,
            self._answer,
        )
        self.conn.busy += 1
        self.conn.requests += 1
        self.service.post(Asked(self.call))

    # ---- writing --------------------------------------------------------------------------------------

    def _answer(self, call: Call, final: Final) -> None:
        if self.call is not call:
            return  # cancelled, and acknowledged
        self.call = None
        self.conn.busy -= 1
        match final:
            case Served(result):
                try:
                    tokens = list(answer_tokens(result))
                except (Malformed, UnicodeDecodeError):
                    self._say([tds.error(FAILED, "the result does not fit"), tds.done(tds.BAD)])
                    return
                rows = result.rows if result.form == "tds" else len(tokens) - 1
                self._say([*tokens, tds.done(rows=rows)])
            case Refused(come_back):
                later = f"; come back in {round(come_back * 1000)} ms" if come_back > 0 else ""
                self._say([tds.error(REFUSED, f"refused, another try is harmless{later}"), tds.done(tds.BAD)])
            case Failed(reason):
                text = "failed, and may have run" + (f": {reason}" if reason else "")
                self._say([tds.error(FAILED, text), tds.done(tds.BAD)])

    def _say(self, tokens: list[bytes]) -> None:
        """Hand a message to a writer. Requests come one at a time, so there is one writer at most."""
        self.busy = True
        self.conn.busy += 1
        self.service.writing += 1
        self.service.hub.spawn(self._write, tokens, name="tds writer")

    def _write(self, tokens: list[bytes]) -> None:
        """Packet by packet as the client takes them; an Attention ends it behind a whole token."""
        room, held, number = self.login.packet - tds.HEAD.size, bytearray(), 0

        def send(data: bytes, last: bool) -> None:
            nonlocal number
            number += 1
            head = tds.HEAD.pack(
                tds.REPLY, tds.END_OF_MESSAGE if last else 0, tds.HEAD.size + len(data), 0, number & 0xFF, 0
            )
            self.conn.write_started_at = time.monotonic()
            self.conn.write(head + data, None)

        try:
            for token in tokens:
                if self.attention:
                    break
                held += token
                while len(held) > room:
                    send(bytes(held[:room]), False)
                    del held[:room]
            if self.attention:
                held += tds.done(tds.ACKNOWLEDGED)
                while len(held) > room:
                    send(bytes(held[:room]), False)
                    del held[:room]
            send(bytes(held), True)
            late = self.attention and not bytes(held).endswith(tds.done(tds.ACKNOWLEDGED))
            if late:  # it came while the last packet went out
                send(tds.done(tds.ACKNOWLEDGED), True)
        except Closed:
            self.conn.over = True
            self.conn.close()  # the client can tell that the answer is not whole
            self._left()
        finally:
            self.busy = self.attention = False
            self.conn.write_started_at = 0.0
            self.conn.busy -= 1
            self.conn.last_used_at = time.monotonic()
            self.service.writing -= 1
            self.idle.set()
            if self.ending:
                self.service.hub.end_wait(self.conn.fd, READ, Closed("all is written"))
            elif self.conn.draining:
                self.conn.close_if_idle()

    def _end_with(self, token: bytes) -> None:
        """A last word, if the client takes it at once."""
        try:
            self.conn.try_write(tds.packets(tds.REPLY, token + tds.done(tds.BAD)))
        except Closed:
            pass
