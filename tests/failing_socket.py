"""A socket whose calls fail or are cut short as scripted, and a connection over it."""

from __future__ import annotations

import socket

from aspenrill.net.conn import Connection
from aspenrill.net.hub import Hub


class FailingSocket:
    """A socket whose first calls raise scripted errors or accept only a scripted number of bytes."""

    def __init__(self, sock: socket.socket, first: dict[str, list]) -> None:
        self.sock, self.first, self.tried = sock, first, []

    def __getattr__(self, name):
        def call(*args):
            self.tried.append(name)
            if self.first.get(name):
                act = self.first[name].pop(0)
                if isinstance(act, BaseException):
                    raise act
                if name == "sendmsg":
                    return self.sock.send(b"".join(args[0])[:act]) if act else 0
                return self.sock.send(bytes(args[0])[:act])
            return getattr(self.sock, name)(*args)

        return call if name in ("recv", "recv_into", "send", "sendmsg") else getattr(self.sock, name)


def failing_pair(hub: Hub, **first: list) -> tuple[Connection, socket.socket]:
    server = socket.create_server(("127.0.0.1", 0))
    ours = socket.create_connection(server.getsockname())
    theirs = server.accept()[0]
    server.close()
    theirs.settimeout(5)
    conn = Connection(hub, ours)
    conn.sock = FailingSocket(ours, first)
    return conn, theirs
