"""One real front end, put together from its configuration."""
from __future__ import annotations

import gc
import json
import os
import resource
import signal
import socket
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from . import api
from .core.books import Closing
from .core.owner import Owner
from .engines.http import HttpEngines
from .engines.pool import Pools
from .fronts.thrift import Service
from .net.hub import READ, Hub
from .net.listener import Listener
from .roster.bulletin import Bulletin
from .settings import settings_from
from .wire import Malformed
from .wire.bulletin import News, json_news

CLIENT_SHARE, ENGINE_SHARE = 0.4, 0.5  # of the descriptors; the rest is for listeners, files and probes
IDLE_MARGIN, LEAST_IDLE = 2.0, 1.0  # seconds by which a pooled connection is closed before the engine would
STILL_TAKING = 1.0  # seconds after SIGTERM in which requests are taken, and a margin
LONGEST_LEAVE, LEAVE_MARGIN = 3.0, 0.35  # SIGKILL comes 0.7 s after the longest deadline, or 3 s: before it
FLUSH_FOR = 0.25


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the field."""


@dataclass(frozen=True)
class Config:
    """What a front end is told, read and checked."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    bulletin: tuple[str, int]
    known: tuple[News, ...]
    last: int
    settings: api.Settings
    classes: list[str]
    tenants: list[str]
    idle_for: float
    connect_for: float


def address(text: Any, name: str) -> tuple[str, int]:
    """HOST:PORT with a numeric host."""
    host, _, port = str(text).rpartition(":")
    try:
        socket.inet_aton(host)
        if not 0 <= int(port) < 65536:
            raise ValueError
    except (OSError, ValueError):
        raise ConfigError(f"{name}: expected ADDRESS:PORT, got {text!r}") from None
    return host, int(port)


def read_config(env: Mapping[str, str]) -> Config:
    """The configuration that NODE_CONFIG names; ConfigError names the field that is wrong."""
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as why:
        raise ConfigError(f"NODE_CONFIG: {why}") from None
    if not isinstance(told, dict):
        raise ConfigError("NODE_CONFIG: expected an object")

    def want(name: str, kind: type) -> Any:
        value: Any = told
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if not isinstance(value, kind) or isinstance(value, bool):
            raise ConfigError(f"{name}: " + ("missing" if value is None else f"cannot be {value!r}"))
        return value

    info = want("settings", dict)
    try:
        settings = settings_from(info)
        settings.validate()
        classes = [str(c["name"]) for c in info["classes"]]
        tenants = [str(t["name"]) for t in info.get("tenants") or ()]
        limits = info.get("limits") or {}
        idle_for = limits.get("conn_idle_ns", 30e9) / 1e9
        connect_for = limits.get("connect_timeout_ns", 250e6) / 1e9
    except KeyError as why:
        raise ConfigError(f"settings: {why.args[0]}: missing or not known") from None
    except (TypeError, ValueError, AttributeError) as why:
        raise ConfigError(f"settings: {why}") from None
    want("known.no", int)
    known = []
    for at, item in enumerate(want("known.items", list)):
        try:
            known.append(json_news(item, info.get("areas") or [], info.get("kinds") or []))
        except Malformed as why:
            raise ConfigError(f"known.items[{at}]: {why}") from None
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {told['seed']!r}") from None
    sockets = (told.get("limits") or {}).get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 32:
        raise ConfigError(f"limits.sockets: expected 32 or more, got {sockets!r}")
    return Config(
        name=env.get("NODE_NAME") or str(told.get("name", "")),
        listen=address(env.get("NODE_LISTEN") or want("listen", str), "listen"), seed=seed, sockets=sockets,
        bulletin=address(want("bulletin", str), "bulletin"), known=tuple(known), last=told["known"]["no"],
        settings=settings, classes=classes, tenants=tenants, idle_for=idle_for, connect_for=connect_for)


class Node:
    """Owner, fronts, engines and roster of one front end."""

    def __init__(self, config: Config, hub: Hub) -> None:
        self.config, self.hub = config, hub
        sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        pools = Pools(hub, int(sockets * ENGINE_SHARE), max(LEAST_IDLE, config.idle_for - IDLE_MARGIN),
                      config.connect_for)
        engines = HttpEngines(hub, pools, config.settings, config.classes, lambda e: self.owner.queue.put(e))
        self.owner = Owner(hub, config.settings, config.seed, engines)
        for news in config.known:
            self.owner.take(news)
        self.roster = Bulletin(hub, config.bulletin, config.last, self.owner.queue.put)
        keyed = [c.effect is api.Effect.KEYED for c in config.settings.classes]
        self.front = Service(hub, config.classes, keyed, config.tenants, self.owner.queue.put,
                             lambda: self.owner.well)
        self.listener = Listener(hub, config.listen, self.front.serve, int(sockets * CLIENT_SHARE), "thrift")
        hub.spawn(self.owner.run, name="owner")
        hub.spawn(self.roster.run, name="bulletin")

    def leave(self) -> None:
        """After SIGTERM: take what still comes, answer everything, end."""
        began = time.monotonic()
        self.owner.well = False
        self.hub.log("leaving")
        longest = max(c.patience for c in self.config.settings.classes)
        latest = began + min(longest, LONGEST_LEAVE) + LEAVE_MARGIN
        while time.monotonic() < began + STILL_TAKING or self.owner.open and time.monotonic() < latest:
            self.hub.sleep(0.02)
        self.listener.close()
        self.owner.queue.put(Closing())
        until = time.monotonic() + FLUSH_FOR
        self.hub.sleep(0.02)
        while (self.front.writing or self.owner.queue.items) and time.monotonic() < until:
            self.hub.sleep(0.01)
        self.hub.log(f"left with {len(self.owner.open)} requests open")
        self.hub.stop()


def on_signal(hub: Hub, number: int, act: Any) -> None:
    """Run `act` in a task once the signal has come."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    signal.signal(number, lambda *_: theirs.send(b"x"))

    def wait() -> None:
        hub.wait_fd(ours.fileno(), READ, None)
        ours.recv(1)
        act()

    hub.spawn(wait, name="signal")


def main(env: Mapping[str, str] = os.environ) -> int:
    """Run one front end until SIGTERM; 2 where its configuration cannot be used."""
    hub = Hub(lambda text: print(text, file=sys.stderr, flush=True))
    try:
        config = read_config(env)
        node = Node(config, hub)
    except ConfigError as why:
        print(f"aspenrill: {why}", file=sys.stderr)
        return 2
    except OSError as why:
        print(f"aspenrill: listen: {why}", file=sys.stderr)
        return 2
    on_signal(hub, signal.SIGTERM, node.leave)
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    hub.run()
    return 0
