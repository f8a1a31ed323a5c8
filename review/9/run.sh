#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec timeout 115 python3 -S review/9/case.py
