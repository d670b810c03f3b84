#!/usr/bin/env bash
# Runs all tests. Tests that KNOWN-RED.txt lists run separately and do not affect the exit code.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(ctest --test-dir build/release -N | tools/known-red.sh)
export RC_PARAMS="seed=20261203 max_success=200"
ctest --test-dir build/release --output-on-failure --no-tests=error ${red:+-E "$red"}
if [ -n "$red" ]; then
    echo "== known red, they do not decide:"
    cat KNOWN-RED.txt
    ctest --test-dir build/release -R "$red" || true
fi
