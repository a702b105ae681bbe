#!/usr/bin/env bash
# Checks formatting with clang-format and code with clang-tidy.
#   scripts/lint.sh [--fix-format] [file ...]     all tracked files by default
set -euo pipefail
cd "$(dirname "$0")/.."

fix=no
if [ "${1:-}" = --fix-format ]; then
    fix=yes
    shift
fi
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard \
        '*.cpp' '*.hpp' | grep -v '\.capnp\.')
fi
if [ "$fix" = yes ]; then
    clang-format-14 -i "${files[@]}"
    exit 0
fi
clang-format-14 --dry-run --Werror "${files[@]}"

build=${GUAVASTAIR_LINT_BUILD:-build/lint}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
    -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_C_COMPILER=clang-14 >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v '^fuzz/' |
    xargs -r -P 6 -n 2 clang-tidy-14 --quiet -p "$build" 2> >(grep -vE \
        'warnings? generated|Suppressed|Use -header-filter' >&2)
