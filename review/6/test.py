"""Some good answers have a length that doesn't fit: no answer may be served with rows missing."""

from __future__ import annotations

import random
import re
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.client import Client, is_well
from lib2.engine import Engine
from lib2.platform import Bulletin, configuration
from lib2.record import Case, free_port, play

SPOILT_SHARE = 0.1  # of the good answers
WORK = 0.02  # seconds of a query
CLIENTS = 6
SECONDS = 15.0
ROWS = 8  # of a result
LENGTH = re.compile(rb"Content-Length: (\d+)")


def rows(statement: str) -> str:
    number = statement.split()[1]
    return "".join(f"{number}\t{row}\tok\n" for row in range(ROWS))


def scene(case: Case) -> list[str]:
    draw = random.Random(6)

    def spoil(data: bytes) -> bytes:
        if not case.trouble or draw.random() >= SPOILT_SHARE:
            return data
        whole = int(LENGTH.search(data)[1])
        wrong = draw.randrange(1, whole)
        case.record(f"an engine tells a length of {wrong} for {whole} bytes")
        return LENGTH.sub(b"Content-Length: %d" % wrong, data, count=1)

    engines = [Engine(f"s-{number:08x}", case.record, lambda s: WORK, rows) for number in (1, 2, 3)]
    for engine in engines:
        engine.spoil = spoil
    bulletin, address = Bulletin(case.record), ("127.0.0.1", free_port())
    case.start("n0", configuration(address[1], bulletin.port, engines))
    case.until(lambda: is_well(address), 30, "the front end is ready")
    breaks: list[str] = []
    counts = {"served": 0, "refused": 0, "failed": 0, "broken": 0}
    began = time.monotonic()

    def ask(number: int) -> None:
        client, at = Client(address), 0
        while time.monotonic() < began + SECONDS:
            at += 1
            statement = f"select {number}x{at} from stock_{number}.bags"
            answer = client.request("par-lookup", statement, 5.0)
            counts[answer.kind] += 1
            if answer.kind == "served" and answer.text != rows(statement):
                found = answer.text.count("\n")
                breaks.append(
                    f"{statement!r} was answered 'served' with {found} of {ROWS} rows: {answer.text!r}"
                )

    threads = [threading.Thread(target=ask, args=(number,), daemon=True) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SECONDS + 30)
    case.record(f"answers: {counts}, of them {len(breaks)} served without all rows")
    return breaks


play(__file__, scene)
