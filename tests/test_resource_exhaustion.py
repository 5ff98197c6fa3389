"""Transient resource exhaustion: a front end still starts, reloads its configuration and drains."""

from __future__ import annotations

import errno
import json
import socket
import time
from pathlib import Path

import pytest
from frontend import FrontEnd
from test_release import INFO

from aspenrill.net.connecting import connect
from aspenrill.net.hub import Hub
from aspenrill.net.listener import Listener
from aspenrill.net.retrying import retry
from aspenrill.node import platform
from standins.scenario import run_scenario
from standins.world import EngineBehaviour

SETTINGS = INFO | {"group_size": 1, "me": 0}


def failing(times: int, code: int):
    """A call that fails `times` times before it returns "made"."""
    remaining = [times]

    def call() -> str:
        remaining[0] -= 1
        if remaining[0] >= 0:
            raise OSError(code, "no")
        return "made"

    return call


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRINUSE])
def test_only_transient_errors_are_retried(code):
    pauses: list[float] = []
    assert retry(failing(3, code), 5.0, pauses.append) == "made" and len(pauses) == 3
    with pytest.raises(OSError):
        retry(failing(1, code), 0.0, pauses.append)
    with pytest.raises(FileNotFoundError):
        retry(failing(1, errno.ENOENT), 5.0, pauses.append)
    assert len(pauses) == 3


def test_a_front_end_starts_while_its_address_is_still_in_use(tmp_path):
    # a previous process that exits slowly still listens there
    front = FrontEnd(tmp_path, ("-m",))
    former = socket.socket()
    former.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    former.bind(front.front.reserved_socket.getsockname())
    former.listen(1)

    def scenario() -> None:
        front.hub.sleep(1.0)
        former.close()
        assert front.client("lookup").request("select 1", 30).kind == "served"

    try:
        for engine in front.engines:
            engine.behaviour = lambda statement: EngineBehaviour()
        front.start(SETTINGS)
        run_scenario(front.hub, scenario)
    finally:
        former.close()
        front.stop()


def test_a_new_configuration_is_loaded_despite_descriptor_exhaustion(tmp_path, monkeypatch):
    # otherwise the front end would keep polling a bulletin that has moved and miss drains
    logged: list[str] = []
    hub, path = Hub(logged.append), tmp_path / "node.json"

    def write(bulletin: str) -> None:
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:0",
                    "seed": "1",
                    "bulletin": bulletin,
                    "settings": SETTINGS,
                    "known": {"no": 1, "items": [{"no": 1, "roster": {"whole": True, "hosts": []}}]},
                }
            )
        )

    write("127.0.0.1:9")
    node = platform(hub, {"NODE_CONFIG": str(path)})
    write("127.0.0.1:10")
    real, failures = Path.read_text, [errno.EMFILE, errno.ENFILE, errno.EMFILE]

    def read_text(self: Path, *words, **more) -> str:
        if self == path and failures:
            raise OSError(failures.pop(), "no descriptor")
        return real(self, *words, **more)

    monkeypatch.setattr(Path, "read_text", read_text)
    run_scenario(hub, node.reload)
    assert not failures and "configuration read again" in logged
    failures += [errno.EIO]
    run_scenario(hub, node.reload)
    assert logged[-1].startswith("configuration not taken, the old one stays: NODE_CONFIG")


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENOBUFS, errno.EPROTO, errno.ENETDOWN, errno.EINTR])
def test_a_draining_listener_accepts_its_backlog_though_accept_fails(code):
    hub, served = Hub(lambda text: None), []
    listener = Listener(
        hub, ("127.0.0.1", 0), lambda conn: served.append(conn.read(1, time.monotonic() + 5)), 10, "front"
    )
    real, failures = listener.sock, [code] * 5

    class Failing:
        """A listening socket whose first accepts fail."""

        def accept(self):
            if failures:
                raise OSError(failures.pop(), "not now")
            return real.accept()

        def __getattr__(self, name: str):
            return getattr(real, name)

    def scenario() -> None:
        conns = [connect(hub, listener.address, time.monotonic() + 5) for _ in range(3)]
        for conn in conns:
            conn.write(b"x", time.monotonic() + 5)
        listener.sock = Failing()
        listener.drain()
        end = time.monotonic() + 30
        while listener.open or listener.connections:
            assert time.monotonic() < end
            hub.sleep(0.01)
        for conn in conns:
            conn.close()

    run_scenario(hub, scenario)
    assert served == [b"x"] * 3 and not failures
