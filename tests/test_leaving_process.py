"""Shutdown of a real process under signals in series, while clients go on using their connections."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from frontend import WITHIN, FrontEnd
from test_release import INFO

from aspenrill.net.hub import Closed
from standins.clients import ThriftClient
from standins.scene import play

DEADLINE, KILL_AFTER = 0.3, 0.7  # seconds
CLASS = INFO["classes"][0] | {"on_time_ns": int(0.2e9), "give_up_ns": int(DEADLINE * 1e9)}
SETTINGS = INFO | {"classes": [CLASS], "group_size": 1, "me": 0}


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontEnd]:
    made = FrontEnd(tmp_path, ("-m",))
    yield made
    made.stop()


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGHUP], ids=["term", "hup"])
def test_signals_in_series_do_not_change_how_it_ends(front, second):
    # as the interpreter ends it takes handlers back: a signal then ended the process by its default way
    kinds: list[str] = []

    def ask(client: ThriftClient) -> None:
        try:
            while True:
                kinds.append(client.ask("select 1", WITHIN).kind)
                front.hub.sleep(0.02)
        except Closed:
            client.close()

    def scene() -> None:
        front.hub.spawn(ask, front.client("lookup"))
        front.hub.sleep(0.2)
        front.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + WITHIN
        while front.process.poll() is None:
            assert time.monotonic() < until, front.log()
            front.process.send_signal(second)
            front.hub.sleep(0.002)

    front.start(SETTINGS)
    play(front.hub, scene)
    assert front.process.returncode == 0, front.log()
    assert {"served", "refused"} >= set(kinds) and kinds[-1] == "refused", (kinds, front.log())
