"""How long what has come may have lain unread: a program that was stopped must not take it for new."""

from __future__ import annotations

import errno
import socket
import time

import pytest

from aspenrill.net.hub import READ, Hub
from standins.scene import play

STOP = 0.3  # seconds


class StoppedPoll:
    """In its first wait something comes, and the program is stopped for a while; then the wait may fail."""

    def __init__(self, real, comes, fails: bool) -> None:
        self.real, self.comes, self.fails, self.first = real, comes, fails, True

    def __getattr__(self, name: str):
        return getattr(self.real, name)

    def poll(self, timeout) -> list:
        if self.first:
            self.first = False
            self.comes()
            time.sleep(STOP)
            if self.fails:
                raise OSError(errno.ENOMEM, "ENOMEM")
        return self.real.poll(timeout)


@pytest.mark.parametrize("fails", [False, True], ids=["looks", "a look fails in between"])
def test_what_came_while_the_program_was_stopped_is_dated_before_the_stop(fails):
    hub, dated = Hub(), []
    ours, theirs = socket.socketpair()

    def scene() -> None:
        hub.sleep(0.05)
        came = time.monotonic()
        hub._poll = StoppedPoll(hub._poll, lambda: theirs.send(b"x"), fails)
        hub.wait_fd(ours.fileno(), READ, 5.0)
        dated.append((came, hub.news_since, time.monotonic()))

    play(hub, scene)
    [(came, since, now)] = dated
    assert since <= came + 0.05 and now >= came + STOP
    ours.close()
    theirs.close()


def test_what_comes_to_a_program_that_waits_is_new():
    hub, spans = Hub(), []
    ours, theirs = socket.socketpair()

    def scene() -> None:
        for _ in range(20):
            hub.timers.after(0.01, theirs.send, b"x")
            hub.wait_fd(ours.fileno(), READ, 5.0)
            spans.append(time.monotonic() - hub.news_since)
            ours.recv(10)

    play(hub, scene)
    assert sorted(spans)[10] < 0.05
    ours.close()
    theirs.close()
