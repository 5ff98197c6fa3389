"""The arrival bound of input: a process that was stopped must not treat old data as just received."""

from __future__ import annotations

import errno
import socket
import time

import pytest

from aspenrill.net.hub import READ, Hub
from standins.scenario import run_scenario

STOP_S = 0.3


class StoppedPoll:
    """During its first poll data arrives and the process is stopped; then the poll may fail."""

    def __init__(self, real, comes, fails: bool) -> None:
        self.real, self.comes, self.fails, self.first = real, comes, fails, True

    def __getattr__(self, name: str):
        return getattr(self.real, name)

    def poll(self, timeout) -> list:
        if self.first:
            self.first = False
            self.comes()
            time.sleep(STOP_S)
            if self.fails:
                raise OSError(errno.ENOMEM, "ENOMEM")
        return self.real.poll(timeout)


@pytest.mark.parametrize("fails", [False, True], ids=["poll succeeds", "poll fails"])
def test_data_that_arrived_while_the_process_was_stopped_is_dated_before_the_stop(fails):
    hub, dated = Hub(), []
    ours, theirs = socket.socketpair()

    def scenario() -> None:
        hub.sleep(0.05)
        came = time.monotonic()
        hub._poll = StoppedPoll(hub._poll, lambda: theirs.send(b"x"), fails)
        hub.wait_fd(ours.fileno(), READ, 5.0)
        dated.append((came, hub.arrivals_after, time.monotonic()))

    run_scenario(hub, scenario)
    [(came, since, now)] = dated
    assert since <= came + 0.05 and now >= came + STOP_S
    ours.close()
    theirs.close()


def test_data_that_arrives_during_a_wait_is_dated_now():
    hub, spans = Hub(), []
    ours, theirs = socket.socketpair()

    def scenario() -> None:
        for _ in range(20):
            hub.timers.after(0.01, theirs.send, b"x")
            hub.wait_fd(ours.fileno(), READ, 5.0)
            spans.append(time.monotonic() - hub.arrivals_after)
            ours.recv(10)

    run_scenario(hub, scenario)
    assert sorted(spans)[10] < 0.05
    ours.close()
    theirs.close()
