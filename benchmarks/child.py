"""The program under measurement: `python child.py MODE FD [FILE]`, with its revision's root as PYTHONPATH.

MODE is counts (calls and bytes), blocks (memory) or cpu. SIGUSR2 writes what was counted so far to FD, a line
of JSON each.
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
    """Install what counts, then start the program as it always starts."""
    mode, out, words = sys.argv[1], int(sys.argv[2]), sys.argv[3:]
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    import counting

    cpu = time.process_time
    if mode != "cpu":
        os.urandom = random.Random(1).randbytes  # ids of requests: what is kept by them is laid out by them
        counting.step_clock(mode == "counts")
    if mode == "counts":
        counting.wrap_sockets()
        counting.wrap_program()
    blocks = counting.Blocks() if mode == "blocks" else None

    def tell(*_: object) -> None:
        if blocks is not None:
            told = {"blocks": blocks.blocks.value, "block bytes": blocks.bytes.value}
        elif mode == "counts":
            told = dict(counting.counts)
        else:
            told = {"cpu": cpu()}
        os.write(out, json.dumps(told).encode() + b"\n")

    signal.signal(signal.SIGUSR2, tell)
    from aspenrill.net import hub

    if mode != "cpu":
        hub.BEAT = 1e9  # it looks at the time, which does not pass here
        gc.disable()
    try:
        from aspenrill.start import main as start
    except ImportError:
        from aspenrill.node import main as start
    return start(words)


if __name__ == "__main__":
    sys.exit(main())
