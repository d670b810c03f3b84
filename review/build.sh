#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/kit -o "target/review/$(basename "$source" .cpp)" \
        "$source" review/kit/review_kit.cpp
done
