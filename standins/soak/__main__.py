"""Plays seeds, several at a time, and reports each by a line; what breaks a rule with the lines that name it.

    python -m standins.soak 1-50 [--plan links,crowd] [--jobs 3] [--keep FOLDER]

Ends with 1 where a rule was broken. `--plan`: these kinds of trouble alone.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

from .day import Day
from .judge import Judge, Verdict
from .plan import DayPlan, Kind, draw
from .records import DayRecords

MOST_SHOWN, MOST_LINES = 8, 8  # verdicts of a day, and log lines of each
SEED_WITHIN = 120.0  # seconds


def seeds_of(text: str) -> list[int]:
    """From `3`, `1-50` or `1,4,9-12`."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def summary(plan: DayPlan, records: DayRecords, verdicts: list[Verdict]) -> str:
    """One line for a day."""
    ends = Counter(request.reply.value if request.reply else "unanswered" for request in records.requests)
    kinds = ",".join(sorted(kind.value for kind in plan.kinds)) or "none"
    counts = " ".join(f"{name}={count}" for name, count in sorted(ends.items()))
    broken = Counter(verdict.rule for verdict in verdicts)
    result = " ".join(f"{rule}:{count}" for rule, count in sorted(broken.items())) or "ok"
    return f"seed {plan.seed} [{kinds}] {counts} stalls={len(records.stalls)} => {result}"


def told(verdict: Verdict, logs: dict[str, str]) -> list[str]:
    """A verdict and the log lines that name its subject."""
    lines = [f"  {verdict.rule} {verdict.front} {verdict.subject}: {verdict.detail}"]
    log = logs.get(verdict.front, "").splitlines()
    found = [line for line in log if any(word in line for word in verdict.search)]
    return lines + [f"    {line}" for line in found[:MOST_LINES]]


def play_seed(seed: int, kinds: list[Kind], keep: Path | None) -> int:
    """Play one day here; 1 where a rule was broken."""
    plan = draw(seed, kinds)
    with tempfile.TemporaryDirectory() as place:
        folder = Path(place)
        if keep is not None:
            folder = keep / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        records = Day(plan, folder).play()
    verdicts = Judge(plan, records).verdicts()
    print(summary(plan, records, verdicts))
    for verdict in verdicts[:MOST_SHOWN]:
        print("\n".join(told(verdict, records.logs)))
    return int(bool(verdicts))


def play_all(seeds: list[int], jobs: int, words: list[str]) -> int:
    """Play each seed in a process of its own; how many broke a rule or did not end."""
    waiting, running, broken = deque(seeds), {}, 0
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.popleft()
            command = [sys.executable, "-m", "standins.soak", str(seed), "--jobs", "0", *words]
            process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
            running[process] = seed, time.monotonic() + SEED_WITHIN
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
    print(f"{len(seeds)} seeds, {broken} with a broken rule")
    return broken


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(prog="standins.soak")
    parser.add_argument("seeds", type=seeds_of)
    parser.add_argument("--plan", default="")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--keep", type=Path)
    words = parser.parse_args()
    if words.jobs == 0:
        kinds = [Kind(name) for name in words.plan.split(",") if name]
        return play_seed(words.seeds[0], kinds, words.keep)
    passed_on = ["--plan", words.plan] + (["--keep", str(words.keep)] if words.keep else [])
    return int(play_all(words.seeds, words.jobs, passed_on) > 0)


if __name__ == "__main__":
    sys.exit(main())
