"""Sources of engines, measured: python -m benchmarks.sources [--out FILE] [--minutes M]

How long a change at the name server takes to the engine, what a change costs as the list grows, memory an
engine, questions a minute at 1,000 targets, and a minute without answers. Prints Markdown tables.
"""

from __future__ import annotations

import argparse
import gc
import platform
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

from aspenrill import api
from aspenrill import sources as config
from aspenrill.gathering import Gathering
from aspenrill.members import Member
from aspenrill.membership.flaps import Damping
from aspenrill.membership.rule import Membership, Spec
from aspenrill.membership.rules import Rules
from aspenrill.net.hub import Hub
from aspenrill.resolver.cache import Lifetimes
from aspenrill.resolver.lookup import Patience
from aspenrill.state import Fleet
from standins.nameserver import Act, NameServer
from standins.scene import play
from standins.world import World

SERVICE = "_data._tcp.bench.example."
LIVE, DRAINING = api.EngineState.LIVE, api.EngineState.DRAINING


def spread(values: list[float], unit: str, scale: float = 1.0) -> str:
    """Median, and the least and the most."""
    scaled = [value * scale for value in values]
    return f"{statistics.median(scaled):.3g} {unit} ({min(scaled):.3g} to {max(scaled):.3g})"


def sources_of(server: NameServer, rules: Rules = Rules(), **more) -> config.Sources:  # noqa: B008
    """One SRV source at a stand-in."""
    resolver = config.ResolverSpec("main", (server.address,), more.pop("patience", Patience()), Lifetimes())
    return config.Sources(
        (config.SourceSpec("records", "srv", Spec("records", False, 0.5), "main", SERVICE, **more),),
        (resolver,),
        rules,
    )


def announce(server: NameServer, engines: list) -> None:
    """SRV records that name these engines."""
    server.srv(SERVICE, *((0, 1, e.listener.address[1], f"{e.name}.example.", "127.0.0.1") for e in engines))


def behind_srv(rules: Rules) -> tuple[World, NameServer]:
    """Three engines, the first two of them announced, and a front end that follows."""
    world = World("thrift", 3, listed=False)
    server = NameServer(world.hub)
    Gathering(world.hub, sources_of(server, rules), ("std",), world.node.post)
    announce(server, world.engines[:2])
    return world, server


# ---- from the name server to the engine ---------------------------------------------------------------


def changes(rounds: int) -> Iterator[tuple[str, str]]:
    """An engine is announced and withdrawn in turns, with records that live 1 s, under requests all along."""
    # what is announced again and again here is not held out
    world, server = behind_srv(Rules(damping=Damping(returns=1000)))
    steady, other = world.engines[:2], world.engines[2]
    first: list[float] = []
    last: list[float] = []

    def scene() -> None:
        world.until(lambda: len(world.node.owner.peers) == 2)
        client = world.client()
        for at in range(rounds):
            world.hub.sleep(0.137 * (at % 8))
            announce(server, [*steady, other])
            announced, count = time.monotonic(), len(other.began)
            while len(other.began) == count:
                client.ask("select 1")
            first.append(other.began[count][0] - announced)
            until = time.monotonic() + 0.4
            while time.monotonic() < until:
                client.ask("select 1")
            announce(server, steady)
            withdrawn = time.monotonic()
            until = withdrawn + 2.2
            while time.monotonic() < until:
                client.ask("select 1")
            last.append(max(0.0, other.began[-1][0] - withdrawn))

    play(world.hub, scene)
    yield "announced to its first request", spread(first, "s")
    yield "withdrawn to its last request", spread(last, "s")


# ---- what a change costs ------------------------------------------------------------------------------


def engine(at: int, state: api.EngineState = LIVE) -> Member:
    """One of many."""
    return Member(
        f"h{at}.example:1433",
        (f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}", 1433),
        state,
        priority=at % 2,
        weight=float(1 + at % 7),
    )


def merges(sizes: tuple[int, ...], rounds: int) -> Iterator[tuple[str, ...]]:
    """A change of one engine: merged; a whole list that differs by one; and what the module does with it."""
    for size in sizes:
        rng, now = random.Random(size), 1000.0
        merged = Membership(Rules(), (Spec("roster"), Spec("srv", False, 0.5)), now)
        rows = [engine(at) for at in range(size)]
        merged.whole(now, "srv", rows)
        merged.take()
        single, whole, module = [], [], []
        fleet = Fleet((8,), ())
        fleet.apply(
            api.ListUpdate(
                api.ListMode.CHANGES,
                tuple(api.EngineEntry(m.engine, m.state, 0, 0, 0, 0.0, m.priority, m.weight) for m in rows),
            ),
            now,
        )
        gc.collect()
        gc.disable()
        for _ in range(rounds):
            now += 60.0
            at = rng.randrange(size)
            began = time.perf_counter()
            merged.change(now, "roster", (engine(at, DRAINING),))
            merged.take()
            single.append(time.perf_counter() - began)
            began = time.perf_counter()
            fleet.apply(
                api.ListUpdate(
                    api.ListMode.CHANGES, (api.EngineEntry(rows[at].engine, DRAINING, 0, 0, 0, 0.0, 0, 1.0),)
                ),
                now,
            )
            module.append(time.perf_counter() - began)
            rows[at] = engine(at, DRAINING) if rows[at].state is LIVE else engine(at)
            began = time.perf_counter()
            merged.whole(now, "srv", rows)
            merged.take()
            whole.append(time.perf_counter() - began)
        gc.enable()
        yield (f"{size:,}", spread(single, "us", 1e6), spread(whole, "us", 1e6), spread(module, "us", 1e6))


def memory(size: int) -> Iterator[tuple[str, str]]:
    """Bytes an engine: in the membership, and in the module beside it."""
    gc.collect()
    tracemalloc.start()
    merged = Membership(Rules(), (Spec("srv", False, 0.5),), 1000.0)
    merged.whole(1000.0, "srv", [engine(at) for at in range(size)])
    merged.take()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    fleet = Fleet((8,), ())
    fleet.apply(
        api.ListUpdate(
            api.ListMode.CHANGES, tuple(api.EngineEntry(f"h{at}.example:1433", LIVE) for at in range(size))
        ),
        0.0,
    )
    gc.collect()
    both = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    yield f"membership, {size:,} engines of one source", f"{held / size:,.0f} bytes an engine"
    yield f"decision module, {size:,} engines", f"{(both - held) / size:,.0f} bytes an engine"


# ---- questions, and a silent minute -------------------------------------------------------------------


def questions(targets: int, ttl: int, minutes: float) -> Iterator[tuple[str, str]]:
    """Three front ends follow an SRV name with many targets."""
    hub = Hub()
    server = NameServer(hub)
    server.srv(
        SERVICE,
        *((0, 1, 1433, f"h{at}.bench.example.", f"127.{at >> 8}.{at & 255}.1") for at in range(targets)),
        ttl=ttl,
    )
    heard: list[int] = [0, 0, 0]

    def post(me: int) -> Callable[[object], None]:
        def count(news) -> None:
            heard[me] += len(getattr(news, "members", ()))

        return count

    def scene() -> None:
        began = time.monotonic()
        for me in range(3):
            Gathering(hub, sources_of(server, patience=Patience(2.0, 8.0), family="ipv4"), ("std",), post(me))
        while min(heard) < targets:
            hub.sleep(0.05)
        found.append(time.monotonic() - began)
        hub.sleep(ttl)
        count, cpu, begun = len(server.asked), time.process_time(), time.monotonic()
        hub.sleep(60 * minutes)
        rate = 60 / (time.monotonic() - begun)
        found.extend(((len(server.asked) - count) * rate, (time.process_time() - cpu) * rate))
        seconds = [int(a.at) for a in server.asked[count:]]
        found.append(max(seconds.count(s) for s in set(seconds)))

    found: list[float] = []
    play(hub, scene)
    floor = 3 * (targets + 1) * 60 / ttl
    yield f"all {targets:,} engines known to 3 front ends after", f"{found[0]:.2f} s"
    yield (
        f"questions a minute, records that live {ttl} s",
        (f"{found[1]:,.0f} ({found[1] / floor:.2f} times one a life, {floor:,.0f})"),
    )
    yield "most in one second", f"{found[3]:,.0f}"
    yield "CPU a minute, name server and 3 front ends", f"{found[2]:.1f} s"


def outage(seconds: float) -> Iterator[tuple[str, str]]:
    """The only name server is silent for that long, in real time, under requests."""
    world, server = behind_srv(Rules())
    kinds: list[str] = []
    found: list[str] = []

    def scene() -> None:
        world.until(lambda: len(world.node.owner.peers) == 2)
        server.act = lambda asked: Act(lose=True)
        client, until, asked = world.client(), time.monotonic() + seconds, len(server.asked)
        fewest = 9
        while time.monotonic() < until:
            kinds.append(client.ask("select 1").kind)
            fewest = min(fewest, sum(p.takes_work for p in world.node.owner.peers.values()))
            world.hub.sleep(0.01)
        found.append(f"{len(kinds)}, of them served {kinds.count('served')}")
        found.append(f"{fewest} of 2")
        found.append(f"{len(server.asked) - asked}")
        announce(server, world.engines)
        server.act = lambda asked: Act()
        began = time.monotonic()
        world.until(lambda: len(world.node.owner.peers) == 3, 60)
        found.append(f"{time.monotonic() - began:.1f} s")

    play(world.hub, scene)
    yield from zip(
        (
            f"requests in {seconds:.0f} s without an answer",
            "fewest engines listed meanwhile",
            "questions put meanwhile",
            "a new engine known after its end",
        ),
        found,
        strict=True,
    )


def main() -> None:
    """Run all of it."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.sources", description=__doc__)
    parser.add_argument("--out", help="write the tables to this file too")
    parser.add_argument("--rounds", type=int, default=12, help="changes that are timed (default: 12)")
    parser.add_argument("--minutes", type=float, default=1.0, help="how long questions are counted")
    parser.add_argument("--silent", type=float, default=60.0, help="seconds without an answer")
    args = parser.parse_args()
    lines = [
        "# Sources of engines, measured",
        "",
        f"By `python -m benchmarks.sources`, Python {platform.python_version()}, one core of a shared "
        "machine; medians, with the least and the most.",
        "",
    ]

    def table(title: str, heads: tuple[str, ...], rows: Iterator[tuple[str, ...]]) -> None:
        lines.extend([f"## {title}", "", "| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)])
        lines.extend("| " + " | ".join(row) + " |" for row in rows)
        lines.append("")
        print("\n".join(lines[-20:]), flush=True)

    table(
        "What one change costs",
        ("engines", "merge of one change", "a whole list, one different", "the module's list"),
        merges((10, 100, 1000, 10000), 50),
    )
    table("Memory", ("what", "size"), memory(10000))
    table("From the name server to the engine, records that live 1 s", ("what", "time"), changes(args.rounds))
    table("1,000 targets, 3 front ends", ("what", "found"), questions(1000, 30, args.minutes))
    table("A name server that is silent", ("what", "found"), outage(args.silent))
    if args.out:
        with open(args.out, "w", encoding="utf-8") as file:
            file.write("\n".join(lines))


if __name__ == "__main__":
    main()
