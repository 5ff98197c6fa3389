"""Links between a front end and its engines, one for each port, which can be cut, silenced and healed.

    python -m review.lib.links PORT...

Prints the ports of the links as one JSON list. Then it reads lines from standard input, with N from 0:

    cut N       nothing is carried: open connections stay open and silent, and new ones never come up
    silence N   the connections that are open now fall silent; new ones work
    heal N      everything is carried again

The links behave as TCP over such a network. Once it is healed, TCP brings what its sender has sent meanwhile:
the bytes, and the end behind them. Of a connection that its sender has reset meanwhile nothing is brought but
the reset.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import struct
import sys
import threading

BACKLOG = 256
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER: a close resets the connection
FILLERS = 8  # connections of its own, by which a link that is cut fills its line of new ones


class Link:
    """One link: a listening socket, and two threads for each connection."""

    def __init__(self, port: int) -> None:
        self.target = ("127.0.0.1", port)
        self.passable = opened()  # for new connections
        self.gate = opened()  # of the connections that come up from now on
        self.shut_gates: list[threading.Event] = []
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(BACKLOG)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self) -> None:
        """Carry nothing more. The line of new connections is filled, so that the system takes no other."""
        self.silence()
        self.passable.clear()
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def silence(self) -> None:
        """Carry nothing more on the connections that are open now."""
        self.gate.clear()
        self.shut_gates.append(self.gate)
        self.gate = opened()

    def heal(self) -> None:
        """Carry again."""
        for filler in self.fillers:
            filler.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            filler.close()
        self.fillers.clear()
        self.listener.listen(BACKLOG)
        self.passable.set()
        for gate in self.shut_gates:
            gate.set()
        self.shut_gates.clear()

    def accept(self) -> None:
        """Take connections in while the link is not cut."""
        while True:
            select.select([self.listener], [], [])
            self.passable.wait()
            with contextlib.suppress(OSError):
                near = self.listener.accept()[0]
                threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        """Connect to the target and carry both directions."""
        try:
            far = socket.create_connection(self.target, 10.0)
        except OSError:
            return reset(near)
        for sock in (near, far):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threads = [
            threading.Thread(target=carry, args=(*ends, self.gate)) for ends in ((near, far), (far, near))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        near.close()
        far.close()


def carry(source: socket.socket, sink: socket.socket, gate: threading.Event) -> None:
    """Carry one direction of a connection until its end, while its gate is open."""
    try:
        poller = select.poll()
        poller.register(source, select.POLLIN)
        while True:
            poller.poll()
            gate.wait()
            if any(events & select.POLLERR for _, events in poller.poll(0)):
                raise ConnectionResetError
            data = source.recv(65536)
            if not data:
                sink.shutdown(socket.SHUT_WR)
                return
            sink.sendall(data)
    except (OSError, ValueError):  # ValueError: the other direction has closed it
        reset(sink)
        reset(source)


def opened() -> threading.Event:
    """An event that is set."""
    event = threading.Event()
    event.set()
    return event


def reset(sock: socket.socket) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()


def main() -> None:
    """Open the links, then do as told."""
    links = [Link(int(port)) for port in sys.argv[1:]]
    print(json.dumps([link.port for link in links]), flush=True)
    for line in sys.stdin:
        what, number = line.split()
        link = links[int(number)]
        {"cut": link.cut, "silence": link.silence, "heal": link.heal}[what]()
        print(json.dumps("done"), flush=True)


if __name__ == "__main__":
    main()
