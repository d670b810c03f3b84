#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
    [ -e "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" review/harness-2/*.cpp -o "build/review-2/case-$case"
done
