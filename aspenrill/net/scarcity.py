"""Calls that want what the system may lack for a moment: descriptors, memory, an address in use."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

PASSING = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EADDRINUSE))
PAUSE = 0.02  # seconds between two tries
START_FOR = 5.0  # seconds that a start waits for its sockets and files: a former process may be ending
READ_FOR = 1.0  # seconds that a new configuration is read again for

Made = TypeVar("Made")


def retry(call: Callable[[], Made], seconds: float, pause: Callable[[float], None] = time.sleep) -> Made:
    """What the call gives; its OSError where that is of another kind, or comes for so long."""
    until = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError as why:
            if why.errno not in PASSING or time.monotonic() >= until:
                raise
        pause(PAUSE)
