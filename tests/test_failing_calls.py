"""A front-end process whose system calls fail as documented: each request still gets exactly one answer."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from frontend import MAX_WAIT_S, FrontEnd
from test_release import INFO

from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Closed, TimedOut
from standins.clients import ThriftClient
from standins.scenario import run_scenario
from standins.world import ROWS, EngineBehaviour

RATE = "0.05"  # share of the calls that fail
CLIENTS = 6  # connections
REQUESTS = 60  # on each connection
SETTINGS = INFO | {"group_size": 1, "me": 0}


@pytest.fixture(params=[("1", RATE, "serving"), ("2", RATE, "serving"), ("3", RATE, "start")], ids="-".join)
def failing(request, tmp_path: Path) -> Iterator[FrontEnd]:
    made = FrontEnd(tmp_path, ("-m", "standins.failingcalls", *request.param))
    yield made
    made.stop()


def test_each_request_gets_one_answer_if_calls_fail(failing):
    hub, kinds, lost, crossed, running = failing.hub, [], [], [], [CLIENTS]

    def send_requests(client: ThriftClient, me: int) -> None:
        number, again = 0, False
        while number < REQUESTS:
            statement = f"q {me} {number}"
            try:
                reply = client.request(statement, MAX_WAIT_S, req=f"{me:08x}{number:07x}{again:x}")
            except (
                Closed
            ) as why:  # retry as the protocol says: it was sent while an idle connection was closed
                if again or failing.start_times(statement):
                    lost.append((statement, repr(why)))
                    break
                crossed.append(statement)
                client, again = failing.client("lookup"), True
                continue
            except (TimedOut, Refused) as why:
                lost.append((statement, repr(why)))
                break
            kinds.append(reply.kind)
            assert reply.kind != "served" or reply.rows == ROWS
            number, again = number + 1, False
        running[0] -= 1

    def scenario() -> None:
        for me in range(CLIENTS):
            hub.spawn(send_requests, failing.client("lookup"), me)
        end = time.monotonic() + MAX_WAIT_S
        while running[0]:
            assert time.monotonic() < end and failing.process.poll() is None, failing.log()[-3000:]
            hub.sleep(0.05)
        failing.process.send_signal(signal.SIGTERM)
        while failing.process.poll() is None:
            assert time.monotonic() < end, failing.log()[-3000:]
            hub.sleep(0.05)

    for engine in failing.engines:
        engine.behaviour = lambda statement: EngineBehaviour(after=0.01)
    failing.start(SETTINGS)
    run_scenario(hub, scenario)
    assert not lost, (lost, failing.log()[-3000:])
    assert len(crossed) <= failing.log().count('reason="room for another'), (crossed, failing.log()[-3000:])
    assert failing.process.returncode == 0 and "error:" not in failing.log(), failing.log()[-3000:]
    assert kinds.count("served") > 0.9 * CLIENTS * REQUESTS, failing.log()[-3000:]
