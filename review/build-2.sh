#!/usr/bin/env bash
# Builds what the cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python and need nothing;
# cases 7, 8 and 9 switch on [fleet], which wants the project's own requirements-fleet.txt in the same .venv.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -c 'import msgspec, xxhash' 2>/dev/null || .venv/bin/python -m pip -q install -r requirements-fleet.txt
.venv/bin/python -c 'import greenlet, msgspec, xxhash'
.venv/bin/python -B -c 'import sys; sys.path.insert(0, "review"); import lib2.client, lib2.fleet, lib2.names, lib2.platform'
