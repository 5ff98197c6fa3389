"""Charts of benchmark results: python -m benchmarks.charts PATH.json OVERLOAD.json OUT.svg

PATH.json comes from `benchmarks.path --against REV --json`, OVERLOAD.json from `benchmarks.overload --json`.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt  # noqa: E402

CHARTED_COUNTS = ("system calls", "blocks", "bytes copied")


def draw_charts(path: dict, overload: dict, out: Path) -> None:
    """Draw two charts: the ratio of counts after and before, for each scenario; goodput by offered load."""
    matplotlib.rcParams["svg.hashsalt"] = "aspenrill"
    figure, (left, right) = plt.subplots(1, 2, figsize=(13, 4.6))
    scenarios = [scenario for scenario in path["counts"] if scenario in path["before"]]
    for index, metric in enumerate((*CHARTED_COUNTS, "CPU")):
        values = [
            path["cpu"][scenario].get("ratio", 0)
            if metric == "CPU"
            else path["counts"][scenario].get(metric, 0) / path["before"][scenario].get(metric, 1)
            for scenario in scenarios
        ]
        left.barh([y + 0.2 * index for y in range(len(scenarios))], values, 0.18, label=metric)
    left.set_yticks([y + 0.3 for y in range(len(scenarios))], scenarios)
    left.invert_yaxis()
    left.axvline(1.0, color="grey", lw=0.8)
    left.set_xlabel("after, of before")
    left.legend(fontsize=8)
    for revision in dict.fromkeys(row["revision"] for row in overload["rows"]):
        rows = [row for row in overload["rows"] if row["revision"] == revision]
        right.plot(
            [row["offered"] for row in rows], [row["good"] for row in rows], marker="o", label=revision
        )
    max_offered = max(row["offered"] for row in overload["rows"])
    right.plot([0, max_offered], [0, max_offered], color="grey", lw=0.8, ls=":")
    right.set(
        xlabel="offered, a second",
        ylabel="answered within 1 s, a second",
        ylim=(0, None),
        xlim=(0, max_offered),
    )
    right.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(out, metadata={"Date": None})


if __name__ == "__main__":
    draw_charts(
        json.loads(Path(sys.argv[1]).read_text()),
        json.loads(Path(sys.argv[2]).read_text()),
        Path(sys.argv[3]),
    )
