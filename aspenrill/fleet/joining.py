"""Makes a front end one of a fleet: its service, its parts, and what they and the owner say to each other."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..core import books
from ..errors import Trouble
from ..net.hub import Hub
from ..node import ConfigError, Node
from ..reader import Reader
from . import config
from .service import Service
from .tell import Heard, Tell


def _config(table: dict[str, Any], path: str) -> config.Config:
    found = config.read(Reader(table, path, []))
    found.check()
    return found


def join(hub: Hub, node: Node, read: Callable[[], dict[str, Any]], path: str) -> Callable[[], None]:
    """Join the fleet that the table names; `read` reads it (anew). The function that comes back does so at
    SIGHUP. ConfigError where the table, its keys or its folder cannot be used."""
    tell = Tell()

    def inform(part: str, fact: Any) -> None:
        if isinstance(fact, Heard) and node.settings.may_tell:
            node.post(books.Heard(fact.sender, fact.data))

    try:
        service = Service(hub, _config(read(), path), (tell,), inform)
    except Trouble as why:
        raise ConfigError(why.line()) from None
    if node.settings.may_tell:
        node.owner.tell = lambda data: service.carry_out(tell, tell.tell(data))
    node.goodbye = service.leave
    service.start()

    def again() -> None:
        table = read()
        if table.get("enabled") is not True:
            raise ConfigError(f"{path}enabled: a new start is needed to leave the fleet")
        try:
            service.reload(_config(table, path))
        except Trouble as why:
            raise ConfigError(why.line()) from None

    return again
