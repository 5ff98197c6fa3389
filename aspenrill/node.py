"""One real front end, put together from its configuration: a node of the platform."""

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
from .members import News
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

CLIENT_SHARE, ENGINE_SHARE = 0.4, 0.5  # of the descriptors; the rest is for listeners, files and probes
IDLE_MARGIN, LEAST_IDLE = 2.0, 1.0  # seconds by which a pooled connection is closed before the engine would
TAKING = 0.65  # seconds after SIGTERM in which requests are taken; by the protocol they come for up to 0.6 s
KILL_AFTER, LONGEST = 0.7, 3.0  # seconds behind the longest deadline, LONGEST at most, to a SIGKILL
ANSWERED, ENDED = 0.3, 0.1  # seconds before it by which all has its answer, and by which the process ends
BASE_MB, ENGINE_KB = 26, 5  # memory without engines, and of one with its part of the list's text
LEAST_LIST = 2048  # engines that are taken at any limit: 26 MB in all
NEWS_DELAY = 7.0  # seconds after which the bulletin counts as having told, by the protocol
DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
TDS_FILE, SOURCES_FILE, FLEET_FILE = DEPLOY / "tds.toml", DEPLOY / "sources.toml", DEPLOY / "fleet.toml"


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the field."""


@dataclass(frozen=True)
class Config:
    """What a front end is told, read and checked."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    most_engines: int
    bulletin: tuple[str, int]
    known: tuple[News, ...]
    last: int
    settings: api.Settings
    classes: list[str]
    tenants: list[str]
    kinds: list[str]
    idle_for: float
    connect_for: float


def address(text: Any, name: str) -> tuple[str, int]:
    """HOST:PORT with a numeric host."""
    try:
        return addresses.parse_address(str(text))
    except ValueError:
        raise ConfigError(f"{name}: expected ADDRESS:PORT, got {text!r}") from None


def read_config(env: Mapping[str, str], pause: Callable[[float], None] = time.sleep) -> Config:
    """The configuration that NODE_CONFIG names; ConfigError names the field that is wrong.

    `pause` waits between two tries where the system has no descriptor for the file.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set")
    try:
        told = json.loads(retry(lambda: Path(path).read_text(encoding="utf-8"), CONFIG_READ_TIMEOUT, pause))
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
        kinds = [str(kind) for kind in info.get("kinds") or ()]
        limits = info.get("limits") or {}
        idle_for = limits.get("conn_idle_ns", 30e9) / 1e9
        connect_for = limits.get("connect_timeout_ns", 250e6) / 1e9
    except KeyError as why:
        raise ConfigError(f"settings: {why.args[0]}: missing or not known") from None
    except (TypeError, ValueError, AttributeError) as why:
        raise ConfigError(f"settings: {why}") from None
    limits_told = told.get("limits") if isinstance(told.get("limits"), dict) else {}
    memory = limits_told.get("memory_mb", 192)
    if not isinstance(memory, (int, float)) or isinstance(memory, bool) or not 0 < memory < 1 << 20:
        raise ConfigError(f"limits.memory_mb: cannot be {memory!r}")
    most = max(LEAST_LIST, int((memory - BASE_MB) * 1024 / ENGINE_KB))
    want("known.no", int)
    known = []
    for at, item in enumerate(want("known.items", list)):
        try:
            known.append(decode_json_update(item, info.get("areas") or [], info.get("kinds") or []))
        except Malformed as why:
            raise ConfigError(f"known.items[{at}]: {why}") from None
        if (count := len(known[-1].members)) > most:
            raise ConfigError(
                f"known.items[{at}]: a list of {count} engines, limits.memory_mb {memory} "
                f"takes {most} at most"
            )
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {told['seed']!r}") from None
    sockets = limits_told.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 32:
        raise ConfigError(f"limits.sockets: expected 32 or more, got {sockets!r}")
    return Config(
        name=env.get("NODE_NAME") or str(told.get("name", "")),
        listen=address(env.get("NODE_LISTEN") or want("listen", str), "listen"),
        seed=seed,
        sockets=sockets,
        most_engines=most,
        bulletin=address(want("bulletin", str), "bulletin"),
        known=tuple(known),
        last=told["known"]["no"],
        settings=settings,
        classes=classes,
        tenants=tenants,
        kinds=kinds,
        idle_for=idle_for,
        connect_for=connect_for,
    )


class Node:
    """Owner, fronts and engines of one front end. `make` builds the side that speaks to engines."""

    def __init__(
        self,
        hub: Hub,
        settings: api.Settings,
        seed: int,
        sockets: int,
        idle_for: float,
        connect_for: float,
        make: Callable[[Pools, Callable[[Any], None]], Engines],
        greet: Callable[[Connection, float], None] | None = None,
    ) -> None:
        self.hub, self.settings = hub, settings
        self.sockets = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.pools = Pools(
            hub, int(self.sockets * ENGINE_SHARE), max(LEAST_IDLE, idle_for - IDLE_MARGIN), connect_for, greet
        )
        self.owner = Owner(hub, settings, seed, make(self.pools, self.post))
        self.fronts: list[tuple[Any, Listener]] = []
        self.reread: Callable[[], None] = lambda: None  # what SIGHUP does; ConfigError where it cannot
        self.fleet_facts: Any = None  # the latest `fleet.overload.facts.Facts`, where the fleet has that part
        self.goodbye: Callable[[], None] = lambda: None  # to the other front ends, where there are some
        hub.spawn(self.owner.run, name="owner")
        hub.spawn(watch_wall_clock, hub, name="wall clock")

    def post(self, event: Any) -> None:
        """The only way to the owner."""
        self.owner.queue.put(event)

    def listen(
        self, address: tuple[str, int], service: Any, name: str, share: float = CLIENT_SHARE
    ) -> Listener:
        """Open a front."""
        listener = retry(
            lambda: Listener(self.hub, address, service.serve, int(self.sockets * share), name),
            START_RETRY_TIMEOUT,
        )
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
        """After SIGTERM, a graceful shutdown: take what still comes, then refuse it; answer everything, drain
        the connections, end before SIGKILL.

        Clients may use their connections until then, and what they send may be on its way for long: none is
        ended before the last moments. The signal may have waited for as long as this program stood still.
        """
        began = time.monotonic() - self.hub.lag()
        self.owner.healthy = False
        self.hub.log("leaving")
        kill_at = began + min(max(c.time_budget for c in self.settings.classes), LONGEST) + KILL_AFTER
        self.hub.sleep(TAKING)
        self.owner.accepting = False
        for _, listener in self.fronts:
            listener.stop_accepting()
        self._drained(kill_at - ANSWERED)
        self.post(Closing())
        self.hub.sleep(0.0)  # the owner answers what is open
        for _, listener in self.fronts:
            listener.drain()
        self._drained(kill_at - ENDED)
        for _, listener in self.fronts:
            listener.close_all("the program ends")
        self.goodbye()
        self.hub.log(f"left with {len(self.owner.open)} requests open")
        self.hub.stop()

    def _drained(self, until: float) -> None:
        """Wait until no client has a connection any more, or that moment of the monotonic clock."""
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
    """A node of the platform: Thrift before it, HTTP engines behind it; TDS too, further sources of engines,
    and a fleet of front ends that know of each other, where their files say so."""
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
    gathering = _more_sources(hub, node, sources_file, config.kinds)
    starts = StartTimes(config.most_engines, min(NEWS_DELAY, config.settings.cold_for / 2))

    def hear(news: News, tell: Callable[[Any], None]) -> None:
        if gathering is None:
            tell(starts.news(time.monotonic(), news))
        else:
            gathering.bulletin(news)

    for news in config.known:
        hear(news, node.owner.take)
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
    _extra_front(hub, node, tds_file, (config.classes, keyed, config.tenants))
    bulletin = BulletinWatcher(
        hub, config.bulletin, config.last, lambda news: hear(news, node.post), config.most_engines
    )
    bulletin.start()
    regroup = _fleet(hub, node, fleet_file, config.classes, config.tenants)

    def reread() -> None:
        now = read_config(env, hub.sleep)
        if (now.settings, now.listen, now.sockets) != (config.settings, config.listen, config.sockets):
            hub.log("configuration: settings, listen and limits take effect at the next start")
        if gathering is not None:
            gathering.change(_sources(sources_file, config.kinds) or gathering.sources)
        bulletin.move(now.bulletin)
        regroup()

    node.reread = reread
    return node


def _enabled(path: Path) -> str | None:
    """The text of a file that switches something on; None where it is off, or not there."""
    try:
        text = retry(lambda: path.read_text(encoding="utf-8"), CONFIG_READ_TIMEOUT)
        return text if tomllib.loads(text).get("enabled") is True else None
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as why:
        raise ConfigError(f"{path.name}: {why}") from None


def _extra_front(hub: Hub, node: Node, path: Path, names: tuple[list[str], list[bool], list[str]]) -> None:
    """The TDS front of a platform node, where its file has it on. What it needs is imported only then."""
    text = _enabled(path)
    if text is not None:
        from . import application
        from .fronts import tds

        found, faults = application.read(text, names)
        if found is None:
            raise ConfigError(f"{path.name}: {faults[0]}")
        node.listen(found.listen, tds.Service(hub, found.logins, node.post, found.name), "tds", 0.05)


def _fleet(
    hub: Hub, node: Node, path: Path, classes: Sequence[str] = (), tenants: Sequence[str] = ()
) -> Callable[[], None]:
    """The other front ends, where the file has them on; what it gives reads the file again."""
    text = _enabled(path)
    if text is None:
        return lambda: None
    from .fleet.joining import join

    return join(hub, node, lambda: tomllib.loads(_enabled(path) or ""), "", classes, tenants)


def _sources(path: Path, kinds: list[str]) -> Any:
    """The further sources of a platform node, None where its file has them off."""
    text = _enabled(path)
    if text is None:
        return None
    from . import sources

    found, faults = sources.read_file(text, tuple(kinds))
    if found is None:
        raise ConfigError(f"{path.name}: {faults[0]}")
    return found


def _more_sources(hub: Hub, node: Node, path: Path, kinds: list[str]) -> Any:
    """The merged list of a platform node's sources at work, None where its file has them off."""
    found = _sources(path, kinds)
    if found is None:
        return None
    from .gathering import Gathering

    return Gathering(hub, found, tuple(kinds), node.post, node.owner.max_engines)
