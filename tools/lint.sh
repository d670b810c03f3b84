#!/usr/bin/env bash
# Runs the linters on all package sources (the await check on all sources), or only on the files given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/await-check.sh "$@"
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'packages/*.cpp' | grep -v '/generated/')
fi
# Clang cannot read GCC's precompiled headers. This version of Clang implements coroutines but does not define the
# macros by which libstdc++ and Boost.Asio detect them.
coroutines='-D__cpp_impl_coroutine=201902L -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1'
mkdir -p build/lint
sed -E "s/-include [^ ]*cmake_pch\.hxx//g; s/-Winvalid-pch//g; s/-Wno-maybe-uninitialized//g; s/ -o / $coroutines -o /" \
    build/release/compile_commands.json >build/lint/compile_commands.json
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build/lint --quiet 2>/dev/null
echo "lint: ${#files[@]} files checked"
