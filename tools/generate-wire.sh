#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code. Run after every change of the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:packages/wire/generated --src-prefix=packages/wire/schema packages/wire/schema/plumfold.capnp
