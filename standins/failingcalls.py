"""Runs a module with socket calls that fail now and then with errors that Linux documents.

    python -m standins.failingcalls SEED RATE start|serving MODULE [WORD...]

From its start, or once it accepts connections, each call fails with probability RATE before it has any
effect, with a transient error from its manual page; reads and writes may also be short. Errors that end a
connection are not injected.
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
UNREACHABLE = (
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
)  # the network path is interrupted for a moment
RECEIVE = (errno.ENOMEM, errno.EINTR, *UNREACHABLE)
SEND = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, *UNREACHABLE)
CLOSE = (errno.EINTR, errno.EIO)
POLL = (errno.ENOMEM,)
OPTION = (errno.ENOBUFS,)


def install(seed: str, rate: float, at_start: bool) -> None:
    """Make calls of this process fail, from now on or once it accepts connections."""
    rng, real, real_poll, active = random.Random(seed), socket.socket, select.poll, [True] * at_start

    def draw_failure() -> bool:
        return bool(active) and rng.random() < rate

    def fail(errors: tuple[int, ...]) -> None:
        if draw_failure():
            code = rng.choice(errors)
            raise OSError(code, errno.errorcode[code])

    class Failing(real):
        """A socket whose calls fail."""

        def __init__(self, *args: Any, **more: Any) -> None:
            if len(args) < 4 and more.get("fileno") is None:  # else it wraps an existing descriptor
                fail(SOCKET)
            super().__init__(*args, **more)

        def accept(self) -> tuple[Any, Any]:
            active[:] = [True]
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
            return super().recv(size if not draw_failure() else 1, flags)

        def recv_into(self, buffer: Any, *more: Any) -> int:
            fail(RECEIVE)
            return super().recv_into(buffer if not draw_failure() else buffer[:1], *more)

        def send(self, data: Any, *more: Any) -> int:
            fail(SEND)
            return super().send(data if not draw_failure() else data[:1], *more)

        def sendmsg(self, parts: Any, *more: Any) -> int:
            fail(SEND)
            return super().sendmsg(parts if not draw_failure() else [parts[0][:1]], *more)

        def setsockopt(self, *args: Any) -> None:
            fail(OPTION)
            super().setsockopt(*args)

        def close(self) -> None:
            super().close()
            fail(CLOSE)

    class FailingPoll:
        """A poll object whose waits fail."""

        def __init__(self) -> None:
            self._poll = real_poll()
            self.register, self.unregister = self._poll.register, self._poll.unregister

        def poll(self, *args: Any) -> list[tuple[int, int]]:
            fail(POLL)
            return self._poll.poll(*args)

    socket.socket, select.poll = Failing, FailingPoll


def main() -> None:
    """Run the module as `python -m` would."""
    seed, rate, when = sys.argv[1], float(sys.argv[2]), sys.argv[3]
    sys.argv = sys.argv[4:]
    install(seed, rate, when == "start")
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
