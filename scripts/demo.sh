#!/usr/bin/env bash
# Installs missing packages, builds, and runs a deployment on this machine while
# its processes change: callers send requests and read feeds, a balancer is
# killed and another joins, a backend server drains and another joins.
#   scripts/demo.sh [thai|egyptian|all] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."

which=${1:-all}
seconds=${2:-20}
bash scripts/install.sh
build=build/release
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$build" --target guavastair guavastair-standin | tail -1
names=("$which")
[ "$which" = all ] && names=(thai egyptian)
for name in "${names[@]}"; do
    python3 scripts/demo.py "examples/$name" "$build" --seconds "$seconds"
done
