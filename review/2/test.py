"""A request sent into a silent network starts there once the network is back, though it was sent again."""

from __future__ import annotations

import copy
import sys
import threading
import time
from pathlib import Path
from typing import Any

from review.lib.clients import Client, Sent
from review.lib.harness import SETTINGS, TROUBLE, Case, NotRun, run

ENGINES = 5
LINK = 0  # which link has the disruption: one of five
REQUESTS = 20  # sent at once, right after its begin
BURST = 40  # lookups at once before that, so that connections to all engines lie idle
LOOKUPS = 5  # clients that ask beside the requests
SLACK = 0.05  # seconds by which each time limit of the rules is longer on sockets

CUT_SECONDS = 6.0
REPORT_MS = 4000

SILENT_SECONDS = 2.5
WINDOW = 1.0  # seconds, in which engines know a repeat by its key
LOAD_MS = 1850


def ask(case: Case, number: int, sent: list[Sent], until: float) -> None:
    """One client of lookups: sends the next when it has the answer to the one before."""
    client, count = Client(case.address), 0
    while time.time() < until and not client.ended:
        count += 1
        lookup = f"select * from north_{number}.stock where place = {count} -- {150 + 5 * number} ms"
        request = client.send("par-lookup", lookup, 5.0)
        sent.append(request)
        request.done.wait(10.0)
        time.sleep(0.05)
    client.close()


def day(
    case: Case, settings: dict[str, Any], window: float, what: str, seconds: float, cls: str
) -> list[Sent]:
    """A short day on a front end of its own, with one disruption. Returns what was sent."""
    ports = case.engines(ENGINES, "--key-window", window)
    ports = case.standin("links", *ports)
    links = case.processes[-1]
    case.front_end(ports, settings)
    sent: list[Sent] = []
    until = time.time() + 2.0 + seconds + 6.0
    threads = [threading.Thread(target=ask, args=(case, n, sent, until)) for n in range(LOOKUPS)]
    for thread in threads:
        thread.start()
    client = Client(case.address)
    for number in range(0, BURST, 20):
        burst = Client(case.address)
        for place in range(20):
            lookup = f"select * from north_{number + place}.stock where place = 0 -- 250 ms"
            sent.append(burst.send("par-lookup", lookup, 5.0))
    time.sleep(2.0)

    def tell(change: str) -> None:
        if TROUBLE:
            links.stdin.write(f"{change} {LINK}\n")
            links.stdin.flush()
            links.stdout.readline()
            case.record(f"{change}: the link to the first engine")

    tell(what)
    began = time.time()
    for number in range(REQUESTS):
        if cls == "scan-load":
            scan = f"insert into north_{number}.bags -- {LOAD_MS} ms"
            sent.append(client.send(cls, scan, 25.0, f"{int(began * 1000):016x}{number:016x}"))
        else:
            report = f"select sum(bags) from north_{number}.usage -- {REPORT_MS} ms"
            sent.append(client.send(cls, report, 20.0))
    time.sleep(max(0.0, began + seconds - time.time()))
    tell("heal")
    for thread in threads:
        thread.join()
    for request in sent:
        request.done.wait(max(0.0, until + 5.0 - time.time()))
    time.sleep(2.5)  # what nobody asks for is dropped meanwhile
    if not any(request.answer == "served" for request in sent):
        raise NotRun("no request was served")
    return sent


def attempts(case: Case) -> dict[str, list[dict[str, Any]]]:
    """By request: its attempts, as their engines saw them."""
    found: dict[str, list[dict[str, Any]]] = {}
    for event in case.engine_events():
        of_request = found.setdefault(event["id"], [])
        if event["what"] == "comes again":
            continue
        if event["what"] == "begins":
            of_request.append({"engine": event["engine"], "begin": event["at"], "repeat": event["repeat"]})
        else:
            for attempt in of_request:
                if attempt["engine"] == event["engine"] and "end" not in attempt:
                    attempt["end"], attempt["how"] = event["at"], event["what"]
    return found


def judge(case: Case, keyed: set[str]) -> tuple[list[str], int]:
    """The breaks of the rule: two attempts out at once. And how many loads were applied twice."""
    breaks, applied, now = [], 0, time.time()
    for ident, each in attempts(case).items():
        each.sort(key=lambda attempt: attempt["begin"])
        for first, second in zip(each, each[1:], strict=False):
            overlap = min(first.get("end", now), second.get("end", now)) - second["begin"]
            if overlap > SLACK:
                breaks.append(f"two attempts of {ident} are out at once for {overlap:.2f} s")
        if ident in keyed and sum(a.get("how") == "ended" and not a["repeat"] for a in each) > 1:
            applied += 1
            after = each[-1]["begin"] - each[0]["begin"]
            case.record(f"the load of {ident} was applied twice, the second one began {after:.2f} s later")
    return breaks, applied


def test(case: Case) -> str | None:
    """Two short days on two front ends, each with one disruption of its own."""
    case.record("day 1: one of five engines is cut off")
    sent = day(case, SETTINGS, 15.0, "cut", CUT_SECONDS, "usage-report")
    case.record("day 2: the open connections to one of five engines fall silent")
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][2]["window_ns"] = int(WINDOW * 1e9)
    loads = day(case, settings, WINDOW, "silence", SILENT_SECONDS, "scan-load")
    case.record_all(sent + loads)
    breaks, applied = judge(case, {request.ident for request in loads if request.cls == "scan-load"})
    for line in breaks:
        case.record(line)
    case.record(f"{len(sent)} and {len(loads)} requests; {applied} loads applied twice")
    if not breaks:
        return None
    return f"{len(breaks)} requests had two attempts out at once; {applied} loads were applied twice"


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, test))
