"""A short soak: a fixed set of seeds on real front ends. The long one is `make soak`."""

from __future__ import annotations

import subprocess
import sys

import pytest

TIMEOUT = 400.0  # seconds on a busy machine; a case takes about 15
CASES = {
    "links": ("102-104", "links"),
    "links-stops-restarts": ("105-107", "links,stops,restarts"),
    "crowd-bad-clients": ("108-110", "links,crowd,bad-clients"),
    "engine-links": ("114-116", "engine-links,engines"),
    "calls-engines-lists": ("111-113", "calls,engines,lists,discovery,clocks"),
    "short-lengths": ("117-119", "engines,short-lengths"),
    "rough-clients": ("121-123", "links,rough-clients"),
}


@pytest.mark.parametrize("case", list(CASES))
def test_no_seed_violates_a_rule(case):
    seeds, kinds = CASES[case]
    command = [sys.executable, "-m", "standins.soak", seeds, "--plan", kinds, "--jobs", "3"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT)
    assert ended.returncode == 0, ended.stdout[-6000:] + ended.stderr[-2000:]
