"""Retries system calls during transient resource exhaustion: descriptors, memory, an address in use."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

TRANSIENT_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EADDRINUSE)
)
RETRY_DELAY = 0.02  # seconds between two attempts
START_RETRY_TIMEOUT = 5.0  # seconds; at start-up a previous process may still be exiting and hold the address
CONFIG_READ_TIMEOUT = 1.0  # seconds for reading a changed configuration

Result = TypeVar("Result")


def retry(call: Callable[[], Result], seconds: float, pause: Callable[[float], None] = time.sleep) -> Result:
    """Repeats `call` while it fails with a transient error, for up to `seconds`; raises other errors."""
    until = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError as why:
            if why.errno not in TRANSIENT_ERRNOS or time.monotonic() >= until:
                raise
        pause(RETRY_DELAY)
