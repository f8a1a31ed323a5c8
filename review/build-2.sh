#!/bin/sh
# Checks the stand-ins of the cases of the second review. They use the standard library
# only, so nothing is installed or compiled.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 -S -c '
import stands.http, stands.node, stands.site, stands.store, stands.workers
'
