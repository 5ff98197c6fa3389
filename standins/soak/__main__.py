"""Runs soak seeds, several in parallel, and prints a line for each, with its violations and their log lines.

    python -m standins.soak 1-50 [--plan links,crowd] [--jobs 3] [--keep FOLDER]

Exits with status 1 if any rule was violated. `--plan` limits the run to these kinds of fault.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

from .checker import Checker, Violation
from .plan import FaultKind, RunPlan, draw_plan
from .records import RunRecords
from .soakrun import SoakRun

MAX_VIOLATIONS_SHOWN = 8  # of a seed
MAX_LOG_LINES = 8  # of a violation
SEED_TIMEOUT = 120.0  # seconds


def parse_seeds(text: str) -> list[int]:
    """Parse seeds such as `3`, `1-50` or `1,4,9-12`."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def summary(plan: RunPlan, records: RunRecords, violations: list[Violation]) -> str:
    """Return the line that sums up one seed."""
    ends = Counter(request.reply.value if request.reply else "unanswered" for request in records.requests)
    kinds = ",".join(sorted(kind.value for kind in plan.kinds)) or "none"
    counts = " ".join(f"{name}={count}" for name, count in sorted(ends.items()))
    broken = Counter(violation.rule for violation in violations)
    result = " ".join(f"{rule}:{count}" for rule, count in sorted(broken.items())) or "ok"
    return f"seed {plan.seed} [{kinds}] {counts} stalls={len(records.driver_stalls)} => {result}"


def violation_lines(violation: Violation, logs: dict[str, str]) -> list[str]:
    """Return a violation's line and the front end's log lines that name its subject."""
    lines = [f"  {violation.rule} {violation.front} {violation.subject}: {violation.detail}"]
    log = logs.get(violation.front, "").splitlines()
    found = [line for line in log if any(word in line for word in violation.log_words)]
    return lines + [f"    {line}" for line in found[:MAX_LOG_LINES]]


def run_seed(seed: int, kinds: list[FaultKind], keep: Path | None) -> int:
    """Run one seed in this process; 1 if a rule was violated."""
    plan = draw_plan(seed, kinds)
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(temporary_folder)
        if keep is not None:
            folder = keep / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        records = SoakRun(plan, folder).run()
    violations = Checker(plan, records).violations()
    print(summary(plan, records, violations))
    for violation in violations[:MAX_VIOLATIONS_SHOWN]:
        print("\n".join(violation_lines(violation, records.logs)))
    return int(bool(violations))


def run_all_seeds(seeds: list[int], jobs: int, arguments: list[str]) -> int:
    """Run each seed in a process of its own; return how many violated a rule or did not end."""
    waiting, running, broken = deque(seeds), {}, 0
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.popleft()
            command = [sys.executable, "-m", "standins.soak", str(seed), "--jobs", "0", *arguments]
            process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
            running[process] = seed, time.monotonic() + SEED_TIMEOUT
        for process, (seed, until) in list(running.items()):
            try:
                output = process.communicate(timeout=0.1)[0]
            except subprocess.TimeoutExpired:
                if time.monotonic() < until:
                    continue
                process.kill()
                output = process.communicate()[0] + f"seed {seed} => did not end\n"
            del running[process]
            broken += process.returncode != 0
            print(output, end="", flush=True)
    print(f"{len(seeds)} seeds, {broken} with a violated rule")
    return broken


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="standins.soak")
    parser.add_argument("seeds", type=parse_seeds)
    parser.add_argument("--plan", default="")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    if arguments.jobs == 0:
        kinds = [FaultKind(name) for name in arguments.plan.split(",") if name]
        return run_seed(arguments.seeds[0], kinds, arguments.keep)
    passed_on = ["--plan", arguments.plan] + (["--keep", str(arguments.keep)] if arguments.keep else [])
    return int(run_all_seeds(arguments.seeds, arguments.jobs, passed_on) > 0)


if __name__ == "__main__":
    sys.exit(main())
