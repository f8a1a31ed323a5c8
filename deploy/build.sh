#!/bin/sh
# Installs the pinned libraries and the sources of the node under target/deps.
# Does nothing if all is up to date, so it may run while nodes use the directory.
set -eu
deps=target/deps
mkdir -p "$deps"
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --disable-pip-version-check --no-deps --upgrade \
        --root-user-action=ignore --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    touch "$deps/.installed"
fi
sources="packages/lagoonhinge-core/src/lagoonhinge_core
packages/lagoonhinge-http/src/lagoonhinge_http
packages/lagoonhinge-node/src/lagoonhinge_node
platform/src/lagoonhinge_platform"
if [ ! -e "$deps/.built" ] || [ -n "$(find $sources deploy/build.sh \
    -not -path '*__pycache__*' -newer "$deps/.built")" ]; then
    rm -rf "$deps"/lagoonhinge_*
    cp -r $sources "$deps/"
    python3 -m compileall -q "$deps"/lagoonhinge_*
    touch "$deps/.built"
fi
