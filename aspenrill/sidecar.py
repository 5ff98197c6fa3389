"""One application's front, put together from its file: TDS before it, TDS engines behind it."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from . import application
from .engines.tds import TdsEngines, login_handshake
from .fronts import tds
from .gathering import Gathering
from .net.hub import Hub
from .net.retrying import CONFIG_READ_TIMEOUT, retry
from .node import ConfigError, Node


def _application(path: str, pause: Callable[[float], None] = time.sleep) -> application.Application:
    """An application's file; ConfigError names its first fault. `pause`: see `read_config`."""
    try:
        app, faults = application.read(
            retry(lambda: Path(path).read_text(encoding="utf-8"), CONFIG_READ_TIMEOUT, pause)
        )
    except (OSError, ValueError) as why:
        raise ConfigError(f"{path}: {why}") from None
    if app is None:
        more = f" (and {len(faults) - 1} more; the tool's check names them)" if faults[1:] else ""
        raise ConfigError(f"{path}: {faults[0]}{more}")
    return app


def _fleet(
    hub: Hub, node: Node, app: application.Application, read: Callable[[], dict[str, Any]]
) -> Callable[[], None]:
    """The other front ends, where [fleet] has them on; what it gives reads the table again."""
    if app.fleet is None:
        return lambda: None
    from .fleet.joining import join

    return join(hub, node, read, "fleet.", app.classes, app.tenants)


def sidecar(hub: Hub, path: str) -> Node:
    """A node for one application's file."""
    app = _application(path)
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
    gathering, service = Gathering(hub, app.sources, app.kinds, node.post, node.owner.max_engines), None
    if app.enabled:
        service = tds.Service(hub, app.logins, node.post, app.name)
        node.listen(app.listen, service, "tds")
    regroup = _fleet(hub, node, app, lambda: _application(path).fleet or {})

    def reread() -> None:
        nonlocal app
        now = _application(path, hub.sleep)
        if (now.settings, now.kinds, now.listen, now.enabled) != (
            app.settings,
            app.kinds,
            app.listen,
            app.enabled,
        ):
            raise ConfigError(
                f"{path}: only logins, sources, resolvers and their rules can change without a new start"
            )
        app = now
        if service is not None:
            service.mappings = now.logins
        gathering.change(now.sources)
        regroup()

    node.reread = reread
    return node
