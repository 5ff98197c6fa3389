"""Look-ups played on a virtual clock: `drive` runs one against a world of answers."""

from __future__ import annotations

import random

from aspenrill.resolver.lookup import Failed, Heard
from aspenrill.resolver.servers import Servers
from aspenrill.wire import dns as wire


def record(name: str, kind: int, data: object, ttl: int = 60) -> wire.Record:
    return wire.Record(wire.name_of(name), kind, ttl, data)


def drive(steps, world, now=0.0):
    """Play a look-up: `world` says how long each question takes and what comes of it."""
    asks = []
    try:
        ask = next(steps)
        while True:
            asks.append((now, ask.server.address[1], ask.stream, wire.text_of(ask.name), ask.payload > 0))
            took, reply = world(now, ask)
            now = min(now + took, ask.until)
            ask = steps.send(Heard(now, reply, "" if reply else "no answer in time"))
    except StopIteration as end:
        return end.value, asks, now
    except Failed as why:
        return why, asks, now


def reply_of(ask, *rows, code=0, authority=(), **more):
    return wire.Reply(1, code, more.pop("truncated", False), (ask.name, ask.kind), rows, authority, **more)


def servers(count=3):
    return Servers([("127.0.0.1", port) for port in range(1, count + 1)], random.Random(5))
