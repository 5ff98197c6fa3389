"""Runs the program under measurement: `python child.py MODE FD [FILE]`, with its checkout as PYTHONPATH.

MODE is counts (calls and bytes), blocks (memory) or cpu. On SIGUSR2 the counters so far are written to FD as
one line of JSON.
"""

from __future__ import annotations

import gc
import json
import os
import random
import signal
import sys
import time


def main() -> int:
    """Install the counters of the mode, then start the program as in normal operation."""
    mode, counters_fd, arguments = sys.argv[1], int(sys.argv[2]), sys.argv[3:]
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    import counting

    cpu_time = time.process_time
    if mode != "cpu":
        os.urandom = random.Random(1).randbytes  # request ids: dictionaries are laid out by them
        counting.install_stepped_clock(mode == "counts")
    if mode == "counts":
        counting.wrap_sockets()
        counting.wrap_program()
    blocks = counting.AllocationCounters() if mode == "blocks" else None

    def write_counters(*_: object) -> None:
        if blocks is not None:
            counters = {"blocks": blocks.blocks.value, "block bytes": blocks.bytes.value}
        elif mode == "counts":
            counters = dict(counting.counts)
        else:
            counters = {"cpu": cpu_time()}
        os.write(counters_fd, json.dumps(counters).encode() + b"\n")

    signal.signal(signal.SIGUSR2, write_counters)
    from aspenrill.net import hub

    if mode != "cpu":
        # The loop lag check needs a clock that advances; BEAT is its interval in older revisions.
        vars(hub).update(LAG_CHECK_INTERVAL=1e9, BEAT=1e9)
        gc.disable()
    try:
        from aspenrill.start import main as start
    except ImportError:
        from aspenrill.node import main as start
    return start(arguments)


if __name__ == "__main__":
    sys.exit(main())
