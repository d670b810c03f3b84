#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in 6 7 8 9 10; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$case" "review/harness-2/case_$case.cpp" \
        review/harness-2/harness.cpp review/harness-2/streams.cpp
done
