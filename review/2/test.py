"""A request sent into a cut network starts there once the network is back, beside its next attempt."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

from review.lib.clients import Client, Sent
from review.lib.harness import SETTINGS, TROUBLE, Case, NotRun, run

ENGINES = 5
CUT = 0  # which link is cut: one of five
CUT_SECONDS = 6.0
REPORTS = 20  # sent at once, right after the cut began
REPORT_MS = 4000
LOOKUPS = 5  # clients that ask beside them
BURST = 40  # lookups at once before that, so that connections to all engines lie idle
SLACK = 0.05  # seconds by which each time limit of the rules is longer on sockets


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


def attempts(case: Case) -> dict[str, list[list]]:
    """By request: engine, begin and end of each attempt, as its engine saw it."""
    found: dict[str, list[list]] = {}
    for event in case.engine_events():
        of_request = found.setdefault(event["id"], [])
        if event["what"] == "begins":
            of_request.append([event["engine"], event["at"], None, event["repeat"]])
        else:
            for attempt in of_request:
                if attempt[0] == event["engine"] and attempt[2] is None:
                    attempt[2] = event["at"]
    return found


def test(case: Case) -> str | None:
    """No request may have two attempts out at once."""
    ports = case.engines(ENGINES)
    case.front_end(case.standin("links", *ports), SETTINGS)
    links = case.processes[-3]
    sent: list[Sent] = []
    began = time.time()
    until = began + 2.0 + CUT_SECONDS + 6.0
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

    def tell(what: str) -> None:
        if TROUBLE:
            links.stdin.write(f"{what} {CUT}\n")
            links.stdin.flush()
            links.stdout.readline()
            case.record(f"{what} of the link to the first engine")

    tell("cut")
    cut_at = time.time()
    for number in range(REPORTS):
        report = f"select sum(bags) from north_{number}.usage -- {REPORT_MS} ms"
        sent.append(client.send("usage-report", report, 20.0))
    time.sleep(max(0.0, cut_at + CUT_SECONDS - time.time()))
    tell("heal")
    for thread in threads:
        thread.join()
    for request in sent:
        request.done.wait(max(0.0, until + 5.0 - time.time()))
    time.sleep(2.5)  # what nobody asks for is dropped meanwhile
    case.record_all(sent)
    twice, far = [], time.time()
    for ident, each in attempts(case).items():
        each.sort(key=lambda attempt: attempt[1])
        for first, second in zip(each, each[1:], strict=False):
            overlap = min(first[2] or far, second[2] or far) - second[1]
            if overlap > SLACK:
                twice.append(ident)
                case.record(
                    f"two attempts of {ident} are out at once for {overlap:.2f} s: at {first[0]} from "
                    f"{first[1] - case.began:.3f} and at {second[0]} from {second[1] - case.began:.3f}"
                )
    served = sum(request.answer == "served" for request in sent)
    case.record(f"{len(sent)} requests, {served} served")
    if not served:
        raise NotRun("no request was served")
    return f"{len(twice)} requests had two attempts out at once" if twice else None


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, test))
