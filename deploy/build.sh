#!/usr/bin/env bash
# Puts the pinned libraries and the compiled sources under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" --requirement deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/tamarackrill"
cp -R src/tamarackrill "$deps/tamarackrill"
# Processes can't write there; without this each start would compile every module.
python3 -m compileall -q "$deps"
