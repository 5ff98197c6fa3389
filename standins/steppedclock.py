"""Runs a module with a wall clock that can be stepped from outside.

    python -m standins.steppedclock FILE MODULE [WORD...]

FILE holds one double, the offset of the wall clock in seconds; writing it steps the clock at once. Only this
process is affected, and its monotonic clocks run on, as when an administrator or NTP steps the time.
"""

from __future__ import annotations

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

OFFSET = struct.Struct("=d")


def step_to(file: Path, seconds: float) -> None:
    """Set the wall clock offset of the process that runs with this file."""
    with open(file, "r+b" if file.exists() else "wb") as out:
        out.write(OFFSET.pack(seconds))


def install(file: Path) -> None:
    """Add the offset in the file to this process's readings of the wall clock."""
    with open(file, "rb") as source:
        shared = mmap.mmap(source.fileno(), OFFSET.size, prot=mmap.PROT_READ)
    real_time, real_gettime = time.time, time.clock_gettime

    def offset() -> float:
        return OFFSET.unpack_from(shared)[0]

    def gettime(clock: int) -> float:
        return real_gettime(clock) + (offset() if clock == time.CLOCK_REALTIME else 0.0)

    time.time = lambda: real_time() + offset()
    time.time_ns = lambda: round((real_time() + offset()) * 1e9)
    time.clock_gettime = gettime
    time.clock_gettime_ns = lambda clock: round(gettime(clock) * 1e9)


def main() -> None:
    """Run the module as `python -m` would."""
    install(Path(sys.argv[1]))
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
