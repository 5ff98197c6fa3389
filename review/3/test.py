"""Statements that cannot be read hold the whole front end up: no other request gets its answer."""

from __future__ import annotations

import secrets
import socket
import sys
import threading
import time
from pathlib import Path

from review.lib.clients import Client, Sent, serve_call
from review.lib.harness import SETTINGS, TROUBLE, Case, NotRun, run

ENGINES = 3
CLIENTS = 6
SECONDS = 45.0
BAD_AT = 3.0  # seconds after the begin
BAD_REQUESTS = 10  # of one bad client, sent at once
BAD_BYTES = 64_000  # of each statement
OVERDUE = 0.5  # seconds after its time at which a request without an answer is lost
SLACK = 0.05  # seconds by which each time limit is longer on sockets
# A third argument of a call, which a reader has to pass over: field 3, an i32.
LATER_FIELD = b"\x08\x00\x03\x00\x00\x00\x01"


def ask(case: Case, number: int, sent: list[Sent], until: float) -> None:
    """One usual client: sends the next lookup when it has the answer, or waits no longer."""
    client, count = Client(case.address), 0
    while time.time() < until and not client.ended:
        count += 1
        lookup = f"select * from north_{number}.stock where place = {count} -- {130 + 20 * number} ms"
        request = client.send("par-lookup", lookup, 5.0)
        sent.append(request)
        if not request.done.wait(request.timeout + OVERDUE + SLACK):
            client.forget(request)
        time.sleep(0.05)
    client.close()


def misbehave(case: Case) -> None:
    """One bad client: sends statements that cannot be read, reads whatever it is sent, and goes."""
    statement = b"select " + b"[" * (BAD_BYTES - 18) + b" /* stock */"
    calls = b""
    for seqid in range(1, BAD_REQUESTS + 1):
        fields = {"kind": "par-lookup", "req": secrets.token_hex(8), "timeout": "5000", "owner": "core"}
        calls += serve_call(seqid, fields, statement, LATER_FIELD)
    with socket.create_connection(case.address, 10.0) as sock:
        sock.settimeout(60.0)
        case.record(f"a bad client sends {BAD_REQUESTS} requests, {len(calls)} bytes in all")
        sock.sendall(calls)
        try:
            while sock.recv(65536):
                pass
        except OSError:
            pass


def test(case: Case) -> str | None:
    """Each request of a usual client gets its final answer, at the latest half a second after its time."""
    case.front_end(case.engines(ENGINES), SETTINGS)
    sent: list[Sent] = []
    until = time.time() + SECONDS
    threads = [threading.Thread(target=ask, args=(case, n, sent, until)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(BAD_AT)
    if TROUBLE:
        threading.Thread(target=misbehave, args=(case,), daemon=True).start()
    for thread in threads:
        thread.join()
    case.record_all(sent)
    lost = []
    for request in sent:
        ended_at = request.answered_at or time.time()
        late = ended_at - request.sent_at - request.timeout
        # A request that crosses the end of a resting connection is sent again and is not lost.
        broken = request.answer == "broken" and ended_at - request.sent_at > SLACK
        if broken or late > OVERDUE + SLACK:
            lost.append(request)
            when = f"{late:.2f} s after its time" if request.answered_at else "no answer"
            case.record(f"lost: {request.ident} {request.answer}, {when}")
    served = sum(request.answer == "served" for request in sent)
    case.record(f"{len(sent)} requests, {served} served, {len(lost)} lost")
    if not served:
        raise NotRun("no request was served")
    return f"{len(lost)} requests got no answer in time" if lost else None


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, test))
