#!/usr/bin/env bash
# Builds every target under fuzz/ with clang's libFuzzer and the address and
# undefined-behaviour sanitizers, and runs each for a fixed number of inputs
# with a fixed seed.
#   scripts/fuzz.sh [runs [seed]]
set -euo pipefail
cd "$(dirname "$0")/.."

runs=${1:-50000}
seed=${2:-1}
build=build/fuzz
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
    -DCMAKE_C_COMPILER=clang-14 -DCMAKE_CXX_COMPILER=clang++-14 \
    -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" -DGUAVASTAIR_FUZZ=ON \
    -DGUAVASTAIR_SANITIZE=address,undefined >/dev/null
targets=()
for folder in fuzz/*/; do
    [ -f "$folder/CMakeLists.txt" ] && targets+=("fuzz_$(basename "$folder")")
done
if [ "${#targets[@]}" -eq 0 ]; then
    echo "fuzz: no targets"
    exit 0
fi
cmake --build "$build" --target "${targets[@]}"
for target in "${targets[@]}"; do
    name=${target#fuzz_}
    corpus=fuzz/$name/corpus
    # libFuzzer writes new inputs to the first folder, which is deleted.
    found=$(mktemp -d)
    inputs=("$found")
    [ -d "$corpus" ] && inputs+=("$corpus")
    "$build/fuzz/$name/$target" -runs="$runs" -seed="$seed" -max_len=4096 \
        -print_final_stats=0 -verbosity=0 "${inputs[@]}"
    rm -rf "$found"
    echo "fuzz: $name: $runs inputs, seed $seed: no crash"
done
