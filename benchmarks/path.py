"""Costs of the normal request path: python -m benchmarks.path [--against REV] [--json FILE] [--only NAME]

Per request: system calls, memory blocks, bytes copied by layer, tasks, timers, wake-ups, calls and actions of
the decision module (all of them exactly repeatable), CPU time, and latencies. With --against an earlier
revision is checked out into a worktree of its own, and runs of the two alternate.
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
from standins.lockstep import (
    TdsClient,
    first_page_response,
    http_request_size,
    http_response,
    tds_message_size,
)

from .harness import HERE, LOOKUP_ROWS, ROOT, Harness

WARMUP_ROUNDS = 40  # rounds played before anything is counted or timed


@dataclass(frozen=True)
class Scenario:
    """One pattern of requests: a round of it, the requests in a round, and the rounds that are counted."""

    name: str
    protocol: str
    requests: int
    rounds: int
    run_round: Callable[[Harness], None]


def result_pages(pages: int, total: int = 44000) -> tuple[bytes, ...]:
    """A result of about `total` bytes in so many pages."""
    row = b"1234567\ta division of linen, named\tserved\n"
    return (row * (total // pages // len(row)),) * pages


# ---- scenarios ----------------------------------------------------------------------------------------


def single_request(harness: Harness) -> None:
    """One request at a time."""
    harness.exchange(1, harness.clients[:1])


def pipelined_requests(harness: Harness) -> None:
    """32 requests in flight on one connection."""
    harness.exchange(32, harness.clients[:1])


def burst_on_connections(harness: Harness) -> None:
    """Bursts of 8 requests on each of 4 connections."""
    while len(harness.clients) < 4:
        harness.add_client("lookup")
    harness.exchange(8, harness.clients[:4])


def report_of_8_pages(harness: Harness) -> None:
    """One report of 8 pages."""
    harness.exchange(1, harness.clients[:1], "usage-report", result_pages(8))


def report_of_40_pages(harness: Harness) -> None:
    """One report of 40 pages."""
    harness.exchange(1, harness.clients[:1], "usage-report", result_pages(40))


def refused_request(harness: Harness) -> None:
    """A request with too little time left: the decision module refuses it without an attempt."""
    client = harness.clients[0]
    with harness.peers.delivered_at_once():
        client.connection.sock.sendall(client.call("par-lookup", "select 1 from sales_17.orders", 100))
    message = client.reply()
    if not message.args or 1 not in message.args:
        raise RuntimeError(f"not refused: {message}")


def one_in_ten_retried(harness: Harness) -> None:
    """One request in ten is shed by its engine and sent again.

    More of them would count as overload, and the entry gap would rise.
    """
    for _ in range(9):
        single_request(harness)
    client = harness.clients[0]
    with harness.peers.delivered_at_once():
        client.connection.sock.sendall(client.call("par-lookup", "select 1 from sales_17.orders"))
    [(wire, _)] = harness.peers.requests(1, http_request_size)
    with harness.peers.delivered_at_once():
        wire.sock.sendall(http_response(b"", "X-Shed: 1\r\n", 503))
    [(wire, _)] = harness.peers.requests(1, http_request_size)
    with harness.peers.delivered_at_once():
        wire.sock.sendall(first_page_response(LOOKUP_ROWS))
    harness.expect_served(client)


def tds_exchange(harness: Harness, client: TdsClient, rows: int) -> None:
    """One SQL batch and its answer of so many rows."""
    with harness.peers.delivered_at_once():
        statement = "select id, what from sales_17.orders"
        client.connection.sock.sendall(tds.packets(tds.SQL_BATCH, tds.sql_batch(statement)))
    [(wire, _)] = harness.peers.requests(1, tds_message_size)
    row = tds.text_row(["1234567", "a division of linen, named", "served"])
    with harness.peers.delivered_at_once():
        wire.sock.sendall(
            tds.packets(tds.REPLY, tds.text_columns(["a", "b", "c"]) + row * rows + tds.done(rows=rows))
        )
    client.message()


def tds_lookup(harness: Harness) -> None:
    """A TDS request that is answered with 4 rows."""
    tds_exchange(harness, harness.clients[0], 4)


def tds_report(harness: Harness) -> None:
    """A TDS request that is answered with 400 rows."""
    if len(harness.clients) < 2:
        harness.add_client("report")
    tds_exchange(harness, harness.clients[1], 400)


SCENARIOS = {
    s.name: s
    for s in (
        Scenario("par-lookup alone", "thrift", 1, 100, single_request),
        Scenario("32 open on a connection", "thrift", 32, 12, pipelined_requests),
        Scenario("bursts of 8 on 4 connections", "thrift", 32, 12, burst_on_connections),
        Scenario("usage-report, 8 pages", "thrift", 1, 40, report_of_8_pages),
        Scenario("usage-report, 40 pages", "thrift", 1, 20, report_of_40_pages),
        Scenario("refused", "thrift", 1, 60, refused_request),
        Scenario("one in ten retried", "thrift", 10, 10, one_in_ten_retried),
        Scenario("TDS lookup", "tds", 1, 60, tds_lookup),
        Scenario("TDS report, 400 rows", "tds", 1, 30, tds_report),
    )
}


SYSTEM_CALLS = ("poll", "recv", "peek", "send", "accept", "connect")


def count_scenario(
    root: Path, scenario: Scenario, allocation_counter_library: Path | None
) -> dict[str, float]:
    """Counts per request of one scenario, for the program in checkout `root`."""
    results: dict[str, float] = {}
    for mode in ("counts", "blocks") if allocation_counter_library else ("counts",):
        harness = Harness(root, mode, scenario.protocol, allocation_counter_library)
        try:
            for _ in range(WARMUP_ROUNDS if scenario.requests == 1 else 8):
                scenario.run_round(harness)
            for _ in range(2):
                idle = harness.read_counters()
            before = harness.read_counters()
            for _ in range(scenario.rounds):
                scenario.run_round(harness)
            after = harness.read_counters()
        finally:
            harness.close()
        number = scenario.requests * scenario.rounds
        for name in sorted(after):
            reporting = before.get(name, 0) - idle.get(name, 0)  # cost of reporting the counters
            results[name] = (after[name] - before.get(name, 0) - reporting) / number
    results["system calls"] = sum(results.get(name, 0) for name in SYSTEM_CALLS)
    results["bytes copied"] = sum(value for name, value in results.items() if name.startswith("bytes "))
    return {name: round(value, 4) for name, value in results.items()}


def time_scenario(root: Path, scenario: Scenario, rounds: int, histogram: HdrHistogram) -> float:
    """CPU microseconds per request of one scenario; its latencies are added to the histogram."""
    harness = Harness(root, "cpu", scenario.protocol, None)
    try:
        for _ in range(WARMUP_ROUNDS):
            scenario.run_round(harness)
        before = harness.read_counters()["cpu"]
        for _ in range(rounds):
            began = time.perf_counter_ns()
            scenario.run_round(harness)
            histogram.record_value((time.perf_counter_ns() - began) // 1000)
        return (harness.read_counters()["cpu"] - before) / (rounds * scenario.requests) * 1e6
    finally:
        harness.close()


@contextmanager
def worktree_of_revision(revision_name: str) -> Iterator[Path]:
    """Check out an earlier revision into a temporary worktree."""
    folder = Path(tempfile.mkdtemp()) / "tree"
    subprocess.run(
        ["git", "worktree", "add", "-q", "--detach", str(folder), revision_name], cwd=ROOT, check=True
    )
    try:
        yield folder
    finally:
        subprocess.run(["git", "worktree", "remove", "--force", str(folder)], cwd=ROOT, check=True)


@contextmanager
def allocation_counter_library() -> Iterator[Path | None]:
    """allocs.c, compiled; None where there is no compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    with tempfile.TemporaryDirectory() as folder:
        if compiler is None:
            print("no C compiler: memory blocks are not counted", file=sys.stderr)
            yield None
            return
        preload = Path(folder) / "allocs.so"
        subprocess.run(
            [compiler, "-O2", "-shared", "-fPIC", "-o", str(preload), str(HERE / "allocs.c")], check=True
        )
        yield preload


def table(rows: dict[str, dict[str, float]], against: dict[str, dict[str, float]]) -> str:
    """Markdown: a column for each scenario, with the values before and after where there is a comparison."""
    names = sorted({name for row in rows.values() for name in row}, key=row_sort_key)
    lines = ["| per request | " + " | ".join(rows) + " |", "| --- |" + " --- |" * len(rows)]
    for name in names:
        cells = []
        for scenario, row in rows.items():
            now = row.get(name, 0)
            before = against.get(scenario, {}).get(name, 0)
            change = f" ({now / before - 1:+.0%})" if before else ""
            cells.append(f"{before:,.4g} → {now:,.4g}{change}" if scenario in against else f"{now:,.4g}")
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def row_sort_key(name: str) -> tuple[int, str]:
    """Sort key of a table row: totals first."""
    first = ("system calls", "blocks", "block bytes", "bytes copied")
    return (first.index(name) if name in first else 9, name)


def main(arguments: list[str] | None = None) -> int:
    """Run the command; returns its exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.path", description=__doc__)
    parser.add_argument("--against", metavar="REV", help="compare with an earlier revision")
    parser.add_argument("--only", default=".", help="scenarios whose name matches this")
    parser.add_argument("--json", metavar="FILE", help="write the counts there")
    parser.add_argument(
        "--pairs", type=int, default=5, help="how often CPU time is taken (default: 5; 0: not)"
    )
    parser.add_argument("--rounds", type=int, default=400, help="rounds of each timed run (default: 400)")
    args = parser.parse_args(arguments)
    selected = [s for s in SCENARIOS.values() if re.search(args.only, s.name)]
    results: dict[str, Any] = {"python": sys.version.split()[0], "counts": {}, "before": {}, "cpu": {}}
    with (
        allocation_counter_library() as preload,
        worktree_of_revision(args.against) if args.against else no_revision() as old_root,
    ):
        for scenario in selected:
            results["counts"][scenario.name] = count_scenario(ROOT, scenario, preload)
            if old_root is not None:
                results["before"][scenario.name] = count_scenario(old_root, scenario, preload)
        print(table(results["counts"], results["before"]), flush=True)
        for scenario in selected if args.pairs else ():
            times, ratios, histogram = [], [], HdrHistogram(1, 60_000_000, 3)
            rounds = max(20, args.rounds // scenario.requests)
            for _ in range(args.pairs):
                before = (
                    time_scenario(old_root, scenario, rounds, HdrHistogram(1, 60_000_000, 3))
                    if old_root
                    else None
                )
                times.append(time_scenario(ROOT, scenario, rounds, histogram))
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
            results["cpu"][scenario.name] = row
            print(text + f"; a round p50 {row['p50 us']} us, p99 {row['p99 us']} us", flush=True)
    if args.json:
        Path(args.json).write_text(json.dumps(results, indent=1) + "\n")
    return 0


@contextmanager
def no_revision() -> Iterator[None]:
    """Stands in for the worktree where no earlier revision is compared."""
    yield None


if __name__ == "__main__":
    sys.exit(main())
