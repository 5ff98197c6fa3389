"""Starts one real front end, a node of the platform or an application's sidecar; runs it until SIGTERM."""

from __future__ import annotations

import contextlib
import gc
import os
import signal
import socket
import stat
import sys
import traceback
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from .net.hub import READ, Hub
from .net.logwriter import LogWriter
from .net.retrying import START_RETRY_TIMEOUT, retry

if TYPE_CHECKING:
    from .node import Node


STANDARD_ERROR = 2
SIGNAL_TRIES = 1000  # to pass a signal on to its task
SIGNAL_PAUSE = 0.01  # seconds until a signal that could not be read is looked for again


def open_log() -> int:
    """The descriptor for the log. Where standard error is a pipe, one whose writes never wait: a reader that
    stands still is not to stop the program."""
    with contextlib.suppress(OSError):
        if stat.S_ISFIFO(os.fstat(STANDARD_ERROR).st_mode):
            return os.open(f"/proc/self/fd/{STANDARD_ERROR}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    return STANDARD_ERROR


def on_signal(hub: Hub, number: int, act: Callable[[], None]) -> None:
    """Run `act` in a task each time the signal has come."""
    ours, theirs = retry(socket.socketpair, START_RETRY_TIMEOUT)
    ours.setblocking(False)
    theirs.setblocking(False)

    def came(*_: Any) -> None:
        for _ in range(SIGNAL_TRIES):
            try:
                theirs.send(b"x")
            except BlockingIOError:
                return  # many lie there unread: one more changes nothing
            except OSError:
                continue  # no memory for it: a signal is not to be lost
            return

    signal.signal(number, came)

    def wait() -> None:
        while True:
            hub.wait_fd(ours.fileno(), READ, None)
            try:
                ours.recv(4096)
            except OSError:
                hub.sleep(SIGNAL_PAUSE)
                continue  # it still lies there
            try:
                act()
            except Exception:
                hub.report_error(f"signal {number}", traceback.format_exc())

    hub.spawn(wait, name="signal")


def main(words: Sequence[str] | None = None, env: Mapping[str, str] = os.environ) -> int:
    """Run one front end until SIGTERM; 2 where its configuration cannot be used."""
    words = sys.argv[1:] if words is None else words
    log = LogWriter(open_log())
    hub = Hub(log)
    node: Node | None = None
    on_signal(hub, signal.SIGHUP, lambda: node.reload())  # first: by default it would end the program
    from .node import ConfigError, platform  # most of what is imported, and so of the time until here

    try:
        if len(words) > 1:
            raise ConfigError("usage: python -m aspenrill [FILE], the file being an application's")
        if words:
            from .sidecar import sidecar

            node = sidecar(hub, words[0])
        else:
            node = platform(hub, env)
    except ConfigError as why:
        print(f"aspenrill: {why}", file=sys.stderr)
        return 2
    except OSError as why:
        print(f"aspenrill: listen: {why}", file=sys.stderr)
        return 2
    on_signal(hub, signal.SIGTERM, node.leave)
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    hub.run()
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)  # as the interpreter ends it takes handlers back to the default
    log.flush()
    return 0
