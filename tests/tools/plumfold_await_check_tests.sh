#!/usr/bin/env bash
# Tests tools/await-check.sh, which finds expressions that GCC 12 miscompiles in coroutines.
set -euo pipefail
script=$(dirname "$0")/../../tools/await-check.sh
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

expect() { # WHAT EXPECTED CODE: checks the lines that are found, or "none"
    printf '%s\n' "$3" >"$folder/source.cpp"
    local found output code=0
    output=$("$script" "$folder/source.cpp") || code=$?
    [ "$code" = "$([ "$2" = none ] && echo 0 || echo 1)" ] || { echo "FAILED: $1: exit code $code"; exit 1; }
    found=$(sed -n "s|^$folder/source.cpp:\([0-9]*\): .*|\1|p" <<<"$output" | tr '\n' ' ')
    found=${found% }
    [ "${found:-none}" = "$2" ] || { echo "FAILED: $1: expected '$2', got '${found:-none}'"; exit 1; }
}

expect "a loop condition" 1 'while (isOpen && co_await next()) { serve(); }'
expect "a loop condition over two lines" 2 'int f();
while (isOpen
    && co_await next())
    serve();'
expect "a loop condition without operators" 1 'while (co_await next()) {}'
expect "a condition of do while" 1 'do { serve(); } while (!isOver() && co_await next());'
expect "a condition of for" 1 'for (; isOpen && co_await next();) {}'
expect "a condition of if" 1 'if (!isStarted && !co_await start()) co_return false;'
expect "a condition of if with nested parentheses" 1 'if ((a(b) || c) && (co_await d(e()))) {}'
expect "a conditional operator" 1 'auto end = isStream ? co_await stream() : co_await respond();'
expect "an assignment" 2 '// co_await a || b
ok = isReady || co_await wait();'
expect "alternative spellings" 1 'ok = isReady and co_await wait();'
expect "an operand with braces" 1 'auto end = isStream ? response { 200 } : co_await respond();'
expect "a call with braces" 1 'ok = isReady && check({ x }, co_await y());'
expect "an await of its own" none 'bool hasRequest = co_await next();
if (isOpen && hasRequest) co_await serve(a && b_);'
expect "a single await in a condition" none 'if (!co_await start()) co_return;'
expect "a statement behind a condition" none 'if (isOpen && isReady)
    co_await serve();'
expect "comments and texts" none 'log("a && co_await b"); // c || co_await d'
expect "a reference" none 'auto&& each = co_await next();'
expect "a loop over an awaited list" none 'for (const auto& each : co_await list()) {}'
