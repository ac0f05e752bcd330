#!/bin/sh
# Builds what the scripts start. All stand-ins are Python modules that need no more than a node itself does
# (msgpack), so there is nothing to compile or to install: this checks that the build of the deploy file has
# left an interpreter that loads them.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/review" .venv/bin/python -c "
import standins.interpreter, standins.peers, standins.record, standins.verdict
import spindlerelay.__main__"
