"""Makes a front end one of a fleet: its service, its parts, and what they and the owner say to each other."""

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
from .desk import Desk
from .feed import EVERY, Feed
from .kept.front import LoadNews
from .overload.bridge import Bridge
from .overload.facts import Facts
from .parts import Names, build
from .service import Service, boottime
from .tell import Heard, Tell


def _config(table: dict[str, Any], path: str) -> config.Config:
    found = config.read(Reader(table, path, []))
    found.check()
    return found


def join(
    hub: Hub,
    node: Node,
    read: Callable[[], dict[str, Any]],
    path: str,
    classes: Sequence[str] = (),
    tenants: Sequence[str] = (),
) -> Callable[[], None]:
    """Join the fleet that the table names; `read` reads it (anew). The function that comes back does so at
    SIGHUP. ConfigError where the table, its keys or its folder cannot be used."""
    names = Names(tuple(classes), node.settings.classes, tuple(tenants))
    tell = Tell()

    def inform(part: str, fact: Any) -> None:
        match fact:
            case Heard(sender, data):
                if node.settings.may_tell:
                    node.post(books.Heard(sender, data))
            case Facts():
                node.fleet_facts = fact
            case _:
                desk.inform(part, fact)

    try:
        found = _config(read(), path)
        parts = build(found, names, random.Random(os.urandom(16)))
        desk = Desk(hub, parts, names.classes)
        service = Service(hub, found, (tell, *parts.all()), inform)
        service.start()
    except Trouble as why:
        raise ConfigError(why.line()) from None
    desk.start(service)

    def loaded(news: LoadNews) -> None:
        service.carry_out(parts.purges, parts.purges.load(boottime(), news))
        service.pump()

    if node.settings.may_tell:
        node.owner.tell = lambda data: service.carry_out(tell, tell.tell(data))
    node.owner.kept = parts.front(loaded)
    if parts.overload is not None or parts.groups is not None:
        bridge = Bridge(parts.overload) if parts.overload is not None else None
        if bridge is not None:
            bridge.started()
        node.owner.fleet = feed = Feed(node.owner, parts, bridge)
        hub.spawn(lambda: _feed(hub, service, feed), name="feed")
    node.goodbye = service.leave

    def again() -> None:
        table = read()
        if table.get("enabled") is not True:
            raise ConfigError(f"{path}enabled: a new start is needed to leave the fleet")
        try:
            now = _config(table, path)
            wanted = build(now, names, random.Random(0))
            service.reload(now)
        except Trouble as why:
            raise ConfigError(why.line()) from None
        desk.reload(now, wanted)

    return again


def _feed(hub: Hub, service: Service, feed: Feed) -> None:
    while service.link.open:
        try:
            feed.turn(boottime())
        except Exception as why:
            service.log("feed", repr(why))
        hub.sleep(EVERY)
