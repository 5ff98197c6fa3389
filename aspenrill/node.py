"""One real front end, put together from its configuration: a platform node, or one application's sidecar."""
from __future__ import annotations

import gc
import json
import os
import resource
import signal
import socket
import sys
import time
import tomllib
import traceback
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from . import api, application
from .core.books import Closing
from .core.owner import Owner
from .engines.base import Engines
from .engines.http import HttpEngines
from .engines.pool import Pools
from .engines.tds import TdsEngines, logging_in
from .fronts import tds, thrift
from .net.conn import Connection
from .net.hub import READ, Hub
from .net.listener import Listener
from .roster.bulletin import Bulletin
from .roster.dnssd import DnsSd
from .settings import settings_from
from .wire import Malformed
from .wire.bulletin import Member, News, json_news

CLIENT_SHARE, ENGINE_SHARE = 0.4, 0.5  # of the descriptors; the rest is for listeners, files and probes
IDLE_MARGIN, LEAST_IDLE = 2.0, 1.0  # seconds by which a pooled connection is closed before the engine would
STILL_TAKING = 1.0  # seconds after SIGTERM in which requests are taken, and a margin
LONGEST_LEAVE, LEAVE_MARGIN = 3.0, 0.35  # SIGKILL comes 0.7 s after the longest deadline, or 3 s: before it
FLUSH_FOR = 0.25
TDS_FILE = Path(__file__).resolve().parent.parent / "deploy" / "tds.toml"


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
    """Owner, fronts and engines of one front end. `make` builds the side that speaks to engines."""

    def __init__(self, hub: Hub, settings: api.Settings, seed: int, sockets: int, idle_for: float,
                 connect_for: float, make: Callable[[Pools, Callable[[Any], None]], Engines],
                 greet: Callable[[Connection, float], None] | None = None) -> None:
        self.hub, self.settings = hub, settings
        self.sockets = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.pools = Pools(hub, int(self.sockets * ENGINE_SHARE), max(LEAST_IDLE, idle_for - IDLE_MARGIN),
                           connect_for, greet)
        self.owner = Owner(hub, settings, seed, make(self.pools, self.post))
        self.fronts: list[tuple[Any, Listener]] = []
        self.reread: Callable[[], None] = lambda: None  # what SIGHUP does; ConfigError where it cannot
        hub.spawn(self.owner.run, name="owner")

    def post(self, event: Any) -> None:
        """The only way to the owner."""
        self.owner.queue.put(event)

    def listen(self, address: tuple[str, int], service: Any, name: str,
               share: float = CLIENT_SHARE) -> Listener:
        """Open a front."""
        listener = Listener(self.hub, address, service.serve, int(self.sockets * share), name)
        self.fronts.append((service, listener))
        return listener

    def reload(self) -> None:
        """After SIGHUP: the configuration anew, or the old one where it cannot be used."""
        try:
            self.reread()
        except ConfigError as why:
            self.hub.log(f"configuration not taken, the old one stays: {why}")
        else:
            self.hub.log("configuration read again")

    def leave(self) -> None:
        """After SIGTERM: take what still comes, answer everything, end."""
        began = time.monotonic()
        self.owner.well = False
        self.hub.log("leaving")
        longest = max(c.patience for c in self.settings.classes)
        latest = began + min(longest, LONGEST_LEAVE) + LEAVE_MARGIN
        while time.monotonic() < began + STILL_TAKING or self.owner.open and time.monotonic() < latest:
            self.hub.sleep(0.02)
        for _, listener in self.fronts:
            listener.close()
        self.post(Closing())
        until = time.monotonic() + FLUSH_FOR
        self.hub.sleep(0.02)
        while (any(s.writing for s, _ in self.fronts) or self.owner.queue.items) and time.monotonic() < until:
            self.hub.sleep(0.01)
        self.hub.log(f"left with {len(self.owner.open)} requests open")
        self.hub.stop()


def platform(hub: Hub, env: Mapping[str, str], tds_file: Path = TDS_FILE) -> Node:
    """A node of the platform: Thrift before it, HTTP engines behind it, TDS too where its file says so."""
    config = read_config(env)
    node = Node(hub, config.settings, config.seed, config.sockets, config.idle_for, config.connect_for,
                lambda pools, post: HttpEngines(hub, pools, config.settings, config.classes, post))
    for news in config.known:
        node.owner.take(news)
    keyed = [c.effect is api.Effect.KEYED for c in config.settings.classes]
    node.listen(config.listen, thrift.Service(hub, config.classes, keyed, config.tenants, node.post,
                                              lambda: node.owner.well), "thrift")
    extra = _extra_front(tds_file, (config.classes, keyed, config.tenants))
    if extra is not None:
        node.listen(extra.listen, tds.Service(hub, extra.logins, node.post, extra.name), "tds", 0.05)
    bulletin = Bulletin(hub, config.bulletin, config.last, node.post)
    bulletin.start()

    def reread() -> None:
        now = read_config(env)
        if (now.settings, now.listen, now.sockets) != (config.settings, config.listen, config.sockets):
            hub.log("configuration: settings, listen and limits take effect at the next start")
        bulletin.move(now.bulletin)

    node.reread = reread
    return node


def _extra_front(path: Path, names: tuple[list[str], list[bool], list[str]],
                 ) -> application.Application | None:
    """The TDS front of a platform node; None where its file has it off, or is not there."""
    try:
        text = path.read_text(encoding="utf-8")
        if tomllib.loads(text).get("enabled") is not True:
            return None
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as why:
        raise ConfigError(f"{path.name}: {why}") from None
    found, faults = application.read(text, names)
    if found is None:
        raise ConfigError(f"{path.name}: {faults[0]}")
    return found


def _application(path: str) -> application.Application:
    """An application's file; ConfigError names its first fault."""
    try:
        with open(path, encoding="utf-8") as file:
            app, faults = application.read(file.read())
    except (OSError, ValueError) as why:
        raise ConfigError(f"{path}: {why}") from None
    if app is None:
        more = f" (and {len(faults) - 1} more; the tool's check names them)" if faults[1:] else ""
        raise ConfigError(f"{path}: {faults[0]}{more}")
    return app


def _members(app: application.Application) -> News:
    """The engines that the file itself lists."""
    return News(0, True, tuple(Member(name, address, api.EngineState.LIVE, kind=kind)
                               for name, address, kind in app.engines))


def sidecar(hub: Hub, path: str) -> Node:
    """One application's front: TDS before it, TDS engines behind it."""
    app = _application(path)
    node = Node(hub, app.settings, int.from_bytes(os.urandom(8), "big"), app.sockets, app.idle_for,
                app.connect_for, lambda pools, post: TdsEngines(hub, pools, post, app.answer_bytes),
                logging_in(app.user, app.app))
    roster, service = None, None
    if app.source == "list":
        node.owner.take(_members(app))
    else:
        roster = DnsSd(hub, app.resolver, app.service, app.kinds, node.post)
        roster.start()
    if app.enabled:
        service = tds.Service(hub, app.logins, node.post, app.name)
        node.listen(app.listen, service, "tds")

    def reread() -> None:
        nonlocal app
        now = _application(path)
        if (now.source, now.settings, now.kinds, now.listen, now.enabled) != (
                app.source, app.settings, app.kinds, app.listen, app.enabled):
            raise ConfigError(f"{path}: only logins, engines and resolver can change without a new start")
        app = now
        if service is not None:
            service.mappings = now.logins
        if roster is None:
            node.post(_members(now))
        else:
            roster.move(now.resolver, now.service)

    node.reread = reread
    return node


def on_signal(hub: Hub, number: int, act: Callable[[], None]) -> None:
    """Run `act` in a task each time the signal has come."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)

    def came(*_: Any) -> None:
        try:
            theirs.send(b"x")
        except BlockingIOError:
            pass  # many lie there unread: one more changes nothing

    signal.signal(number, came)

    def wait() -> None:
        while True:
            hub.wait_fd(ours.fileno(), READ, None)
            ours.recv(4096)
            try:
                act()
            except Exception:
                hub.report(f"signal {number}", traceback.format_exc())

    hub.spawn(wait, name="signal")


def main(words: Sequence[str] | None = None, env: Mapping[str, str] = os.environ) -> int:
    """Run one front end until SIGTERM; 2 where its configuration cannot be used."""
    words = sys.argv[1:] if words is None else words
    hub = Hub(lambda text: print(text, file=sys.stderr, flush=True))
    node: Node | None = None
    on_signal(hub, signal.SIGHUP, lambda: node.reload())  # first: by default it would end the program
    try:
        if len(words) > 1:
            raise ConfigError("usage: python -m aspenrill [FILE], the file being an application's")
        node = sidecar(hub, words[0]) if words else platform(hub, env)
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
