"""Shutdown of a process that receives repeated signals while clients keep sending requests."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from frontend import MAX_WAIT_S, FrontEnd
from test_release import INFO

from aspenrill.net.hub import Closed
from standins.clients import ThriftClient
from standins.scenario import run_scenario

DEADLINE = 0.3  # seconds
KILL_AFTER = 0.7  # seconds
CLASS = INFO["classes"][0] | {"on_time_ns": int(0.2e9), "give_up_ns": int(DEADLINE * 1e9)}
SETTINGS = INFO | {"classes": [CLASS], "group_size": 1, "me": 0}


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontEnd]:
    made = FrontEnd(tmp_path, ("-m",))
    yield made
    made.stop()


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGHUP], ids=["term", "hup"])
def test_repeated_signals_do_not_change_the_exit_code(front, second):
    # at exit the interpreter restores the default handlers, so that a signal then killed the process
    kinds: list[str] = []

    def send_requests(client: ThriftClient) -> None:
        try:
            while True:
                kinds.append(client.request("select 1", MAX_WAIT_S).kind)
                front.hub.sleep(0.02)
        except Closed:
            client.close()

    def scenario() -> None:
        front.hub.spawn(send_requests, front.client("lookup"))
        front.hub.sleep(0.2)
        front.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + MAX_WAIT_S
        while front.process.poll() is None:
            assert time.monotonic() < until, front.log()
            front.process.send_signal(second)
            front.hub.sleep(0.002)

    front.start(SETTINGS)
    run_scenario(front.hub, scenario)
    assert front.process.returncode == 0, front.log()
    assert {"served", "refused"} >= set(kinds) and kinds[-1] == "refused", (kinds, front.log())
