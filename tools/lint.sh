#!/usr/bin/env bash
# Runs clang-tidy over our sources, some files at a time. Give file names to check only those.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'packages/*.cpp' | grep -v '/generated/')
fi
# The compiler's precompiled headers are of no use to clang. Its coroutines are complete, but this version does not
# announce them as the standard library and Boost.Asio expect.
coroutines='-D__cpp_impl_coroutine=201902L -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1'
mkdir -p build/lint
sed -E "s/-include [^ ]*cmake_pch\.hxx//g; s/-Winvalid-pch//g; s/-Wno-maybe-uninitialized//g; s/ -o / $coroutines -o /" \
    build/release/compile_commands.json >build/lint/compile_commands.json
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build/lint --quiet 2>/dev/null
echo "lint: ${#files[@]} files checked"
