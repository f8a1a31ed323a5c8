#!/bin/sh
# Checks that the stand-ins of the cases run with the libraries under target/deps, which
# the build of the deploy file installs. They are plain Python, so nothing is compiled.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -S -c '
import support.balancer, support.case, support.clients, support.config
import support.nodes, support.record, support.store, support.workers
'
