"""Builds a front end from its configuration: the parts common to all, and a node of the platform."""

from __future__ import annotations

import json
import resource
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from . import api
from .control import IN_FLIGHT_CHECK_INTERVAL, shed_after
from .core.books import Closing
from .core.owner import Owner
from .engines.base import Engines
from .engines.http import HttpEngines
from .engines.pool import Pools
from .fronts import thrift
from .members import EngineListUpdate
from .net import address as addresses
from .net.conn import Connection
from .net.hub import Hub
from .net.listener import Listener
from .net.retrying import CONFIG_READ_TIMEOUT, START_RETRY_TIMEOUT, retry
from .net.wallclock import watch_wall_clock
from .roster.bulletin import BulletinWatcher
from .settings import settings_from
from .starttimes import StartTimes
from .wire import Malformed
from .wire.bulletin import decode_json_update

# Shares of the file descriptors for client and engine connections; the remaining 10% is for listeners, files
# and probes.
CLIENT_DESCRIPTOR_SHARE = 0.4
ENGINE_DESCRIPTOR_SHARE = 0.5
IDLE_MARGIN = 2.0  # seconds: a pooled connection is closed this long before the engine would close it
MIN_IDLE_TIMEOUT = 1.0  # seconds
ACCEPT_AFTER_SIGTERM = 0.65  # seconds; by the protocol, requests arrive for up to 0.6 s after SIGTERM
# SIGKILL comes KILL_AFTER seconds after the longest deadline, which counts with MAX_DEADLINE_WAIT seconds at
# most.
KILL_AFTER = 0.7
MAX_DEADLINE_WAIT = 3.0
ANSWER_MARGIN = 0.3  # seconds before SIGKILL by which every request has its answer
EXIT_MARGIN = 0.1  # seconds before SIGKILL by which the process ends
BASE_MEMORY_MB = 26  # memory of the process without engines
ENGINE_MEMORY_KB = 5  # memory of one engine, with its entry in the text of the list
MIN_LIST_LIMIT = 2048  # engines that are accepted under any memory limit; at 26 MB
MAX_BULLETIN_DELAY = 7.0  # seconds within which the bulletin delivers an event, by the protocol
DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
TDS_FILE = DEPLOY / "tds.toml"
SOURCES_FILE = DEPLOY / "sources.toml"
FLEET_FILE = DEPLOY / "fleet.toml"


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the field."""


@dataclass(frozen=True)
class Config:
    """A checked configuration of a platform node."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    most_engines: int
    bulletin: tuple[str, int]
    initial_updates: tuple[EngineListUpdate, ...]
    last_event: int
    settings: api.Settings
    classes: list[str]
    tenants: list[str]
    kinds: list[str]
    idle_for: float
    connect_for: float


def address(text: Any, name: str) -> tuple[str, int]:
    """Parse HOST:PORT with a numeric host. Raises ConfigError with the name of the field."""
    try:
        return addresses.parse_address(str(text))
    except ValueError:
        raise ConfigError(f"{name}: expected ADDRESS:PORT, got {text!r}") from None


def read_config(env: Mapping[str, str], pause: Callable[[float], None] = time.sleep) -> Config:
    """Read the file that NODE_CONFIG names. Raises ConfigError with the name of the invalid field.

    `pause` waits between two tries if no file descriptor is available.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set")
    try:
        document = json.loads(
            retry(lambda: Path(path).read_text(encoding="utf-8"), CONFIG_READ_TIMEOUT, pause)
        )
    except (OSError, ValueError) as why:
        raise ConfigError(f"NODE_CONFIG: {why}") from None
    if not isinstance(document, dict):
        raise ConfigError("NODE_CONFIG: expected an object")

    def require(name: str, expected_type: type) -> Any:
        value: Any = document
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if not isinstance(value, expected_type) or isinstance(value, bool):
            raise ConfigError(f"{name}: " + ("missing" if value is None else f"cannot be {value!r}"))
        return value

    info = require("settings", dict)
    try:
        settings = settings_from(info)
        settings.validate()
        classes = [str(c["name"]) for c in info["classes"]]
        tenants = [str(t["name"]) for t in info.get("tenants") or ()]
        kinds = [str(kind) for kind in info.get("kinds") or ()]
        limits = info.get("limits") or {}
        idle_for = limits.get("conn_idle_ns", 30e9) / 1e9
        connect_for = limits.get("connect_timeout_ns", 250e6) / 1e9
    except KeyError as why:
        raise ConfigError(f"settings: {why.args[0]}: missing or not known") from None
    except (TypeError, ValueError, AttributeError) as why:
        raise ConfigError(f"settings: {why}") from None
    limits_table = document.get("limits") if isinstance(document.get("limits"), dict) else {}
    memory = limits_table.get("memory_mb", 192)
    if not isinstance(memory, (int, float)) or isinstance(memory, bool) or not 0 < memory < 1 << 20:
        raise ConfigError(f"limits.memory_mb: cannot be {memory!r}")
    max_engines = max(MIN_LIST_LIMIT, int((memory - BASE_MEMORY_MB) * 1024 / ENGINE_MEMORY_KB))
    require("known.no", int)
    initial_updates = []
    for index, item in enumerate(require("known.items", list)):
        try:
            initial_updates.append(decode_json_update(item, info.get("areas") or [], info.get("kinds") or []))
        except Malformed as why:
            raise ConfigError(f"known.items[{index}]: {why}") from None
        if (count := len(initial_updates[-1].members)) > max_engines:
            raise ConfigError(
                f"known.items[{index}]: a list of {count} engines, limits.memory_mb {memory} "
                f"takes {max_engines} at most"
            )
    try:
        seed = int(str(document.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {document['seed']!r}") from None
    sockets = limits_table.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 32:
        raise ConfigError(f"limits.sockets: expected 32 or more, got {sockets!r}")
    return Config(
        name=env.get("NODE_NAME") or str(document.get("name", "")),
        listen=address(env.get("NODE_LISTEN") or require("listen", str), "listen"),
        seed=seed,
        sockets=sockets,
        most_engines=max_engines,
        bulletin=address(require("bulletin", str), "bulletin"),
        initial_updates=tuple(initial_updates),
        last_event=document["known"]["no"],
        settings=settings,
        classes=classes,
        tenants=tenants,
        kinds=kinds,
        idle_for=idle_for,
        connect_for=connect_for,
    )


class Node:
    """Owner, listeners and engine connections of one front end. `make_engines` builds the engine protocol."""

    def __init__(
        self,
        hub: Hub,
        settings: api.Settings,
        seed: int,
        sockets: int,
        idle_for: float,
        connect_for: float,
        make_engines: Callable[[Pools, Callable[[Any], None]], Engines],
        handshake: Callable[[Connection, float], None] | None = None,
    ) -> None:
        self.hub, self.settings = hub, settings
        self.sockets = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.pools = Pools(
            hub,
            int(self.sockets * ENGINE_DESCRIPTOR_SHARE),
            max(MIN_IDLE_TIMEOUT, idle_for - IDLE_MARGIN),
            connect_for,
            handshake,
        )
        self.owner = Owner(hub, settings, seed, make_engines(self.pools, self.post))
        self.fronts: list[tuple[Any, Listener]] = []
        self.read_again: Callable[[], None] = lambda: None  # called on SIGHUP; raises ConfigError
        self.fleet_facts: Any = None  # the latest `fleet.overload.facts.Facts`, if that component is enabled
        self.announce_leave: Callable[[], None] = lambda: None  # notifies the other front ends, if any
        hub.spawn(self.owner.run, name="owner")
        hub.spawn(watch_wall_clock, hub, name="wall clock")

    def post(self, event: Any) -> None:
        """Put an event into the owner's queue, the only way to reach it."""
        self.owner.queue.put(event)

    def listen(
        self, address: tuple[str, int], service: Any, name: str, share: float = CLIENT_DESCRIPTOR_SHARE
    ) -> Listener:
        """Open a listener for a client protocol. `share`: of the file descriptors."""
        listener = retry(
            lambda: Listener(self.hub, address, service.serve, int(self.sockets * share), name),
            START_RETRY_TIMEOUT,
        )
        self.fronts.append((service, listener))
        return listener

    def reload(self) -> None:
        """Read the configuration again after SIGHUP; keep the old one if the new one is invalid."""
        try:
            self.read_again()
        except ConfigError as why:
            self.hub.log(f"configuration not taken, the old one stays: {why}")
        else:
            self.hub.log("configuration read again")

    def leave(self) -> None:
        """Shut down after SIGTERM: accept requests for a while, then refuse them, answer all, drain the
        connections and end before SIGKILL.

        Clients may use their connections until then, and requests may still be on their way, so no connection
        is closed before EXIT_MARGIN. The signal may have been pending for as long as the event loop lagged.
        """
        began = time.monotonic() - self.hub.lag()
        self.owner.healthy = False
        self.hub.log("leaving")
        sigkill_at = (
            began + min(max(c.time_budget for c in self.settings.classes), MAX_DEADLINE_WAIT) + KILL_AFTER
        )
        self.hub.sleep(ACCEPT_AFTER_SIGTERM)
        self.owner.accepting = False
        for _, listener in self.fronts:
            listener.stop_accepting()
        self._wait_for_clients(sigkill_at - ANSWER_MARGIN)
        self.post(Closing())
        self.hub.sleep(0.0)  # lets the owner answer the open requests
        for _, listener in self.fronts:
            listener.drain()
        self._wait_for_clients(sigkill_at - EXIT_MARGIN)
        for _, listener in self.fronts:
            listener.close_all("the program ends")
        self.owner.engines.withdraw_all()
        self.announce_leave()
        self.hub.log(f"left with {len(self.owner.open)} requests open")
        self.hub.stop()

    def _wait_for_clients(self, until: float) -> None:
        """Wait until no client is connected, or until that time of the monotonic clock."""
        while any(listener.open or listener.connections for _, listener in self.fronts) and (
            time.monotonic() < until
        ):
            self.hub.sleep(0.01)


def platform(
    hub: Hub,
    env: Mapping[str, str],
    tds_file: Path = TDS_FILE,
    sources_file: Path = SOURCES_FILE,
    fleet_file: Path = FLEET_FILE,
) -> Node:
    """Build a node of the platform, with Thrift clients and HTTP engines.

    Three files enable optional features: a TDS listener, further sources of engines, and the fleet of front
    ends, which exchange messages.
    """
    config = read_config(env)
    node = Node(
        hub,
        config.settings,
        config.seed,
        config.sockets,
        config.idle_for,
        config.connect_for,
        lambda pools, post: HttpEngines(hub, pools, config.settings, config.classes, post),
    )
    node.owner.max_engines = config.most_engines
    source_setup = _start_sources(hub, node, sources_file, config.kinds)
    start_times = StartTimes(config.most_engines, min(MAX_BULLETIN_DELAY, config.settings.cold_for / 2))

    def on_bulletin_update(update: EngineListUpdate, deliver: Callable[[Any], None]) -> None:
        if source_setup is None:
            deliver(start_times.convert_update(time.monotonic(), update))
        else:
            source_setup.on_bulletin_update(update)

    for update in config.initial_updates:
        on_bulletin_update(update, node.owner.take)
    keyed = [c.effect is api.Effect.KEYED for c in config.settings.classes]
    node.listen(
        config.listen,
        thrift.Service(
            hub,
            config.classes,
            keyed,
            config.tenants,
            node.post,
            lambda: node.owner.healthy,
            shed_after(config.settings),
            min(IN_FLIGHT_CHECK_INTERVAL, config.settings.max_retry_after),
        ),
        "thrift",
    )
    _start_tds_front(hub, node, tds_file, (config.classes, keyed, config.tenants))
    bulletin = BulletinWatcher(
        hub,
        config.bulletin,
        config.last_event,
        lambda update: on_bulletin_update(update, node.post),
        config.most_engines,
    )
    bulletin.start()
    reload_fleet = _join_fleet(hub, node, fleet_file, config.classes, config.tenants)

    def read_again() -> None:
        now = read_config(env, hub.sleep)
        if (now.settings, now.listen, now.sockets) != (config.settings, config.listen, config.sockets):
            hub.log("configuration: settings, listen and limits take effect at the next start")
        if source_setup is not None:
            source_setup.reconfigure(_read_sources(sources_file, config.kinds) or source_setup.sources)
        bulletin.move(now.bulletin)
        reload_fleet()

    node.read_again = read_again
    return node


def _read_if_enabled(path: Path) -> str | None:
    """The text of a file that enables a feature; None if it has `enabled = false` or does not exist."""
    try:
        text = retry(lambda: path.read_text(encoding="utf-8"), CONFIG_READ_TIMEOUT)
        return text if tomllib.loads(text).get("enabled") is True else None
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as why:
        raise ConfigError(f"{path.name}: {why}") from None


def _start_tds_front(
    hub: Hub, node: Node, path: Path, names: tuple[list[str], list[bool], list[str]]
) -> None:
    """Start the TDS listener of a platform node if its file enables it; only then import its modules."""
    text = _read_if_enabled(path)
    if text is not None:
        from . import application
        from .fronts import tds

        found, faults = application.read(text, names)
        if found is None:
            raise ConfigError(f"{path.name}: {faults[0]}")
        node.listen(found.listen, tds.Service(hub, found.logins, node.post, found.name), "tds", 0.05)


def _join_fleet(
    hub: Hub, node: Node, path: Path, classes: Sequence[str] = (), tenants: Sequence[str] = ()
) -> Callable[[], None]:
    """Join the fleet if its file enables it. Returns the function that reads the file again."""
    text = _read_if_enabled(path)
    if text is None:
        return lambda: None
    from .fleet.joining import join

    return join(hub, node, lambda: tomllib.loads(_read_if_enabled(path) or ""), "", classes, tenants)


def _read_sources(path: Path, kinds: list[str]) -> Any:
    """Read the further sources of a platform node; None if their file does not enable them."""
    text = _read_if_enabled(path)
    if text is None:
        return None
    from . import sources

    found, faults = sources.read_file(text, tuple(kinds))
    if found is None:
        raise ConfigError(f"{path.name}: {faults[0]}")
    return found


def _start_sources(hub: Hub, node: Node, path: Path, kinds: list[str]) -> Any:
    """Start the further sources of a platform node; None if their file does not enable them."""
    found = _read_sources(path, kinds)
    if found is None:
        return None
    from .gathering import SourceSetup

    return SourceSetup(hub, found, tuple(kinds), node.post, node.owner.max_engines)
