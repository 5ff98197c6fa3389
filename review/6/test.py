"""A second copy of a good answer comes some milliseconds late: no client may get another's rows."""

from __future__ import annotations

import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.client import Client, is_well
from lib2.engine import Engine
from lib2.platform import Bulletin, configuration
from lib2.record import Case, free_port, play

COPY_AFTER = 0.005  # seconds: "some milliseconds late"
COPY_SHARE = 0.05  # of the good answers
WORK = 0.02  # seconds of a query
FRONT_ENDS = 3
REPORT = 1.5  # seconds of a long query
SECONDS = 12.0
QUIET = 2.0  # seconds at the beginning without a second copy


def rows(statement: str) -> str:
    return f"{statement}\tsheets\tok\n"


def seconds_of(statement: str) -> float:
    return REPORT if statement.startswith("select usage") else WORK


def scene(case: Case) -> list[str]:
    draw, began = random.Random(6), time.monotonic()

    def second_copy(sock: socket.socket, data: bytes) -> None:
        if case.trouble and time.monotonic() > began + QUIET and draw.random() < COPY_SHARE:
            time.sleep(COPY_AFTER)
            sock.sendall(data)
            case.record("an engine has sent a second copy of " + repr(data.partition(b"\r\n\r\n")[2]))

    engines = [Engine(f"s-{number:08x}", case.record, seconds_of, rows, second_copy) for number in (1, 2)]
    bulletin = Bulletin(case.record)
    addresses = [("127.0.0.1", free_port()) for _ in range(FRONT_ENDS)]
    for me, address in enumerate(addresses):
        case.start(f"n{me}", configuration(address[1], bulletin.port, engines, FRONT_ENDS, me))
    case.until(lambda: all(map(is_well, addresses)), 30, "the front ends are ready")
    breaks: list[str] = []
    counts = {"served": 0, "refused": 0, "failed": 0, "broken": 0}

    def ask(address: tuple[str, int], number: int, cls: str, what: str, timeout: float) -> None:
        client, at = Client(address), 0
        while time.monotonic() < began + SECONDS:
            at += 1
            statement = f"select {what}_{number}_{at} from stock_{number}.bags"
            answer = client.request(cls, statement, timeout)
            counts[answer.kind] += 1
            if answer.kind == "served" and answer.text != rows(statement):
                breaks.append(f"{statement!r} was answered 'served' with {answer.text!r}")

    began = time.monotonic()
    threads = []
    for number, address in enumerate(addresses):  # a clerk with reports, and a planner with look-ups
        for work in (("usage-report", "usage", 20.0), ("par-lookup", "bag", 5.0)):
            threads.append(threading.Thread(target=ask, args=(address, number, *work), daemon=True))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SECONDS + 30)
    case.record(f"answers: {counts}")
    return breaks


play(__file__, scene)
