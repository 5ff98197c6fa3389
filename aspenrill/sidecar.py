"""Builds an application's sidecar from its file, with TDS clients and TDS engines."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from . import application
from .engines.tds import TdsEngines, login_handshake
from .fronts import tds
from .gathering import SourceSetup
from .net.hub import Hub
from .net.retrying import CONFIG_READ_TIMEOUT, retry
from .node import ConfigError, Node


def _read_application(path: str, pause: Callable[[float], None] = time.sleep) -> application.Application:
    """Read an application's file. Raises ConfigError with its first fault. `pause`: see `read_config`."""
    try:
        app, faults = application.read(
            retry(lambda: Path(path).read_text(encoding="utf-8"), CONFIG_READ_TIMEOUT, pause)
        )
    except (OSError, ValueError) as why:
        raise ConfigError(f"{path}: {why}") from None
    if app is None:
        more = (
            f" (and {len(faults) - 1} more; `python -m aspenrill.tool check` lists them)"
            if faults[1:]
            else ""
        )
        raise ConfigError(f"{path}: {faults[0]}{more}")
    return app


def _join_fleet(
    hub: Hub, node: Node, app: application.Application, read: Callable[[], dict[str, Any]]
) -> Callable[[], None]:
    """Join the fleet if [fleet] enables it. Returns the function that reads the table again."""
    if app.fleet is None:
        return lambda: None
    from .fleet.joining import join

    return join(hub, node, read, "fleet.", app.classes, app.tenants)


def sidecar(hub: Hub, path: str) -> Node:
    """Build the front end that an application's file describes."""
    app = _read_application(path)
    node = Node(
        hub,
        app.settings,
        int.from_bytes(os.urandom(8), "big"),
        app.sockets,
        app.idle_for,
        app.connect_for,
        lambda pools, post: TdsEngines(hub, pools, post, app.answer_bytes),
        login_handshake(app.user, app.app),
    )
    source_setup, service = SourceSetup(hub, app.sources, app.kinds, node.post, node.owner.max_engines), None
    if app.enabled:
        service = tds.Service(hub, app.logins, node.post, app.name)
        node.listen(app.listen, service, "tds")
    reload_fleet = _join_fleet(hub, node, app, lambda: _read_application(path).fleet or {})

    def read_again() -> None:
        nonlocal app
        new_app = _read_application(path, hub.sleep)
        if (new_app.settings, new_app.kinds, new_app.listen, new_app.enabled) != (
            app.settings,
            app.kinds,
            app.listen,
            app.enabled,
        ):
            raise ConfigError(
                f"{path}: only logins, sources, resolvers and their rules can change without a new start"
            )
        app = new_app
        if service is not None:
            service.mappings = new_app.logins
        source_setup.reconfigure(new_app.sources)
        reload_fleet()

    node.read_again = read_again
    return node
