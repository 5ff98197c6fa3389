"""The ordinary path, counted and timed: python -m benchmarks.path [--against REV] [--json FILE] [--only NAME]

Per request: calls of the system, memory blocks, bytes copied by layer, tasks, timers, wake-ups, the module's
work (each exactly repeatable), CPU time, and latencies. With --against an earlier revision is built in a work
tree of its own and the two are run in turn.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from aspenrill.wire import tds
from standins.lockstep import TdsClient, first_page, http_answer, http_split, tds_split

from .bench import HERE, LOOKUP, ROOT, Bench

WARM = 40  # rounds left out of every count


@dataclass(frozen=True)
class Scenario:
    """One mix: a round of it, how many requests that is, and how many rounds are counted and timed."""

    name: str
    protocol: str
    requests: int
    rounds: int
    play: Callable[[Bench], None]


def paged(count: int, total: int = 44000) -> tuple[bytes, ...]:
    """A result of so many pages."""
    row = b"1234567\ta division of linen, named\tserved\n"
    return (row * (total // count // len(row)),) * count


# ---- scenarios ----------------------------------------------------------------------------------------


def lone(bench: Bench) -> None:
    bench.exchange(1, bench.clients[:1])


def open32(bench: Bench) -> None:
    bench.exchange(32, bench.clients[:1])


def bursts(bench: Bench) -> None:
    while len(bench.clients) < 4:
        bench.client_for("lookup")
    bench.exchange(8, bench.clients[:4])


def report8(bench: Bench) -> None:
    bench.exchange(1, bench.clients[:1], "usage-report", paged(8))


def report40(bench: Bench) -> None:
    bench.exchange(1, bench.clients[:1], "usage-report", paged(40))


def refused(bench: Bench) -> None:
    """Too little time is left for it: the module refuses it unsent."""
    client = bench.clients[0]
    with bench.peers.together():
        client.wire.sock.sendall(client.call("par-lookup", "select 1 from sales_17.orders", 100))
    message = client.reply()
    if not message.args or 1 not in message.args:
        raise RuntimeError(f"not refused: {message}")


def retried(bench: Bench) -> None:
    """One of ten finds its engine full and is sent again. More would be pressure, and the gap would open."""
    for _ in range(9):
        lone(bench)
    client = bench.clients[0]
    with bench.peers.together():
        client.wire.sock.sendall(client.call("par-lookup", "select 1 from sales_17.orders"))
    [(wire, _)] = bench.peers.requests(1, http_split)
    with bench.peers.together():
        wire.sock.sendall(http_answer(b"", "X-Shed: 1\r\n", 503))
    [(wire, _)] = bench.peers.requests(1, http_split)
    with bench.peers.together():
        wire.sock.sendall(first_page(LOOKUP))
    bench.served(client)


def _tds(bench: Bench, client: TdsClient, rows: int) -> None:
    with bench.peers.together():
        statement = "select id, what from sales_17.orders"
        client.wire.sock.sendall(tds.packets(tds.SQL_BATCH, tds.sql_batch(statement)))
    [(wire, _)] = bench.peers.requests(1, tds_split)
    row = tds.text_row(["1234567", "a division of linen, named", "served"])
    with bench.peers.together():
        wire.sock.sendall(
            tds.packets(tds.REPLY, tds.text_columns(["a", "b", "c"]) + row * rows + tds.done(rows=rows))
        )
    client.message()


def tds_lookup(bench: Bench) -> None:
    _tds(bench, bench.clients[0], 4)


def tds_report(bench: Bench) -> None:
    if len(bench.clients) < 2:
        bench.client_for("report")
    _tds(bench, bench.clients[1], 400)


SCENARIOS = {
    s.name: s
    for s in (
        Scenario("par-lookup alone", "thrift", 1, 100, lone),
        Scenario("32 open on a connection", "thrift", 32, 12, open32),
        Scenario("bursts of 8 on 4 connections", "thrift", 32, 12, bursts),
        Scenario("usage-report, 8 pages", "thrift", 1, 40, report8),
        Scenario("usage-report, 40 pages", "thrift", 1, 20, report40),
        Scenario("refused", "thrift", 1, 60, refused),
        Scenario("one in ten retried", "thrift", 10, 10, retried),
        Scenario("TDS lookup", "tds", 1, 60, tds_lookup),
        Scenario("TDS report, 400 rows", "tds", 1, 30, tds_report),
    )
}


SYSTEM = ("poll", "recv", "peek", "send", "accept", "connect")


def count(root: Path, scenario: Scenario, shim: Path | None) -> dict[str, float]:
    """Counts per request of one revision."""
    found: dict[str, float] = {}
    for mode in ("counts", "blocks") if shim else ("counts",):
        bench = Bench(root, mode, scenario.protocol, shim)
        try:
            for _ in range(WARM if scenario.requests == 1 else 8):
                scenario.play(bench)
            for _ in range(2):
                idle = bench.told()
            before = bench.told()
            for _ in range(scenario.rounds):
                scenario.play(bench)
            after = bench.told()
        finally:
            bench.close()
        number = scenario.requests * scenario.rounds
        for name in sorted(after):
            told = before.get(name, 0) - idle.get(name, 0)  # what the telling itself costs
            found[name] = (after[name] - before.get(name, 0) - told) / number
    found["system calls"] = sum(found.get(name, 0) for name in SYSTEM)
    found["bytes copied"] = sum(value for name, value in found.items() if name.startswith("bytes "))
    return {name: round(value, 4) for name, value in found.items()}


def timed(root: Path, scenario: Scenario, rounds: int, histogram: HdrHistogram) -> float:
    """CPU microseconds per request of one revision, its latencies into the histogram."""
    bench = Bench(root, "cpu", scenario.protocol, None)
    try:
        for _ in range(WARM):
            scenario.play(bench)
        before = bench.told()["cpu"]
        for _ in range(rounds):
            began = time.perf_counter_ns()
            scenario.play(bench)
            histogram.record_value((time.perf_counter_ns() - began) // 1000)
        return (bench.told()["cpu"] - before) / (rounds * scenario.requests) * 1e6
    finally:
        bench.close()


@contextmanager
def revision(rev: str) -> Iterator[Path]:
    """A work tree of an earlier revision."""
    folder = Path(tempfile.mkdtemp()) / "tree"
    subprocess.run(["git", "worktree", "add", "-q", "--detach", str(folder), rev], cwd=ROOT, check=True)
    try:
        yield folder
    finally:
        subprocess.run(["git", "worktree", "remove", "--force", str(folder)], cwd=ROOT, check=True)


@contextmanager
def shim() -> Iterator[Path | None]:
    """allocs.c, compiled; None where there is no compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    with tempfile.TemporaryDirectory() as folder:
        if compiler is None:
            print("no C compiler: memory blocks are not counted", file=sys.stderr)
            yield None
            return
        library = Path(folder) / "allocs.so"
        subprocess.run(
            [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(HERE / "allocs.c")], check=True
        )
        yield library


def table(rows: dict[str, dict[str, float]], against: dict[str, dict[str, float]]) -> str:
    """Markdown: a column for each scenario, and where there is one to compare, before and after."""
    names = sorted({name for row in rows.values() for name in row}, key=order)
    lines = ["| per request | " + " | ".join(rows) + " |", "| --- |" + " --- |" * len(rows)]
    for name in names:
        cells = []
        for scenario, row in rows.items():
            now = row.get(name, 0)
            before = against.get(scenario, {}).get(name, 0)
            cut = f" ({now / before - 1:+.0%})" if before else ""
            cells.append(f"{before:,.4g} → {now:,.4g}{cut}" if scenario in against else f"{now:,.4g}")
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def order(name: str) -> tuple[int, str]:
    """The sums first."""
    first = ("system calls", "blocks", "block bytes", "bytes copied")
    return (first.index(name) if name in first else 9, name)


def main(words: list[str] | None = None) -> int:
    """The command."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.path", description=__doc__)
    parser.add_argument("--against", metavar="REV", help="compare with an earlier revision")
    parser.add_argument("--only", default=".", help="scenarios whose name matches this")
    parser.add_argument("--json", metavar="FILE", help="write the counts there")
    parser.add_argument(
        "--pairs", type=int, default=5, help="how often CPU time is taken (default: 5; 0: not)"
    )
    parser.add_argument("--rounds", type=int, default=400, help="rounds of each timed run (default: 400)")
    args = parser.parse_args(words)
    chosen = [s for s in SCENARIOS.values() if re.search(args.only, s.name)]
    found: dict[str, Any] = {"python": sys.version.split()[0], "counts": {}, "before": {}, "cpu": {}}
    with shim() as library, revision(args.against) if args.against else nothing() as old:
        for scenario in chosen:
            found["counts"][scenario.name] = count(ROOT, scenario, library)
            if old is not None:
                found["before"][scenario.name] = count(old, scenario, library)
        print(table(found["counts"], found["before"]), flush=True)
        for scenario in chosen if args.pairs else ():
            times, ratios, histogram = [], [], HdrHistogram(1, 60_000_000, 3)
            rounds = max(20, args.rounds // scenario.requests)
            for _ in range(args.pairs):
                before = timed(old, scenario, rounds, HdrHistogram(1, 60_000_000, 3)) if old else None
                times.append(timed(ROOT, scenario, rounds, histogram))
                if before:
                    ratios.append(times[-1] / before)
            row = {
                "us": statistics.median(times),
                "p50 us": histogram.get_value_at_percentile(50),
                "p99 us": histogram.get_value_at_percentile(99),
            }
            text = f"{scenario.name}: CPU {row['us']:.0f} us a request ({min(times):.0f} to {max(times):.0f})"
            if ratios:
                row |= {"ratio": statistics.median(ratios), "least": min(ratios), "most": max(ratios)}
                text += f", {row['ratio']:.2f} ({row['least']:.2f} to {row['most']:.2f}) of {args.against}"
            found["cpu"][scenario.name] = row
            print(text + f"; a round p50 {row['p50 us']} us, p99 {row['p99 us']} us", flush=True)
    if args.json:
        Path(args.json).write_text(json.dumps(found, indent=1) + "\n")
    return 0


@contextmanager
def nothing() -> Iterator[None]:
    """No earlier revision."""
    yield None


if __name__ == "__main__":
    sys.exit(main())
