"""Look-ups on a virtual clock: `run_lookup` runs one against scripted replies."""

from __future__ import annotations

import random

from aspenrill.resolver.lookup import Failed, Outcome
from aspenrill.resolver.servers import Servers
from aspenrill.wire import dns as wire


def record(name: str, kind: int, data: object, ttl: int = 60) -> wire.Record:
    return wire.Record(wire.parse_name(name), kind, ttl, data)


def run_lookup(steps, world, now=0.0):
    """Run a look-up; `world` returns for each question how long it takes and its reply."""
    questions = []
    try:
        question = next(steps)
        while True:
            questions.append(
                (
                    now,
                    question.server.address[1],
                    question.stream,
                    wire.format_name(question.name),
                    question.payload > 0,
                )
            )
            elapsed_s, reply = world(now, question)
            now = min(now + elapsed_s, question.deadline)
            question = steps.send(Outcome(now, reply, "" if reply else "no answer in time"))
    except StopIteration as end:
        return end.value, questions, now
    except Failed as why:
        return why, questions, now


def reply_of(question, *rows, code=0, authority=(), **more):
    return wire.Reply(
        1, code, more.pop("truncated", False), (question.name, question.kind), rows, authority, **more
    )


def servers(count=3):
    return Servers([("127.0.0.1", port) for port in range(1, count + 1)], random.Random(5))
