#!/usr/bin/env bash
# Formats all C++ sources but the generated ones (fix), or fails when one is not formatted (check, the default).
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '/generated/')
if [ "${1:-check}" = fix ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
    echo "format: ${#files[@]} files checked"
fi
