"""Plants known defects in a copy of the tree to prove that the soak detects each of them within ten seeds.

python -m standins.soak.defects [NAME...] [--jobs 3]
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
SEEDS = "1-10"
COPIED = ("aspenrill", "standins")


@dataclass(frozen=True)
class Replacement:
    """A text that occurs once in a file, and its replacement."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Defect:
    """A defect, the kinds of fault that expose it, and the rule that it violates."""

    name: str
    rule: str
    plan: str
    changes: tuple[Replacement, ...]


THRIFT = "aspenrill/fronts/thrift.py"
MISUSE = "aspenrill/fronts/misuse.py"
NODE = "aspenrill/node.py"
DEFECTS = (
    Defect(
        "frame-timer",
        "lost",
        "links",
        (
            Replacement(
                THRIFT,
                "conn.read_frame(MAX_FRAME, None)",
                "conn.read_frame(MAX_FRAME, time.monotonic() + 2.0)",
            ),
            Replacement(
                THRIFT, "        except Closed as why:\n", "        except (Closed, TimedOut) as why:\n"
            ),
            Replacement(THRIFT, "import Closed, Hub\n", "import Closed, Hub, TimedOut\n"),
        ),
    ),
    Defect(
        "discards-behind-a-bad-message",
        "lost",
        "bad-clients",
        (Replacement(MISUSE, "        self.bad_count += 1\n", '        raise Closed("a bad message")\n'),),
    ),
    Defect(
        "exits-before-the-last-answer",
        "lost",
        "restarts",
        (
            Replacement(
                NODE,
                "        self._wait_for_clients(sigkill_at - ANSWER_MARGIN)\n",
                "        self.hub.stop()\n        return\n",
            ),
        ),
    ),
    Defect(
        "answers-twice",
        "lost",
        "links",
        (
            Replacement(
                "aspenrill/fronts/thrift_answers.py",
                "        self._parts += parts\n",
                "        self._parts += parts + parts if number % 20 == 9 else parts\n",
            ),
        ),
    ),
    Defect(
        "passes-on-a-longer-deadline",
        "deadline",
        "engines",
        (
            Replacement(
                "aspenrill/fronts/thrift_requests.py",
                "int(timeout_ms) / 1000 - REPLY_MARGIN - spent",
                "int(timeout_ms) / 1000 + 0.5",
            ),
        ),
    ),
    Defect(
        "half-closes-early",
        "lost",
        "links",
        (Replacement(NODE, "            listener.stop_accepting()\n", "            listener.drain()\n"),),
    ),
    Defect(
        "delivers-withdrawn-requests",
        "lost",
        "engine-links",
        (
            Replacement(
                "aspenrill/net/conn.py",
                "self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)",
                "pass",
            ),
        ),
    ),
    Defect(
        "trusts-a-short-length",
        "lost",
        "engines,short-lengths",
        (
            Replacement(
                "aspenrill/engines/http.py",
                "                self._check_end(attempt, conn, page, body)\n",
                "                pass\n",
            ),
        ),
    ),
    Defect(
        "looks-for-the-same-end-again",
        "lost",
        "bad-clients",
        (Replacement("aspenrill/wire/sql.py", r"|\[[^\]]*(?:\]|\Z)|", r"|\[[^\]]*\]|"),),
    ),
    Defect(
        "stays-beyond-the-kill",
        "exit",
        "restarts",
        (
            Replacement(
                NODE, "        self.hub.stop()\n", "        self.hub.sleep(5.0)\n        self.hub.stop()\n"
            ),
        ),
    ),
)


def plant(defect: Defect, folder: Path) -> Path:
    """Copy the tree into `folder` and apply the defect to the copy."""
    tree = folder / defect.name
    for name in COPIED:
        shutil.copytree(ROOT / name, tree / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copytree(ROOT / "deploy", tree / "deploy", ignore=shutil.ignore_patterns("sites"))
    for change in defect.changes:
        file = tree / change.file
        file.write_text(file.read_text().replace(change.old, change.new))
    return tree


def violations_in(defect: Defect, tree: Path, jobs: int) -> list[str]:
    """Run the soak on the defective copy; return the lines of the seeds that violated the defect's rule."""
    command = [sys.executable, "-m", "standins.soak", SEEDS, "--plan", defect.plan, "--jobs", str(jobs)]
    ended = subprocess.run(command, cwd=tree, capture_output=True, text=True)
    return [line for line in ended.stdout.splitlines() if f" {defect.rule}:" in line]


def main() -> int:
    """Run the command line; 1 if a defect was not detected."""
    parser = argparse.ArgumentParser(prog="standins.soak.defects")
    parser.add_argument("names", nargs="*")
    parser.add_argument("--jobs", type=int, default=3)
    words = parser.parse_args()
    missed = 0
    for defect in DEFECTS:
        if words.names and defect.name not in words.names:
            continue
        with tempfile.TemporaryDirectory() as folder:
            lines = violations_in(defect, plant(defect, Path(folder)), words.jobs)
        print(f"{defect.name}: {defect.rule} in {len(lines)} of seeds {SEEDS}", flush=True)
        missed += not lines
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())
