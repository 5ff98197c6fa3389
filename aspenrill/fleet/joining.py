"""Joins a front end to a fleet: creates its service and components and connects them to the owner."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Sequence
from typing import Any

from ..core import books
from ..errors import Trouble
from ..net.hub import Hub
from ..node import ConfigError, Node
from ..reader import Reader
from . import config
from .broadcast import Broadcast, BroadcastReceived
from .components import FrontEndNames, build
from .kept.front import LoadUpdate
from .operator_interface import OperatorInterface
from .overload.bridge import Bridge
from .overload.facts import Facts
from .request_feed import FLUSH_INTERVAL, RequestFeed
from .service import Service, boottime


def _read_config(table: dict[str, Any], path: str) -> config.Config:
    fleet_config = config.read(Reader(table, path, []))
    fleet_config.check()
    return fleet_config


def join(
    hub: Hub,
    node: Node,
    read: Callable[[], dict[str, Any]],
    path: str,
    classes: Sequence[str] = (),
    tenants: Sequence[str] = (),
) -> Callable[[], None]:
    """Join the fleet of the configuration table that `read` returns. Returns the function that reloads it at
    SIGHUP. ConfigError if the table, its keys or its folder cannot be used."""
    names = FrontEndNames(tuple(classes), node.settings.classes, tuple(tenants))
    broadcast = Broadcast()

    def on_fact(component: str, fact: Any) -> None:
        match fact:
            case BroadcastReceived(sender, data):
                if node.settings.may_gossip:
                    node.post(books.GossipReceived(sender, data))
            case Facts():
                node.fleet_facts = fact
            case _:
                operator.on_fact(component, fact)

    try:
        fleet_config = _read_config(read(), path)
        components = build(fleet_config, names, random.Random(os.urandom(16)))
        operator = OperatorInterface(hub, components, names.classes)
        service = Service(hub, fleet_config, (broadcast, *components.all()), on_fact)
        service.start()
    except Trouble as why:
        raise ConfigError(why.line()) from None
    operator.start(service)

    def on_load(update: LoadUpdate) -> None:
        service.execute(components.purges, components.purges.load(boottime(), update))
        service.dispatch()

    if node.settings.may_gossip:
        node.owner.send_gossip = lambda data: service.execute(broadcast, broadcast.send(data))
    node.owner.answer_cache = components.answer_cache(on_load)
    if components.overload is not None or components.groups is not None:
        bridge = Bridge(components.overload) if components.overload is not None else None
        if bridge is not None:
            bridge.started()
        node.owner.fleet_feed = request_feed = RequestFeed(node.owner, components, bridge)
        hub.spawn(lambda: _run_request_feed(hub, service, request_feed), name="feed")
    node.announce_leave = service.leave

    def reload() -> None:
        table = read()
        if table.get("enabled") is not True:
            raise ConfigError(f"{path}enabled: a new start is needed to leave the fleet")
        try:
            new_config = _read_config(table, path)
            new_components = build(new_config, names, random.Random(0))
            service.reload(new_config)
        except Trouble as why:
            raise ConfigError(why.line()) from None
        operator.reload(new_config, new_components)

    return reload


def _run_request_feed(hub: Hub, service: Service, request_feed: RequestFeed) -> None:
    while service.link.open:
        try:
            request_feed.flush(boottime())
        except Exception as why:
            service.log("feed", repr(why))
        hub.sleep(FLUSH_INTERVAL)
