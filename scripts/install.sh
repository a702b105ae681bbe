#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt. Does nothing and accesses
# no registry if all of them are installed.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < scripts/packages.txt
missing=()
for package in "${packages[@]}"; do
    state=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$state" = installed ] || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
