"""Runs one front end, a node of the platform or an application's sidecar, until SIGTERM."""

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
MAX_SIGNAL_SENDS = 1000  # tries to notify the task of a signal, as the send fails if memory is short
SIGNAL_RETRY_INTERVAL = 0.01  # seconds until the task reads again after an error


def open_log() -> int:
    """Return a file descriptor for the log.

    If standard error is a pipe, it is opened again as non-blocking: a stalled reader must not block the
    program.
    """
    with contextlib.suppress(OSError):
        if stat.S_ISFIFO(os.fstat(STANDARD_ERROR).st_mode):
            return os.open(f"/proc/self/fd/{STANDARD_ERROR}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    return STANDARD_ERROR


def on_signal(hub: Hub, number: int, handler: Callable[[], None]) -> None:
    """Run `handler` in a task after each arrival of the signal."""
    receiving_end, sending_end = retry(socket.socketpair, START_RETRY_TIMEOUT)
    receiving_end.setblocking(False)
    sending_end.setblocking(False)

    def forward(*_: Any) -> None:
        for _ in range(MAX_SIGNAL_SENDS):
            try:
                sending_end.send(b"x")
            except BlockingIOError:
                return  # the buffer is full of unread notifications: one more changes nothing
            except OSError:
                continue  # out of memory: try again, so that the signal is not lost
            return

    signal.signal(number, forward)

    def handle_signals() -> None:
        while True:
            hub.wait_fd(receiving_end.fileno(), READ, None)
            try:
                receiving_end.recv(4096)
            except OSError:
                hub.sleep(SIGNAL_RETRY_INTERVAL)
                continue  # the notification is still unread
            try:
                handler()
            except Exception:
                hub.report_error(f"signal {number}", traceback.format_exc())

    hub.spawn(handle_signals, name="signal")


def main(arguments: Sequence[str] | None = None, env: Mapping[str, str] = os.environ) -> int:
    """Run one front end until SIGTERM. Returns the exit code, 2 if the configuration is invalid."""
    arguments = sys.argv[1:] if arguments is None else arguments
    log = LogWriter(open_log())
    hub = Hub(log)
    node: Node | None = None
    on_signal(hub, signal.SIGHUP, lambda: node.reload())  # first, as the default action ends the program
    from .node import ConfigError, platform  # imported late: most of the start-up time

    try:
        if len(arguments) > 1:
            raise ConfigError(
                "usage: python -m aspenrill [FILE], where FILE is an application's configuration"
            )
        if arguments:
            from .sidecar import sidecar

            node = sidecar(hub, arguments[0])
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
        signal.signal(number, signal.SIG_IGN)  # a shutting down interpreter restores the default actions
    log.flush()
    return 0
