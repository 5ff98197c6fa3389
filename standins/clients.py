"""Thrift and TDS clients on the hub of the program under test."""

from __future__ import annotations

import itertools
import struct
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aspenrill.engines.tds import read_packet
from aspenrill.net.connecting import connect
from aspenrill.wire import tds, tds_tokens, thrift

if TYPE_CHECKING:
    from .world import World


@dataclass
class Reply:
    """The outcome of a request as the client sees it."""

    kind: str  # served, refused, failed, broken, cancelled
    rows: list = field(default_factory=list)


client_numbers = itertools.count(1)  # part of the ids of requests, which are never used again


class ThriftClient:
    """A Thrift client on one connection, with requests of one class."""

    def __init__(self, world: World, cls: str, timeout: float) -> None:
        self.cls, self.timeout, self.seqid = cls, timeout, 0
        self.conn = connect(world.hub, world.address, time.monotonic() + 2)
        self.number = next(client_numbers)
        self.held: dict[int, Reply] = {}

    def send(self, statement: str, **changed: str | None) -> None:
        """Send a request; `changed` replaces fields of its header, None removes one."""
        self.seqid += 1
        fields = {
            "kind": self.cls,
            "req": f"{self.number:08x}{self.seqid:08x}",
            "owner": "main",
            "timeout": str(int(self.timeout * 1000)),
            "opkey": "ab" * 16,
        } | changed
        fields = {k: v for k, v in fields.items() if v is not None}
        body = thrift.field(thrift.MAP, 1, thrift.text_map(fields)) + thrift.field(
            thrift.STRING, 2, thrift.binary(statement.encode())
        )
        self.conn.write(thrift.frame(thrift.CALL, "serve", self.seqid, body), time.monotonic() + 5)

    def read(self, within: float) -> Reply:
        """Read the next answer."""
        until = time.monotonic() + within
        frame = self.conn.read(int.from_bytes(self.conn.read(4, until), "big"), until)
        message = thrift.read_message(frame)
        if message.kind == thrift.EXCEPTION:
            return Reply("broken")
        if 0 in message.args:
            text = message.args[0][1].decode()
            return Reply("served", [tuple(line.split("\t")) for line in text.split("\n")[:-1]])
        return Reply("refused" if 1 in message.args else "failed")

    def request(self, statement: str, within: float = 10.0, **changed: str | None) -> Reply:
        """Send a request and read its answer."""
        self.send(statement, **changed)
        return self.read(within)

    def cancel(self) -> None:
        """Cancel the last request."""
        self.conn.write(
            thrift.frame(
                thrift.ONEWAY, "forget", 0, thrift.field(thrift.I32, 1, struct.pack(">i", self.seqid))
            ),
            time.monotonic() + 5,
        )

    def close(self) -> None:
        """Close the connection."""
        self.conn.close()


class TdsClient:
    """A TDS client on one connection; its login selects the class."""

    def __init__(self, world: World, cls: str, timeout: float) -> None:
        self.user = cls if timeout >= 5 else f"{cls}-{timeout:g}"
        self.conn = connect(world.hub, world.address, time.monotonic() + 2)
        until = time.monotonic() + 5
        self.conn.write(tds.packets(tds.PRELOGIN, tds.prelogin()), until)
        read_packet(self.conn, until)
        login = tds.Login(self.user, "test", packet_size=tds.MIN_PACKET_SIZE)
        self.conn.write(tds.packets(tds.LOGIN7, tds.login7(login)), until)
        read_packet(self.conn, until)

    def send(self, statement: str) -> None:
        """Send a SQL batch."""
        self.conn.write(tds.packets(tds.SQL_BATCH, tds.sql_batch(statement), 512), time.monotonic() + 5)

    def read(self, within: float) -> Reply:
        """Read the next answer."""
        until, reader, last = time.monotonic() + within, tds_tokens.TokenReader(1 << 20), False
        while not last:
            _, last, data = read_packet(self.conn, until)
            reader.feed(data)
        answer = reader.answer
        if answer.status & tds.DONE_ATTENTION:
            return Reply("cancelled")
        if answer.error:
            return Reply({50001: "refused", 50002: "failed"}.get(answer.error[0], "broken"))
        return Reply("served", [tuple(row) for row in tds_tokens.rows_as_text(b"".join(answer.tokens))])

    def request(self, statement: str, within: float = 10.0) -> Reply:
        """Send a SQL batch and read its answer."""
        self.send(statement)
        return self.read(within)

    def cancel(self) -> None:
        """Send an attention signal."""
        self.conn.write(tds.packets(tds.ATTENTION, b""), time.monotonic() + 5)

    def close(self) -> None:
        """Close the connection."""
        self.conn.close()
