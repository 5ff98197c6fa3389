#!/usr/bin/env bash
# Builds what the cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python and need nothing.
# Cases 7, 9 and 10 switch on [fleet], which wants what the project declares for it: the pinned versions of
# requirements-fleet.txt, or else any that pyproject.toml (extra `fleet`) allows. The other cases do without.
set -u
cd "$(dirname "$0")/.." || exit 2
python=.venv/bin/python
test -x "$python" || exit 2
has_fleet() { "$python" -c 'import msgspec, xxhash' 2>/dev/null; }
has_fleet || "$python" -m pip -q install -r requirements-fleet.txt ||
    "$python" -m pip -q install 'msgspec>=0.21' 'xxhash>=3.5'
has_fleet || echo "cases 7, 9 and 10 can't run: msgspec and xxhash are missing"
exec "$python" -B -c 'import sys; sys.path.insert(0, "review"); import lib2.client, lib2.fleet, lib2.platform, lib2.tds'
