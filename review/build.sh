#!/bin/sh
# After the build of the deploy file. The stand-ins are Python of the standard library: they are compiled only.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
