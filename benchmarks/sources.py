"""Costs and delays of engine sources: python -m benchmarks.sources [--out FILE] [--minutes M]

Measures the delay from a change at the name server to requests at the engine, the cost of a change as the
list grows, memory per engine, DNS questions a minute with 1,000 targets, and a minute in which the name
server is silent. Prints Markdown tables.
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
from aspenrill.gathering import SourceSetup
from aspenrill.members import Member
from aspenrill.membership.flaps import Damping
from aspenrill.membership.rule import Membership, MergeSpec
from aspenrill.membership.rules import MergeRules
from aspenrill.net.hub import Hub
from aspenrill.resolver.cache import Lifetimes
from aspenrill.resolver.lookup import LookupTimeouts
from aspenrill.state import Fleet
from standins.nameserver import AnswerBehaviour, NameServer
from standins.scenario import run_scenario
from standins.world import World

SERVICE = "_data._tcp.bench.example."
LIVE = api.EngineState.LIVE
DRAINING = api.EngineState.DRAINING


def format_spread(values: list[float], unit: str, scale: float = 1.0) -> str:
    """Median, minimum and maximum as text."""
    scaled = [value * scale for value in values]
    return f"{statistics.median(scaled):.3g} {unit} ({min(scaled):.3g} to {max(scaled):.3g})"


def sources_of(server: NameServer, rules: MergeRules = MergeRules(), **more) -> config.Sources:  # noqa: B008
    """Settings with one SRV source, resolved by this stand-in of a name server."""
    resolver = config.ResolverSpec(
        "main", (server.address,), more.pop("timeouts", LookupTimeouts()), Lifetimes()
    )
    return config.Sources(
        (config.SourceSpec("records", "srv", MergeSpec("records", False, 0.5), "main", SERVICE, **more),),
        (resolver,),
        rules,
    )


def announce(server: NameServer, engines: list) -> None:
    """Publish SRV records of these engines."""
    server.srv(SERVICE, *((0, 1, e.listener.address[1], f"{e.name}.example.", "127.0.0.1") for e in engines))


def world_behind_srv(rules: MergeRules) -> tuple[World, NameServer]:
    """Three engines, the first two of them announced by SRV records, and a front end that watches these."""
    world = World("thrift", 3, listed=False)
    server = NameServer(world.hub)
    SourceSetup(world.hub, sources_of(server, rules), ("std",), world.node.post)
    announce(server, world.engines[:2])
    return world, server


# ---- from the name server to the engine ---------------------------------------------------------------


def announcement_delays(rounds: int) -> Iterator[tuple[str, str]]:
    """Delays of announcing and withdrawing an engine, with a TTL of 1 s, under continuous requests."""
    # flap damping would hold out an engine that is announced so often
    world, server = world_behind_srv(MergeRules(damping=Damping(threshold=1000)))
    steady, other = world.engines[:2], world.engines[2]
    first_delays: list[float] = []
    last_delays: list[float] = []

    def scenario() -> None:
        world.until(lambda: len(world.node.owner.peers) == 2)
        client = world.client()
        for at in range(rounds):
            world.hub.sleep(0.137 * (at % 8))
            announce(server, [*steady, other])
            announced, count = time.monotonic(), len(other.began)
            while len(other.began) == count:
                client.request("select 1")
            first_delays.append(other.began[count][0] - announced)
            deadline = time.monotonic() + 0.4
            while time.monotonic() < deadline:
                client.request("select 1")
            announce(server, steady)
            withdrawn = time.monotonic()
            deadline = withdrawn + 2.2
            while time.monotonic() < deadline:
                client.request("select 1")
            last_delays.append(max(0.0, other.began[-1][0] - withdrawn))

    run_scenario(world.hub, scenario)
    yield "announced to its first request", format_spread(first_delays, "s")
    yield "withdrawn to its last request", format_spread(last_delays, "s")


# ---- what a change costs ------------------------------------------------------------------------------


def engine(at: int, state: api.EngineState = LIVE) -> Member:
    """The member number `at` of a synthetic list."""
    return Member(
        f"h{at}.example:1433",
        (f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}", 1433),
        state,
        priority=at % 2,
        weight=float(1 + at % 7),
    )


def change_costs(sizes: tuple[int, ...], rounds: int) -> Iterator[tuple[str, ...]]:
    """CPU time of a change of one engine.

    It is merged as a change, merged as a complete list, and applied by the decision module.
    """
    for size in sizes:
        rng, now = random.Random(size), 1000.0
        merged = Membership(MergeRules(), (MergeSpec("roster"), MergeSpec("srv", False, 0.5)), now)
        rows = [engine(at) for at in range(size)]
        merged.replace_list(now, "srv", rows)
        merged.take_updates()
        change_times, list_times, module_times = [], [], []
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
            merged.apply_changes(now, "roster", (engine(at, DRAINING),))
            merged.take_updates()
            change_times.append(time.perf_counter() - began)
            began = time.perf_counter()
            fleet.apply(
                api.ListUpdate(
                    api.ListMode.CHANGES, (api.EngineEntry(rows[at].engine, DRAINING, 0, 0, 0, 0.0, 0, 1.0),)
                ),
                now,
            )
            module_times.append(time.perf_counter() - began)
            rows[at] = engine(at, DRAINING) if rows[at].state is LIVE else engine(at)
            began = time.perf_counter()
            merged.replace_list(now, "srv", rows)
            merged.take_updates()
            list_times.append(time.perf_counter() - began)
        gc.enable()
        yield (
            f"{size:,}",
            format_spread(change_times, "us", 1e6),
            format_spread(list_times, "us", 1e6),
            format_spread(module_times, "us", 1e6),
        )


def memory_per_engine(size: int) -> Iterator[tuple[str, str]]:
    """Bytes per engine in the membership, and in the decision module in addition."""
    gc.collect()
    tracemalloc.start()
    merged = Membership(MergeRules(), (MergeSpec("srv", False, 0.5),), 1000.0)
    merged.replace_list(1000.0, "srv", [engine(at) for at in range(size)])
    merged.take_updates()
    gc.collect()
    membership_bytes = tracemalloc.get_traced_memory()[0]
    fleet = Fleet((8,), ())
    fleet.apply(
        api.ListUpdate(
            api.ListMode.CHANGES, tuple(api.EngineEntry(f"h{at}.example:1433", LIVE) for at in range(size))
        ),
        0.0,
    )
    gc.collect()
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    yield f"membership, {size:,} engines of one source", f"{membership_bytes / size:,.0f} bytes an engine"
    yield (
        f"decision module, {size:,} engines",
        f"{(total_bytes - membership_bytes) / size:,.0f} bytes an engine",
    )


# ---- DNS questions, and a silent name server ----------------------------------------------------------


def query_rate(targets: int, ttl: int, minutes: float) -> Iterator[tuple[str, str]]:
    """DNS questions a minute of three front ends that watch an SRV name with many targets."""
    hub = Hub()
    server = NameServer(hub)
    server.srv(
        SERVICE,
        *((0, 1, 1433, f"h{at}.bench.example.", f"127.{at >> 8}.{at & 255}.1") for at in range(targets)),
        ttl=ttl,
    )
    members_received: list[int] = [0, 0, 0]

    def post(index: int) -> Callable[[object], None]:
        def count_members(update) -> None:
            members_received[index] += len(getattr(update, "members", ()))

        return count_members

    def scenario() -> None:
        began = time.monotonic()
        for index in range(3):
            SourceSetup(
                hub,
                sources_of(server, timeouts=LookupTimeouts(2.0, 8.0), family="ipv4"),
                ("std",),
                post(index),
            )
        while min(members_received) < targets:
            hub.sleep(0.05)
        results.append(time.monotonic() - began)
        hub.sleep(ttl)
        count, cpu, measured_from = len(server.questions), time.process_time(), time.monotonic()
        hub.sleep(60 * minutes)
        rate = 60 / (time.monotonic() - measured_from)
        results.extend(((len(server.questions) - count) * rate, (time.process_time() - cpu) * rate))
        seconds = [int(a.at) for a in server.questions[count:]]
        results.append(max(seconds.count(s) for s in set(seconds)))

    results: list[float] = []
    run_scenario(hub, scenario)
    minimum = 3 * (targets + 1) * 60 / ttl
    yield f"all {targets:,} engines known to 3 front ends after", f"{results[0]:.2f} s"
    yield (
        f"questions a minute, records that live {ttl} s",
        (f"{results[1]:,.0f} ({results[1] / minimum:.2f} times one a life, {minimum:,.0f})"),
    )
    yield "most in one second", f"{results[3]:,.0f}"
    yield "CPU a minute, name server and 3 front ends", f"{results[2]:.1f} s"


def silent_name_server(seconds: float) -> Iterator[tuple[str, str]]:
    """The only name server is silent for that long, in real time, while requests go on."""
    world, server = world_behind_srv(MergeRules())
    outcomes: list[str] = []
    results: list[str] = []

    def scenario() -> None:
        world.until(lambda: len(world.node.owner.peers) == 2)
        server.behaviour = lambda question: AnswerBehaviour(drop=True)
        client, deadline, questions_before = world.client(), time.monotonic() + seconds, len(server.questions)
        min_listed = 9
        while time.monotonic() < deadline:
            outcomes.append(client.request("select 1").kind)
            min_listed = min(min_listed, sum(p.takes_work for p in world.node.owner.peers.values()))
            world.hub.sleep(0.01)
        results.append(f"{len(outcomes)}, of them served {outcomes.count('served')}")
        results.append(f"{min_listed} of 2")
        results.append(f"{len(server.questions) - questions_before}")
        announce(server, world.engines)
        server.behaviour = lambda question: AnswerBehaviour()
        began = time.monotonic()
        world.until(lambda: len(world.node.owner.peers) == 3, 60)
        results.append(f"{time.monotonic() - began:.1f} s")

    run_scenario(world.hub, scenario)
    yield from zip(
        (
            f"requests in {seconds:.0f} s without an answer",
            "fewest engines listed meanwhile",
            "questions put meanwhile",
            "a new engine known after its end",
        ),
        results,
        strict=True,
    )


def main() -> None:
    """Run all measurements and print the tables."""
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
        change_costs((10, 100, 1000, 10000), 50),
    )
    table("Memory", ("what", "size"), memory_per_engine(10000))
    table(
        "From the name server to the engine, records that live 1 s",
        ("what", "time"),
        announcement_delays(args.rounds),
    )
    table("1,000 targets, 3 front ends", ("what", "found"), query_rate(1000, 30, args.minutes))
    table("A name server that is silent", ("what", "found"), silent_name_server(args.silent))
    if args.out:
        with open(args.out, "w", encoding="utf-8") as file:
            file.write("\n".join(lines))


if __name__ == "__main__":
    main()
