#!/bin/sh
# Builds the stand-ins of review/6 to review/10, after the build of the deploy file. They are Python modules in
# review/standins_2, which need only what the node's own .venv holds: this checks that they can be imported.
cd "$(dirname "$0")/.." || exit 1
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
cd review && exec ../.venv/bin/python -B -c "import standins_2.peers, standins_2.simulator, standins_2.network"
