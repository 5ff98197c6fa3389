"""Runs a module whose socket calls fail now and then as Linux documents.

    python -m standins.failingcalls SEED RATE start|serving MODULE [WORD...]

From its start, or once it serves, each call fails with chance RATE before it does anything, by an error of
its page of the manual that passes by itself; reads and writes may also be short. Errors that end a connection
are not among them.
"""

from __future__ import annotations

import errno
import random
import runpy
import select
import socket
import sys
from typing import Any

ACCEPT = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
)
SOCKET = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT = (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH, errno.ETIMEDOUT)
UNREACHED = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)  # the way there is broken for a moment
RECEIVE = (errno.ENOMEM, errno.EINTR, *UNREACHED)
SEND = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, *UNREACHED)
CLOSE = (errno.EINTR, errno.EIO)
POLL = (errno.ENOMEM,)
OPTION = (errno.ENOBUFS,)


def install(seed: str, rate: float, at_start: bool) -> None:
    """Calls of this process fail, from now on or once it accepts."""
    rng, real, real_poll, up = random.Random(seed), socket.socket, select.poll, [True] * at_start

    def unlucky() -> bool:
        return bool(up) and rng.random() < rate

    def fail(errors: tuple[int, ...]) -> None:
        if unlucky():
            code = rng.choice(errors)
            raise OSError(code, errno.errorcode[code])

    class Failing(real):
        """A socket whose calls fail."""

        def __init__(self, *words: Any, **more: Any) -> None:
            if len(words) < 4 and more.get("fileno") is None:  # else it is there already
                fail(SOCKET)
            super().__init__(*words, **more)

        def accept(self) -> tuple[Any, Any]:
            up[:] = [True]
            fail(ACCEPT)
            return super().accept()

        def connect_ex(self, address: Any) -> int:
            try:
                fail(CONNECT)
            except OSError as why:
                return why.errno
            return super().connect_ex(address)

        def recv(self, size: int, flags: int = 0) -> bytes:
            fail(RECEIVE)
            return super().recv(size if not unlucky() else 1, flags)

        def recv_into(self, space: Any, *more: Any) -> int:
            fail(RECEIVE)
            return super().recv_into(space if not unlucky() else space[:1], *more)

        def send(self, data: Any, *more: Any) -> int:
            fail(SEND)
            return super().send(data if not unlucky() else data[:1], *more)

        def sendmsg(self, parts: Any, *more: Any) -> int:
            fail(SEND)
            return super().sendmsg(parts if not unlucky() else [parts[0][:1]], *more)

        def setsockopt(self, *words: Any) -> None:
            fail(OPTION)
            super().setsockopt(*words)

        def close(self) -> None:
            super().close()
            fail(CLOSE)

    class FailingPoll:
        """A poll object whose waits fail."""

        def __init__(self) -> None:
            self._poll = real_poll()
            self.register, self.unregister = self._poll.register, self._poll.unregister

        def poll(self, *words: Any) -> list[tuple[int, int]]:
            fail(POLL)
            return self._poll.poll(*words)

    socket.socket, select.poll = Failing, FailingPoll


def main() -> None:
    """Run the module as `python -m` would."""
    seed, rate, when = sys.argv[1], float(sys.argv[2]), sys.argv[3]
    sys.argv = sys.argv[4:]
    install(seed, rate, when == "start")
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
