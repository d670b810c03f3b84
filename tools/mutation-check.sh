#!/usr/bin/env bash
# Applies each fault of tests/mutations/mutations.txt to a copy of the tree and runs the tests that must detect it.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files --cached --others --exclude-standard | tar -cf - -T - | tar -xf - -C "$copy"
cd "$copy"
cmake --preset release >/dev/null
cmake --build build/release --target plumfold_core_tests >/dev/null
export RC_PARAMS="seed=20261203 max_success=400"
caught=0
missed=0
while IFS='@' read -r file expression tag invariant; do
    case "$file" in ''|\#*) continue ;; esac
    file=$(echo $file) tag=$(echo $tag)
    cp "$file" "$file.kept"
    sed -i "$expression" "$file"
    if cmp -s "$file" "$file.kept"; then
        result="not applied"
    elif ! cmake --build build/release --target plumfold_core_tests >build.log 2>&1; then
        result="not built"
    elif timeout 120 build/release/tests/plumfold_core_tests "$tag" >test.log 2>&1; then
        result=missed
    else
        result=caught
    fi
    mv "$file.kept" "$file"
    touch "$file"
    [ "$result" = caught ] && caught=$((caught + 1)) || missed=$((missed + 1))
    echo "mutation-check: $result: $(basename "$file") $tag $invariant"
done <tests/mutations/mutations.txt
echo "mutation-check: $caught caught, $missed not caught"
[ $missed = 0 ]
