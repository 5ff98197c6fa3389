"""A short part of the soak: seeded days on real front ends, always the same. The long one: make soak."""

from __future__ import annotations

import subprocess
import sys

import pytest

WITHIN = 400.0  # seconds of a machine that is busy; it takes about 15
PARTS = {
    "links": ("102-104", "links"),
    "links-stops-restarts": ("105-107", "links,stops,restarts"),
    "crowd-bad-clients": ("108-110", "links,crowd,bad-clients"),
    "calls-engines-lists": ("111-113", "calls,engines,lists,discovery,clocks"),
}


@pytest.mark.parametrize("part", list(PARTS))
def test_no_day_breaks_a_rule(part):
    seeds, kinds = PARTS[part]
    command = [sys.executable, "-m", "standins.soak", seeds, "--plan", kinds, "--jobs", "3"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=WITHIN)
    assert ended.returncode == 0, ended.stdout[-6000:] + ended.stderr[-2000:]
