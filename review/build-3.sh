#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 11 to 15 into build/review-3, with the compiler and the libraries that the
# deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand-ins-3)
for part in http system worker; do
    g++ "${flags[@]}" -c "review/stand-ins-3/standin_$part.cpp" -o "$out/$part.o" &
done
wait
for case in review/1[1-5]/case.cpp; do
    [ -f "$case" ] || continue
    name=case-$(basename "$(dirname "$case")")
    g++ "${flags[@]}" "$case" "$out"/{http,system,worker}.o -o "$out/$name" &
done
wait
for case in review/1[1-5]/case.cpp; do
    [ ! -f "$case" ] || [ -x "$out/case-$(basename "$(dirname "$case")")" ]
done
